//! Aggregates that hubs compute for other routers: counts of calls, rates of accounts, and reports on
//! contended pools.

use slog::debug;

use super::gateway::Gateway;
use crate::{
    admission::{
        HallRates,
        account_rates::{RATE_REPORT_INTERVAL, RateReport},
    },
    membership::{datagram::HallSums, share_reports::ShareSends},
    units::Instant,
};

/// Encoded sums of call counts, shared by all receivers.
#[derive(Default)]
pub(super) struct EncodedSums {
    /// Sums of all data halls, for the routers of this data hall.
    pub(super) for_own_hall: Vec<u8>,
    /// Sum of this data hall, for the hubs of the others.
    pub(super) for_other_halls: Vec<u8>,
}

impl EncodedSums {
    /// Encodes the counts of calls in progress that this router knows.
    pub(super) fn of_halls(cx: &Gateway) -> Self {
        let now = cx.now();
        let dispatcher = cx.dispatcher.borrow();
        let encode = |sums: &HallSums| match postcard::to_stdvec(sums) {
            Ok(bytes) => bytes,
            Err(e) => {
                debug!(cx.log, "cannot encode sums"; "why" => %e);
                Vec::new()
            }
        };
        Self {
            for_own_hall: encode(&dispatcher.load.all_hall_sums(now)),
            for_other_halls: encode(&vec![dispatcher.load.own_hall_sum(now)]),
        }
    }
}

/// Returns this router's own report on contended pools, to be sent to its hubs or to all peers of a
/// small fleet.
pub(super) fn own_shares(cx: &Gateway) -> ShareSends {
    ShareSends::own(cx.dispatcher.borrow().shares.own_report(cx.now()))
}

/// Returns the sums of reports on contended pools that this router sends as a hub.
pub(super) fn hall_shares(cx: &Gateway) -> ShareSends {
    let reports = cx.dispatcher.borrow().shares.hall_reports(cx.now());
    ShareSends::sums(reports).unwrap_or_else(|e| {
        debug!(cx.log, "cannot encode shares"; "why" => %e);
        ShareSends::default()
    })
}

/// Account rates to report.
#[derive(Default)]
pub(super) struct RateReports {
    /// Rates of this router's own calls.
    pub(super) own: Vec<RateReport>,
    /// Rates of data halls, if this router aggregates them.
    pub(super) halls: HallRates,
}

/// Time of the last report of account rates.
pub(super) struct RateReportSchedule(Instant);

impl RateReportSchedule {
    /// Creates a schedule whose first report is due one interval after `now`.
    pub(super) fn new(now: Instant) -> Self {
        Self(now)
    }

    /// Returns the rates if they are due, or else empty ones.
    pub(super) fn take(&mut self, cx: &Gateway, now: Instant) -> RateReports {
        if now.since(self.0) < RATE_REPORT_INTERVAL {
            return RateReports::default();
        }
        self.0 = now;
        let admission = &cx.dispatcher.borrow().admission;
        let halls = match cx.is_aggregator.get() {
            true => admission.hall_rates(now, &cx.cfg.data_hall),
            false => HallRates::default(),
        };
        RateReports {
            own: vec![admission.own_rates(now)],
            halls,
        }
    }
}
