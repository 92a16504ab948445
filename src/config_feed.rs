//! How accepted changes reach this router: from the store at a few routers of each data hall,
//! from peers everywhere.
//!
//! Heartbeats name the revision in force at their sender. A router that hears of a newer one
//! asks that sender for what it lacks, and a router that applies a change tells a few others at
//! once. So a stalled watch, a lagging relay or one that lies about its freshness delays
//! nothing for longer than a heartbeat: whoever has the change passes it on.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use slog::{error, info, warn};
use tokio::sync::Notify;

use crate::{
    Error, Result, ResultCode,
    config::{Change, ChangeOutcome, Snapshot, Update},
    control,
    ids::Revision,
    lifecycle::RouterEvent,
    peer::{Control, ControlReply},
    placement::keepers,
    platform::{StoreRevision, Watched},
    router::Shared,
};

/// What the keys of accepted changes begin with.
pub const CHANGE_PREFIX: &str = "config/change/";

/// The key of the newest whole configuration in the store.
pub const SNAPSHOT_KEY: &str = "config/snapshot";

/// How many routers of each data hall watch the store.
pub const WATCHERS_PER_HALL: usize = 2;

/// How long a watch waits at the store.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// How long to wait after the store failed, and how often routers look whether they watch.
const STORE_RETRY: Duration = Duration::from_millis(500);

/// How often a router without news asks again whether a peer has a newer configuration.
const PEER_CHECK: Duration = Duration::from_secs(1);

/// How long a starting router waits for peers before an empty configuration counts.
const FIRST_WAIT: Duration = Duration::from_millis(1_500);

/// Wakes the task that follows peers.
#[derive(Debug, Default)]
pub(crate) struct FeedSignal(Notify);

/// The store's key of a change.
pub fn change_key(revision: Revision) -> String {
    format!("{CHANGE_PREFIX}{:012}", revision.0)
}

/// Looks at once whether a peer has a newer configuration.
pub(crate) fn wake(cx: &Shared) {
    if cx.membership.lock().newest_config().is_some() {
        cx.feed.0.notify_one();
    }
}

/// Takes newer configurations from peers until the router ends.
pub(crate) async fn follow_peers(cx: Arc<Shared>) {
    loop {
        let newest = cx.membership.lock().newest_config().cloned();
        if let Some(peer) = newest
            && let Err(e) = pull(&cx, peer.address).await
        {
            warn!(cx.telemetry.log, "config pull failed"; "peer" => %peer.vm, "error" => %e);
        }
        let _ = tokio::time::timeout(PEER_CHECK, cx.feed.0.notified()).await;
        ready_if_current(&cx);
    }
}

/// Lists and watches the store while this router is one of its hall's watchers.
pub(crate) async fn follow_store(cx: Arc<Shared>) {
    loop {
        match is_watcher(&cx) {
            true => match follow_once(&cx).await {
                Ok(()) => {}
                Err(e) => {
                    warn!(cx.telemetry.log, "store not reached"; "error" => %e);
                    cx.telemetry.count("store.failed");
                    tokio::time::sleep(STORE_RETRY).await;
                }
            },
            false => tokio::time::sleep(STORE_RETRY).await,
        }
    }
}

/// Takes a change, from wherever; says what became of it.
pub(crate) fn take_change(cx: &Arc<Shared>, change: Change) -> ChangeOutcome {
    let revision = change.revision;
    let outcome = cx.config.lock().on_change(change);
    after(cx, outcome, revision);
    outcome
}

/// Reads the whole accepted configuration from the store.
pub(crate) async fn read_store(cx: &Arc<Shared>) -> Result<StoreRevision> {
    cx.counters.store_calls.fetch_add(2, Ordering::Relaxed);
    let mut last = Revision(0);
    if let Some(entry) = cx.store.get(SNAPSHOT_KEY).await? {
        let snapshot: Snapshot = parse(&entry.value)?;
        let revision = snapshot.revision;
        last = revision;
        let outcome = cx.config.lock().on_snapshot(snapshot);
        after(cx, outcome, revision);
    }
    let (entries, at) = cx.store.list(CHANGE_PREFIX).await?;
    for entry in entries {
        let change: Change = parse(&entry.value)?;
        last = last.max(change.revision);
        take_change(cx, change);
    }
    judge_store(cx, last).await;
    Ok(at)
}

fn is_watcher(cx: &Shared) -> bool {
    let directory = cx.directory();
    let membership = cx.membership.lock();
    let hall = format!("config/{}", cx.me.data_hall);
    let near = directory.live.iter().filter(|vm| {
        let info = membership.info(vm);
        info.is_some_and(|i| i.data_hall == cx.me.data_hall)
    });
    keepers(&hall, near, WATCHERS_PER_HALL).contains(&&cx.me.vm)
}

async fn follow_once(cx: &Arc<Shared>) -> Result<()> {
    let mut at = read_store(cx).await?;
    cx.life.lock().on(RouterEvent::Configured);
    while is_watcher(cx) {
        cx.counters.store_calls.fetch_add(1, Ordering::Relaxed);
        match cx.store.watch(CHANGE_PREFIX, at, WATCH_WAIT).await? {
            Watched::TooOld => return Ok(()),
            Watched::Events(entries, next) => {
                for entry in entries {
                    take_change(cx, parse(&entry.value)?);
                }
                // A store that counts backwards was set back: list it anew.
                if next < at {
                    return Ok(());
                }
                at = next;
            }
        }
    }
    Ok(())
}

/// Says loudly that the store holds less than what is in force, and gives it back what it lost.
async fn judge_store(cx: &Arc<Shared>, last: Revision) {
    let lost: Vec<Arc<Change>> = {
        let config = cx.config.lock();
        let newer = config.recent().filter(|c| c.revision > last);
        newer.cloned().collect()
    };
    if lost.is_empty() {
        return;
    }
    cx.counters.reverts_refused.fetch_add(1, Ordering::Relaxed);
    cx.telemetry.count("config.store_reverted");
    error!(cx.telemetry.log, "the store holds an older configuration than is in force";
        "code" => ResultCode::StoreReverted.number(), "store" => last.0, "lost" => lost.len());
    for change in lost {
        cx.counters.store_calls.fetch_add(1, Ordering::Relaxed);
        let Ok(value) = serde_json::to_string(&*change) else {
            return;
        };
        // Whoever creates the key first, the content is the same; another content shows as a
        // conflict when it is read.
        if cx
            .store
            .swap(&change_key(change.revision), None, &value)
            .await
            .is_err()
        {
            return;
        }
    }
}

async fn pull(cx: &Arc<Shared>, peer: std::net::SocketAddr) -> Result<()> {
    let (revision, digest) = {
        let config = cx.config.lock();
        (config.revision(), config.digest())
    };
    let reply = cx
        .peers
        .control(peer, Control::ConfigPull(revision, digest))
        .await?;
    match reply {
        ControlReply::Config(Update::Changes(changes)) => {
            for change in changes {
                take_change(cx, (*change).clone());
            }
        }
        ControlReply::Config(Update::Whole(snapshot)) => {
            let revision = snapshot.revision;
            let outcome = cx.config.lock().on_snapshot(*snapshot);
            after(cx, outcome, revision);
        }
        _ => {}
    }
    Ok(())
}

fn after(cx: &Arc<Shared>, outcome: ChangeOutcome, revision: Revision) {
    match outcome {
        ChangeOutcome::Applied => {
            info!(cx.telemetry.log, "configuration in force"; "revision" => revision.0);
            cx.telemetry.gauge("config.revision", revision.0);
            cx.refresh_directory();
            control::announce(cx);
        }
        ChangeOutcome::Conflict => {
            cx.counters.reverts_refused.fetch_add(1, Ordering::Relaxed);
            error!(cx.telemetry.log, "a change of another history was not taken";
                "code" => ResultCode::StoreReverted.number(), "revision" => revision.0);
        }
        ChangeOutcome::Old | ChangeOutcome::Gap => {}
    }
}

/// A router that has what the newest peer has is ready, also while the store is down.
fn ready_if_current(cx: &Shared) {
    let known = cx.config.lock().revision() > Revision(0);
    let behind = cx.membership.lock().newest_config().is_some();
    let waited = cx.now().0 >= FIRST_WAIT;
    if known && !behind && waited {
        cx.life.lock().on(RouterEvent::Configured);
    }
}

fn parse<T: serde::de::DeserializeOwned>(value: &str) -> Result<T> {
    serde_json::from_str(value).map_err(|e| Error::Platform(format!("stored value: {e}")))
}
