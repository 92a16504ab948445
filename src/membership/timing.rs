//! Send intervals of datagrams, and the timeouts that follow from them.
//!
//! The load pattern behind this design is hundreds of routers in front of prompts that many clients
//! ask for. Counts of calls may be some tenths of a second old, because decisions take their age
//! into account. A late hint means a prompt that is processed again, or a call to a target that is
//! down. So counts are sent less often the more routers there are, down to a rate that a hub of any
//! data hall can handle, and hints are sent ahead of them.
//!
//! Every timeout after which information expires is derived from the send interval here: a timeout
//! that is set independently of it holds only while the fleet is small.

use std::time::Duration;

/// Interval between two sends of changed counts in a small fleet: several fall within the duration
/// of a call.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(100);

/// Part of the send interval per router of the fleet, which keeps the load of a hub constant.
///
/// The more routers there are, the smaller the part of the traffic that each one has, and the
/// slower its counts change relative to the calls in progress. Up to about 85 routers the interval stays
/// at its minimum.
const SEND_INTERVAL_PER_ROUTER: Duration = Duration::from_micros(1_200);

/// Maximum send interval: counts that decisions rely on must not be older than a second after
/// passing two hubs.
const MAX_SEND_INTERVAL: Duration = Duration::from_millis(500);

/// Interval after which a datagram is sent as a heartbeat even if nothing changed.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Number of consecutive heartbeats that a router may miss before it counts as down: if one
/// datagram in a hundred is lost, that many in a row are lost once in ten thousand million times.
const MAX_MISSED_HEARTBEATS: u32 = 5;

/// Minimum silence after which a router counts as down: one that is busy for a second is still
/// alive.
const MIN_FAILURE_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of consecutive sums of a hub that may be missing before the second hub replaces it: one
/// may be lost, and one late.
const MAX_MISSED_SUMS: u32 = 3;

/// Minimum silence of a hub after which the second one replaces it.
const MIN_HUB_TIMEOUT: Duration = Duration::from_millis(700);

/// Number of further sums that may be missing before the last one expires: the time until those of
/// the second hub arrive, with one of them lost.
const SUMS_AWAITED_AFTER_FAILOVER: u32 = 3;

/// Minimum time for which a data hall's sum is valid.
const MIN_SUM_TTL: Duration = Duration::from_millis(1_500);

/// Returns the interval at which a router sends changes to its hubs, and a hub to its data hall, in
/// a fleet of `routers`.
pub fn send_interval(routers: usize) -> Duration {
    let routers = u32::try_from(routers).unwrap_or(u32::MAX);
    let interval = SEND_INTERVAL_PER_ROUTER.saturating_mul(routers);
    interval.clamp(MIN_SEND_INTERVAL, MAX_SEND_INTERVAL)
}

/// Returns the longest interval between two datagrams of a router to its hubs.
fn max_heartbeat_interval(routers: usize) -> Duration {
    let interval = send_interval(routers);
    let intervals = HEARTBEAT_INTERVAL
        .div_duration_f64(interval)
        .ceil()
        .max(1.0);
    interval.mul_f64(intervals)
}

/// Returns how long a router may be silent to those that monitor it.
pub fn failure_timeout(routers: usize) -> Duration {
    MIN_FAILURE_TIMEOUT.max(max_heartbeat_interval(routers) * MAX_MISSED_HEARTBEATS)
}

/// Returns how long a hub may be silent before the second one replaces it.
pub fn hub_timeout(routers: usize) -> Duration {
    MIN_HUB_TIMEOUT.max(send_interval(routers) * MAX_MISSED_SUMS)
}

/// Returns how long a data hall's sum is valid.
pub fn sum_ttl(routers: usize) -> Duration {
    let awaited = send_interval(routers) * SUMS_AWAITED_AFTER_FAILOVER;
    MIN_SUM_TTL.max(hub_timeout(routers) + awaited)
}

/// Content that a router sends at the end of an interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendContent {
    /// All changes.
    All,
    /// Only hints, if there are any: prompts that were first processed by a target, and targets
    /// that are down.
    Hints,
}

/// Send schedule of one router.
#[derive(Debug, Default)]
pub struct SendSchedule {
    sends: u32,
}

impl SendSchedule {
    /// Returns the interval to the next send in a fleet of `routers`, and what is sent at its end.
    pub fn next(&mut self, routers: u32) -> (Duration, SendContent) {
        let full_interval = send_interval(routers as usize);
        let parts = full_interval
            .div_duration_f64(MIN_SEND_INTERVAL)
            .round()
            .max(1.0) as u32;
        self.sends += 1;
        let content = match self.sends >= parts {
            true => SendContent::All,
            false => SendContent::Hints,
        };
        if content == SendContent::All {
            self.sends = 0;
        }
        (full_interval / parts, content)
    }
}
