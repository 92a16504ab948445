//! Decides where calls are sent and learns from how they end. Combines discovery, load, health, prompt
//! cache and retry budget behind one synchronous type, which tests drive without a clock or a socket.

mod divided;

use std::{rc::Rc, time::Duration};

use crate::{
    admission::{
        Admission, CallLimit, CallTraits,
        shares::PoolShares,
        warm_up::{ColdShares, Warmth},
    },
    brittle::BrittleTargets,
    discovery::{Discovery, TargetRecord},
    doubtful_instances::DoubtfulInstances,
    edge::Rules,
    health::{Health, HealthStatus, Outcome},
    ids::{ConversationKey, DataHall, ServiceName, TargetId},
    load_account::{LoadAccount, ReportedLoad},
    outages::OutageNotice,
    paths::TargetPaths,
    placement::{
        candidates::PRESELECTION_THRESHOLD,
        choice::{
            PlacementError, PlacementRequest, TargetView, choose_with_sample, rendezvous_hash,
        },
        spread::Survival,
    },
    prompt_cache::PromptCache,
    quarantine::Quarantine,
    retry::RetryBudget,
    stream_origin::StreamOrigin,
    target_counts::{InProgress, TargetHash},
    target_speed::TargetSpeeds,
    ticket::{CallTiming, SentPrompt},
    units::{Instant, Tokens},
    withdrawals::{self, Withdrawal, Withdrawals},
};
pub use crate::{call_plan::CallPlan, ticket::Ticket};

/// Memory of a model engine, in tokens, if its service does not configure it.
const DEFAULT_MEMORY_TOKENS: u64 = 200_000;

/// Minimum number of tokens to save for a prompt to be copied from another target's memory: setting up the
/// transfer takes about as long as reading these.
const MIN_FETCH_TOKENS: Tokens = Tokens(128);

/// What a call needs to know about its service to assess each target.
struct ServiceContext {
    limit: CallLimit,
    /// Minimum over all targets of the tokens that they would have to read of the prompt.
    least_missing: Option<Tokens>,
    /// Whether targets can copy a prompt from each other's memory.
    can_fetch: bool,
    /// Fraction of the calls counted by other routers that is still in progress.
    survival: Survival,
}

impl ServiceContext {
    /// Returns how many of the `missing` tokens another target has read.
    fn read_elsewhere(&self, missing: Tokens) -> Tokens {
        let least = self.least_missing;
        least.map_or(Tokens(0), |least| missing.saturating_sub(least))
    }
}

/// Targets that are scored for a call.
struct ScoredTargets {
    targets: Vec<Rc<TargetRecord>>,
    /// How many targets at the end of `targets` are the sample that represents all targets; `None` if
    /// `targets` holds all of them.
    sample_len: Option<usize>,
}

/// State and rules that decide where calls are sent.
#[derive(Debug)]
pub struct Dispatcher {
    /// Known targets.
    pub discovery: Discovery,
    /// Calls and tokens in progress at targets.
    pub load: LoadAccount,
    /// Health of targets, as learned from outcomes of calls.
    pub health: Health,
    /// Instances of targets that may have ended.
    pub doubts: DoubtfulInstances,
    /// Network paths from this router to targets.
    pub paths: TargetPaths,
    /// Targets that crash when they have to reject too many calls.
    pub brittle: BrittleTargets,
    /// Targets that have asked for no calls.
    pub withdrawals: Withdrawals,
    /// Prompts that targets have read.
    pub cache: PromptCache,
    /// Requests that crash the targets that run them.
    pub quarantine: Quarantine,
    /// Budget for retries.
    pub budget: RetryBudget,
    /// Limits on the number of calls at targets.
    pub admission: Admission,
    /// How long work takes at targets at the moment.
    pub speeds: TargetSpeeds,
    /// Division of contended pools by demand.
    pub shares: PoolShares,
    /// This router's share of the calls at cold targets.
    pub cold: ColdShares,
    hall: DataHall,
    cap_factor: f64,
    /// Time for which a leaving target still gets streams that no other target can continue.
    leaving_use_time: Duration,
    swept_at: Instant,
}

/// Interval between sweeps that forget the prompts of targets that are gone: longer than a live target is
/// missing from the list.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

impl Dispatcher {
    /// Creates a dispatcher without targets or learned state.
    pub fn new(hall: DataHall, rules: &Rules) -> Self {
        Self {
            discovery: Discovery::default(),
            load: LoadAccount::new(hall.clone()),
            health: Health::default(),
            doubts: DoubtfulInstances::default(),
            paths: TargetPaths::default(),
            brittle: BrittleTargets::default(),
            withdrawals: Withdrawals::default(),
            cache: PromptCache::default(),
            quarantine: Quarantine::default(),
            budget: RetryBudget::new(rules.budget),
            admission: Admission::new(hall.clone()),
            speeds: TargetSpeeds::default(),
            shares: PoolShares::new(hall.clone(), rules.shares),
            cold: ColdShares::new(rules.cold),
            hall,
            cap_factor: rules.cap_factor,
            leaving_use_time: rules.leaving_use_time,
            swept_at: Instant::default(),
        }
    }

    /// Applies changed rules; counts are kept.
    pub fn set_rules(&mut self, rules: &Rules) {
        self.cap_factor = rules.cap_factor;
        self.leaving_use_time = rules.leaving_use_time;
        self.budget.set_rule(rules.budget);
        self.cold.set_rule(rules.cold);
        self.shares.set_scope(rules.shares);
    }

    /// Chooses a target for a call and reserves a place there; [`Self::on_end`] releases it.
    pub fn choose(&mut self, now: Instant, plan: &CallPlan) -> Result<Ticket, PlacementError> {
        let preselected = self.preselected_targets(now, plan);
        let is_preselected = preselected.is_some();
        let mut scored_targets = 0;
        let scored = preselected.unwrap_or_else(|| self.all_targets(now, plan));
        if scored.targets.is_empty() {
            return Err(match plan.progress.is_begun() {
                true => PlacementError::VersionGone,
                false => self.placement_error(now, &plan.service),
            });
        }
        // A stream that has begun can go on at few targets, and none of its answer may be lost, so it goes
        // before calls that any target can serve.
        let is_begun = plan.progress.is_begun();
        let is_divided = !is_begun && self.count_demand(now, plan, &scored);
        let is_admitted = is_begun || self.admits(now, plan, &scored, is_divided);
        if !is_admitted && !is_divided {
            self.on_refusal(now, plan, PlacementError::AllFull);
            return Err(PlacementError::AllFull);
        }
        scored_targets += scored.targets.len();
        let mut found = match is_divided {
            true => self.select_divided(now, plan, &scored, is_admitted),
            false => self.select(now, plan, &scored),
        };
        let is_sound = found
            .as_ref()
            .is_ok_and(|(_, view)| view.health_status < HealthStatus::Suspected);
        if is_preselected && !is_sound {
            let all = self.all_targets(now, plan);
            scored_targets += all.targets.len();
            found = self.select(now, plan, &all);
        }
        if is_begun
            && matches!(
                found,
                Err(PlacementError::AllFull | PlacementError::AllCold)
            )
        {
            found = self.select_least_loaded(now, plan, &scored);
        }
        let (target, view) = found.inspect_err(|e| self.on_refusal(now, plan, *e))?;
        let mut ticket = Ticket {
            target,
            work: InProgress::one(view.missing + plan.answer),
            answer: plan.answer,
            calls: view.counts.all(),
            scored_targets,
            counted_ago: self.load.age(now),
            missing: view.missing,
            has_read: view.has_read,
            fetch_from: self.fetch_source(now, plan, &view),
            health_status: view.health_status,
            warmth: view.warmth,
            service: plan.service.clone(),
            sent_at: now,
            slot_since: (view.counts.all() < view.slots).then_some(now),
            time_factor: view.time_factor,
            timing: CallTiming::new(now, &view),
            unread: None,
        };
        let first = plan
            .chat
            .and_then(|chat| first_choice(&scored.targets, chat));
        let is_first = first.is_none_or(|t| *t == ticket.target.id);
        self.on_send(now, &mut ticket, plan, is_first);
        Ok(ticket)
    }

    /// Selects the target with the fewest calls per slot of those that were not tried.
    fn select_least_loaded(
        &self,
        now: Instant,
        plan: &CallPlan,
        scored: &ScoredTargets,
    ) -> Result<(Rc<TargetRecord>, TargetView), PlacementError> {
        let context = self.service_context(now, plan);
        let untried = scored
            .targets
            .iter()
            .filter(|t| !plan.tried.contains(&t.id));
        let views = untried.map(|t| (t, self.target_view(now, t, plan, &context, None)));
        let load = |view: &TargetView| f64::from(view.counts.all()) / f64::from(view.slots.max(1));
        let least = views.min_by(|a, b| load(&a.1).total_cmp(&load(&b.1)));
        let (target, view) = least.ok_or(PlacementError::NoTarget)?;
        Ok((Rc::clone(target), view))
    }

    /// Returns the targets that may continue a stream: those of the version that began it. If all of these
    /// are leaving, they are used as long as they surely serve on.
    fn continuing_targets(&self, now: Instant, plan: &CallPlan) -> Vec<Rc<TargetRecord>> {
        let may_continue = |t: &&Rc<TargetRecord>| plan.progress.may_continue_as(self.origin_at(t));
        let serving = self.discovery.serving(&plan.service);
        let accepting = self.withdrawals.accepting(now, serving);
        let ready: Vec<_> = accepting
            .into_iter()
            .filter(may_continue)
            .cloned()
            .collect();
        if !ready.is_empty() {
            return ready;
        }
        let within = self.leaving_use_time;
        let leaving = self.discovery.leaving(now, &plan.service, within);
        let is_open = |t: &&Rc<TargetRecord>| self.withdrawals.get(now, &t.id).is_none();
        leaving
            .filter(may_continue)
            .filter(is_open)
            .cloned()
            .collect()
    }

    /// Returns the origin of streams that begin at a target now. Where its instance is in doubt, that is a version
    /// of its own, so that streams of other origins do not go on there, nor these streams elsewhere.
    pub fn origin_at(&self, target: &TargetRecord) -> StreamOrigin {
        match self.doubts.since(&target.id) {
            Some(since) => StreamOrigin::of_doubtful(target, since),
            None => target.into(),
        }
    }

    /// Records that a stream begins at a target; returns its origin.
    pub fn on_stream_begun(&mut self, now: Instant, target: &TargetRecord) -> StreamOrigin {
        let origin = self.origin_at(target);
        if self.doubts.since(&target.id).is_some() {
            self.discovery.on_unlisted_version(now, origin);
        }
        origin
    }

    /// Records that a target refused a connection.
    pub fn on_connection_refused(&mut self, now: Instant, target: &TargetId) {
        self.health.outages.on_refused(now, target.into());
        self.doubts.on_refused(now, target);
    }

    /// Records that the store is available again, `ago` before now.
    pub fn on_store_available(&mut self, now: Instant, ago: Duration) {
        self.discovery.on_store_available(now, ago);
        self.doubts.on_store_available(now.before(ago));
    }

    /// Returns all targets of the call's service that accept calls.
    fn all_targets(&self, now: Instant, plan: &CallPlan) -> ScoredTargets {
        if plan.progress.is_begun() {
            return ScoredTargets {
                targets: self.continuing_targets(now, plan),
                sample_len: None,
            };
        }
        let serving = self.discovery.serving(&plan.service);
        // Without this filter, 151 of 444 attempts within 7 s failed at three of nine targets that backed
        // off, and calls were sent for 12 s to a target that was leaving (counted from log lines of
        // attempts).
        let targets = self.withdrawals.accepting(now, serving);
        ScoredTargets {
            targets: targets.into_iter().cloned().collect(),
            sample_len: None,
        }
    }

    /// Returns the preselected targets that are scored first when there are very many. Returns `None` if
    /// all targets are to be scored, or if none of the sample accepts calls.
    fn preselected_targets(&self, now: Instant, plan: &CallPlan) -> Option<ScoredTargets> {
        if plan.progress.is_begun() {
            return None;
        }
        let preselected = self.discovery.pools().candidates(plan, &self.cache)?;
        let is_open = |t: &Rc<TargetRecord>| self.withdrawals.get(now, &t.id).is_none();
        let mut targets = preselected.holders;
        let mut sample = preselected.sample;
        targets.retain(is_open);
        sample.retain(is_open);
        let n = sample.len();
        targets.extend(sample);
        (n > 0).then_some(ScoredTargets {
            targets,
            sample_len: Some(n),
        })
    }

    /// Scores targets for a call. Returns the chosen target and its state as seen by the call.
    fn select(
        &mut self,
        now: Instant,
        plan: &CallPlan,
        scored: &ScoredTargets,
    ) -> Result<(Rc<TargetRecord>, TargetView), PlacementError> {
        let targets = &scored.targets;
        let context = self.service_context(now, plan);
        let first = plan.chat.and_then(|chat| first_choice(targets, chat));
        let expected = first.filter(|_| !self.is_history_cached(targets, plan));
        let view = |t: &Rc<TargetRecord>| self.target_view(now, t, plan, &context, expected);
        let mut views: Vec<TargetView> = targets.iter().map(view).collect();
        if let Some(warm_up) = plan.warm_up.filter(|_| self.discovery.may_be_cold()) {
            for (view, target) in views.iter_mut().zip(targets) {
                if self
                    .discovery
                    .cold_until(now, target, warm_up.duration)
                    .is_some()
                {
                    let cold = &mut self.cold;
                    view.warmth = cold.warmth(now, &target.id, warm_up);
                }
            }
        }
        let pools = self.discovery.pools();
        let request = PlacementRequest {
            key: plan.key(),
            call: plan.hash,
            survival: context.survival,
            has_shared_prompt: !plan.shared_parts().is_empty() && plan.chat.is_none(),
            is_chat: plan.chat.is_some(),
            surge: plan.surge,
            repeatable: plan.kind.is_repeatable(),
            cap_factor: self.cap_factor,
            calls_per_slot: scored
                .sample_len
                .and_then(|_| pools.calls_per_slot(&plan.service, &self.load)),
        };
        let sample = scored.sample_len.unwrap_or(views.len());
        let i = choose_with_sample(&views, &views[views.len() - sample..], &request)?;
        Ok((Rc::clone(&targets[i]), views.swap_remove(i)))
    }

    fn service_context(&self, now: Instant, plan: &CallPlan) -> ServiceContext {
        let capacity = self.admission.capacity_estimate(now, &plan.service);
        ServiceContext {
            survival: Survival::new(self.load.age(now), capacity.slot_time),
            limit: self.admission.limit(&plan.service, plan.goal),
            least_missing: self.least_missing(now, plan),
            can_fetch: plan.engine.is_some_and(|e| e.can_fetch_prompts),
        }
    }

    /// Records the first event of an answer: the target has read the prompt.
    pub fn on_first_event(&mut self, now: Instant, ticket: &mut Ticket) {
        let target = &ticket.target.id;
        self.health.on_activity(now, target);
        self.doubts.on_answered(now, ticket.sent_at, target);
        self.load.on_end(target, ticket.work);
        ticket.work = InProgress::one(ticket.answer);
        self.load.on_send(target, ticket.work);
        let timing = ticket.timing.take();
        self.on_call_time(now, ticket, timing);
        // The first event shows that the call has a slot, even if it had to wait for one.
        ticket.slot_since = ticket.slot_since.or(Some(now));
        if let Some(sent) = ticket.unread.take() {
            let target = &ticket.target.id;
            self.cache
                .on_send(target, &sent.parts, sent.announced, sent.memory);
        }
    }

    /// Records the load that a target reported in an answer.
    pub fn on_load_report(&mut self, now: Instant, target: &TargetId, load: ReportedLoad) {
        self.load.on_report(now, target, load);
        self.speeds.on_report(now, target, load.slowdown);
    }

    fn on_call_time(&mut self, now: Instant, ticket: &Ticket, timing: Option<CallTiming>) {
        if let Some(CallTiming { since, work }) = timing {
            let (service, target) = (&ticket.service, &ticket.target.id);
            self.speeds
                .on_call_time(now, service, target, work, now.since(since));
        }
    }

    /// Records that a call ended at its target. `outcome` is `None` if the call was abandoned before its
    /// end. Returns the target's new health status if it changed.
    pub fn on_end(
        &mut self,
        now: Instant,
        ticket: &Ticket,
        outcome: Option<Outcome>,
    ) -> Option<HealthStatus> {
        let target = &ticket.target.id;
        self.load.on_end(target, ticket.work);
        self.observe_attempt_end(now, ticket, outcome);
        if outcome == Some(Outcome::Good) {
            (self.health.outages).on_answered(ticket.sent_at, target.into());
            self.doubts.on_answered(now, ticket.sent_at, target);
            self.on_call_time(now, ticket, ticket.timing);
        }
        if let (Some(Outcome::Good), Some(since)) = (outcome, ticket.slot_since) {
            self.admission
                .on_slot_time(&ticket.service, now.since(since));
        }
        match outcome {
            Some(outcome) => self.health.on_outcome(now, target, outcome),
            None => {
                self.health.on_abandon(target);
                None
            }
        }
    }

    /// Returns the targets to report to peers as unresponsive. Those to which this router may have lost its
    /// path are left out.
    pub fn suspected_targets(&self, now: Instant) -> Vec<TargetHash> {
        match self.paths.is_cut_off() {
            true => Vec::new(),
            false => self
                .health
                .unresponsive_targets(now, |id| !self.paths.is_failing(id)),
        }
    }

    /// Returns the outages to announce to peers; none while this router may be cut off itself.
    pub fn outage_notices(&self, now: Instant) -> Vec<OutageNotice> {
        match self.paths.is_cut_off() {
            true => Vec::new(),
            false => self.health.outages.notices(now),
        }
    }

    /// Drops expired state and all state of targets that are gone; returns these targets.
    pub fn on_tick(&mut self, now: Instant) -> Vec<TargetId> {
        self.load.on_tick(now);
        let gone = self.discovery.on_tick(now);
        let discovery = &self.discovery;
        let listed = |id: &TargetId| discovery.get(id).is_some();
        self.health.retain(listed);
        self.paths.retain(listed);
        self.brittle.on_tick(now);
        self.health.outages.on_tick(now);
        self.doubts.on_tick(now);
        self.cold.on_tick(now);
        self.admission.on_tick(now);
        self.speeds.on_tick(now, listed);
        self.shares.on_tick(now);
        if now.since(self.swept_at) >= SWEEP_INTERVAL {
            self.swept_at = now;
            self.cache.sweep(listed);
        }
        gone
    }

    /// Returns why a service has no target. Records a refusal for lack of room unless the reason is
    /// `NoTarget`, as the other reasons hold only for a while.
    fn placement_error(&mut self, now: Instant, service: &ServiceName) -> PlacementError {
        let serving = self.discovery.serving(service);
        let reason = match self.withdrawals.all_withdrawn(now, serving) {
            Some(reason) if !serving.is_empty() => reason,
            _ if self.discovery.is_evacuated(service) => PlacementError::AllEvacuated,
            _ => return PlacementError::NoTarget,
        };
        self.admission.on_refused(now, service);
        reason
    }

    /// Records that a target withdrew. Returns whether the target accepted calls until now, or is leaving
    /// after it only backed off.
    pub fn on_withdrawal(
        &mut self,
        now: Instant,
        target: &TargetId,
        withdrawal: Withdrawal,
    ) -> bool {
        let is_news = self.withdrawals.on_withdrawal(now, target, withdrawal);
        // Peers are notified, so that they prefer other targets too. When a third of the targets back off,
        // 9,300 to 23,400 attempts are turned away until each of hundreds of routers has tried each of
        // these targets, and 630 to 2,260 with the notification (`tests/load/withdrawals.rs`).
        if withdrawal.backoff().is_some() {
            self.health.outages.on_refused(now, target.into());
        }
        is_news
    }

    /// Returns when a caller that found no room should retry, if it waits for `left` in all. `draw`, from 0
    /// to 1, spreads the retries of callers that were refused together.
    pub fn retry_after(
        &self,
        now: Instant,
        service: &ServiceName,
        left: Duration,
        draw: f64,
    ) -> Duration {
        match self.backoff_remaining(now, service) {
            Some(backoff) => withdrawals::retry_after(backoff, draw),
            None => self.admission.retry_after(now, service, left, draw),
        }
    }

    /// Returns the time until the first target of a service accepts calls again; `None` if a target accepts
    /// calls now, or if all are leaving.
    pub fn backoff_remaining(&self, now: Instant, service: &ServiceName) -> Option<Duration> {
        let serving = self.discovery.serving(service);
        match self.withdrawals.all_withdrawn(now, serving)? {
            PlacementError::AllBackedOff { left } => Some(left),
            _ => None,
        }
    }

    /// Returns the health of a target; one out of reach of this router is at least suspected.
    pub fn status(&self, now: Instant, target: &TargetRecord) -> HealthStatus {
        status(&self.health, &self.paths, now, target)
    }

    /// Records that a call was sent. `is_first` tells whether peers expect the chat at this target: then
    /// they are notified of the shared parts of the prompt only, otherwise of all parts but the last.
    ///
    /// A target counts as having read the prompt from then on, so that other calls that share it follow, but
    /// only once the answer begins if another attempt of the call may still be preferred.
    fn on_send(&mut self, now: Instant, ticket: &mut Ticket, plan: &CallPlan, is_first: bool) {
        let target = &ticket.target.id;
        self.load.on_send(target, ticket.work);
        if ticket.warmth == Warmth::Shared {
            self.cold.on_send(now, target);
        }
        self.health.on_send(now, target, !plan.prompt.is_empty());
        let announced = match is_first {
            true => plan.shared_parts().len(),
            false => plan.prompt.len().saturating_sub(1),
        };
        let memory = plan
            .engine
            .map_or(DEFAULT_MEMORY_TOKENS, |e| e.memory_tokens);
        match plan.is_overlapping {
            _ if plan.prompt.is_empty() => {}
            true => {
                ticket.unread = Some(SentPrompt {
                    parts: plan.prompt.clone(),
                    announced,
                    memory,
                });
            }
            false => self.cache.on_send(target, &plan.prompt, announced, memory),
        }
    }

    /// Returns the targets of the call's service whose memory can be reached, including targets that are
    /// leaving; none if the call shares no part of its prompt. Suspect targets are excluded, because
    /// everything to be fetched from an engine that is down has to be read again: 2.2 M of 16.1 M tokens to
    /// be fetched within 35 s, in which a sixth of 240 engines went down once (counted from log lines of
    /// attempts).
    fn fetch_sources(
        &self,
        now: Instant,
        plan: &CallPlan,
    ) -> impl Iterator<Item = &Rc<TargetRecord>> {
        let has_many_targets =
            self.discovery.serving(&plan.service).len() >= PRESELECTION_THRESHOLD;
        let shares = !plan.shared_parts().is_empty();
        let all = self
            .discovery
            .all()
            .filter(move |_| shares && !has_many_targets);
        let holders = self
            .deepest_holders(plan)
            .iter()
            .filter(move |_| has_many_targets);
        let holders = holders.filter_map(|id| self.discovery.get(id));
        let service = plan.service.clone();
        all.chain(holders)
            .filter(move |t| t.service == service && self.status(now, t) < HealthStatus::Suspected)
    }

    /// Returns the targets that have read the deepest shared part of the prompt that any target has read.
    fn deepest_holders(&self, plan: &CallPlan) -> &[TargetId] {
        let shared = plan.shared_parts().iter().rev();
        let mut holders = shared.map(|part| self.cache.holders(part.id));
        holders.find(|h| !h.is_empty()).unwrap_or_default()
    }

    /// Returns whether a target is known to have read the chat's history. If none is, the chat's first
    /// choice is assumed to have read it.
    fn is_history_cached(&self, targets: &[Rc<TargetRecord>], plan: &CallPlan) -> bool {
        let new = plan.new_tokens();
        let knows = |t: &Rc<TargetRecord>| self.cache.missing(&t.id, &plan.prompt) <= new;
        plan.has_history() && targets.iter().any(knows)
    }

    /// Returns the minimum over all targets of the tokens that they would have to read of the prompt.
    fn least_missing(&self, now: Instant, plan: &CallPlan) -> Option<Tokens> {
        let missing = |t: &Rc<TargetRecord>| self.cache.missing(&t.id, &plan.prompt);
        self.fetch_sources(now, plan).map(missing).min()
    }

    /// Returns the target from which the chosen target copies the prompt, if another one has read much more
    /// of it.
    fn fetch_source(
        &self,
        now: Instant,
        plan: &CallPlan,
        chosen: &TargetView,
    ) -> Option<Rc<TargetRecord>> {
        if !plan.engine.is_some_and(|e| e.can_fetch_prompts) {
            return None;
        }
        let missing = |t: &&Rc<TargetRecord>| self.cache.missing(&t.id, &plan.prompt);
        let source = self.fetch_sources(now, plan).min_by_key(missing)?;
        let saved = chosen.missing.saturating_sub(missing(&source));
        (saved >= MIN_FETCH_TOKENS).then(|| Rc::clone(source))
    }

    fn target_view(
        &self,
        now: Instant,
        target: &Rc<TargetRecord>,
        plan: &CallPlan,
        context: &ServiceContext,
        expected_at: Option<&TargetId>,
    ) -> TargetView {
        let id = &target.id;
        let mut missing = self.cache.missing(id, &plan.prompt);
        if expected_at == Some(id) {
            missing = missing.min(plan.new_tokens());
        }
        let deepest = plan.shared_parts().last();
        let read_elsewhere = context.read_elsewhere(missing);
        let traits = CallTraits {
            has_cache_affinity: read_elsewhere < MIN_FETCH_TOKENS,
            is_surging: plan.surge.is_surging(),
        };
        let time_factor = self.speeds.factor(now, id);
        TargetView {
            health_status: self.status(now, target),
            counts: self.load.call_counts(now, id),
            backlog: self.load.backlog(id, context.survival),
            missing,
            fetchable: if context.can_fetch {
                read_elsewhere
            } else {
                Tokens(0)
            },
            has_read: deepest.is_some_and(|p| self.cache.has_read(id, p.id)),
            cached_tokens: self.cache.cached_tokens(id),
            slots: target.slots,
            max_calls: context.limit.max_calls(target.slots, traits),
            max_calls_at_speed: context
                .limit
                .at_speed(time_factor)
                .max_calls(target.slots, traits),
            time_factor,
            max_tokens: target.max_tokens,
            warmth: Warmth::Warm,
            in_local_hall: target.data_hall == self.hall,
            tried: plan.tried.contains(id),
            target: id.clone(),
        }
    }
}

/// The same as [`Dispatcher::status`], for callers that borrow parts of the dispatcher.
fn status(
    health: &Health,
    paths: &TargetPaths,
    now: Instant,
    target: &TargetRecord,
) -> HealthStatus {
    let status = health.status(now, &target.id);
    match paths.is_out_of_reach(now, target) {
        true => status.max(HealthStatus::Suspected),
        false => status,
    }
}

/// Returns the target that rendezvous hashing selects for a chat.
fn first_choice(targets: &[Rc<TargetRecord>], chat: ConversationKey) -> Option<&TargetId> {
    let first = targets
        .iter()
        .max_by_key(|t| rendezvous_hash(chat.0, &t.id));
    first.map(|t| &t.id)
}
