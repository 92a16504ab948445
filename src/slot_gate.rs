//! Slots of brittle targets, as the router that owns a target hands them out to calls of all routers.
//!
//! Only one router counts a target's calls, so the count is exact where those of all routers would be old.
//! Fewer slots than the target has are handed out, and fewer still after it rejected a call: others than
//! routers use slots too, and a call's slot is free again here before it is there.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::{ids::TargetId, units::Instant};

/// Fraction of a target's slots that is handed out at first, and the range of that fraction later on.
const FIRST_LEVEL: f64 = 0.8;
const MIN_LEVEL: f64 = 0.2;
const MAX_LEVEL: f64 = 0.9;

/// Factor on the level after a rejection.
const REJECTION_FACTOR: f64 = 0.75;

/// Increase of the level per second without a rejection.
const LEVEL_GAIN: f64 = 0.05;

/// Time after a rejection in which no slot is handed out, and no further rejection counts: the calls before
/// it were sent by the same level.
const REJECTION_PAUSE: Duration = Duration::from_millis(100);

/// Time in which a new owner hands out half of the slots, as those of its predecessor are still in use.
const TAKEOVER_TIME: Duration = Duration::from_secs(1);

/// Time without calls after which a target is forgotten.
const IDLE_TTL: Duration = Duration::from_secs(30);

#[derive(Debug, Clone, Copy)]
struct Gate {
    since: Instant,
    used_at: Instant,
    in_use: u32,
    /// Fraction of the slots that is handed out at `level_at`.
    level: f64,
    level_at: Instant,
    rejected_at: Option<Instant>,
}

impl Gate {
    fn new(now: Instant) -> Self {
        Self {
            since: now,
            used_at: now,
            in_use: 0,
            level: FIRST_LEVEL,
            level_at: now,
            rejected_at: None,
        }
    }

    fn level(&self, now: Instant) -> f64 {
        let gain = LEVEL_GAIN * now.since(self.level_at).as_secs_f64();
        (self.level + gain).min(MAX_LEVEL)
    }

    /// Returns how many of the target's `slots` slots may be in use.
    fn capacity(&self, now: Instant, slots: u32) -> u32 {
        let takeover = if now.since(self.since) < TAKEOVER_TIME {
            0.5
        } else {
            1.0
        };
        ((f64::from(slots) * self.level(now) * takeover).floor() as u32).max(1)
    }

    fn is_paused(&self, now: Instant) -> bool {
        self.rejected_at
            .is_some_and(|at| now.since(at) < REJECTION_PAUSE)
    }
}

/// Slots in use of the targets that this router owns.
#[derive(Debug, Default)]
pub struct SlotGates {
    by_target: FxHashMap<TargetId, Gate>,
}

impl SlotGates {
    /// Hands out one of a target's `slots` slots, if one is free. [`Self::release`] returns it.
    pub fn acquire(&mut self, now: Instant, target: &TargetId, slots: u32) -> bool {
        let new = || Gate::new(now);
        let gate = self.by_target.entry(target.clone()).or_insert_with(new);
        gate.used_at = now;
        let is_free = !gate.is_paused(now) && gate.in_use < gate.capacity(now, slots);
        gate.in_use += u32::from(is_free);
        is_free
    }

    /// Takes a slot back.
    pub fn release(&mut self, target: &TargetId) {
        if let Some(gate) = self.by_target.get_mut(target) {
            gate.in_use = gate.in_use.saturating_sub(1);
        }
    }

    /// Records that a target rejected a call that had a slot.
    pub fn on_rejected(&mut self, now: Instant, target: &TargetId) {
        let gate = self.by_target.get_mut(target);
        let Some(gate) = gate.filter(|g| !g.is_paused(now)) else {
            return;
        };
        gate.level = (gate.level(now) * REJECTION_FACTOR).max(MIN_LEVEL);
        gate.level_at = now;
        gate.rejected_at = Some(now);
    }

    /// Returns the number of slots in use.
    pub fn in_use(&self) -> u32 {
        self.by_target.values().map(|g| g.in_use).sum()
    }

    /// Forgets targets without calls.
    pub fn on_tick(&mut self, now: Instant) {
        self.by_target
            .retain(|_, g| g.in_use > 0 || now.since(g.used_at) < IDLE_TTL);
    }
}
