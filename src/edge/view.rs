//! Responses to the operators' requests for status, decisions and changes.

use std::{collections::BTreeMap, rc::Rc, sync::Arc};

use futures::future::join_all;
use hyper::Response;
use serde::Serialize;
use slog::info;

use super::{body::AnswerBody, contended, gateway::Gateway, peer_calls};
use crate::{
    config::{Change, Digest},
    contention::PoolView,
    explain::DecisionRecord,
    flow::GiveUpReason,
    health::HealthStatus,
    ids::{ClientAccountId, DataHall, Region, Revision, ServiceName, TargetId, VmId},
    lifecycle::Phase,
    membership::peers::Member,
    reply,
    result_code::ResultCode,
    target_speed::Slowdown,
    withdrawals::Withdrawn,
};

/// State of the fleet as seen by one router.
#[derive(Serialize)]
pub(super) struct Status {
    vm: VmId,
    region: Option<Region>,
    data_hall: DataHall,
    state: &'static str,
    revision: Revision,
    digest: Digest,
    in_progress: usize,
    answered: u64,
    refused: u64,
    control_bytes: u64,
    store_calls: u64,
    /// Time in milliseconds since the store was last known to hold the configuration in force.
    config_age_ms: Option<u64>,
    reverts_refused: u64,
    routers: Vec<Member>,
    targets: Vec<TargetStatus>,
    evacuated: Vec<EvacuatedHall>,
    held_back: Vec<QuarantinedRequest>,
    /// Pools that are divided by demand because they are contended.
    contended: Vec<PoolView>,
    held_bytes: HeldBytes,
}

/// Bytes that the router holds for callers and targets, and how many callers were given up.
#[derive(Serialize)]
struct HeldBytes {
    answers: usize,
    /// Maximum of `answers` since the router started.
    answers_peak: usize,
    answers_bound: usize,
    /// Account with the most bytes of answers.
    largest_account: Option<AccountBytes>,
    account_bound: usize,
    stream_bound: usize,
    requests: usize,
    requests_bound: usize,
    /// Number of callers that were given up, by reason.
    given_up: BTreeMap<&'static str, u64>,
}

/// Bytes of answers that are held for an account.
#[derive(Serialize)]
struct AccountBytes {
    account: ClientAccountId,
    answers: usize,
}

/// A data hall whose targets receive no calls.
#[derive(Serialize)]
struct EvacuatedHall {
    data_hall: DataHall,
    /// Time in milliseconds for which this router has known of the evacuation.
    for_ms: u64,
}

/// A request that is sent to no target because targets crashed under it.
#[derive(Serialize)]
struct QuarantinedRequest {
    fingerprint: String,
    /// Remaining time of the quarantine in milliseconds.
    for_ms: u64,
}

/// Withdrawal of a target, which stated in a response that it accepts no calls.
#[derive(Serialize)]
struct TargetWithdrawal {
    /// Time in milliseconds since the withdrawal.
    since_ms: u64,
    /// Remaining time of the withdrawal in milliseconds; `null` if the target is leaving.
    left_ms: Option<u64>,
}

impl From<Withdrawn> for TargetWithdrawal {
    fn from(withdrawn: Withdrawn) -> Self {
        Self {
            since_ms: withdrawn.age.as_millis() as u64,
            left_ms: withdrawn.left.map(|left| left.as_millis() as u64),
        }
    }
}

/// State of a target as seen by one router.
#[derive(Serialize)]
struct TargetStatus {
    target: TargetId,
    pool: ServiceName,
    /// Status of the target's health.
    standing: HealthStatus,
    /// Withdrawal of the target, if it accepts no calls.
    withdrawn: Option<TargetWithdrawal>,
    /// Number of calls of all routers in progress at the target.
    calls: u32,
    /// Number of calls in progress relative to the mean of the target's pool, taken as at least 1.
    load: f64,
    /// Number of tokens that the target has yet to read or write for these calls.
    tokens: u64,
    /// Number of prompt tokens that the target is assumed to cache.
    kept: u64,
    /// Time that work takes at the target at the moment, in percent of usual, as placement counts it.
    slowdown: u32,
    /// Same figure as the target itself reports it; `null` if it has reported none lately.
    slowdown_reported: Option<u32>,
}

#[derive(Serialize)]
struct Explanation {
    request: String,
    decisions: Vec<DecisionRecord>,
}

#[derive(Serialize)]
struct Changes {
    revision: Revision,
    changes: Vec<Arc<Change>>,
}

/// Returns the state of the fleet as seen by this router.
pub(super) fn status(cx: &Gateway) -> Status {
    let now = cx.now();
    let (revision, digest) = cx
        .accepted_changes
        .with_log(|log| (log.revision(), log.digest()));
    let age = cx.freshness.borrow().age(now);
    let mut routers = cx.peers.borrow().members(now);
    routers.sort_by(|a, b| a.vm.cmp(&b.vm));
    Status {
        vm: cx.cfg.vm.clone(),
        region: cx.cfg.region.clone(),
        data_hall: cx.cfg.data_hall.clone(),
        state: state(cx),
        revision,
        digest,
        in_progress: cx.in_progress.get(),
        answered: cx.metrics.answered(),
        refused: cx.metrics.refused(),
        control_bytes: cx.control_bytes(),
        store_calls: cx.metrics.store_calls(),
        config_age_ms: age.map(|a| a.as_millis() as u64),
        reverts_refused: cx.reverts_refused(),
        routers,
        targets: targets(cx),
        evacuated: evacuated(cx),
        held_back: quarantined_requests(cx),
        contended: contended::pools(cx),
        held_bytes: held_bytes(cx),
    }
}

fn held_bytes(cx: &Gateway) -> HeldBytes {
    let given_up = GiveUpReason::ALL.map(|r| (r.name(), cx.metrics.callers_given_up(r)));
    cx.flow.with_flow(|flow| {
        let bounds = flow.bounds();
        let largest = flow.largest_account();
        HeldBytes {
            answers: flow.held(),
            answers_peak: flow.peak(),
            answers_bound: bounds.router,
            largest_account: largest.map(|(account, answers)| AccountBytes {
                account: account.clone(),
                answers,
            }),
            account_bound: bounds.account,
            stream_bound: bounds.stream,
            requests: flow.request_bytes(),
            requests_bound: bounds.requests,
            given_up: BTreeMap::from(given_up),
        }
    })
}

fn evacuated(cx: &Gateway) -> Vec<EvacuatedHall> {
    let now = cx.now();
    let dispatcher = cx.dispatcher.borrow();
    let halls = dispatcher.discovery.evacuations().evacuated();
    let shown = halls.map(|(hall, since)| EvacuatedHall {
        data_hall: hall.clone(),
        for_ms: now.since(since).as_millis() as u64,
    });
    shown.collect()
}

fn quarantined_requests(cx: &Gateway) -> Vec<QuarantinedRequest> {
    let dispatcher = cx.dispatcher.borrow();
    let quarantined = dispatcher.quarantine.quarantined(cx.now());
    let shown = quarantined.map(|(request, left)| QuarantinedRequest {
        fingerprint: request.to_string(),
        for_ms: left.as_millis() as u64,
    });
    let mut shown: Vec<QuarantinedRequest> = shown.collect();
    shown.sort_by(|a, b| a.fingerprint.cmp(&b.fingerprint));
    shown
}

/// Returns the name of the router's phase, or "starting" if it should serve but is not ready yet.
pub(super) fn state(cx: &Gateway) -> &'static str {
    match cx.phase() {
        Phase::Serving if !cx.is_ready() => "starting",
        phase => phase.name(),
    }
}

fn targets(cx: &Gateway) -> Vec<TargetStatus> {
    let now = cx.now();
    let dispatcher = cx.dispatcher.borrow();
    let records: Vec<_> = dispatcher.discovery.all().collect();
    let calls = |id: &TargetId| dispatcher.load.calls(now, id);
    let mean = |pool: &ServiceName| {
        let of_pool = records.iter().filter(|t| t.service == *pool);
        let counts: Vec<f64> = of_pool.map(|t| f64::from(calls(&t.id))).collect();
        counts.iter().sum::<f64>() / counts.len().max(1) as f64
    };
    let status = |t: &&Rc<crate::discovery::TargetRecord>| TargetStatus {
        target: t.id.clone(),
        pool: t.service.clone(),
        standing: dispatcher.status(now, t),
        withdrawn: dispatcher.withdrawals.get(now, &t.id).map(Into::into),
        calls: calls(&t.id),
        load: f64::from(calls(&t.id)) / mean(&t.service).max(1.0),
        tokens: dispatcher.load.total(&t.id).tokens.0,
        kept: dispatcher.cache.cached_tokens(&t.id).0,
        slowdown: dispatcher.speeds.factor(now, &t.id).percent(),
        slowdown_reported: dispatcher
            .speeds
            .reported(now, &t.id)
            .map(Slowdown::percent),
    };
    let mut shown: Vec<TargetStatus> = records.iter().map(status).collect();
    shown.sort_by(|a, b| a.target.cmp(&b.target));
    shown
}

/// Returns the decisions on a call that are recorded at all routers that answer.
pub(super) async fn explain(cx: &Rc<Gateway>, id: &str) -> Response<AnswerBody> {
    let peers = cx.peers.borrow().addresses(cx.now());
    let requests = peers
        .iter()
        .map(|peer| peer_calls::fetch_decisions(*peer, id));
    let mut decisions = cx.explain.decisions_on(&cx.cfg.vm, id);
    for (peer, response) in peers.iter().zip(join_all(requests).await) {
        match response {
            Ok(records) => decisions.extend(records),
            Err(e) => info!(cx.log, "peer did not return decisions"; "peer" => %peer, "why" => %e),
        }
    }
    decisions.sort_by_key(|d| d.at_ms);
    match decisions.is_empty() {
        true => reply::error(ResultCode::NotFound, "no router remembers the request"),
        false => reply::json(
            200,
            &Explanation {
                request: id.to_owned(),
                decisions,
            },
        ),
    }
}

/// Returns the recent changes.
pub(super) fn changes(cx: &Gateway) -> Response<AnswerBody> {
    let changes = cx.accepted_changes.with_log(|log| Changes {
        revision: log.revision(),
        changes: log.recent().cloned().collect(),
    });
    reply::json(200, &changes)
}

/// Returns one recent change.
pub(super) fn change(cx: &Gateway, id: &str) -> Response<AnswerBody> {
    let found = cx
        .accepted_changes
        .with_log(|log| log.recent().find(|c| c.id.as_str() == id).cloned());
    match found {
        Some(change) => reply::json(200, &*change),
        None => reply::error(ResultCode::NotFound, "no such change is accepted"),
    }
}
