//! What operators learn of contended pools: status, metrics, log lines and decisions on calls.

use slog::info;

use super::{attempt::Call, gateway::Gateway};
use crate::{
    admission::shares::Claim,
    contention::{HashedNames, PoolView},
    explain::Decision,
    ids::{ClientAccountId, ServiceName},
    units::{Instant, Rank},
};

/// Why a call to a contended pool was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContendedRefusal {
    /// Its draw was not below the fraction of its claim's calls that is admitted.
    NotAdmitted,
    /// A target rejected it as full, and it was not sent to another one.
    TargetFull,
}

impl ContendedRefusal {
    /// Returns the reason as it is named in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotAdmitted => "not_admitted",
            Self::TargetFull => "target_full",
        }
    }
}

/// How a call to a contended pool was decided.
#[derive(Debug, Clone, Copy)]
pub struct ShareDecision<'a> {
    /// Service that the pool's targets run.
    pub service: &'a ServiceName,
    /// The claim that the call belongs to.
    pub claim: Claim,
    /// Account that sent the call; `None` if it had no key.
    pub account: Option<&'a ClientAccountId>,
    /// Fraction of the claim's calls that is admitted.
    pub fraction: f64,
    /// The call's draw; it is admitted if this is below the fraction.
    pub draw: f64,
    /// Whether the call was admitted.
    pub admitted: bool,
}

impl Gateway {
    /// Records for `explain` how a call to a contended pool was decided, and counts it if it was not
    /// admitted.
    pub fn record_share_decision(&self, call: &str, decision: ShareDecision<'_>) {
        if !decision.admitted {
            let rank = decision.claim.rank;
            self.count_contended_refusal(decision.service, rank, ContendedRefusal::NotAdmitted);
        }
        self.record_decision(call, || Decision::Divided {
            account: decision
                .account
                .map_or_else(String::new, ToString::to_string),
            rank: decision.claim.rank,
            returning: decision.claim.returning,
            fraction: decision.fraction,
            draw: decision.draw,
            admitted: decision.admitted,
        });
    }

    /// Counts a refusal of a call to a contended pool.
    pub fn count_contended_refusal(
        &self,
        service: &ServiceName,
        rank: Rank,
        reason: ContendedRefusal,
    ) {
        let metrics = &self.metrics;
        metrics.on_contended_refusal(service, rank, reason.name());
    }
}

/// Records whether a call was admitted, if its pool is divided by demand.
pub(super) fn record_admission(cx: &Gateway, call: &Call, now: Instant) {
    let plan = &call.plan;
    let claim = plan.current_claim();
    let fraction = cx
        .dispatcher
        .borrow()
        .shares
        .fraction(now, &plan.service, claim);
    let Some(fraction) = fraction else {
        return;
    };
    let draw = plan.draw();
    let decision = ShareDecision {
        service: &plan.service,
        claim,
        account: call.key_owner.as_ref().map(|h| &h.account),
        fraction,
        draw,
        admitted: draw < fraction,
    };
    cx.record_share_decision(call.id(), decision);
}

/// Counts the refusal of a call that a full target of a divided pool rejected.
pub(super) fn count_full_target(cx: &Gateway, call: &Call) {
    let plan = &call.plan;
    let claim = plan.current_claim();
    let dispatcher = cx.dispatcher.borrow();
    let fraction = (dispatcher.shares).fraction(cx.now(), &plan.service, claim);
    if fraction.is_some() {
        cx.count_contended_refusal(&plan.service, claim.rank, ContendedRefusal::TargetFull);
    }
}

/// Returns the contended pools.
pub(super) fn pools(cx: &Gateway) -> Vec<PoolView> {
    let status = cx.dispatcher.borrow().shares.status(cx.now());
    if status.is_empty() {
        return Vec::new();
    }
    let names = all_names(cx);
    let views = status.iter().map(|pool| PoolView::new(pool, &names));
    let mut views: Vec<_> = views.collect();
    views.sort_by(|a, b| a.service.cmp(&b.service));
    views
}

/// Returns the names of all services.
fn service_names(cx: &Gateway) -> HashedNames {
    let mut names = HashedNames::default();
    for target in cx.dispatcher.borrow().discovery.all() {
        names.add_service(&target.service);
    }
    names
}

/// Returns the names of all services, targets and accounts.
fn all_names(cx: &Gateway) -> HashedNames {
    let mut names = service_names(cx);
    for target in cx.dispatcher.borrow().discovery.all() {
        names.add_target(&target.id);
    }
    if let Some(config) = cx.serving() {
        config.accounts().for_each(|id| names.add_account(id));
    }
    names
}

/// Updates the metrics of contended pools, and logs which became contended or ceased to be.
pub(super) fn on_tick(cx: &Gateway) {
    let now = cx.now();
    let status = cx.dispatcher.borrow().shares.status(now);
    let changes = cx.contention.borrow_mut().on_status(now, &status);
    let is_idle = status.is_empty() && changes.is_empty();
    if is_idle && !cx.metrics.has_contended_pools() {
        return;
    }
    let names = service_names(cx);
    cx.metrics.on_contended_pools(&status, &names);
    for change in changes {
        let service = names.service(change.service);
        let (capacity, demand) = (tenths(change.capacity), tenths(change.demand));
        match change.ended_after {
            None => info!(cx.log, "pool contended"; "service" => service,
                "capacity_per_s" => capacity, "demand_per_s" => demand),
            Some(lasted) => info!(cx.log, "pool no longer contended"; "service" => service,
                "capacity_per_s" => capacity, "demand_per_s" => demand,
                "contended_ms" => lasted.as_millis() as u64),
        }
    }
}

/// Rounds a rate for log lines.
fn tenths(rate: f64) -> f64 {
    (rate * 10.0).round() / 10.0
}
