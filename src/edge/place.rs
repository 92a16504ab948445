//! A call's place at a target, from its choice to its end: what the end teaches, and the line that the log keeps.

use std::rc::Rc;

use slog::info;

use super::{attempt::Call, attempt_end::AttemptEnd, endings, gateway::Gateway};
use crate::{
    dialect::AnswerFacts, dispatcher::Ticket, explain::Decision, fingerprint::Fingerprint,
    health::Outcome, ids::TargetId, prompt_cache::PartId, spans::HopSpan, units::Instant,
    withdrawals::Withdrawal,
};

/// A place at a target that is given back when it ends, however it ends.
pub(crate) struct Place {
    cx: Rc<Gateway>,
    pub(crate) ticket: Ticket,
    id: String,
    fingerprint: Fingerprint,
    shared_part: Option<PartId>,
    began: Instant,
    /// What the head of its answer said of the target beside the call.
    withdrawal: Option<Withdrawal>,
    ended: bool,
    pub(crate) span: HopSpan,
}

impl Place {
    /// The place that a call got by a ticket.
    pub(crate) fn new(cx: &Rc<Gateway>, call: &Call, now: Instant, ticket: Ticket) -> Self {
        Self {
            cx: Rc::clone(cx),
            ticket,
            id: call.id().to_owned(),
            fingerprint: call.fingerprint,
            shared_part: call.plan.shared_parts().last().map(|p| p.id),
            began: now,
            withdrawal: None,
            ended: false,
            span: cx.spans.hop("target", call.id(), &call.head.headers),
        }
    }

    /// The attempt ended in a way that tells the target's health.
    pub(crate) fn end(mut self, end: AttemptEnd) {
        self.finish(end);
    }

    /// The head of its answer came.
    pub(crate) fn on_head(&mut self, facts: &AnswerFacts) {
        self.withdrawal = facts.withdrawal;
    }

    /// The first event came.
    pub(crate) fn on_first_event(&mut self) {
        let now = self.cx.now();
        let mut dispatcher = self.cx.dispatcher.borrow_mut();
        dispatcher.on_first_event(now, &mut self.ticket);
    }

    /// A further event came.
    pub(crate) fn on_event(&self) {
        let mut dispatcher = self.cx.dispatcher.borrow_mut();
        dispatcher
            .health
            .on_activity(self.cx.now(), &self.ticket.target.id);
    }

    /// The target's name.
    pub(crate) fn target(&self) -> &TargetId {
        &self.ticket.target.id
    }

    /// What the end tells of the request itself.
    fn on_request(&self, end: AttemptEnd) {
        match end {
            end if end.is_break() => {
                endings::on_broke_off(&self.cx, &self.ticket.target, &self.id, self.fingerprint);
            }
            end if end.is_answer() => endings::on_answered(&self.cx, self.fingerprint),
            _ => {}
        }
    }

    fn finish(&mut self, end: AttemptEnd) {
        let (outcome, why) = (end.outcome(), end.name());
        self.ended = true;
        let now = self.cx.now();
        let standing = {
            let mut dispatcher = self.cx.dispatcher.borrow_mut();
            dispatcher.on_end(now, &self.ticket, outcome)
        };
        let (log, target) = (&self.cx.log, &self.ticket.target.id);
        self.cx.metrics.on_attempt(why);
        self.on_request(end);
        self.span.note("outcome", why);
        self.cx.note(&self.id, || match outcome {
            Some(Outcome::Good) => Decision::Answered {
                target: target.clone(),
            },
            _ => Decision::Failed {
                target: target.clone(),
                why: why.to_owned(),
            },
        });
        info!(log, "attempt"; "id" => &self.id, "fingerprint" => %self.fingerprint, "target" => %target, "outcome" => why,
            "took_ms" => now.since(self.began).as_millis() as u64,
            "calls_there" => self.ticket.calls,
            "weighed" => self.ticket.scored_targets, "counted_ms_ago" => self.ticket.counted_ago.as_millis() as u64, "tokens_missing" => self.ticket.missing.0,
            "shared_part" => self.shared_part.map(|p| p.0), "held" => self.ticket.has_read,
            "fetched_from" => self.ticket.fetch_from.as_ref().map(|t| t.id.to_string()),
            "withdrawal" => self.withdrawal.map(Withdrawal::name), "backoff_ms" => self.withdrawal.and_then(Withdrawal::backoff).map(|b| b.as_millis() as u64),
            "began_ms" => self.began.0.as_millis() as u64,
            "standing" => ?self.ticket.health_status, "warmth" => ?self.ticket.warmth);
        if let Some(standing) = standing {
            info!(log, "standing"; "target" => %target, "standing" => ?standing, "id" => &self.id, "why" => why);
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if !self.ended {
            self.finish(AttemptEnd::Abandoned);
        }
    }
}
