//! Which other routers live, and who of them does what is done for all.

pub mod datagram;
mod hubs;
pub mod peers;
pub mod readers;
pub mod signs;
