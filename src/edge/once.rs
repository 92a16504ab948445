//! Calls that must not be repeated: claimed in the store before anything is sent, and recorded or
//! given back when they end.

use std::{cell::Cell, rc::Rc, time::Duration};

use hyper::Response;
use slog::info;

use super::{
    attempt::Call,
    body::AnswerBody,
    call::{Served, respond, serve},
    ending::{Ending, refuse},
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

/// How often and how slowly a claim is recorded or given back while the store does not answer.
const TRIES: u32 = 8;

/// The first pause between two tries; each further one is twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// When a caller should come back whose call is claimed by another request.
const COME_BACK: Duration = Duration::from_secs(1);

/// Serves a call that its caller has named, unless it was claimed before.
pub(super) async fn serve_once(
    cx: &Rc<Gateway>,
    mut call: Call,
    ending: Ending,
) -> Response<AnswerBody> {
    let step = match first_step(&call) {
        Ok(step) => step,
        Err(refusal) => return refuse(cx, &ending, refusal),
    };
    let verdict = take_step(cx, step).await;
    if let Some(code) = verdict.refusal() {
        if verdict == ClaimVerdict::NotRecorded {
            // The write may have taken effect all the same; nothing was sent, so it is taken back.
            spawn_step(cx, of_kind(step, ClaimKind::Release, 0));
        }
        let refusal = Refusal {
            why: why(verdict).into(),
            come_back: Some(COME_BACK),
            ..Refusal::new(code, "")
        };
        return refuse(cx, &ending, refusal);
    }
    let claimed = Claimed {
        cx: Rc::clone(cx),
        step,
        settled: Cell::new(false),
    };
    let served = serve(cx, &mut call).await;
    match (&served, call.attempts.not_run()) {
        (Served::Answer(answer), _) => claimed.on_done(answer.0.status.as_u16()),
        // The caller may come back at once, so the claim is given back first.
        (Served::GaveUp(_), Some(proof)) => claimed.release(proof).await,
        (Served::GaveUp(_), None) => claimed.on_done(0),
    }
    respond(cx, &ending, &call, served)
}

fn first_step(call: &Call) -> Result<ClaimStep, Refusal> {
    let missing = "this call must not be repeated: send an Idempotency-Key";
    let missing = Refusal::new(ResultCode::MissingIdempotencyKey, missing);
    let named = call.facts.claim.as_deref().ok_or(missing)?;
    let internal = || Refusal::new(ResultCode::Internal, "a call without an account or an id");
    let holder = call.holder.as_ref().ok_or_else(internal)?;
    let request: RequestId = call.id().parse().map_err(|_| internal())?;
    Ok(ClaimStep {
        key: ClaimKey::new(&holder.account, call.plan.service.as_str(), named),
        request,
        kind: ClaimKind::Claim,
        outcome: 0,
    })
}

fn why(verdict: ClaimVerdict) -> String {
    match verdict {
        ClaimVerdict::Ran(status) => format!("the call ran before, with status {status}"),
        ClaimVerdict::Running => "the call is still running".to_owned(),
        ClaimVerdict::Unknown => "the call was sent before; nobody knows how it ended".to_owned(),
        _ => "the claim could not be kept, so the call was not sent".to_owned(),
    }
}

/// A claim that is ours. Dropped before the call's end, as when the caller leaves, it is recorded
/// as of unknown outcome.
struct Claimed {
    cx: Rc<Gateway>,
    step: ClaimStep,
    settled: Cell<bool>,
}

impl Claimed {
    /// The call ended with this status, 0 for an unknown outcome.
    fn on_done(&self, status: u16) {
        self.settled.set(true);
        spawn_step(&self.cx, of_kind(self.step, ClaimKind::Done, status));
    }

    /// Gives the claim back; only that of a call that did not run can be.
    async fn release(&self, _proof: NotRun) {
        self.settled.set(true);
        let step = of_kind(self.step, ClaimKind::Release, 0);
        if take_step(&self.cx, step).await == ClaimVerdict::NotRecorded {
            spawn_step(&self.cx, step);
        }
    }
}

impl Drop for Claimed {
    fn drop(&mut self) {
        if !self.settled.get() {
            self.on_done(0);
        }
    }
}

fn of_kind(step: ClaimStep, kind: ClaimKind, outcome: u16) -> ClaimStep {
    ClaimStep {
        kind,
        outcome,
        ..step
    }
}

/// Records a step in the background, again and again for a while where the store is down.
fn spawn_step(cx: &Rc<Gateway>, step: ClaimStep) {
    let cx = Rc::clone(cx);
    tokio::task::spawn_local(async move {
        for n in 0..TRIES {
            if take_step(&cx, step).await != ClaimVerdict::NotRecorded {
                return;
            }
            tokio::time::sleep(FIRST_PAUSE * (1 << n)).await;
        }
        info!(cx.log, "claim not recorded"; "id" => %step.request, "kind" => ?step.kind);
    });
}

/// Asks the keeper of a claim's shard; where it is not reached, this router writes itself.
async fn take_step(cx: &Rc<Gateway>, step: ClaimStep) -> ClaimVerdict {
    let shard = format!("claims/{}", step.key.shard());
    let keeper = cx.peers.borrow().owner_of(cx.now(), &shard);
    if let Some(address) = keeper {
        match peer_calls::claim(cx, address, step).await {
            Ok(verdict) => return verdict,
            Err(e) => {
                cx.peers.borrow_mut().on_unreachable(cx.now(), address);
                info!(cx.log, "keeper of a claim not reached"; "id" => %step.request,
                    "keeper" => %address, "why" => %e);
            }
        }
    }
    cx.claims.step(step).await
}
