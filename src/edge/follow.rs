//! Follows the store: a few routers list and watch it, the others ask those few.
//!
//! List once, then wait for changes from that revision on, and list anew when the history is gone
//! (see "List-Watch Semantics"). A router that hears from no reader goes to the store itself.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use rand::Rng;
use slog::{info, warn};

use super::{gateway::Gateway, mirror::Upstream};
use crate::{
    config::serving::ServingConfig,
    discovery::{ListChange, Verdict},
    ids::TargetId,
    prompt_cache::{PartId, PromptPart},
    store::{Mirrored, StoreChange, StoreError, StoreNews},
    units::{Instant, StoreRevision, Tokens},
};

/// How long one watch waits. The proof of the configuration is about this old at the most.
const WATCH_WAIT: Duration = Duration::from_millis(600);

/// The pause after a watch that brought something: changes that come together are read together.
const WATCH_PAUSE: Duration = Duration::from_millis(300);

/// The pauses between a reader's calls while the store does not answer.
const FIRST_BACKOFF: Duration = Duration::from_millis(40);
const LONGEST_BACKOFF: Duration = Duration::from_millis(300);

/// The pause of a router that is no reader between its own calls to a store that does not answer:
/// each call has its price, and the readers will tell.
const BYSTANDER_BACKOFF: Duration = Duration::from_millis(1_500);

/// How long after its start a router still waits for word from a reader before it goes to the
/// store itself. Routers that start together do not know one another yet.
const FIRST_WAIT: Duration = Duration::from_millis(700);

/// The pause after a reader that had nothing or failed, before another one is asked.
const ASK_AGAIN: Duration = Duration::from_millis(50);

/// How often a router that waits for its reader looks whether another peer knows more. One that
/// does so twice in a row is asked in its place.
const OVERTAKEN_CHECK: Duration = Duration::from_millis(150);

/// How often it is looked whether this router knows no other, and says so in the store.
const ANNOUNCE_EVERY: Duration = Duration::from_secs(8);

/// How often it is saved which prompts are read where, if that changed. Each write wakes all
/// watches.
const SAVE_EVERY: Duration = Duration::from_secs(4);

/// The most that is saved, in bytes: well below the largest value of the users' sites in base64.
const SAVED_LIMIT: usize = 512 << 10;

/// Whom this router follows.
struct Follower {
    cx: Rc<Gateway>,
    upstream: Option<Upstream>,
    listed: bool,
    backoff: Duration,
}

/// Follows the store for ever.
pub(super) async fn follow_store(cx: Rc<Gateway>) {
    let mut follower = Follower {
        cx,
        upstream: None,
        listed: false,
        backoff: FIRST_BACKOFF,
    };
    loop {
        follower.step().await;
    }
}

impl Follower {
    /// One question, to the store or to a reader, and what follows from the answer.
    async fn step(&mut self) {
        let now = self.cx.now();
        let is_reader = self.cx.peers.borrow().is_reader(now);
        let link_lost = self.cx.store_lost_at.get().is_some();
        let reader = {
            let peers = self.cx.peers.borrow();
            let revision = self.cx.mirror.borrow().revision();
            let ahead = peers.ahead(now, revision).filter(|_| self.listed);
            ahead.or_else(|| peers.reader(now))
        };
        match reader {
            Some(reader) if !is_reader || link_lost => self.ask(reader).await,
            None if !is_reader && now.0 < FIRST_WAIT => tokio::time::sleep(ASK_AGAIN).await,
            _ => self.read(is_reader).await,
        }
    }

    /// Asks a peer that reads the store.
    async fn ask(&mut self, reader: SocketAddr) {
        let kept = self.upstream.take().filter(|u| u.address() == reader);
        let connected = match kept {
            Some(upstream) => Ok(upstream),
            None => Upstream::connect(reader).await,
        };
        let told = match connected {
            Ok(mut upstream) => {
                let after = self.cx.mirror.borrow().revision();
                tokio::select! {
                    told = upstream.ask(after) => {
                        self.upstream = Some(upstream);
                        told
                    }
                    () = self.overtaken(reader, after) => return,
                }
            }
            Err(e) => Err(e),
        };
        // A reader itself retries the store now and then, or it would never be one again.
        if self.cx.store_lost_at.get().is_some() && self.cx.peers.borrow().is_reader(self.cx.now())
        {
            self.read(true).await;
        }
        match told {
            Ok(Mirrored::Changes(news)) => take_news(&self.cx, &news, false, reader),
            Ok(Mirrored::List(news)) => take_news(&self.cx, &news, true, reader),
            Ok(Mirrored::Nothing) => tokio::time::sleep(ASK_AGAIN).await,
            Err(e) => {
                self.upstream = None;
                info!(self.cx.log, "reader does not answer"; "reader" => %reader, "why" => %e);
                tokio::time::sleep(ASK_AGAIN).await;
            }
        }
        self.listed |= self.cx.mirror.borrow().revision().0 > 0;
    }

    /// Ends when the reader that is asked falls behind other peers, or is not to be relied on.
    async fn overtaken(&self, reader: SocketAddr, after: StoreRevision) {
        let mut behind = 0;
        loop {
            tokio::time::sleep(OVERTAKEN_CHECK).await;
            let now = self.cx.now();
            let peers = self.cx.peers.borrow();
            let ahead = peers.ahead(now, after).is_some();
            behind = if ahead { behind + 1 } else { 0 };
            if behind >= 2 || peers.reader(now) != Some(reader) {
                return;
            }
        }
    }

    /// Asks the store itself.
    async fn read(&mut self, is_reader: bool) {
        let sent = self.cx.now();
        let at = self.cx.mirror.borrow().revision();
        let answer = match self.listed {
            false => self.cx.store.list().await,
            true => self.cx.store.watch(at, WATCH_WAIT).await,
        };
        match answer {
            Ok(news) => self.on_answer(&news, sent).await,
            Err(StoreError::HistoryGone) => {
                self.cx.metrics.on_store_call("history_gone");
                warn!(self.cx.log, "store history gone"; "after" => at.0);
                self.listed = false;
            }
            Err(e) => {
                self.cx.metrics.on_store_call("failed");
                self.on_failure(&e, is_reader).await;
            }
        }
    }

    async fn on_answer(&mut self, news: &StoreNews, sent: Instant) {
        let cx = &self.cx;
        cx.metrics.on_store_call("answered");
        self.backoff = FIRST_BACKOFF;
        let now = cx.now();
        if let Some(lost_at) = cx.store_lost_at.take() {
            cx.store_back_at.set(Some(now));
            cx.dispatcher.borrow_mut().discovery.on_store_back(now);
            let away = now.since(lost_at).as_millis() as u64;
            info!(cx.log, "dependency regained"; "dependency" => "store", "away_ms" => away);
        }
        let is_list = !self.listed;
        let quiet = news.items.is_empty() && !is_list;
        self.listed = true;
        take_news(cx, news, is_list, cx.cfg.peers);
        let proven = match now.since(sent) {
            // A watch that brought nothing waited until then for something newer.
            waited if waited >= WATCH_WAIT && quiet => sent + WATCH_WAIT,
            _ => sent,
        };
        let revision = cx.freshness.borrow().revision();
        cx.freshness.borrow_mut().on_confirmed(proven, revision);
        cx.store_proven_at.set(Some(proven));
        if !quiet && !is_list {
            tokio::time::sleep(WATCH_PAUSE).await;
        }
    }

    async fn on_failure(&mut self, e: &StoreError, is_reader: bool) {
        let cx = &self.cx;
        if cx.store_lost_at.get().is_none() {
            let now = cx.now();
            cx.store_lost_at.set(Some(now));
            let age = cx.freshness.borrow().age(now);
            warn!(cx.log, "dependency lost"; "dependency" => "store", "why" => %e,
                "config_age_ms" => age.map(|a| a.as_millis() as u64));
        }
        let jitter = rand::rng().random_range(0.5..1.5);
        let pause = match is_reader {
            true => self.backoff,
            false => BYSTANDER_BACKOFF,
        };
        tokio::time::sleep(pause.mul_f64(jitter)).await;
        self.backoff = (self.backoff * 2).min(LONGEST_BACKOFF);
    }
}

/// Takes in what the store or a reader told.
fn take_news(cx: &Gateway, news: &StoreNews, is_list: bool, from: SocketAddr) {
    let now = cx.now();
    {
        let mut mirror = cx.mirror.borrow_mut();
        match is_list {
            true => mirror.on_list(news),
            false => mirror.on_changes(news),
        }
    }
    let mut list = Vec::new();
    for item in &news.items {
        let at = item.revision;
        match cx.store.decode(item) {
            Ok(StoreChange::Config(config)) => apply(cx, *config, from),
            Ok(StoreChange::Target(record)) if is_list => list.push((record, at)),
            Ok(StoreChange::Target(record)) => {
                let id = record.id.clone();
                on_change(cx, now, id, ListChange::Put(record), at);
            }
            Ok(StoreChange::TargetGone(id)) => {
                on_change(cx, now, id.clone(), ListChange::Removed(id), at);
            }
            Ok(StoreChange::Peer(address)) => cx.peers.borrow_mut().on_address(now, address),
            Ok(StoreChange::Prompts(saved)) if is_list => recall_prompts(cx, &saved),
            Ok(StoreChange::Prompts(_) | StoreChange::Other) => {}
            Err(why) => {
                warn!(cx.log, "store entry not understood"; "key" => &item.key, "why" => why);
            }
        }
    }
    if is_list {
        let changes = {
            let mut dispatcher = cx.dispatcher.borrow_mut();
            dispatcher.discovery.on_list(now, list, news.revision)
        };
        for (id, verdict) in changes {
            tell(cx, &id, verdict, news.revision);
        }
    }
}

fn apply(cx: &Gateway, config: ServingConfig, from: SocketAddr) {
    let (revision, version, routes) = (config.revision, config.version, config.route_count());
    let applied = cx.apply(config);
    if applied {
        cx.freshness.borrow_mut().on_applied(revision);
    }
    info!(cx.log, "config"; "version" => version, "revision" => revision.0, "routes" => routes,
        "applied" => applied, "from" => %from);
}

fn on_change(cx: &Gateway, now: Instant, id: TargetId, change: ListChange, at: StoreRevision) {
    let verdict = {
        let mut dispatcher = cx.dispatcher.borrow_mut();
        dispatcher.discovery.on_change(now, change, at)
    };
    if let Some(verdict) = verdict {
        tell(cx, &id, verdict, at);
    }
}

fn tell(cx: &Gateway, id: &TargetId, verdict: Verdict, at: StoreRevision) {
    if verdict == Verdict::Gone {
        cx.conns.forget(id);
    }
    let verdict = match verdict {
        Verdict::Added => "added",
        Verdict::Changed => "changed",
        Verdict::Leaving => "leaving",
        Verdict::Gone => "gone",
        Verdict::Kept => "kept for a moment",
    };
    info!(cx.log, "target"; "target" => %id, "verdict" => verdict, "revision" => at.0);
}

/// Takes in which prompts were read where before this router's life.
fn recall_prompts(cx: &Gateway, saved: &[u8]) {
    let parts: SavedPrompts = match postcard::from_bytes(saved) {
        Ok(parts) => parts,
        Err(e) => {
            warn!(cx.log, "saved prompts not understood"; "why" => %e);
            return;
        }
    };
    info!(cx.log, "saved prompts"; "parts" => parts.len());
    let mut dispatcher = cx.dispatcher.borrow_mut();
    for (id, tokens, target) in parts {
        let part = PromptPart { id, tokens };
        dispatcher.cache.on_peer(&target, part, false);
    }
}

/// Shared parts of prompts with the targets that have read them, as they are saved.
type SavedPrompts = Vec<(PartId, Tokens, TargetId)>;

/// Saves which prompts are read where, over and over; one router does it for all.
pub(super) async fn save_prompts(cx: Rc<Gateway>) {
    loop {
        tokio::time::sleep(SAVE_EVERY).await;
        let is_keeper = cx.peers.borrow().is_keeper_of(cx.now(), "prompts");
        let changed = cx.dispatcher.borrow_mut().cache.take_unsaved();
        if !is_keeper || !changed {
            continue;
        }
        let parts: SavedPrompts = cx.dispatcher.borrow().cache.shared_parts();
        let saved = match postcard::to_stdvec(&parts) {
            Ok(bytes) if bytes.len() <= SAVED_LIMIT => cx.store.save_prompts(bytes).await,
            Ok(bytes) => Err(StoreError::Garbled(format!("{} bytes", bytes.len()))),
            Err(e) => Err(StoreError::Garbled(e.to_string())),
        };
        cx.metrics.on_store_call("save");
        if let Err(e) = saved {
            info!(cx.log, "prompts not saved"; "parts" => parts.len(), "why" => %e);
        }
    }
}

/// Says in the store where peers reach this router, as long as it hears of none.
pub(super) async fn announce(cx: Rc<Gateway>) {
    loop {
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(ANNOUNCE_EVERY.mul_f64(jitter)).await;
        if cx.peers.borrow().alive(cx.now()) > 1 {
            continue;
        }
        cx.metrics.on_store_call("announce");
        if let Err(e) = cx.store.announce(cx.cfg.peers).await {
            info!(cx.log, "not announced"; "why" => %e);
        }
    }
}
