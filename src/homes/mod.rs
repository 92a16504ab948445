//! The targets that one router is home of, and the pools' loads it knows.
//!
//! Each pool's targets are spread over [`SLOTS`] slots; the router that keeps a slot is home
//! of its targets. So a pool has at most that many homes, however many targets it has, and its
//! homes can tell each other their sums directly.

mod map;
mod pool;
mod status;

use std::collections::{BTreeMap, HashMap, HashSet};

use crate::{
    config::{FleetConfig, Target, TargetIntent},
    home::{Home, Offer, TargetReport, Ticket, Verdict, Wake},
    ids::{ConversationKey, TargetId, VmId},
    load::{ASK_EVERY, Least, Load, PoolView, SHIFT, SHIFT_EVERY},
    result_code::ResultCode,
    units::{Instant, LoadBound, Tokens, Weight},
    walk::Wait,
};

pub use map::{HomeMap, SLOTS};
use pool::Pool;
pub use pool::{PoolId, PoolSum};
pub use status::HomeStatus;

/// How a request went that was sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// An answer began.
    Answered,
    /// The target was not reached, or ended without an answer.
    Failed,
    /// The caller left before that was known.
    Abandoned,
}

/// What became of a request that waited at a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetWake {
    /// The target.
    pub target: TargetId,
    /// What became of it.
    pub wake: Wake,
}

#[derive(Debug)]
struct Kept {
    home: Home,
    pool: PoolId,
    pool_name: String,
    is_home: bool,
}

/// All targets that this router is home of, or still has work at.
#[derive(Debug)]
pub struct Homes {
    vm: VmId,
    bound: LoadBound,
    kept: BTreeMap<TargetId, Kept>,
    pools: HashMap<PoolId, Pool>,
    started: bool,
    known: HashSet<TargetId>,
    asked: Option<Instant>,
    reported: (Instant, Tokens),
}

impl Homes {
    /// The homes of a router that has just started.
    pub fn new(vm: VmId, bound: LoadBound) -> Self {
        Self {
            vm,
            bound,
            kept: BTreeMap::new(),
            pools: HashMap::new(),
            started: false,
            known: HashSet::new(),
            asked: None,
            reported: (Instant::default(), Tokens(0)),
        }
    }

    /// Takes the configuration and the live routers (this one among them) that are seen now.
    pub fn on_view(
        &mut self,
        now: Instant,
        cfg: &FleetConfig,
        live: &[VmId],
        map: &HomeMap,
    ) -> Vec<TargetWake> {
        let first = !std::mem::replace(&mut self.started, true);
        let alone = first && live.len() == 1;
        self.pools.values_mut().for_each(Pool::begin_view);
        for (id, target) in &cfg.targets {
            let home = map.home(id, &target.serves);
            self.take_target(now, id, target, home, alone);
            let serves = target.intent == TargetIntent::Serve;
            let joined = match serves {
                true => self.known.insert(id.clone()),
                false => !self.known.remove(id),
            };
            if let Some(k) = self.kept.get_mut(id).filter(|_| serves && joined && !first) {
                k.home.on_joined(now);
            }
        }
        let wakes = self.leave_lost(cfg, live);
        self.drop_idle();
        self.pools
            .retain(|_, p| p.weight > 0 || !p.homes.is_empty());
        wakes
    }

    /// Decides on a request for a target.
    pub fn on_offer(&mut self, now: Instant, target: &TargetId, offer: Offer) -> Verdict {
        let Some(kept) = self.kept.get_mut(target).filter(|k| k.is_home) else {
            return declined(ResultCode::NotHome, Vec::new());
        };
        let known = match (offer.anchor, offer.wait) {
            (true, Wait::Never | Wait::ForCache) => {
                kept.home.conversations().find(offer.conversation)
            }
            _ => Vec::new(),
        };
        match offer.anchor {
            false => self.offer_here(now, target, offer),
            true if known.is_empty() => self.offer_first(now, target, offer),
            true => self.offer_known(now, target, offer, known),
        }
    }

    /// Offers a request to a target itself.
    fn offer_here(&mut self, now: Instant, target: &TargetId, offer: Offer) -> Verdict {
        let pool = self.view_of(now, target);
        match self.kept.get_mut(target) {
            Some(k) => k.home.on_offer(now, offer, pool),
            None => declined(ResultCode::NotHome, Vec::new()),
        }
    }

    /// Offers a request to its first choice, and finds room elsewhere where there is none.
    fn offer_first(&mut self, now: Instant, target: &TargetId, offer: Offer) -> Verdict {
        let pool = self.view_of(now, target);
        let (key, cost) = (offer.conversation, offer.cost);
        let waits = offer.wait == Wait::ForRoom;
        let fits = |k: &Kept| k.home.would_admit(now, &offer, pool);
        // What would wait for room here is sent to where there is room already.
        if !waits || self.kept.get(target).is_some_and(fits) {
            let verdict = self.offer_here(now, target, offer.clone());
            if !matches!(
                verdict,
                Verdict::Declined {
                    code: ResultCode::OverBound,
                    ..
                }
            ) {
                return verdict;
            }
        }
        match self.find_room(now, target, key, cost) {
            Some(room) if room != *target => declined(ResultCode::OverBound, vec![room]),
            _ if waits => self.offer_here(now, target, offer),
            _ => declined(ResultCode::OverBound, Vec::new()),
        }
    }

    /// Sends a request to where its chat has been, which may be here.
    fn offer_known(
        &mut self,
        now: Instant,
        target: &TargetId,
        offer: Offer,
        known: Vec<TargetId>,
    ) -> Verdict {
        let (here, others): (Vec<_>, Vec<_>) = known.iter().cloned().partition(|t| t == target);
        let is_best = known.first() == Some(target);
        let wait = if others.is_empty() {
            offer.wait
        } else {
            Wait::Never
        };
        let verdict = match is_best || (!here.is_empty() && others.is_empty()) {
            true => self.offer_here(now, target, Offer { wait, ..offer }),
            false => return declined(ResultCode::OverBound, others),
        };
        match verdict {
            Verdict::Declined { code, .. } => declined(code, others),
            other => other,
        }
    }

    /// Finds a lightly loaded target of the same pool for a chat that its first choice does not
    /// take, and remembers that the chat is there.
    fn find_room(
        &mut self,
        now: Instant,
        first: &TargetId,
        key: ConversationKey,
        cost: Tokens,
    ) -> Option<TargetId> {
        let pool = self.kept.get(first)?.pool;
        // What this router knows exactly goes before what the others reported a while ago.
        let room = match self.own_room(now, pool, cost) {
            Some(least) => least.target,
            None => self.pools.get_mut(&pool)?.load.find_room(key, cost)?,
        };
        if let Some(k) = self.kept.get_mut(first) {
            k.home.conversations().on_placed(key, room.clone());
        }
        Some(room)
    }

    /// The least loaded target of a pool that this router is home of, if below the mean.
    fn own_room(&self, now: Instant, pool: PoolId, cost: Tokens) -> Option<Least> {
        let mean = self.view(now, pool).mean_with(Weight::USUAL, cost);
        let least = self.least(now, pool)?;
        ((least.tokens.0 as f64) < mean).then_some(least)
    }

    /// The least loaded target of a pool that this router is home of.
    fn least(&self, now: Instant, pool: PoolId) -> Option<Least> {
        let same = self
            .kept
            .iter()
            .filter(|(_, k)| k.is_home && k.pool == pool && !k.home.is_open(now));
        let least = same.map(|(target, k)| {
            let Load { tokens, doubtful } = k.home.load(now);
            let scaled = (tokens + doubtful).0 * 100 / u64::from(k.home.weight().get());
            Least {
                target: target.clone(),
                tokens: Tokens(scaled),
            }
        });
        least.min_by_key(|l| l.tokens)
    }

    /// A request at a target ended.
    pub fn on_finish(
        &mut self,
        now: Instant,
        target: &TargetId,
        ticket: Ticket,
    ) -> Vec<TargetWake> {
        let pool = self.view_of(now, target);
        match self.kept.get_mut(target) {
            Some(k) => name_target(target, k.home.on_finish(now, ticket, pool)),
            None => Vec::new(),
        }
    }

    /// Takes how a request went that was sent to a target.
    pub fn on_outcome(&mut self, now: Instant, target: &TargetId, outcome: Outcome) {
        if let Some(k) = self.kept.get_mut(target) {
            let breaker = k.home.breaker();
            match outcome {
                Outcome::Answered => breaker.on_success(),
                Outcome::Failed => breaker.on_failure(now),
                Outcome::Abandoned => breaker.on_abandon(),
            }
        }
    }

    /// Takes what a target says of its own load; `None` if it answers but does not tell.
    pub fn on_report(&mut self, now: Instant, target: &TargetId, report: Option<TargetReport>) {
        match (self.kept.get_mut(target), report) {
            (Some(k), Some(report)) => k.home.on_report(now, report),
            (Some(k), None) => k.home.on_no_report(),
            (None, _) => {}
        }
    }

    /// Takes another home's sum for a pool.
    pub fn on_load(&mut self, now: Instant, from: VmId, sum: PoolSum) {
        if let Some(pool) = self.pools.get_mut(&sum.pool) {
            pool.load.on_report(now, from, sum.load, sum.least);
        }
    }

    /// Whether to report at once and ask the others to: something waits, and the last time is
    /// long enough ago.
    pub fn take_ask(&mut self, now: Instant) -> bool {
        let lacking = self.kept.values().filter(|k| k.home.lacks_room());
        let pools: HashSet<PoolId> = lacking.map(|k| k.pool).collect();
        let waits = pools
            .into_iter()
            .any(|p| self.own_room(now, p, Tokens(0)).is_none());
        let due = self.asked.is_none_or(|at| now.since(at) >= ASK_EVERY);
        if waits && due {
            self.asked = Some(now);
        }
        waits && due
    }

    /// Whether this home's load moved so far since its last report that it should report now.
    pub fn take_shift(&mut self, now: Instant) -> bool {
        let (at, last) = self.reported;
        let sum = self.own_tokens();
        let moved = sum.0.abs_diff(last.0) as f64;
        let shifted = moved > last.0.max(sum.0) as f64 * SHIFT && now.since(at) >= SHIFT_EVERY;
        if shifted {
            self.reported = (now, sum);
        }
        shifted
    }

    fn own_tokens(&self) -> Tokens {
        let own = self.kept.values().filter(|k| k.is_home);
        own.map(|k| k.home.tokens()).sum()
    }

    /// Remembers where a conversation went whose first choice this router keeps.
    pub fn on_placed(&mut self, first: &TargetId, key: ConversationKey, target: TargetId) {
        if let Some(k) = self.kept.get_mut(first) {
            k.home.conversations().on_placed(key, target);
        }
    }

    /// Admits what has room by now and refuses what is too late, at all targets.
    pub fn on_tick(&mut self, now: Instant) -> Vec<TargetWake> {
        let targets: Vec<_> = self
            .kept
            .iter()
            .filter(|(_, k)| k.home.waiting() > 0)
            .map(|(t, _)| t.clone())
            .collect();
        let mut wakes = Vec::new();
        for target in targets {
            let pool = self.view_of(now, &target);
            if let Some(k) = self.kept.get_mut(&target) {
                wakes.extend(name_target(&target, k.home.on_tick(now, pool)));
            }
        }
        wakes
    }

    /// The sums to report now, with the routers that they go to.
    pub fn reports(&mut self, now: Instant) -> Vec<(VmId, Vec<PoolSum>)> {
        self.reported = (now, self.own_tokens());
        let mut sums: BTreeMap<PoolId, Load> = BTreeMap::new();
        for k in self.kept.values().filter(|k| k.is_home) {
            let sum = sums.entry(k.pool).or_default();
            *sum = *sum + k.home.load(now);
        }
        let mut out: BTreeMap<VmId, Vec<PoolSum>> = BTreeMap::new();
        for (pool, load) in sums {
            let least = self.least(now, pool);
            let sum = PoolSum { pool, load, least };
            let homes = self.pools.get(&pool).into_iter().flat_map(|p| &p.homes);
            for vm in homes.filter(|vm| **vm != self.vm) {
                out.entry(vm.clone()).or_default().push(sum.clone());
            }
        }
        for Pool { load, homes, .. } in self.pools.values_mut() {
            load.retain(now, |vm| homes.contains(vm));
        }
        out.into_iter().collect()
    }

    /// The targets as shown to operators.
    pub fn status(&self, now: Instant) -> Vec<HomeStatus> {
        self.kept
            .iter()
            .map(|(target, k)| {
                let mean = self.view(now, k.pool).mean_with(k.home.weight(), Tokens(0));
                HomeStatus {
                    target: target.clone(),
                    pool: k.pool_name.clone(),
                    tokens: k.home.tokens().0,
                    load: if mean > 0.0 {
                        k.home.tokens().0 as f64 / mean
                    } else {
                        0.0
                    },
                    running: k.home.running(),
                    waiting: k.home.waiting(),
                    in_doubt: k.home.in_doubt(now),
                    circuit_open: k.home.is_open(now),
                }
            })
            .collect()
    }

    /// The targets that this router is home of, or only those of them that are in doubt.
    pub fn targets(&self, now: Instant, in_doubt: bool) -> impl Iterator<Item = &TargetId> {
        let wanted = move |k: &Kept| k.is_home && (!in_doubt || k.home.in_doubt(now));
        self.kept
            .iter()
            .filter(move |(_, k)| wanted(k))
            .map(|(t, _)| t)
    }

    /// Requests in progress over all targets.
    pub fn running(&self) -> usize {
        self.kept.values().map(|k| k.home.running()).sum()
    }

    /// Conversations that are remembered off their first choice.
    pub fn conversations(&mut self) -> usize {
        self.kept
            .values_mut()
            .map(|k| k.home.conversations().len())
            .sum()
    }

    fn take_target(
        &mut self,
        now: Instant,
        id: &TargetId,
        target: &Target,
        home: Option<&VmId>,
        alone: bool,
    ) {
        let pool = PoolId::of(&target.serves);
        let serves = target.intent == TargetIntent::Serve;
        let known = self.pools.entry(pool).or_default();
        known.weight += if serves { target.weight.get() } else { 0 };
        known.homes.extend(home.cloned());
        let is_home = serves && home == Some(&self.vm);
        if is_home && !self.kept.contains_key(id) {
            let kept = Kept {
                home: Home::new(now, target.weight, self.bound, !alone),
                pool,
                pool_name: target.serves.to_string(),
                is_home: false,
            };
            self.kept.insert(id.clone(), kept);
        }
        if let Some(k) = self.kept.get_mut(id) {
            if is_home && !k.is_home && !alone {
                k.home.on_doubt(now);
            }
            k.is_home = is_home;
            k.pool = pool;
            k.home.set_target(target.weight, target.capacity_tokens);
        }
    }

    /// Refuses what waits at targets that are kept elsewhere, leave or are gone.
    fn leave_lost(&mut self, cfg: &FleetConfig, live: &[VmId]) -> Vec<TargetWake> {
        let mut wakes = Vec::new();
        for (id, k) in &mut self.kept {
            k.is_home &= cfg.targets.contains_key(id) && !live.is_empty();
            if !k.is_home {
                wakes.extend(name_target(id, k.home.refuse_waiting(ResultCode::NotHome)));
            }
            let serves = |t: &TargetId| {
                let target = cfg.targets.get(t);
                target.is_some_and(|t| t.intent == TargetIntent::Serve)
            };
            let table = k.home.conversations();
            let left: HashSet<_> = table
                .iter()
                .flat_map(|(_, t)| t)
                .filter(|t| !serves(t))
                .cloned()
                .collect();
            left.iter().for_each(|t| table.forget_target(t));
        }
        wakes
    }

    fn drop_idle(&mut self) {
        self.kept.retain(|_, k| k.is_home || k.home.running() > 0);
    }

    fn view_of(&self, now: Instant, target: &TargetId) -> PoolView {
        match self.kept.get(target) {
            Some(k) => self.view(now, k.pool),
            None => PoolView::default(),
        }
    }

    fn view(&self, now: Instant, pool: PoolId) -> PoolView {
        let same = self.kept.values().filter(|k| k.is_home && k.pool == pool);
        let own: Load = same.map(|k| k.home.load(now)).sum();
        match self.pools.get(&pool) {
            Some(p) => PoolView {
                load: own + p.load.others(now),
                weight: p.weight,
            },
            None => PoolView::default(),
        }
    }
}

fn declined(code: ResultCode, redirect: Vec<TargetId>) -> Verdict {
    Verdict::Declined { code, redirect }
}

fn name_target(target: &TargetId, wakes: Vec<Wake>) -> Vec<TargetWake> {
    let name = |wake| TargetWake {
        target: target.clone(),
        wake,
    };
    wakes.into_iter().map(name).collect()
}
