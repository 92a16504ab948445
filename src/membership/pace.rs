//! How often a router tells its peers what it has in progress and which prompts are read where.
//!
//! The load pattern that this answers: hundreds of routers before prompts that many ask for. Counts of calls
//! may be some tenths of a second old, as decisions weigh their age; a hint that comes late is a prompt
//! read again, or a call to a target that is down. So counts are told the slower the more routers there are, and hints go ahead of them.

use std::time::Duration;

/// How often counts that changed are told. Ten times a second kept the load bound with 85 routers
/// (docs/design/rounds.md).
const TELL_EVERY: Duration = Duration::from_millis(100);

/// What each router of the fleet adds to that time, so that hubs have no more to add up: the more
/// routers there are, the less of the traffic comes from each, and the slower counts change beside
/// what is in progress. With 85 routers it is the same as without.
const TELL_PER_ROUTER: Duration = Duration::from_micros(1_200);

/// What a router tells when its pause is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Telling {
    /// All that changed.
    All,
    /// Hints of prompts that were read somewhere first and of targets that are down, if there are any.
    Hints,
}

/// The rhythm of one router.
#[derive(Debug, Default)]
pub struct Pace {
    told: u32,
}

impl Pace {
    /// The next pause in a fleet of so many routers, and what is told after it.
    pub fn next(&mut self, routers: u32) -> (Duration, Telling) {
        let all_every = TELL_EVERY.max(TELL_PER_ROUTER * routers);
        let parts = all_every.div_duration_f64(TELL_EVERY).round().max(1.0) as u32;
        self.told += 1;
        let telling = match self.told >= parts {
            true => Telling::All,
            false => Telling::Hints,
        };
        if telling == Telling::All {
            self.told = 0;
        }
        (all_every / parts, telling)
    }
}
