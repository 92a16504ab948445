//! Which other routers live, and who of them does what is done for all.

pub mod datagram;
pub mod heartbeats;
mod hubs;
pub mod pace;
pub mod peers;
pub mod readers;
