//! Applies and logs withdrawals: requests for no calls that targets make in the heads of their responses.

use hyper::StatusCode;
use slog::info;

use super::gateway::Gateway;
use crate::{
    dialect::{RejectedBy, ResponseInfo},
    ids::TargetId,
    withdrawals::Withdrawal,
};

/// Handles the head of a response. A head that comes from another server at the target's address, or a
/// success whose bytes the target does not confirm with its seal, says nothing of the target and is
/// ignored.
pub(super) fn on_response_head(
    cx: &Gateway,
    id: &str,
    target: &TargetId,
    status: StatusCode,
    facts: &ResponseInfo,
) {
    let is_own = facts.rejected_by != Some(RejectedBy::OtherTarget) && facts.is_authentic(status);
    let Some(withdrawal) = facts.withdrawal.filter(|_| is_own) else {
        return;
    };
    let now = cx.now();
    if !(cx.dispatcher.borrow_mut()).on_withdrawal(now, target, withdrawal) {
        return;
    }
    if withdrawal == Withdrawal::Leaving {
        cx.conns.close_idle(target);
    }
    let backoff = withdrawal.backoff().map(|b| b.as_millis() as u64);
    info!(cx.log, "withdrawal"; "id" => id, "target" => %target,
        "withdrawal" => withdrawal.name(), "backoff_ms" => backoff);
}

/// Returns whether a target currently accepts no calls.
pub(super) fn is_withdrawn(cx: &Gateway, target: &TargetId) -> bool {
    let withdrawals = &cx.dispatcher.borrow().withdrawals;
    withdrawals.get(cx.now(), target).is_some()
}

/// Logs the targets that accept calls again, and updates the metrics.
pub(super) fn on_tick(cx: &Gateway) {
    let now = cx.now();
    let withdrawals = &mut cx.dispatcher.borrow_mut().withdrawals;
    for target in withdrawals.on_tick(now) {
        info!(cx.log, "withdrawal"; "target" => %target, "withdrawal" => "over");
    }
    let (leaving, backed_off) = withdrawals.counts(now);
    cx.metrics.on_withdrawn(leaving, backed_off);
}
