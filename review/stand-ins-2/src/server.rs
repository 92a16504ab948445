//! Stand-in of a server: keeps its entry in the store, and answers requests as a case tells it to.

use std::{
    ffi::{c_int, c_void},
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Conn, Head},
    store::Store,
};

/// Interval at which a server writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Size of the receive buffer of a server's connections, as the windows between machines are small.
const RECEIVE_BUFFER_BYTES: c_int = 64 << 10;

/// Level and name of the socket option of that size, on Linux.
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;

unsafe extern "C" {
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, len: u32) -> c_int;
}

/// Answers one request, whose body has not been read; returns whether the connection is kept.
pub type Handler = Arc<dyn Fn(&Server, &Head, &mut Conn) -> io::Result<bool> + Send + Sync>;

/// A server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub version: String,
    /// Unix time of its start, in milliseconds.
    born: u128,
    pub address: SocketAddr,
    slots: u32,
    store: Store,
    /// Whether the entry is kept in the store.
    is_listed: Arc<AtomicBool>,
    has_ended: Arc<AtomicBool>,
    conns: Arc<Mutex<Vec<TcpStream>>>,
    running: Arc<AtomicU64>,
}

impl Server {
    /// Starts a server at a free port, and writes its entry.
    pub fn start(
        store: &Store,
        names: (&str, &str, &str),
        slots: u32,
        handler: Handler,
    ) -> io::Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::start_at(any, store, names, slots, handler)
    }

    /// Starts a server with this id, service and version at an address, and writes its entry.
    pub fn start_at(
        address: SocketAddr,
        store: &Store,
        (id, service, version): (&str, &str, &str),
        slots: u32,
        handler: Handler,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        bound_receive_buffer(&listener)?;
        let server = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            born: unix_ms(),
            address: listener.local_addr()?,
            slots,
            store: store.clone(),
            is_listed: Arc::new(AtomicBool::new(true)),
            has_ended: Arc::default(),
            conns: Arc::default(),
            running: Arc::default(),
        };
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(&listener, &handler));
        server.write_entry(0);
        let beating = server.clone();
        thread::spawn(move || beating.beat());
        Ok(server)
    }

    /// Removes the entry; the server serves on.
    pub fn delist(&self) {
        self.is_listed.store(false, Ordering::SeqCst);
        self.store.remove(&self.key());
    }

    /// Ends the server as a process that ends: its connections and its port are closed.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which closes the port.
        let _ = TcpStream::connect(self.address);
        for conn in self.conns.lock().unwrap().drain(..) {
            let _ = conn.shutdown(Shutdown::Both);
        }
    }

    /// Returns the headers of every answer.
    pub fn headers(&self, request: &Head) -> String {
        let id = request.header("x-attempt-id").unwrap_or("");
        let running = self.running.load(Ordering::SeqCst);
        format!(
            "X-Attempt-Id: {id}\r\nX-Server-Seal: {}.{id}\r\nX-Runner-Load: {running},0,{}\r\n",
            self.id, self.slots
        )
    }

    fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    fn write_entry(&self, beat: u64) {
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"yard\",\"version\":\"{}\",\"slots\":{},\
            \"state\":\"ready\",\"coldLeftMs\":0,\"callSeq\":{beat},\"born\":{}}}",
            self.service, self.address, self.version, self.slots, self.born
        );
        if self.store.is_down() {
            return;
        }
        self.store.put(&self.key(), &entry);
    }

    fn beat(&self) {
        for beat in 1.. {
            thread::sleep(HEARTBEAT);
            if self.has_ended.load(Ordering::SeqCst) || !self.is_listed.load(Ordering::SeqCst) {
                return;
            }
            self.write_entry(beat);
        }
    }

    fn accept(&self, listener: &TcpListener, handler: &Handler) {
        for stream in listener.incoming().flatten() {
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            if let Ok(kept) = stream.try_clone() {
                self.conns.lock().unwrap().push(kept);
            }
            let (server, handler) = (self.clone(), Arc::clone(handler));
            thread::spawn(move || server.serve(Conn::new(stream), &handler));
        }
    }

    fn serve(&self, mut conn: Conn, handler: &Handler) {
        while let Ok(head) = conn.head() {
            let expected = head.header("x-expect-instance").unwrap_or(&self.id);
            if expected != self.id {
                let headers = format!("X-Runner-Id: {}\r\n", self.id);
                let _ = conn.answer("421 Misdirected Request", &headers, b"");
                return;
            }
            self.running.fetch_add(1, Ordering::SeqCst);
            let kept = handler(self, &head, &mut conn);
            self.running.fetch_sub(1, Ordering::SeqCst);
            if !kept.unwrap_or(false) {
                return;
            }
        }
    }
}

fn unix_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| d.as_millis())
}

/// Sets the size of the receive buffer of the connections that are accepted.
fn bound_receive_buffer(listener: &TcpListener) -> io::Result<()> {
    let size = RECEIVE_BUFFER_BYTES;
    let (value, len) = ((&raw const size).cast(), size_of::<c_int>() as u32);
    // SAFETY: the value lives until the call returns, and `len` is its size.
    let result = unsafe { setsockopt(listener.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, value, len) };
    match result {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}
