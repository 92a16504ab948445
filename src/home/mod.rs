//! Admission at the home router of one target: the exact account of its work in progress,
//! the bound, and the queue.
//!
//! A request is admitted while the target's tokens stay within the admission factor times the
//! pool's mean (Mirrokni, Thorup, Zadimoghaddam 2018, "consistent hashing with bounded loads"),
//! and within the target's own capacity. Where requests are few and large against the mean, no
//! placement stays inside the factor; so a target that is below the mean may always take one
//! more, and an idle one may always run one.
//! Two routers may both believe for some seconds that they are home. Each then counts what it
//! admitted since the target's last report twice, once for the other, so that both together
//! stay inside the bound.

mod offer;

use std::{
    collections::{BTreeMap, HashMap},
    num::NonZeroUsize,
    time::Duration,
};

use lru::LruCache;

use crate::{
    breaker::Breaker,
    conversation::ConversationTable,
    ids::ConversationKey,
    load::{Load, PoolView},
    result_code::ResultCode,
    units::{Instant, LoadBound, Priority, Tokens, Weight},
    walk::Wait,
};

/// How long a router that became home counts with another that has not noticed.
pub const DOUBT: Duration = Duration::from_secs(4);

/// How long a target takes from its joining to its full share.
pub const RAMP: Duration = Duration::from_secs(10);

/// Conversations that a home remembers to have run at its target, as a guess at its cache.
pub const REMEMBERED: NonZeroUsize = NonZeroUsize::new(8_192).unwrap();

/// A waiting request gains one step of priority in this time, so that none starves.
pub const AGEING: Duration = Duration::from_secs(5);

/// How long a returning chat waits where its cached work is before it goes elsewhere, by
/// priority; about the time that computing its prompt anew would take.
const PATIENCE: [Duration; 3] = [
    Duration::from_millis(100),
    Duration::from_millis(400),
    Duration::from_millis(1_500),
];

/// How long a request waits at one target before it looks for room elsewhere again.
const WAIT_HERE: Duration = Duration::from_secs(1);

/// How many returning chats wait so at one target.
const PATIENT: usize = 8;

/// How many requests wait at one target before the least urgent is refused.
pub const QUEUE_LIMIT: usize = 256;

pub use offer::{Offer, TargetReport, Ticket, Verdict, Wake};

/// A request that waits, until when, and what it is told then.
#[derive(Debug, Clone)]
struct Waiting {
    offer: Offer,
    until: Instant,
    code: ResultCode,
}

/// The account of one target.
#[derive(Debug)]
pub struct Home {
    weight: Weight,
    capacity: Option<Tokens>,
    bound: LoadBound,
    running: HashMap<Ticket, (Instant, Tokens)>,
    own: Tokens,
    foreign: Tokens,
    reported: bool,
    report_covers: Instant,
    doubt_until: Instant,
    joined: Option<Instant>,
    waiting: BTreeMap<(Instant, Ticket), Waiting>,
    conversations: ConversationTable,
    served: LruCache<ConversationKey, ()>,
    breaker: Breaker,
}

impl Home {
    /// The account of a target that this router is home of from `now` on.
    ///
    /// `in_doubt` says that another router may believe the same.
    pub fn new(now: Instant, weight: Weight, bound: LoadBound, in_doubt: bool) -> Self {
        Self {
            weight,
            capacity: None,
            bound,
            running: HashMap::new(),
            own: Tokens(0),
            foreign: Tokens(0),
            reported: !in_doubt,
            report_covers: now,
            doubt_until: if in_doubt { now + DOUBT } else { now },
            joined: None,
            waiting: BTreeMap::new(),
            conversations: ConversationTable::default(),
            served: LruCache::new(REMEMBERED),
            breaker: Breaker::default(),
        }
    }

    /// Takes the target's figures from a configuration.
    pub fn set_target(&mut self, weight: Weight, capacity: Option<Tokens>) {
        self.weight = weight;
        self.capacity = capacity;
    }

    /// Says that the target has just joined, so that it gets its share little by little.
    pub fn on_joined(&mut self, now: Instant) {
        self.joined = Some(now);
    }

    /// Says that another router may believe that it is home, from `now` on.
    pub fn on_doubt(&mut self, now: Instant) {
        self.doubt_until = now + DOUBT;
    }

    /// Whether another router may believe that it is home.
    pub fn in_doubt(&self, now: Instant) -> bool {
        now < self.doubt_until
    }

    /// The capacity of the target beside the others.
    pub fn weight(&self) -> Weight {
        self.weight
    }

    /// The tokens at the target: those admitted here, and others' that it reported.
    pub fn tokens(&self) -> Tokens {
        self.own + self.foreign
    }

    /// The load with what another router may have admitted that believes itself home: as much
    /// as this one since the target's last report.
    pub fn load(&self, now: Instant) -> Load {
        let since_report = self
            .running
            .values()
            .filter(|(at, _)| *at > self.report_covers);
        let doubtful = match self.in_doubt(now) {
            true => since_report.map(|(_, cost)| *cost).sum(),
            false => Tokens(0),
        };
        Load {
            tokens: self.tokens(),
            doubtful,
        }
    }

    /// The requests admitted here that have not ended.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// The requests that wait here.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// What became of requests that were sent to the target.
    pub fn breaker(&mut self) -> &mut Breaker {
        &mut self.breaker
    }

    /// Whether the target fails and gets nothing now.
    pub fn is_open(&self, now: Instant) -> bool {
        self.breaker.is_open(now)
    }

    /// Whether something waits that found no room anywhere.
    pub fn lacks_room(&self) -> bool {
        self.waiting.values().any(|w| w.offer.wait == Wait::ForRoom)
    }

    /// Where the conversations went whose first choice this target is.
    pub fn conversations(&mut self) -> &mut ConversationTable {
        &mut self.conversations
    }

    /// Decides on a request.
    pub fn on_offer(&mut self, now: Instant, offer: Offer, pool: PoolView) -> Verdict {
        match offer.wait {
            _ if self.breaker.is_open(now) => Verdict::Declined {
                code: ResultCode::NoTarget,
                redirect: Vec::new(),
            },
            _ if self.would_admit(now, &offer, pool) => {
                self.admit(now, &offer);
                Verdict::Admitted
            }
            Wait::ForRoom if self.make_place(&offer) => {
                let here = now + WAIT_HERE;
                let (until, code) = match offer.deadline <= here {
                    true => (offer.deadline, ResultCode::QueueTimeout),
                    false => (here, ResultCode::OverBound),
                };
                self.wait(now, offer, until, code);
                Verdict::Queued
            }
            Wait::ForCache if self.is_worth_a_wait(&offer) => {
                let patience = PATIENCE[offer.priority.rank() as usize];
                let until = offer.deadline.min(now + patience);
                self.wait(now, offer, until, ResultCode::OverBound);
                Verdict::Queued
            }
            wait => Verdict::Declined {
                code: match wait {
                    Wait::ForRoom => ResultCode::Overloaded,
                    _ => ResultCode::OverBound,
                },
                redirect: Vec::new(),
            },
        }
    }

    /// Whether an offer would run at once.
    pub fn would_admit(&self, now: Instant, offer: &Offer, pool: PoolView) -> bool {
        self.waiting.is_empty() && self.has_room(now, offer, pool)
    }

    /// A request ended, was cancelled, or gave up waiting.
    pub fn on_finish(&mut self, now: Instant, ticket: Ticket, pool: PoolView) -> Vec<Wake> {
        self.waiting.retain(|(_, t), _| *t != ticket);
        if let Some((_, cost)) = self.running.remove(&ticket) {
            self.own = self.own.less(cost);
        }
        self.on_tick(now, pool)
    }

    /// Takes the target's own figure; what is not ours in it is others' work.
    pub fn on_report(&mut self, now: Instant, report: TargetReport) {
        let covers = Instant(now.0.saturating_sub(report.lag));
        if covers < self.report_covers {
            return;
        }
        let ours_then: Tokens = self
            .running
            .values()
            .filter(|(at, _)| *at <= covers)
            .map(|(_, cost)| *cost)
            .sum();
        self.foreign = report.tokens.less(ours_then);
        self.report_covers = covers;
        self.reported = true;
    }

    /// The target does not tell its load; what was admitted here is all that can be known.
    pub fn on_no_report(&mut self) {
        self.reported = true;
    }

    /// Admits what has room and refuses what is too late.
    pub fn on_tick(&mut self, now: Instant, pool: PoolView) -> Vec<Wake> {
        let mut wakes = self.refuse_late(now);
        if self.breaker.is_open(now) {
            wakes.extend(self.refuse_waiting(ResultCode::NoTarget));
        }
        while let Some(key) = self.next_waiting(now) {
            let offer = self.waiting[&key].offer.clone();
            if !self.has_room(now, &offer, pool_after(pool, &wakes, offer.cost)) {
                break;
            }
            self.waiting.remove(&key);
            self.admit(now, &offer);
            wakes.push(Wake::Admitted(key.1));
        }
        wakes
    }

    /// Refuses all that waits, because the target leaves or this router is home no more.
    pub fn refuse_waiting(&mut self, code: ResultCode) -> Vec<Wake> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting
            .into_keys()
            .map(|(_, t)| Wake::Refused(t, code))
            .collect()
    }

    fn has_room(&self, now: Instant, offer: &Offer, pool: PoolView) -> bool {
        let cost = offer.cost;
        let Load { tokens, doubtful } = self.load(now);
        let load = tokens + doubtful;
        let after = load + cost;
        let mean = match self.in_doubt(now) {
            true => pool.doubtful_mean_with(self.weight, cost),
            false => pool.mean_with(self.weight, cost),
        };
        let mean = mean * self.ramp(now);
        match self.capacity {
            _ if load.0 == 0 && self.running.is_empty() => true,
            _ if !self.reported && self.in_doubt(now) => false,
            Some(c) if after > c => false,
            _ if (load.0 as f64) < mean && offer.wait == Wait::ForRoom => true,
            _ => after.0 as f64 <= mean * self.admission_factor(offer),
        }
    }

    /// A returning chat may use the room up to the bound, since its cached work is here; any
    /// other leaves that room to those.
    fn admission_factor(&self, offer: &Offer) -> f64 {
        match self.served.contains(&offer.conversation) || offer.wait == Wait::ForRoom {
            true => self.bound.returning_factor(),
            false => self.bound.other_factor(),
        }
    }

    /// The part of its share that a target gets that has joined lately.
    fn ramp(&self, now: Instant) -> f64 {
        match self.joined {
            None => 1.0,
            Some(at) => (0.5 + now.since(at).as_secs_f64() / RAMP.as_secs_f64()).min(1.0),
        }
    }

    fn admit(&mut self, now: Instant, offer: &Offer) {
        self.own += offer.cost;
        self.breaker.on_send();
        self.running.insert(offer.ticket, (now, offer.cost));
        self.served.put(offer.conversation, ());
    }

    fn wait(&mut self, now: Instant, offer: Offer, until: Instant, code: ResultCode) {
        let key = (now, offer.ticket);
        self.waiting.insert(key, Waiting { offer, until, code });
    }

    fn is_worth_a_wait(&self, offer: &Offer) -> bool {
        let returning = self.served.contains(&offer.conversation);
        returning && self.waiting.len() < PATIENT
    }

    /// Makes a place in the queue, by turning a less urgent request out where it is full.
    fn make_place(&mut self, offer: &Offer) -> bool {
        let last = self.waiting.values().map(|w| w.offer.priority).max();
        match last {
            _ if self.waiting.len() < QUEUE_LIMIT => true,
            Some(p) if p > offer.priority => self.turn_out(p),
            _ => false,
        }
    }

    /// Lets the youngest request of a priority end at the next tick.
    fn turn_out(&mut self, priority: Priority) -> bool {
        let mut youngest = self.waiting.values_mut().rev();
        if let Some(w) = youngest.find(|w| w.offer.priority == priority) {
            w.until = Instant::default();
            w.code = ResultCode::Overloaded;
        }
        true
    }

    fn refuse_late(&mut self, now: Instant) -> Vec<Wake> {
        let late = self.waiting.extract_if(.., |_, w| w.until <= now);
        late.map(|((_, t), w)| Wake::Refused(t, w.code)).collect()
    }

    fn next_waiting(&self, now: Instant) -> Option<(Instant, Ticket)> {
        let step = |since: Instant| (now.since(since).as_millis() / AGEING.as_millis()) as i32;
        let urgency = |since, w: &Waiting| w.offer.priority.rank() - step(since);
        self.waiting
            .iter()
            .min_by_key(|((since, t), w)| (urgency(*since, w), *since, *t))
            .map(|(k, _)| *k)
    }
}

/// The pool's view does not hold what this very tick admitted; the cost stands in for each.
fn pool_after(pool: PoolView, wakes: &[Wake], cost: Tokens) -> PoolView {
    let admitted = wakes
        .iter()
        .filter(|w| matches!(w, Wake::Admitted(_)))
        .count() as u64;
    let mut pool = pool;
    pool.load.tokens += Tokens(cost.0 * admitted);
    pool
}
