//! Accounting of the bytes that a router holds for callers and targets, and the decision which callers are
//! given up because they read too slowly.
//!
//! Bytes of an answer are held from their arrival until they are written to the caller's socket. They are
//! offered to the caller from the moment at which the caller could read them. Bytes of a request are held
//! until its call ends.

mod bounds;

use std::{collections::HashMap, rc::Rc, time::Duration};

pub use bounds::{FlowBounds, GiveUpReason};

use crate::{ids::ClientAccountId, units::Instant};

/// Time without progress after which a caller is given up. It is longer than common interruptions of a
/// network path, and shorter than the 6 s after which the operating system closes such a connection.
pub const STALL_LIMIT: Duration = Duration::from_secs(5);

/// Time without progress from which a caller counts as not reading when a shared bound is reached. A caller
/// that reads makes progress within a few round trips.
const READING_PAUSE: Duration = Duration::from_secs(1);

/// Maximum time that one tick adds to the stall of a caller, so that a suspension of the router is not
/// counted as one of its callers.
const MAX_TICK: Duration = Duration::from_millis(500);

/// Identifies an answer within one [`Flow`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AnswerId(u64);

/// A caller that is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GivenUp {
    /// Its answer.
    pub answer: AnswerId,
    /// Reason why it is given up.
    pub reason: GiveUpReason,
    /// Bytes held for it.
    pub held: usize,
    /// Time for which it has read nothing.
    pub stalled: Duration,
    /// Whether it could read a part of its answer. If not, its call can still be refused.
    pub has_begun: bool,
}

/// Decision about further bytes of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use]
pub enum HoldVerdict {
    /// The bytes are held.
    Held,
    /// The bytes are not held yet, because those of callers that were given up are still being released.
    Wait,
    /// The bytes are not held yet. These callers are given up; it may be the caller of the answer itself.
    GiveUp(Vec<GivenUp>),
}

/// Stage of an answer, in order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    /// The target has not sent all of it.
    #[default]
    InProgress,
    /// The target has sent all of it.
    Complete,
    /// Its caller was given up, or its call refused.
    GivenUp,
}

/// What is known of one answer.
#[derive(Debug)]
struct Answer {
    account: Option<Rc<ClientAccountId>>,
    held: usize,
    /// Part of `held` that its caller could read.
    offered: usize,
    stage: Stage,
    is_stream: bool,
    /// Whether any of it was offered to its caller.
    has_begun: bool,
    /// Time without progress while bytes were offered.
    stalled: Duration,
}

/// Bytes that a router holds, by answer and account.
#[derive(Debug)]
pub struct Flow {
    bounds: FlowBounds,
    answers: HashMap<AnswerId, Answer>,
    accounts: HashMap<Rc<ClientAccountId>, usize>,
    last_id: u64,
    held: usize,
    peak: usize,
    request_bytes: usize,
    last_tick: Instant,
}

impl Flow {
    /// Creates an account that holds nothing.
    pub fn new(bounds: FlowBounds) -> Self {
        Self {
            bounds,
            answers: HashMap::new(),
            accounts: HashMap::new(),
            last_id: 0,
            held: 0,
            peak: 0,
            request_bytes: 0,
            last_tick: Instant::default(),
        }
    }

    /// Returns the bounds.
    pub fn bounds(&self) -> FlowBounds {
        self.bounds
    }

    /// Returns the bytes held for all answers.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns the largest number of bytes that were held for all answers at once.
    pub fn peak(&self) -> usize {
        self.peak
    }

    /// Returns the bytes held for the answers to an account.
    pub fn held_for(&self, account: &ClientAccountId) -> usize {
        self.accounts.get(account).copied().unwrap_or(0)
    }

    /// Returns the bytes held for one answer.
    pub fn held_of(&self, id: AnswerId) -> usize {
        self.answers.get(&id).map_or(0, |a| a.held)
    }

    /// Returns the account with the most bytes held, and their number.
    pub fn largest_account(&self) -> Option<(&ClientAccountId, usize)> {
        let largest = self.accounts.iter().max_by_key(|(_, held)| **held);
        largest.map(|(account, held)| (&**account, *held))
    }

    /// Returns the bytes held for request bodies.
    pub fn request_bytes(&self) -> usize {
        self.request_bytes
    }

    /// Starts the accounting of an answer: a stream, or an answer that is read completely before it is
    /// passed on. Answers without an account are bounded for the router only.
    pub fn open(&mut self, account: Option<&ClientAccountId>, is_stream: bool) -> AnswerId {
        self.last_id += 1;
        let id = AnswerId(self.last_id);
        let answer = Answer {
            account: account.map(|a| Rc::new(a.clone())),
            held: 0,
            offered: 0,
            stage: Stage::default(),
            is_stream,
            has_begun: false,
            stalled: Duration::ZERO,
        };
        self.answers.insert(id, answer);
        id
    }

    /// Ends the accounting of an answer and releases what is still held for it.
    pub fn close(&mut self, id: AnswerId) {
        let held = self.held_of(id);
        self.release(id, held, 0);
        self.answers.remove(&id);
    }

    /// Decides whether `n` further bytes of an answer may be held, and counts them if so.
    pub fn hold(&mut self, id: AnswerId, n: usize) -> HoldVerdict {
        let Some(answer) = self.answers.get(&id).filter(|a| a.stage != Stage::GivenUp) else {
            return HoldVerdict::Wait;
        };
        let account = answer.account.clone();
        let account = account.as_ref();
        let is_over_stream = answer.is_stream && answer.held + n > self.bounds.stream;
        let account_held = account.map(|a| self.held_for(a));
        let is_over_account = account_held.is_some_and(|held| held + n > self.bounds.account);
        match () {
            () if is_over_stream => {
                HoldVerdict::GiveUp(vec![self.give_up(id, GiveUpReason::StreamBound)])
            }
            () if is_over_account => {
                let excess = account_held.unwrap_or(0) + n - self.bounds.account;
                self.make_room(id, excess, account, GiveUpReason::AccountBound)
            }
            () if self.held + n > self.bounds.router => {
                let excess = self.held + n - self.bounds.router;
                self.make_room(id, excess, None, GiveUpReason::RouterBound)
            }
            () => {
                self.count(id, account, n);
                HoldVerdict::Held
            }
        }
    }

    fn count(&mut self, id: AnswerId, account: Option<&Rc<ClientAccountId>>, n: usize) {
        if let Some(answer) = self.answers.get_mut(&id) {
            answer.held += n;
        }
        if let Some(account) = account {
            *self.accounts.entry(Rc::clone(account)).or_default() += n;
        }
        self.held += n;
        self.peak = self.peak.max(self.held);
    }

    /// Gives up callers until `excess` bytes will be released: of one account, or of all.
    fn make_room(
        &mut self,
        id: AnswerId,
        excess: usize,
        account: Option<&Rc<ClientAccountId>>,
        reason: GiveUpReason,
    ) -> HoldVerdict {
        let is_concerned = |a: &Answer| account.is_none() || a.account.as_ref() == account;
        let concerned = self.answers.values().filter(|a| is_concerned(a));
        let mut released: usize = concerned
            .filter(|a| a.stage == Stage::GivenUp)
            .map(|a| a.held)
            .sum();
        let mut given_up = Vec::new();
        while released < excess {
            let candidates = self.answers.iter().filter(|(_, a)| is_concerned(a));
            let slowest = candidates.filter_map(|(id, a)| Some((a.slowness()?, *id)));
            // Without a candidate, all others are complete and read, so the answer that grows is the one for
            // which there is no room.
            let victim = slowest.max().map_or(id, |(_, id)| id);
            let victim = self.give_up(victim, reason);
            released += victim.held;
            given_up.push(victim);
            if victim.answer == id {
                break;
            }
        }
        match given_up.is_empty() {
            true => HoldVerdict::Wait,
            false => HoldVerdict::GiveUp(given_up),
        }
    }

    fn give_up(&mut self, id: AnswerId, reason: GiveUpReason) -> GivenUp {
        let answer = self.answers.get_mut(&id);
        let (held, stalled, has_begun) = answer.map_or((0, Duration::ZERO, true), |a| {
            a.stage = Stage::GivenUp;
            (a.held, a.stalled, a.has_begun)
        });
        GivenUp {
            answer: id,
            reason,
            held,
            stalled,
            has_begun,
        }
    }

    /// Handles `n` held bytes of an answer that its caller can read from now on.
    pub fn offer(&mut self, id: AnswerId, n: usize) {
        if let Some(answer) = self.answers.get_mut(&id) {
            if answer.offered == 0 {
                answer.stalled = Duration::ZERO;
            }
            answer.offered += n;
            answer.has_begun = true;
        }
    }

    /// Handles progress of an answer's caller: some of the offered bytes were written to its socket.
    pub fn on_progress(&mut self, id: AnswerId) {
        if let Some(answer) = self.answers.get_mut(&id) {
            answer.stalled = Duration::ZERO;
        }
    }

    /// Records that the target has sent all of an answer.
    pub fn on_complete(&mut self, id: AnswerId) {
        if let Some(answer) = self.answers.get_mut(&id) {
            answer.stage = answer.stage.max(Stage::Complete);
        }
    }

    /// Releases `n` bytes of an answer, of which `offered` had been offered to its caller.
    pub fn release(&mut self, id: AnswerId, n: usize, offered: usize) {
        let Some(answer) = self.answers.get_mut(&id) else {
            return;
        };
        let n = n.min(answer.held);
        answer.held -= n;
        answer.offered = answer.offered.saturating_sub(offered);
        self.held -= n;
        let Some(account) = &answer.account else {
            return;
        };
        if let Some(held) = self.accounts.get_mut(account) {
            *held = held.saturating_sub(n);
            if *held == 0 {
                self.accounts.remove(account);
            }
        }
    }

    /// Returns whether `n` further bytes of request bodies fit into their bound.
    pub fn has_room_for_request(&self, n: usize) -> bool {
        self.request_bytes.saturating_add(n) <= self.bounds.requests
    }

    /// Counts `n` bytes of a request body if they fit into the bound, and returns whether they do.
    pub fn hold_request(&mut self, n: usize) -> bool {
        let has_room = self.has_room_for_request(n);
        if has_room {
            self.request_bytes += n;
        }
        has_room
    }

    /// Releases `n` bytes of a request body.
    pub fn release_request(&mut self, n: usize) {
        self.request_bytes = self.request_bytes.saturating_sub(n);
    }

    /// Gives up the caller of an answer whose connection the operating system closed because nothing was
    /// acknowledged. Returns `None` if the answer is over or its caller was given up before.
    pub fn on_timed_out(&mut self, id: AnswerId) -> Option<GivenUp> {
        self.answers
            .get(&id)
            .filter(|a| a.stage != Stage::GivenUp)?;
        Some(GivenUp {
            // Without a connection, its call can't be refused.
            has_begun: true,
            ..self.give_up(id, GiveUpReason::NotReading)
        })
    }

    /// Measures the time without progress, and gives up the callers that have read nothing for
    /// [`STALL_LIMIT`].
    pub fn on_tick(&mut self, now: Instant) -> Vec<GivenUp> {
        let step = now.since(self.last_tick).min(MAX_TICK);
        self.last_tick = now;
        let waiting = self.answers.iter_mut();
        let waiting = waiting.filter(|(_, a)| a.offered > 0 && a.stage != Stage::GivenUp);
        let mut stalled = Vec::new();
        for (id, answer) in waiting {
            answer.stalled += step;
            if answer.stalled >= STALL_LIMIT {
                stalled.push(*id);
            }
        }
        let give_up = |id| self.give_up(id, GiveUpReason::NotReading);
        stalled.into_iter().map(give_up).collect()
    }
}

impl Answer {
    /// Returns how much its caller holds up the router, in an order in which the first to be given up is the
    /// greatest; `None` if it can't be given up for others.
    ///
    /// Callers that do not read come first, by bytes held times time without progress; then answers in
    /// progress, by bytes held: a target may send without end. A complete answer whose caller reads is delivered.
    fn slowness(&self) -> Option<(bool, u128)> {
        let is_paused = self.stalled >= READING_PAUSE;
        let is_in_progress = self.stage == Stage::InProgress;
        let is_growing = is_in_progress && !self.is_stream && self.held > 0;
        let may_be_given_up = self.stage != Stage::GivenUp && (self.offered > 0 || is_growing);
        let held = self.held as u128;
        match () {
            () if !may_be_given_up => None,
            () if is_paused => Some((true, held * self.stalled.as_millis())),
            () if is_in_progress => Some((false, held)),
            () => None,
        }
    }
}
