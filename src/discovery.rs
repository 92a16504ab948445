//! Discovery of targets from the list in the store.
//!
//! The list is incomplete right after an outage of the store: entries of targets that could not
//! renew them are missing, and return a moment later. A removal that is seen then takes effect only
//! after [`RETURN_GRACE`].
//!
//! An entry is stored under its target's name. A target that restarts writes there with another
//! start time. That ends its former instance at once, and what is known of that instance applies to
//! no target any more.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use crate::{
    evacuation::Evacuations,
    ids::{DataHall, ServiceName, TargetId, TargetName},
    pools::Pools,
    service_versions::{ServiceVersions, VERSION_TTL, VersionNotice},
    stream_origin::{ServiceHash, StreamOrigin},
    units::{Instant, StoreRevision},
};
pub use crate::{
    list_change::{Changes, ListChange, TargetChange},
    target_record::{TargetRecord, TargetState},
};

/// Time after the store's return for which a missing entry still counts: live targets are back in
/// the list within about two seconds.
pub const RETURN_GRACE: Duration = Duration::from_millis(1_900);

/// Minimum fraction of the saved targets that has to be missing from a router's first list for the
/// missing ones to count for a moment. So many entries expire together only where the store was
/// unavailable; where only a few are missing, those targets left. After a restart of all routers
/// that follows an outage, calls earn 0.82 of their worth instead of 0.78 (mean of six seeds), as
/// prompts are found at the targets that read them.
const MIN_LAPSED_FRACTION: f64 = 0.25;

/// Number of targets of a service below which all of them are saved for routers that start.
const SMALL_SERVICE_TARGETS: usize = 512;

/// Time for which targets are remembered that leave, longer than any setting lets streams go on there.
const LEAVING_KEPT: Duration = Duration::from_secs(10);

/// Number of removals that are remembered in addition to a quarter of the targets, so that older
/// changes of the removed entries are ignored. It is several times the number of targets that leave
/// within the seconds that a change may take to arrive.
const MIN_REMOVALS_KEPT: usize = 1024;

/// Divisor of the number of targets that gives this quarter: so many may leave within these
/// seconds.
const REMOVALS_KEPT_DIVISOR: usize = 4;

/// Number of changes that arrive together above which all targets are indexed again.
const REINDEX_THRESHOLD: usize = 256;

/// An entry of the list.
#[derive(Debug)]
struct ListedTarget {
    record: Rc<TargetRecord>,
    revision: StoreRevision,
    /// When an entry that went missing ceases to count; `None` if it is not missing.
    missing_until: Option<Instant>,
}

/// The list of targets as this router knows it.
#[derive(Debug, Default)]
pub struct Discovery {
    targets: BTreeMap<TargetName, ListedTarget>,
    /// Entries that were removed, each with the write that removed it.
    removed: HashMap<TargetName, StoreRevision>,
    pools: Pools,
    versions: ServiceVersions,
    /// Targets that said that they leave, or that left the list, each with the time of that.
    leaving: Vec<(Instant, Rc<TargetRecord>)>,
    /// Earliest time at which an entry that went missing ceases to count.
    missing_until: Option<Instant>,
    /// Targets that are cold according to their entries, each with the time until which it is cold.
    cold: HashMap<TargetId, Instant>,
    evacuations: Evacuations,
    /// End of the grace period after the store's return, in which removed entries still count.
    grace_until: Option<Instant>,
    /// When lists may again contradict what an earlier era of the store contained; `None` if they
    /// may now.
    settles_at: Option<Instant>,
    /// When a list was first read.
    loaded_at: Option<Instant>,
    /// Whether the versions are known that left the list before it was first read.
    has_version_history: bool,
}

impl Discovery {
    /// Whether a list was ever read.
    pub fn is_loaded(&self) -> bool {
        self.loaded_at.is_some()
    }

    /// Handles the return of the store after an outage, `ago` before now. That may have been before
    /// this router started.
    pub fn on_store_available(&mut self, now: Instant, ago: Duration) {
        let until = (now + RETURN_GRACE).before(ago);
        self.grace_until = self.grace_until.max(Some(until));
    }

    /// Handles a store that was reverted to an older copy. Lost entries are written again within
    /// [`RETURN_GRACE`]. Until then, lists of the store undo nothing that was known before, as a
    /// target that left would get calls again.
    pub fn on_store_reverted(&mut self, now: Instant) {
        self.settles_at = Some(now + RETURN_GRACE);
        self.on_store_available(now, Duration::ZERO);
    }

    /// Returns, once, whether the time after a reversion of the store is over. The content of the
    /// store is then to be listed again.
    pub fn take_settled(&mut self, now: Instant) -> bool {
        let is_settled = self.settles_at.is_some_and(|at| now >= at);
        if is_settled {
            self.settles_at = None;
        }
        is_settled
    }

    /// Whether the store was reverted a moment ago, so that entries which it lost are about to be written again.
    pub fn is_settling(&self) -> bool {
        self.settles_at.is_some()
    }

    /// Whether a listed entry undoes what was known from an earlier era of the store.
    fn contradicts_known(&self, record: &TargetRecord, at: StoreRevision) -> bool {
        let is_earlier = |known: StoreRevision| known.era < at.era;
        let name = record.id.to_name();
        match self.targets.get(&name) {
            Some(l) if !is_earlier(l.revision) => false,
            Some(l) if l.record.id != record.id => true,
            Some(l) => l.record.state == TargetState::Leaving && record.state == TargetState::Ready,
            None => self.removed.get(&name).is_some_and(|r| is_earlier(*r)),
        }
    }

    /// Applies one change that was written as `revision`; a change that is older than what is known
    /// of its entry is ignored.
    pub fn on_change(
        &mut self,
        now: Instant,
        change: ListChange,
        revision: StoreRevision,
    ) -> Changes {
        self.on_changes(now, vec![(change, revision)])
    }

    /// Applies changes that arrived together, each with the revision that wrote it. Where they are
    /// many, targets are indexed by service once for all of them: 512 changes among 3,000 targets
    /// take 0.8 ms instead of 91 ms (`slopes`).
    pub fn on_changes(&mut self, now: Instant, list: Vec<(ListChange, StoreRevision)>) -> Changes {
        let mut changes = Changes::new();
        for (change, revision) in list {
            changes.extend(match change {
                ListChange::Put(record) => self.put(now, record, revision),
                ListChange::Removed(name) => self.remove(now, name, revision),
                ListChange::Unusable(name) => self.drop_unusable(now, name, revision),
            });
        }
        match changes.len() > REINDEX_THRESHOLD {
            true => self.index(),
            false => changes.iter().for_each(|(id, _)| self.index_one(id)),
        }
        changes
    }

    /// Applies a whole list that was read when the store was at `revision`; returns what changed.
    pub fn on_list(
        &mut self,
        now: Instant,
        list: Vec<(TargetRecord, StoreRevision)>,
        revision: StoreRevision,
    ) -> Changes {
        self.loaded_at.get_or_insert(now);
        let listed: HashSet<TargetName> = list.iter().map(|(r, _)| r.id.to_name()).collect();
        let mut changes = Changes::new();
        for (record, at) in list {
            if self.settles_at.is_none() || !self.contradicts_known(&record, at) {
                changes.extend(self.put(now, record, at));
            }
        }
        let is_newer = |l: &ListedTarget| l.revision > revision;
        let missing: Vec<TargetName> = self
            .targets
            .iter()
            .filter(|(name, l)| !listed.contains(*name) && !is_newer(l))
            .map(|(name, _)| name.clone())
            .collect();
        for name in missing {
            changes.extend(self.remove(now, name, revision));
        }
        self.index();
        changes
    }

    /// Applies the targets that were saved before this router started, after its first list. Where
    /// many of them are missing from that list, their entries expired while the store was
    /// unavailable, and they count for [`RETURN_GRACE`]; returns these.
    pub fn on_saved_targets(&mut self, now: Instant, saved: Vec<TargetRecord>) -> Vec<TargetId> {
        let all = saved.len() as f64;
        saved.iter().for_each(|r| self.versions.on_former(now, r));
        let is_ready = |r: &TargetRecord| r.state == TargetState::Ready;
        let missing = saved.into_iter().filter(is_ready);
        // A target that restarted is listed under its name, though as another instance.
        let missing = missing.filter(|r| !self.targets.contains_key(r.id.name()));
        let missing: Vec<TargetRecord> = missing.collect();
        if missing.is_empty() || (missing.len() as f64) < all * MIN_LAPSED_FRACTION {
            return Vec::new();
        }
        let ids = missing.iter().map(|r| r.id.clone()).collect();
        for record in missing {
            self.note_cold(now, &record);
            self.versions.on_listed(&record);
            let listed = ListedTarget {
                record: Rc::new(record),
                // Every write of the store is newer.
                revision: StoreRevision::default(),
                missing_until: Some(now + RETURN_GRACE),
            };
            self.targets.insert(listed.record.id.to_name(), listed);
        }
        self.index();
        ids
    }

    /// Returns the targets to save for routers that start: those that have read prompts, and all
    /// targets of services with few. So the saved data does not grow with the number of targets in
    /// the fleet.
    pub fn targets_to_save(&self, has_read: impl Fn(&TargetId) -> bool) -> Vec<TargetRecord> {
        let is_of_small_service =
            |t: &TargetRecord| self.serving(&t.service).len() < SMALL_SERVICE_TARGETS;
        let to_save = self
            .all()
            .filter(|t| has_read(&t.id) || is_of_small_service(t));
        to_save.map(|t| TargetRecord::clone(t)).collect()
    }

    /// Applies the whole list from the operators' configuration. A target that is not on it is gone
    /// for certain, so that no grace period applies.
    pub fn on_configured_list(
        &mut self,
        now: Instant,
        list: Vec<TargetRecord>,
        revision: StoreRevision,
    ) -> Changes {
        self.grace_until = None;
        let list = list.into_iter().map(|r| (r, revision)).collect();
        self.on_list(now, list, revision)
    }

    /// Removes missing entries whose grace period is over; returns their targets.
    pub fn on_tick(&mut self, now: Instant) -> Vec<TargetId> {
        self.cold.retain(|_, until| now < *until);
        self.versions.on_tick(now);
        self.leaving
            .retain(|(since, _)| now.since(*since) < LEAVING_KEPT);
        // Skips the scan of thousands of targets, which would run many times a second, where none
        // is missing.
        if self.missing_until.is_none_or(|until| now < until) {
            return Vec::new();
        }
        let is_expired = |l: &mut ListedTarget| l.missing_until.is_some_and(|until| now >= until);
        let expired = self.targets.extract_if(.., |_, listed| is_expired(listed));
        let expired: Vec<Rc<TargetRecord>> = expired.map(|(_, l)| l.record).collect();
        for record in &expired {
            self.versions.on_delisted(now, record);
        }
        self.index();
        expired.iter().map(|record| record.id.clone()).collect()
    }

    /// Handles a write that evacuates a data hall or takes it back into service; returns whether
    /// that changes the hall's state.
    pub fn on_hall_change(
        &mut self,
        now: Instant,
        hall: DataHall,
        is_evacuated: bool,
        revision: StoreRevision,
    ) -> bool {
        let halls = &mut self.evacuations;
        let changed = halls.on_change(now, hall, is_evacuated, revision);
        if changed {
            self.index();
        }
        changed
    }

    /// Applies the list of all data halls that are evacuated as of `revision`; returns the halls
    /// whose state changed.
    pub fn on_hall_list(
        &mut self,
        now: Instant,
        list: Vec<(DataHall, StoreRevision)>,
        revision: StoreRevision,
    ) -> Vec<DataHall> {
        let changed = match self.settles_at {
            Some(_) => self.evacuations.on_copy(now, list),
            None => self.evacuations.on_list(now, list, revision),
        };
        if !changed.is_empty() {
            self.index();
        }
        changed
    }

    /// Returns the evacuations of data halls.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Whether a service has targets that are ready, but all of them in evacuated data halls.
    pub fn is_evacuated(&self, service: &ServiceName) -> bool {
        let takes_work = |t: &&Rc<TargetRecord>| t.state == TargetState::Ready;
        let mut of_service = self.all().filter(|t| t.service == *service);
        self.serving(service).is_empty() && of_service.any(|t| takes_work(&t))
    }

    /// Whether any target may be cold. If none is, a call skips the check of each of thousands of
    /// targets.
    pub fn may_be_cold(&self) -> bool {
        !self.cold.is_empty() || self.evacuations.is_any_taken_back()
    }

    /// Returns when a target becomes warm, where targets of its service are cold for `cold_time`;
    /// `None` if it is warm. A target in a data hall that was taken back into service is assumed to
    /// be cold, as it says so itself only with its next entry.
    pub fn cold_until(
        &self,
        now: Instant,
        target: &TargetRecord,
        cold_time: Duration,
    ) -> Option<Instant> {
        let entry_until = self.cold.get(&target.id).copied();
        let taken_back_at = self.evacuations.taken_back_at(&target.data_hall);
        let until = entry_until.max(taken_back_at.map(|at| at + cold_time));
        until.filter(|until| now < *until)
    }

    /// Returns the targets of a service that take work.
    pub fn serving(&self, service: &ServiceName) -> &[Rc<TargetRecord>] {
        self.pools.serving(service)
    }

    /// Returns the version that began all streams of a service which may be in progress; `None` if there
    /// are several versions or none.
    pub fn sole_version(&self, now: Instant, service: ServiceHash) -> Option<StreamOrigin> {
        self.versions.sole(now, service)
    }

    /// Whether streams of several versions of a service may be in progress.
    pub fn has_mixed_versions(&self, now: Instant, service: ServiceHash) -> bool {
        self.versions.is_mixed(now, service)
    }

    /// Applies versions that left the list before this router saw it, or that it did not see leave.
    pub fn on_version_notices(&mut self, now: Instant, notices: &[VersionNotice]) {
        self.versions.on_notices(now, notices);
    }

    /// Records which services share routes by the configuration, and which shared or exchanged some until now.
    pub fn on_routes(
        &mut self,
        now: Instant,
        split: HashSet<ServiceHash>,
        rerouted: impl Iterator<Item = ServiceHash>,
    ) {
        self.versions.on_routes(now, split, rerouted);
    }

    /// Records that a stream begins at a target whose version is not the listed one.
    pub fn on_unlisted_version(&mut self, now: Instant, version: StreamOrigin) {
        self.versions.on_unlisted(now, version);
    }

    /// Applies the versions that counted when a router recorded them, before this one started; none in a fleet that
    /// starts for the first time.
    pub fn on_version_record(&mut self, now: Instant, record: &[VersionNotice]) {
        self.versions.on_notices(now, record);
        self.has_version_history = true;
    }

    /// Whether this router has followed the list for as long as versions count that left it. A time in which it was
    /// suspended or cut off counts, as it then reads the changes of that time.
    pub fn has_followed_list(&self, now: Instant) -> bool {
        let followed = self.loaded_at.map(|at| now.since(at));
        followed.is_some_and(|time| time >= VERSION_TTL)
    }

    /// Whether all versions are known that may have begun streams which are in progress. Otherwise one that is
    /// the only one in the list need not have been the only one.
    pub fn knows_versions(&self, now: Instant) -> bool {
        self.has_version_history || self.has_followed_list(now)
    }

    /// Returns the versions to tell other routers of.
    pub fn version_notices(&self, now: Instant) -> Vec<VersionNotice> {
        self.versions.notices(now)
    }

    /// Returns all versions that count, to record for routers that start.
    pub fn version_record(&self, now: Instant) -> Vec<VersionNotice> {
        self.versions.all_notices(now)
    }

    /// Returns a number that differs once other versions count, or others have targets in the list.
    pub fn version_changes(&self) -> u64 {
        self.versions.changes()
    }

    /// Returns the targets of a service that began to leave less than `within` ago: they serve on for a
    /// while. At most those of the last seconds are known.
    pub fn leaving(
        &self,
        now: Instant,
        service: &ServiceName,
        within: Duration,
    ) -> impl Iterator<Item = &Rc<TargetRecord>> {
        let recent = self.leaving.iter();
        let recent = recent.filter(move |(since, _)| now.since(*since) < within);
        let of_service = recent.map(|(_, target)| target);
        of_service
            .filter(move |t| t.service == *service && !self.evacuations.is_evacuated(&t.data_hall))
    }

    /// Returns the targets that take work, by service.
    pub(crate) fn pools(&self) -> &Pools {
        &self.pools
    }

    /// Returns a target, if the list contains this instance of it.
    pub fn get(&self, id: &TargetId) -> Option<&Rc<TargetRecord>> {
        let listed = self.targets.get(id.name())?;
        (listed.record.id == *id).then_some(&listed.record)
    }

    /// Returns all targets in the list.
    pub fn all(&self) -> impl Iterator<Item = &Rc<TargetRecord>> {
        self.targets.values().map(|l| &l.record)
    }

    fn put(&mut self, now: Instant, record: TargetRecord, revision: StoreRevision) -> Changes {
        let (id, name) = (record.id.clone(), record.id.to_name());
        if self.removed.get(&name).is_some_and(|r| *r >= revision) {
            return Changes::new();
        }
        let before = self.targets.get(&name);
        let former = before.map(|l| l.record.id.clone()).filter(|f| *f != id);
        let verdict = match before {
            Some(l) if l.revision > revision => return Changes::new(),
            Some(l) if *l.record == record && l.missing_until.is_none() => return Changes::new(),
            _ if record.state == TargetState::Leaving => TargetChange::Leaving,
            Some(_) if former.is_none() => TargetChange::Changed,
            _ => TargetChange::Added,
        };
        let was_ready = before.is_none_or(|l| l.record.state == TargetState::Ready);
        self.note_cold(now, &record);
        let record = Rc::new(record);
        if verdict == TargetChange::Leaving && was_ready {
            self.leaving.push((now, Rc::clone(&record)));
        }
        self.versions.on_listed(&record);
        let listed = ListedTarget {
            record,
            revision,
            missing_until: None,
        };
        if let Some(before) = self.targets.insert(name, listed) {
            self.versions.on_delisted(now, &before.record);
        }
        let restarted = former.map(|former| (former, TargetChange::Restarted));
        restarted.into_iter().chain([(id, verdict)]).collect()
    }

    fn remove(&mut self, now: Instant, name: TargetName, revision: StoreRevision) -> Changes {
        let grace_until = self.grace_until.filter(|until| now < *until);
        let Some(listed) = self.targets.get_mut(&name) else {
            return Changes::new();
        };
        let id = listed.record.id.clone();
        match grace_until {
            _ if listed.revision > revision => Changes::new(),
            Some(_) if listed.missing_until.is_some() => Changes::new(),
            Some(until) if listed.record.state == TargetState::Ready => {
                listed.missing_until = Some(until);
                listed.revision = revision;
                let first = self.missing_until.unwrap_or(until);
                self.missing_until = Some(first.min(until));
                vec![(id, TargetChange::Kept)]
            }
            _ => {
                if listed.record.state == TargetState::Ready {
                    self.leaving.push((now, Rc::clone(&listed.record)));
                }
                self.take(now, &name);
                self.remember_removed(name, revision);
                vec![(id, TargetChange::Gone)]
            }
        }
    }

    /// Takes a target from the list.
    fn take(&mut self, now: Instant, name: &TargetName) {
        let Some(listed) = self.targets.remove(name) else {
            return;
        };
        self.versions.on_delisted(now, &listed.record);
    }

    /// Removes a target whose entry became unusable. Its former entry no longer applies, also right
    /// after an outage of the store.
    fn drop_unusable(
        &mut self,
        now: Instant,
        name: TargetName,
        revision: StoreRevision,
    ) -> Changes {
        let is_older = |l: &&ListedTarget| l.revision <= revision;
        let Some(listed) = self.targets.get(&name).filter(is_older) else {
            return Changes::new();
        };
        let id = listed.record.id.clone();
        self.take(now, &name);
        self.remember_removed(name, revision);
        vec![(id, TargetChange::Unusable)]
    }

    fn remember_removed(&mut self, name: TargetName, revision: StoreRevision) {
        if self.removed.len() >= MIN_REMOVALS_KEPT + self.targets.len() / REMOVALS_KEPT_DIVISOR {
            let oldest = self.removed.iter().min_by_key(|(_, r)| **r);
            let oldest = oldest.map(|(name, _)| name.clone());
            oldest.map(|name| self.removed.remove(&name));
        }
        self.removed.insert(name, revision);
    }

    /// Records until when a target is cold. The time counts from the arrival of its entry, as the
    /// clocks of VMs differ.
    fn note_cold(&mut self, now: Instant, record: &TargetRecord) {
        match record.cold_for {
            Duration::ZERO => self.cold.remove(&record.id),
            left => self.cold.insert(record.id.clone(), now + left),
        };
    }

    fn index(&mut self) {
        let evacuations = &self.evacuations;
        let records = self.targets.values().map(|l| &l.record);
        self.pools
            .set(records.filter(|r| takes_work(r, evacuations)));
        let missing = self.targets.values().filter_map(|l| l.missing_until);
        self.missing_until = missing.min();
    }

    /// Indexes one instance of a target.
    fn index_one(&mut self, id: &TargetId) {
        let listed = self.targets.get(id.name());
        let record = listed.map(|l| &l.record).filter(|r| r.id == *id);
        match record {
            Some(record) if takes_work(record, &self.evacuations) => self.pools.add(record),
            Some(record) => self.pools.remove(record),
            None => self.pools.remove_id(id),
        }
    }
}

fn takes_work(target: &TargetRecord, evacuations: &Evacuations) -> bool {
    target.state == TargetState::Ready && !evacuations.is_evacuated(&target.data_hall)
}
