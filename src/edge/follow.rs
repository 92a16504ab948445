//! Follows the store: a few routers list and watch it, the others ask those few.
//!
//! List once, then wait for changes from that revision on, and list anew when the history is gone
//! (see "List-Watch Semantics"). A router that hears from no reader goes to the store itself.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use rand::Rng;
use slog::{info, warn};

use super::{
    feed::{ASK_WAIT, FEED_WAIT, Proof},
    fleet,
    gateway::Gateway,
    news::{take_news, take_own},
    peer_calls::PeerConn,
};
use crate::{
    config::Change,
    ids::Revision,
    membership::readers::{NextRead, ReadState},
    store::{MirrorReply, StoreError, StoreUpdate},
    units::{Instant, StoreRevision},
};

/// How long one watch waits. The proof of the configuration is about this old at the most.
const WATCH_WAIT: Duration = Duration::from_millis(600);

/// The pause after a watch that brought something: changes that come together are read together.
const WATCH_PAUSE: Duration = Duration::from_millis(300);

/// The pauses between a reader's calls while the store does not answer.
const FIRST_BACKOFF: Duration = Duration::from_millis(40);
const LONGEST_BACKOFF: Duration = Duration::from_millis(300);

/// The pause after a reader that had nothing or failed, before another one is asked.
const ASK_AGAIN: Duration = Duration::from_millis(50);

/// How often a router that waits for its reader looks whether another peer knows more. One that
/// does so twice in a row is asked in its place.
const OVERTAKEN_CHECK: Duration = Duration::from_millis(150);

/// Whom this router follows.
struct Follower {
    cx: Rc<Gateway>,
    upstream: Option<PeerConn>,
    listed: bool,
    backoff: Duration,
    /// When the store may be called again.
    retry_at: Instant,
}

/// Follows the store for ever.
pub(super) async fn follow_store(cx: Rc<Gateway>) {
    let mut follower = Follower {
        cx,
        upstream: None,
        listed: false,
        backoff: FIRST_BACKOFF,
        retry_at: Instant::default(),
    };
    loop {
        follower.step().await;
    }
}

impl Follower {
    /// One question, to the store or to a reader, and what follows from the answer.
    async fn step(&mut self) {
        let next = {
            let peers = self.cx.peers.borrow();
            peers.next_read(self.cx.now(), &self.read_state())
        };
        match next {
            NextRead::Ask(reader) => self.ask(reader).await,
            NextRead::Store => self.read().await,
            NextRead::Wait => tokio::time::sleep(ASK_AGAIN).await,
        }
    }

    fn read_state(&self) -> ReadState {
        ReadState {
            listed: self.listed,
            store_lost: self.cx.store_lost_at.get().is_some(),
            reads_store: self.cx.reads_store(),
            revision: self.cx.mirror.borrow().revision(),
            start: self.cx.cfg.start,
            retry_at: self.retry_at,
        }
    }

    /// Asks a peer that reads the store.
    async fn ask(&mut self, reader: SocketAddr) {
        let kept = self.upstream.take().filter(|u| u.address() == reader);
        let connected = match kept {
            Some(upstream) => Ok(upstream),
            None => PeerConn::open(reader).await,
        };
        let asked = self.cx.now();
        let is_fed = self.cx.peers.borrow().uses_feeders(asked);
        let told = match connected {
            Ok(upstream) => {
                let after = self.cx.mirror.borrow().revision();
                let wait = if is_fed { FEED_WAIT } else { ASK_WAIT };
                tokio::select! {
                    told = upstream.newer(after, wait) => {
                        self.upstream = Some(upstream);
                        told
                    }
                    () = self.overtaken(reader, after), if !is_fed => return,
                }
            }
            Err(e) => Err(e),
        };
        // A reader itself retries the store now and then, or it would never be one again.
        let state = self.read_state();
        let now = self.cx.now();
        let is_reader = self.cx.peers.borrow().is_reader(now);
        if state.store_lost && is_reader && now >= self.retry_at {
            self.read().await;
        }
        match told {
            Ok((told, proof)) => self.take_answer(reader, asked, told, proof).await,
            Err(e) => {
                self.upstream = None;
                info!(self.cx.log, "reader does not answer"; "reader" => %reader, "why" => %e);
                self.cx.peers.borrow_mut().on_nothing_recent(now, reader);
                tokio::time::sleep(ASK_AGAIN).await;
            }
        }
        self.listed |= self.cx.mirror.borrow().revision() != StoreRevision::default();
    }

    /// Takes in a peer's answer, and what it proves.
    async fn take_answer(
        &self,
        reader: SocketAddr,
        asked: Instant,
        told: MirrorReply,
        proof: Option<Proof>,
    ) {
        let cx = &self.cx;
        let is_news = told != MirrorReply::Nothing;
        match told {
            MirrorReply::Changes(news) => take_news(cx, &news, false, reader),
            MirrorReply::List(news) => take_news(cx, &news, true, reader),
            MirrorReply::Nothing => log_if_behind(cx, reader),
        }
        let is_fed = cx.peers.borrow().uses_feeders(cx.now());
        if let Some(proof) = proof.filter(|_| is_fed) {
            cx.freshness
                .borrow_mut()
                .on_peer_confirmation(proof.vouch(asked));
        }
        let is_recent = proof.is_some_and(Proof::is_recent);
        if is_fed && !is_recent {
            info!(cx.log, "reader has nothing recent"; "reader" => %reader, "proof" => ?proof);
            cx.peers.borrow_mut().on_nothing_recent(cx.now(), reader);
        }
        let is_of_use = is_news || (is_fed && is_recent);
        if !is_of_use {
            tokio::time::sleep(ASK_AGAIN).await;
        }
    }

    /// Ends when the reader that is asked falls behind other peers, or is not to be relied on.
    async fn overtaken(&self, reader: SocketAddr, after: StoreRevision) {
        let mut behind = 0;
        loop {
            tokio::time::sleep(OVERTAKEN_CHECK).await;
            let now = self.cx.now();
            let peers = self.cx.peers.borrow();
            let ahead = peers.peer_ahead_of(now, after).is_some();
            behind = if ahead { behind + 1 } else { 0 };
            if behind >= 2 || peers.choose_reader(now) != Some(reader) {
                return;
            }
        }
    }

    /// Asks the store itself.
    async fn read(&mut self) {
        let sent = self.cx.now();
        let at = self.cx.mirror.borrow().revision();
        let unseen = match self.cx.cfg.own_config {
            true => fleet::unseen_changes(&self.cx),
            false => Vec::new(),
        };
        let unseen: Vec<Revision> = unseen.iter().map(|c| c.revision).collect();
        let answer = match self.listed {
            false => self.cx.store.list().await,
            true => self.cx.store.watch(at, WATCH_WAIT).await,
        };
        match answer {
            Ok(news) => self.on_answer(&news, sent, &unseen).await,
            Err(StoreError::HistoryGone | StoreError::Reverted) => {
                self.cx.metrics.on_store_call("history_gone");
                warn!(self.cx.log, "store history gone"; "after" => at.number, "era" => at.era.0);
                self.listed = false;
            }
            Err(e) => {
                self.cx.metrics.on_store_call("failed");
                self.on_failure(&e);
            }
        }
    }

    async fn on_answer(&mut self, news: &StoreUpdate, sent: Instant, unseen: &[Revision]) {
        let cx = &self.cx;
        cx.metrics.on_store_call("answered");
        self.backoff = FIRST_BACKOFF;
        let now = cx.now();
        let known = cx.mirror.borrow().revision();
        if news.revision.era < known.era {
            info!(cx.log, "answer of an earlier era"; "revision" => %news.revision, "known" => %known);
            return;
        }
        if news.revision < known {
            // The mirror holds what the store held before this call was sent.
            warn!(cx.log, "store was set back"; "revision" => %news.revision, "known" => %known);
            cx.mirror.borrow_mut().clear();
            if self.listed {
                self.listed = false;
                return;
            }
        }
        if let Some(lost_at) = cx.store_lost_at.take() {
            cx.store_back_at.set(Some(now));
            let discovery = &mut cx.dispatcher.borrow_mut().discovery;
            discovery.on_store_available(now, Duration::ZERO);
            let away = now.since(lost_at).as_millis() as u64;
            info!(cx.log, "dependency regained"; "dependency" => "store", "away_ms" => away);
        }
        let is_list = !self.listed;
        let quiet = news.items.is_empty() && !is_list;
        self.listed = true;
        take_news(cx, news, is_list, cx.cfg.peers);
        let is_lost = |change: &Arc<Change>| unseen.contains(&change.revision);
        if is_list || quiet {
            // What was in force before the call was sent would have come with its answer.
            let mut lost = fleet::unseen_changes(cx);
            lost.retain(is_lost);
            fleet::mend_store(cx, lost).await;
        }
        let proven = match now.since(sent) {
            // A watch that brought nothing waited until then for something newer.
            waited if waited >= WATCH_WAIT && quiet => sent + WATCH_WAIT,
            _ => sent,
        };
        cx.freshness
            .borrow_mut()
            .on_confirmed(proven, cx.stored_config());
        cx.store_proven_at.set(Some(proven));
        if !quiet && !is_list {
            tokio::time::sleep(WATCH_PAUSE).await;
        }
    }

    fn on_failure(&mut self, e: &StoreError) {
        let cx = &self.cx;
        let now = cx.now();
        if cx.store_lost_at.get().is_none() {
            cx.store_lost_at.set(Some(now));
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
        self.backoff = (self.backoff * 2).min(LONGEST_BACKOFF);
    }
}

/// Logs that a reader which had nothing newer knows less than this router.
fn log_if_behind(cx: &Gateway, reader: SocketAddr) {
    let known = cx.mirror.borrow().revision();
    let theirs = cx.peers.borrow().mirror_revision_of(reader);
    if let Some(theirs) = theirs.filter(|theirs| *theirs < known) {
        info!(cx.log, "reader is behind"; "reader" => %reader, "revision" => %theirs, "known" => %known);
    }
}

/// Reads the accepted changes anew, for an operator's change that met another one.
pub(super) async fn read_changes(cx: &Gateway) -> Result<(), StoreError> {
    cx.metrics.on_store_call("confirm");
    let news = cx.store.list().await?;
    take_own(cx, &news.items, false);
    Ok(())
}
