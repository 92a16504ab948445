//! What hubs add up for others: counts of calls, and rates of accounts.

use slog::debug;

use super::gateway::Gateway;
use crate::{
    admission::{
        HallRates,
        account_rates::{RATE_REPORT_INTERVAL, RateReport},
    },
    membership::datagram::HallSums,
    units::Instant,
};

/// Sums as they are sent, encoded once for all receivers.
#[derive(Default)]
pub(super) struct Sums {
    /// Of all data halls, for the routers of this one.
    pub(super) all: Vec<u8>,
    /// Of this data hall, for the hubs of the others.
    pub(super) own: Vec<u8>,
}

impl Sums {
    /// What routers have in progress, as this one knows it.
    pub(super) fn of_halls(cx: &Gateway) -> Self {
        let now = cx.now();
        let dispatcher = cx.dispatcher.borrow();
        let encode = |sums: &HallSums| match postcard::to_stdvec(sums) {
            Ok(bytes) => bytes,
            Err(e) => {
                debug!(cx.log, "sums not encoded"; "why" => %e);
                Vec::new()
            }
        };
        Self {
            all: encode(&dispatcher.load.all_hall_sums(now)),
            own: encode(&vec![dispatcher.load.own_hall_sum(now)]),
        }
    }
}

/// Rates of accounts to report.
#[derive(Default)]
pub(super) struct Rates {
    /// Of this router's own calls.
    pub(super) own: Vec<RateReport>,
    /// Of data halls, where it adds up.
    pub(super) halls: HallRates,
}

/// When rates of accounts were last reported.
pub(super) struct RatesDue(Instant);

impl RatesDue {
    /// As if they were reported now.
    pub(super) fn new(now: Instant) -> Self {
        Self(now)
    }

    /// The rates, if they are due; else none.
    pub(super) fn take(&mut self, cx: &Gateway, now: Instant) -> Rates {
        if now.since(self.0) < RATE_REPORT_INTERVAL {
            return Rates::default();
        }
        self.0 = now;
        let admission = &cx.dispatcher.borrow().admission;
        let halls = match cx.adds_up.get() {
            true => admission.hall_rates(now, &cx.cfg.data_hall),
            false => HallRates::default(),
        };
        Rates {
            own: vec![admission.own_rates(now)],
            halls,
        }
    }
}
