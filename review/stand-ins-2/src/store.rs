//! Stand-in of the platform's store: items, history, watches, transactions and leases.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Conn, Head},
    json::Json,
};

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Interval at which a silent store looks whether it is back.
const SILENCE_CHECK: Duration = Duration::from_millis(10);

#[derive(Debug, Clone)]
struct Item {
    /// Value in base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Kv {
    items: BTreeMap<String, Item>,
    revision: u64,
    history: Vec<(u64, String, String)>,
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Kv>, Condvar)>,
    /// Whether the store is down: it answers nothing.
    is_down: Arc<AtomicBool>,
}

impl Store {
    /// Starts the store.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::default(),
            is_down: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(Conn::new(stream)));
            }
        });
        Ok(store)
    }

    /// Writes an item, as an operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        self.kv().put(key, &base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// Takes the store down, or brings it back.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
    }

    /// Returns whether the store is down.
    pub fn is_down(&self) -> bool {
        self.is_down.load(Ordering::SeqCst)
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.kv().remove(key);
        self.shared.1.notify_all();
    }

    fn kv(&self) -> MutexGuard<'_, Kv> {
        self.shared.0.lock().unwrap()
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(head) = conn.head() {
            let Ok(body) = conn.body(&head) else { return };
            if self.is_down() {
                return self.stay_silent();
            }
            let body = String::from_utf8_lossy(&body).into_owned();
            let (status, answer) = self.call(&head, &body);
            if self.is_down() {
                return self.stay_silent();
            }
            thread::sleep(ANSWER_TIME);
            let content_type = "Content-Type: application/json\r\n";
            if conn
                .answer(status, content_type, answer.as_bytes())
                .is_err()
            {
                return;
            }
        }
    }

    /// Keeps a connection open without an answer until the store is back.
    fn stay_silent(&self) {
        while self.is_down() {
            thread::sleep(SILENCE_CHECK);
        }
    }

    fn call(&self, head: &Head, body: &str) -> (&'static str, String) {
        let (path, query) = head.target().split_once('?').unwrap_or((head.target(), ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), percent_decode(value)))
            .collect();
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        let mut parts = path.trim_start_matches("/scaleford/").split('/');
        let (call, id) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
        let lease: u64 = id.parse().unwrap_or(0);
        match call {
            "kv-watch" => self.watch(
                &field("pathPrefix"),
                field("afterRev").parse().unwrap_or(0),
                field("waitMs").parse().unwrap_or(0),
            ),
            "kv-range" => self.kv().range(&field("pathPrefix"), &field("afterRev")),
            "kv-key" => self.kv().key(&field("key")),
            "kv-txn" => {
                let answer = self.kv().transact(&Json::parse(body).unwrap_or(Json::Null));
                self.shared.1.notify_all();
                answer
            }
            "kv-lease" => {
                let ttl = Json::parse(body).map_or(1_000, |b| b.number("ttlMs"));
                self.kv().grant(ttl)
            }
            "kv-keep" => self.kv().renew(lease),
            "kv-lease-end" => {
                self.kv().end_lease(lease);
                self.shared.1.notify_all();
                ("200 OK", "{}".to_owned())
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (&'static str, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut kv = self.kv();
        loop {
            kv.expire_leases();
            let newer = |e: &&(u64, String, String)| e.0 > after && e.1.starts_with(prefix);
            let events: Vec<&str> = kv
                .history
                .iter()
                .filter(newer)
                .map(|e| e.2.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let answer = format!("{{\"events\":[{events}],\"currentRev\":{}}}", kv.revision);
                return ("200 OK", answer);
            }
            kv = self.shared.1.wait_timeout(kv, left).unwrap().0;
        }
    }
}

impl Kv {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item {
            value: value.to_owned(),
            revision: self.revision,
            created,
            lease,
        };
        let event = item_json(key, &item);
        self.history.push((self.revision, key.to_owned(), event));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        let event = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}");
        self.history.push((revision, key.to_owned(), event));
    }

    fn range(&mut self, prefix: &str, after: &str) -> (&'static str, String) {
        self.expire_leases();
        let below = self
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = below.map(|(key, item)| item_json(key, item)).collect();
        let answer = format!(
            "{{\"items\":[{}],\"morePages\":false,\"currentRev\":{}}}",
            items.join(","),
            self.revision
        );
        ("200 OK", answer)
    }

    fn key(&mut self, key: &str) -> (&'static str, String) {
        self.expire_leases();
        match self.items.get(key) {
            Some(item) => {
                let item = item_json(key, item);
                let item = item.trim_end_matches('}');
                (
                    "200 OK",
                    format!("{item},\"currentRev\":{}}}", self.revision),
                )
            }
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn transact(&mut self, txn: &Json) -> (&'static str, String) {
        self.expire_leases();
        let revision_of = |key: &str| self.items.get(key).map_or(0, |i| i.revision);
        let is_met = |row: &Json| revision_of(&row.text("key")) == row.number("revision");
        if !txn.list("expectRev").iter().all(is_met) {
            return ("412 Precondition Failed", "{\"items\":[]}".to_owned());
        }
        let is_known = |lease: u64| lease == 0 || self.leases.contains_key(&lease);
        let puts = txn.list("puts");
        if !puts.iter().all(|put| is_known(put.number("lease"))) {
            return ("404 Not Found", "{}".to_owned());
        }
        for put in puts {
            self.put(&put.text("key"), &put.text("value"), put.number("lease"));
        }
        for key in txn.list("remove") {
            if let Json::Text(key) = key {
                self.remove(key);
            }
        }
        ("200 OK", format!("{{\"revision\":{}}}", self.revision))
    }

    fn grant(&mut self, ttl_ms: u64) -> (&'static str, String) {
        let ttl = Duration::from_millis(ttl_ms);
        self.last_lease += 1;
        let lease = self.last_lease;
        self.leases.insert(lease, (ttl, Instant::now() + ttl));
        (
            "200 OK",
            format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"),
        )
    }

    fn renew(&mut self, lease: u64) -> (&'static str, String) {
        self.expire_leases();
        match self.leases.get_mut(&lease) {
            Some((ttl, until)) => {
                *until = Instant::now() + *ttl;
                ("200 OK", format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
            }
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired = self.leases.iter().filter(|(_, (_, until))| *until <= now);
        let expired: Vec<u64> = expired.map(|(lease, _)| *lease).collect();
        expired.into_iter().for_each(|lease| self.end_lease(lease));
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let of_lease = self.items.iter().filter(|(_, i)| i.lease == lease);
        let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createdRev\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        let hex = (bytes[i] == b'%').then(|| text.get(i + 1..i + 3)).flatten();
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                i += 3;
            }
            None => {
                out.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Encodes bytes in standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for block in bytes.chunks(3) {
        let byte = |i: usize| u32::from(block.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let sign = SIGNS[(bits >> (18 - 6 * i)) as usize & 63];
            out.push(if i <= block.len() { sign as char } else { '=' });
        }
    }
    out
}
