//! A target that keeps a book of what it ran.

use std::{
    cell::{Cell, OnceCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    HeaderMap, Request, Response,
    body::{Frame, Incoming},
};
use tokio::{sync::Notify, time::Instant};

use crate::{
    crashes,
    link::Link,
    promises::Promises,
    serve::{Body, listen, whole},
    withdrawals::Says,
};

/// How a target behaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Mood {
    #[default]
    Well,
    /// Refuses calls as not run.
    Full,
    /// Fails calls by itself.
    Failing,
    /// Runs calls and breaks the answer off.
    Cutting,
    /// Runs calls and never answers.
    Hanging,
}

/// One target.
pub struct Target {
    pub id: String,
    pub mood: Cell<Mood>,
    /// What it says of itself.
    pub says: Cell<Says>,
    /// Which life of it this is, and since when.
    pub births: Cell<u64>,
    pub born: Cell<Instant>,
    /// The way to it.
    pub link: OnceCell<Rc<Link>>,
    /// It ran a request that ends it.
    pub ending: Notify,
    promises: Rc<Promises>,
}

/// The time a plain call takes, and the pause between two events.
const WORK: Duration = Duration::from_millis(8);

/// The last event of each stream.
pub const LAST_EVENT: u64 = 12;

impl Target {
    pub async fn start(id: &str, promises: &Rc<Promises>) -> (Rc<Self>, SocketAddr) {
        let target = Rc::new(Self {
            id: id.to_owned(),
            mood: Cell::default(),
            says: Cell::default(),
            births: Cell::default(),
            born: Cell::new(Instant::now()),
            link: OnceCell::new(),
            ending: Notify::new(),
            promises: Rc::clone(promises),
        });
        let served = Rc::clone(&target);
        let address = listen(move |req| {
            let target = Rc::clone(&served);
            async move { target.answer(req).await }
        });
        (target, address.await)
    }

    /// Its name, and which life of it this is.
    pub fn life(&self) -> (String, u64) {
        (self.id.clone(), self.births.get())
    }

    /// It starts again under its name.
    pub fn on_restart(&self) {
        self.births.set(self.births.get() + 1);
        self.born.set(Instant::now());
        self.says.set(Says::Nothing);
    }

    /// Whether the way to it has passed everything on for so long.
    pub fn link_is_sound(&self, for_: Duration) -> bool {
        self.link.get().is_some_and(|link| link.is_sound(for_))
    }

    async fn answer(self: Rc<Self>, req: Request<Incoming>) -> Response<Body> {
        let (head, body) = req.into_parts();
        let call = text(&head.headers, "x-attempt-id").to_owned();
        // A caller that left in the middle of its request has none.
        let Ok(body) = body.collect().await else {
            return coded(400);
        };
        let body = body.to_bytes();
        if body == crashes::BODY {
            self.promises.on_crash();
            self.ending.notify_one();
            return std::future::pending().await;
        }
        self.promises.on_arrival(&call, &self);
        let expected = text(&head.headers, "x-expect-instance");
        let mood = match self.says.get() {
            Says::Backoff(_) => Mood::Full,
            _ => self.mood.get(),
        };
        let mut res = match () {
            () if expected != self.id => coded(421),
            () if mood == Mood::Full => coded(503),
            () => {
                self.promises.on_run(&self.id, &call, &head.headers, &body);
                self.run(&head.headers, &call, mood).await
            }
        };
        let headers = res.headers_mut();
        if let Ok(id) = call.parse() {
            headers.insert("x-attempt-id", id);
        }
        headers.insert("x-server-seal", "seal".parse().expect("a plain text"));
        if mood == Mood::Full {
            headers.insert("x-not-run", "1".parse().expect("a plain text"));
        }
        match self.says.get() {
            Says::Leaving => drop(headers.insert("server-leaving", 1.into())),
            Says::Backoff(seconds) if mood == Mood::Full => {
                headers.insert("retry-after", seconds.into());
            }
            _ => return res,
        }
        self.promises.withdrawals.on_answer(&call, &self);
        res
    }

    async fn run(&self, headers: &HeaderMap, call: &str, mood: Mood) -> Response<Body> {
        tokio::time::sleep(WORK).await;
        let is_stream = call.starts_with("stream");
        match mood {
            Mood::Failing => coded(500),
            Mood::Hanging => std::future::pending().await,
            Mood::Cutting => Response::new(events(headers, call, LAST_EVENT / 2, true)),
            _ if is_stream => Response::new(events(headers, call, LAST_EVENT, false)),
            _ => Response::new(whole(answer_to(call))),
        }
    }
}

/// The only right answer to a plain call.
pub fn answer_to(call: &str) -> String {
    format!("answer to {call}")
}

/// The event of a call's stream with this number.
pub fn event(call: &str, n: u64) -> String {
    format!("id: {n}\ndata: {call} {n}\n\n")
}

fn events(headers: &HeaderMap, call: &str, last: u64, breaks: bool) -> Body {
    let first = text(headers, "last-event-id").parse().unwrap_or(0) + 1;
    let call = call.to_owned();
    let pieces = stream::unfold(first, move |n| {
        let call = call.clone();
        async move {
            tokio::time::sleep(WORK).await;
            let piece = match n {
                n if n <= last => Ok(Frame::data(Bytes::from(event(&call, n)))),
                _ if breaks => Err(std::io::ErrorKind::ConnectionReset.into()),
                _ => return None,
            };
            Some((piece, n + 1))
        }
    });
    StreamBody::new(pieces).boxed_unsync()
}

fn coded(status: u16) -> Response<Body> {
    let mut res = Response::new(whole("no"));
    *res.status_mut() = status.try_into().expect("a known status");
    res
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default()
}
