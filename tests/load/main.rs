//! Simulated loads in virtual time, on the decision types that the daemon runs.

mod brittle_targets;
mod cold_targets;
mod crashing;
mod crashing_parts;
mod cut_off;
mod lock_out;
mod mixed_versions;
mod model;
mod most_callers;
mod overload;
mod pool_shares;
mod stale_counts;
mod uneven_targets;
mod withdrawals;
