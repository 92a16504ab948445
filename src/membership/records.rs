//! Exchange of membership records between routers.
//!
//! Two routers compare digests of the members that they know, and send each other the records in
//! which they differ. So the traffic is proportional to what changed, and a router that starts
//! learns of all others from the first ones it reaches. No step waits for a datagram between each
//! pair of routers, which would take a time in proportion to their number.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{
    datagram::{Datagram, Strength},
    heartbeats::VmHash,
    peer::{Peer, Receiver},
    peers::{ADDRESS_TTL, Peers},
    timing,
};
use crate::{
    ids::{DataHall, Incarnation, VmId},
    units::Instant,
};

/// Number of buckets by which two routers locate their differences: a few routers per bucket at the
/// design size.
const BUCKETS: usize = 256;

/// Maximum number of records in one datagram: a few kilobytes.
const MAX_RECORDS_PER_DATAGRAM: usize = 96;

/// Maximum number of records that a router sends per second: 3 Mbit/s. It may be one of few that a
/// whole fleet asks when it starts.
const MAX_RECORDS_PER_SECOND: f64 = 8_192.0;

/// Maximum number of records that may be sent at once after a quiet period.
const MAX_RECORD_BURST: f64 = 1_024.0;

/// Interval between two comparisons with other routers.
const COMPARE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two comparisons while this router still learns of others.
const COMPARE_INTERVAL_LEARNING: Duration = Duration::from_millis(100);

/// Time after the last change in the membership from which no more changes are expected.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// One in this many comparisons is with a router that counts as down, so that two halves of a fleet
/// that were separated discover that they can reach each other again.
const COMPARISONS_PER_DOWN_PEER: u64 = 4;

/// One in this many comparisons may be with a router of another data hall even if one of this hall
/// is known: traffic between halls is expensive, and hubs report changes elsewhere.
const COMPARISONS_PER_REMOTE_PEER: u64 = 4;

/// How long hubs repeat a change: a few datagrams may be lost.
const CHANGE_REPEAT_TIME: Duration = Duration::from_secs(2);

/// Tolerance when a down report and a heartbeat are compared, as times travel as ages.
///
/// A down report may be older than the last known heartbeat by this much, and a heartbeat must be
/// younger than the down report by this much to bring the router back.
const DOWN_REPORT_TOLERANCE: Duration = Duration::from_secs(1);

/// Addition to the age of a heartbeat that a peer reports, more than its transmission takes.
///
/// A heartbeat that passes from router to router must not grow younger, or reports would keep a
/// dead router alive for ever.
const REPORTED_AGE_MARGIN: Duration = Duration::from_millis(100);

/// One router, as another one knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its VM.
    pub vm: VmId,
    /// Its data hall.
    pub hall: DataHall,
    /// Its capacity class.
    pub capacity: Strength,
    /// Address at which its peers reach it.
    pub address: SocketAddr,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Whether it is alive.
    pub state: RecordState,
}

/// State of the router in a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// It is alive.
    Alive {
        /// Time since its last heartbeat, in milliseconds.
        heard_ms: u32,
    },
    /// It is silent, or stops.
    Down {
        /// Time since it became so, in milliseconds.
        since_ms: u32,
    },
}

/// Step of a comparison.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Exchange {
    /// First step: the digest of all members that the sender knows.
    Compare {
        /// Digest of all routers that no peer reported as down.
        digest: u64,
        /// Number of routers in the digest.
        routers: u32,
    },
    /// Answer if the digests differ: the digests of the buckets.
    Differ {
        /// Digest of each bucket.
        buckets: Vec<u32>,
        /// Number of routers in the digests.
        routers: u32,
    },
    /// Answer to these: the sender's records in buckets that differ, and its own digests.
    Reply {
        /// Records of the sender.
        records: Vec<MemberRecord>,
        /// Digest of each bucket.
        buckets: Vec<u32>,
    },
    /// The sender's records in buckets that differ, or recent changes.
    Records(Vec<MemberRecord>),
}

/// Progress of this router in learning of others.
#[derive(Debug)]
pub(super) struct ComparisonState {
    /// Time of the last change in the membership.
    last_change_at: Instant,
    /// Time at which this router learned of the first other one.
    first_contact_at: Option<Instant>,
    /// Highest number of routers that a peer reported.
    routers_reported: u32,
    /// Address of a hub whose member digest differs from what is known here.
    differs_from: Option<SocketAddr>,
    turn: u64,
    record_budget: f64,
    refilled: Instant,
}

impl Default for ComparisonState {
    fn default() -> Self {
        Self {
            last_change_at: Instant::default(),
            first_contact_at: None,
            routers_reported: 0,
            differs_from: None,
            turn: 0,
            record_budget: MAX_RECORD_BURST,
            refilled: Instant::default(),
        }
    }
}

impl ComparisonState {
    pub(super) fn note_change(&mut self, now: Instant) {
        self.last_change_at = now;
        self.first_contact_at.get_or_insert(now);
    }

    pub(super) fn on_difference(&mut self, from: SocketAddr) {
        self.differs_from = Some(from);
    }

    /// Takes up to `wanted` records from the rate limit; returns how many may be sent now.
    fn take_record_budget(&mut self, now: Instant, wanted: usize) -> usize {
        let more = now.since(self.refilled).as_secs_f64() * MAX_RECORDS_PER_SECOND;
        self.refilled = now;
        self.record_budget = (self.record_budget + more).min(MAX_RECORD_BURST);
        let taken = wanted.min(self.record_budget as usize);
        self.record_budget -= taken as f64;
        taken
    }
}

/// Returns the hash of one incarnation of a router.
pub(super) fn incarnation_hash(vm: &VmId, incarnation: Incarnation) -> u64 {
    xxh3_64_with_seed(vm.as_str().as_bytes(), incarnation.0)
}

fn bucket(vm: &VmId) -> usize {
    xxh3_64(vm.as_str().as_bytes()) as usize % BUCKETS
}

impl Peers {
    /// Returns the interval until the next comparison.
    pub fn compare_interval(&self, now: Instant) -> Duration {
        let is_learning = !self.is_settled(now) || self.comparison.differs_from.is_some();
        match is_learning {
            true => COMPARE_INTERVAL_LEARNING,
            false => COMPARE_INTERVAL,
        }
    }

    /// Whether the membership has not changed recently.
    pub fn is_settled(&self, now: Instant) -> bool {
        now.since(self.comparison.last_change_at) >= SETTLE_TIME
    }

    /// Returns the time since this router learned of the first other one.
    pub(super) fn time_since_contact(&self, now: Instant) -> Option<Duration> {
        self.comparison.first_contact_at.map(|at| now.since(at))
    }

    /// Returns the number of routers in the fleet, as known here or reported by a peer, whichever
    /// is higher.
    pub fn fleet_size(&self) -> usize {
        (self.by_vm.len() + 1).max(self.comparison.routers_reported as usize)
    }

    /// Returns the router to compare with next: a hub whose digest differs, or a random router.
    pub fn comparison_peer(&mut self, now: Instant) -> Option<Receiver> {
        self.comparison.turn += 1;
        let turn = self.comparison.turn;
        if let Some(hub) = self.comparison.differs_from.take() {
            let known = self.by_vm.iter().find(|(_, p)| p.address == hub);
            return known.map(Receiver::of);
        }
        let tries_down = turn.is_multiple_of(COMPARISONS_PER_DOWN_PEER);
        let tries_far = turn % COMPARISONS_PER_REMOTE_PEER == 1;
        let is_near = |p: &Peer| p.hall == self.hall || tries_far || tries_down;
        let is_candidate =
            |p: &Peer| is_near(p) && self.is_alive(now, p) != tries_down && !p.stopping;
        let live = self
            .by_vm
            .iter()
            .filter(|(_, p)| is_candidate(p))
            .map(Receiver::of);
        let unconfirmed = self
            .unconfirmed_addresses
            .keys()
            .map(|address| Receiver::at(*address));
        let mut candidates: Vec<Receiver> = live.chain(unconfirmed).collect();
        if candidates.is_empty() {
            let all = self.by_vm.iter().filter(|(_, p)| self.is_alive(now, p));
            candidates = all.map(Receiver::of).collect();
        }
        let draw = xxh3_64_with_seed(&turn.to_le_bytes(), VmHash::from(&self.me).spread() as u64);
        let n = candidates.len().max(1);
        let drawn = draw as usize % n;
        (drawn < candidates.len()).then(|| candidates.swap_remove(drawn))
    }

    /// Returns the first step of a comparison.
    pub fn compare(&self) -> Exchange {
        let hashes = self
            .digest_members()
            .map(|(vm, incarnation)| incarnation_hash(vm, incarnation));
        Exchange::Compare {
            digest: hashes.fold(0, |all, hash| all ^ hash),
            routers: self.digest_members().count() as u32,
        }
    }

    /// Returns the answer to the step in a datagram; `None` if both sides know the same.
    ///
    /// The records in the datagram must have been applied before.
    pub fn answer(&mut self, now: Instant, datagram: &Datagram) -> Option<Exchange> {
        match datagram.exchange.as_ref()? {
            Exchange::Compare { digest, routers } => {
                self.comparison.routers_reported = self.comparison.routers_reported.max(*routers);
                let Exchange::Compare { digest: own, .. } = self.compare() else {
                    return None;
                };
                (own != *digest).then(|| Exchange::Differ {
                    buckets: self.buckets(),
                    routers: self.digest_members().count() as u32,
                })
            }
            Exchange::Differ { buckets, routers } => {
                self.comparison.routers_reported = self.comparison.routers_reported.max(*routers);
                Some(Exchange::Reply {
                    records: self.differing_records(now, buckets),
                    buckets: self.buckets(),
                })
            }
            Exchange::Reply { buckets, .. } => {
                let records = self.differing_records(now, buckets);
                (!records.is_empty()).then_some(Exchange::Records(records))
            }
            Exchange::Records(_) => None,
        }
    }

    /// Returns recent changes, for the routers to which this one sends as a hub.
    pub fn recent_changes(&self, now: Instant) -> Vec<MemberRecord> {
        let is_recent = |p: &&Peer| now.since(p.changed_at) < CHANGE_REPEAT_TIME;
        let mut changed: Vec<(&VmId, &Peer)> =
            self.by_vm.iter().filter(|(_, p)| is_recent(p)).collect();
        changed.sort_unstable_by_key(|(_, p)| std::cmp::Reverse(p.changed_at));
        changed.truncate(MAX_RECORDS_PER_DATAGRAM);
        let records = changed.into_iter();
        records.map(|(vm, p)| record(now, vm, p)).collect()
    }

    /// Applies the records in a datagram; returns the routers that became alive by them.
    pub fn on_records(&mut self, now: Instant, datagram: &Datagram) -> Vec<VmId> {
        let Some(Exchange::Records(records) | Exchange::Reply { records, .. }) = &datagram.exchange
        else {
            return Vec::new();
        };
        let others = records.iter().filter(|r| r.vm != self.me);
        let others: Vec<MemberRecord> = others.cloned().collect();
        let joined = others.into_iter().filter(|r| self.on_record(now, r));
        joined.map(|r| r.vm).collect()
    }

    /// Applies one record; returns whether the router became alive.
    fn on_record(&mut self, now: Instant, record: &MemberRecord) -> bool {
        let ago = |ms: u32| now.before(Duration::from_millis(u64::from(ms)));
        let timeout = timing::failure_timeout(self.fleet_size());
        let known = self.by_vm.get_mut(&record.vm);
        match (known, record.state) {
            (None, RecordState::Alive { heard_ms }) => {
                self.add(now, record, ago(heard_ms).before(REPORTED_AGE_MARGIN), None)
            }
            (None, RecordState::Down { since_ms }) => {
                let since = ago(since_ms);
                self.add(now, record, since, Some(since))
            }
            (Some(peer), RecordState::Alive { heard_ms })
                if peer.incarnation() == record.incarnation =>
            {
                let at = ago(heard_ms).before(REPORTED_AGE_MARGIN);
                peer.last_reported_heartbeat = peer.last_reported_heartbeat.max(Some(at));
                let is_back = peer
                    .down_since
                    .is_some_and(|down_since| at > down_since + DOWN_REPORT_TOLERANCE);
                let revived = is_back && !peer.stopping;
                if revived {
                    peer.down_since = None;
                    self.on_change(now, &record.vm);
                }
                revived
            }
            (Some(peer), RecordState::Down { since_ms })
                if peer.incarnation() == record.incarnation =>
            {
                let since = ago(since_ms);
                // Where two halls cannot reach each other and a third reaches both, each takes the
                // other's hubs for down.
                let is_active = peer.has_sent() && now.since(peer.last_datagram_at) < timeout;
                let is_older = peer.last_heartbeat() <= since + DOWN_REPORT_TOLERANCE;
                let is_new = peer.down_since.is_none() && is_older && !is_active;
                if is_new {
                    peer.down_since = Some(since);
                    self.on_change(now, &record.vm);
                }
                false
            }
            (Some(peer), RecordState::Alive { heard_ms })
                if peer.may_be_succeeded_by(record.incarnation) =>
            {
                let former = peer.incarnation();
                let added = self.add(now, record, ago(heard_ms), None);
                if let Some(peer) = self.by_vm.get_mut(&record.vm) {
                    peer.former_incarnation = Some(former);
                }
                added
            }
            _ => false,
        }
    }

    fn add(
        &mut self,
        now: Instant,
        record: &MemberRecord,
        heartbeat: Instant,
        down_since: Option<Instant>,
    ) -> bool {
        if now.since(heartbeat) >= ADDRESS_TTL {
            return false;
        }
        let peer = Peer::from_record(record, now, heartbeat, down_since);
        self.by_vm.insert(record.vm.clone(), peer);
        self.unconfirmed_addresses.remove(&record.address);
        self.on_change(now, &record.vm);
        down_since.is_none()
    }

    /// Returns the records in buckets that differ, as many as may be sent; each call starts at
    /// another bucket.
    fn differing_records(&mut self, now: Instant, theirs: &[u32]) -> Vec<MemberRecord> {
        let own = self.buckets();
        let differs = |b: usize| theirs.get(b) != Some(&own[b]);
        let first = self.comparison.turn as usize * 31 + VmHash::from(&self.me).spread();
        self.comparison.turn += 1;
        let from_first = |vm: &VmId| (bucket(vm) + first) % BUCKETS;
        let differing = self.by_vm.iter().filter(|(vm, _)| differs(bucket(vm)));
        let mut records: Vec<MemberRecord> = differing.map(|(vm, p)| record(now, vm, p)).collect();
        records.sort_by_key(|r| from_first(&r.vm));
        records.truncate(MAX_RECORDS_PER_DATAGRAM - 1);
        if differs(bucket(&self.me)) {
            records.insert(0, self.own_record());
        }
        let n = self.comparison.take_record_budget(now, records.len());
        records.truncate(n);
        records
    }

    fn own_record(&self) -> MemberRecord {
        MemberRecord {
            vm: self.me.clone(),
            hall: self.hall.clone(),
            capacity: self.capacity,
            address: self.own_address,
            incarnation: self.incarnation,
            state: RecordState::Alive { heard_ms: 0 },
        }
    }

    fn buckets(&self) -> Vec<u32> {
        let mut buckets = vec![0; BUCKETS];
        for (vm, incarnation) in self.digest_members() {
            buckets[bucket(vm)] ^= incarnation_hash(vm, incarnation) as u32;
        }
        buckets
    }

    /// Returns the incarnations that digests cover: all that no peer reported as down, this router
    /// included.
    pub(super) fn digest_members(&self) -> impl Iterator<Item = (&VmId, Incarnation)> {
        let others = self.by_vm.iter().filter(|(_, p)| p.down_since.is_none());
        let others = others.map(|(vm, p)| (vm, p.incarnation()));
        others.chain(std::iter::once((&self.me, self.incarnation)))
    }

    /// Records a change in what is known of a router.
    pub(super) fn on_change(&mut self, now: Instant, vm: &VmId) {
        if let Some(peer) = self.by_vm.get_mut(vm) {
            peer.changed_at = now;
        }
        self.comparison.note_change(now);
        self.hubs.borrow_mut().invalidate();
    }
}

fn record(now: Instant, vm: &VmId, peer: &Peer) -> MemberRecord {
    let ms = |at| now.since(at).as_millis().min(u128::from(u32::MAX)) as u32;
    MemberRecord {
        vm: vm.clone(),
        hall: peer.hall.clone(),
        capacity: peer.capacity,
        address: peer.address,
        incarnation: peer.incarnation(),
        state: match peer.down_since {
            Some(at) => RecordState::Down { since_ms: ms(at) },
            None => RecordState::Alive {
                heard_ms: ms(peer.last_heartbeat()),
            },
        },
    }
}
