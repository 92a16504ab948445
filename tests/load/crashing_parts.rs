//! A part of prompts that crashes each target which begins to answer a request with it, spread thinly over many
//! routers, beside sound requests that share the other parts.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;
use scaleford::{
    fingerprint::Fingerprint,
    ids::TargetId,
    prompt_cache::PartId,
    quarantine::{CrashedCall, PartKey, Quarantine},
    target_counts::TargetHash,
    units::Instant,
};

/// Part that crashes targets.
const GUILTY: u64 = 0xbad;

/// Parts that sound requests begin with.
const FIRST_PARTS: u64 = 6;

/// Time after which every router has to know of the fifth crash.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);

/// Maximum number of requests with the part that are sent after that.
const MAX_SENT_LATE: usize = 3;

/// Interval of the run, and of the datagrams among routers.
const STEP_MS: u64 = 50;

/// Time that a sound request takes to be answered, in steps.
const ANSWER_STEPS: u64 = 4;

/// Fraction of the datagrams that are lost.
const LOSS: f64 = 0.1;

struct Fleet {
    routers: Vec<Quarantine>,
    rng: Pcg64,
    /// Sound calls that are under way: when they are answered, their router and their parts.
    running: Vec<(u64, usize, Vec<PartKey>)>,
    crashes: Vec<u64>,
    sent: Vec<u64>,
    sound_refused: usize,
    sound: usize,
    next: u64,
}

fn part(id: u64) -> PartKey {
    PartKey::new(&"writer".parse().unwrap(), PartId(id))
}

fn target(n: u64) -> TargetHash {
    let id: TargetId = format!("t{n}").parse().unwrap();
    TargetHash::from(&id)
}

impl Fleet {
    fn new(routers: usize, seed: u64) -> Self {
        Self {
            routers: (0..routers).map(|_| Quarantine::default()).collect(),
            rng: Pcg64::seed_from_u64(seed),
            running: Vec::new(),
            crashes: Vec::new(),
            sent: Vec::new(),
            sound_refused: 0,
            sound: 0,
            next: 0,
        }
    }

    fn now(step: u64) -> Instant {
        Instant::from_millis(step * STEP_MS)
    }

    fn is_held(&self, router: usize, step: u64, parts: &[PartKey]) -> bool {
        let quarantine = &self.routers[router];
        let is_held = |part: &PartKey| quarantine.time_left(Self::now(step), *part).is_some();
        parts.iter().any(is_held)
    }

    fn send_sound(&mut self, step: u64) {
        self.next += 1;
        self.sound += 1;
        let router = self.rng.random_range(0..self.routers.len());
        let first = part(self.rng.random_range(0..FIRST_PARTS));
        // Turns of a chat share a part that few other requests have.
        let chat = part(1_000 + self.next / 3);
        match self.is_held(router, step, &[first, chat]) {
            true => self.sound_refused += 1,
            false => self
                .running
                .push((step + ANSWER_STEPS, router, vec![first, chat])),
        }
    }

    /// Sends a request with the part, which takes calls that had no event yet along.
    fn send_guilty(&mut self, step: u64) {
        self.next += 1;
        let router = self.rng.random_range(0..self.routers.len());
        let parts = [part(self.next % FIRST_PARTS), part(GUILTY)];
        if self.is_held(router, step, &parts) {
            return;
        }
        self.sent.push(step);
        self.crashes.push(step);
        let crashed = target(self.next);
        let call = CrashedCall {
            request: Fingerprint(self.next),
            parts: &parts,
        };
        self.routers[router].on_crashed_calls(Self::now(step), crashed, &[call]);
        for _ in 0..self.running.len().min(2) {
            let i = self.rng.random_range(0..self.running.len());
            let (_, router, parts) = self.running.swap_remove(i);
            let call = CrashedCall {
                request: Fingerprint(self.next * 100 + i as u64),
                parts: &parts,
            };
            self.routers[router].on_crashed_calls(Self::now(step), crashed, &[call]);
        }
    }

    fn answer(&mut self, step: u64) {
        let (done, running) = self.running.drain(..).partition(|(at, ..)| *at <= step);
        self.running = running;
        let done: Vec<(u64, usize, Vec<PartKey>)> = done;
        for (_, router, parts) in done {
            self.routers[router].on_parts_answered(Self::now(step), &parts);
        }
    }

    /// Passes notices on: each router hears of the others, but for some datagrams.
    fn exchange(&mut self, step: u64) {
        let now = Self::now(step);
        let crashes: Vec<_> = self
            .routers
            .iter()
            .flat_map(|r| r.crash_notices(now))
            .collect();
        let cleared: Vec<_> = self
            .routers
            .iter()
            .flat_map(|r| r.clear_notices(now))
            .collect();
        if crashes.is_empty() && cleared.is_empty() {
            return;
        }
        for router in &mut self.routers {
            if !self.rng.random_bool(LOSS) {
                router.on_crash_notices(now, &crashes);
                router.on_clear_notices(now, &cleared);
            }
        }
    }
}

#[rstest]
fn a_part_is_found_from_single_crashes_at_many_routers(
    #[values(7, 80, 380, 985)] routers: usize,
    #[values(4, 20, 60)] guilty_every_steps: u64,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = Fleet::new(routers, seed);
    for step in 0..400 {
        if step >= 40 && step % guilty_every_steps == 0 {
            fleet.send_guilty(step);
        }
        fleet.send_sound(step);
        fleet.answer(step);
        fleet.exchange(step);
    }
    let fifth = fleet.crashes.get(4).copied().unwrap_or(400);
    let late = fifth + KNOWN_WITHIN.as_millis() as u64 / STEP_MS;
    let sent_late = fleet.sent.iter().filter(|step| **step > late).count();
    println!(
        "{routers} routers, every {guilty_every_steps}, seed {seed}: {} crashes, {sent_late} late, {} of {} sound refused",
        fleet.crashes.len(),
        fleet.sound_refused,
        fleet.sound
    );
    assert!(sent_late <= MAX_SENT_LATE, "{sent_late} sent late");
    assert!(fleet.is_held(0, 400, &[part(GUILTY)]) || fleet.crashes.len() < 3);
    // Sound requests have to begin at least half as often as before.
    assert!(fleet.sound_refused * 2 < fleet.sound);
    let firsts: Vec<PartKey> = (0..FIRST_PARTS).map(part).collect();
    assert!(firsts.iter().all(|first| !fleet.is_held(0, 400, &[*first])));
    let suspects = fleet.routers.iter().map(Quarantine::suspect_count).max();
    assert!(suspects.unwrap_or_default() <= 400, "{suspects:?}");
}
