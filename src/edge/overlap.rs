//! Attempts of one call that overlap. A silent target may go on at any moment, so its attempt is kept until another
//! one has begun its answer.

use std::{pin::Pin, rc::Rc, time::Duration};

use futures::future::{Either, select};

use super::{
    attempt::{AttemptFailure, Call},
    attempt_end::AttemptEnd,
    call::{has_retry_budget, take_retry},
    gateway::Gateway,
};
use crate::{retry::Execution, units::Instant};

/// Interval in which a call whose target is silent looks for a repeat in a retry budget that was used up.
const BUDGET_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Start of an answer, as a future.
pub(super) type Beginning<'a, T> = Pin<Box<dyn Future<Output = Result<T, AttemptFailure>> + 'a>>;

/// Makes a further attempt of a call.
pub(super) type FurtherAttempt<T> = for<'a> fn(&'a Rc<Gateway>, &'a mut Call) -> Beginning<'a, T>;

/// Start of a target's answer.
pub(super) trait Start {
    /// Returns whether it is an error of the target. The answer of another attempt is preferred to it.
    fn is_error(&self) -> bool;
}

/// Returns the first start of an answer, of the attempt `first` or of further ones that are made while its target
/// is silent from `silent_at` on. The others are dropped with it, so that a stream has one target again once its answer
/// goes on.
///
/// If no further attempt is allowed, or all of them fail, it waits for `first`.
pub(super) async fn first_start<T: Start>(
    cx: &Rc<Gateway>,
    call: &mut Call,
    mut first: Beginning<'static, T>,
    silent_at: Instant,
    further: FurtherAttempt<T>,
) -> Result<T, AttemptFailure> {
    let mut failed = AttemptFailure::may_have_run(AttemptEnd::Silent);
    let (mut check_at, mut is_refused) = (silent_at, false);
    while !failed.is_final && may_overlap(call) {
        if let Some(result) = cx.clock.timeout_at(check_at, &mut first).await {
            return end_first(call, result);
        }
        check_at = cx.now() + BUDGET_CHECK_INTERVAL;
        // A repeat that is refused is logged once for each attempt.
        if (is_refused && !has_retry_budget(cx, call)) || !take_retry(cx, call, failed) {
            is_refused = true;
            continue;
        }
        call.plan.is_overlapping = true;
        let raced = race(cx, call, first, further).await;
        call.plan.is_overlapping = false;
        match raced {
            Race::First(start) => return Ok(start),
            Race::Further(start) => {
                call.attempts.on_attempt_end(Execution::MayHaveRun);
                return Ok(start);
            }
            Race::Both(first, further) => return end_both(call, first, further),
            Race::FurtherFailed(silent, e) => (first, failed) = (silent, e),
        }
        check_at = cx.now();
    }
    let result = first.await;
    end_first(call, result)
}

fn may_overlap(call: &Call) -> bool {
    (call.attempts).may_overlap(call.route.kind, call.route.max_attempts)
}

fn end_first<T>(call: &mut Call, result: Result<T, AttemptFailure>) -> Result<T, AttemptFailure> {
    result.inspect_err(|failed| call.attempts.on_attempt_end(failed.execution))
}

/// Result of two attempts that overlap.
enum Race<T> {
    /// The first began its answer, and the further one was dropped.
    First(T),
    /// The further one began its answer, and the first was dropped.
    Further(T),
    /// Both ended, at least one of them with a failure or with an error of its target.
    Both(Result<T, AttemptFailure>, Result<T, AttemptFailure>),
    /// The further one failed, and the first is still silent.
    FurtherFailed(Beginning<'static, T>, AttemptFailure),
}

/// Makes a further attempt beside the first until one of them begins its answer.
async fn race<T: Start>(
    cx: &Rc<Gateway>,
    call: &mut Call,
    first: Beginning<'static, T>,
    further: FurtherAttempt<T>,
) -> Race<T> {
    let ends = call.end_if_dropped.clone();
    match select(first, further(cx, call)).await {
        Either::Left((Ok(start), other)) if !start.is_error() => {
            ends.drop_as(AttemptEnd::Superseded, other);
            Race::First(start)
        }
        Either::Left((ended, other)) => Race::Both(ended, other.await),
        Either::Right((Ok(start), silent)) if !start.is_error() => {
            ends.drop_as(AttemptEnd::Silent, silent);
            Race::Further(start)
        }
        Either::Right((Ok(error), silent)) => Race::Both(silent.await, Ok(error)),
        Either::Right((Err(failed), silent)) => Race::FurtherFailed(silent, failed),
    }
}

/// Returns the result of a call of which two attempts have ended. An error of a target is returned only if there
/// is no other answer.
fn end_both<T: Start>(
    call: &mut Call,
    first: Result<T, AttemptFailure>,
    further: Result<T, AttemptFailure>,
) -> Result<T, AttemptFailure> {
    match (first, further) {
        (Ok(first), Ok(further)) => {
            let (kept, error) = match further.is_error() {
                true => (first, further),
                false => (further, first),
            };
            call.end_if_dropped.drop_as(AttemptEnd::TargetError, error);
            call.attempts.on_attempt_end(Execution::Ran);
            Ok(kept)
        }
        (Ok(error), Err(_)) => Ok(error),
        (Err(first), further) => {
            call.attempts.on_attempt_end(first.execution);
            // Without a further attempt, the call ends as the first did.
            further.map_err(|e| match e.is_final {
                true => AttemptFailure {
                    is_final: true,
                    ..first
                },
                false => e,
            })
        }
    }
}
