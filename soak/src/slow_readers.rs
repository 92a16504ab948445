//! Callers that read large streams slowly, late, or not at all.
//!
//! A router may give them up. What they get must be a part of their own answer, and must not look complete
//! if it is not.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use rand::{Rng, seq::IndexedRandom};
use rand_pcg::Pcg64;
use tokio::{
    net::TcpSocket,
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

use crate::{
    promises::CallOutcome,
    vm::{API_KEYS, TestEnv},
};

/// Prefix of the ids of their calls, by which targets send large events.
pub const ID_PREFIX: &str = "stream-slow";

/// Size that targets add to each event for them, in bytes: a whole stream is larger than what the operating
/// system holds for a connection with a small receive buffer.
pub const EVENT_PADDING: usize = 32 << 10;

/// Memory of each router in megabytes, so that the slow callers of one router reach its bounds.
pub const ROUTER_MEMORY_MB: u64 = 16;

/// Number of slow callers of each router.
const CALLERS_PER_VM: usize = 12;

/// Size of the receive buffer of each, in bytes.
const RECEIVE_BUFFER: u32 = 4 << 10;

/// Range of the pause before each read, in milliseconds; the longest pauses are above the time after which
/// routers give a caller up.
const PAUSE_MS: [std::ops::Range<u64>; 3] = [0..20, 100..400, 3_000..7_000];

/// Maximum time of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Deadline that is sent with each call, in milliseconds.
const DEADLINE_MS: u64 = 4_000;

/// Selects separate random sequences, so that the other faults of a seed do not change.
const RNG_STREAM: u128 = 0x0073_6c6f_7720_0000;

/// The running slow callers.
pub struct SlowReaders(Vec<JoinHandle<()>>);

/// Starts the slow callers of each router.
pub fn start(env: &Rc<TestEnv>, seed: u64) -> SlowReaders {
    let places = (0..env.vms.len()).flat_map(|vm| (0..CALLERS_PER_VM).map(move |n| (vm, n)));
    let tasks = places.map(|(vm, n)| {
        let stream = RNG_STREAM + (vm * CALLERS_PER_VM + n) as u128;
        let rng = Pcg64::new(u128::from(seed), stream);
        tokio::task::spawn_local(run(Rc::clone(env), vm, n, rng))
    });
    SlowReaders(tasks.collect())
}

impl SlowReaders {
    /// Ends them; calls in progress are abandoned.
    pub fn stop(self) {
        self.0.iter().for_each(JoinHandle::abort);
    }
}

async fn run(env: Rc<TestEnv>, vm: usize, caller: usize, mut rng: Pcg64) {
    let promises = &env.promises;
    for n in 0_u64.. {
        let id = format!("{ID_PREFIX}-{vm}-{caller}-{n}");
        let pause = PAUSE_MS.choose(&mut rng).unwrap_or(&PAUSE_MS[0]).clone();
        let sent_at = Instant::now();
        promises.on_sent(&id, sent_at);
        let outcome = Cell::new(None);
        let read = call(env.vms[vm].caller_address, &id, pause, &mut rng, &outcome);
        // What was read before the time is up counts as a truncated response.
        let _ = timeout(CALL_TIMEOUT, read).await;
        let outcome = outcome.take().unwrap_or(CallOutcome::NoResponse);
        promises.on_end(&id, &outcome, sent_at, false);
        sleep(Duration::from_millis(rng.random_range(0..200))).await;
    }
}

/// Sends a call, and reads its response with a pause before each frame. What has been read is in `outcome`.
async fn call(
    address: SocketAddr,
    id: &str,
    pause: std::ops::Range<u64>,
    rng: &mut Pcg64,
    outcome: &Cell<Option<CallOutcome>>,
) -> Option<()> {
    let res = send(address, id).await?;
    let status = res.status().as_u16();
    let mut incoming = res.into_body();
    let mut body = Vec::new();
    loop {
        outcome.set(Some(CallOutcome::Response(status, body.clone(), false)));
        sleep(Duration::from_millis(rng.random_range(pause.clone()))).await;
        match incoming.frame().await {
            Some(Ok(frame)) => body.extend_from_slice(frame.data_ref().map_or(&[], |d| d)),
            Some(Err(_)) => return None,
            None => {
                outcome.set(Some(CallOutcome::Response(status, body, true)));
                return Some(());
            }
        }
    }
}

async fn send(address: SocketAddr, id: &str) -> Option<Response<Incoming>> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER).ok()?;
    let stream = socket.connect(address).await.ok()?;
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(8 << 10)
        .handshake(TokioIo::new(stream))
        .await
        .ok()?;
    tokio::task::spawn_local(async move {
        // The call that waits for a response on this connection gets the error as well.
        let _ = connection.await;
    });
    let req = Request::post("/stream/x")
        .header("host", "desk.example")
        .header("x-attempt-id", id)
        .header("x-deadline-ms", DEADLINE_MS)
        .header("authorization", format!("Token {}", API_KEYS[0]))
        .body(Full::new(Bytes::from(id.to_owned())));
    sender.send_request(req.ok()?).await.ok()
}
