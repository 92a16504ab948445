//! What a replay measures.

use hdrhistogram::Histogram;
use scaleford::units::Priority;
use serde::Serialize;

/// Mean requests an engine below which the bound is not judged: one may always run.
const SMALL: f64 = 4.0;

#[derive(Default)]
pub struct Figures {
    pub requests: u64,
    pub refused: u64,
    pub lost: u64,
    pub moved: u64,
    pub reusable: u64,
    pub found: u64,
    /// By router.
    pub control_bytes: Vec<u64>,
    pub asked_homes: u64,
    pub decisions: u64,
    pub decision_ns: u64,
    waits: [Option<Histogram<u64>>; 3],
    skews: Vec<f64>,
    /// Skew and reuse over time, for the plot.
    pub series: Vec<(f64, f64, f64)>,
}

#[derive(Serialize)]
pub struct Report {
    pub policy: String,
    pub routers: usize,
    pub engines: usize,
    pub requests: u64,
    pub refused: u64,
    pub lost_with_routers: u64,
    pub skew_worst: f64,
    pub skew_p99: f64,
    pub skew_mean: f64,
    pub above_bound: f64,
    pub samples: usize,
    pub reuse: f64,
    pub moved_conversations: u64,
    pub homes_asked_per_request: f64,
    pub control_bytes_per_router_s: f64,
    pub control_bytes_busiest_router_s: f64,
    pub queue_wait_ms: Vec<Wait>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub decision_ns: Option<u64>,
}

#[derive(Serialize)]
pub struct Wait {
    pub priority: Priority,
    pub p50: u64,
    pub p99: u64,
    pub max: u64,
}

impl Figures {
    /// Looks at the serving engines' tokens and requests in progress.
    pub fn sample(&mut self, t_s: f64, engines: &[(u64, u32)]) {
        let n = engines.len().max(1) as f64;
        let mean = engines
            .iter()
            .map(|(tokens, _)| *tokens as f64)
            .sum::<f64>()
            / n;
        let running = engines.iter().map(|(_, r)| f64::from(*r)).sum::<f64>() / n;
        let worst = engines
            .iter()
            .map(|(tokens, _)| *tokens as f64)
            .fold(0.0, f64::max);
        if running >= SMALL {
            self.skews.push(worst / mean);
            let reuse = self.found as f64 / self.reusable.max(1) as f64;
            self.series.push((t_s, worst / mean, reuse));
        }
    }

    pub fn sent(&mut self, router: usize, bytes: u64) {
        if self.control_bytes.len() <= router {
            self.control_bytes.resize(router + 1, 0);
        }
        self.control_bytes[router] += bytes;
    }

    pub fn wait(&mut self, priority: Priority, ms: u64) {
        let new = || Histogram::new_with_max(3_600_000, 3).expect("histogram");
        let wait = self.waits[priority.rank() as usize].get_or_insert_with(new);
        wait.saturating_record(ms);
    }

    pub fn report(
        &self,
        policy: &str,
        routers: usize,
        engines: usize,
        seconds: f64,
        bound: f64,
        timing: bool,
    ) -> Report {
        let mut skews = self.skews.clone();
        skews.sort_by(f64::total_cmp);
        let n = skews.len().max(1);
        let at = |q: f64| {
            skews
                .get(((n - 1) as f64 * q) as usize)
                .copied()
                .unwrap_or(0.0)
        };
        let above = skews.iter().filter(|s| **s > bound).count();
        let bytes = &self.control_bytes;
        let busiest = bytes.iter().copied().max().unwrap_or(0);
        let waits = Priority::ALL.into_iter().filter_map(|priority| {
            let h = self.waits[priority.rank() as usize].as_ref()?;
            let (p50, p99) = (h.value_at_quantile(0.5), h.value_at_quantile(0.99));
            Some(Wait {
                priority,
                p50,
                p99,
                max: h.max(),
            })
        });
        Report {
            policy: policy.to_owned(),
            routers,
            engines,
            requests: self.requests,
            refused: self.refused,
            lost_with_routers: self.lost,
            skew_worst: round(at(1.0)),
            skew_p99: round(at(0.99)),
            skew_mean: round(skews.iter().sum::<f64>() / n as f64),
            above_bound: round(above as f64 / n as f64),
            samples: skews.len(),
            reuse: round(self.found as f64 / self.reusable.max(1) as f64),
            moved_conversations: self.moved,
            homes_asked_per_request: round(self.asked_homes as f64 / self.requests.max(1) as f64),
            control_bytes_per_router_s: round(
                bytes.iter().sum::<u64>() as f64 / seconds / routers as f64,
            ),
            control_bytes_busiest_router_s: round(busiest as f64 / seconds),
            queue_wait_ms: waits.collect(),
            decision_ns: timing.then(|| self.decision_ns / self.decisions.max(1)),
        }
    }
}

fn round(x: f64) -> f64 {
    (x * 10_000.0).round() / 10_000.0
}
