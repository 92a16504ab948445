//! Targets that take work, by service, kept up as entries come and go.
//!
//! A change of one entry costs a place in sorted lists, not a look at all targets: entries of ten thousand targets change
//! some dozen times a second while a service is released, at each router.

use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
};

use crate::{
    call_plan::Plan,
    ids::{ServiceName, TargetId},
    load_account::LoadAccount,
    placement::candidates::{Candidates, MANY_TARGETS, Ring},
    prompt_cache::PromptCache,
    target_counts::TargetHash,
    target_record::TargetRecord,
};

/// The targets of one service that take work.
#[derive(Debug, Default)]
struct Pool {
    /// In the order of their ids.
    targets: Vec<Rc<TargetRecord>>,
    ring: Ring,
    /// Their names as counts of calls have them.
    hashes: HashSet<TargetHash>,
    /// Requests that all of them work on at once.
    slots: u64,
}

impl Pool {
    fn place(&self, id: &TargetId) -> Result<usize, usize> {
        self.targets.binary_search_by(|t| t.id.cmp(id))
    }

    fn add(&mut self, target: &Rc<TargetRecord>) {
        match self.place(&target.id) {
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

    fn take(&mut self, id: &TargetId) {
        let Ok(i) = self.place(id) else {
            return;
        };
        let taken = self.targets.remove(i);
        self.slots -= u64::from(taken.slots);
        self.ring.take(&taken.id);
        self.hashes.remove(&(&taken.id).into());
    }
}

/// The targets of all services that take work.
#[derive(Debug, Default)]
pub(crate) struct Pools(HashMap<ServiceName, Pool>);

impl Pools {
    /// All anew.
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
            pool.ring = Ring::new(&pool.targets);
            pool.hashes = pool.targets.iter().map(|t| (&t.id).into()).collect();
            pool.slots = pool.targets.iter().map(|t| u64::from(t.slots)).sum();
        }
    }

    /// A target takes work, or says something else of itself.
    pub(crate) fn add(&mut self, target: &Rc<TargetRecord>) {
        let others = self.0.iter_mut().filter(|(s, _)| **s != target.service);
        others.for_each(|(_, pool)| pool.take(&target.id));
        let pool = self.0.entry(target.service.clone()).or_default();
        pool.add(target);
    }

    /// A target takes no more work.
    pub(crate) fn take(&mut self, target: &TargetRecord) {
        self.take_id(&target.id);
    }

    /// A target is gone.
    pub(crate) fn take_id(&mut self, id: &TargetId) {
        self.0.values_mut().for_each(|pool| pool.take(id));
    }

    /// A service's targets, in the order of their ids.
    pub(crate) fn serving(&self, service: &ServiceName) -> &[Rc<TargetRecord>] {
        self.0.get(service).map_or(&[], |p| &p.targets)
    }

    /// The few of very many targets of a call's service that are to be weighed; `None` where all are.
    pub(crate) fn candidates(&self, plan: &Plan, cache: &PromptCache) -> Option<Candidates> {
        let pool = self.0.get(&plan.service)?;
        // What a chat's target of first choice has read is not told to peers: that one is found among all.
        if pool.targets.len() < MANY_TARGETS || plan.chat.is_some() {
            return None;
        }
        Some(Candidates::new(&pool.targets, &pool.ring, plan, cache))
    }

    /// The mean load of a service's targets, in calls a slot, by counts of the calls at them.
    pub(crate) fn calls_a_slot(&self, service: &ServiceName, load: &LoadAccount) -> Option<f64> {
        let pool = self.0.get(service)?;
        let calls = load.calls_at(|target| pool.hashes.contains(target));
        Some(f64::from(calls) / pool.slots.max(1) as f64)
    }
}
