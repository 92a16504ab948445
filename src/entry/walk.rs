//! One request's way along its ranked targets, until one answers or none may be tried.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use bytes::Bytes;
use slog::debug;

use super::Caller;
use crate::{
    claims::{ClaimKey, ClaimKind, ClaimStep, ClaimVerdict},
    config::Serves,
    directory::HomePlace,
    explain::Decision,
    home_service,
    ids::{ClientAccountId, ConversationKey, RequestId, ServiceName, TargetId, VmId},
    peer::{Admission, Control, ControlReply, OpenError},
    placement::keeper,
    request::{NotRun, Placed, Received, Refusal, Repeatable, Request},
    result_code::ResultCode,
    router::Shared,
    target::{Answer, Call},
    telemetry::HopSpan,
    units::{Priority, Tokens},
};

/// How many targets are tried before the request waits at its first choice.
const WALK: usize = 8;

/// How often a repeatable request is sent anew after an attempt that may have run.
const REPEATS: u32 = 1;

/// When a caller should come back whose request did not run.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How often and how slowly a claim is given back while the store does not answer.
const RELEASE_TRIES: u32 = 8;

/// What is to be done for a caller.
pub(super) struct Job {
    pub(super) pool: Serves,
    pub(super) conversation: ConversationKey,
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

/// How the walk ended: what was proved not to have run can be given back.
enum Walked {
    Answer(Answer),
    NotRun(NotRun),
    Unknown(ResultCode, String),
}

/// What one attempt came to.
enum Tried {
    Answer(Answer),
    /// It did not run there; the chat's cached work may lie at the named target.
    Declined(Request<Received>, ResultCode, Option<TargetId>),
    /// It may have run.
    Unknown(Request<crate::request::Sent>, ResultCode, String),
}

/// The key under which an account's unrepeatable call to a service is claimed.
pub(super) fn claim_key(account: &ClientAccountId, service: &ServiceName, key: &[u8]) -> ClaimKey {
    ClaimKey::new(account, service.as_str(), &String::from_utf8_lossy(key))
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
    let verdict = take_step(cx, step).await;
    if let Some(code) = verdict.refusal() {
        return Err(refuse_claim(cx, step, verdict, code));
    }
    match walk(cx, caller, job, span, request).await {
        Walked::Answer(answer) => {
            spawn_step(
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
            release(cx, step, &not_run).await;
            Err(not_run.into())
        }
        Walked::Unknown(code, detail) => {
            spawn_step(
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

async fn walk(
    cx: &Arc<Shared>,
    caller: &Caller,
    job: &Job,
    span: &HopSpan,
    mut request: Request<Received>,
) -> Walked {
    let ranked = cx.directory().rank(&job.pool, job.conversation, WALK);
    let mut plan: VecDeque<Step> = ranked.iter().enumerate().map(Step::of_rank).collect();
    plan.extend(ranked.first().map(|t| Step::wait_at(t.clone())));
    let mut tried = Vec::new();
    let mut repeats = 0;
    let mut last = ResultCode::NoTarget;
    while let Some(step) = plan.pop_front() {
        if tried.contains(&step.target) && !step.may_queue {
            continue;
        }
        tried.push(step.target.clone());
        match attempt(cx, caller, job, span, request.place(), &step).await {
            Tried::Answer(answer) => {
                note_placed(cx, job, &ranked, &step);
                return Walked::Answer(answer);
            }
            Tried::Declined(again, code, redirect) => {
                request = again;
                last = code;
                if is_final(code) {
                    break;
                }
                let redirect = redirect.filter(|t| !tried.contains(t));
                if let Some(target) = redirect {
                    plan.push_front(Step::redirect(target));
                }
            }
            Tried::Unknown(sent, code, detail) => {
                let may = Repeatable::check(job.claim.is_some()).filter(|_| repeats < REPEATS);
                let Some(proof) = may else {
                    return Walked::Unknown(code, detail);
                };
                repeats += 1;
                cx.telemetry.count("entry.repeated");
                request = sent.repeat(proof);
            }
        }
        if request.deadline() <= cx.now() {
            last = ResultCode::QueueTimeout;
            break;
        }
    }
    Walked::NotRun(request.not_run(last, "no target took the request"))
}

/// A target to try, and how.
struct Step {
    target: TargetId,
    place: usize,
    may_queue: bool,
}

impl Step {
    fn of_rank((i, target): (usize, &TargetId)) -> Self {
        Self {
            target: target.clone(),
            place: i + 1,
            may_queue: false,
        }
    }

    fn redirect(target: TargetId) -> Self {
        Self {
            target,
            place: 0,
            may_queue: false,
        }
    }

    fn wait_at(target: TargetId) -> Self {
        Self {
            target,
            place: 1,
            may_queue: true,
        }
    }
}

async fn attempt(
    cx: &Arc<Shared>,
    caller: &Caller,
    job: &Job,
    span: &HopSpan,
    request: Request<Placed>,
    step: &Step,
) -> Tried {
    let directory = cx.directory();
    let Some(home) = directory.home(&step.target) else {
        return Tried::Declined(request.declined(), ResultCode::NoTarget, None);
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
        conversation: job.conversation,
        anchor: step.place == 1 && !step.may_queue,
        may_queue: step.may_queue,
    };
    let answer = match home {
        HomePlace::Here => home_service::serve_call(cx, call, admission).await,
        HomePlace::At(info) => cx.peers.open(info.address, call, admission).await,
    };
    match answer {
        Ok(answer) => Tried::Answer(answer),
        Err(OpenError::Unreachable(detail)) => {
            note_declined(cx, caller.id, &step.target, ResultCode::NoTarget, detail);
            Tried::Declined(request.declined(), ResultCode::NoTarget, None)
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

fn make_call(
    cx: &Shared,
    caller: &Caller,
    job: &Job,
    span: &HopSpan,
    request: &Request<Placed>,
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

/// Whether no other target should be asked after this code.
fn is_final(code: ResultCode) -> bool {
    matches!(code, ResultCode::QueueTimeout | ResultCode::Overloaded)
}

/// Tells the home of the first choice where a chat went that it did not take.
fn note_placed(cx: &Arc<Shared>, job: &Job, ranked: &[TargetId], step: &Step) {
    let Some(first) = ranked.first().filter(|t| **t != step.target) else {
        return;
    };
    if step.place == 0 || matches!(job.pool, Serves::Service(_)) {
        return;
    }
    let (first, target, key) = (first.clone(), step.target.clone(), job.conversation);
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

fn refuse_claim(
    cx: &Arc<Shared>,
    step: ClaimStep,
    verdict: ClaimVerdict,
    code: ResultCode,
) -> Ending {
    let detail = match verdict {
        ClaimVerdict::Ran(status) => format!("the call ran before, with status {status}"),
        ClaimVerdict::Running => "the call is still running".to_owned(),
        ClaimVerdict::Unknown => "the call was sent before; nobody knows how it ended".to_owned(),
        _ => "the claim could not be kept, so the call was not sent".to_owned(),
    };
    if verdict == ClaimVerdict::NotRecorded {
        // The write may have taken effect all the same; nothing was sent, so it is taken back.
        spawn_step(
            cx,
            ClaimStep {
                kind: ClaimKind::Release,
                ..step
            },
        );
    }
    Ending {
        code,
        detail,
        retry_after: Some(RETRY_AFTER),
    }
}

/// Gives a claim back; only something that did not run can be.
async fn release(cx: &Arc<Shared>, step: ClaimStep, _proof: &NotRun) {
    let step = ClaimStep {
        kind: ClaimKind::Release,
        ..step
    };
    if take_step(cx, step).await == ClaimVerdict::NotRecorded {
        spawn_step(cx, step);
    }
}

/// Records a step in the background, again and again for a while where the store is down.
fn spawn_step(cx: &Arc<Shared>, step: ClaimStep) {
    let cx = Arc::clone(cx);
    tokio::spawn(async move {
        for n in 0..RELEASE_TRIES {
            if take_step(&cx, step).await != ClaimVerdict::NotRecorded {
                return;
            }
            tokio::time::sleep(Duration::from_millis(250 << n)).await;
        }
    });
}

/// Asks the keeper of a claim's shard; where it is not reached, this router writes itself.
async fn take_step(cx: &Arc<Shared>, step: ClaimStep) -> ClaimVerdict {
    let shard = format!("claims/{}", step.key.shard());
    let directory = cx.directory();
    let vm: Option<&VmId> = keeper(&shard, directory.live.iter());
    let info = vm.and_then(|vm| cx.membership.lock().info(vm).cloned());
    match info {
        Some(info) if info.vm != cx.me.vm => {
            match cx.peers.control(info.address, Control::Claim(step)).await {
                Ok(ControlReply::Claim(verdict)) => verdict,
                _ => cx.claims.step(step).await,
            }
        }
        _ => cx.claims.step(step).await,
    }
}
