//! A target with slots, a queue and a cache of prompts.

use std::{collections::VecDeque, time::Duration};

use lru::LruCache;
use scaleford::{
    health::Outcome,
    prompt_cache::{PartId, PromptPart},
    units::Instant,
};

/// Tokens that a target keeps.
pub const MEMORY_TOKENS: u64 = 400_000;

/// A call at a target.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    pub call: u64,
    /// From when it has a slot.
    pub to_first_event: Duration,
}

pub struct Target {
    slots: u32,
    running: Vec<u64>,
    queue: VecDeque<Run>,
    /// Calls that may wait.
    most_waiting: usize,
    cache: LruCache<PartId, u64>,
    held: u64,
    /// Until when it is cold, and when calls arrived while it was.
    pub cold_until: Instant,
    pub cold_arrivals: Vec<Instant>,
    /// Calls to it hang.
    pub is_cut_off: bool,
    /// It is gone, and breaks off what is sent to it.
    pub is_lost: bool,
}

impl Target {
    pub fn new(slots: u32, most_waiting: usize) -> Self {
        Self {
            slots,
            running: Vec::new(),
            queue: VecDeque::new(),
            most_waiting,
            cache: LruCache::unbounded(),
            held: 0,
            cold_until: Instant::default(),
            cold_arrivals: Vec::new(),
            is_cut_off: false,
            is_lost: false,
        }
    }

    pub fn holds(&self, part: PartId) -> bool {
        self.cache.contains(&part)
    }

    /// Takes a prompt in; returns the tokens of it that were not there.
    pub fn read(&mut self, prompt: &[PromptPart]) -> u64 {
        let mut missing = 0;
        for part in prompt {
            let tokens = part.tokens.0;
            if self.cache.put(part.id, tokens).is_none() {
                self.held += tokens;
                missing += tokens;
            }
        }
        while self.held > MEMORY_TOKENS {
            let (_, tokens) = self.cache.pop_lru().expect("what is held is cached");
            self.held -= tokens;
        }
        missing
    }

    /// A call arrives now, whether it is taken or not.
    pub fn note_arrival(&mut self, now: Instant) {
        if now < self.cold_until {
            self.cold_arrivals.push(now);
        }
    }

    /// The most calls that arrived within a second while it was cold.
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

    /// Calls that it has.
    pub fn calls(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// How a call ends that it does not take, if it does not.
    pub fn turns_away(&self) -> Option<Outcome> {
        let is_full = self.running.len() == self.slots as usize;
        match () {
            () if self.is_lost => Some(Outcome::Broken),
            () if is_full && self.queue.len() >= self.most_waiting => Some(Outcome::Full),
            () => None,
        }
    }

    /// A call comes; returns it if it may begin.
    pub fn on_arrival(&mut self, run: Run) -> Option<Run> {
        if self.running.len() < self.slots as usize {
            self.running.push(run.call);
            return Some(run);
        }
        self.queue.push_back(run);
        None
    }

    /// A call ends; returns the next one, which takes its slot.
    pub fn on_end(&mut self, call: u64) -> Option<Run> {
        self.running.retain(|c| *c != call);
        let next = self.queue.pop_front()?;
        self.running.push(next.call);
        Some(next)
    }

    /// It is gone; returns the calls that it had.
    pub fn on_loss(&mut self) -> Vec<u64> {
        self.is_lost = true;
        let waiting = self.queue.drain(..).map(|run| run.call);
        self.running.drain(..).chain(waiting).collect()
    }
}
