//! The protocol between routers: thrift frames over TCP, thrift datagrams over UDP.

mod codec;
mod datagram;
mod link;
mod pool;
mod server;
#[allow(
    missing_docs,
    dead_code,
    unused_imports,
    unused_extern_crates,
    clippy::all,
    clippy::pedantic,
    rustdoc::all
)]
mod wire;

pub use datagram::{Message, decode_datagram, encode_datagram};
pub use pool::{Admission, Control, ControlReply, OpenError, PeerPool, placed_size};
pub use server::{PeerService, serve};

/// Turns bytes off the network into a frame, for tests of the decoder.
pub fn check_frame(bytes: &[u8]) -> crate::Result<()> {
    codec::decode::<wire::Frame>(bytes).map(|_| ())
}

/// The version that both sides of a connection must speak.
pub const VERSION: i32 = 1;

/// Bytes of one stream that may be on their way before the receiver has taken any.
pub const WINDOW: usize = 128 * 1024;
