//! Which targets there are, as the store's list tells it.
//!
//! The list is wrong right after an outage of the store: entries of targets that could not renew
//! them are missing, and come back a moment later. A removal that is seen then takes force only
//! after [`RETURN_GRACE`].

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{DataHall, ServiceName, TargetId},
    units::{Instant, StoreRevision, Tokens},
};

/// How long after the store's return a missing entry still counts: live targets are back in the
/// list within about two seconds (users' letter).
pub const RETURN_GRACE: Duration = Duration::from_millis(1_900);

/// The part of the saved targets that has to be missing from a router's first list for them to count
/// for a moment: so many lapse together only where the store was away. A few that are missing have left.
/// After a restart of all routers that follows an outage, calls earn 0.82 of their worth in place of 0.78
/// (mean of six seeds), as prompts are found where they were read.
const LAPSED_PART: f64 = 0.25;

/// How many removals are remembered, so that older news of them is passed over: several times the
/// targets that leave within the seconds that news may take.
const REMOVED_KEPT: usize = 1024;

/// What a target says of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// It takes work.
    #[default]
    Ready,
    /// It finishes what it has and leaves.
    Leaving,
}

/// A target's entry in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// This start of the target.
    pub id: TargetId,
    /// What it serves.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_hall: DataHall,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Tokens that it may have in progress, where operators limit that.
    pub most_tokens: Option<Tokens>,
    /// Whether it takes work.
    pub state: TargetState,
}

/// One change of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListChange {
    /// An entry was written.
    Put(TargetRecord),
    /// An entry went.
    Removed(TargetId),
}

#[derive(Debug)]
struct Listed {
    record: Rc<TargetRecord>,
    revision: StoreRevision,
    /// When an entry that went missing stops to count.
    missing_until: Option<Instant>,
}

/// The list as this router knows it.
#[derive(Debug, Default)]
pub struct Discovery {
    targets: BTreeMap<TargetId, Listed>,
    removed: HashMap<TargetId, StoreRevision>,
    by_service: HashMap<ServiceName, Vec<Rc<TargetRecord>>>,
    grace_until: Option<Instant>,
    known: bool,
}

/// What became of an entry, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is used from now on.
    Added,
    /// It changed.
    Changed,
    /// It takes no more work.
    Leaving,
    /// It is not used any more.
    Gone,
    /// It went missing while the store was away and still counts for a moment.
    Kept,
}

impl Discovery {
    /// Whether a list was ever read.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// The store answered again at `at`, after it did not.
    pub fn on_store_back(&mut self, at: Instant) {
        self.grace_until = self.grace_until.max(Some(at + RETURN_GRACE));
    }

    /// Takes one change that was written as `revision`; older news of an entry is passed over.
    pub fn on_change(
        &mut self,
        now: Instant,
        change: ListChange,
        revision: StoreRevision,
    ) -> Option<Verdict> {
        let verdict = match change {
            ListChange::Put(record) => self.put(record, revision),
            ListChange::Removed(id) => self.remove(now, id, revision),
        };
        if verdict.is_some() {
            self.index();
        }
        verdict
    }

    /// Takes a whole list, read when the store was at `revision`; returns what changed.
    pub fn on_list(
        &mut self,
        now: Instant,
        list: Vec<(TargetRecord, StoreRevision)>,
        revision: StoreRevision,
    ) -> Vec<(TargetId, Verdict)> {
        self.known = true;
        let listed: Vec<TargetId> = list.iter().map(|(r, _)| r.id.clone()).collect();
        let mut changes: Vec<(TargetId, Verdict)> = Vec::new();
        for (record, at) in list {
            let id = record.id.clone();
            let verdict = self.put(record, at);
            changes.extend(verdict.map(|v| (id, v)));
        }
        let newer = |l: &Listed| l.revision > revision;
        let missing: Vec<TargetId> = self
            .targets
            .iter()
            .filter(|(id, l)| !listed.contains(id) && !newer(l))
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing {
            let verdict = self.remove(now, id.clone(), revision);
            changes.extend(verdict.map(|v| (id, v)));
        }
        self.index();
        changes
    }

    /// Takes the targets that were listed before this router's life, after its first list. Where many
    /// of them are missing from that, their entries lapsed while the store was away, and they count for
    /// a moment; returns these.
    pub fn on_recalled(&mut self, now: Instant, saved: Vec<TargetRecord>) -> Vec<TargetId> {
        let all = saved.len() as f64;
        let ready = |r: &TargetRecord| r.state == TargetState::Ready;
        let missing = saved.into_iter().filter(ready);
        let missing = missing.filter(|r| !self.targets.contains_key(&r.id));
        let missing: Vec<TargetRecord> = missing.collect();
        if missing.is_empty() || (missing.len() as f64) < all * LAPSED_PART {
            return Vec::new();
        }
        let ids = missing.iter().map(|r| r.id.clone()).collect();
        for record in missing {
            let listed = Listed {
                record: Rc::new(record),
                // Whatever the store tells of it is newer.
                revision: StoreRevision::default(),
                missing_until: Some(now + RETURN_GRACE),
            };
            self.targets.insert(listed.record.id.clone(), listed);
        }
        self.index();
        ids
    }

    /// Takes the whole list as operators state it: a target that is not on it is gone for certain.
    pub fn on_stated(
        &mut self,
        now: Instant,
        list: Vec<TargetRecord>,
        revision: StoreRevision,
    ) -> Vec<(TargetId, Verdict)> {
        self.grace_until = None;
        let list = list.into_iter().map(|r| (r, revision)).collect();
        self.on_list(now, list, revision)
    }

    /// Drops entries whose grace is over; returns them.
    pub fn on_tick(&mut self, now: Instant) -> Vec<TargetId> {
        let over = |l: &Listed| l.missing_until.is_some_and(|until| now >= until);
        let gone: Vec<TargetId> = self
            .targets
            .iter()
            .filter(|(_, l)| over(l))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.targets.remove(id);
        }
        if !gone.is_empty() {
            self.index();
        }
        gone
    }

    /// The targets of a service that take work.
    pub fn serving(&self, service: &ServiceName) -> &[Rc<TargetRecord>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// A target, if it is in the list.
    pub fn get(&self, id: &TargetId) -> Option<&Rc<TargetRecord>> {
        self.targets.get(id).map(|l| &l.record)
    }

    /// All targets in the list.
    pub fn all(&self) -> impl Iterator<Item = &Rc<TargetRecord>> {
        self.targets.values().map(|l| &l.record)
    }

    fn put(&mut self, record: TargetRecord, revision: StoreRevision) -> Option<Verdict> {
        let id = record.id.clone();
        if self.removed.get(&id).is_some_and(|r| *r >= revision) {
            return None;
        }
        let before = self.targets.get(&id);
        let verdict = match before {
            Some(l) if l.revision > revision => return None,
            Some(l) if *l.record == record && l.missing_until.is_none() => return None,
            _ if record.state == TargetState::Leaving => Verdict::Leaving,
            Some(_) => Verdict::Changed,
            None => Verdict::Added,
        };
        let listed = Listed {
            record: Rc::new(record),
            revision,
            missing_until: None,
        };
        self.targets.insert(id, listed);
        Some(verdict)
    }

    fn remove(&mut self, now: Instant, id: TargetId, revision: StoreRevision) -> Option<Verdict> {
        let grace = self.grace_until.filter(|until| now < *until);
        let listed = self.targets.get_mut(&id)?;
        match grace {
            _ if listed.revision > revision => None,
            Some(_) if listed.missing_until.is_some() => None,
            Some(until) if listed.record.state == TargetState::Ready => {
                listed.missing_until = Some(until);
                listed.revision = revision;
                Some(Verdict::Kept)
            }
            _ => {
                self.targets.remove(&id);
                self.remember_removed(id, revision);
                Some(Verdict::Gone)
            }
        }
    }

    fn remember_removed(&mut self, id: TargetId, revision: StoreRevision) {
        if self.removed.len() >= REMOVED_KEPT {
            let oldest = self.removed.iter().min_by_key(|(_, r)| **r);
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.map(|id| self.removed.remove(&id));
        }
        self.removed.insert(id, revision);
    }

    fn index(&mut self) {
        self.by_service.clear();
        for listed in self.targets.values() {
            let record = &listed.record;
            if record.state == TargetState::Ready {
                let pool = self.by_service.entry(record.service.clone()).or_default();
                pool.push(Rc::clone(record));
            }
        }
        for pool in self.by_service.values_mut() {
            pool.sort_by(|a, b| a.id.cmp(&b.id));
        }
    }
}
