//! A change of the configuration that takes a key away, and adds a tenant with spaces in its name.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Case, Verdict,
    http::{Conn, Head},
    record::Record,
    router::Fleet,
    server::{Handler, Server},
    store::Store,
};

const SERVICE: &str = "desk";
const ROUTERS: usize = 3;

/// Keys of a tenant that stay, that are taken away, and of the tenant that is added.
const KEPT_KEY: &str = "n2ctnfzs989anu6wsjnb";
const REVOKED_KEY: &str = "anfqasnmgkcuyj8pjbvk";
const ADDED_KEY: &str = "x7qwmv2kfh40tpz6rdcs";

/// Name of the tenant that is added, and without the disruption.
const ADDED_NAME: &str = "Green Hammer Obihiro";
const PLAIN_NAME: &str = "green-hammer-obihiro";

/// Time after the acknowledgement from which no request with a key that was taken away may run (`revokeMs`), and
/// from which a key that was added has to work (`configMs`).
const REVOKE_BOUND: f64 = 5.0;
const CONFIG_BOUND: f64 = 2.0;

const INTERVAL: Duration = Duration::from_millis(50);
const DURATION_S: f64 = 20.0;
const CHANGE_AT: Duration = Duration::from_secs(4);
const WORK: Duration = Duration::from_millis(15);

fn config(version: u32, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"confirm","host":"desk.example","pathPrefix":"/confirm/","type":"unsafe","timeoutMs":1000,"goalMs":100,
"priority":2,"service":"desk","maxAttempts":1,"public":false,"sticky":false,"resumable":false}}],
"services":[{{"name":"desk","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{tenants}]}}"#
    )
}

/// A request, when it was sent, and the status of its answer; 0 without one.
struct Sent {
    id: String,
    key: &'static str,
    at: f64,
    status: u16,
}

pub fn run(case: &Case) -> io::Result<Verdict> {
    let record = &case.record;
    let store = Store::start()?;
    let before =
        format!(r#"{{"name":"hule930","apiKeys":["{KEPT_KEY}","{REVOKED_KEY}"],"priority":1}}"#);
    store.put("op/config", &config(7, &before));
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    let handler = handler(record.clone(), Arc::clone(&ran));
    let _servers = [
        Server::start(&store, ("i-desk-1", SERVICE, "v1"), 6, Arc::clone(&handler))?,
        Server::start(&store, ("i-desk-2", SERVICE, "v1"), 6, handler)?,
    ];
    let fleet = Fleet::start(&case.root, &case.temporary, &store, ROUTERS)?;
    let fronts: Vec<SocketAddr> = (0..ROUTERS).map(|i| fleet.front(i)).collect();
    record.line("all daemons are ready");
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = [KEPT_KEY, REVOKED_KEY, ADDED_KEY]
        .into_iter()
        .map(|key| {
            let (fronts, record, is_over) = (fronts.clone(), record.clone(), Arc::clone(&is_over));
            thread::spawn(move || send_all(&fronts, key, &record, &is_over))
        })
        .collect();
    thread::sleep(CHANGE_AT);
    let name = if case.has_trouble {
        ADDED_NAME
    } else {
        PLAIN_NAME
    };
    let after = format!(
        r#"{{"name":"hule930","apiKeys":["{KEPT_KEY}"],"priority":1}},
{{"name":"{name}","apiKeys":["{ADDED_KEY}"],"priority":1}}"#
    );
    store.put("op/config", &config(8, &after));
    let acknowledged = record.seconds();
    record.line(&format!(
        "version 8 is acknowledged: {REVOKED_KEY} is taken away, {ADDED_KEY} of \"{name}\" is added"
    ));
    thread::sleep(Duration::from_secs_f64(
        DURATION_S - CHANGE_AT.as_secs_f64(),
    ));
    is_over.store(true, Ordering::SeqCst);
    let sent: Vec<Sent> = clients
        .into_iter()
        .filter_map(|c| c.join().ok())
        .flatten()
        .collect();
    judge(record, &sent, &ran.lock().unwrap(), acknowledged)
}

fn judge(record: &Record, sent: &[Sent], ran: &[String], acknowledged: f64) -> io::Result<Verdict> {
    let has_run = |s: &&Sent| ran.contains(&s.id);
    let after = |s: &&Sent, bound: f64| s.at > acknowledged + bound;
    let of = |key: &'static str| sent.iter().filter(move |s| s.key == key);
    let revoked = of(REVOKED_KEY).filter(|s| after(s, REVOKE_BOUND));
    let (revoked, revoked_ran) = (revoked.clone().count(), revoked.filter(has_run).count());
    let added = of(ADDED_KEY).filter(|s| after(s, CONFIG_BOUND));
    let (added, denied) = (
        added.clone().count(),
        added.filter(|s| s.status == 401).count(),
    );
    let kept = of(KEPT_KEY).filter(has_run).count();
    record.line(&format!(
        "sent over {REVOKE_BOUND} s after the acknowledgement with the key that was taken away: {revoked}, of which {revoked_ran} ran"
    ));
    record.line(&format!(
        "sent over {CONFIG_BOUND} s after it with the key that was added: {added}, of which {denied} got 401; {kept} ran with the key that stays"
    ));
    match () {
        () if kept < 100 || revoked < 50 || added < 50 => Err(io::Error::other("too few requests")),
        () if revoked_ran > 0 || denied > 0 => Ok(Verdict::Broken),
        () => Ok(Verdict::Held),
    }
}

fn handler(record: Record, ran: Arc<Mutex<Vec<String>>>) -> Handler {
    Arc::new(move |server: &Server, head: &Head, conn: &mut Conn| {
        conn.body(head)?;
        let field = |name: &str| head.header(name).unwrap_or("-").to_owned();
        let (id, tenant) = (field("x-attempt-id"), field("x-tenant"));
        record.line(&format!("{} ran {id} of {tenant}", server.id));
        ran.lock().unwrap().push(id);
        thread::sleep(WORK);
        conn.answer("200 OK", &server.headers(head), b"done\n")?;
        Ok(true)
    })
}

fn send_all(
    fronts: &[SocketAddr],
    key: &'static str,
    record: &Record,
    is_over: &AtomicBool,
) -> Vec<Sent> {
    let mut all = Vec::new();
    for n in 0.. {
        if is_over.load(Ordering::SeqCst) {
            break;
        }
        let (id, at) = (format!("{}-{n}", &key[..4]), record.seconds());
        let status = send(fronts[n % fronts.len()], &id, key).unwrap_or(0);
        record.line(&format!(
            "answer to {id}, sent at {at:.3} s with {key}: {status}"
        ));
        all.push(Sent {
            id,
            key,
            at,
            status,
        });
        thread::sleep(INTERVAL);
    }
    all
}

fn send(at: SocketAddr, id: &str, key: &str) -> io::Result<u16> {
    let mut conn = Conn::new(TcpStream::connect_timeout(&at, Duration::from_secs(1))?);
    conn.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    let request = format!(
        "POST /confirm/x HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 1000\r\n\
        Authorization: Token {key}\r\nContent-Length: 4\r\n\r\nbody"
    );
    conn.send(request.as_bytes())?;
    let answer = conn.head()?;
    conn.body(&answer)?;
    Ok(answer.status())
}
