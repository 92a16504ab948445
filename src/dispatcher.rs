//! Where calls go and what their ends teach: discovery, load, health, prompts and the retry budget
//! behind one synchronous type, which tests drive without a clock or a socket.

use std::rc::Rc;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    config::serving::CallKind,
    discovery::{Discovery, TargetRecord},
    health::{Health, Outcome, Standing},
    ids::{DataHall, ServiceName, TargetId},
    load_account::{InProgress, LoadAccount},
    placement::choice::{NoChoice, Offer, Wanted, choose},
    prompt_cache::{PromptCache, PromptPart},
    retry::{BudgetRule, RetryBudget},
    units::{Instant, Tokens},
};

/// Tokens of memory that a model engine is taken to have where its service does not say.
const MEMORY_UNTOLD: u64 = 200_000;

/// One call that looks for a target.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The service that answers it.
    pub service: ServiceName,
    /// Whether and how it repeats.
    pub kind: CallKind,
    /// Its prompt; empty for plain services.
    pub prompt: Vec<PromptPart>,
    /// A hash of the caller's id, to spread calls without a prompt.
    pub hash: u64,
    /// Tokens that one engine of the service holds.
    pub memory_tokens: Option<u64>,
    /// Targets that it was sent to.
    pub tried: Vec<TargetId>,
}

impl Plan {
    /// The parts of the prompt that other calls share: all but its own last one.
    pub fn shared_parts(&self) -> &[PromptPart] {
        let n = self.prompt.len().saturating_sub(1);
        &self.prompt[..n]
    }

    fn key(&self) -> u64 {
        let deepest = self.shared_parts().last();
        deepest.map_or(self.hash, |p| xxh3_64(&p.id.0.to_le_bytes()))
    }
}

/// A call's place at a target, and what decided it.
#[derive(Debug, Clone)]
pub struct Ticket {
    /// The target.
    pub target: Rc<TargetRecord>,
    /// What the call adds to the target's load.
    pub work: InProgress,
    /// Calls at the target before this one.
    pub calls: u32,
    /// Tokens of the prompt that the target has yet to read.
    pub missing: Tokens,
    /// What was believed of the target's health.
    pub standing: Standing,
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
    /// Which have read what.
    pub cache: PromptCache,
    /// How many repeats are left.
    pub budget: RetryBudget,
    hall: DataHall,
    cap_factor: f64,
}

impl Dispatcher {
    /// One that knows nothing yet.
    pub fn new(hall: DataHall, cap_factor: f64, budget: BudgetRule) -> Self {
        Self {
            discovery: Discovery::default(),
            load: LoadAccount::default(),
            health: Health::default(),
            cache: PromptCache::default(),
            budget: RetryBudget::new(budget),
            hall,
            cap_factor,
        }
    }

    /// Chooses a target and takes a place there; [`Self::on_end`] gives the place back.
    pub fn choose(&mut self, now: Instant, plan: &Plan) -> Result<Ticket, NoChoice> {
        let targets = self.discovery.serving(&plan.service);
        if targets.is_empty() {
            return Err(NoChoice::NoTarget);
        }
        let offers: Vec<Offer> = targets.iter().map(|t| self.offer(now, t, plan)).collect();
        let wanted = Wanted {
            key: plan.key(),
            shared: !plan.shared_parts().is_empty(),
            repeatable: plan.kind.is_repeatable(),
            cap_factor: self.cap_factor,
        };
        let i = choose(&offers, &wanted)?;
        let (target, offer) = (Rc::clone(&targets[i]), &offers[i]);
        let ticket = Ticket {
            target,
            work: InProgress::one(offer.missing),
            calls: offer.calls,
            missing: offer.missing,
            standing: offer.standing,
        };
        self.on_send(now, &ticket, plan);
        Ok(ticket)
    }

    /// The target has read the prompt: its first event came.
    pub fn on_first_event(&mut self, ticket: &mut Ticket) {
        let target = &ticket.target.id;
        self.load.on_end(target, ticket.work);
        ticket.work = InProgress::one(Tokens(0));
        self.load.on_send(target, ticket.work);
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
        self.cache.retain(listed);
        gone
    }

    fn on_send(&mut self, now: Instant, ticket: &Ticket, plan: &Plan) {
        let target = &ticket.target.id;
        self.load.on_send(target, ticket.work);
        self.health.on_send(now, target);
        let shared = plan.shared_parts().len();
        let memory = plan.memory_tokens.unwrap_or(MEMORY_UNTOLD);
        if !plan.prompt.is_empty() {
            self.cache.on_send(target, &plan.prompt, shared, memory);
        }
    }

    fn offer(&self, now: Instant, target: &Rc<TargetRecord>, plan: &Plan) -> Offer {
        let id = &target.id;
        let deepest = plan.shared_parts().last();
        Offer {
            standing: self.health.standing(now, id),
            calls: self.load.calls(now, id),
            backlog: self.load.total(id).tokens,
            missing: self.cache.missing(id, &plan.prompt),
            holds: deepest.is_some_and(|p| self.cache.holds(id, p.id)),
            kept: self.cache.kept(id),
            slots: target.slots,
            near: target.data_hall == self.hall,
            tried: plan.tried.contains(id),
            target: id.clone(),
        }
    }
}
