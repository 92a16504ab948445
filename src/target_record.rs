//! A target as its entry in the list describes it.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{DataHall, ServiceName, TargetId},
    units::Tokens,
};

/// What a target says of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// It takes work.
    #[default]
    Ready,
    /// It finishes what it has and leaves.
    Leaving,
}

/// A target's entry in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// This start of the target.
    pub id: TargetId,
    /// What it serves.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_hall: DataHall,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Tokens that it may have in progress, where operators limit that.
    pub most_tokens: Option<Tokens>,
    /// Whether it takes work.
    pub state: TargetState,
    /// How much longer it is cold, as it said when it wrote its entry.
    pub cold_for: Duration,
}
