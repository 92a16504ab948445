//! Where calls go and what their ends teach: discovery, load, health, prompts and the retry budget
//! behind one synchronous type, which tests drive without a clock or a socket.

use std::{rc::Rc, time::Duration};

use crate::{
    admission::{
        Admission, CallLimit, CallTraits,
        warm_up::{ColdShares, Warmth},
    },
    discovery::{Discovery, TargetRecord},
    edge::Rules,
    health::{Health, Outcome, Standing},
    ids::{ConversationKey, DataHall, ServiceName, TargetId},
    load_account::LoadAccount,
    placement::{
        candidates::MANY_TARGETS,
        choice::{NoChoice, Offer, Wanted, choose_beside, draw},
        spread::Survival,
    },
    prompt_cache::PromptCache,
    quarantine::Quarantine,
    retry::RetryBudget,
    target_counts::InProgress,
    units::{Instant, Tokens},
    withdrawals::{self, Withdrawal, Withdrawals},
};
pub use crate::{call_plan::Plan, ticket::Ticket};

/// Tokens of memory that a model engine is taken to have where its service does not say.
const MEMORY_UNTOLD: u64 = 200_000;

/// Tokens that must be saved for a prompt to be taken from another target's memory: setting the
/// move up takes about as long as reading these.
const FETCH_LEAST: Tokens = Tokens(128);

/// What one call finds at the targets of its service.
struct Reach {
    limit: CallLimit,
    /// The least that any target would have to read of the prompt.
    least_missing: Option<Tokens>,
    /// Whether targets can take a prompt from one another's memory.
    fetches: bool,
    /// What is left of others' counts.
    survival: Survival,
}

impl Reach {
    /// The tokens that another target has of those that one is missing.
    fn elsewhere(&self, missing: Tokens) -> Tokens {
        let least = self.least_missing;
        least.map_or(Tokens(0), |least| missing.less(least))
    }
}

/// Targets that are weighed for a call.
struct Field {
    targets: Vec<Rc<TargetRecord>>,
    /// How many of them, the last ones, stand for all others; `None` where these are all.
    sample: Option<usize>,
}

/// All that decides where calls go.
#[derive(Debug)]
pub struct Dispatcher {
    /// The targets there are.
    pub discovery: Discovery,
    /// What they have in progress.
    pub load: LoadAccount,
    /// Which to avoid.
    pub health: Health,
    /// Which want no calls, as they said themselves.
    pub withdrawals: Withdrawals,
    /// Which have read what.
    pub cache: PromptCache,
    /// Which requests end the targets that run them.
    pub quarantine: Quarantine,
    /// How many repeats are left.
    pub budget: RetryBudget,
    /// How many calls targets may have.
    pub admission: Admission,
    /// This router's part of targets that are cold.
    pub cold: ColdShares,
    hall: DataHall,
    cap_factor: f64,
    swept: Instant,
}

/// How often prompts of targets that are gone are forgotten: longer than a live one is missing.
const SWEEP_EVERY: Duration = Duration::from_secs(5);

impl Dispatcher {
    /// One that knows nothing yet.
    pub fn new(hall: DataHall, rules: &Rules) -> Self {
        Self {
            discovery: Discovery::default(),
            load: LoadAccount::new(hall.clone()),
            health: Health::default(),
            withdrawals: Withdrawals::default(),
            cache: PromptCache::default(),
            quarantine: Quarantine::default(),
            budget: RetryBudget::new(rules.budget),
            admission: Admission::new(hall.clone()),
            cold: ColdShares::new(rules.cold),
            hall,
            cap_factor: rules.cap_factor,
            swept: Instant::default(),
        }
    }

    /// Puts changed bounds in force; what was counted so far stays.
    pub fn set_rules(&mut self, rules: &Rules) {
        self.cap_factor = rules.cap_factor;
        self.budget.set_rule(rules.budget);
        self.cold.set_rule(rules.cold);
    }

    /// Chooses a target and takes a place there; [`Self::on_end`] gives the place back.
    pub fn choose(&mut self, now: Instant, plan: &Plan) -> Result<Ticket, NoChoice> {
        let few = self.few_targets(now, plan);
        let is_few = few.is_some();
        let mut weighed = 0;
        let field = few.unwrap_or_else(|| self.all_targets(now, plan));
        if field.targets.is_empty() {
            return Err(self.no_target(now, &plan.service));
        }
        if !(self.admission).lets_in(now, &plan.service, plan.surge, plan.draw()) {
            self.admission.on_refused(now, &plan.service);
            return Err(NoChoice::AllFull);
        }
        weighed += field.targets.len();
        let mut found = self.look(now, plan, &field);
        let is_sound = found
            .as_ref()
            .is_ok_and(|(_, offer)| offer.standing < Standing::Suspected);
        if is_few && !is_sound {
            let all = self.all_targets(now, plan);
            weighed += all.targets.len();
            found = self.look(now, plan, &all);
        }
        let (target, offer) = found.inspect_err(|_| {
            self.admission.on_refused(now, &plan.service);
        })?;
        let ticket = Ticket {
            target,
            work: InProgress::one(offer.missing + plan.answer),
            answer: plan.answer,
            calls: offer.counts.all(),
            weighed,
            counted_ago: self.load.age(now),
            missing: offer.missing,
            holds: offer.holds,
            fetch_from: self.fetch_source(now, plan, &offer),
            standing: offer.standing,
            warmth: offer.warmth,
            service: plan.service.clone(),
            slot_since: (offer.counts.all() < offer.slots).then_some(now),
        };
        let first = plan
            .chat
            .and_then(|chat| first_choice(&field.targets, chat));
        let is_first = first.is_none_or(|t| *t == ticket.target.id);
        self.on_send(now, &ticket, plan, is_first);
        Ok(ticket)
    }

    /// All targets of a call's service that want calls.
    fn all_targets(&self, now: Instant, plan: &Plan) -> Field {
        let serving = self.discovery.serving(&plan.service);
        // Without it 151 of 444 attempts within 7 s went in vain to three of nine targets that backed off, and calls went on for
        // 12 s to one that left (log lines of attempts).
        let targets = self.withdrawals.without(now, serving);
        Field {
            targets: targets.into_iter().cloned().collect(),
            sample: None,
        }
    }

    /// The few of very many that are weighed first; `None` where all are, or none of the few wants calls.
    fn few_targets(&self, now: Instant, plan: &Plan) -> Option<Field> {
        let few = self.discovery.pools().candidates(plan, &self.cache)?;
        let is_open = |t: &Rc<TargetRecord>| self.withdrawals.of(now, &t.id).is_none();
        let mut targets = few.holding;
        let mut sample = few.others;
        targets.retain(is_open);
        sample.retain(is_open);
        let n = sample.len();
        targets.extend(sample);
        (n > 0).then_some(Field {
            targets,
            sample: Some(n),
        })
    }

    /// Weighs targets for a call; returns the chosen one and how it was seen.
    fn look(
        &mut self,
        now: Instant,
        plan: &Plan,
        field: &Field,
    ) -> Result<(Rc<TargetRecord>, Offer), NoChoice> {
        let targets = &field.targets;
        let held = self.admission.room(now, &plan.service).held;
        let reach = Reach {
            survival: Survival::new(self.load.age(now), held),
            limit: self.admission.limit(&plan.service, plan.goal),
            least_missing: self.least_missing(now, plan),
            fetches: plan.engine.is_some_and(|e| e.moves),
        };
        let first = plan.chat.and_then(|chat| first_choice(targets, chat));
        let expected = first.filter(|_| !self.is_known_somewhere(targets, plan));
        let offer = |t: &Rc<TargetRecord>| self.offer(now, t, plan, &reach, expected);
        let mut offers: Vec<Offer> = targets.iter().map(offer).collect();
        if let Some(warm_up) = plan.warm_up.filter(|_| self.discovery.may_be_cold()) {
            for (offer, target) in offers.iter_mut().zip(targets) {
                if self
                    .discovery
                    .cold_until(now, target, warm_up.lasts)
                    .is_some()
                {
                    let cold = &mut self.cold;
                    offer.warmth = cold.warmth(now, &target.id, warm_up);
                }
            }
        }
        let pools = self.discovery.pools();
        let wanted = Wanted {
            key: plan.key(),
            call: plan.hash,
            survival: reach.survival,
            shared: !plan.shared_parts().is_empty() && plan.chat.is_none(),
            is_chat: plan.chat.is_some(),
            surge: plan.surge,
            repeatable: plan.kind.is_repeatable(),
            cap_factor: self.cap_factor,
            calls_a_slot: field
                .sample
                .and_then(|_| pools.calls_a_slot(&plan.service, &self.load)),
        };
        let sample = field.sample.unwrap_or(offers.len());
        let i = choose_beside(&offers, &offers[offers.len() - sample..], &wanted)?;
        Ok((Rc::clone(&targets[i]), offers.swap_remove(i)))
    }

    /// The target has read the prompt: its first event came.
    pub fn on_first_event(&mut self, now: Instant, ticket: &mut Ticket) {
        let target = &ticket.target.id;
        self.health.on_activity(now, target);
        self.load.on_end(target, ticket.work);
        ticket.work = InProgress::one(ticket.answer);
        self.load.on_send(target, ticket.work);
        // Its first event shows that it has its slot, also where it waited for it.
        ticket.slot_since = ticket.slot_since.or(Some(now));
    }

    /// A call has ended at its target; `None` if nobody waited for its end. Returns the target's
    /// new standing where it changed.
    pub fn on_end(
        &mut self,
        now: Instant,
        ticket: &Ticket,
        outcome: Option<Outcome>,
    ) -> Option<Standing> {
        let target = &ticket.target.id;
        self.load.on_end(target, ticket.work);
        if let (Some(Outcome::Good), Some(since)) = (outcome, ticket.slot_since) {
            self.admission.on_held(&ticket.service, now.since(since));
        }
        match outcome {
            Some(outcome) => self.health.on_outcome(now, target, outcome),
            None => {
                self.health.on_abandon(target);
                None
            }
        }
    }

    /// Drops what is too old, and all of targets that are gone; returns those.
    pub fn on_tick(&mut self, now: Instant) -> Vec<TargetId> {
        self.load.on_tick(now);
        let gone = self.discovery.on_tick(now);
        let discovery = &self.discovery;
        let listed = |id: &TargetId| discovery.get(id).is_some();
        self.health.retain(listed);
        self.health.outages.on_tick(now);
        self.cold.on_tick(now);
        self.admission.on_tick(now);
        if now.since(self.swept) >= SWEEP_EVERY {
            self.swept = now;
            self.cache.sweep(listed);
        }
        gone
    }

    /// Why a service has no target; a shortage begins where that is for a while only.
    fn no_target(&mut self, now: Instant, service: &ServiceName) -> NoChoice {
        let serving = self.discovery.serving(service);
        let no = match self.withdrawals.none_of(now, serving) {
            Some(no) if !serving.is_empty() => no,
            _ if self.discovery.is_evacuated(service) => NoChoice::AllEvacuated,
            _ => return NoChoice::NoTarget,
        };
        self.admission.on_refused(now, service);
        no
    }

    /// A target said something of itself; returns whether that is news.
    pub fn on_said(&mut self, now: Instant, target: &TargetId, withdrawal: Withdrawal) -> bool {
        let is_news = self.withdrawals.on_said(now, target, withdrawal);
        // Peers prefer others as well: where a third of the targets back off, 9,300 to 23,400 attempts are turned away until each of
        // hundreds of routers has met each of them, and 630 to 2,260 with the notice (`tests/load/withdrawals.rs`).
        if withdrawal.backoff().is_some() {
            self.health.outages.on_refused(now, target.into());
        }
        is_news
    }

    /// When a caller that found no room should come back, of `left` that it waits in all; `draw` from 0 to 1 spreads
    /// callers that were refused together.
    pub fn come_back(
        &self,
        now: Instant,
        service: &ServiceName,
        left: Duration,
        draw: f64,
    ) -> Duration {
        match self.backoff_left(now, service) {
            Some(backoff) => withdrawals::come_back(backoff, draw),
            None => self.admission.come_back(now, service, left, draw),
        }
    }

    /// How long until the first target of a service wants calls again, where none wants some now.
    pub fn backoff_left(&self, now: Instant, service: &ServiceName) -> Option<Duration> {
        let serving = self.discovery.serving(service);
        match self.withdrawals.none_of(now, serving)? {
            NoChoice::AllBackedOff { left } => Some(left),
            _ => None,
        }
    }

    /// `is_first` tells whether peers expect the chat at this target; else they are told of it.
    fn on_send(&mut self, now: Instant, ticket: &Ticket, plan: &Plan, is_first: bool) {
        let target = &ticket.target.id;
        self.load.on_send(target, ticket.work);
        if ticket.warmth == Warmth::Shared {
            self.cold.on_send(now, target);
        }
        self.health.on_send(now, target, !plan.prompt.is_empty());
        let told = match is_first {
            true => plan.shared_parts().len(),
            false => plan.prompt.len().saturating_sub(1),
        };
        let memory = plan.engine.map_or(MEMORY_UNTOLD, |e| e.memory_tokens);
        if !plan.prompt.is_empty() {
            self.cache.on_send(target, &plan.prompt, told, memory);
        }
    }

    /// Targets of the call's service whose memory can be reached, those that leave included; none where
    /// the call shares no part of its prompt. Suspects are left out: of what is fetched from an engine that
    /// is down all has to be read again (2.2 M of 16.1 M tokens to be fetched within 35 s, in which a sixth of
    /// 240 engines went down once; counted from the log lines of attempts).
    fn sources(&self, now: Instant, plan: &Plan) -> impl Iterator<Item = &Rc<TargetRecord>> {
        let is_few = self.discovery.serving(&plan.service).len() >= MANY_TARGETS;
        let shares = !plan.shared_parts().is_empty();
        let all = self.discovery.all().filter(move |_| shares && !is_few);
        let holders = self.deepest_holders(plan).iter().filter(move |_| is_few);
        let holders = holders.filter_map(|id| self.discovery.get(id));
        let service = plan.service.clone();
        all.chain(holders).filter(move |t| {
            t.service == service && self.health.standing(now, &t.id) < Standing::Suspected
        })
    }

    /// The targets that have read the deepest part of the prompt that any has read.
    fn deepest_holders(&self, plan: &Plan) -> &[TargetId] {
        let shared = plan.shared_parts().iter().rev();
        let mut holders = shared.map(|part| self.cache.holders(part.id));
        holders.find(|h| !h.is_empty()).unwrap_or_default()
    }

    /// Whether some target is known to have read what was said in the chat; where none is, its first
    /// choice is taken to have.
    fn is_known_somewhere(&self, targets: &[Rc<TargetRecord>], plan: &Plan) -> bool {
        let new = plan.new_tokens();
        let knows = |t: &Rc<TargetRecord>| self.cache.missing(&t.id, &plan.prompt) <= new;
        plan.has_history() && targets.iter().any(knows)
    }

    /// The least that any target would have to read of the prompt.
    fn least_missing(&self, now: Instant, plan: &Plan) -> Option<Tokens> {
        let missing = |t: &Rc<TargetRecord>| self.cache.missing(&t.id, &plan.prompt);
        self.sources(now, plan).map(missing).min()
    }

    /// Where the chosen target takes the prompt from, if another one has read much more of it.
    fn fetch_source(&self, now: Instant, plan: &Plan, chosen: &Offer) -> Option<Rc<TargetRecord>> {
        if !plan.engine.is_some_and(|e| e.moves) {
            return None;
        }
        let missing = |t: &&Rc<TargetRecord>| self.cache.missing(&t.id, &plan.prompt);
        let source = self.sources(now, plan).min_by_key(missing)?;
        let saved = chosen.missing.less(missing(&source));
        (saved >= FETCH_LEAST).then(|| Rc::clone(source))
    }

    fn offer(
        &self,
        now: Instant,
        target: &Rc<TargetRecord>,
        plan: &Plan,
        reach: &Reach,
        expected_at: Option<&TargetId>,
    ) -> Offer {
        let id = &target.id;
        let mut missing = self.cache.missing(id, &plan.prompt);
        if expected_at == Some(id) {
            missing = missing.min(plan.new_tokens());
        }
        let deepest = plan.shared_parts().last();
        let elsewhere = reach.elsewhere(missing);
        let traits = CallTraits {
            at_home: elsewhere < FETCH_LEAST,
            surges: plan.surge.is_on(),
        };
        Offer {
            standing: self.health.standing(now, id),
            counts: self.load.call_counts(now, id),
            backlog: self.load.backlog(id, reach.survival),
            missing,
            fetchable: if reach.fetches { elsewhere } else { Tokens(0) },
            holds: deepest.is_some_and(|p| self.cache.holds(id, p.id)),
            kept: self.cache.kept(id),
            slots: target.slots,
            most_calls: reach.limit.most_calls(target.slots, traits),
            most_tokens: target.most_tokens,
            warmth: Warmth::Warm,
            near: target.data_hall == self.hall,
            tried: plan.tried.contains(id),
            target: id.clone(),
        }
    }
}

/// The target that rendezvous hashing names for a chat.
fn first_choice(targets: &[Rc<TargetRecord>], chat: ConversationKey) -> Option<&TargetId> {
    let first = targets.iter().max_by_key(|t| draw(chat.0, &t.id));
    first.map(|t| &t.id)
}
