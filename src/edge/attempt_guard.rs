//! One attempt at a target from the choice of the target to the attempt's end, which is logged, counted
//! and passed on to the target's health and to the quarantine of requests.

use std::{cell::Cell, rc::Rc};

use slog::info;

use super::{
    attempt::Call,
    attempt_end::AttemptEnd,
    crash_checks::{self, BrokenAttempt},
    gateway::Gateway,
    slot_lease::SlotLease,
};
use crate::{
    dialect::ResponseInfo, dispatcher::Ticket, explain::Decision, fingerprint::Fingerprint,
    health::Outcome, ids::TargetId, prompt_cache::PartId, quarantine::PartKey, spans::HopSpan,
    units::Instant, withdrawals::Withdrawal,
};

/// How the attempts of a call end that are dropped before their end.
#[derive(Clone)]
pub(crate) struct EndIfDropped(Rc<Cell<AttemptEnd>>);

impl Default for EndIfDropped {
    fn default() -> Self {
        Self(Rc::new(Cell::new(AttemptEnd::Abandoned)))
    }
}

impl EndIfDropped {
    /// Drops what holds attempts of the call; they end in the given way.
    pub(super) fn drop_as<T>(&self, end: AttemptEnd, attempts: T) {
        let usual = self.0.replace(end);
        drop(attempts);
        self.0.set(usual);
    }
}

/// An attempt in progress at a target. It holds the dispatcher's ticket, and releases it when the attempt
/// ends or when it is dropped. Then it ends as its call says: abandoned, unless another attempt took its place.
pub(crate) struct AttemptGuard {
    cx: Rc<Gateway>,
    pub(crate) ticket: Ticket,
    id: String,
    fingerprint: Fingerprint,
    shared_part: Option<PartId>,
    /// Parts of the prompt, except for the last one, which no other request has.
    parts: Rc<[PartKey]>,
    /// Number of events that the target has sent.
    events: u32,
    /// Id of the last event that the caller had when the attempt began.
    after_event: Option<u64>,
    started_at: Instant,
    /// Withdrawal of the target that the head of the answer announced.
    withdrawal: Option<Withdrawal>,
    is_ended: bool,
    end_if_dropped: EndIfDropped,
    /// Slot of a brittle target.
    pub(super) slot: Option<SlotLease>,
    pub(crate) span: HopSpan,
}

impl AttemptGuard {
    /// Creates the record of an attempt at the target of `ticket`.
    pub(crate) fn new(cx: &Rc<Gateway>, call: &Call, now: Instant, ticket: Ticket) -> Self {
        Self {
            cx: Rc::clone(cx),
            ticket,
            id: call.id().to_owned(),
            fingerprint: call.fingerprint,
            shared_part: call.plan.shared_parts().last().map(|p| p.id),
            parts: Rc::clone(&call.parts),
            events: 0,
            after_event: call.plan.progress.last_event(),
            started_at: now,
            withdrawal: None,
            is_ended: false,
            end_if_dropped: call.end_if_dropped.clone(),
            slot: None,
            span: cx.spans.start_hop("target", call.id(), &call.head.headers),
        }
    }

    /// Ends the attempt, and records its outcome for the target's health.
    pub(crate) fn end(mut self, end: AttemptEnd) {
        self.finish(end);
    }

    /// Handles the arrival of the answer's head.
    pub(crate) fn on_head(&mut self, facts: &ResponseInfo) {
        self.withdrawal = facts.withdrawal;
    }

    /// Handles the first event of a stream.
    pub(crate) fn on_first_event(&mut self) {
        self.events += 1;
        let now = self.cx.now();
        let mut dispatcher = self.cx.dispatcher.borrow_mut();
        dispatcher.on_first_event(now, &mut self.ticket);
    }

    /// Handles a further event of a stream, which counts as activity of the target.
    pub(crate) fn on_event(&mut self) {
        self.events += 1;
        if self.events == crash_checks::EVENTS_OF_SOUND_CALL {
            crash_checks::on_parts_answered(&self.cx, &self.parts);
        }
        let mut dispatcher = self.cx.dispatcher.borrow_mut();
        dispatcher
            .health
            .on_activity(self.cx.now(), &self.ticket.target.id);
    }

    /// Returns the target's id.
    pub(crate) fn target(&self) -> &TargetId {
        &self.ticket.target.id
    }

    /// Reports the end to the quarantine: whether the target may have crashed under the request, or
    /// survived it.
    fn report_to_quarantine(&self, end: AttemptEnd) {
        match end {
            end if end.is_break() => {
                let broken = BrokenAttempt {
                    call: self.id.clone(),
                    request: self.fingerprint,
                    parts: Rc::clone(&self.parts),
                    events: self.events,
                };
                crash_checks::on_attempt_broke(&self.cx, &self.ticket.target, broken);
            }
            end if end.is_answer() => {
                crash_checks::on_answered(&self.cx, self.fingerprint);
                // A target may fail a call before it begins to answer, which says nothing of the parts.
                if end == AttemptEnd::Answered {
                    crash_checks::on_parts_answered(&self.cx, &self.parts);
                }
            }
            _ => {}
        }
    }

    /// Returns the times in milliseconds since this router last reached the target, and since it last
    /// reached any.
    fn reached_ago(&self, now: Instant) -> (Option<u64>, Option<u64>) {
        let paths = &self.cx.dispatcher.borrow().paths;
        let ms_ago = |at: Option<Instant>| at.map(|at| now.since(at).as_millis() as u64);
        let target = paths.reached_at(&self.ticket.target.id);
        (ms_ago(target), ms_ago(paths.any_reached_at()))
    }

    /// Returns the outcome for the target's health. What breaks while the path to the target is not trusted
    /// does not count against the target.
    fn outcome(&self, end: AttemptEnd) -> Option<Outcome> {
        let is_trusted = {
            let paths = &self.cx.dispatcher.borrow().paths;
            paths.is_trusted(&self.ticket.target)
        };
        end.outcome()
            .filter(|o| is_trusted || *o != Outcome::Broken)
    }

    fn finish(&mut self, end: AttemptEnd) {
        let (outcome, why) = (self.outcome(end), end.name());
        self.is_ended = true;
        let now = self.cx.now();
        let new_status = {
            let mut dispatcher = self.cx.dispatcher.borrow_mut();
            dispatcher.on_end(now, &self.ticket, outcome)
        };
        let (log, target) = (&self.cx.log, &self.ticket.target.id);
        let (reached_ago, any_reached_ago) = self.reached_ago(now);
        self.cx.metrics.on_attempt(why);
        self.report_to_quarantine(end);
        self.span.set_attribute("outcome", why);
        self.cx.record_decision(&self.id, || match outcome {
            Some(Outcome::Good) => Decision::Answered {
                target: target.clone(),
            },
            _ => Decision::Failed {
                target: target.clone(),
                why: why.to_owned(),
            },
        });
        info!(log, "attempt"; "id" => &self.id, "fingerprint" => %self.fingerprint, "target" => %target, "version" => %self.ticket.target.version, "after_event" => self.after_event, "outcome" => why,
            "took_ms" => now.since(self.started_at).as_millis() as u64,
            "calls_there" => self.ticket.calls,
            "weighed" => self.ticket.scored_targets, "counted_ms_ago" => self.ticket.counted_ago.as_millis() as u64, "slowdown" => self.ticket.time_factor.percent(), "tokens_missing" => self.ticket.missing.0,
            "shared_part" => self.shared_part.map(|p| p.0), "held" => self.ticket.has_read,
            "fetched_from" => self.ticket.fetch_from.as_ref().map(|t| t.id.to_string()),
            "withdrawal" => self.withdrawal.map(Withdrawal::name), "backoff_ms" => self.withdrawal.and_then(Withdrawal::backoff).map(|b| b.as_millis() as u64),
            "reached_ms_ago" => reached_ago, "any_reached_ms_ago" => any_reached_ago,
            "began_ms" => self.started_at.0.as_millis() as u64,
            "standing" => ?self.ticket.health_status, "warmth" => ?self.ticket.warmth);
        if let Some(new_status) = new_status {
            info!(log, "standing"; "target" => %target, "standing" => ?new_status, "id" => &self.id, "why" => why);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.is_ended {
            self.finish(self.end_if_dropped.0.get());
        }
    }
}
