//! How often a router tells its peers what it has in progress and which prompts are read where, and what follows from
//! that for how long a silent one is believed.
//!
//! The load pattern that this answers: hundreds of routers before prompts that many ask for. Counts of calls
//! may be some tenths of a second old, as decisions weigh their age; a hint that comes late is a prompt
//! read again, or a call to a target that is down. So counts are told the slower the more routers there are, up to a
//! pace that a hub of any data hall bears, and hints go ahead of them.
//!
//! Every time after which something is no longer believed is derived from the pace here: one that is set apart from it
//! holds only while the fleet is small.

use std::time::Duration;

/// How often counts that changed are sent in a small fleet: several times while a call is in progress.
const TELL_EVERY: Duration = Duration::from_millis(100);

/// What each router of the fleet adds to that time, so that hubs have no more to add up: the more
/// routers there are, the less of the traffic comes from each, and the slower counts change beside
/// what is in progress. With 85 routers it is the same as without.
const TELL_PER_ROUTER: Duration = Duration::from_micros(1_200);

/// The longest such time: what is decided on counts is to be no older than a second through two hubs.
const TELL_SLOWEST: Duration = Duration::from_millis(500);

/// After so long without a change something is told all the same, as a heartbeat.
pub const QUIET_TIME: Duration = Duration::from_millis(400);

/// Heartbeats in a row that a router may miss before it is gone: of one datagram in a hundred that is lost, as many in a
/// row are lost once in ten thousand million times.
const HEARTBEATS_MISSED: u32 = 5;

/// The least silence after which a router is gone: one that is busy for a second lives.
const SILENT_LEAST: Duration = Duration::from_secs(2);

/// Sums of a hub in a row that may be missing before the second one takes its place: one may be lost, and one late.
const SUMS_MISSED: u32 = 3;

/// The least silence of a hub after which the second one takes its place.
const HUB_SILENT_LEAST: Duration = Duration::from_millis(700);

/// Sums that may be missing beyond that before what was told counts no more: until the second hub's are there, and one of
/// them is lost.
const SUMS_AWAITED: u32 = 3;

/// How long a data hall's sum is believed at the least.
const SUM_BELIEVED_LEAST: Duration = Duration::from_millis(1_500);

/// How often a router of a fleet of so many tells its hubs what changed, and a hub its data hall.
pub fn tell_every(routers: usize) -> Duration {
    let routers = u32::try_from(routers).unwrap_or(u32::MAX);
    let paced = TELL_PER_ROUTER.saturating_mul(routers);
    paced.clamp(TELL_EVERY, TELL_SLOWEST)
}

/// The longest time between two datagrams of a router to its hubs.
fn heartbeat_every(routers: usize) -> Duration {
    let tell = tell_every(routers);
    let tellings = QUIET_TIME.div_duration_f64(tell).ceil().max(1.0);
    tell.mul_f64(tellings)
}

/// How long a router may be silent to those that have to hear of it.
pub fn silent_after(routers: usize) -> Duration {
    SILENT_LEAST.max(heartbeat_every(routers) * HEARTBEATS_MISSED)
}

/// How long a hub may be silent before the second one takes its place.
pub fn hub_silent_after(routers: usize) -> Duration {
    HUB_SILENT_LEAST.max(tell_every(routers) * SUMS_MISSED)
}

/// How long a data hall's sum is believed.
pub fn sum_expires(routers: usize) -> Duration {
    let awaited = tell_every(routers) * SUMS_AWAITED;
    SUM_BELIEVED_LEAST.max(hub_silent_after(routers) + awaited)
}

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
        let all_every = tell_every(routers as usize);
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
