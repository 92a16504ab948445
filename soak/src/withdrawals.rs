//! Targets that say in their answers that they leave, or that they want no calls for a while, drawn from the seed,
//! and the book of what gateways send them after that.

use std::{cell::RefCell, collections::HashMap, time::Duration};

use rand::Rng;
use rand_pcg::Pcg64;
use tokio::time::Instant;

use crate::{target::Target, vm::World};

/// What a target says of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Says {
    #[default]
    Nothing,
    /// It leaves, in all its answers.
    Leaving,
    /// It turns all calls away and wants none for so many seconds.
    Backoff(u64),
}

/// The pause between two changes, and how long a target says the same.
const PAUSE_MS: std::ops::Range<u64> = 200..1_200;
const SAYS_FOR_MS: std::ops::Range<u64> = 1_000..7_000;
const BACKOFF_S: std::ops::Range<u64> = 2..5;

/// Gateways know of a life of a target that is so old, where the store can be reached. What a younger one says
/// may count for the life before: they have no other way to know.
const KNOWN_AFTER: Duration = Duration::from_secs(3);

/// Draws of their own, so that a seed's other faults stay as they are.
const STREAM: u128 = 0x7769_7468_6472_6177;

/// Makes targets say such things for a while.
pub async fn inject(world: &World, seed: u64, for_: Duration) {
    let mut rng = Pcg64::new(u128::from(seed), STREAM);
    let until = Instant::now() + for_;
    let mut saying: Vec<(Instant, usize)> = Vec::new();
    while Instant::now() < until {
        let pause = Duration::from_millis(rng.random_range(PAUSE_MS));
        tokio::time::sleep(pause).await;
        saying.retain(|(end, n)| {
            let goes_on = Instant::now() < *end;
            if !goes_on {
                fall_silent(world, &world.targets[*n].0);
            }
            goes_on
        });
        let n = rng.random_range(0..world.targets.len());
        let time = Duration::from_millis(rng.random_range(SAYS_FOR_MS));
        let (leaves, seconds) = (rng.random_bool(0.5), rng.random_range(BACKOFF_S));
        let in_entry = rng.random_bool(0.3);
        let target = &world.targets[n].0;
        if target.says.get() != Says::Nothing {
            continue;
        }
        if !leaves {
            target.says.set(Says::Backoff(seconds));
        } else if target.born.get().elapsed() > KNOWN_AFTER
            && world.promises.is_settled(KNOWN_AFTER)
        {
            target.says.set(Says::Leaving);
            if in_entry {
                world.write_entry(&target.id, "draining");
            }
        }
        saying.push((Instant::now() + time, n));
    }
}

/// A target says nothing any more; one that left starts again.
pub fn fall_silent(world: &World, target: &Target) {
    match target.says.get() {
        Says::Leaving => world.on_restart(&target.id),
        _ => target.says.set(Says::Nothing),
    }
}

/// How long after an answer was passed on that says so a leaving target may still be sent what callers send: the
/// rule's two seconds. Callers count from when they sent a call, so a busy machine adds nothing.
const LEAVES_WITHIN: Duration = Duration::from_secs(2);

/// How long after it asked for time a target may still get calls: the rule's half second, and one for this
/// machine being busy; and how many it may get until that time is over.
const HEARD_WITHIN: Duration = Duration::from_millis(1_500);
const ARRIVALS: usize = 2;

/// For so long a link has to have been sound before it counts as passing answers on.
const LINK_SOUND: Duration = Duration::from_secs(1);

/// A target, and which life of it.
type Life = (String, u64);

/// A time that a target asked a gateway for.
#[derive(Debug)]
struct Asked {
    at: Instant,
    until: Instant,
    arrivals: usize,
}

/// What targets said to which gateway, as far as it has to remember that.
#[derive(Debug, Default)]
pub struct Book {
    /// When calls were sent by their callers.
    sent: RefCell<HashMap<String, Instant>>,
    /// Which target last answered a call, saying that it leaves.
    answered: RefCell<HashMap<String, Life>>,
    /// Since when a gateway has passed on that a target leaves.
    leaving: RefCell<HashMap<(usize, Life), Instant>>,
    asked: RefCell<HashMap<(usize, Life), Vec<Asked>>>,
}

/// The gateway through which a call comes, by its id (`KIND-GATEWAY-CALLER-NUMBER`).
fn gateway(call: &str) -> Option<usize> {
    call.rsplit('-').nth(2)?.parse().ok()
}

impl Book {
    /// A caller sends a call.
    pub fn on_sent(&self, call: &str, at: Instant) {
        self.sent.borrow_mut().insert(call.to_owned(), at);
    }

    /// A gateway is started, killed, stopped or paused, or goes on: it may have forgotten.
    pub fn on_interrupted(&self, gateway: usize) {
        self.leaving.borrow_mut().retain(|(g, _), _| *g != gateway);
        self.asked.borrow_mut().retain(|(g, _), _| *g != gateway);
    }

    /// A call arrives at a target; returns what that breaks.
    pub fn on_arrival(&self, call: &str, target: &Target) -> Option<String> {
        let gateway = gateway(call)?;
        let life = (gateway, target.life());
        let leaving = self.leaving.borrow().get(&life).copied();
        let sent = self.sent.borrow().get(call).copied();
        if let Some((since, sent)) = leaving.zip(sent)
            && sent > since + LEAVES_WITHIN
        {
            return Some(format!("{call} at {:?}, which leaves", life.1));
        }
        let is_cut = !target.link_is_sound(LINK_SOUND);
        let now = Instant::now();
        let mut asked = self.asked.borrow_mut();
        let times = asked.get_mut(&life)?;
        times.retain(|a| now < a.until && !is_cut);
        for time in times.iter_mut().filter(|a| now > a.at + HEARD_WITHIN) {
            time.arrivals += 1;
        }
        let most = times.iter().map(|a| a.arrivals).max()?;
        (most > ARRIVALS).then(|| {
            format!(
                "{call}, one of {most} at {:?}, which asked for time",
                life.1
            )
        })
    }

    /// A target answers a call and says something of itself.
    pub fn on_answer(&self, call: &str, target: &Target) {
        let Some(gateway) = gateway(call) else { return };
        match target.says.get() {
            Says::Nothing => {}
            Says::Leaving => {
                let mut answered = self.answered.borrow_mut();
                answered.insert(call.to_owned(), target.life());
            }
            Says::Backoff(seconds) if target.link_is_sound(LINK_SOUND) => {
                let at = Instant::now();
                let time = Asked {
                    at,
                    until: at + Duration::from_secs(seconds),
                    arrivals: 0,
                };
                let mut asked = self.asked.borrow_mut();
                let times = asked.entry((gateway, target.life())).or_default();
                times.push(time);
            }
            Says::Backoff(_) => {}
        }
    }

    /// A caller has the answer of a target to its call, of which no other target was asked.
    pub fn on_passed_on(&self, call: &str) {
        let answered = self.answered.borrow_mut().remove(call);
        let Some((gateway, life)) = gateway(call).zip(answered) else {
            return;
        };
        let mut leaving = self.leaving.borrow_mut();
        leaving.entry((gateway, life)).or_insert_with(Instant::now);
    }
}
