//! Callers that send calls to the routers in a loop.
//!
//! A caller reuses its connection until a call gets no response or the router's process exits.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use tokio::{net::TcpStream, task::JoinHandle, time::Instant};

use crate::{
    promises::{CallOutcome, Promise, PromiseChecker},
    stops::ProcessState,
    vm::{API_KEYS, LIFECYCLE_TIMEOUT, TestEnv, Vm},
};

/// Number of callers of each router.
const CALLERS_PER_VM: usize = 3;

/// Upper bound of the pause between two calls of one caller, in milliseconds.
const MAX_PAUSE_MS: u64 = 30;

/// Deadline of calls that need no longer one.
pub const CALL_DEADLINE: Duration = Duration::from_secs(3);

/// Number of calls that must be served after the faults before the fleet counts as recovered.
const MIN_SERVED_CALLS: u64 = 100;

/// A caller's connection to a router.
pub struct Caller {
    sender: SendRequest<Full<Bytes>>,
    /// Deadline of its calls, and its timeout for the response head and for each body frame.
    pub deadline: Duration,
}

impl Caller {
    fn request(&self, kind: &str, id: &str, key: &str) -> hyper::http::request::Builder {
        Request::post(format!("/{kind}/x"))
            .header("host", "desk.example")
            .header("x-attempt-id", id)
            .header("x-deadline-ms", self.deadline.as_millis().to_string())
            .header("authorization", format!("Token {key}"))
    }

    /// Connects to a router, or returns `None` if that fails.
    pub async fn connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::task::spawn_local(async move {
            // The call that waits for a response on this connection gets the error as well.
            let _ = connection.await;
        });
        Some(Self {
            sender,
            deadline: CALL_DEADLINE,
        })
    }

    /// Returns whether `GET /` is answered with status 200.
    pub async fn is_ok(&mut self) -> bool {
        let req = Request::get("/").header("host", "x").body(Full::default());
        let Ok(req) = req else { return false };
        let response = tokio::time::timeout(CALL_DEADLINE, self.sender.send_request(req)).await;
        matches!(response, Ok(Ok(res)) if res.status() == 200)
    }

    /// Sends a call whose body is its id, and returns its outcome.
    pub async fn call(&mut self, kind: &str, id: &str, key: &str) -> CallOutcome {
        self.call_with_body(kind, id, key, id).await
    }

    /// Sends a call with the given body, and returns its outcome.
    pub async fn call_with_body(
        &mut self,
        kind: &str,
        id: &str,
        key: &str,
        body: &str,
    ) -> CallOutcome {
        let req = self
            .request(kind, id, key)
            .body(Full::from(body.to_owned()));
        self.read_response(req, None).await
    }

    /// Sends a call whose prompt has these parts, and returns its outcome.
    pub async fn call_with_prompt(&mut self, id: &str, key: &str, prompt: &str) -> CallOutcome {
        let req = self.request("safe", id, key);
        let req = req.header("x-prefix-hash", prompt);
        let req = req.body(Full::from(id.to_owned()));
        self.read_response(req, None).await
    }

    /// Asks for a stream or the rest of one. After `patience`, the connection is dropped.
    pub async fn read_stream(
        &mut self,
        id: &str,
        key: &str,
        continuation: Option<Continuation<'_>>,
        patience: Option<Duration>,
    ) -> CallOutcome {
        let mut req = self.request("stream", id, key);
        if let Some(Continuation { resumes, last }) = continuation {
            req = req
                .header("resumes", resumes)
                .header("last-event-id", last.to_string());
        }
        let req = req.body(Full::from(id.to_owned()));
        self.read_response(req, patience).await
    }

    async fn read_response(
        &mut self,
        req: Result<Request<Full<Bytes>>, hyper::http::Error>,
        patience: Option<Duration>,
    ) -> CallOutcome {
        let Ok(req) = req else {
            return CallOutcome::NoResponse;
        };
        let until = patience.map(|patience| Instant::now() + patience);
        let response = tokio::time::timeout(self.deadline, self.sender.send_request(req)).await;
        let Ok(Ok(res)) = response else {
            return CallOutcome::NoResponse;
        };
        let status = res.status().as_u16();
        let mut incoming = res.into_body();
        let mut body = Vec::new();
        loop {
            if until.is_some_and(|until| Instant::now() >= until) {
                return CallOutcome::Response(status, body, false);
            }
            match tokio::time::timeout(self.deadline, incoming.frame()).await {
                Ok(Some(Ok(frame))) => body.extend_from_slice(frame.data_ref().map_or(&[], |d| d)),
                Ok(None) => return CallOutcome::Response(status, body, true),
                _ => return CallOutcome::Response(status, body, false),
            }
        }
    }
}

/// A caller's connection to one process of a router, for several calls.
pub struct Connection {
    pub caller: Caller,
    process: Rc<ProcessState>,
    /// Whether a call on it has been answered.
    is_kept: bool,
}

impl Connection {
    /// Returns the connection if it can be used again, or opens one.
    pub async fn reuse_or_open(connection: Option<Self>, vm: &Vm) -> Option<Self> {
        match connection.filter(|c| c.caller.sender.is_ready()) {
            Some(connection) => Some(connection),
            None => Caller::connect(vm.caller_address).await.map(|caller| Self {
                caller,
                // A connection to an earlier process gets no response.
                process: vm.process(),
                is_kept: false,
            }),
        }
    }

    /// Checks how a call on the connection ended. Returns the connection if it got a response.
    pub fn on_end(
        mut self,
        promises: &PromiseChecker,
        call: &str,
        outcome: &CallOutcome,
        sent_at: Instant,
    ) -> Option<Self> {
        promises.check_stop(call, outcome, &self.process, sent_at);
        if self.is_kept {
            promises.check_loss(call, outcome, &self.process, sent_at, self.caller.deadline);
        }
        self.is_kept = true;
        (*outcome != CallOutcome::NoResponse).then_some(self)
    }
}

/// What a call says of the stream that it takes up.
#[derive(Debug, Clone, Copy)]
pub struct Continuation<'a> {
    /// Id of the call that brought the first event.
    pub resumes: &'a str,
    /// Id of the last event that arrived.
    pub last: u64,
}

/// The running callers.
pub struct CallerTasks {
    tasks: Vec<JoinHandle<()>>,
    /// Whether the callers should stop after their current calls.
    stop_requested: Rc<Cell<bool>>,
    promises: Rc<PromiseChecker>,
}

/// Starts the callers of each router.
pub fn start(env: &TestEnv, seed: u64) -> CallerTasks {
    let stop = Rc::new(Cell::new(false));
    let mut tasks = Vec::new();
    for (vm_index, vm) in env.vms.iter().enumerate() {
        for caller_index in 0..CALLERS_PER_VM {
            let rng =
                Pcg64::seed_from_u64(seed ^ (vm_index * CALLERS_PER_VM + caller_index + 1) as u64);
            let name = format!("{vm_index}-{caller_index}");
            let task = run_caller(
                Rc::clone(vm),
                Rc::clone(&env.promises),
                Rc::clone(&stop),
                env.version(),
                rng,
                name,
            );
            tasks.push(tokio::task::spawn_local(task));
        }
    }
    CallerTasks {
        tasks,
        stop_requested: stop,
        promises: Rc::clone(&env.promises),
    }
}

/// Sends random calls to one router until the callers are stopped.
async fn run_caller(
    vm: Rc<Vm>,
    promises: Rc<PromiseChecker>,
    stop: Rc<Cell<bool>>,
    version: Rc<Cell<u64>>,
    mut rng: Pcg64,
    name: String,
) {
    let mut kept = None;
    let mut n = 0_u64;
    while !stop.get() {
        n += 1;
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
        // Each configuration version has its own route, which shows which version is in force.
        let requested_version = version.get().saturating_sub(rng.random_range(0..3));
        let version_kind = format!("only-{requested_version}");
        let kind = ["safe", "once", "stream", version_kind.as_str()][rng.random_range(0..4)];
        let uses_second_key = rng.random_bool(0.2);
        let id = format!("{kind}-{name}-{n}");
        let Some(mut connection) = Connection::reuse_or_open(kept.take(), &vm).await else {
            continue;
        };
        let served_version = vm.applied_version.get();
        let sent_at = Instant::now();
        promises.on_sent(&id, sent_at);
        let caller = &mut connection.caller;
        let outcome = caller
            .call(kind, &id, API_KEYS[usize::from(uses_second_key)])
            .await;
        promises.on_end(&id, &outcome, sent_at, uses_second_key);
        if kind == version_kind
            && matches!(outcome, CallOutcome::Response(200, ..))
            && vm.applied_version.get() >= served_version
        {
            vm.applied_version
                .set(vm.applied_version.get().max(requested_version));
            if requested_version < served_version {
                promises.record_violation(
                    Promise::ConfigNeverBack,
                    format!("{id} after v{served_version}"),
                );
            }
        }
        kept = connection.on_end(&promises, &id, &outcome, sent_at);
    }
}

impl CallerTasks {
    /// Waits until enough calls are served after the faults, and records a violation if that takes too long.
    pub async fn until_recovered(&self) {
        let served_before = self.promises.served();
        let deadline = Instant::now() + LIFECYCLE_TIMEOUT;
        while self.promises.served() < served_before + MIN_SERVED_CALLS {
            if Instant::now() > deadline {
                let served = self.promises.served() - served_before;
                let description = format!("only {served} calls served in {LIFECYCLE_TIMEOUT:?}");
                self.promises
                    .record_violation(Promise::Recovery, description);
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Stops the callers after each has finished its current call.
    pub async fn stop(self) {
        self.stop_requested.set(true);
        for task in self.tasks {
            // A panic of a caller has been printed already.
            let _ = task.await;
        }
    }
}
