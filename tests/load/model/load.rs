//! Parameters of a simulated load.

use std::time::Duration;

use scaleford::admission::{shares::ShareScope, warm_up::WarmUp};

use super::{
    brittle::BrittleSchedule, crashes::CrashSchedule, uneven::UnevenSchedule,
    withdrawals::WithdrawalSchedule,
};

/// A fleet, the calls sent to it, and the faults that happen during a run.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub routers: usize,
    pub targets: usize,
    pub slots: u32,
    /// Number of different prompts that calls share.
    pub prompts: usize,
    pub calls_per_s: f64,
    /// Factor on the call rate during the surge.
    pub surge: f64,
    /// Factor on the call rate of one account in ten during the surge.
    pub account_surge: f64,
    pub surge_from_s: u64,
    pub surge_to_s: u64,
    /// Maximum time from a call's first try to its first event, for a call in time.
    pub goal: Duration,
    /// Time after which a caller gives up.
    pub deadline: Duration,
    pub seed: u64,
    pub service: Service,
    /// Whether counts pass through hubs, at the interval that a fleet of this size uses.
    pub hubs: bool,
    pub change: Option<Change>,
    /// Call rate that a cold target tolerates, and for how long it is cold; `None` for no limit.
    pub warm_up: Option<WarmUp>,
    pub fleet: Fleet,
    /// A request that crashes targets; `None` if there is none.
    pub crashes: Option<CrashSchedule>,
    /// Targets that accept no calls; `None` if all accept calls.
    pub withdrawing: Option<WithdrawalSchedule>,
    /// Targets that become slower during a run; `None` if none do.
    pub slowdown: Option<Slowdown>,
    /// Time for which a call of a plain service occupies its slot.
    pub plain_call_time: Duration,
    /// Number of calls beyond its slots that a target of a plain service queues before it rejects more.
    pub plain_queue: usize,
    /// Number of accounts, from the last one, whose calls have a lower rank.
    pub low_rank_accounts: usize,
    /// Whether a call that a target rejected is sent to another one only as far as the retry budget allows.
    pub bounded_retries: bool,
    /// Pools that routers divide by demand.
    pub shares: ShareScope,
    /// Time in which no hub sends sums; `None` if hubs always do.
    pub hubs_silent: Option<(Duration, Duration)>,
    /// Second from which on nine tenths of the first tries arrive at one router.
    pub one_router_from_s: Option<u64>,
    /// Targets whose speed changes; `None` if all keep their usual speed.
    pub uneven: Option<UnevenSchedule>,
    /// Targets that crash when they reject too many calls; `None` if none do.
    pub brittle: Option<BrittleSchedule>,
}

/// Targets that become slower during a run.
#[derive(Debug, Clone, Copy)]
pub struct Slowdown {
    /// When they become slower, counted from the start of the run.
    pub from: Duration,
    /// Number of targets, from the first.
    pub targets: usize,
    /// Factor on the time for which a call occupies its slot.
    pub factor: u32,
}

/// Which other routers each router knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fleet {
    /// Each router knows all others.
    Whole,
    /// Each router knows only the routers of its own half.
    Halves,
    /// Each router knows only itself.
    Strangers,
}

/// Kind of service that the targets run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Service {
    /// Model engines, which read prompts.
    Engines,
    /// A plain service with short calls.
    Plain,
}

/// Targets that are added, lost, cut off or turn cold.
#[derive(Debug, Clone, Copy)]
pub struct Change {
    /// Seconds from the start of the run to the change.
    pub at_s: u64,
    /// Number of targets that are added; they are cold if `Load::warm_up` is set.
    pub added: usize,
    /// Number of targets that are lost.
    pub lost: usize,
    /// Number of existing targets that turn cold.
    pub cooled: usize,
    /// Number of targets that are cut off: calls to them hang.
    pub cut_off: usize,
}

impl Load {
    /// Base load without faults: a few routers and nine engines with little to do.
    ///
    /// Scenarios state the fields that they change.
    pub const CALM: Self = Self {
        routers: 7,
        targets: 9,
        slots: 64,
        prompts: 40,
        calls_per_s: 60.0,
        surge: 1.0,
        account_surge: 1.0,
        surge_from_s: 0,
        surge_to_s: 0,
        goal: Duration::from_millis(500),
        deadline: Duration::from_secs(5),
        seed: 1,
        service: Service::Engines,
        hubs: false,
        change: None,
        warm_up: None,
        fleet: Fleet::Whole,
        crashes: None,
        withdrawing: None,
        slowdown: None,
        plain_call_time: Duration::from_millis(30),
        plain_queue: 6,
        low_rank_accounts: 0,
        bounded_retries: false,
        shares: ShareScope::SmallPools,
        hubs_silent: None,
        one_router_from_s: None,
        uneven: None,
        brittle: None,
    };
}
