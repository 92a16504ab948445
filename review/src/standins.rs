//! Stand-ins for the platform's store, for runners and for clients, and the start of router processes.
//!
//! Only the standard library is used. All addresses are loopback addresses; each run has a network of its own.

#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::File,
    io::{self, BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Whether the disruption takes place.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Self(Arc::new((
            Instant::now(),
            Mutex::new(File::create(path)?),
        ))))
    }

    pub fn line(&self, text: &str) {
        let (start, file) = &*self.0;
        let line = format!("{:8.3} s  {text}\n", start.elapsed().as_secs_f64());
        print!("{line}");
        let _ = file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// An HTTP message: its first line, headers with lower-case names, and body.
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method and the request target.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (
            words.next().unwrap_or_default(),
            words.next().unwrap_or_default(),
        )
    }
}

/// Reads the first line and the headers.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Message> {
    let mut first = String::new();
    if from.read_line(&mut first)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    Ok(Message {
        first: first.trim_end().to_owned(),
        headers,
        body: Vec::new(),
    })
}

/// Reads a whole request.
pub fn read_request(from: &mut impl BufRead) -> io::Result<Message> {
    let mut req = read_head(from)?;
    let len = req
        .header("content-length")
        .map_or(0, |v| v.parse().unwrap_or(0));
    req.body = vec![0; len];
    from.read_exact(&mut req.body)?;
    Ok(req)
}

/// Accepts connections, and handles each in a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(stream));
        }
    });
}

/// A network of loopback addresses of this run: 127.X.Y.N.
pub fn ip(n: u8) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high.max(1), low, n)
}

pub fn listen(ip: Ipv4Addr) -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

struct Item {
    /// Value in base64, as it is sent.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Kv {
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, String)>,
    revision: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
}

/// Stand-in for the platform's store, which behaves as the pages say and has no faults.
pub struct Store {
    pub address: SocketAddr,
    kv: Mutex<Kv>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> io::Result<Arc<Self>> {
        let (listener, address) = listen(ip(200))?;
        let store = Arc::new(Self {
            address,
            kv: Mutex::default(),
            changed: Condvar::new(),
        });
        store.kv.lock().unwrap().revision = 100;
        let served = Arc::clone(&store);
        serve(listener, move |stream| served.serve_connection(stream));
        Ok(store)
    }

    /// Writes a value as the operator or a runner does.
    pub fn put(&self, key: &str, json: &str) {
        let mut kv = self.kv.lock().unwrap();
        kv.put(key, base64(json.as_bytes()), 0);
        self.changed.notify_all();
    }

    fn serve_connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut to) = stream.try_clone() else {
            return;
        };
        let mut from = BufReader::new(stream);
        while let Ok(req) = read_request(&mut from) {
            let (status, body) = self.answer(&req);
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if to.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> (u16, String) {
        let (_, target) = req.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = |name: &str| {
            let pairs = query.split('&').filter_map(|p| p.split_once('='));
            let value = pairs
                .filter(|(n, _)| *n == name)
                .map(|(_, v)| percent_decode(v));
            value.last().unwrap_or_default()
        };
        let mut parts = path.trim_start_matches("/scaleford/").split('/');
        let call = parts.next().unwrap_or_default();
        let number: u64 = parts.next().and_then(|n| n.parse().ok()).unwrap_or(0);
        if call == "kv-watch" {
            let after = query("afterRev").parse().unwrap_or(0);
            let wait = query("waitMs").parse().unwrap_or(0);
            return self.watch(&query("pathPrefix"), after, Duration::from_millis(wait));
        }
        let mut kv = self.kv.lock().unwrap();
        kv.expire_leases();
        let answer = match call {
            "kv-key" => match kv.items.get(&query("key")) {
                Some(item) => (200, item_json(&query("key"), item)),
                None => (404, "{}".to_owned()),
            },
            "kv-range" => {
                let prefix = query("pathPrefix");
                let below = kv.items.iter().filter(|(k, _)| k.starts_with(&prefix));
                let items: Vec<String> = below.map(|(k, i)| item_json(k, i)).collect();
                let at = kv.revision;
                let items = items.join(",");
                (
                    200,
                    format!("{{\"items\":[{items}],\"morePages\":false,\"currentRev\":{at}}}"),
                )
            }
            "kv-lease" => {
                let body = Json::parse(&req.body);
                let ttl_ms = body.get("ttlMs").number().max(1_000);
                let lease = kv.leases.keys().max().map_or(1, |l| l + 1);
                let ttl = Duration::from_millis(ttl_ms);
                kv.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"))
            }
            "kv-keep" => match kv.leases.get_mut(&number) {
                Some((ttl, until)) => {
                    *until = Instant::now() + *ttl;
                    (200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
                }
                None => (404, "{}".to_owned()),
            },
            "kv-lease-end" => {
                kv.end_lease(number);
                (200, "{}".to_owned())
            }
            "kv-txn" => kv.txn(&Json::parse(&req.body)),
            _ => (404, "{}".to_owned()),
        };
        self.changed.notify_all();
        answer
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut kv = self.kv.lock().unwrap();
        loop {
            kv.expire_leases();
            let newer = kv.history.iter();
            let newer = newer.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let events: Vec<&str> = newer.map(|(_, _, event)| event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), kv.revision);
                return (
                    200,
                    format!("{{\"events\":[{events}],\"currentRev\":{at}}}"),
                );
            }
            kv = self.changed.wait_timeout(kv, left).unwrap().0;
        }
    }
}

impl Kv {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |i| i.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        let event = item_json(key, &item);
        self.history.push((revision, key.to_owned(), event));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let at = self.revision;
            let event = format!("{{\"key\":\"{key}\",\"revision\":{at},\"deleted\":true}}");
            self.history.push((at, key.to_owned(), event));
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let over = self.leases.iter().filter(|(_, (_, until))| *until <= now);
        let over: Vec<u64> = over.map(|(lease, _)| *lease).collect();
        over.into_iter().for_each(|lease| self.end_lease(lease));
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, i)| i.lease == lease);
        let keys: Vec<String> = keys.map(|(k, _)| k.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    fn txn(&mut self, body: &Json) -> (u16, String) {
        let rows = |name: &str| body.get(name).list();
        let is_expected = |row: &Json| {
            let at = self
                .items
                .get(row.get("key").text())
                .map_or(0, |i| i.revision);
            at == row.get("revision").number()
        };
        if !rows("expectRev").iter().all(is_expected) {
            let keys = rows("expectRev").iter().map(|row| row.get("key").text());
            let items = keys.filter_map(|k| self.items.get(k).map(|i| item_json(k, i)));
            let items: Vec<String> = items.collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let has_lease = |row: &Json| {
            let lease = row.get("lease").number();
            lease == 0 || self.leases.contains_key(&lease)
        };
        if !rows("puts").iter().all(has_lease) {
            return (404, "{}".to_owned());
        }
        for row in rows("puts") {
            let (key, value) = (row.get("key").text(), row.get("value").text());
            self.put(key, value.to_owned(), row.get("lease").number());
        }
        for key in rows("remove") {
            self.remove(key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createdRev\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

/// The JSON that routers send to the store: no escapes beyond those of quotes and backslashes.
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

static NULL: Json = Json::Null;

impl Json {
    pub fn parse(text: &[u8]) -> Self {
        let mut at = 0;
        Self::value(text, &mut at)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Table(fields) => {
                let found = fields.iter().find(|(n, _)| n == name);
                found.map_or(&NULL, |(_, value)| value)
            }
            _ => &NULL,
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(n) => *n as u64,
            _ => 0,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }

    fn skip(text: &[u8], at: &mut usize) {
        while text.get(*at).is_some_and(|b| b" \t\r\n,:".contains(b)) {
            *at += 1;
        }
    }

    fn value(text: &[u8], at: &mut usize) -> Self {
        Self::skip(text, at);
        match text.get(*at) {
            Some(b'"') => Self::Text(Self::string(text, at)),
            Some(b'[') => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::skip(text, at);
                    match text.get(*at) {
                        None | Some(b']') => break,
                        _ => list.push(Self::value(text, at)),
                    }
                }
                *at += 1;
                Self::List(list)
            }
            Some(b'{') => {
                *at += 1;
                let mut fields = Vec::new();
                loop {
                    Self::skip(text, at);
                    match text.get(*at) {
                        None | Some(b'}') => break,
                        _ => {
                            let name = Self::string(text, at);
                            fields.push((name, Self::value(text, at)));
                        }
                    }
                }
                *at += 1;
                Self::Table(fields)
            }
            _ => {
                let start = *at;
                while text.get(*at).is_some_and(|b| !b",]}".contains(b)) {
                    *at += 1;
                }
                let word = std::str::from_utf8(&text[start..*at]).unwrap_or_default();
                word.trim().parse().map_or(Self::Null, Self::Number)
            }
        }
    }

    fn string(text: &[u8], at: &mut usize) -> String {
        *at += 1;
        let mut found = Vec::new();
        while let Some(b) = text.get(*at).copied() {
            *at += 1;
            match b {
                b'"' => break,
                b'\\' => {
                    found.extend(text.get(*at).copied());
                    *at += 1;
                }
                b => found.push(b),
            }
        }
        String::from_utf8_lossy(&found).into_owned()
    }
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut n = 0;
        for i in 0..3 {
            n = n << 8 | u32::from(chunk.get(i).copied().unwrap_or(0));
        }
        for i in 0..4 {
            match i <= chunk.len() {
                true => text.push(SIGNS[(n >> (18 - 6 * i) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut found, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        let hex = |j: usize| bytes.get(j).and_then(|b| (*b as char).to_digit(16));
        match (bytes[i], hex(i + 1), hex(i + 2)) {
            (b'%', Some(high), Some(low)) => {
                found.push((high * 16 + low) as u8);
                i += 3;
            }
            (b, ..) => {
                found.push(b);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&found).into_owned()
}

unsafe extern "C" {
    fn kill(id: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// Signals that a case sends to the processes that it started.
#[derive(Clone, Copy)]
pub enum Signal {
    Kill = 9,
    Term = 15,
}

/// Has the system kill a router should the case's own process be killed.
const PR_SET_PDEATHSIG: i32 = 1;

/// A router process, started by the command of the deploy file. It is killed when this is dropped.
pub struct Router {
    child: Child,
    pub ip: Ipv4Addr,
    pub front: SocketAddr,
    ready: SocketAddr,
}

/// Ports that all routers of a run have, each at its own address.
#[derive(Clone, Copy)]
pub struct Ports([u16; 4]);

impl Ports {
    pub fn free() -> io::Result<Self> {
        let mut ports = [0; 4];
        let mut held = Vec::new();
        for port in &mut ports {
            let (listener, address) = listen(ip(1))?;
            *port = address.port();
            held.push(listener);
        }
        Ok(Self(ports))
    }
}

impl Router {
    /// Starts router `n` of `count`, from 1, with the bounds and limits of a small deployment.
    pub fn start(
        dir: &Path,
        n: u8,
        count: u8,
        ports: Ports,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let Ports([front, ready, control, peers]) = ports;
        let me = ip(n);
        let seeds: Vec<String> = (1..=count.min(3))
            .map(|n| format!("\"{}:{control}\"", ip(n)))
            .collect();
        let settings = format!(
            r#"{{"node":"front-{n}","role":"gateway","class":"front","serves":["front","control"],"ipAddr":"{me}",
"zone":"yard","region":"hokkaido","zones":{{"yard":"hokkaido"}},
"listen":{{"front":"{me}:{front}","ready":"{me}:{ready}","control":"{me}:{control}"}},
"internalPorts":[{peers},{peers}],"seeds":[{}],"bootstrap":true,"countsAsLoss":false,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"],
"tolerate":{{"machines":1,"zones":0,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,
"lossSlackMs":200,"configMs":2000,"rollbackSlackMs":250,"outerMs":5000,"strictRevoke":true,"revokeMs":5000,
"budgetRatio":0.2,"budgetWindowS":10,"budgetExtra":54,"recoverS":12,"passMs":120,"retryAfterS":10,"capFactor":2}},
"platform":{{"address":"{store}","form":"kv","writesPerS":400,"readsPerS":2000,"historyS":20,
"valueBytes":1048576,"ttlMinMs":1000}}}}"#,
            seeds.join(",")
        );
        let path: PathBuf = dir.join(format!("front-{n}.json"));
        std::fs::write(&path, settings)?;
        let log = File::create(dir.join(format!("front-{n}.log")))?;
        let mut command = Command::new("target/release/scalefordd");
        // SAFETY: between fork and exec, only one system call is made.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, Signal::Kill as u64);
                Ok(())
            })
        };
        let child = command
            .env("SCALEFORD_CONFIG", &path)
            // Its own address, as each machine has on the platform.
            .env("SCALEFORD_SOURCE_ADDRESS", me.to_string())
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()?;
        Ok(Self {
            child,
            ip: me,
            front: SocketAddr::from((me, front)),
            ready: SocketAddr::from((me, ready)),
        })
    }

    /// Waits until the router says that it is ready.
    pub fn until_ready(&self) -> io::Result<()> {
        for _ in 0..200 {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("a router is not ready after 10 s"))
    }

    /// Asks as the platform's balancer does.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(b"GET /scaleford/ready HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            let answer = read_head(&mut BufReader::new(stream))?;
            Ok(answer.first.contains(" 200 "))
        };
        ask().unwrap_or(false)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        // SAFETY: the process is a child that has not been waited for, so its id is still its own.
        unsafe { kill(self.child.id().cast_signed(), signal as i32) };
    }

    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Directory of a run, which is removed when this is dropped.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn create() -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("scaleford-review-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Writes the entry of a runner that is ready.
pub fn announce_runner(store: &Store, id: &str, service: &str, address: SocketAddr) {
    let entry = format!(
        r#"{{"service":"{service}","address":"{address}","zone":"yard","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"callSeq":0}}"#
    );
    store.put(&format!("servers/{id}"), &entry);
}
