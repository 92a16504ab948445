//! The gateway, which accepts HTTP requests of callers and sends them directly to targets.
//!
//! Everything runs on one thread. Decisions are made by synchronous types (`dispatcher`, `freshness`,
//! `peers`, `config`, `claims`, `limits`); the modules here do the input and output around them.

mod accepted_changes;
mod accounts;
mod admission;
mod attempt;
mod attempt_end;
mod attempt_guard;
mod body;
mod call;
mod call_end;
mod claim_recorder;
mod claimed_calls;
mod confirm;
mod conn;
mod contended;
mod crash_checks;
mod deliveries;
mod dial;
mod event_queue;
mod event_source;
mod exchange;
mod feed;
mod flow;
mod gateway;
mod gossip;
mod ingress;
mod list_check;
mod listening;
mod metrics;
mod operators;
mod origin_log;
mod overlap;
mod path_checks;
mod path_metrics;
mod peer_calls;
mod peer_request;
mod read_body;
mod saved_state;
mod send_queue;
mod sent_call;
mod slot_lease;
mod stop;
mod store_sync;
mod store_updates;
mod stream;
mod stream_metrics;
mod stream_origins;
mod sums;
mod target_conn;
mod task;
mod tunnel;
mod tunnel_conn;
mod unanswered;
mod version_record;
mod view;
mod withdrawals;

use std::{net::SocketAddr, time::Duration};

pub(crate) use body::AnswerBody;
pub use contended::{ContendedRefusal, ShareDecision};
pub use dial::{Dialer, Dialling, TcpDialer};
pub use gateway::{Gateway, GatewayParts};
pub use listening::ListeningGateway;
pub use peer_calls::PeerConn;
pub use peer_request::PeerRequest;
pub use stop::{Signals, StopReport};

use crate::{
    admission::{shares::ShareScope, warm_up::ColdRule},
    config::routes::CallerRules,
    ids::{DataHall, Region, VmId},
    membership::{datagram::Strength, readers::FleetStart},
    retry::BudgetRule,
    settings::OperatorToken,
    units::ByteCount,
};

/// Configuration of a gateway, resolved and checked by the settings or by an adapter.
#[derive(Debug, Clone)]
pub struct GatewayConfig {
    /// Identifier of this VM.
    pub vm: VmId,
    /// Region of this VM, if configured.
    pub region: Option<Region>,
    /// Data hall of this VM.
    pub data_hall: DataHall,
    /// Capacity class of this VM's network link and processor.
    pub strength: Strength,
    /// Address at which callers connect.
    pub callers: SocketAddr,
    /// Address at which the load balancer checks whether this VM is ready, if it uses a separate port.
    pub ready: Option<SocketAddr>,
    /// Address at which counters and histograms are scraped, if any.
    pub metrics: Option<SocketAddr>,
    /// Address at which operators connect, and the tokens that authenticate them.
    pub operators: Option<(SocketAddr, Vec<OperatorToken>)>,
    /// Address to which peers send datagrams and requests for the contents of the store.
    pub peers: SocketAddr,
    /// Initial addresses of some other routers.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time.
    pub start: FleetStart,
    /// Maximum number of open connections of callers at this VM.
    pub max_connections: usize,
    /// Maximum number of calls in progress at this VM.
    pub max_calls: usize,
    /// Maximum number of connections of peers to targets that pass through this VM.
    pub max_tunnels: usize,
    /// Memory that this router may use; the bounds on held answers and request bodies follow from it.
    pub memory: ByteCount,
    /// Whether the configuration consists of changes that operators confirm at the routers; otherwise it
    /// is the one that the adapter decodes.
    pub own_config: bool,
    /// Rules for callers. The limits apply until a configuration provides others.
    pub callers_rules: CallerRules,
    /// Maximum number of decisions that are kept for `explain`.
    pub explain_kept: usize,
    /// Rules that may change while the gateway runs.
    pub rules: Rules,
}

/// Rules that may change while a gateway runs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rules {
    /// Maximum time for which a revoked key may still work; `None` if keys are accepted regardless of how
    /// long the store is unavailable.
    pub revoke_bound: Option<Duration>,
    /// Maximum load of a target, as a multiple of the mean load.
    pub cap_factor: f64,
    /// Time for which a leaving target still gets streams that no other target can continue.
    pub leaving_use_time: Duration,
    /// Retry budget of the fleet.
    pub budget: BudgetRule,
    /// Upper bound on the calls that are sent to cold targets.
    pub cold: ColdRule,
    /// Pools that are divided by demand while they are contended.
    pub shares: ShareScope,
    /// Time for which callers are still accepted after a planned stop was requested, so that the load
    /// balancer can detect it.
    pub serve_on: Duration,
    /// Maximum duration of a planned stop.
    pub stop_time: Duration,
}
