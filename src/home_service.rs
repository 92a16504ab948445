//! The home's side of a request: admission, the wait, the send, and the account until the end.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures::StreamExt;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::{
    directory::Directory,
    explain::Decision,
    home::{Offer, TargetReport, Ticket, Verdict, Wake},
    homes::{HomeStatus, Homes, Outcome, PoolSum, TargetWake},
    ids::{ConversationKey, TargetId, VmId},
    peer::{Admission, OpenError},
    request::{Placed, Refusal, Request},
    result_code::ResultCode,
    router::Shared,
    target::{Answer, Call, SendError},
    telemetry::HopSpan,
    units::Instant,
};

/// When a caller should come back whose request found no room.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

type Waiters = HashMap<Ticket, oneshot::Sender<Result<(), ResultCode>>>;

/// A router's homes with the requests that wait at them.
pub(crate) struct HomeService {
    homes: Arc<Mutex<Homes>>,
    waiters: Arc<Mutex<Waiters>>,
    next: AtomicU64,
    relayed: Arc<AtomicU64>,
}

impl HomeService {
    pub(crate) fn new(homes: Homes) -> Self {
        Self {
            homes: Arc::new(Mutex::new(homes)),
            waiters: Arc::default(),
            next: AtomicU64::new(1),
            relayed: Arc::default(),
        }
    }

    pub(crate) fn on_view(&self, now: Instant, directory: &Directory) {
        let Directory {
            config, live, map, ..
        } = directory;
        let wakes = self.homes.lock().on_view(now, config, live, map);
        wake(&self.waiters, wakes);
    }

    pub(crate) fn on_tick(&self, now: Instant) {
        let wakes = self.homes.lock().on_tick(now);
        wake(&self.waiters, wakes);
    }

    pub(crate) fn on_load(&self, now: Instant, from: &VmId, pools: &[PoolSum]) {
        let mut homes = self.homes.lock();
        for sum in pools {
            homes.on_load(now, from.clone(), sum.clone());
        }
        let wakes = homes.on_tick(now);
        drop(homes);
        wake(&self.waiters, wakes);
    }

    pub(crate) fn take_shift(&self, now: Instant) -> bool {
        self.homes.lock().take_shift(now)
    }

    pub(crate) fn take_ask(&self, now: Instant) -> bool {
        self.homes.lock().take_ask(now)
    }

    pub(crate) fn on_report(&self, now: Instant, target: &TargetId, report: Option<TargetReport>) {
        let wakes = {
            let mut homes = self.homes.lock();
            homes.on_report(now, target, report);
            homes.on_tick(now)
        };
        wake(&self.waiters, wakes);
    }

    pub(crate) fn on_placed(&self, first: &TargetId, key: ConversationKey, target: TargetId) {
        self.homes.lock().on_placed(first, key, target);
    }

    pub(crate) fn reports(&self, now: Instant) -> Vec<(VmId, Vec<PoolSum>)> {
        self.homes.lock().reports(now)
    }

    pub(crate) fn targets(&self, now: Instant, in_doubt: bool) -> Vec<TargetId> {
        self.homes.lock().targets(now, in_doubt).cloned().collect()
    }

    pub(crate) fn status(&self, now: Instant) -> Vec<HomeStatus> {
        self.homes.lock().status(now)
    }

    /// Requests that are relayed to targets now.
    pub(crate) fn relayed(&self) -> u64 {
        self.relayed.load(Ordering::Relaxed)
    }

    /// Offers a call to its target; comes back when it may be sent, or not.
    async fn admit(
        &self,
        cx: &Shared,
        call: &Call,
        admission: Admission,
    ) -> Result<TicketGuard, OpenError> {
        let ticket = Ticket(self.next.fetch_add(1, Ordering::Relaxed));
        let began = cx.now();
        let offer = Offer {
            ticket,
            cost: call.cost,
            priority: call.priority,
            deadline: began + call.remaining,
            conversation: admission.conversation,
            anchor: admission.anchor,
            wait: admission.wait,
        };
        let guard = self.guard(cx, call.target.clone(), ticket);
        let (tx, rx) = oneshot::channel();
        self.waiters.lock().insert(ticket, tx);
        let verdict = self.homes.lock().on_offer(began, &call.target, offer);
        match verdict {
            Verdict::Admitted => {}
            Verdict::Queued => {
                self.on_tick(began);
                cx.ask_loads();
                let outcome = rx.await.unwrap_or(Err(ResultCode::NotHome));
                outcome.map_err(|code| refused(code, Vec::new()))?;
            }
            Verdict::Declined { code, redirect } => return Err(refused(code, redirect)),
        }
        let waited = cx.now().since(began).as_millis() as u64;
        let target = call.target.clone();
        cx.record(
            call.attempt.request,
            Decision::Admitted {
                target,
                waited_ms: waited,
            },
        );
        cx.telemetry.time("home.queue_wait_ms", waited);
        Ok(guard)
    }

    fn guard(&self, cx: &Shared, target: TargetId, ticket: Ticket) -> TicketGuard {
        self.relayed.fetch_add(1, Ordering::Relaxed);
        TicketGuard {
            homes: Arc::clone(&self.homes),
            waiters: Arc::clone(&self.waiters),
            relayed: Arc::clone(&self.relayed),
            clock: cx.clock(),
            target,
            ticket,
            noted: false,
        }
    }
}

/// Keeps a request in its target's account; dropped when the request ends in any way.
struct TicketGuard {
    homes: Arc<Mutex<Homes>>,
    waiters: Arc<Mutex<Waiters>>,
    relayed: Arc<AtomicU64>,
    clock: tokio::time::Instant,
    target: TargetId,
    ticket: Ticket,
    noted: bool,
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        self.waiters.lock().remove(&self.ticket);
        let now = Instant(self.clock.elapsed());
        let wakes = {
            let mut homes = self.homes.lock();
            if !self.noted {
                homes.on_outcome(now, &self.target, Outcome::Abandoned);
            }
            homes.on_finish(now, &self.target, self.ticket)
        };
        self.relayed.fetch_sub(1, Ordering::Relaxed);
        wake(&self.waiters, wakes);
    }
}

impl TicketGuard {
    /// Notes how the request went, as soon as that is known.
    fn note(&mut self, answer: &Result<Answer, SendError>) {
        let outcome = match answer {
            Ok(_) => Outcome::Answered,
            Err(_) => Outcome::Failed,
        };
        let now = Instant(self.clock.elapsed());
        self.homes.lock().on_outcome(now, &self.target, outcome);
        self.noted = true;
    }
}

/// Admits a call at this router, sends it, and hands the answer back as it comes.
pub(crate) async fn serve_call(
    cx: &Shared,
    mut call: Call,
    admission: Admission,
) -> Result<Answer, OpenError> {
    let span = cx
        .telemetry
        .hop("home", call.attempt.request, &call.headers);
    let deadline = cx.now() + call.remaining;
    let guard = cx.homes.admit(cx, &call, admission).await?;
    let request = Request::new(call.attempt.request, deadline).place();
    // The configuration may have changed while the call waited.
    let Some(address) = cx.directory().address(&call.target) else {
        let not_run = request.not_run(ResultCode::NotHome, "the target is leaving");
        return Err(refused(not_run.code(), Vec::new()));
    };
    call.remaining = deadline.since(cx.now());
    if call.remaining.is_zero() {
        let not_run = request.not_run(ResultCode::QueueTimeout, "the deadline passed");
        return Err(refused(not_run.code(), Vec::new()));
    }
    let target_span = cx
        .telemetry
        .hop("target", call.attempt.request, &call.headers);
    target_span.inject(&mut call.headers);
    send(cx, request, address, call, guard, [span, target_span]).await
}

async fn send(
    cx: &Shared,
    request: Request<Placed>,
    address: std::net::SocketAddr,
    call: Call,
    mut guard: TicketGuard,
    spans: [HopSpan; 2],
) -> Result<Answer, OpenError> {
    let target = call.target.clone();
    let id = request.id();
    let answer = cx.targets.send(address, call).await;
    guard.note(&answer);
    match answer {
        Ok(answer) => {
            let says = answer.headers.iter().any(|h| h.name == Refusal::HEADER);
            let request = request.send();
            if let Some(refusal) = Refusal::from_answer(answer.status, says) {
                let received = request.refused(&refusal);
                let not_run = received.not_run(ResultCode::TargetRefused, "the target refused");
                return Err(refused(not_run.code(), Vec::new()));
            }
            spans[1].note("status", i64::from(answer.status));
            cx.record(
                id,
                Decision::Answered {
                    target,
                    status: answer.status,
                },
            );
            Ok(hold(answer, (guard, spans)))
        }
        Err(SendError::NotSent(detail)) => {
            cx.telemetry.count("target.not_reached");
            let not_run = request.not_run(ResultCode::NoTarget, detail);
            Err(OpenError::Refused {
                code: not_run.code(),
                retry_after: RETRY_AFTER,
                redirect: Vec::new(),
                detail: not_run.detail().to_owned(),
            })
        }
        Err(SendError::Unknown(code, detail)) => {
            cx.telemetry.count("target.lost");
            Err(OpenError::Refused {
                code,
                retry_after: Duration::ZERO,
                redirect: Vec::new(),
                detail,
            })
        }
    }
}

/// Keeps `held` until the answer's body ends or is dropped.
fn hold<T: Send + 'static>(answer: Answer, held: T) -> Answer {
    let Answer {
        status,
        headers,
        mut body,
    } = answer;
    let held_body = futures::stream::poll_fn(move |cx| {
        let _ = &held;
        body.poll_next_unpin(cx)
    });
    Answer {
        status,
        headers,
        body: held_body.boxed(),
    }
}

fn refused(code: ResultCode, redirect: Vec<TargetId>) -> OpenError {
    OpenError::Refused {
        code,
        retry_after: RETRY_AFTER,
        redirect,
        detail: String::new(),
    }
}

fn wake(waiters: &Mutex<Waiters>, wakes: Vec<TargetWake>) {
    if wakes.is_empty() {
        return;
    }
    let mut waiters = waiters.lock();
    for TargetWake { wake, .. } in wakes {
        let (ticket, outcome) = match wake {
            Wake::Admitted(t) => (t, Ok(())),
            Wake::Refused(t, code) => (t, Err(code)),
        };
        if let Some(tx) = waiters.remove(&ticket) {
            // One that left meanwhile gives its ticket back by its guard.
            let _ = tx.send(outcome);
        }
    }
}
