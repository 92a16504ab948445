//! Loopback proxy in front of a target or the store, which injects delays, resets and stalls in one
//! direction.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
    sync::Notify,
    task::AbortHandle,
    time::Instant,
};

/// A fault that a link injects into its connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// Delays the bytes of each read by this time.
    Delay(Duration),
    /// Closes open connections and resets new ones.
    Reset,
    /// Passes no bytes on to the server.
    SilentThere,
    /// Passes no bytes back to the client.
    SilentBack,
}

/// Proxy in front of one server address.
pub struct Link {
    /// Address at which the link accepts connections.
    pub address: SocketAddr,
    fault: Cell<Fault>,
    /// When the last fault ended or was replaced by another one.
    harmed: Cell<Option<Instant>>,
    /// Address of the server behind the link.
    far: SocketAddr,
    /// The task that accepts connections, if the link is open.
    accepting: RefCell<Option<AbortHandle>>,
    /// Notifies all connections that the link is closed.
    ended: Notify,
}

/// Interval at which a connection checks whether a fault has begun or ended.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Maximum number of bytes that one read passes on.
const CHUNK: usize = 16 << 10;

impl Link {
    /// Starts a proxy for the server `far` on a free loopback port.
    pub async fn start(far: SocketAddr) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let link = Rc::new(Self {
            address: listener.local_addr()?,
            fault: Cell::default(),
            harmed: Cell::default(),
            far,
            accepting: RefCell::default(),
            ended: Notify::new(),
        });
        link.accept(listener);
        Ok(link)
    }

    /// Closes all connections and refuses new ones, as if the server's process had exited.
    pub fn end(&self) {
        if let Some(accepting) = self.accepting.borrow_mut().take() {
            accepting.abort();
        }
        self.ended.notify_waiters();
    }

    /// Accepts connections again at the same address.
    pub async fn begin_again(self: &Rc<Self>) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        self.accept(listener);
        Ok(())
    }

    /// Sets the fault that is in force; `Fault::None` ends it.
    pub fn set_fault(&self, fault: Fault) {
        if self.fault.replace(fault) != Fault::None {
            self.harmed.set(Some(Instant::now()));
        }
    }

    /// Returns the fault that is in force.
    pub fn fault(&self) -> Fault {
        self.fault.get()
    }

    /// Returns whether the link has had no fault for at least this time.
    pub fn is_sound(&self, for_: Duration) -> bool {
        let harmed = self.harmed.get().is_some_and(|at| at.elapsed() < for_);
        self.fault.get() == Fault::None && !harmed
    }

    fn accept(self: &Rc<Self>, listener: TcpListener) {
        let served = Rc::clone(self);
        let accepting = tokio::task::spawn_local(async move {
            while let Ok((near, _)) = listener.accept().await {
                if served.fault.get() == Fault::Reset {
                    reset(&near);
                    continue;
                }
                let far = served.far;
                tokio::task::spawn_local(pass(Rc::clone(&served), near, far));
            }
        });
        *self.accepting.borrow_mut() = Some(accepting.abort_handle());
    }
}

fn reset(stream: &TcpStream) {
    // With a linger time of zero, closing resets the connection. If setting the option fails, it is closed
    // normally.
    let _ = stream.set_zero_linger();
}

/// Connects to the server and passes bytes both ways until either end closes or a fault ends the connection.
async fn pass(link: Rc<Link>, near: TcpStream, far: SocketAddr) {
    let Ok(far) = TcpStream::connect(far).await else {
        reset(&near);
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        () = pump(&link, near_read, far_write, Fault::SilentThere) => {}
        () = pump(&link, far_read, near_write, Fault::SilentBack) => {}
        () = until_reset(&link) => {}
        () = link.ended.notified() => {}
    }
}

async fn until_reset(link: &Link) {
    while link.fault.get() != Fault::Reset {
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

/// Passes bytes in one direction until either end closes. Passes none while the fault `silence` is in force.
async fn pump(link: &Link, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, silence: Fault) {
    let mut buf = vec![0; CHUNK];
    loop {
        let n = match from.read(&mut buf).await {
            Ok(n) if n > 0 => n,
            _ => return,
        };
        while link.fault.get() == silence {
            tokio::time::sleep(LOOK_EVERY).await;
        }
        if let Fault::Delay(by) = link.fault.get() {
            tokio::time::sleep(by).await;
        }
        if to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
