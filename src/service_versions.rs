//! Software versions of the targets of each service, of those in the list and of those that left it a
//! moment ago.

use std::{collections::HashMap, time::Duration};

use rustc_hash::FxHashMap;

use crate::{
    stream_origin::{ServiceHash, StreamOrigin},
    target_record::TargetRecord,
    units::Instant,
};

/// Time after its last target left the list for which a version still counts. A target serves on for some
/// seconds, and callers take up its streams soon after they break off.
const VERSION_TTL: Duration = Duration::from_mins(1);

/// Targets of one version.
#[derive(Debug, Default)]
struct VersionUse {
    /// Number of targets in the list.
    targets: usize,
    /// When the last one left the list.
    left_at: Instant,
}

/// Versions that may have begun streams which are still in progress.
#[derive(Debug, Default)]
pub(crate) struct ServiceVersions(HashMap<ServiceHash, FxHashMap<StreamOrigin, VersionUse>>);

impl ServiceVersions {
    /// Records a target that is now in the list.
    pub(crate) fn on_listed(&mut self, target: &TargetRecord) {
        self.version(target).targets += 1;
    }

    /// Records a target that is no longer in the list.
    pub(crate) fn on_delisted(&mut self, now: Instant, target: &TargetRecord) {
        let version = self.version(target);
        version.targets = version.targets.saturating_sub(1);
        version.left_at = now;
    }

    /// Records a target that was in the list before this router started.
    pub(crate) fn on_former(&mut self, now: Instant, target: &TargetRecord) {
        let version = self.version(target);
        version.left_at = version.left_at.max(now);
    }

    /// Returns the versions of a service that have targets, or had some a moment ago.
    fn recent(&self, now: Instant, service: ServiceHash) -> impl Iterator<Item = StreamOrigin> {
        let versions = self.0.get(&service).into_iter().flatten();
        let is_recent = move |u: &VersionUse| u.targets > 0 || now.since(u.left_at) < VERSION_TTL;
        versions.filter(move |(_, u)| is_recent(u)).map(|(v, _)| *v)
    }

    /// Returns the version that began all streams of a service which may be in progress; `None` if there are
    /// several versions or none.
    pub(crate) fn sole(&self, now: Instant, service: ServiceHash) -> Option<StreamOrigin> {
        let mut recent = self.recent(now, service);
        let first = recent.next()?;
        recent.next().is_none().then_some(first)
    }

    /// Returns whether streams of several versions may be in progress.
    pub(crate) fn is_mixed(&self, now: Instant, service: ServiceHash) -> bool {
        self.recent(now, service).nth(1).is_some()
    }

    /// Forgets versions whose time is over.
    pub(crate) fn on_tick(&mut self, now: Instant) {
        self.0.retain(|_, versions| {
            versions.retain(|_, u| u.targets > 0 || now.since(u.left_at) < VERSION_TTL);
            !versions.is_empty()
        });
    }

    fn version(&mut self, target: &TargetRecord) -> &mut VersionUse {
        let origin = StreamOrigin::from(target);
        let versions = self.0.entry(origin.service).or_default();
        versions.entry(origin).or_default()
    }
}
