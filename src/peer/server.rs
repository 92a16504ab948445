//! The accepting side of connections between routers.

use std::{collections::HashMap, sync::Arc, time::Duration};

use async_trait::async_trait;
use futures::{SinkExt, StreamExt};
use parking_lot::Mutex;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{
        Semaphore,
        mpsc::{self, Sender},
    },
    task::AbortHandle,
    time::timeout,
};

use super::{
    WINDOW, codec,
    link::{Greeting, check_hello, write_frames},
    pool::{Admission, Control, ControlReply, OpenError, from_wire_header, to_wire_header},
    wire,
};
use crate::{
    Error, Result,
    claims::{ClaimKey, ClaimKind, ClaimStep},
    config::{Digest, Update},
    ids::{AttemptId, ConversationKey, Incarnation, Revision, TargetId, VmId},
    target::{Answer, Call, merge_ready},
    units::{Priority, Tokens},
    walk::Wait,
};

/// How long a peer that connects may take to greet.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Streams that one peer may have open at once.
const STREAM_LIMIT: usize = 20_000;

/// Frames that may wait for the socket before their senders do.
const SEND_QUEUE: usize = 64;

/// What a router does for its peers.
#[async_trait]
pub trait PeerService: Send + Sync + 'static {
    /// Admits a call at the home of its target and relays it.
    async fn serve_call(&self, call: Call, admission: Admission) -> Result<Answer, OpenError>;

    /// Answers a control call.
    async fn serve_control(&self, ask: Control) -> Result<ControlReply>;

    /// Takes note of where a chat went.
    fn note_placed(&self, first: &TargetId, conversation: ConversationKey, target: TargetId);
}

/// Accepts connections until dropped.
pub async fn serve(
    listener: TcpListener,
    vm: VmId,
    incarnation: Incarnation,
    body_limit: usize,
    service: Arc<dyn PeerService>,
) {
    let greeting = Greeting { vm, incarnation };
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let service = Arc::clone(&service);
                let greeting = greeting.clone();
                tokio::spawn(async move {
                    // A connection that ends badly is the dialling side's to report.
                    let _ = connection(socket, &greeting, body_limit, service).await;
                });
            }
            // Out of descriptors, most likely: wait for some to be freed.
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

struct Stream {
    task: AbortHandle,
    window: Arc<Semaphore>,
}

/// The streams of a connection; all end with it.
#[derive(Default)]
struct Streams(Mutex<HashMap<i64, Stream>>);

impl Drop for Streams {
    fn drop(&mut self) {
        self.0.lock().values().for_each(|s| s.task.abort());
    }
}

async fn connection(
    socket: TcpStream,
    greeting: &Greeting,
    body_limit: usize,
    service: Arc<dyn PeerService>,
) -> Result<()> {
    socket.set_nodelay(true)?;
    let mut framed = codec::framed(socket, body_limit);
    let first = timeout(HELLO_TIMEOUT, framed.next())
        .await
        .map_err(|_| Error::Protocol("no hello in time".to_owned()))?;
    let first = first.ok_or_else(|| Error::Protocol("closed".to_owned()))??;
    check_hello(&codec::decode(&first)?)?;
    framed.send(codec::encode(&greeting.frame())?).await?;
    let (sink, mut source) = framed.split();
    let (out, rx) = mpsc::channel(SEND_QUEUE);
    tokio::spawn(write_frames(rx, sink));
    let streams = Arc::new(Streams::default());
    let ends = EndStreams(Arc::clone(&streams));
    while let Some(bytes) = source.next().await {
        on_frame(codec::decode(&bytes?)?, &out, &streams, &service)?;
    }
    drop(ends);
    Ok(())
}

/// Ends a connection's streams when its reader ends, though their tasks still hold the table.
struct EndStreams(Arc<Streams>);

impl Drop for EndStreams {
    fn drop(&mut self) {
        self.0.0.lock().drain().for_each(|(_, s)| s.task.abort());
    }
}

fn on_frame(
    frame: wire::Frame,
    out: &Sender<wire::Frame>,
    streams: &Arc<Streams>,
    service: &Arc<dyn PeerService>,
) -> Result<()> {
    match frame {
        wire::Frame::Open(open) => on_open(open, out, streams, service)?,
        wire::Frame::Cancel(c) => {
            if let Some(s) = streams.0.lock().remove(&c.stream) {
                s.task.abort();
            }
        }
        wire::Frame::Credit(c) => {
            if let Some(s) = streams.0.lock().get(&c.stream) {
                let room = WINDOW.saturating_sub(s.window.available_permits());
                s.window.add_permits((c.bytes.max(0) as usize).min(room));
            }
        }
        wire::Frame::Placed(p) => {
            let first = parse::<TargetId>(&p.first)?;
            let key = ConversationKey(p.conversation as u64);
            service.note_placed(&first, key, parse(&p.target)?);
        }
        wire::Frame::ConfigPull(pull) => {
            let digest = pull.digest.try_into().map(Digest);
            let digest = digest.map_err(|_| Error::Protocol("digest".to_owned()))?;
            let ask = Control::ConfigPull(Revision(pull.revision as u64), digest);
            answer_control(pull.call, ask, out.clone(), Arc::clone(service));
        }
        wire::Frame::ClaimAsk(ask) => {
            let key = ask.key.try_into().map(ClaimKey);
            let step = ClaimStep {
                key: key.map_err(|_| Error::Protocol("claim key".to_owned()))?,
                request: parse(&ask.request)?,
                kind: ClaimKind::from_number(ask.step)
                    .ok_or_else(|| Error::Protocol("claim step".to_owned()))?,
                outcome: ask.outcome as u16,
            };
            answer_control(
                ask.call,
                Control::Claim(step),
                out.clone(),
                Arc::clone(service),
            );
        }
        wire::Frame::ExplainAsk(ask) => {
            let request = parse(&ask.request)?;
            answer_control(
                ask.call,
                Control::Explain(request),
                out.clone(),
                Arc::clone(service),
            );
        }
        _ => return Err(Error::Protocol("unexpected frame".to_owned())),
    }
    Ok(())
}

fn on_open(
    open: wire::Open,
    out: &Sender<wire::Frame>,
    streams: &Arc<Streams>,
    service: &Arc<dyn PeerService>,
) -> Result<()> {
    let id = open.stream;
    let (call, admission) = to_call(open)?;
    let window = Arc::new(Semaphore::new(WINDOW));
    let mut table = streams.0.lock();
    if table.len() >= STREAM_LIMIT || table.contains_key(&id) {
        return Err(Error::Protocol("too many streams, or one twice".to_owned()));
    }
    let relay = Relay {
        id,
        out: out.clone(),
        window: Arc::clone(&window),
    };
    let service = Arc::clone(service);
    let streams = Arc::clone(streams);
    let task = tokio::spawn(async move {
        let answer = service.serve_call(call, admission).await;
        relay.run(answer).await;
        streams.0.lock().remove(&id);
    });
    let task = task.abort_handle();
    table.insert(id, Stream { task, window });
    Ok(())
}

struct Relay {
    id: i64,
    out: Sender<wire::Frame>,
    window: Arc<Semaphore>,
}

impl Relay {
    /// Sends an answer; ends early where the connection is gone, which cancels the call.
    async fn run(self, answer: Result<Answer, OpenError>) {
        let done = match answer {
            Err(e) => self.refuse(e).await,
            Ok(answer) => self.stream(answer).await,
        };
        // The connection's reader ends the other streams.
        let _ = done;
    }

    async fn refuse(&self, error: OpenError) -> Option<()> {
        let (code, retry_after, redirect, detail) = error.into_parts();
        let refuse = wire::Refuse {
            stream: self.id,
            code: code.number().into(),
            retry_after_ms: retry_after.as_millis() as i64,
            redirect: redirect.iter().map(ToString::to_string).collect(),
            detail,
        };
        self.out.send(wire::Frame::Refuse(refuse)).await.ok()
    }

    async fn stream(&self, answer: Answer) -> Option<()> {
        let head = wire::Head {
            stream: self.id,
            status: answer.status.into(),
            headers: answer.headers.into_iter().map(to_wire_header).collect(),
        };
        self.out.send(wire::Frame::Head(head)).await.ok()?;
        let mut code = 0;
        let mut body = merge_ready(answer.body);
        while let Some(item) = body.next().await {
            match item {
                Ok(bytes) => self.data(&bytes).await?,
                Err(c) => {
                    code = c.number().into();
                    break;
                }
            }
        }
        let end = wire::End {
            stream: self.id,
            code,
        };
        self.out.send(wire::Frame::Done(end)).await.ok()
    }

    async fn data(&self, bytes: &[u8]) -> Option<()> {
        for part in bytes.chunks(WINDOW / 2) {
            let permits = self.window.acquire_many(part.len() as u32).await.ok()?;
            permits.forget();
            let data = wire::Data {
                stream: self.id,
                bytes: part.to_vec(),
            };
            self.out.send(wire::Frame::Data(data)).await.ok()?;
        }
        Some(())
    }
}

fn answer_control(
    call: i64,
    ask: Control,
    out: Sender<wire::Frame>,
    service: Arc<dyn PeerService>,
) {
    tokio::spawn(async move {
        // Without a reply the asker's own time limit ends its wait.
        if let Ok(frame) = service
            .serve_control(ask)
            .await
            .and_then(|r| reply_frame(call, r))
        {
            let _ = out.send(frame).await;
        }
    });
}

fn reply_frame(call: i64, reply: ControlReply) -> Result<wire::Frame> {
    let json = |e: serde_json::Error| Error::Protocol(e.to_string());
    match reply {
        ControlReply::Config(Update::Current) => {
            let changes = Vec::new();
            Ok(wire::Frame::ConfigChanges(wire::ConfigChanges {
                call,
                changes,
            }))
        }
        ControlReply::Config(Update::Changes(changes)) => {
            let changes = changes.iter().map(|c| serde_json::to_vec(&**c));
            let changes = changes.collect::<Result<_, _>>().map_err(json)?;
            Ok(wire::Frame::ConfigChanges(wire::ConfigChanges {
                call,
                changes,
            }))
        }
        ControlReply::Config(Update::Whole(snapshot)) => {
            let body = serde_json::to_vec(&*snapshot).map_err(json)?;
            Ok(wire::Frame::ConfigSnapshot(wire::ConfigSnapshot {
                call,
                body,
            }))
        }
        ControlReply::Explain(records) => {
            let body = serde_json::to_vec(&records).map_err(json)?;
            Ok(wire::Frame::ExplainAnswer(wire::ExplainAnswer {
                call,
                body,
            }))
        }
        ControlReply::Claim(verdict) => {
            let (verdict, outcome) = verdict.numbers();
            Ok(wire::Frame::ClaimAnswer(wire::ClaimAnswer {
                call,
                verdict,
                outcome,
            }))
        }
    }
}

fn to_call(open: wire::Open) -> Result<(Call, Admission)> {
    let attempt = AttemptId {
        request: parse(&open.request)?,
        number: open.attempt as u32,
    };
    let call = Call {
        attempt,
        target: parse(&open.target)?,
        method: open.method,
        path: open.path,
        headers: open.headers.into_iter().map(from_wire_header).collect(),
        body: open.body.into(),
        remaining: Duration::from_millis(open.remaining_ms.max(0) as u64),
        priority: Priority::from_rank(open.priority),
        cost: Tokens(open.cost_tokens.max(0) as u64),
    };
    let admission = Admission {
        conversation: ConversationKey(open.conversation as u64),
        anchor: open.anchor,
        wait: Wait::from_number(open.wait),
    };
    Ok((call, admission))
}

fn parse<T: std::str::FromStr<Err = crate::ids::IdError>>(s: &str) -> Result<T> {
    s.parse().map_err(|e| Error::Protocol(format!("{e}")))
}
