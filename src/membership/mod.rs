//! Fleet membership: which other routers are alive, and which of them perform fleet-wide duties.

pub mod datagram;
mod feeders;
pub mod first_read;
pub mod heartbeats;
mod holders;
mod hubs;
mod packed_sums;
mod peer;
pub mod peers;
pub mod readers;
pub mod records;
pub mod share_reports;
pub mod timing;
