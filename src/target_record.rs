//! Describes a target as listed in the store.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{DataHall, ServiceName, SoftwareVersion, TargetId},
    units::Tokens,
};

/// State that a target reports for itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// The target accepts calls.
    #[default]
    Ready,
    /// The target finishes its calls and then leaves.
    Leaving,
}

/// A target's entry in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Id of the target, which is new each time it starts.
    pub id: TargetId,
    /// The service that the target provides.
    pub service: ServiceName,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Data hall in which the target runs.
    pub data_hall: DataHall,
    /// Number of requests that the target processes at once.
    pub slots: u32,
    /// Maximum number of tokens in progress, if operators limit it.
    pub max_tokens: Option<Tokens>,
    /// Whether the target accepts calls.
    pub state: TargetState,
    /// How much longer the target was cold when it wrote its entry.
    pub cold_for: Duration,
    /// Version of the software that the target runs.
    pub version: SoftwareVersion,
}
