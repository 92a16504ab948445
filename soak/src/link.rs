//! A loopback proxy before a target or the store: delays, resets, silences one way or both.

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

/// What a link does to its connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// Each read is passed on so much later.
    Delay(Duration),
    /// Connections are reset, and new ones too.
    Reset,
    /// Nothing passes towards the far end.
    SilentThere,
    /// Nothing comes back.
    SilentBack,
}

/// One proxied address.
pub struct Link {
    pub address: SocketAddr,
    fault: Cell<Fault>,
    /// When it last had a fault that is over.
    harmed: Cell<Option<Instant>>,
    far: SocketAddr,
    accepting: RefCell<Option<AbortHandle>>,
    ended: Notify,
}

/// How often a link that holds bytes back looks whether it may pass them on.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Bytes that one read passes on.
const CHUNK: usize = 16 << 10;

impl Link {
    /// A proxy on a port of its own before `far`.
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

    /// Ends all connections; new ones are refused, as where a process has ended.
    pub fn end(&self) {
        if let Some(accepting) = self.accepting.borrow_mut().take() {
            accepting.abort();
        }
        self.ended.notify_waiters();
    }

    /// Accepts connections again.
    pub async fn begin_again(self: &Rc<Self>) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        self.accept(listener);
        Ok(())
    }

    /// Puts a fault in force, or ends it.
    pub fn set_fault(&self, fault: Fault) {
        if self.fault.replace(fault) != Fault::None {
            self.harmed.set(Some(Instant::now()));
        }
    }

    /// Its fault.
    pub fn fault(&self) -> Fault {
        self.fault.get()
    }

    /// Whether it has had none for so long.
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
    // Closing without lingering resets; if the option fails it is an ordinary close.
    let _ = stream.set_zero_linger();
}

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

/// Passes bytes one way until either end closes.
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
