//! Messages that routers exchange several times a second.

use serde::{Deserialize, Serialize};

use crate::{
    admission::{account_rates::RateReport, shares::ShareReport},
    brittle::BrittleNotice,
    doubtful_instances::DoubtNotice,
    ids::{ClientAccountId, DataHall, Incarnation, TargetId, VmId},
    limits::{Demand, Grant},
    outages::OutageNotice,
    prompt_cache::PartId,
    quarantine::{ClearNotice, CrashNotice, QuarantineNotice},
    service_versions::VersionNotice,
    stream_origin::OriginNotice,
    target_counts::{TargetCounts, TargetHash},
    units::{ConfigVersion, StoreRevision, Tokens},
};

use super::{heartbeats::MemberDigest, records::Exchange};

/// A reading of one router's clock, sent to a peer and echoed back by it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Incarnation of the router whose clock was read.
    pub incarnation: Incarnation,
    /// Microseconds since that incarnation started.
    pub micros: u64,
}

/// Capacity class of a router's VM, on a logarithmic scale: each step doubles the capacity.
///
/// Fleet-wide duties go to the routers of the higher classes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Strength(u8);

impl Strength {
    /// Computes the class of a VM from its link and its share of a core.
    ///
    /// The scarcer of the two decides; 10 Mbit/s of link are equivalent to a tenth of a core.
    pub fn new(link_mbps: f64, cpu_share: f64) -> Self {
        let steps = (link_mbps / 10.0).min(cpu_share * 10.0).max(1.0).log2();
        Self(steps.floor() as u8)
    }

    /// Returns the class of half the capacity.
    pub fn halved(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// Calls in progress at all routers of one data hall.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallSum {
    /// Data hall that the sum covers.
    pub hall: DataHall,
    /// Mean age of the counts when the sum was sent, in milliseconds.
    pub age_ms: u16,
    /// Calls in progress per target.
    pub counts: TargetCounts,
}

/// Calls in progress, with one sum per data hall.
pub type HallSums = Vec<HallSum>;

/// Message that one datagram carries between two routers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message<State = Box<Datagram>> {
    /// The sender's calls in progress and its other state.
    State(State),
    /// Request for a share of an account's limits, sent to the router that owns the account.
    ShareRequest {
        /// VM of the sender.
        from: VmId,
        /// Account whose limits are shared.
        account: ClientAccountId,
        /// Demand of the sender.
        demand: Demand,
    },
    /// Share of an account's limits that the receiver may use.
    ShareGrant {
        /// Account whose limits are shared.
        account: ClientAccountId,
        /// Granted share.
        grant: Grant,
    },
    /// Origins of streams of which the receiver keeps a copy.
    StreamOrigins(Vec<OriginNotice>),
}

/// State that one router sends to another several times a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// VM of the sender.
    pub vm: VmId,
    /// Data hall of the sender.
    pub hall: DataHall,
    /// Capacity class of the sender's link and processor.
    pub capacity: Strength,
    /// Sequence number of the datagram within the sender's incarnation.
    pub number: u64,
    /// Time at which the datagram was sent, by the sender's clock.
    pub sent: Stamp,
    /// Latest stamp that the sender received from the receiver.
    pub echo: Option<Stamp>,
    /// Configuration version that the sender applies, and the age of its confirmation in
    /// milliseconds.
    pub config: Option<(ConfigVersion, u32)>,
    /// Store readers, each with the time since it last received an answer from the store, in
    /// milliseconds.
    pub reader_ages: Vec<(VmId, u32)>,
    /// Store revision up to which the sender has every change.
    pub mirror_revision: StoreRevision,
    /// Time since the store answered the sender again after a failure, in milliseconds.
    pub store_regained_ms: Option<u32>,
    /// Number of calls that the sender accepted in the last seconds; the retry budget is divided by
    /// it.
    pub calls: u32,
    /// Whether the sender is stopping and no longer takes part in any fleet-wide duty.
    pub stopping: bool,
    /// Calls in progress at the sender, if they concern the receiver.
    pub load: Option<TargetCounts>,
    /// Calls in progress at all routers of some data halls: [`HallSums`], encoded once for all
    /// receivers. Empty unless the sender aggregates the counts of its data hall.
    pub halls: Vec<u8>,
    /// Member digest of each data hall, as its hub sees it; empty unless the sender is a hub.
    pub member_digests: Vec<MemberDigest>,
    /// Step of a membership comparison.
    pub exchange: Option<Exchange>,
    /// Request rates of accounts; usually empty.
    pub rates: Vec<RateReport>,
    /// Targets that just broke off a call at once, as seen by the sender or reported to it.
    pub outages: Vec<OutageNotice>,
    /// Targets that crashed while they ran requests, as found by the sender or reported to it.
    pub crashes: Vec<CrashNotice>,
    /// Requests that are quarantined and not known to be recorded in the store; usually empty.
    pub quarantined: Vec<QuarantineNotice>,
    /// Targets that do not answer the sender.
    pub suspected: Vec<TargetHash>,
    /// Shared prompt parts that were sent to a target for the first time.
    pub parts: Vec<(PartId, Tokens, TargetId)>,
    /// Sender's own report on contended pools; usually empty. This field and the next two are last: a
    /// datagram of an earlier version ends before them, so that it can't be decoded as another one.
    pub shares: Vec<ShareReport>,
    /// Reports on contended pools of all routers of some data halls, encoded once for all receivers;
    /// see [`super::share_reports`]. Empty unless the sender aggregates for its data hall.
    pub share_sums: Vec<u8>,
    /// Brittle targets, as they told the sender or others; usually empty.
    pub brittle: Vec<BrittleNotice>,
    /// Suspected parts of prompts that targets answered; usually empty.
    pub cleared: Vec<ClearNotice>,
    /// Software versions that left the list of targets a moment ago; usually empty.
    pub versions: Vec<VersionNotice>,
    /// Targets that may have restarted under their names; usually empty.
    pub doubts: Vec<DoubtNotice>,
}
