//! Keeps this router's copy of the store up to date.
//!
//! A few routers, the readers, list the store and watch it, and the others request its content from
//! those few. The store is listed once and then watched for changes after that revision; it is listed
//! again when its history no longer covers that revision. A router without a usable reader reads the
//! store itself.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use rand::Rng;
use slog::{info, warn};

use super::{
    accepted_changes,
    feed::{MAX_FEEDER_HOLD_TIME, MAX_HOLD_TIME, Proof},
    gateway::Gateway,
    peer_calls::PeerConn,
    store_updates::{apply_own_entries, apply_update},
};
use crate::{
    config::Change,
    ids::Revision,
    membership::{
        first_read::first_answer_timeout,
        readers::{FirstRead, NextRead, ReadState},
    },
    store::{MirrorReply, StoreError, StoreUpdate},
    units::{Instant, StoreRevision},
};

/// Maximum time that one watch waits for a change. The confirmation of the configuration gets about
/// this old at most.
const WATCH_WAIT: Duration = Duration::from_millis(600);

/// Pause after a watch that returned changes, so that changes made close together are read together.
const WATCH_PAUSE: Duration = Duration::from_millis(300);

/// Initial pause between a reader's calls while the store does not answer; doubled after each failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(40);
/// Maximum pause between a reader's calls while the store does not answer, before jitter.
const MAX_BACKOFF: Duration = Duration::from_millis(300);

/// Pause before the next request after a reader failed or returned nothing useful, or while no source
/// is available.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Interval at which a router that waits for its reader checks whether another peer has a later
/// revision. If one does in two checks in a row, the request is abandoned and that peer is asked
/// instead.
const OVERTAKEN_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// State of this router's synchronization with the store.
struct StoreSync {
    cx: Rc<Gateway>,
    /// Open connection to the reader that was asked last.
    upstream: Option<PeerConn>,
    /// Whether the store's content has been listed or received from a peer.
    listed: bool,
    /// Whether `listed` was ever set: a router that lists again serves calls already.
    first_read: FirstRead,
    /// Pause after the next failed call to the store if this router is a reader, before jitter.
    backoff: Duration,
    /// Earliest time of the next call to the store.
    retry_at: Instant,
    /// Number of first requests to peers that were not answered in time.
    unanswered: u32,
}

/// Keeps the copy of the store up to date until the router stops.
pub(super) async fn sync_store(cx: Rc<Gateway>) {
    let mut sync = StoreSync {
        cx,
        upstream: None,
        listed: false,
        first_read: FirstRead::Pending,
        backoff: INITIAL_BACKOFF,
        retry_at: Instant::default(),
        unanswered: 0,
    };
    loop {
        sync.step().await;
    }
}

impl StoreSync {
    /// Sends one request, to the store or to a reader, and applies the response.
    async fn step(&mut self) {
        let next = {
            let peers = self.cx.peers.borrow();
            peers.next_read(self.cx.now(), &self.read_state())
        };
        match next {
            NextRead::Ask(reader) => self.request_from_reader(reader).await,
            NextRead::Store => self.read_store().await,
            NextRead::Wait => tokio::time::sleep(RETRY_PAUSE).await,
        }
        if self.listed {
            self.first_read = FirstRead::Done;
        }
    }

    fn read_state(&self) -> ReadState {
        ReadState {
            listed: self.listed,
            first_read: self.first_read,
            store_lost: self.cx.store_unavailable_since.get().is_some(),
            reads_store: self.cx.reads_store(),
            revision: self.cx.mirror.borrow().revision(),
            start: self.cx.cfg.start,
            retry_at: self.retry_at,
        }
    }

    /// Requests changes from a peer that reads the store.
    async fn request_from_reader(&mut self, reader: SocketAddr) {
        let existing = self.upstream.take().filter(|u| u.address() == reader);
        let is_first = self.cx.peers.borrow().is_first_read(&self.read_state());
        let connected = match existing {
            Some(upstream) => Ok(upstream),
            None if is_first => self.in_time(PeerConn::open(reader)).await,
            None => PeerConn::open(reader).await,
        };
        let sent = self.cx.now();
        let uses_feeders = self.cx.peers.borrow().uses_feeders(sent);
        let response = match connected {
            Ok(upstream) if is_first => {
                let request = upstream.request_changes(StoreRevision::default(), MAX_HOLD_TIME);
                let response = self.in_time(request).await;
                self.upstream = Some(upstream);
                response
            }
            Ok(upstream) => {
                let after = self.cx.mirror.borrow().revision();
                let wait = if uses_feeders {
                    MAX_FEEDER_HOLD_TIME
                } else {
                    MAX_HOLD_TIME
                };
                tokio::select! {
                    response = upstream.request_changes(after, wait) => {
                        self.upstream = Some(upstream);
                        response
                    }
                    () = self.wait_until_overtaken(reader, after), if !uses_feeders => return,
                }
            }
            Err(e) => Err(e),
        };
        // A router that is selected as a reader retries the store from time to time; otherwise it would
        // never become an active reader again.
        let state = self.read_state();
        let now = self.cx.now();
        let is_reader = self.cx.peers.borrow().is_reader(now);
        if state.store_lost && is_reader && now >= self.retry_at {
            self.read_store().await;
        }
        match response {
            Ok((reply, proof)) => {
                self.apply_reply(reader, sent, reply, proof, is_first).await;
            }
            Err(e) => {
                self.upstream = None;
                self.unanswered += u32::from(is_first);
                info!(self.cx.log, "reader does not answer"; "reader" => %reader, "why" => %e);
                self.cx.peers.borrow_mut().on_nothing_recent(now, reader);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
        self.listed |= self.cx.mirror.borrow().revision() != StoreRevision::default();
    }

    /// Waits for the answer to a first request, or for its connection, as long as first requests may take.
    ///
    /// The caller then asks another peer: callers of this router wait for the answer.
    async fn in_time<T>(
        &self,
        answer: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let timeout = first_answer_timeout(self.unanswered);
        let answered = tokio::time::timeout(timeout, answer).await;
        answered.unwrap_or_else(|e| Err(StoreError::NoAnswer(e.to_string())))
    }

    /// Applies a peer's response and, in a fleet with feeders or with the first response, the confirmation of the
    /// configuration that comes with it.
    async fn apply_reply(
        &self,
        reader: SocketAddr,
        sent: Instant,
        reply: MirrorReply,
        proof: Option<Proof>,
        is_first: bool,
    ) {
        let cx = &self.cx;
        let has_changes = reply != MirrorReply::Nothing;
        match reply {
            MirrorReply::Changes(update) => apply_update(cx, &update, false, reader),
            MirrorReply::List(update) => apply_update(cx, &update, true, reader),
            MirrorReply::Nothing => log_if_behind(cx, reader),
        }
        let uses_feeders = cx.peers.borrow().uses_feeders(cx.now());
        // Until a datagram confirms its first configuration, a router would refuse the keys in it.
        if let Some(proof) = proof.filter(|_| uses_feeders || is_first) {
            cx.freshness
                .borrow_mut()
                .on_peer_confirmation(proof.to_confirmation(sent));
        }
        let is_recent = proof.is_some_and(Proof::is_recent);
        if uses_feeders && !is_recent {
            info!(cx.log, "reader has no recent confirmation"; "reader" => %reader, "proof" => ?proof);
            cx.peers.borrow_mut().on_nothing_recent(cx.now(), reader);
        }
        let is_useful = has_changes || (uses_feeders && is_recent);
        if !is_useful {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Waits until the reader falls behind other peers or is no longer the selected one.
    async fn wait_until_overtaken(&self, reader: SocketAddr, after: StoreRevision) {
        let mut times_ahead = 0;
        loop {
            tokio::time::sleep(OVERTAKEN_CHECK_INTERVAL).await;
            let now = self.cx.now();
            let peers = self.cx.peers.borrow();
            let is_ahead = peers.peer_ahead_of(now, after).is_some();
            times_ahead = if is_ahead { times_ahead + 1 } else { 0 };
            if times_ahead >= 2 || peers.choose_reader(now) != Some(reader) {
                return;
            }
        }
    }

    /// Lists or watches the store directly.
    async fn read_store(&mut self) {
        let sent = self.cx.now();
        let after = self.cx.mirror.borrow().revision();
        let unstored = match self.cx.cfg.own_config {
            true => accepted_changes::unstored_changes(&self.cx),
            false => Vec::new(),
        };
        let unstored: Vec<Revision> = unstored.iter().map(|c| c.revision).collect();
        let response = match self.listed {
            false => self.cx.store.list().await,
            true => self.cx.store.watch(after, WATCH_WAIT).await,
        };
        match response {
            Ok(update) => self.on_store_response(&update, sent, &unstored).await,
            Err(StoreError::HistoryGone | StoreError::Reverted) => {
                self.cx.metrics.on_store_call("history_gone");
                warn!(self.cx.log, "store history gone"; "after" => after.number, "era" => after.era.0);
                self.listed = false;
            }
            Err(e) => {
                self.cx.metrics.on_store_call("failed");
                self.on_store_failure(&e);
            }
        }
    }

    async fn on_store_response(
        &mut self,
        update: &StoreUpdate,
        sent: Instant,
        unstored: &[Revision],
    ) {
        let cx = &self.cx;
        cx.metrics.on_store_call("answered");
        self.backoff = INITIAL_BACKOFF;
        let now = cx.now();
        let known = cx.mirror.borrow().revision();
        if update.revision.era < known.era {
            info!(cx.log, "response from an earlier store era"; "revision" => %update.revision, "known" => %known);
            return;
        }
        if update.revision < known {
            // The mirror holds a revision that the store had before this call was sent.
            warn!(cx.log, "store was set back"; "revision" => %update.revision, "known" => %known);
            cx.mirror.borrow_mut().clear();
            if self.listed {
                self.listed = false;
                return;
            }
        }
        if let Some(lost_at) = cx.store_unavailable_since.take() {
            cx.store_regained_at.set(Some(now));
            let mut dispatcher = cx.dispatcher.borrow_mut();
            dispatcher.on_store_available(now, Duration::ZERO);
            drop(dispatcher);
            let outage_ms = now.since(lost_at).as_millis() as u64;
            info!(cx.log, "dependency regained"; "dependency" => "store", "away_ms" => outage_ms);
        }
        let is_list = !self.listed;
        let is_empty = update.items.is_empty() && !is_list;
        self.listed = true;
        apply_update(cx, update, is_list, cx.cfg.peers);
        let is_lost = |change: &Arc<Change>| unstored.contains(&change.revision);
        if is_list || is_empty {
            // A change that was in force before the call was sent would be part of the response.
            let mut lost = accepted_changes::unstored_changes(cx);
            lost.retain(is_lost);
            accepted_changes::restore_lost_changes(cx, lost).await;
        }
        let confirmed_at = match now.since(sent) {
            // A watch that returned nothing confirms that no change was made before its wait ended.
            waited if waited >= WATCH_WAIT && is_empty => sent + WATCH_WAIT,
            _ => sent,
        };
        cx.freshness
            .borrow_mut()
            .on_confirmed(confirmed_at, cx.stored_config());
        cx.store_confirmed_at.set(Some(confirmed_at));
        if !is_empty && !is_list {
            tokio::time::sleep(WATCH_PAUSE).await;
        }
    }

    fn on_store_failure(&mut self, e: &StoreError) {
        let cx = &self.cx;
        let now = cx.now();
        if cx.store_unavailable_since.get().is_none() {
            cx.store_unavailable_since.set(Some(now));
            let age = cx.freshness.borrow().age(now);
            warn!(cx.log, "dependency lost"; "dependency" => "store", "why" => %e,
                "config_age_ms" => age.map(|a| a.as_millis() as u64));
        }
        let jitter = rand::rng().random_range(0.5..1.5);
        let pause = match cx.peers.borrow().is_reader(now) {
            true => self.backoff,
            false => cx.peers.borrow().non_reader_backoff(now),
        };
        self.retry_at = now + pause.mul_f64(jitter);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}

/// Logs if a reader that returned nothing is at an earlier revision than this router.
fn log_if_behind(cx: &Gateway, reader: SocketAddr) {
    let known = cx.mirror.borrow().revision();
    let theirs = cx.peers.borrow().mirror_revision_of(reader);
    if let Some(theirs) = theirs.filter(|theirs| *theirs < known) {
        info!(cx.log, "reader is behind"; "reader" => %reader, "revision" => %theirs, "known" => %known);
    }
}

/// Reads the accepted changes again after an operator's change conflicted with another one.
pub(super) async fn reload_changes(cx: &Gateway) -> Result<(), StoreError> {
    cx.metrics.on_store_call("confirm");
    let update = cx.store.list().await?;
    apply_own_entries(cx, &update.items, false);
    Ok(())
}
