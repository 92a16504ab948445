//! Simulated target that reports the calls that it receives and runs.

use std::{
    cell::{Cell, OnceCell},
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    HeaderMap, Request, Response, Version,
    body::{Frame, Incoming},
};
use tokio::{sync::Notify, time::Instant};

use crate::{
    brittle::{REJECTION_LIMIT, Rejections},
    crashes,
    link::Link,
    promises::PromiseChecker,
    restarts,
    serve::{Body, listen, whole},
    silences::{self, Silence},
    slow_readers, versions,
    withdrawals::Withdrawal,
};

/// How a target handles calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum TargetBehavior {
    /// Runs calls and responds.
    #[default]
    Healthy,
    /// Refuses calls and reports them as not run.
    Refusing,
    /// Runs calls and responds with status 500.
    Failing,
    /// Runs calls and resets the connection in the middle of the response.
    Truncating,
    /// Runs calls and never responds.
    Hanging,
    /// Is silent for a second, then runs calls and responds.
    Pausing,
}

/// A simulated target.
pub struct Target {
    pub id: String,
    /// How it handles calls.
    pub behavior: Cell<TargetBehavior>,
    /// Until when it is silent; its calls go on afterwards.
    pub silence: Silence,
    /// What it announces about itself in responses.
    pub withdrawal: Cell<Withdrawal>,
    /// Whether the current instance is listed under a name of its own.
    has_new_name: Cell<bool>,
    /// Number of its restarts, which identifies the current instance.
    pub restarts: Cell<u64>,
    /// When the current instance started.
    pub started_at: Cell<Instant>,
    /// Link through which routers reach it.
    pub link: OnceCell<Rc<Link>>,
    /// Notified when it runs the request that crashes it.
    pub crashed: Notify,
    /// Maximum number of calls that it runs at once; `None` for no limit.
    slots: Option<usize>,
    /// Time that a plain call takes.
    call_time: Duration,
    /// Whether it states that it is brittle.
    pub brittle: Cell<bool>,
    /// Calls that it rejected while it was brittle.
    rejections: Rejections,
    /// Number of calls that it runs.
    running: Cell<usize>,
    promises: Rc<PromiseChecker>,
}

/// Time that a plain call takes, and pause before each event of a stream.
const PROCESSING_TIME: Duration = Duration::from_millis(8);

/// Time for which a target is silent that goes on afterwards.
const SILENCE: Duration = Duration::from_secs(1);

/// Number of the last event of each stream; the first one is 1.
pub const LAST_EVENT: u64 = 12;

impl Target {
    /// Starts a target without a limit on calls, and returns it with the address at which it accepts
    /// connections.
    pub async fn start(id: &str, promises: &Rc<PromiseChecker>) -> (Rc<Self>, SocketAddr) {
        Self::start_limited(id, None, PROCESSING_TIME, promises).await
    }

    /// Starts a target that runs at most `slots` calls at once, each for `call_time`, and rejects
    /// others.
    pub async fn start_limited(
        id: &str,
        slots: Option<usize>,
        call_time: Duration,
        promises: &Rc<PromiseChecker>,
    ) -> (Rc<Self>, SocketAddr) {
        let target = Rc::new(Self {
            id: id.to_owned(),
            behavior: Cell::default(),
            silence: Silence::default(),
            withdrawal: Cell::default(),
            has_new_name: Cell::default(),
            restarts: Cell::default(),
            started_at: Cell::new(Instant::now()),
            link: OnceCell::new(),
            crashed: Notify::new(),
            slots,
            call_time,
            brittle: Cell::default(),
            rejections: Rejections::default(),
            running: Cell::default(),
            promises: Rc::clone(promises),
        });
        let handler_target = Rc::clone(&target);
        let address = listen(move |req| {
            let target = Rc::clone(&handler_target);
            async move { target.handle(req).await }
        });
        (target, address.await)
    }

    /// Returns its id and the number of its current instance.
    pub fn instance(&self) -> (String, u64) {
        (self.id.clone(), self.restarts.get())
    }

    /// Returns the name under which the current instance is listed.
    pub fn name(&self) -> String {
        match self.has_new_name.get() {
            true => format!("{}-{}", self.id, self.restarts.get()),
            false => self.id.clone(),
        }
    }

    /// Returns the version of the current instance's software.
    pub fn version(&self) -> String {
        versions::version(&self.id, self.restarts.get())
    }

    /// Starts a new instance, under a name of its own or under the same one.
    pub fn on_restart(&self, has_new_name: bool) {
        self.has_new_name.set(has_new_name);
        self.restarts.set(self.restarts.get() + 1);
        self.started_at.set(Instant::now());
        self.withdrawal.set(Withdrawal::None);
    }

    /// Returns whether its link has had no fault for at least this time.
    pub fn link_is_healthy_for(&self, duration: Duration) -> bool {
        self.link
            .get()
            .is_some_and(|link| link.is_healthy_for(duration))
    }

    /// Handles a request.
    async fn handle(self: Rc<Self>, req: Request<Incoming>) -> Response<Body> {
        let (head, body) = req.into_parts();
        let call = header_text(&head.headers, "x-attempt-id").to_owned();
        // The body is incomplete if the caller closed the connection in the middle of its request.
        let Ok(body) = body.collect().await else {
            return status_response(400);
        };
        let body = body.to_bytes();
        let has_crash_part =
            header_text(&head.headers, "x-prefix-hash").contains(crashes::CRASH_PART);
        if body == crashes::CRASH_BODY || has_crash_part {
            self.promises.on_crash();
            self.crashed.notify_one();
            return std::future::pending().await;
        }
        let connection = head.extensions.get::<SocketAddr>().copied();
        let path = self.link.get().cloned().zip(connection);
        self.promises.attempts.on_arrival(&call, &self.id, path);
        self.promises.on_arrival(&call, &self);
        let expected = header_text(&head.headers, "x-expect-instance");
        let behavior = match self.withdrawal.get() {
            Withdrawal::Backoff(_) => TargetBehavior::Refusing,
            _ if self.slots.is_some_and(|n| self.running.get() >= n) => TargetBehavior::Refusing,
            _ => self.behavior.get(),
        };
        let mut res = match () {
            () if expected != self.name() => status_response(421),
            () if behavior == TargetBehavior::Refusing => status_response(503),
            () => {
                self.promises.on_run(&self.id, &call, &head.headers, &body);
                self.run(&head.headers, &call, behavior).await
            }
        };
        self.silence.until_over().await;
        if res.status() != 200 {
            self.promises.attempts.on_failed_by_target(&call, &self.id);
        }
        let headers = res.headers_mut();
        if let Ok(id) = call.parse() {
            headers.insert("x-attempt-id", id);
        }
        headers.insert("x-server-seal", "seal".parse().expect("a header value"));
        if behavior == TargetBehavior::Refusing {
            headers.insert("x-not-run", "1".parse().expect("a header value"));
        }
        if self.brittle.get() {
            headers.insert("server-brittle", REJECTION_LIMIT.into());
            if behavior == TargetBehavior::Refusing && self.rejections.on_rejected() {
                self.promises.on_brittle_crash(&self.id);
            }
        }
        match self.withdrawal.get() {
            Withdrawal::Leaving => drop(headers.insert("server-leaving", 1.into())),
            Withdrawal::Backoff(seconds) if behavior == TargetBehavior::Refusing => {
                headers.insert("retry-after", seconds.into());
            }
            _ => return res,
        }
        self.promises.withdrawals.on_announcement(&call, &self);
        res
    }

    /// Returns a stream of events up to `last` that resumes after the caller's `last-event-id`.
    ///
    /// If `reset_flag` is given, it ends with a connection reset, at which the flag is set.
    fn events(
        &self,
        headers: &HeaderMap,
        (call, version): (&str, String),
        last: u64,
        reset_flag: Option<Arc<AtomicBool>>,
    ) -> Body {
        let first = first_event(headers);
        let call = call.to_owned();
        let silence = self.silence.clone();
        let pause = match call.as_str() {
            call if call.starts_with(silences::ID_PREFIX) => silences::EVENT_PAUSE,
            call if call.starts_with(restarts::ID_PREFIX) => restarts::EVENT_PAUSE,
            _ => PROCESSING_TIME,
        };
        let frames = stream::unfold(first, move |n| {
            let (reset_flag, silence) = (reset_flag.clone(), silence.clone());
            let event = match call.starts_with(versions::ID_PREFIX) {
                true => format!("id: {n}\ndata: {n} {version}\n\n"),
                false => event(&call, n),
            };
            async move {
                tokio::time::sleep(pause).await;
                silence.until_over().await;
                let frame = match n {
                    n if n <= last => Ok(Frame::data(Bytes::from(event))),
                    _ => {
                        reset_flag?.store(true, Ordering::Relaxed);
                        Err(std::io::ErrorKind::ConnectionReset.into())
                    }
                };
                Some((frame, n + 1))
            }
        });
        StreamBody::new(frames).boxed_unsync()
    }

    /// Runs a call and returns its response.
    async fn run(
        &self,
        headers: &HeaderMap,
        call: &str,
        behavior: TargetBehavior,
    ) -> Response<Body> {
        // A later instance has no part in what this one has begun.
        let version = self.version();
        if behavior == TargetBehavior::Pausing {
            tokio::time::sleep(SILENCE).await;
        }
        {
            let _slot = Slot::take(self);
            tokio::time::sleep(self.call_time).await;
        }
        let is_stream = call.starts_with("stream");
        match behavior {
            TargetBehavior::Failing => status_response(500),
            TargetBehavior::Hanging => {
                self.promises.attempts.on_failed_by_target(call, &self.id);
                std::future::pending().await
            }
            TargetBehavior::Truncating => {
                let flag = self.promises.attempts.failure_flag(call, &self.id);
                Response::new(self.events(headers, (call, version), LAST_EVENT / 2, Some(flag)))
            }
            _ if is_stream => {
                if first_event(headers) > LAST_EVENT {
                    // Only the end of the earlier answer was lost, which no router can resume.
                    self.promises.attempts.on_failed_by_target(call, &self.id);
                }
                Response::new(self.events(headers, (call, version), LAST_EVENT, None))
            }
            _ if is_unframed(call) => unframed(self.plain_answer(call)),
            _ if self.slots.is_some() => Response::new(whole(expected_body(call))),
            _ => {
                let mut res = Response::new(self.plain_answer(call));
                let length = expected_body(call).len();
                res.headers_mut().insert("content-length", length.into());
                res
            }
        }
    }

    /// Returns the body of the answer to a plain call in two parts, between which a silence may fall.
    fn plain_answer(&self, call: &str) -> Body {
        let first = Bytes::from(expected_body(call));
        let rest = first.clone().split_off(first.len() / 2);
        let first = first.slice(..first.len() / 2);
        let silence = self.silence.clone();
        let frames = stream::iter([first]).chain(stream::once(async move {
            tokio::time::sleep(PROCESSING_TIME / 2).await;
            silence.until_over().await;
            rest
        }));
        StreamBody::new(frames.map(|part| Ok(Frame::data(part)))).boxed_unsync()
    }
}

/// A slot that a call occupies until this is dropped.
struct Slot<'a>(&'a Target);

impl<'a> Slot<'a> {
    fn take(target: &'a Target) -> Self {
        target.running.set(target.running.get() + 1);
        Self(target)
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

/// Returns the expected body of the response to a plain call.
pub fn expected_body(call: &str) -> String {
    format!("answer to {call}")
}

/// Returns whether the answer to a call has neither a length nor chunks.
fn is_unframed(call: &str) -> bool {
    call.ends_with('7')
}

/// Returns an answer that ends with its connection.
fn unframed(body: Body) -> Response<Body> {
    let frames = body.into_data_stream().map(|data| data.map(Frame::data));
    let mut res = Response::new(StreamBody::new(frames).boxed_unsync());
    // A server sends a body of unknown length without chunks in this version only.
    *res.version_mut() = Version::HTTP_10;
    res
}

/// Returns the event with this number of a call's stream.
pub fn event(call: &str, n: u64) -> String {
    let padding = match call.starts_with(slow_readers::ID_PREFIX) {
        true => "x".repeat(slow_readers::EVENT_PADDING),
        false => String::new(),
    };
    format!("id: {n}\ndata: {call} {n}{padding}\n\n")
}

/// Returns the number of the first event that a call asks for.
fn first_event(headers: &HeaderMap) -> u64 {
    header_text(headers, "last-event-id").parse().unwrap_or(0) + 1
}

/// Returns a response with this status.
fn status_response(status: u16) -> Response<Body> {
    let mut res = Response::new(whole("no"));
    *res.status_mut() = status.try_into().expect("a valid status code");
    res
}

/// Returns the value of a header as text, or an empty text.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default()
}
