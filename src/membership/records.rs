//! How routers learn of one another.
//!
//! Two routers compare digests of whom they take to live, and send each other the records in which they differ. So what
//! is sent follows what changed, and a router that starts learns of all others from the first ones it reaches: nothing
//! waits for a datagram between each two routers, which takes a time in proportion to their number.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{
    datagram::{Datagram, Strength},
    heartbeats::VmHash,
    pace,
    peer::{Peer, Receiver},
    peers::{ADDRESS_KEPT, Peers},
};
use crate::{
    ids::{DataHall, Incarnation, VmId},
    units::Instant,
};

/// The parts by which two routers find where they differ: a few routers in each at the size to design for.
const BUCKETS: usize = 256;

/// Records in one datagram: some kilobytes.
const RECORDS_SENT: usize = 96;

/// Records that a router sends a second at the most, as one of few that a whole fleet asks at its start: three
/// megabits a second.
const RECORDS_A_SECOND: f64 = 8_192.0;

/// Records that may be sent at once after a calm moment.
const RECORDS_AT_ONCE: f64 = 1_024.0;

/// How often a router compares with another one.
const COMPARE_EVERY: Duration = Duration::from_millis(500);

/// How often it does while it still learns of others.
const COMPARE_AT_FIRST: Duration = Duration::from_millis(100);

/// How long after the last router that was news others may be missing.
const SETTLED_AFTER: Duration = Duration::from_millis(500);

/// One in so many comparisons is with a router that counts as gone: two halves of a fleet that could not reach each
/// other find out that they can.
const TRY_GONE_EVERY: u64 = 4;

/// One in so many comparisons is with a router of another data hall, where one of this hall is known: bytes between halls
/// are dear, and hubs tell of changes elsewhere.
const TRY_FAR_EVERY: u64 = 4;

/// How long hubs go on to send a change: a few datagrams may be lost.
const CHANGE_SENT_FOR: Duration = Duration::from_secs(2);

/// How much older than a router's last known heartbeat the notice of its end may be, and how much younger a heartbeat has to
/// be to bring it back: moments travel as ages.
const GONE_SLACK: Duration = Duration::from_secs(1);

/// What is added to the age of a heartbeat that a peer reports, more than its way takes: one that passes from router to
/// router must not grow younger, or a dead router would live on in reports for ever.
const REPORTED_OLDER: Duration = Duration::from_millis(100);

/// One router, as another one knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its VM.
    pub vm: VmId,
    /// Where it stands.
    pub hall: DataHall,
    /// What it can bear.
    pub strength: Strength,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Which start of it is meant.
    pub life: Incarnation,
    /// Whether it lives.
    pub state: RecordState,
}

/// What a record says of a router's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// It lives.
    Alive {
        /// How long ago it was heard of, in milliseconds.
        heard_ms: u32,
    },
    /// It is silent, or stops.
    Gone {
        /// Since when, in milliseconds.
        since_ms: u32,
    },
}

/// One step of a comparison.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Exchange {
    /// The digest of all that live, and how many these are.
    Compare {
        /// Of all that live.
        digest: u64,
        /// Routers that live.
        routers: u32,
    },
    /// The answer where the digests differ: those of each part.
    Differ {
        /// By part.
        buckets: Vec<u32>,
        /// Routers that live.
        routers: u32,
    },
    /// The answer to that: what the sender holds in parts that differ, and its own digests.
    Reply {
        /// What it holds.
        records: Vec<MemberRecord>,
        /// By part.
        buckets: Vec<u32>,
    },
    /// What the sender holds in parts that differ, or what changed a moment ago.
    Records(Vec<MemberRecord>),
}

/// How far this router is with learning of others.
#[derive(Debug)]
pub(super) struct Comparing {
    /// When something was news last.
    news_at: Instant,
    /// The most routers that a peer knew.
    routers_reported: u32,
    /// A hub whose hall differs from what is known here.
    differs_from: Option<SocketAddr>,
    turn: u64,
    records_left: f64,
    refilled: Instant,
}

impl Default for Comparing {
    fn default() -> Self {
        Self {
            news_at: Instant::default(),
            routers_reported: 0,
            differs_from: None,
            turn: 0,
            records_left: RECORDS_AT_ONCE,
            refilled: Instant::default(),
        }
    }
}

impl Comparing {
    pub(super) fn on_news(&mut self, now: Instant) {
        self.news_at = now;
    }

    pub(super) fn on_difference(&mut self, from: SocketAddr) {
        self.differs_from = Some(from);
    }

    /// How many of so many records may be sent now.
    fn take_records(&mut self, now: Instant, wanted: usize) -> usize {
        let more = now.since(self.refilled).as_secs_f64() * RECORDS_A_SECOND;
        self.refilled = now;
        self.records_left = (self.records_left + more).min(RECORDS_AT_ONCE);
        let taken = wanted.min(self.records_left as usize);
        self.records_left -= taken as f64;
        taken
    }
}

/// A life of a router as a number.
pub(super) fn life_hash(vm: &VmId, life: Incarnation) -> u64 {
    xxh3_64_with_seed(vm.as_str().as_bytes(), life.0)
}

fn bucket(vm: &VmId) -> usize {
    xxh3_64(vm.as_str().as_bytes()) as usize % BUCKETS
}

impl Peers {
    /// How long until the next comparison.
    pub fn compare_pause(&self, now: Instant) -> Duration {
        let learns = !self.is_settled(now) || self.comparing.differs_from.is_some();
        match learns {
            true => COMPARE_AT_FIRST,
            false => COMPARE_EVERY,
        }
    }

    /// Whether nothing was news of who there is for a moment.
    pub fn is_settled(&self, now: Instant) -> bool {
        now.since(self.comparing.news_at) >= SETTLED_AFTER
    }

    /// The size of the fleet, as far as it is known or was reported.
    pub fn size(&self) -> usize {
        (self.heard.len() + 1).max(self.comparing.routers_reported as usize)
    }

    /// With whom to compare next: a hub that knows otherwise, or any router.
    pub fn compare_with(&mut self, now: Instant) -> Option<Receiver> {
        self.comparing.turn += 1;
        let turn = self.comparing.turn;
        if let Some(hub) = self.comparing.differs_from.take() {
            let known = self.heard.iter().find(|(_, p)| p.address == hub);
            return known.map(Receiver::of);
        }
        let tries_gone = turn.is_multiple_of(TRY_GONE_EVERY);
        let tries_far = turn % TRY_FAR_EVERY == 1;
        let is_near = |p: &Peer| p.hall == self.hall || tries_far || tries_gone;
        let wanted = |p: &Peer| is_near(p) && self.is_alive(now, p) != tries_gone && !p.stopping;
        let living = self
            .heard
            .iter()
            .filter(|(_, p)| wanted(p))
            .map(Receiver::of);
        let unheard = self.unheard.keys().map(|address| Receiver::at(*address));
        let mut candidates: Vec<Receiver> = living.chain(unheard).collect();
        if candidates.is_empty() {
            let all = self.heard.iter().filter(|(_, p)| self.is_alive(now, p));
            candidates = all.map(Receiver::of).collect();
        }
        let draw = xxh3_64_with_seed(&turn.to_le_bytes(), VmHash::from(&self.me).spread() as u64);
        let n = candidates.len().max(1);
        let drawn = draw as usize % n;
        (drawn < candidates.len()).then(|| candidates.swap_remove(drawn))
    }

    /// The first step.
    pub fn compare(&self) -> Exchange {
        let lives = self.counted().map(|(vm, life)| life_hash(vm, life));
        Exchange::Compare {
            digest: lives.fold(0, |all, life| all ^ life),
            routers: self.counted().count() as u32,
        }
    }

    /// What a datagram's step is answered with; nothing where the two know the same. Its records must have been taken in.
    pub fn answer(&mut self, now: Instant, told: &Datagram) -> Option<Exchange> {
        match told.exchange.as_ref()? {
            Exchange::Compare { digest, routers } => {
                self.comparing.routers_reported = self.comparing.routers_reported.max(*routers);
                let Exchange::Compare { digest: own, .. } = self.compare() else {
                    return None;
                };
                (own != *digest).then(|| Exchange::Differ {
                    buckets: self.buckets(),
                    routers: self.counted().count() as u32,
                })
            }
            Exchange::Differ { buckets, routers } => {
                self.comparing.routers_reported = self.comparing.routers_reported.max(*routers);
                Some(Exchange::Reply {
                    records: self.differing(now, buckets),
                    buckets: self.buckets(),
                })
            }
            Exchange::Reply { buckets, .. } => {
                let records = self.differing(now, buckets);
                (!records.is_empty()).then_some(Exchange::Records(records))
            }
            Exchange::Records(_) => None,
        }
    }

    /// What changed a moment ago, for those to which this router sends as a hub.
    pub fn changes(&self, now: Instant) -> Vec<MemberRecord> {
        let lately = |p: &&Peer| now.since(p.changed_at) < CHANGE_SENT_FOR;
        let mut changed: Vec<(&VmId, &Peer)> =
            self.heard.iter().filter(|(_, p)| lately(p)).collect();
        changed.sort_unstable_by_key(|(_, p)| std::cmp::Reverse(p.changed_at));
        changed.truncate(RECORDS_SENT);
        let records = changed.into_iter();
        records.map(|(vm, p)| record(now, vm, p)).collect()
    }

    /// Takes in records of a peer; returns whom they brought to life here.
    pub fn on_records(&mut self, now: Instant, told: &Datagram) -> Vec<VmId> {
        let Some(Exchange::Records(records) | Exchange::Reply { records, .. }) = &told.exchange
        else {
            return Vec::new();
        };
        let others = records.iter().filter(|r| r.vm != self.me);
        let others: Vec<MemberRecord> = others.cloned().collect();
        let joined = others.into_iter().filter(|r| self.on_record(now, r));
        joined.map(|r| r.vm).collect()
    }

    /// Returns whether the router came to life.
    fn on_record(&mut self, now: Instant, told: &MemberRecord) -> bool {
        let ago = |ms: u32| now.before(Duration::from_millis(u64::from(ms)));
        let silent_after = pace::silent_after(self.size());
        let known = self.heard.get_mut(&told.vm);
        match (known, told.state) {
            (None, RecordState::Alive { heard_ms }) => {
                self.add(now, told, ago(heard_ms).before(REPORTED_OLDER), None)
            }
            (None, RecordState::Gone { since_ms }) => {
                let since = ago(since_ms);
                self.add(now, told, since, Some(since))
            }
            (Some(peer), RecordState::Alive { heard_ms }) if peer.life() == told.life => {
                let at = ago(heard_ms).before(REPORTED_OLDER);
                peer.reported_heard = peer.reported_heard.max(Some(at));
                let back = peer.gone_at.is_some_and(|gone| at > gone + GONE_SLACK);
                let revived = back && !peer.stopping;
                if revived {
                    peer.gone_at = None;
                    self.on_change(now, &told.vm);
                }
                revived
            }
            (Some(peer), RecordState::Gone { since_ms }) if peer.life() == told.life => {
                let since = ago(since_ms);
                // Where two halls can't reach each other and a third reaches both, each takes the other's hubs for gone.
                let speaks = peer.is_direct() && now.since(peer.heard) < silent_after;
                let is_older = peer.last_heartbeat() <= since + GONE_SLACK;
                let is_news = peer.gone_at.is_none() && is_older && !speaks;
                if is_news {
                    peer.gone_at = Some(since);
                    self.on_change(now, &told.vm);
                }
                false
            }
            (Some(peer), RecordState::Alive { heard_ms }) if peer.may_be_followed_by(told.life) => {
                let former = peer.life();
                let added = self.add(now, told, ago(heard_ms), None);
                if let Some(peer) = self.heard.get_mut(&told.vm) {
                    peer.former_life = Some(former);
                }
                added
            }
            _ => false,
        }
    }

    fn add(
        &mut self,
        now: Instant,
        told: &MemberRecord,
        heard: Instant,
        gone_at: Option<Instant>,
    ) -> bool {
        if now.since(heard) >= ADDRESS_KEPT {
            return false;
        }
        let peer = Peer::from_record(told, now, heard, gone_at);
        self.heard.insert(told.vm.clone(), peer);
        self.unheard.remove(&told.address);
        self.on_change(now, &told.vm);
        gone_at.is_none()
    }

    /// What is held in the parts that differ, from another part on each time, as much as may be sent.
    fn differing(&mut self, now: Instant, theirs: &[u32]) -> Vec<MemberRecord> {
        let own = self.buckets();
        let differs = |b: usize| theirs.get(b) != Some(&own[b]);
        let first = self.comparing.turn as usize * 31 + VmHash::from(&self.me).spread();
        self.comparing.turn += 1;
        let from_first = |vm: &VmId| (bucket(vm) + first) % BUCKETS;
        let kept = self.heard.iter().filter(|(vm, _)| differs(bucket(vm)));
        let mut records: Vec<MemberRecord> = kept.map(|(vm, p)| record(now, vm, p)).collect();
        records.sort_by_key(|r| from_first(&r.vm));
        records.truncate(RECORDS_SENT - 1);
        if differs(bucket(&self.me)) {
            records.insert(0, self.own_record());
        }
        let n = self.comparing.take_records(now, records.len());
        records.truncate(n);
        records
    }

    fn own_record(&self) -> MemberRecord {
        MemberRecord {
            vm: self.me.clone(),
            hall: self.hall.clone(),
            strength: self.strength,
            address: self.own_address,
            life: self.life,
            state: RecordState::Alive { heard_ms: 0 },
        }
    }

    fn buckets(&self) -> Vec<u32> {
        let mut buckets = vec![0; BUCKETS];
        for (vm, life) in self.counted() {
            buckets[bucket(vm)] ^= life_hash(vm, life) as u32;
        }
        buckets
    }

    /// The lives that digests count: all that no peer reported gone, this router's included.
    pub(super) fn counted(&self) -> impl Iterator<Item = (&VmId, Incarnation)> {
        let others = self.heard.iter().filter(|(_, p)| p.gone_at.is_none());
        let others = others.map(|(vm, p)| (vm, p.life()));
        others.chain(std::iter::once((&self.me, self.life)))
    }

    /// Something is news of a router.
    pub(super) fn on_change(&mut self, now: Instant, vm: &VmId) {
        if let Some(peer) = self.heard.get_mut(vm) {
            peer.changed_at = now;
        }
        self.comparing.on_news(now);
        self.hubs.borrow_mut().forget();
    }
}

fn record(now: Instant, vm: &VmId, peer: &Peer) -> MemberRecord {
    let ms = |at| now.since(at).as_millis().min(u128::from(u32::MAX)) as u32;
    MemberRecord {
        vm: vm.clone(),
        hall: peer.hall.clone(),
        strength: peer.strength,
        address: peer.address,
        life: peer.life(),
        state: match peer.gone_at {
            Some(at) => RecordState::Gone { since_ms: ms(at) },
            None => RecordState::Alive {
                heard_ms: ms(peer.last_heartbeat()),
            },
        },
    }
}
