//! Simulation of callers, routers and targets in virtual time.

mod brittle;
mod changes;
mod crashes;
mod figures;
mod load;
mod setup;
mod target;
mod uneven;
mod updates;
mod withdrawals;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    ops::Range,
    time::Duration,
};

use brittle::BrittleResults;
pub use brittle::BrittleSchedule;
pub use crashes::CrashSchedule;
use crashes::{CRASHING_REQUEST, CrashResults};
use figures::Figures;
pub use figures::Outcome;
pub use load::{Change, Fleet, Load, Service, Slowdown};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64;
use scaleford::{
    admission::{HallRates, shares::ShareReport},
    brittle::BrittleNotice,
    discovery::TargetRecord,
    dispatcher::{CallPlan, Dispatcher, Ticket},
    fingerprint::Fingerprint,
    health::Outcome as Health,
    membership::datagram::HallSums,
    placement::choice::PlacementError,
    prompt_cache::PartId,
    slot_gate::SlotGates,
    units::{Instant, StoreRevision},
};
use setup::{OWN_TOKENS, hall, known_routers, new_target, record, rules, service};
use target::{Run, Target};
use uneven::UnevenResults;
pub use uneven::{ReportedFigures, UnevenSchedule};
use withdrawals::WithdrawalResults;
pub use withdrawals::WithdrawalSchedule;

/// Time in which an engine reads a token of a prompt.
const READ_TIME_PER_TOKEN: Duration = Duration::from_micros(10);
/// Time in which an engine sets up a prompt.
const SET_UP_TIME: Duration = Duration::from_millis(40);
/// Mean time from an engine's first event to the end of its answer.
const MEAN_ANSWER_TIME: Duration = Duration::from_millis(800);

/// Range of answer times, as factors on the mean.
const ANSWER_TIME_FACTORS: Range<f64> = 0.1..1.9;

/// Maximum number of targets that one call is sent to.
const MAX_ATTEMPTS: usize = 3;

/// Number of accounts, which send at the same rate unless one surges.
const ACCOUNTS: usize = 10;

#[derive(Debug, Clone, Copy)]
struct Call {
    /// When it was first tried.
    at: Instant,
    /// When it was last tried.
    tried_at: Instant,
    account: usize,
    prompt: u64,
    tries: u32,
    /// Number of the request: unique for each call, except for calls with the request [`CRASHING_REQUEST`].
    request: u64,
}

#[derive(Debug)]
enum Event {
    CallArrives,
    CallRetries(Call),
    AnswerStarts(u64),
    CallEnds(u64),
    DeadlinePassed(u64),
    SendUpdates,
    TargetsChange,
    TargetsDelisted,
    CrashingRequestArrives,
    TargetRestarts,
    BrittleTargetReturns(usize),
}

#[derive(Debug)]
struct Sent {
    call: Call,
    router: usize,
    target: usize,
    ticket: Ticket,
    plan: CallPlan,
    /// Whether it has a slot of a brittle target.
    has_slot: bool,
}

pub struct Model {
    load: Load,
    now: Instant,
    routers: Vec<Dispatcher>,
    targets: Vec<Target>,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    pending: HashMap<u64, Event>,
    sent: HashMap<u64, Sent>,
    count: u64,
    rng: Pcg64,
    figures: Vec<Figures>,
    /// Sums that hubs received, which they pass on with their next updates.
    sums_at_hubs: Option<HallSums>,
    /// Share reports that hubs know.
    shares_at_hubs: Vec<ShareReport>,
    /// Account rates that hubs know.
    rates_at_hubs: Option<HallRates>,
    /// When hubs last reported account rates.
    rates_reported_at: Instant,
    crash_results: CrashResults,
    /// Number of targets that were started after a crash.
    restarts: u64,
    withdrawal_results: WithdrawalResults,
    uneven_results: UnevenResults,
    brittle_results: BrittleResults,
    /// Slots of brittle targets that their owners handed out.
    slots: SlotGates,
    /// Notices of brittle targets that hubs know.
    notices_at_hubs: Vec<BrittleNotice>,
}

/// Fraction of the calls that arrive at one router while most callers do.
const ONE_ROUTER_FRACTION: f64 = 0.9;

impl Model {
    pub fn new(load: Load) -> Self {
        let router = |n| {
            let mut d = Dispatcher::new(hall(), &rules(load.shares));
            d.shares.set_fleet_size(load.routers);
            d.cold.set_routers(known_routers(&load, n));
            let all = (0..load.targets).map(|n| record(n, load.slots));
            let at = Instant::default();
            d.discovery
                .on_configured_list(at, all.collect(), StoreRevision::first_era(1));
            d
        };
        let mut model = Self {
            load,
            now: Instant::default(),
            routers: (0..load.routers).map(router).collect(),
            targets: (0..load.targets).map(|_| new_target(&load)).collect(),
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            sent: HashMap::new(),
            count: 0,
            rng: Pcg64::seed_from_u64(load.seed),
            figures: Vec::new(),
            sums_at_hubs: None,
            shares_at_hubs: Vec::new(),
            rates_at_hubs: None,
            rates_reported_at: Instant::default(),
            crash_results: CrashResults::default(),
            restarts: 0,
            withdrawal_results: WithdrawalResults::default(),
            uneven_results: UnevenResults::default(),
            brittle_results: BrittleResults::default(),
            slots: SlotGates::default(),
            notices_at_hubs: Vec::new(),
        };
        model.after(Duration::ZERO, Event::CallArrives);
        model.after(model.send_interval(), Event::SendUpdates);
        if let Some(crashes) = load.crashes {
            model.after(crashes.from, Event::CrashingRequestArrives);
        }
        if let Some(change) = load.change {
            let at = Duration::from_secs(change.at_s);
            model.after(at, Event::TargetsChange);
            model.after(at + changes::DELISTING_DELAY, Event::TargetsDelisted);
        }
        model
    }

    /// Runs the simulation until `until_s` seconds after the start.
    pub fn run(&mut self, until_s: u64) {
        let until = Instant::from_millis(until_s * 1_000);
        while let Some(Reverse((at, n))) = self.events.pop() {
            if at >= until {
                return;
            }
            self.now = at;
            let event = self.pending.remove(&n).unwrap();
            self.on_event(event);
        }
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.count += 1;
        self.events.push(Reverse((self.now + delay, self.count)));
        self.pending.insert(self.count, event);
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::CallArrives => self.on_arrival(),
            Event::CallRetries(call) => self.on_call(call),
            Event::AnswerStarts(n) => self.on_first_event(n),
            Event::CallEnds(n) => self.on_end(n),
            Event::DeadlinePassed(n) => self.on_deadline(n),
            Event::SendUpdates => self.on_send_updates(),
            Event::TargetsChange => self.on_targets_change(),
            Event::TargetsDelisted => self.on_targets_delisted(),
            Event::CrashingRequestArrives => self.on_crashing_request(),
            Event::TargetRestarts => self.on_target_restart(),
            Event::BrittleTargetReturns(target) => self.on_brittle_return(target),
        }
    }

    fn on_arrival(&mut self) {
        let load = self.load;
        let surges = (load.surge_from_s..load.surge_to_s).contains(&self.now.0.as_secs());
        let (factor, first) = match surges {
            true => (load.surge, load.account_surge),
            false => (1.0, 1.0),
        };
        // Rates of all other accounts and of all accounts, as fractions of the usual rate.
        let others = 1.0 - 1.0 / ACCOUNTS as f64;
        let all = others + first / ACCOUNTS as f64;
        let rate = load.calls_per_s * factor * all;
        let account = match self.rng.random_bool(others / all) {
            true => self.rng.random_range(1..ACCOUNTS),
            false => 0,
        };
        let pause = Exp::new(rate).unwrap().sample(&mut self.rng);
        self.after(Duration::from_secs_f64(pause), Event::CallArrives);
        let call = Call {
            at: self.now,
            tried_at: self.now,
            account,
            prompt: self.rng.random_range(0..load.prompts as u64),
            tries: 0,
            request: self.count + 1,
        };
        let figures = self.figures_of(&call);
        figures.calls += 1;
        figures.by_account[account].calls += 1;
        self.on_call(call);
    }

    fn on_call(&mut self, call: Call) {
        let active_routers = self.active_routers();
        let is_one = self
            .load
            .one_router_from_s
            .is_some_and(|s| self.now.0.as_secs() >= s);
        let router = match is_one && call.tries == 0 && self.rng.random_bool(ONE_ROUTER_FRACTION) {
            true => active_routers.start,
            false => self.rng.random_range(active_routers),
        };
        self.count += 1;
        let n = self.count;
        let account = format!("a{}", call.account).parse().unwrap();
        (self.routers[router].budget).on_call(self.now, &service());
        let admission = &mut self.routers[router].admission;
        let surge = admission.on_call(self.now, &account);
        let plan = self.plan(&call, n, surge);
        let call = Call {
            tries: call.tries + 1,
            tried_at: self.now,
            ..call
        };
        self.choose(n, call, router, plan);
    }

    /// Chooses a target that the call was not sent to yet, and sends the call to it or refuses it.
    fn choose(&mut self, n: u64, call: Call, router: usize, plan: CallPlan) {
        if self.is_quarantined(router, &call) {
            return;
        }
        let chosen = match plan.tried.len() {
            MAX_ATTEMPTS.. => Err(PlacementError::NoTarget),
            1.. if !self.may_retry(router) => Err(PlacementError::NoTarget),
            _ => self.routers[router].choose(self.now, &plan),
        };
        match chosen {
            Ok(ticket) => self.send(n, call, router, ticket, plan),
            Err(_) if call.request == CRASHING_REQUEST => {}
            Err(_) if call.tries == 1 => {
                self.figures_of(&call).refused_first += 1;
                let left = self.load.deadline.saturating_sub(self.now.since(call.at));
                let draw = self.rng.random();
                let router = &self.routers[router];
                let pause = router.retry_after(self.now, &service(), left, draw);
                self.after(pause, Event::CallRetries(call));
            }
            Err(_) => self.figures_of(&call).refused_again += 1,
        }
    }

    fn send(&mut self, n: u64, call: Call, router: usize, ticket: Ticket, plan: CallPlan) {
        let index = |record: &TargetRecord| record.id.as_str()[1..].parse::<usize>().unwrap();
        let target = index(&ticket.target);
        let Some(has_slot) = self.hold_slot(router, target) else {
            self.routers[router].on_end(self.now, &ticket, None);
            let mut plan = plan;
            plan.tried.push(ticket.target.id.clone());
            return self.choose(n, call, router, plan);
        };
        let source = ticket.fetch_from.as_deref().map(index);
        let is_overloaded = self.is_overloaded(target);
        self.targets[target].record_arrival(self.now);
        if call.request == CRASHING_REQUEST {
            self.crash_results.sent.push(self.now);
        }
        let figures = self.figures_now();
        figures.sent += 1;
        figures.sent_above += u64::from(is_overloaded);
        self.record_send_after_withdrawal(router, target);
        self.record_send_by_speed(target);
        if self.rejects_all_calls(target) {
            self.on_withdrawal_response(router, target);
            return self.send_elsewhere(n, call, router, &ticket, plan, Health::Full);
        }
        let queue = self.brittle_queue();
        if let Some(end) = self.targets[target].rejection(queue) {
            let figures = self.figures_now();
            figures.turned_away += u64::from(end == Health::Full);
            figures.sent_to_lost += u64::from(end == Health::Broken);
            if end == Health::Full {
                self.on_brittle_response(router, target);
                self.on_brittle_rejection(target);
                self.release_slot(&ticket, has_slot, true);
                self.on_figure(router, target);
            }
            if end == Health::Broken {
                self.release_slot(&ticket, has_slot, false);
                let outages = &mut self.routers[router].health.outages;
                outages.on_refused(self.now, (&ticket.target.id).into());
            }
            return self.send_elsewhere(n, call, router, &ticket, plan, end);
        }
        let can_fetch = source.is_some_and(|s| self.targets[s].caches(PartId(call.prompt)));
        let missing = self.targets[target].read(&plan.prompt);
        let (read, moved) = match can_fetch {
            true => (missing.min(OWN_TOKENS), missing.saturating_sub(OWN_TOKENS)),
            false => (missing, 0),
        };
        self.figures_of(&call).moved_tokens += moved;
        let to_first_event = match self.load.service {
            Service::Engines => SET_UP_TIME + READ_TIME_PER_TOKEN * read as u32,
            Service::Plain => self.load.plain_call_time,
        };
        let run = Run {
            call: n,
            to_first_event,
        };
        let sent = Sent {
            call,
            router,
            target,
            ticket,
            plan,
            has_slot,
        };
        self.sent.insert(n, sent);
        if self.targets[target].is_cut_off {
            self.after(self.load.deadline, Event::DeadlinePassed(n));
            return;
        }
        if let Some(run) = self.targets[target].on_arrival(run) {
            self.begin(target, run);
        }
    }

    /// Returns whether the retry budget allows a router to send a call to another target.
    fn may_retry(&mut self, router: usize) -> bool {
        let share = 1.0 / self.load.routers as f64;
        let budget = &mut self.routers[router].budget;
        !self.load.bounded_retries || budget.take(self.now, &service(), share)
    }

    /// Sends a call that a target did not complete to another target.
    fn send_elsewhere(
        &mut self,
        n: u64,
        call: Call,
        router: usize,
        ticket: &Ticket,
        mut plan: CallPlan,
        end: Health,
    ) {
        self.routers[router].on_end(self.now, ticket, Some(end));
        plan.tried.push(ticket.target.id.clone());
        self.choose(n, call, router, plan);
    }

    /// Returns whether a target has more calls than twice the mean of its service plus three.
    fn is_overloaded(&self, target: usize) -> bool {
        let alive = self.targets.iter().filter(|t| !t.is_lost);
        let mean = alive.clone().map(Target::calls).sum::<usize>() as f64 / alive.count() as f64;
        self.targets[target].calls() as f64 > 2.0 * mean + 3.0
    }

    fn begin(&mut self, target: usize, run: Run) {
        let slowdown = self.load.slowdown;
        let is_slow = |s: &Slowdown| target < s.targets && self.now.0 >= s.from;
        let factor = slowdown.filter(is_slow).map_or(1, |s| s.factor);
        let to_first_event = match self.time_factor(target) {
            1.0 => run.to_first_event * factor,
            uneven => run.to_first_event.mul_f64(uneven * f64::from(factor)),
        };
        self.after(to_first_event, Event::AnswerStarts(run.call));
    }

    fn on_first_event(&mut self, n: u64) {
        let (now, goal) = (self.now, self.load.goal);
        let Some(sent) = self.sent.get_mut(&n) else {
            // Its target was lost.
            return;
        };
        if sent.call.request == CRASHING_REQUEST {
            let target = sent.target;
            return self.on_target_crash(target);
        }
        self.routers[sent.router].on_first_event(now, &mut sent.ticket);
        let (router, target) = (sent.router, sent.target);
        let call = sent.call;
        self.on_figure(router, target);
        self.on_brittle_response(router, target);
        if self.is_leaving(target) {
            self.on_withdrawal_response(router, target);
        }
        let figures = self.figures_of(&call);
        let is_in_time = now.since(call.at) <= goal;
        match is_in_time {
            true => figures.in_time += 1,
            false => figures.late += 1,
        }
        let is_in_time = now.since(call.tried_at) <= goal;
        figures.by_account[call.account].in_time += u64::from(is_in_time);
        self.figures_now().answers_in_time += u64::from(is_in_time);
        let answer = match self.load.service {
            Service::Engines => {
                MEAN_ANSWER_TIME.mul_f64(self.rng.random_range(ANSWER_TIME_FACTORS))
            }
            Service::Plain => Duration::ZERO,
        };
        let answer = answer.mul_f64(self.time_factor(target));
        self.after(answer, Event::CallEnds(n));
    }

    fn on_end(&mut self, n: u64) {
        let Some(sent) = self.sent.remove(&n) else {
            return;
        };
        self.release_slot(&sent.ticket, sent.has_slot, false);
        let request = Fingerprint(sent.call.request);
        let router = &mut self.routers[sent.router];
        router.on_end(self.now, &sent.ticket, Some(Health::Good));
        router.quarantine.on_answered(self.now, request);
        if let Some(next) = self.targets[sent.target].on_end(n) {
            self.begin(sent.target, next);
        }
    }

    /// Ends a call that hangs at a cut-off target, when its deadline has passed.
    fn on_deadline(&mut self, n: u64) {
        if let Some(sent) = self.sent.remove(&n) {
            let router = &mut self.routers[sent.router];
            router.on_end(self.now, &sent.ticket, Some(Health::Broken));
        }
    }
}
