//! Opens connections to targets.

use std::{
    future::Future,
    io,
    net::{IpAddr, SocketAddr},
    pin::Pin,
};

use tokio::net::{TcpSocket, TcpStream};

/// Result of opening a connection, as a future.
pub type Dialling = Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>;

/// Opens the connections of a gateway to its targets.
pub trait Dialer {
    /// Connects to a target's address. Time limits are the caller's.
    fn dial(&self, address: SocketAddr) -> Dialling;
}

/// Connects directly over TCP.
#[derive(Debug, Clone, Copy, Default)]
pub struct TcpDialer {
    /// Address from which connections are opened; `None` if the system chooses it.
    pub source: Option<IpAddr>,
}

impl Dialer for TcpDialer {
    fn dial(&self, address: SocketAddr) -> Dialling {
        match self.source {
            Some(source) => Box::pin(dial_from(source, address)),
            None => Box::pin(TcpStream::connect(address)),
        }
    }
}

async fn dial_from(source: IpAddr, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind((source, 0).into())?;
    socket.connect(address).await
}
