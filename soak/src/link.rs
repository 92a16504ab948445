//! Loopback proxy in front of a target or the store, which injects delays, resets and stalls in one
//! direction.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp::ReadHalf, tcp::WriteHalf},
    sync::Notify,
    task::AbortHandle,
    time::Instant,
};

/// A fault that a link injects into its connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkFault {
    #[default]
    None,
    /// Delays the bytes of each read by this time.
    Delay(Duration),
    /// Closes open connections and resets new ones.
    Reset,
    /// Passes no bytes on to the server.
    StallRequests,
    /// Passes no bytes back to the client.
    StallResponses,
}

/// Proxy in front of one server address.
pub struct Link {
    /// Address at which the link accepts connections.
    pub address: SocketAddr,
    /// The fault that is in force.
    fault: Cell<LinkFault>,
    /// When the last fault ended or was replaced by another one.
    last_fault_end: Cell<Option<Instant>>,
    /// Clients whose connections are reset.
    cut_off: RefCell<Vec<IpAddr>>,
    /// Address of the server behind the link.
    upstream_address: SocketAddr,
    /// The task that accepts connections, if the link is open.
    accept_task: RefCell<Option<AbortHandle>>,
    /// Notifies all connections that the link is closed.
    closed: Notify,
    /// What the link last did to a connection, by the address from which the link connected to the server.
    interruptions: RefCell<HashMap<SocketAddr, Interruption>>,
}

/// What a link did to a connection.
#[derive(Debug, Clone, Copy)]
enum Interruption {
    /// It held back bytes at this instant.
    Held(Instant),
    /// It broke the connection. The server may still read what had reached it before.
    Broken,
}

/// Interval at which a connection checks whether a fault has begun or ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of bytes that one read passes on.
const READ_BUFFER_BYTES: usize = 16 << 10;

impl Link {
    /// Starts a proxy for the server at the address `upstream` on a free loopback port.
    pub async fn start(upstream: SocketAddr) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let link = Rc::new(Self {
            address: listener.local_addr()?,
            fault: Cell::default(),
            last_fault_end: Cell::default(),
            cut_off: RefCell::default(),
            upstream_address: upstream,
            accept_task: RefCell::default(),
            closed: Notify::new(),
            interruptions: RefCell::default(),
        });
        link.spawn_accept_loop(listener);
        Ok(link)
    }

    /// Closes all connections and refuses new ones, as if the server's process had exited.
    pub fn close(&self) {
        if let Some(accept_task) = self.accept_task.borrow_mut().take() {
            accept_task.abort();
        }
        self.closed.notify_waiters();
        self.last_fault_end.set(Some(Instant::now()));
    }

    /// Accepts connections again at the same address.
    pub async fn reopen(self: &Rc<Self>) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        self.spawn_accept_loop(listener);
        self.last_fault_end.set(Some(Instant::now()));
        Ok(())
    }

    /// Sets the fault that is in force; `LinkFault::None` ends it.
    pub fn set_fault(&self, fault: LinkFault) {
        if self.fault.replace(fault) != LinkFault::None {
            self.last_fault_end.set(Some(Instant::now()));
        }
    }

    /// Resets the connections of these clients, and no others any more.
    pub fn cut_off(&self, clients: &[IpAddr]) {
        *self.cut_off.borrow_mut() = clients.to_vec();
    }

    fn is_cut_off(&self, client: IpAddr) -> bool {
        self.cut_off.borrow().contains(&client)
    }

    /// Returns the fault that is in force.
    pub fn fault(&self) -> LinkFault {
        self.fault.get()
    }

    /// Returns whether the link has had no fault for at least this time.
    pub fn is_healthy_for(&self, duration: Duration) -> bool {
        let had_recent_fault = self
            .last_fault_end
            .get()
            .is_some_and(|at| at.elapsed() < duration);
        self.fault.get() == LinkFault::None && !had_recent_fault
    }

    /// Returns whether the link itself broke a connection, or held back bytes of it, at or after `since`.
    ///
    /// `connection` is the client's address as seen by the server behind the link.
    pub fn has_interrupted(&self, connection: SocketAddr, since: Instant) -> bool {
        match self.interruptions.borrow().get(&connection) {
            Some(Interruption::Held(at)) => *at >= since,
            Some(Interruption::Broken) => true,
            None => false,
        }
    }

    /// Records what the link does to a connection.
    fn on_interruption(&self, connection: SocketAddr, interruption: Interruption) {
        let mut interruptions = self.interruptions.borrow_mut();
        interruptions.insert(connection, interruption);
    }

    /// Starts the task that accepts connections.
    fn spawn_accept_loop(self: &Rc<Self>, listener: TcpListener) {
        let link = Rc::clone(self);
        let accept_task = tokio::task::spawn_local(async move {
            while let Ok((client, from)) = listener.accept().await {
                if link.fault.get() == LinkFault::Reset || link.is_cut_off(from.ip()) {
                    reset_on_close(&client);
                    continue;
                }
                let upstream = link.upstream_address;
                tokio::task::spawn_local(proxy_connection(Rc::clone(&link), client, upstream));
            }
        });
        *self.accept_task.borrow_mut() = Some(accept_task.abort_handle());
    }
}

/// Makes the stream reset its connection when it is closed.
fn reset_on_close(stream: &TcpStream) {
    // With a linger time of zero, closing resets the connection. If setting the option fails, it is closed
    // normally.
    let _ = stream.set_zero_linger();
}

/// Connects to the server and passes bytes both ways until either end closes or a fault ends the connection.
async fn proxy_connection(link: Rc<Link>, mut client: TcpStream, upstream_address: SocketAddr) {
    let Ok(mut upstream) = TcpStream::connect(upstream_address).await else {
        reset_on_close(&client);
        return;
    };
    let Ok(connection) = upstream.local_addr() else {
        return;
    };
    let Ok(client_ip) = client.peer_addr().map(|a| a.ip()) else {
        return;
    };
    // An earlier connection may have had the same address.
    link.interruptions.borrow_mut().remove(&connection);
    let _ = (client.set_nodelay(true), upstream.set_nodelay(true));
    // Halves that are owned would end their direction normally when they are dropped.
    let (client_read, client_write) = client.split();
    let (upstream_read, upstream_write) = upstream.split();
    let is_broken = tokio::select! {
        () = forward(&link, connection, client_read, upstream_write, LinkFault::StallRequests) => false,
        () = forward(&link, connection, upstream_read, client_write, LinkFault::StallResponses) => false,
        () = until_reset(&link, client_ip) => true,
        () = link.closed.notified() => true,
    };
    if is_broken {
        link.on_interruption(connection, Interruption::Broken);
        reset_on_close(&client);
    }
}

/// Waits until the link resets the client's connections.
async fn until_reset(link: &Link, client: IpAddr) {
    while link.fault.get() != LinkFault::Reset && !link.is_cut_off(client) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Passes bytes in one direction until either end closes. Passes none while the fault `stall` is in force.
async fn forward(
    link: &Link,
    connection: SocketAddr,
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    stall: LinkFault,
) {
    let mut buf = vec![0; READ_BUFFER_BYTES];
    loop {
        let n = match from.read(&mut buf).await {
            Ok(n) if n > 0 => n,
            _ => return,
        };
        while link.fault.get() == stall {
            link.on_interruption(connection, Interruption::Held(Instant::now()));
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        if let LinkFault::Delay(delay) = link.fault.get() {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
