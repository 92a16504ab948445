//! The gateway: callers' HTTP in, targets' HTTP out, sent directly.
//!
//! Everything runs on one thread. Decisions are synchronous types (`dispatcher`, `freshness`,
//! `peers`); the modules here do the input and output around them.

mod attempt;
mod body;
mod call;
mod conn;
mod ending;
mod follow;
mod gateway;
mod gossip;
mod ingress;
mod metrics;
mod mirror;
mod stop;
mod stream;

use std::{net::SocketAddr, time::Duration};

pub use gateway::{Gateway, GatewayParts, Listening};
pub use stop::Signals;

use crate::{
    ids::{DataHall, VmId},
    membership::datagram::Strength,
    retry::BudgetRule,
};

/// What a gateway needs to know; resolved and checked by the adapter.
#[derive(Debug, Clone)]
pub struct GatewayConfig {
    /// This VM.
    pub vm: VmId,
    /// Where it stands.
    pub data_hall: DataHall,
    /// What its link and processor can bear.
    pub strength: Strength,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this VM is ready.
    pub ready: SocketAddr,
    /// Where counters and histograms are read, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// Where peers send datagrams, and ask what the store holds.
    pub peers: SocketAddr,
    /// Where some other routers may be reached at first.
    pub seeds: Vec<SocketAddr>,
    /// The most connections that this VM may have open.
    pub max_connections: usize,
    /// What may change while the gateway runs.
    pub rules: Rules,
}

/// Bounds that may change while a gateway runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    /// How long after its revocation a key may still work.
    pub revoke_bound: Duration,
    /// How many times the mean load a target may carry.
    pub cap_factor: f64,
    /// The fleet's budget of repeats.
    pub budget: BudgetRule,
    /// How long a planned stop may take.
    pub stop_time: Duration,
}
