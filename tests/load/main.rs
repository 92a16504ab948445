//! Loads played in virtual time on the very decision types that the daemon runs.

mod model;
mod overload;
mod stale_counts;
