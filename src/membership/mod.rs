//! Which other routers live, and who of them does what is done for all.

pub mod datagram;
mod feeders;
pub mod heartbeats;
mod hubs;
pub mod pace;
mod peer;
pub mod peers;
pub mod readers;
pub mod records;
