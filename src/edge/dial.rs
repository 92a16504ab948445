//! Opens connections to targets.

use std::{future::Future, io, net::SocketAddr, pin::Pin};

use tokio::net::TcpStream;

/// Result of opening a connection, as a future.
pub type Dialling = Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>;

/// Opens the connections of a gateway to its targets.
pub trait Dialer {
    /// Connects to a target's address. Time limits are the caller's.
    fn dial(&self, address: SocketAddr) -> Dialling;
}

/// Connects directly over TCP.
#[derive(Debug, Clone, Copy, Default)]
pub struct TcpDialer;

impl Dialer for TcpDialer {
    fn dial(&self, address: SocketAddr) -> Dialling {
        Box::pin(TcpStream::connect(address))
    }
}
