//! The caller's side of a tunnel: a connection to a target whose answers pass through a peer.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::{Buf, Bytes};
use futures::StreamExt;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tokio_util::codec::FramedRead;

use crate::tunnel_frames::{TunnelCodec, TunnelFrame};

/// How a peer sends the answers of a target through a tunnel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TunnelProtocol {
    /// As bare bytes, as routers of earlier versions do.
    Bare,
    /// As frames of [`crate::tunnel_frames`].
    Framed,
}

impl TunnelProtocol {
    /// Returns the name in the `Upgrade` header.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Bare => "scaleford-tunnel",
            Self::Framed => "scaleford-tunnel-framed",
        }
    }

    /// Returns the protocol that an `Upgrade` header names. Routers of earlier versions know only the bare one.
    pub(super) fn of(headers: &hyper::HeaderMap) -> Self {
        let named = headers.get(hyper::header::UPGRADE);
        match named.is_some_and(|v| v.as_bytes() == Self::Framed.name().as_bytes()) {
            true => Self::Framed,
            false => Self::Bare,
        }
    }
}

/// A tunnel as the connection that it stands for. Reading reports an end only where the peer said that the
/// target ended its connection; otherwise a tunnel that ends is an error.
pub(super) struct TunnelConn {
    frames: FramedRead<TcpStream, TunnelCodec>,
    protocol: TunnelProtocol,
    /// Part of the last piece that was not read yet.
    piece: Bytes,
    has_ended: bool,
}

impl TunnelConn {
    /// Wraps a connection to a peer that has become a tunnel.
    pub(super) fn new(stream: TcpStream, protocol: TunnelProtocol) -> Self {
        Self {
            frames: FramedRead::new(stream, TunnelCodec::default()),
            protocol,
            piece: Bytes::new(),
            has_ended: false,
        }
    }

    fn stream(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(self.frames.get_mut())
    }

    /// Reads from a peer that sends bare bytes. Whether the target ended its connection is not known, so the
    /// end is an error. Answers that have a length or chunks are complete before it.
    fn poll_read_bare(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        ready!(self.stream().poll_read(cx, buf))?;
        let is_end = buf.filled().len() == filled && buf.remaining() > 0;
        Poll::Ready(match is_end {
            true => Err(io::ErrorKind::UnexpectedEof.into()),
            false => Ok(()),
        })
    }
}

impl AsyncRead for TunnelConn {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.protocol == TunnelProtocol::Bare {
            return self.poll_read_bare(cx, buf);
        }
        while self.piece.is_empty() && !self.has_ended {
            match ready!(self.frames.poll_next_unpin(cx)) {
                Some(Ok(TunnelFrame::Piece(piece))) => self.piece = piece,
                Some(Ok(TunnelFrame::End)) => self.has_ended = true,
                Some(Err(e)) => return Poll::Ready(Err(e)),
                None => return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
            }
        }
        let n = self.piece.len().min(buf.remaining());
        buf.put_slice(&self.piece[..n]);
        self.piece.advance(n);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TunnelConn {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.frames.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_shutdown(cx)
    }
}
