//! A simulated target with slots, a queue and a prompt cache.

use std::{collections::VecDeque, time::Duration};

use lru::LruCache;
use scaleford::{
    health::Outcome,
    prompt_cache::{PartId, PromptPart},
    units::Instant,
};

/// Maximum number of prompt tokens that a target caches.
pub const MEMORY_TOKENS: u64 = 400_000;

/// A call that is sent to a target.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    pub call: u64,
    /// Time from the call's start in a slot to its first event.
    pub to_first_event: Duration,
}

pub struct Target {
    slots: u32,
    running: Vec<u64>,
    queue: VecDeque<Run>,
    /// Maximum number of calls in the queue.
    max_waiting: usize,
    cache: LruCache<PartId, u64>,
    /// Number of tokens in the cache.
    cached_tokens: u64,
    /// When the target stops being cold.
    pub cold_until: Instant,
    /// When calls arrived while the target was cold.
    pub cold_arrivals: Vec<Instant>,
    /// Whether the target is cut off: calls to it hang.
    pub is_cut_off: bool,
    /// Whether the target is lost: calls sent to it break off.
    pub is_lost: bool,
}

impl Target {
    pub fn new(slots: u32, max_waiting: usize) -> Self {
        Self {
            slots,
            running: Vec::new(),
            queue: VecDeque::new(),
            max_waiting,
            cache: LruCache::unbounded(),
            cached_tokens: 0,
            cold_until: Instant::default(),
            cold_arrivals: Vec::new(),
            is_cut_off: false,
            is_lost: false,
        }
    }

    pub fn caches(&self, part: PartId) -> bool {
        self.cache.contains(&part)
    }

    /// Adds a prompt to the cache and returns the number of its tokens that were not cached.
    pub fn read(&mut self, prompt: &[PromptPart]) -> u64 {
        let mut missing = 0;
        for part in prompt {
            let tokens = part.tokens.0;
            if self.cache.put(part.id, tokens).is_none() {
                self.cached_tokens += tokens;
                missing += tokens;
            }
        }
        while self.cached_tokens > MEMORY_TOKENS {
            let (_, tokens) = self.cache.pop_lru().expect("what is held is cached");
            self.cached_tokens -= tokens;
        }
        missing
    }

    /// Records the arrival of a call if the target is cold, whether the call is accepted or not.
    pub fn record_arrival(&mut self, now: Instant) {
        if now < self.cold_until {
            self.cold_arrivals.push(now);
        }
    }

    /// Returns the maximum number of calls that arrived within a second while the target was cold.
    pub fn most_while_cold(&self) -> usize {
        let second = Duration::from_secs(1);
        let within = |from: &Instant| {
            let all = self.cold_arrivals.iter();
            all.filter(|at| *at >= from && at.since(*from) < second)
                .count()
        };
        self.cold_arrivals
            .iter()
            .map(within)
            .max()
            .unwrap_or_default()
    }

    /// Returns the number of calls in slots and in the queue.
    pub fn calls(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Returns how a new call ends if the target does not accept it now, and `None` if it does. `queue` is the
    /// number of calls that may wait, if it differs from the usual one.
    pub fn rejection(&self, queue: Option<usize>) -> Option<Outcome> {
        let is_full = self.running.len() == self.slots as usize;
        match () {
            () if self.is_lost => Some(Outcome::Broken),
            () if is_full && self.queue.len() >= queue.unwrap_or(self.max_waiting) => {
                Some(Outcome::Full)
            }
            () => None,
        }
    }

    /// Takes a call; returns it if it starts at once in a free slot, and queues it otherwise.
    pub fn on_arrival(&mut self, run: Run) -> Option<Run> {
        if self.running.len() < self.slots as usize {
            self.running.push(run.call);
            return Some(run);
        }
        self.queue.push_back(run);
        None
    }

    /// Ends a call; returns the queued call that takes its slot, if there is one.
    pub fn on_end(&mut self, call: u64) -> Option<Run> {
        self.running.retain(|c| *c != call);
        let next = self.queue.pop_front()?;
        self.running.push(next.call);
        Some(next)
    }

    /// Marks the target as lost and returns the calls that it had.
    pub fn on_loss(&mut self) -> Vec<u64> {
        self.is_lost = true;
        let waiting = self.queue.drain(..).map(|run| run.call);
        self.running.drain(..).chain(waiting).collect()
    }
}
