//! Placement at pools that are divided by demand ([`crate::admission::shares`]): a call is admitted by
//! the fraction of its claim, and sent to a target that is drawn in proportion to what targets can do.

use std::rc::Rc;

use super::{Dispatcher, ScoredTargets, status};
use crate::{
    admission::shares::{AttemptResult, PoolFacts},
    call_plan::CallPlan,
    discovery::TargetRecord,
    health::{HealthStatus, Outcome},
    placement::choice::{PlacementError, TargetView, gumbel, rendezvous_hash},
    target_counts::TargetHash,
    ticket::Ticket,
    units::Instant,
};

impl Dispatcher {
    /// Counts a call, and returns whether its pool is divided by demand now.
    pub(super) fn count_demand(
        &mut self,
        now: Instant,
        plan: &CallPlan,
        scored: &ScoredTargets,
    ) -> bool {
        if plan.tried.is_empty() {
            let claim = plan.current_claim();
            self.shares.on_call(now, &plan.service, claim);
        }
        if scored.sample_len.is_some() {
            return false;
        }
        let facts = pool_facts(plan, scored);
        let (health, paths) = (&self.health, &self.paths);
        let targets = || {
            let healthy =
                |t: &&Rc<TargetRecord>| status(health, paths, now, t) < HealthStatus::Suspected;
            let rated = |t: &Rc<TargetRecord>| (TargetHash::from(&t.id), t.slots);
            let all = &scored.targets;
            let usable: Vec<_> = all.iter().filter(healthy).map(rated).collect();
            match usable.is_empty() {
                // Suspect targets still answer: without them, the pool would seem to have no capacity, and
                // each of its calls would be refused.
                true => all.iter().map(rated).collect(),
                false => usable,
            }
        };
        self.shares.divide(now, facts, targets);
        self.shares.is_divided(now, facts)
    }

    /// Returns whether a call may be placed. A call that was sent to a target before has been admitted.
    pub(super) fn admits(
        &self,
        now: Instant,
        plan: &CallPlan,
        scored: &ScoredTargets,
        is_divided: bool,
    ) -> bool {
        match is_divided {
            true if !plan.tried.is_empty() => true,
            true => {
                let facts = pool_facts(plan, scored);
                let claim = plan.current_claim();
                self.shares.admits(now, facts, claim, plan.draw())
            }
            false => (self.admission).admits(now, &plan.service, plan.surge, plan.draw()),
        }
    }

    /// Selects a target of a divided pool: for an admitted call by weight, and for any other among the suspect
    /// targets, as far as they have room by counts. A suspect target is better than refusing the call.
    pub(super) fn select_divided(
        &mut self,
        now: Instant,
        plan: &CallPlan,
        scored: &ScoredTargets,
        is_admitted: bool,
    ) -> Result<(Rc<TargetRecord>, TargetView), PlacementError> {
        if is_admitted {
            let drawn = self.select_by_weight(now, plan, scored);
            return drawn.map_or_else(|| self.select(now, plan, scored), Ok);
        }
        let is_suspect = |t: &&Rc<TargetRecord>| self.status(now, t) == HealthStatus::Suspected;
        let suspects = ScoredTargets {
            targets: scored.targets.iter().filter(is_suspect).cloned().collect(),
            sample_len: None,
        };
        match suspects.targets.is_empty() {
            true => Err(PlacementError::AllFull),
            false => self.select(now, plan, &suspects),
        }
    }

    /// Draws a target by the rates that targets are offered. Returns `None` if no target is left that is
    /// healthy and warm, so that placement by counts decides.
    fn select_by_weight(
        &self,
        now: Instant,
        plan: &CallPlan,
        scored: &ScoredTargets,
    ) -> Option<(Rc<TargetRecord>, TargetView)> {
        let facts = pool_facts(plan, scored);
        let eligible = scored
            .targets
            .iter()
            .filter(|t| self.is_eligible(now, plan, t));
        let weight = |t: &Rc<TargetRecord>| self.shares.weight(now, facts, &t.id);
        let weighted: Vec<_> = eligible.map(|t| (t, weight(t))).collect();
        // A target that was listed after the last division gets as much as the others.
        let known = weighted.iter().filter_map(|(_, weight)| *weight);
        let (n, sum) = known.fold((0.0, 0.0), |(n, sum), weight| (n + 1.0, sum + weight));
        let mean = if n > 0.0 { sum / n } else { 1.0 };
        let score = |(t, weight): &(&Rc<TargetRecord>, Option<f64>)| {
            let weight = weight.unwrap_or(mean).max(f64::EPSILON);
            weight.ln() + gumbel(rendezvous_hash(plan.hash, &t.id))
        };
        let chosen = weighted
            .iter()
            .map(|w| (w.0, score(w)))
            .max_by(|a, b| a.1.total_cmp(&b.1));
        let (target, _) = chosen?;
        let context = self.service_context(now, plan);
        let view = self.target_view(now, target, plan, &context, None);
        Some((Rc::clone(target), view))
    }

    /// Returns whether a target may be drawn. That it was full a moment ago is known from its rate.
    fn is_eligible(&self, now: Instant, plan: &CallPlan, target: &TargetRecord) -> bool {
        let is_healthy = match self.status(now, target) {
            HealthStatus::Well | HealthStatus::Full => true,
            HealthStatus::OnTrial => plan.kind.is_repeatable(),
            _ => false,
        };
        let is_cold = plan.warm_up.is_some_and(|warm_up| {
            let until = self.discovery.cold_until(now, target, warm_up.duration);
            until.is_some()
        });
        is_healthy && !is_cold && !plan.tried.contains(&target.id)
    }

    /// Records that a call was refused.
    pub(super) fn on_refusal(&mut self, now: Instant, plan: &CallPlan, error: PlacementError) {
        self.admission.on_refused(now, &plan.service);
        if error == PlacementError::AllFull {
            self.shares.on_no_room(now, &plan.service);
        }
    }

    /// Records what the end of an attempt tells of what the target can do.
    pub(super) fn observe_attempt_end(
        &mut self,
        now: Instant,
        ticket: &Ticket,
        outcome: Option<Outcome>,
    ) {
        let result = match outcome {
            Some(Outcome::Good) => AttemptResult::Answered,
            Some(Outcome::Full) => AttemptResult::TurnedAway,
            Some(Outcome::Error | Outcome::Broken) | None => AttemptResult::Failed,
        };
        let took = now.since(ticket.sent_at);
        let target = &ticket.target.id;
        self.shares
            .on_attempt_end(now, &ticket.service, target, took, result);
    }
}

fn pool_facts<'a>(plan: &'a CallPlan, scored: &ScoredTargets) -> PoolFacts<'a> {
    let slots = scored.targets.iter().map(|t| t.slots);
    PoolFacts {
        service: &plan.service,
        has_engines: plan.engine.is_some(),
        slots: slots.fold(0, u32::saturating_add),
        goal: plan.goal,
    }
}
