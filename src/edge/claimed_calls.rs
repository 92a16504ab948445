//! Calls that must not be repeated. Their key is claimed in the store before anything is sent; when the
//! call ends, the outcome is recorded or the claim is released.

use std::{cell::Cell, rc::Rc, time::Duration};

use hyper::Response;
use slog::info;

use super::{
    attempt::Call,
    body::AnswerBody,
    call::{CallResult, respond, run_attempts},
    call_end::{CallGuard, refuse},
    gateway::Gateway,
    peer_calls,
};
use crate::{
    ResultCode,
    claims::{ClaimKey, ClaimKind, ClaimStep, ClaimVerdict},
    dialect::Refusal,
    ids::RequestId,
    retry::NotRun,
};

/// Maximum number of tries to record or release a claim in the background while the store does not answer.
const MAX_TRIES: u32 = 8;

/// Pause after the first try; each further pause is twice as long.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Delay after which a caller should retry if its key is claimed already or the claim was not recorded.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves a call with an idempotency key, unless the key was claimed before.
pub(super) async fn serve_claimed(
    cx: &Rc<Gateway>,
    mut call: Call,
    call_guard: CallGuard,
) -> Response<AnswerBody> {
    let step = match claim_step(&call) {
        Ok(step) => step,
        Err(refusal) => return refuse(cx, &call_guard, refusal),
    };
    let verdict = record_step(cx, step).await;
    if let Some(code) = verdict.refusal() {
        if verdict == ClaimVerdict::NotRecorded {
            // The write may still have taken effect. Nothing was sent, so the claim is released.
            record_in_background(cx, with_kind(step, ClaimKind::Release, 0));
        }
        let refusal = Refusal {
            why: refusal_text(verdict).into(),
            retry_after: Some(CLAIM_RETRY_AFTER),
            ..Refusal::new(code, "")
        };
        return refuse(cx, &call_guard, refusal);
    }
    let claim_guard = ClaimGuard {
        cx: Rc::clone(cx),
        step,
        settled: Cell::new(false),
    };
    let served = run_attempts(cx, &mut call).await;
    match (&served, call.attempts.not_run()) {
        (CallResult::Answer(answer), _) => claim_guard.on_done(answer.0.status.as_u16()),
        // The caller may retry at once, so the claim is released before the response.
        (CallResult::GaveUp(_), Some(proof)) => claim_guard.release(proof).await,
        (CallResult::GaveUp(_), None) => claim_guard.on_done(0),
    }
    respond(cx, &call_guard, &call, served)
}

fn claim_step(call: &Call) -> Result<ClaimStep, Refusal> {
    let missing = "this call must not be repeated: send an Idempotency-Key";
    let missing = Refusal::new(ResultCode::MissingIdempotencyKey, missing);
    let idempotency_key = call.facts.idempotency_key.as_deref().ok_or(missing)?;
    let internal = || Refusal::new(ResultCode::Internal, "a call without an account or an id");
    let key_owner = call.key_owner.as_ref().ok_or_else(internal)?;
    let request: RequestId = call.id().parse().map_err(|_| internal())?;
    Ok(ClaimStep {
        key: ClaimKey::new(
            &key_owner.account,
            call.plan.service.as_str(),
            idempotency_key,
        ),
        request,
        kind: ClaimKind::Claim,
        outcome: 0,
    })
}

fn refusal_text(verdict: ClaimVerdict) -> String {
    match verdict {
        ClaimVerdict::Ran(status) => format!("the call ran before, with status {status}"),
        ClaimVerdict::Running => "the call is still running".to_owned(),
        ClaimVerdict::Unknown => "the call was sent before, and its outcome is unknown".to_owned(),
        _ => "the claim could not be recorded, so the call was not sent".to_owned(),
    }
}

/// A claim of this router's call. If it is dropped before the call's end, for example because the caller
/// left, the outcome is recorded as unknown.
struct ClaimGuard {
    cx: Rc<Gateway>,
    step: ClaimStep,
    settled: Cell<bool>,
}

impl ClaimGuard {
    /// Records that the call ended with this HTTP status, or 0 for an unknown outcome.
    fn on_done(&self, status: u16) {
        self.settled.set(true);
        record_in_background(&self.cx, with_kind(self.step, ClaimKind::Done, status));
    }

    /// Releases the claim, which requires the proof that the call did not run.
    async fn release(&self, _proof: NotRun) {
        self.settled.set(true);
        let step = with_kind(self.step, ClaimKind::Release, 0);
        if record_step(&self.cx, step).await == ClaimVerdict::NotRecorded {
            record_in_background(&self.cx, step);
        }
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if !self.settled.get() {
            self.on_done(0);
        }
    }
}

fn with_kind(step: ClaimStep, kind: ClaimKind, outcome: u16) -> ClaimStep {
    ClaimStep {
        kind,
        outcome,
        ..step
    }
}

/// Records a step in the background, with repeated tries while the store does not answer.
fn record_in_background(cx: &Rc<Gateway>, step: ClaimStep) {
    let cx = Rc::clone(cx);
    tokio::task::spawn_local(async move {
        for n in 0..MAX_TRIES {
            if record_step(&cx, step).await != ClaimVerdict::NotRecorded {
                return;
            }
            tokio::time::sleep(FIRST_RETRY_DELAY * (1 << n)).await;
        }
        info!(cx.log, "claim not recorded"; "id" => %step.request, "kind" => ?step.kind);
    });
}

/// Has the owner of a claim's shard decide and record a step. If the owner cannot be reached, or is this
/// router, this router writes the step itself.
async fn record_step(cx: &Rc<Gateway>, step: ClaimStep) -> ClaimVerdict {
    let shard = format!("claims/{}", step.key.shard());
    let owner = cx.peers.borrow().owner_of(cx.now(), &shard);
    if let Some(address) = owner {
        match peer_calls::send_claim_step(cx, address, step).await {
            Ok(verdict) => return verdict,
            Err(e) => {
                cx.peers.borrow_mut().on_unreachable(cx.now(), address);
                info!(cx.log, "owner of a claim not reached"; "id" => %step.request,
                    "keeper" => %address, "why" => %e);
            }
        }
    }
    cx.claims.step(step).await
}
