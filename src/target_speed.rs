//! How long work takes at each target at the moment, relative to usual.
//!
//! This handles targets that share their machines with other work, so that the same call takes two or three
//! times as long on them, changing several times a second. There are two sources: the figure that a target
//! reports in its answers, and the time that this router's own calls took there, relative to its calls of the
//! same service at the other targets. The report follows changes at once but may be false; the measurement takes
//! some calls. So the report is used, within the bounds that the measurement sets. Both expire, so a target
//! that was slow and no longer receives calls counts as usual again.

use std::{collections::HashMap, fmt, ops::RangeInclusive, str::FromStr, time::Duration};

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
const CALL_WEIGHT: f64 = 0.15;

/// Number of independent calls whose plain mean varies as much as the moving average.
const AVERAGED_CALLS: f64 = (2.0 - CALL_WEIGHT) / CALL_WEIGHT;

/// Number of standard errors by which a measured target must differ from the others to count as different.
/// Of targets that are alike, one in some hundreds exceeds this by chance, so that decisions about them do not
/// depend on the spread of their calls' times.
const MIN_STANDARD_ERRORS: f64 = 3.0;

/// Maximum ratio between a report and the measurement, in either direction. Reports describe the present and
/// measurements the last calls, so they differ after each change of speed.
const MAX_DISAGREEMENT: f64 = 2.0;

/// Factors that count as usual. Differences of this size come from the mix of calls, and must not move calls
/// away from targets that have cached their prompts.
const DEADBAND: RangeInclusive<f64> = 0.8..=1.25;

/// Smallest and largest factor, so that no figure moves all calls to a target or away from it.
const FACTOR_RANGE: (f64, f64) = (0.25, 4.0);

/// Maximum number of targets for which figures are kept. It is above the largest number of targets that a
/// fleet is designed for.
const MAX_TARGETS: usize = 20_000;

/// Maximum slowdown in percent that is a valid report.
const MAX_PERCENT: u32 = 100_000;

/// Time after the last figure of any target for which targets are taken to report figures.
const REPORTING_TTL: Duration = Duration::from_mins(1);

/// Duration of work at a target relative to usual, in percent, as the target reports it: 100 means as usual,
/// 200 that work takes twice as long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slowdown(u32);

impl Slowdown {
    /// Returns the figure in percent of the usual time.
    pub fn percent(self) -> u32 {
        self.0
    }

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
    /// When a target last reported a figure.
    reported_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct TargetSpeed {
    reported: Option<(Instant, Slowdown)>,
    measured: Option<Measurement>,
}

/// Times of the calls at one target relative to those expected at any target of its service.
#[derive(Debug, Clone)]
struct Measurement {
    service: ServiceName,
    at: Instant,
    calls: u32,
    /// Moving average of the ratios.
    mean: f64,
}

impl TargetSpeed {
    fn is_expired(&self, now: Instant) -> bool {
        self.fresh_report(now).is_none() && self.fresh_measurement(now).is_none()
    }

    fn fresh_report(&self, now: Instant) -> Option<Slowdown> {
        let report = self.reported.filter(|(at, _)| now.since(*at) < REPORT_TTL);
        report.map(|(_, slowdown)| slowdown)
    }

    fn fresh_measurement(&self, now: Instant) -> Option<&Measurement> {
        let measured = self.measured.as_ref();
        measured.filter(|m| now.since(m.at) < MEASUREMENT_TTL)
    }

    /// Combines the report and the measurement.
    fn factor(&self, now: Instant, services: &HashMap<ServiceName, CallTimes>) -> TimeFactor {
        let reported = self.fresh_report(now).map(Slowdown::factor);
        let measured = self.fresh_measurement(now);
        let measured = measured.and_then(|m| m.factor(services.get(&m.service)?));
        TimeFactor::new(match (reported, measured) {
            (None, None) => 1.0,
            (None, Some(measured)) => measured,
            // A target may not draw calls by a figure that no call has confirmed.
            (Some(reported), None) => reported.max(1.0),
            (Some(reported), Some(measured)) => {
                let least = (measured / MAX_DISAGREEMENT).max(measured.min(1.0));
                reported.clamp(least, measured * MAX_DISAGREEMENT)
            }
        })
    }
}

impl Measurement {
    fn new(now: Instant, service: &ServiceName) -> Self {
        Self {
            service: service.clone(),
            at: now,
            calls: 0,
            mean: 1.0,
        }
    }

    fn on_call(&mut self, now: Instant, ratio: f64) {
        self.at = now;
        self.calls = self.calls.saturating_add(1);
        let weight = CALL_WEIGHT.max(1.0 / f64::from(self.calls));
        self.mean += (ratio - self.mean) * weight;
    }

    /// Returns the mean ratio; `None` after too few calls.
    fn mean(&self) -> Option<f64> {
        (self.calls >= MIN_CALLS).then_some(self.mean)
    }

    /// Returns the factor of the target's time on that of the middle target of its service, or 1 if chance
    /// explains the difference; `None` after too few calls.
    fn factor(&self, service: &CallTimes) -> Option<f64> {
        let factor = self.mean()? / service.middle_ratio();
        let calls = f64::from(self.calls).min(AVERAGED_CALLS);
        let error = service.standard_error(calls) / service.middle_ratio();
        match (factor - 1.0).abs() < error * MIN_STANDARD_ERRORS {
            true => Some(1.0),
            false => Some(factor),
        }
    }
}

impl TargetSpeeds {
    /// Records the figure that a target reported; `None` if its answer had none.
    pub fn on_report(&mut self, now: Instant, target: &TargetId, reported: Option<Slowdown>) {
        if reported.is_some() {
            self.reported_at = Some(now);
        }
        match (reported, self.targets.get_mut(target)) {
            (reported, Some(speed)) => speed.reported = reported.map(|s| (now, s)),
            (None, None) => {}
            (Some(_), None) => {
                let reported = reported.map(|s| (now, s));
                self.add(target, |speed| speed.reported = reported);
            }
        }
    }

    /// Records the time that a call took at a target that had a slot free for it: to the first event of a
    /// stream, or to a plain answer. `work` is the work that preceded it in any unit, as long as the unit is
    /// the same for all calls of the service.
    pub fn on_call_time(
        &mut self,
        now: Instant,
        service: &ServiceName,
        target: &TargetId,
        work: f64,
        took: Duration,
    ) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), CallTimes::default());
        }
        let times = self.services.get_mut(service);
        let Some((times, ratio)) = times.and_then(|t| t.on_call(now, work, took).map(|r| (t, r)))
        else {
            return;
        };
        let known = self.targets.get(target);
        let known = known.and_then(|speed| speed.fresh_measurement(now));
        let known = known.filter(|m| m.service == *service).cloned();
        let mut measurement = known.unwrap_or_else(|| Measurement::new(now, service));
        if measurement.calls > 0 {
            times.on_difference(ratio - measurement.mean);
        }
        measurement.on_call(now, ratio);
        match self.targets.get_mut(target) {
            Some(speed) => speed.measured = Some(measurement),
            None => self.add(target, |speed| speed.measured = Some(measurement)),
        }
    }

    /// Returns the factor on the usual time of work that a target needs at the moment.
    ///
    /// Counts every target as usual where no target reports figures: their speed then does not depend on
    /// other work on their machines.
    pub fn factor(&self, now: Instant, target: &TargetId) -> TimeFactor {
        let is_reported = |at: Instant| now.since(at) < REPORTING_TTL;
        let speed = self.targets.get(target);
        let speed = speed.filter(|_| self.reported_at.is_some_and(is_reported));
        speed.map_or(TimeFactor::USUAL, |s| s.factor(now, &self.services))
    }

    /// Returns the figure that a target reported, unless it has expired.
    pub fn reported(&self, now: Instant, target: &TargetId) -> Option<Slowdown> {
        self.targets.get(target)?.fresh_report(now)
    }

    /// Drops expired figures and all figures of targets that are gone, and compares the measured targets of
    /// each service.
    pub fn on_tick(&mut self, now: Instant, is_listed: impl Fn(&TargetId) -> bool) {
        self.targets
            .retain(|target, speed| !speed.is_expired(now) && is_listed(target));
        self.services.retain(|_, times| !times.is_expired(now));
        let mut ratios: HashMap<&ServiceName, Vec<f64>> = HashMap::new();
        for measured in self
            .targets
            .values()
            .filter_map(|s| s.fresh_measurement(now))
        {
            if let Some(mean) = measured.mean() {
                ratios.entry(&measured.service).or_default().push(mean);
            }
        }
        for (service, times) in &mut self.services {
            times.set_middle_ratio(ratios.remove(service).unwrap_or_default());
        }
    }

    /// Returns the number of targets for which there are figures.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether there are no figures.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Adds a target, unless there are too many.
    fn add(&mut self, target: &TargetId, set: impl FnOnce(&mut TargetSpeed)) {
        if self.targets.len() < MAX_TARGETS {
            set(self.targets.entry(target.clone()).or_default());
        }
    }
}
