//! Follows the store: lists it once, then waits for changes, and lists anew when history is gone.

use std::{rc::Rc, time::Duration};

use rand::Rng;
use slog::{info, warn};

use super::gateway::Gateway;
use crate::{
    discovery::{ListChange, Verdict},
    ids::TargetId,
    prompt_cache::{PartId, PromptPart},
    store::{StoreChange, StoreError, StoreNews},
    units::{Instant, StoreRevision, Tokens},
};

/// How long one watch waits. The proof of the configuration is about this old at the most.
const WATCH_WAIT: Duration = Duration::from_millis(1_200);

/// The pause after a watch that brought something: changes that come together are read together.
const WATCH_PAUSE: Duration = Duration::from_millis(300);

/// The pauses between calls while the store does not answer.
const FIRST_BACKOFF: Duration = Duration::from_millis(40);
const LONGEST_BACKOFF: Duration = Duration::from_millis(300);

/// How often a router says in the store where its peers reach it.
const ANNOUNCE_EVERY: Duration = Duration::from_secs(10);

/// How often it is saved which prompts are read where, if that changed. Each write wakes all
/// watches.
const SAVE_EVERY: Duration = Duration::from_secs(4);

/// The most that is saved, in bytes: well below the largest value of the users' sites in base64.
const SAVED_LIMIT: usize = 512 << 10;

/// The pause after an announcement that failed; peers know one another by datagrams meanwhile.
const ANNOUNCE_AGAIN: Duration = Duration::from_secs(2);

/// Whether the store answers.
struct Link {
    lost_at: Option<Instant>,
    backoff: Duration,
}

/// Follows the store for ever.
pub(super) async fn follow_store(cx: Rc<Gateway>) {
    let mut link = Link {
        lost_at: None,
        backoff: FIRST_BACKOFF,
    };
    let mut at: Option<StoreRevision> = None;
    loop {
        let sent = cx.now();
        let answer = match at {
            None => cx.store.list().await,
            Some(revision) => cx.store.watch(revision, WATCH_WAIT).await,
        };
        match answer {
            Ok(news) => {
                cx.metrics.on_store_call("answered");
                link.on_answer(&cx);
                let changed = !news.changes.is_empty();
                let listed = at.is_none();
                at = Some(news.revision);
                take_news(&cx, news, sent, listed);
                if changed && !listed {
                    tokio::time::sleep(WATCH_PAUSE).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                cx.metrics.on_store_call("history_gone");
                warn!(cx.log, "store history gone"; "after" => at.map(|r| r.0));
                at = None;
            }
            Err(e) => {
                cx.metrics.on_store_call("failed");
                link.on_failure(&cx, &e).await;
            }
        }
    }
}

impl Link {
    fn on_answer(&mut self, cx: &Gateway) {
        self.backoff = FIRST_BACKOFF;
        if let Some(lost_at) = self.lost_at.take() {
            let now = cx.now();
            cx.dispatcher.borrow_mut().discovery.on_store_back(now);
            let away = now.since(lost_at).as_millis() as u64;
            info!(cx.log, "dependency regained"; "dependency" => "store", "away_ms" => away);
        }
    }

    async fn on_failure(&mut self, cx: &Gateway, e: &StoreError) {
        if self.lost_at.is_none() {
            self.lost_at = Some(cx.now());
            let age = cx.freshness.borrow().age(cx.now());
            warn!(cx.log, "dependency lost"; "dependency" => "store", "why" => %e,
                "config_age_ms" => age.map(|a| a.as_millis() as u64));
        }
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(self.backoff.mul_f64(jitter)).await;
        self.backoff = (self.backoff * 2).min(LONGEST_BACKOFF);
    }
}

/// Takes in what the store told. `sent` is when it was asked; what it told is no older.
fn take_news(cx: &Gateway, news: StoreNews, sent: Instant, listed: bool) {
    let now = cx.now();
    let quiet = news.changes.is_empty() && !listed;
    let mut list = Vec::new();
    for change in news.changes {
        match change {
            StoreChange::Config(config, _) => apply(cx, *config, sent),
            StoreChange::Target(record, revision) if listed => list.push((record, revision)),
            StoreChange::Target(record, revision) => {
                let id = record.id.clone();
                on_change(cx, now, id, ListChange::Put(record), revision);
            }
            StoreChange::TargetGone(id, revision) => {
                on_change(cx, now, id.clone(), ListChange::Removed(id), revision);
            }
            StoreChange::Peer(address) => cx.peers.borrow_mut().on_address(now, address),
            StoreChange::Prompts(saved) if listed => recall_prompts(cx, &saved),
            StoreChange::Prompts(_) | StoreChange::Other(None) => {}
            StoreChange::Other(Some(why)) => {
                warn!(cx.log, "store entry not understood"; "why" => why)
            }
        }
    }
    if listed {
        let changes = {
            let mut dispatcher = cx.dispatcher.borrow_mut();
            dispatcher.discovery.on_list(now, list, news.revision)
        };
        for (id, verdict) in changes {
            tell(cx, &id, verdict, news.revision);
        }
    }
    let revision = cx.freshness.borrow().revision();
    let proven = match now.since(sent) {
        // A watch that brought nothing waited until then for something newer.
        waited if waited >= WATCH_WAIT && quiet => sent + WATCH_WAIT,
        _ => sent,
    };
    cx.freshness.borrow_mut().on_confirmed(proven, revision);
}

fn apply(cx: &Gateway, config: crate::config::serving::ServingConfig, sent: Instant) {
    let (revision, version, routes) = (config.revision, config.version, config.route_count());
    let applied = cx.apply(config);
    if applied {
        cx.freshness.borrow_mut().on_applied(sent, revision);
    }
    info!(cx.log, "config"; "version" => version, "revision" => revision.0, "routes" => routes,
        "applied" => applied, "asked_ms_ago" => cx.now().since(sent).as_millis() as u64);
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
        dispatcher.cache.on_peer(&target, part);
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

/// Says in the store where peers reach this router, over and over.
pub(super) async fn announce(cx: Rc<Gateway>) {
    loop {
        let told = cx.store.announce(cx.cfg.peers).await;
        cx.metrics.on_store_call("announce");
        let pause = match told {
            Ok(()) => ANNOUNCE_EVERY,
            Err(e) => {
                info!(cx.log, "not announced"; "why" => %e);
                ANNOUNCE_AGAIN
            }
        };
        let jitter = rand::rng().random_range(0.9..1.1);
        tokio::time::sleep(pause.mul_f64(jitter)).await;
    }
}
