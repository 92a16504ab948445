//! The gateway: callers' HTTP in, targets' HTTP out, sent directly.
//!
//! Everything runs on one thread. Decisions are synchronous types (`dispatcher`, `freshness`,
//! `peers`, `config`, `claims`, `limits`); the modules here do the input and output around them.

mod accounts;
mod admission;
mod attempt;
mod attempt_end;
mod body;
mod call;
mod claim_keeper;
mod confirm;
mod conn;
mod ending;
mod endings;
mod exchange;
mod feed;
mod fleet;
mod follow;
mod gateway;
mod gossip;
mod ingress;
mod listening;
mod metrics;
mod news;
mod once;
mod operators;
mod peer_calls;
mod place;
mod prompts;
mod stop;
mod stream;
mod sums;
mod view;
mod withdrawals;

use std::{net::SocketAddr, time::Duration};

pub(crate) use body::AnswerBody;
pub use gateway::{Gateway, GatewayParts};
pub use listening::Listening;
pub use stop::{Signals, StopReport};

use crate::{
    admission::warm_up::ColdRule,
    config::routes::CallerRules,
    ids::{DataHall, Region, VmId},
    membership::{datagram::CapacityClass, readers::FleetStart},
    retry::BudgetRule,
    settings::OperatorToken,
};

/// What a gateway needs to know; resolved and checked by settings or by an adapter.
#[derive(Debug, Clone)]
pub struct GatewayConfig {
    /// This VM.
    pub vm: VmId,
    /// The region it stands in, where that is told.
    pub region: Option<Region>,
    /// The data hall it stands in.
    pub data_hall: DataHall,
    /// What its link and processor can bear.
    pub strength: CapacityClass,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this VM is ready, if it does so on a port of its own.
    pub ready: Option<SocketAddr>,
    /// Where counters and histograms are read, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// Where operators connect, and by which tokens they are known.
    pub operators: Option<(SocketAddr, Vec<OperatorToken>)>,
    /// Where peers send datagrams, and ask what the store holds.
    pub peers: SocketAddr,
    /// Where some other routers may be reached at first.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time.
    pub start: FleetStart,
    /// The most connections of callers that this VM may have open.
    pub max_connections: usize,
    /// The most calls that it takes at once.
    pub max_calls: usize,
    /// Whether changes that operators confirm here are in force; else the configuration that the
    /// adapter decodes.
    pub own_config: bool,
    /// Bounds on callers; the limits hold until a configuration brings others.
    pub callers_rules: CallerRules,
    /// Decisions that are kept for `explain`.
    pub explain_kept: usize,
    /// What may change while the gateway runs.
    pub rules: Rules,
}

/// Bounds that may change while a gateway runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    /// How long after its revocation a key may still work; `None` where keys are relied on however
    /// long the store is away.
    pub revoke_bound: Option<Duration>,
    /// How many times the mean load a target may carry.
    pub cap_factor: f64,
    /// The fleet's budget of repeats.
    pub budget: BudgetRule,
    /// What cold targets may get at the most.
    pub cold: ColdRule,
    /// How long callers are still taken after a planned stop was asked for, until the balancer
    /// knows.
    pub serve_on: Duration,
    /// How long a planned stop may take.
    pub stop_time: Duration,
}
