//! One request's way along its ranked targets, until one answers or none may be tried.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use slog::debug;

use super::{Caller, once};
use crate::{
    claims::{ClaimKey, ClaimKind, ClaimStep},
    config::Serves,
    directory::{HomePlace, Place},
    explain::Decision,
    home_service,
    ids::{RequestId, TargetId},
    peer::{Admission, OpenError},
    request::{NotRun, Placed, Received, Refusal, Repeatable, Request, Sent},
    result_code::ResultCode,
    router::Shared,
    target::{Answer, Call},
    telemetry::HopSpan,
    units::{Priority, Tokens},
    walk::{Step, WALK, Walk},
};

/// How long the targets are gone through anew for a request, by priority; beyond it the caller
/// is told when to come back.
const PATIENCE: [Duration; 3] = [
    Duration::from_secs(4),
    Duration::from_secs(6),
    Duration::from_secs(30),
];

/// The wait before the second pass; each further one is twice as long, up to a second.
const PASS_WAIT: Duration = Duration::from_millis(50);

/// The longest wait between passes.
const PASS_WAIT_LIMIT: Duration = Duration::from_secs(1);

/// When a caller should come back whose request did not run.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What is to be done for a caller.
pub(super) struct Job {
    pub(super) pool: Serves,
    pub(super) place: Place,
    pub(super) cost: Tokens,
    pub(super) priority: Priority,
    pub(super) timeout: Duration,
    pub(super) method: String,
    pub(super) path: String,
    /// The key under which a call that must not be repeated is claimed.
    pub(super) claim: Option<ClaimKey>,
    pub(super) body: Bytes,
}

/// Why a request ends without an answer.
#[derive(Debug)]
pub(super) struct Ending {
    pub(super) code: ResultCode,
    pub(super) detail: String,
    pub(super) retry_after: Option<Duration>,
}

impl From<NotRun> for Ending {
    fn from(n: NotRun) -> Self {
        Self {
            code: n.code(),
            detail: n.detail().to_owned(),
            retry_after: Some(RETRY_AFTER),
        }
    }
}

/// How a request ended: what was proved not to have run can be given back.
enum Walked {
    Answer(Answer),
    NotRun(NotRun),
    Unknown(ResultCode, String),
}

/// How going along the targets ended, with what may have run before in the type.
enum Passed<R> {
    Answer(Answer),
    /// No target took it.
    Untaken(Request<Received, R>, ResultCode),
    /// A target may have run it.
    Unknown(Request<Sent, R>, TargetId, ResultCode, String),
}

/// What one attempt came to.
enum Tried<R> {
    Answer(Answer),
    /// It did not run there; the chat's cached work may lie at the named target.
    Declined(Request<Received, R>, ResultCode, Vec<TargetId>),
    /// It may have run.
    Unknown(Request<Sent, R>, ResultCode, String),
}

/// Finds the one answer to a request.
pub(super) async fn run(
    cx: &Arc<Shared>,
    caller: &Caller,
    job: &Job,
    span: &HopSpan,
) -> Result<Answer, Ending> {
    let request = Request::new(caller.id, cx.now() + job.timeout);
    let Some(key) = job.claim else {
        return match walk(cx, caller, job, span, request).await {
            Walked::Answer(answer) => Ok(answer),
            Walked::NotRun(not_run) => Err(not_run.into()),
            Walked::Unknown(code, detail) => Err(Ending {
                code,
                detail,
                retry_after: None,
            }),
        };
    };
    let step = ClaimStep {
        key,
        request: caller.id,
        kind: ClaimKind::Claim,
        outcome: 0,
    };
    let verdict = once::take_step(cx, step).await;
    if let Some(code) = verdict.refusal() {
        return Err(once::refuse(cx, step, verdict, code));
    }
    match walk(cx, caller, job, span, request).await {
        Walked::Answer(answer) => {
            once::spawn_step(
                cx,
                ClaimStep {
                    kind: ClaimKind::Done,
                    outcome: answer.status,
                    ..step
                },
            );
            Ok(answer)
        }
        Walked::NotRun(not_run) => {
            // The caller may come back at once, so the claim is given back first.
            once::release(cx, step, &not_run).await;
            Err(not_run.into())
        }
        Walked::Unknown(code, detail) => {
            once::spawn_step(
                cx,
                ClaimStep {
                    kind: ClaimKind::Done,
                    outcome: 0,
                    ..step
                },
            );
            Err(Ending {
                code,
                detail,
                retry_after: None,
            })
        }
    }
}

/// Goes along the targets, and once more if the call may be repeated and may have run.
async fn walk(
    cx: &Arc<Shared>,
    caller: &Caller,
    job: &Job,
    span: &HopSpan,
    request: Request<Received>,
) -> Walked {
    let (sent, lost_at, code, detail) = match passes(cx, caller, job, span, request, None).await {
        Passed::Answer(answer) => return Walked::Answer(answer),
        Passed::Untaken(request, code) => {
            return Walked::NotRun(request.not_run(told(code), "no target took the request"));
        }
        Passed::Unknown(sent, target, code, detail) => (sent, target, code, detail),
    };
    let Some(proof) = Repeatable::check(job.claim.is_some()) else {
        return Walked::Unknown(code, detail);
    };
    cx.telemetry.count("entry.repeated");
    let again = sent.repeat(proof);
    match passes(cx, caller, job, span, again, Some(&lost_at)).await {
        Passed::Answer(answer) => Walked::Answer(answer),
        Passed::Untaken(..) => Walked::Unknown(code, detail),
        Passed::Unknown(_, _, code, detail) => Walked::Unknown(code, detail),
    }
}

/// Goes along the targets some times, with pauses in which the fleet may recover.
async fn passes<R>(
    cx: &Arc<Shared>,
    caller: &Caller,
    job: &Job,
    span: &HopSpan,
    mut request: Request<Received, R>,
    avoid: Option<&TargetId>,
) -> Passed<R> {
    let patience = PATIENCE[job.priority.rank() as usize];
    let until = request.deadline().min(cx.now() + patience);
    let mut pause = PASS_WAIT;
    loop {
        match pass(cx, caller, job, span, request, avoid).await {
            Passed::Untaken(again, code) if may_recover(code) && cx.now() + pause < until => {
                request = again;
            }
            ended => return ended,
        }
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
        pause = (pause * 2).min(PASS_WAIT_LIMIT);
    }
}

/// Goes along the targets once, and waits at one at last.
async fn pass<R>(
    cx: &Arc<Shared>,
    caller: &Caller,
    job: &Job,
    span: &HopSpan,
    mut request: Request<Received, R>,
    avoid: Option<&TargetId>,
) -> Passed<R> {
    let mut ranked = cx.directory().rank(&job.pool, &job.place, WALK);
    if ranked.len() > 1 {
        ranked.retain(|t| Some(t) != avoid);
    }
    let mut walk = Walk::new(ranked);
    let mut last = ResultCode::NoTarget;
    while let Some(step) = walk.next_step() {
        match attempt(cx, caller, job, span, request.place(), &step).await {
            Tried::Answer(answer) => {
                note_placed(cx, job, walk.note_for_first(&step), &step);
                return Passed::Answer(answer);
            }
            Tried::Declined(again, code, redirect) => {
                request = again;
                last = code;
                walk.on_declined(&step, code, redirect);
            }
            Tried::Unknown(sent, code, detail) => {
                return Passed::Unknown(sent, step.target, code, detail);
            }
        }
    }
    Passed::Untaken(request, last)
}

async fn attempt<R>(
    cx: &Arc<Shared>,
    caller: &Caller,
    job: &Job,
    span: &HopSpan,
    request: Request<Placed, R>,
    step: &Step,
) -> Tried<R> {
    let directory = cx.directory();
    let Some(home) = directory.home(&step.target) else {
        return Tried::Declined(request.declined(), ResultCode::NoTarget, Vec::new());
    };
    let home_vm = match home {
        HomePlace::Here => cx.me.vm.clone(),
        HomePlace::At(info) => info.vm.clone(),
    };
    let target = step.target.clone();
    cx.record(
        caller.id,
        Decision::Tried {
            target,
            home: home_vm,
            place: step.place,
        },
    );
    let call = make_call(cx, caller, job, span, &request, &step.target);
    let admission = Admission {
        conversation: job.place.conversation,
        anchor: step.is_anchor(),
        wait: step.wait,
    };
    let answer = match home {
        HomePlace::Here => home_service::serve_call(cx, call, admission).await,
        HomePlace::At(info) => cx.peers.open(info.address, call, admission).await,
    };
    match answer {
        Ok(answer) => Tried::Answer(answer),
        Err(OpenError::Unreachable(detail)) => {
            note_declined(cx, caller.id, &step.target, ResultCode::NoTarget, detail);
            Tried::Declined(request.declined(), ResultCode::NoTarget, Vec::new())
        }
        Err(OpenError::Lost(detail)) => {
            Tried::Unknown(request.send(), ResultCode::OutcomeUnknown, detail)
        }
        Err(OpenError::Refused {
            code,
            redirect,
            detail,
            ..
        }) => {
            note_declined(cx, caller.id, &step.target, code, detail.clone());
            let sent = request.send();
            match Refusal::from_home(code) {
                Some(refusal) => Tried::Declined(sent.refused(&refusal), code, redirect),
                None => Tried::Unknown(sent, code, detail),
            }
        }
    }
}

fn make_call<R>(
    cx: &Shared,
    caller: &Caller,
    job: &Job,
    span: &HopSpan,
    request: &Request<Placed, R>,
    target: &TargetId,
) -> Call {
    let mut headers = caller.headers.clone();
    span.inject(&mut headers);
    Call {
        attempt: request.attempt(),
        target: target.clone(),
        method: job.method.clone(),
        path: job.path.clone(),
        headers,
        body: job.body.clone(),
        remaining: request.deadline().since(cx.now()),
        priority: job.priority,
        cost: job.cost,
    }
}

fn note_declined(cx: &Shared, id: RequestId, target: &TargetId, code: ResultCode, detail: String) {
    debug!(cx.telemetry.log, "declined"; "request" => %id, "target" => %target, "code" => code.number());
    let target = target.clone();
    cx.record(
        id,
        Decision::Declined {
            target,
            code: code.number(),
            detail,
        },
    );
}

/// What a caller is told where all targets declined with this code.
fn told(code: ResultCode) -> ResultCode {
    match code {
        ResultCode::OverBound => ResultCode::Overloaded,
        ResultCode::NotHome => ResultCode::NoTarget,
        other => other,
    }
}

/// Whether targets that did not take a request for this reason may do so a moment later.
fn may_recover(code: ResultCode) -> bool {
    use ResultCode::{NoTarget, NotHome, OverBound, TargetRefused};
    matches!(code, NotHome | NoTarget | TargetRefused | OverBound)
}

/// Tells the home of the first choice where a chat went that it did not take.
fn note_placed(cx: &Arc<Shared>, job: &Job, first: Option<&TargetId>, step: &Step) {
    let Some(first) = first.filter(|_| matches!(job.pool, Serves::Model(_))) else {
        return;
    };
    let (first, target, key) = (first.clone(), step.target.clone(), job.place.conversation);
    match cx.directory().home(&first).cloned() {
        Some(HomePlace::Here) => cx.homes.on_placed(&first, key, target),
        Some(HomePlace::At(info)) => {
            let cx = Arc::clone(cx);
            tokio::spawn(async move {
                cx.peers.placed(info.address, key, &first, &target).await;
            });
        }
        None => {}
    }
}
