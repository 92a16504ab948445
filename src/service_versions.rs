//! Software versions of the targets of each service, of those in the list and of those that left it a
//! moment ago.
//!
//! The list says nothing of versions that left it. A router that starts learns of them from a record in the
//! store and from its peers, each with the time since it left. Until it has learned of them, or has followed
//! the list for as long as they count, "there is one version" is not known, though the list has only one.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::{
    stream_origin::{ServiceHash, StreamOrigin},
    target_record::TargetRecord,
    units::Instant,
};

/// Time after its last target left the list for which a version still counts. A target serves on for some
/// seconds, and callers take up its streams soon after they break off, or after the minute for which they are
/// asked to stay away where their version has left.
pub const VERSION_TTL: Duration = Duration::from_mins(2);

/// Addition to the age of a version that is passed on, more than its transmission takes. Otherwise a version
/// that routers pass to one another would never expire.
const TRANSMISSION_MARGIN: Duration = Duration::from_millis(100);

/// Maximum number of versions that are passed on at once, in less than a kilobyte.
const MAX_NOTICES: usize = 64;

/// A version that counts, as routers tell it to one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionNotice {
    version: StreamOrigin,
    /// Time since its last target left the list, in milliseconds; 0 if it has one.
    age_ms: u32,
}

/// Targets of one version.
#[derive(Debug, Default)]
struct VersionUse {
    /// Number of targets in the list.
    targets: usize,
    /// Until when it counts if it has no target in the list.
    counts_until: Instant,
}

impl VersionUse {
    fn counts(&self, now: Instant) -> bool {
        self.targets > 0 || now < self.counts_until
    }

    fn notice(&self, now: Instant, version: StreamOrigin) -> VersionNotice {
        let age = match self.targets {
            0 => VERSION_TTL.saturating_sub(self.counts_until.since(now)),
            _ => Duration::ZERO,
        };
        VersionNotice {
            version,
            age_ms: age.as_millis() as u32,
        }
    }
}

/// Versions that may have begun streams which are still in progress.
#[derive(Debug, Default)]
pub(crate) struct ServiceVersions {
    by_service: HashMap<ServiceHash, FxHashMap<StreamOrigin, VersionUse>>,
    /// Services that share a route with others.
    split: HashSet<ServiceHash>,
    /// Number of changes in which versions count and which of them have targets.
    changes: u64,
}

impl ServiceVersions {
    /// Records a target that is now in the list.
    pub(crate) fn on_listed(&mut self, target: &TargetRecord) {
        let version = self.version(target.into());
        version.targets += 1;
        self.changes += u64::from(version.targets == 1);
    }

    /// Records a target that is no longer in the list.
    pub(crate) fn on_delisted(&mut self, now: Instant, target: &TargetRecord) {
        let version = self.version(target.into());
        version.targets = version.targets.saturating_sub(1);
        version.counts_until = now + VERSION_TTL;
        self.changes += u64::from(version.targets == 0);
    }

    /// Records a target that was in the list before this router started.
    pub(crate) fn on_former(&mut self, now: Instant, target: &TargetRecord) {
        self.count_until(now, target.into(), now + VERSION_TTL);
    }

    /// Records a version that began a stream and has no target in the list.
    pub(crate) fn on_unlisted(&mut self, now: Instant, version: StreamOrigin) {
        self.count_until(now, version, now + VERSION_TTL);
    }

    /// Records which services share routes, and which shared or exchanged some until now. A stream of unknown origin
    /// may be another service's, as if the service had another version.
    pub(crate) fn on_routes(
        &mut self,
        now: Instant,
        split: HashSet<ServiceHash>,
        rerouted: impl Iterator<Item = ServiceHash>,
    ) {
        for service in rerouted {
            let origin = StreamOrigin::of_other_service(service);
            self.count_until(now, origin, now + VERSION_TTL);
        }
        self.split = split;
    }

    /// Records versions that left the list according to another router, or to one of an earlier time.
    pub(crate) fn on_notices(&mut self, now: Instant, notices: &[VersionNotice]) {
        for notice in notices {
            let age = Duration::from_millis(u64::from(notice.age_ms)) + TRANSMISSION_MARGIN;
            let until = now + VERSION_TTL.saturating_sub(age);
            if now < until {
                self.count_until(now, notice.version, until);
            }
        }
    }

    /// Returns the versions to pass on: first those that left the list a moment ago, which peers can't learn
    /// from it, then all that count where there are several, as a peer may lack the latest entries.
    pub(crate) fn notices(&self, now: Instant) -> Vec<VersionNotice> {
        let versions = self.by_service.values().flatten();
        let recent = versions.filter(|(_, u)| u.counts(now));
        let is_told =
            |v: &StreamOrigin, u: &VersionUse| u.targets == 0 || self.is_mixed(now, v.service);
        let mut told: Vec<_> = recent.filter(|(v, u)| is_told(v, u)).collect();
        told.sort_unstable_by_key(|(_, u)| u.targets > 0);
        let notices = told.into_iter().map(|(v, u)| u.notice(now, *v));
        notices.take(MAX_NOTICES).collect()
    }

    /// Returns all versions that count, to record for routers that start.
    pub(crate) fn all_notices(&self, now: Instant) -> Vec<VersionNotice> {
        let versions = self.by_service.values().flatten();
        let recent = versions.filter(|(_, u)| u.counts(now));
        recent.map(|(version, u)| u.notice(now, *version)).collect()
    }

    /// Returns a number that differs once other versions count, or others have targets in the list.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the versions of a service that have targets, or had some a moment ago.
    fn recent(&self, now: Instant, service: ServiceHash) -> impl Iterator<Item = StreamOrigin> {
        let versions = self.by_service.get(&service).into_iter().flatten();
        versions
            .filter(move |(_, u)| u.counts(now))
            .map(|(v, _)| *v)
    }

    /// Returns the version that began all streams of a service which may be in progress; `None` if there are
    /// several versions or none.
    pub(crate) fn sole(&self, now: Instant, service: ServiceHash) -> Option<StreamOrigin> {
        let mut recent = self.recent(now, service);
        recent.next().filter(|_| !self.is_mixed(now, service))
    }

    /// Returns whether streams of several versions may be in progress.
    pub(crate) fn is_mixed(&self, now: Instant, service: ServiceHash) -> bool {
        self.split.contains(&service) || self.recent(now, service).nth(1).is_some()
    }

    /// Forgets versions whose time is over.
    pub(crate) fn on_tick(&mut self, now: Instant) {
        let changes = &mut self.changes;
        self.by_service.retain(|_, versions| {
            let before = versions.len();
            versions.retain(|_, u| u.counts(now));
            *changes += u64::from(versions.len() < before);
            !versions.is_empty()
        });
    }

    /// Lets a version count until an instant, or longer if it does already.
    fn count_until(&mut self, now: Instant, origin: StreamOrigin, until: Instant) {
        let version = self.version(origin);
        let is_new = !version.counts(now);
        version.counts_until = version.counts_until.max(until);
        self.changes += u64::from(is_new);
    }

    fn version(&mut self, origin: StreamOrigin) -> &mut VersionUse {
        let versions = self.by_service.entry(origin.service).or_default();
        versions.entry(origin).or_default()
    }
}
