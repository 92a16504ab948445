//! Streams whose events name the version of the server that sent them: the service, its servers' work, and the
//! client's side of one answer.

use std::{
    collections::BTreeSet,
    io,
    net::{SocketAddr, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

use crate::{
    http::{Conn, Head},
    record::Record,
    server::{Handler, Server},
};

/// Name of the service.
pub const SERVICE: &str = "writer";

const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Time between two events.
const PAUSE: Duration = Duration::from_millis(250);

/// Number of events of a short stream.
const SHORT_LAST: u64 = 4;

/// Configuration with one resumable route.
pub const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"report","host":"desk.example","pathPrefix":"/report/","type":"streaming","timeoutMs":12000,
"goalMs":1200,"priority":1,"service":"writer","maxAttempts":2,"public":false,"sticky":true,"resumable":true,
"gapTargetMs":400}],
"services":[{"name":"writer","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false,
"engine":{"slots":64,"kvCapacity":423882,"kvTokenBytes":18432,"linkMbps":740000.0,"moves":false,"backups":false,
"stride":7,"most":2,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

/// What a client got of its stream.
#[derive(Default)]
pub struct Stream {
    /// Versions of the servers that sent its events, as the events say.
    pub versions: BTreeSet<String>,
    /// Event ids, in order.
    pub ids: Vec<u64>,
    pub is_complete: bool,
}

/// Path of long and of short streams.
pub const LONG_PATH: &str = "/report/long";
pub const SHORT_PATH: &str = "/report/short";

/// Sends events, each with the server's version, from the one after `Last-Event-Id` on.
pub fn handler(record: Record, long_last: u64) -> Handler {
    Arc::new(move |server: &Server, head: &Head, conn: &mut Conn| {
        conn.body(head)?;
        let field = |name: &str| head.header(name).unwrap_or("-").to_owned();
        let after = field("last-event-id").parse().unwrap_or(0);
        record.line(&format!(
            "run  {} ({}): attempt {}, resumes {}, after event {after}",
            server.id,
            server.version,
            field("x-attempt-id"),
            field("resumes")
        ));
        let headers = server.headers(head);
        let answer = format!(
            "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        conn.send(answer.as_bytes())?;
        let last = match head.target() == SHORT_PATH {
            true => SHORT_LAST,
            false => long_last,
        };
        for n in after + 1..=last {
            let event = format!("id: {n}\ndata: {} {n}\n\n", server.version);
            conn.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(PAUSE);
        }
        conn.send(b"0\r\n\r\n")?;
        Ok(true)
    })
}

/// One request for a stream, or for the rest of one.
pub struct Request<'a> {
    pub path: &'a str,
    /// Id of the attempt.
    pub attempt: &'a str,
    /// Attempt that brought the first event, and the last event that the client has.
    pub resumes: Option<(&'a str, u64)>,
    /// Time that the client still waits, in seconds.
    pub left: f64,
}

/// Sends a request and reads the answer to its end; returns its status.
pub fn read(at: SocketAddr, request: &Request<'_>, stream: &mut Stream) -> io::Result<u16> {
    let Request {
        path,
        attempt,
        resumes,
        left,
    } = *request;
    let mut conn = Conn::new(TcpStream::connect_timeout(&at, Duration::from_secs(1))?);
    conn.stream
        .set_read_timeout(Some(Duration::from_secs_f64(left)))?;
    let taken_up = resumes.map_or_else(String::new, |(first, last)| {
        format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n")
    });
    let own_part = attempt.bytes().fold(7_u64, |h, b| h * 31 + u64::from(b)) % 0xffff_ffff;
    let shared_part = attempt
        .bytes()
        .rev()
        .fold(3_u64, |h, b| h * 31 + u64::from(b))
        % 0xffff;
    // No two streams have the same body, and both requests for one stream have the same.
    let body = attempt.split('-').next().unwrap_or_default();
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {attempt}\r\n{taken_up}X-Model: m\r\n\
        X-Token-Count: 1460,80\r\nX-Prefix-Hash: {shared_part:x}:800,{own_part:x}:410\r\n\
        X-Deadline-Ms: {:.0}\r\nAuthorization: Token {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        left * 1_000.0,
        body.len()
    );
    conn.send(request.as_bytes())?;
    let head = conn.head()?;
    if head.status() != 200 {
        conn.body(&head)?;
        return Ok(head.status());
    }
    let mut text = String::new();
    loop {
        let chunk = conn.chunk()?;
        if chunk.is_empty() {
            stream.is_complete = true;
            return Ok(200);
        }
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            on_event(&event, stream);
        }
    }
}

fn on_event(event: &str, stream: &mut Stream) {
    for line in event.lines() {
        if let Some(id) = line.strip_prefix("id: ") {
            stream.ids.extend(id.parse::<u64>());
        }
        if let Some(data) = line.strip_prefix("data: ") {
            let version = data.split(' ').next().unwrap_or_default();
            stream.versions.insert(version.to_owned());
        }
    }
}
