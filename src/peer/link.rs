//! One connection between two routers, with many streams on it.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering},
    },
};

use futures::{SinkExt, StreamExt};
use parking_lot::Mutex;
use tokio::{
    net::TcpStream,
    sync::mpsc::{self, Sender, UnboundedReceiver, UnboundedSender},
    time::{Duration, timeout},
};

use super::{VERSION, codec, wire};
use crate::{
    Error, Result,
    ids::{Incarnation, VmId},
};

/// Frames that may wait for the socket before their senders do.
const SEND_QUEUE: usize = 64;

/// How long a peer may take to connect and to greet.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);

/// Who a router is to its peers.
#[derive(Debug, Clone)]
pub(super) struct Greeting {
    pub(super) vm: VmId,
    pub(super) incarnation: Incarnation,
}

impl Greeting {
    pub(super) fn frame(&self) -> wire::Frame {
        wire::Frame::Hello(wire::Hello {
            version: VERSION,
            vm: self.vm.to_string(),
            incarnation: self.incarnation.0 as i64,
        })
    }
}

/// Checks the first frame of the other side.
pub(super) fn check_hello(frame: &wire::Frame) -> Result<VmId> {
    match frame {
        wire::Frame::Hello(h) if h.version == VERSION => {
            h.vm.parse()
                .map_err(|e| Error::Protocol(format!("hello: {e}")))
        }
        wire::Frame::Hello(h) => Err(Error::Protocol(format!("version {}", h.version))),
        _ => Err(Error::Protocol("no hello".to_owned())),
    }
}

/// Bytes of frames that belong to no single request, and of claims.
#[derive(Debug, Default)]
pub(super) struct PeerBytes {
    pub(super) control: AtomicU64,
    pub(super) claims: AtomicU64,
}

impl PeerBytes {
    pub(super) fn count(&self, frame: &wire::Frame, size: usize) {
        let counter = match frame {
            wire::Frame::ClaimAsk(_) | wire::Frame::ClaimAnswer(_) => &self.claims,
            wire::Frame::ConfigPull(_)
            | wire::Frame::ConfigChanges(_)
            | wire::Frame::ConfigSnapshot(_)
            | wire::Frame::Placed(_) => &self.control,
            _ => return,
        };
        counter.fetch_add(size as u64, Ordering::Relaxed);
    }
}

/// The dialling side of a connection.
#[derive(Debug)]
pub(super) struct Link {
    out: Sender<wire::Frame>,
    streams: Mutex<HashMap<i64, UnboundedSender<wire::Frame>>>,
    next: AtomicI64,
    open: AtomicBool,
    bytes: Arc<PeerBytes>,
}

impl Link {
    /// Connects, greets, and checks the other's greeting.
    pub(super) async fn dial(
        address: std::net::SocketAddr,
        greeting: &Greeting,
        body_limit: usize,
        bytes: Arc<PeerBytes>,
    ) -> Result<Arc<Self>> {
        let hello = async {
            let socket = TcpStream::connect(address).await?;
            socket.set_nodelay(true)?;
            let mut framed = codec::framed(socket, body_limit);
            framed.send(codec::encode(&greeting.frame())?).await?;
            let first = framed.next().await;
            let first = first.ok_or_else(|| Error::Protocol("closed".to_owned()))??;
            check_hello(&codec::decode(&first)?)?;
            Ok::<_, Error>(framed)
        };
        let framed = timeout(HELLO_TIMEOUT, hello)
            .await
            .map_err(|_| Error::Protocol("no hello in time".to_owned()))??;
        let (sink, mut source) = framed.split();
        let (out, rx) = mpsc::channel(SEND_QUEUE);
        let link = Arc::new(Self {
            out,
            streams: Mutex::default(),
            next: AtomicI64::new(1),
            open: AtomicBool::new(true),
            bytes,
        });
        tokio::spawn(write_frames(rx, sink));
        let reader = Arc::clone(&link);
        tokio::spawn(async move {
            while let Some(Ok(bytes)) = source.next().await {
                match codec::decode(&bytes) {
                    Ok(frame) => reader.dispatch(frame, bytes.len()),
                    Err(_) => break,
                }
            }
            reader.close();
        });
        Ok(link)
    }

    /// Whether the connection still stands.
    pub(super) fn is_open(&self) -> bool {
        self.open.load(Ordering::Acquire) && !self.out.is_closed()
    }

    /// A new stream, with what comes back on it.
    pub(super) fn stream(self: &Arc<Self>) -> (i64, UnboundedReceiver<wire::Frame>) {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        // The frames that can wait here are bounded by the stream's window.
        let (tx, rx) = mpsc::unbounded_channel();
        self.streams.lock().insert(id, tx);
        if !self.is_open() {
            self.streams.lock().remove(&id);
        }
        (id, rx)
    }

    /// Sends a frame; fails where the connection is gone.
    pub(super) async fn send(&self, frame: wire::Frame) -> Result<()> {
        let gone = |_| Error::Protocol("peer connection closed".to_owned());
        self.out.send(frame).await.map_err(gone)
    }

    /// Sends a frame without waiting, if there is room and a connection.
    pub(super) fn try_send(&self, frame: wire::Frame) {
        // A peer that cannot be told now finds out when the connection ends.
        let _ = self.out.try_send(frame);
    }

    /// Takes no more of a stream.
    pub(super) fn forget(&self, stream: i64) {
        self.streams.lock().remove(&stream);
    }

    fn dispatch(&self, frame: wire::Frame, size: usize) {
        let Some(id) = stream_of(&frame) else { return };
        self.bytes.count(&frame, size);
        let streams = self.streams.lock();
        if let Some(tx) = streams.get(&id) {
            // A stream whose receiver left takes nothing more.
            let _ = tx.send(frame);
        }
    }

    fn close(&self) {
        self.open.store(false, Ordering::Release);
        self.streams.lock().clear();
    }
}

/// Writes frames to a socket, several at once where several wait.
pub(super) async fn write_frames<S>(mut rx: mpsc::Receiver<wire::Frame>, mut sink: S)
where
    S: futures::Sink<bytes::Bytes, Error = std::io::Error> + Unpin,
{
    let mut frames = Vec::new();
    while rx.recv_many(&mut frames, SEND_QUEUE).await > 0 {
        for frame in frames.drain(..) {
            let Ok(bytes) = codec::encode(&frame) else {
                return;
            };
            if sink.feed(bytes).await.is_err() {
                return;
            }
        }
        if sink.flush().await.is_err() {
            return;
        }
    }
}

fn stream_of(frame: &wire::Frame) -> Option<i64> {
    match frame {
        wire::Frame::Head(f) => Some(f.stream),
        wire::Frame::Data(f) => Some(f.stream),
        wire::Frame::Done(f) => Some(f.stream),
        wire::Frame::Refuse(f) => Some(f.stream),
        wire::Frame::ClaimAnswer(f) => Some(f.call),
        wire::Frame::ExplainAnswer(f) => Some(f.call),
        wire::Frame::ConfigChanges(f) => Some(f.call),
        wire::Frame::ConfigSnapshot(f) => Some(f.call),
        _ => None,
    }
}
