//! How long work takes at each target at the moment, relative to usual.
//!
//! This handles targets that share their machines with other work, so that the same call takes two or three
//! times as long on them, changing several times a second. There are two sources: the figure that a target
//! reports in its answers, and the time that this router's own calls took there, relative to the calls of the
//! same service at all targets. The report follows changes at once but may be false; the measurement takes
//! some calls. So the report is used, within the bounds that the measurement sets. Both expire, so a target
//! that was slow and no longer receives calls counts as usual again.

use std::{collections::HashMap, fmt, str::FromStr, time::Duration};

use crate::{
    ids::{IdError, ServiceName, TargetId},
    target_speed::call_times::CallTimes,
    units::Instant,
};

mod call_times;

/// How long a figure that a target reported is used. Targets change their speed several times a second, and
/// a target that is used reports its figure with each answer.
const REPORT_TTL: Duration = Duration::from_secs(1);

/// How long a measurement is used after its last call. It spans several calls, which arrive more slowly than
/// reports change, and bounds the time for which a target is avoided that has become usual again.
const MEASUREMENT_TTL: Duration = Duration::from_secs(2);

/// Number of calls from which a measurement is used: with fewer, the usual differences between calls look
/// like differences between targets.
const MIN_CALLS: u32 = 5;

/// Weight of a call in a target's moving average, which therefore covers about the last ten calls.
const CALL_WEIGHT: f64 = 0.2;

/// Number of independent calls whose plain mean varies as much as the moving average.
const AVERAGED_CALLS: f64 = (2.0 - CALL_WEIGHT) / CALL_WEIGHT;

/// Number of standard errors by which a measured target must differ from the others to count as different.
/// Of targets that are alike, one in twenty exceeds this by chance, and hardly any also leaves the deadband.
const MIN_STANDARD_ERRORS: f64 = 2.0;

/// Maximum ratio between a report and the measurement, in either direction. Reports describe the present and
/// measurements the last calls, so they differ after each change of speed.
const MAX_DISAGREEMENT: f64 = 2.0;

/// Factors that count as usual. Differences of this size come from the mix of calls, and must not move calls
/// away from targets that have cached their prompts.
const DEADBAND: std::ops::RangeInclusive<f64> = 0.8..=1.25;

/// Smallest and largest factor, so that no figure moves all calls to a target or away from it.
const FACTOR_RANGE: (f64, f64) = (0.25, 4.0);

/// Maximum number of targets for which figures are kept. It is above the largest number of targets that a
/// fleet is designed for.
const MAX_TARGETS: usize = 20_000;

/// Maximum slowdown in percent that is a valid report.
const MAX_PERCENT: u32 = 100_000;

/// Duration of work at a target relative to usual, in percent, as the target reports it: 100 means as usual,
/// 200 that work takes twice as long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slowdown(u32);

impl Slowdown {
    fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl FromStr for Slowdown {
    type Err = IdError;

    fn from_str(s: &str) -> Result<Self, IdError> {
        let is_number = s.bytes().all(|b| b.is_ascii_digit());
        match s.parse() {
            Ok(percent @ 1..=MAX_PERCENT) if is_number => Ok(Self(percent)),
            _ => Err(IdError::new("a percentage from 1 to 100000", s)),
        }
    }
}

impl fmt::Display for Slowdown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Factor on the usual time of work at a target, from 0.25 to 4; exactly 1 for a target that counts as usual.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct TimeFactor(f64);

impl TimeFactor {
    /// Factor of a target that works at its usual speed.
    pub const USUAL: Self = Self(1.0);

    /// Limits a factor to the valid range. Factors in the deadband, and what is not a number, count as usual.
    fn new(factor: f64) -> Self {
        let (least, most) = FACTOR_RANGE;
        match factor.clamp(least, most) {
            f if f.is_nan() || DEADBAND.contains(&f) => Self::USUAL,
            f => Self(f),
        }
    }

    /// Returns the factor as a number.
    pub fn get(self) -> f64 {
        self.0
    }

    /// Returns the factor in percent.
    pub fn percent(self) -> u32 {
        (self.0 * 100.0).round() as u32
    }
}

impl Default for TimeFactor {
    fn default() -> Self {
        Self::USUAL
    }
}

/// Speeds of all targets, as reported and as measured.
#[derive(Debug, Default)]
pub struct TargetSpeeds {
    targets: HashMap<TargetId, TargetSpeed>,
    services: HashMap<ServiceName, CallTimes>,
}

#[derive(Debug, Default)]
struct TargetSpeed {
    reported: Option<(Instant, Slowdown)>,
    measured: Option<Measurement>,
}

/// Times of the calls at one target relative to those expected at any target of its service.
#[derive(Debug, Clone, Copy)]
struct Measurement {
    at: Instant,
    calls: u32,
    /// Moving average of the ratios.
    mean: f64,
    /// Variance of the ratios of calls at one and the same target, over the service's targets.
    variance: f64,
}

impl TargetSpeeds {
    /// Records the figure that a target reported; `None` if its answer had none.
    pub fn on_report(&mut self, _now: Instant, _target: &TargetId, _reported: Option<Slowdown>) {}

    /// Records the time that a call took at a target that had a slot free for it: to the first event of a
    /// stream, or to a plain answer. `work` is the work that preceded it in any unit, as long as the unit is
    /// the same for all calls of the service.
    pub fn on_call_time(
        &mut self,
        _now: Instant,
        _service: &ServiceName,
        _target: &TargetId,
        _work: f64,
        _took: Duration,
    ) {
    }

    /// Returns the factor on the usual time of work that a target needs at the moment.
    pub fn factor(&self, _now: Instant, _target: &TargetId) -> TimeFactor {
        TimeFactor::USUAL
    }

    /// Returns the figure that a target reported, unless it has expired.
    pub fn reported(&self, _now: Instant, _target: &TargetId) -> Option<Slowdown> {
        None
    }

    /// Drops expired figures, and all figures of targets that are gone.
    pub fn on_tick(&mut self, _now: Instant, _is_listed: impl Fn(&TargetId) -> bool) {}

    /// Returns the number of targets for which there are figures.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether there are no figures.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}
