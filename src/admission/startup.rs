//! Handling of calls that reach a router before its first configuration.
//!
//! Guards against the loss of all routers: callers that were disconnected or never connected arrive
//! as soon as new routers listen, and these have yet to read the store. With the wait 0.007 of the
//! calls of the 44 seconds around such a loss are refused, without it 0.018 (mean of six seeds).

use std::time::Duration;

/// Time after its start within which a router expects its first configuration: the store answers
/// the first read within a tenth of a second, or the second read after a pause of 0.3 s.
const CONFIG_EXPECTED_WITHIN: Duration = Duration::from_secs(1);

/// Maximum wait of a call as a fraction of the time for which its caller waits; the rest is enough
/// for any call.
const MAX_WAIT_FRACTION: f64 = 1.0 / 8.0;

/// Maximum wait of a call for the first configuration.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Returns how long a call may wait for the first configuration of a router that started `age` ago.
///
/// Returns `None` if no configuration is expected soon, so that the call should be refused at once.
pub fn wait_for_config(age: Duration, deadline: Option<Duration>) -> Option<Duration> {
    let longest = match deadline {
        Some(deadline) => deadline.mul_f64(MAX_WAIT_FRACTION).min(MAX_WAIT),
        None => MAX_WAIT,
    };
    (age < CONFIG_EXPECTED_WITHIN).then(|| longest.min(CONFIG_EXPECTED_WITHIN.saturating_sub(age)))
}

/// Returns the expected time until the first configuration of a router that started `age` ago:
/// [`CONFIG_EXPECTED_WITHIN`], or if that has passed, as long again as the router has run.
pub(super) fn expected_config_wait(age: Duration) -> Duration {
    age.max(CONFIG_EXPECTED_WITHIN)
}
