//! Targets that crash when they have to reject too many calls within a second.

use std::{collections::VecDeque, time::Duration};

use scaleford::{dispatcher::Ticket, units::Instant};

use super::{Event, Model, record};

/// Schedule of a time in which all targets are brittle.
#[derive(Debug, Clone, Copy)]
pub struct BrittleSchedule {
    /// When targets begin to say so, counted from the start of the run.
    pub from: Duration,
    /// Number of calls that a target may reject within a second.
    pub limit: u32,
    /// Number of calls beyond its slots that a target queues later on.
    pub queue: usize,
}

/// Time after which targets crash and have the shorter queue.
pub const NOTICE_TIME: Duration = Duration::from_secs(3);

/// Time for which a target is down after a crash.
const DOWN_TIME: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
pub struct BrittleResults {
    /// Rejections of each target within the last second.
    recent: Vec<VecDeque<Instant>>,
    /// Number of crashes.
    pub crashes: usize,
    /// Number of rejected calls while targets were brittle.
    pub rejected: usize,
}

impl Model {
    /// Returns the schedule if targets say now that they are brittle.
    pub(super) fn brittle_now(&self) -> Option<BrittleSchedule> {
        self.load.brittle.filter(|b| self.now.0 >= b.from)
    }

    /// Tells a router what a target states in its response.
    pub(super) fn on_brittle_response(&mut self, router: usize, target: usize) {
        if self.load.brittle.is_none() {
            return;
        }
        let limit = self
            .brittle_now()
            .map(|b| b.limit.to_string().parse().unwrap());
        let hash = (&record(target, self.load.slots).id).into();
        let brittle = &mut self.routers[router].brittle;
        brittle.on_statement(self.now, hash, limit);
    }

    /// Gets a slot for a call if its router knows that the target is brittle. Returns whether it has one, and
    /// `None` if none is free.
    pub(super) fn hold_slot(&mut self, router: usize, target: usize) -> Option<bool> {
        let target = record(target, self.load.slots);
        let brittle = &self.routers[router].brittle;
        let is_brittle = brittle.limit(self.now, (&target.id).into()).is_some();
        let is_free = !is_brittle || self.slots.acquire(self.now, &target.id, target.slots);
        is_free.then_some(is_brittle)
    }

    /// Takes a call's slot back.
    pub(super) fn release_slot(&mut self, ticket: &Ticket, has_slot: bool, is_rejected: bool) {
        if !has_slot {
            return;
        }
        let target = &ticket.target.id;
        if is_rejected {
            self.slots.on_rejected(self.now, target);
        }
        self.slots.release(target);
    }

    /// Tells all routers, as through hubs, which targets are brittle.
    pub(super) fn exchange_brittle_notices(&mut self) {
        let now = self.now;
        let notices = self.routers.iter().flat_map(|d| d.brittle.notices(now));
        let notices: Vec<_> = notices.collect();
        let received = match self.load.hubs {
            true => std::mem::replace(&mut self.notices_at_hubs, notices),
            false => notices,
        };
        for router in &mut self.routers {
            router.brittle.on_notices(now, &received);
        }
    }

    /// Returns how many calls beyond its slots a target queues now, if it is brittle.
    pub(super) fn brittle_queue(&self) -> Option<usize> {
        let brittle = self.brittle_now()?;
        (self.now.0 >= brittle.from + NOTICE_TIME).then_some(brittle.queue)
    }

    /// Counts a rejected call, and has the target crash if it rejected too many.
    pub(super) fn on_brittle_rejection(&mut self, target: usize) {
        let (now, Some(brittle)) = (self.now, self.brittle_now()) else {
            return;
        };
        if self.brittle_queue().is_none() {
            return;
        }
        let results = &mut self.brittle_results;
        results.rejected += 1;
        let targets = self.targets.len();
        results.recent.resize_with(targets, VecDeque::new);
        let recent = &mut results.recent[target];
        recent.push_back(now);
        recent.retain(|at| now.since(*at) < Duration::from_secs(1));
        if recent.len() <= brittle.limit as usize {
            return;
        }
        recent.clear();
        results.crashes += 1;
        for run in self.targets[target].on_loss() {
            if let Some(sent) = self.sent.remove(&run) {
                self.release_slot(&sent.ticket, sent.has_slot, false);
                let router = &mut self.routers[sent.router];
                router.on_end(now, &sent.ticket, Some(super::Health::Broken));
            }
        }
        self.after(DOWN_TIME, Event::BrittleTargetReturns(target));
    }

    pub(super) fn on_brittle_return(&mut self, target: usize) {
        self.targets[target].is_lost = false;
    }

    /// Returns the results for brittle targets.
    pub fn brittle_results(&self) -> &BrittleResults {
        &self.brittle_results
    }
}
