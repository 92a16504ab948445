//! The accepted configuration, and the one ordered log of changes that makes it.
//!
//! Change `n` lies in the platform's key-value service under its own key, created by
//! compare-and-swap on "absent": of two operators exactly one gets number `n`. Each change
//! names the digest of the configuration before it, so a router can tell a change that
//! follows its own history from one that belongs to a store set back to an older state.

pub mod freshness;
mod log;
mod model;
pub mod routes;
pub mod serving;

pub use log::{Change, ChangeOutcome, ConfigLog, Digest, RING, Snapshot, Update};
pub use model::{
    ClientAccount, Edit, FleetConfig, KeyHash, Model, RouteRule, Serves, Service, Target,
    TargetIntent,
};
