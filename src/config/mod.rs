//! The accepted configuration and the ordered log of changes that produces it.
//!
//! Change `n` is stored in the platform's key-value service under its own key, which is created by
//! compare-and-swap on "absent": of two concurrent operators exactly one gets number `n`. Each change
//! contains the digest of the history before it, so a router can distinguish a change that follows its
//! own history from one of a store that was reverted to an older state.

pub mod freshness;
mod log;
mod model;
pub(crate) mod rerouting;
pub mod routes;
pub mod serving;

pub use log::{Change, ChangeOutcome, ConfigLog, Digest, MAX_RECENT_CHANGES, Snapshot, Update};
pub use model::{
    ClientAccount, Edit, FleetConfig, KeyHash, Model, RouteRule, Serves, Service, Target,
    TargetIntent,
};
