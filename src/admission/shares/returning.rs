//! Recognizes callers that were refused and have returned.
//!
//! A caller that returns sends the same body with a new id and a deadline that is shorter by the
//! elapsed time. So a call whose caller waits much less than others of its route counts as returning.

use std::{collections::HashMap, time::Duration};

use crate::units::Instant;

/// Fraction of the usual time below which a call counts as returning. Calls that are new arrive with
/// 0.85 to 0.98 of their time left, because their connection took time, and callers that return after
/// the pause that they were told with at most 0.8 of that.
const RETURNING_FRACTION: f64 = 0.82;

/// Time after which the maximum of a route is learned anew; the maximum of the time before still
/// counts.
const WINDOW: Duration = Duration::from_secs(30);

/// Maximum number of routes that are tracked; calls of further ones never count as returning.
const MAX_ROUTES: usize = 1_024;

/// Maximum time that callers of one route had, in the current and in the previous window.
#[derive(Debug, Default)]
struct Maximum {
    since: Instant,
    current: Duration,
    previous: Duration,
}

/// Time that callers usually have when their calls arrive, by route.
#[derive(Debug, Default)]
pub struct UsualTimeLeft {
    routes: HashMap<String, Maximum>,
}

impl UsualTimeLeft {
    /// Records that a call of a route arrived with `left` of its time, and returns whether its
    /// caller was probably refused before and has returned.
    pub fn is_returning(&mut self, now: Instant, route: &str, left: Duration) -> bool {
        let known = match self.routes.contains_key(route) {
            true => self.routes.get_mut(route),
            false if self.routes.len() >= MAX_ROUTES => None,
            false => Some(self.routes.entry(route.to_owned()).or_default()),
        };
        let Some(known) = known else {
            return false;
        };
        let elapsed = now.since(known.since);
        if elapsed >= WINDOW {
            let is_recent = elapsed < WINDOW * 2;
            known.previous = std::mem::take(&mut known.current);
            known.previous = if is_recent {
                known.previous
            } else {
                Duration::ZERO
            };
            known.since = now;
        }
        known.current = known.current.max(left);
        left < known
            .current
            .max(known.previous)
            .mul_f64(RETURNING_FRACTION)
    }
}
