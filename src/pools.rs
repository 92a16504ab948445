//! Indexes the targets that accept calls by service, and is updated as entries change.
//!
//! A changed entry is inserted into sorted lists without a scan of all targets: while a service is
//! released, entries of ten thousand targets change some dozen times a second at each router.

use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
};

use crate::{
    call_plan::CallPlan,
    ids::{ServiceName, TargetId},
    load_account::LoadAccount,
    placement::candidates::{Candidates, HashRing, PRESELECTION_THRESHOLD},
    prompt_cache::PromptCache,
    target_counts::TargetHash,
    target_record::TargetRecord,
};

/// Targets of one service that accept calls.
#[derive(Debug, Default)]
struct Pool {
    /// Sorted by id.
    targets: Vec<Rc<TargetRecord>>,
    ring: HashRing,
    /// Hashes of the target ids, which are the keys of call counts.
    hashes: HashSet<TargetHash>,
    /// Number of requests that all targets together process at once.
    slots: u64,
}

impl Pool {
    fn position(&self, id: &TargetId) -> Result<usize, usize> {
        self.targets.binary_search_by(|t| t.id.cmp(id))
    }

    fn add(&mut self, target: &Rc<TargetRecord>) {
        match self.position(&target.id) {
            Ok(i) => {
                self.slots -= u64::from(self.targets[i].slots);
                self.targets[i] = Rc::clone(target);
            }
            Err(i) => self.targets.insert(i, Rc::clone(target)),
        }
        self.slots += u64::from(target.slots);
        self.ring.add(target);
        self.hashes.insert((&target.id).into());
    }

    fn remove(&mut self, id: &TargetId) {
        let Ok(i) = self.position(id) else {
            return;
        };
        let removed = self.targets.remove(i);
        self.slots -= u64::from(removed.slots);
        self.ring.remove(&removed.id);
        self.hashes.remove(&(&removed.id).into());
    }
}

/// Targets of all services that accept calls.
#[derive(Debug, Default)]
pub(crate) struct Pools(HashMap<ServiceName, Pool>);

impl Pools {
    /// Replaces all targets.
    pub(crate) fn set<'a>(&mut self, targets: impl Iterator<Item = &'a Rc<TargetRecord>>) {
        self.0.clear();
        for target in targets {
            match self.0.get_mut(&target.service) {
                Some(pool) => pool.targets.push(Rc::clone(target)),
                None => self.add(target),
            }
        }
        for pool in self.0.values_mut() {
            pool.targets.sort_by(|a, b| a.id.cmp(&b.id));
            pool.ring = HashRing::new(&pool.targets);
            pool.hashes = pool.targets.iter().map(|t| (&t.id).into()).collect();
            pool.slots = pool.targets.iter().map(|t| u64::from(t.slots)).sum();
        }
    }

    /// Adds a target that accepts calls, or replaces its record.
    pub(crate) fn add(&mut self, target: &Rc<TargetRecord>) {
        let others = self.0.iter_mut().filter(|(s, _)| **s != target.service);
        others.for_each(|(_, pool)| pool.remove(&target.id));
        let pool = self.0.entry(target.service.clone()).or_default();
        pool.add(target);
    }

    /// Removes a target that accepts no more calls.
    pub(crate) fn remove(&mut self, target: &TargetRecord) {
        self.remove_id(&target.id);
    }

    /// Removes a target that is gone.
    pub(crate) fn remove_id(&mut self, id: &TargetId) {
        self.0.values_mut().for_each(|pool| pool.remove(id));
    }

    /// Returns the targets of a service, sorted by id.
    pub(crate) fn serving(&self, service: &ServiceName) -> &[Rc<TargetRecord>] {
        self.0.get(service).map_or(&[], |p| &p.targets)
    }

    /// Returns the preselected targets of a call's service if it has very many; `None` if all are to be
    /// scored.
    pub(crate) fn candidates(&self, plan: &CallPlan, cache: &PromptCache) -> Option<Candidates> {
        let pool = self.0.get(&plan.service)?;
        // For a chat all targets are scored: peers are not notified of what its target of first choice has
        // read, so that target has to be found by hashing over all.
        if pool.targets.len() < PRESELECTION_THRESHOLD || plan.chat.is_some() {
            return None;
        }
        Some(Candidates::new(&pool.targets, &pool.ring, plan, cache))
    }

    /// Returns the mean load of a service's targets in calls per slot, from the counts of their calls.
    pub(crate) fn calls_per_slot(&self, service: &ServiceName, load: &LoadAccount) -> Option<f64> {
        let pool = self.0.get(service)?;
        let calls = load.calls_at(|target| pool.hashes.contains(target));
        Some(f64::from(calls) / pool.slots.max(1) as f64)
    }
}
