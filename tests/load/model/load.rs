//! What is played.

use std::time::Duration;

use scaleford::admission::warm_up::WarmUp;

use super::{crashes::Crashes, withdrawals::Withdrawing};

/// A load to play.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub routers: usize,
    pub targets: usize,
    pub slots: u32,
    /// Prompts that calls share.
    pub prompts: usize,
    pub calls_per_s: f64,
    /// How many times as many calls come within the surge.
    pub surge: f64,
    /// How many times as many calls come of one account in ten within the surge.
    pub account_surge: f64,
    pub surge_from_s: u64,
    pub surge_to_s: u64,
    pub goal: Duration,
    pub deadline: Duration,
    pub seed: u64,
    pub service: Service,
    /// Whether counts go through hubs, and are told as seldom as in a fleet of this size.
    pub hubs: bool,
    pub change: Option<Change>,
    /// What cold targets bear; `None` where nothing is asked of that.
    pub warm_up: Option<WarmUp>,
    pub fleet: Fleet,
    /// A request that ends targets; `None` where none does.
    pub crashes: Option<Crashes>,
    /// Targets that want no calls; `None` where none says so.
    pub withdrawing: Option<Withdrawing>,
}

/// What routers know of one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fleet {
    /// All of all.
    Whole,
    /// Each half only of its own.
    Halves,
    /// Each only of itself.
    Strangers,
}

/// What the targets are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Service {
    /// Model engines, which read prompts.
    Engines,
    /// A plain service with short calls.
    Plain,
}

/// Targets that come or go.
#[derive(Debug, Clone, Copy)]
pub struct Change {
    pub at_s: u64,
    pub added: usize,
    pub lost: usize,
    /// Of those that were there, how many turn cold.
    pub cooled: usize,
    /// How many are cut off: calls to them hang.
    pub cut_off: usize,
}

impl Load {
    /// Few routers before nine engines that have little to do, and nothing goes wrong: what a scenario changes it names.
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
    };
}
