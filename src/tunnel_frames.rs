//! Framing of the answers that a tunnel carries.
//!
//! The end of a connection between two routers does not tell whether the target ended its own connection, which
//! may complete an answer, or whether the answer broke off on the way. So the router that holds the target's
//! connection sends each piece with its length, and says so when the target has ended its connection in order.

use std::io;

use bytes::{Bytes, BytesMut};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Size of the length before each piece, in bytes.
const LENGTH_BYTES: usize = 2;

/// Maximum size of a piece, in bytes.
pub const MAX_PIECE_BYTES: usize = 8 << 10;

/// What a tunnel carries from a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TunnelFrame {
    /// A piece of an answer; not empty.
    Piece(Bytes),
    /// The target ended its connection in order.
    End,
}

/// Encodes and decodes the frames of one tunnel.
#[derive(Debug)]
pub struct TunnelCodec {
    lengths: LengthDelimitedCodec,
    has_ended: bool,
}

impl Default for TunnelCodec {
    fn default() -> Self {
        let lengths = LengthDelimitedCodec::builder()
            .length_field_length(LENGTH_BYTES)
            .max_frame_length(MAX_PIECE_BYTES)
            .new_codec();
        Self {
            lengths,
            has_ended: false,
        }
    }
}

impl Encoder<TunnelFrame> for TunnelCodec {
    type Error = io::Error;

    /// Fails if a piece is empty or above [`MAX_PIECE_BYTES`].
    fn encode(&mut self, frame: TunnelFrame, buf: &mut BytesMut) -> io::Result<()> {
        match frame {
            TunnelFrame::Piece(piece) if piece.is_empty() => {
                Err(io::Error::new(io::ErrorKind::InvalidInput, "empty piece"))
            }
            TunnelFrame::Piece(piece) => self.lengths.encode(piece, buf),
            TunnelFrame::End => self.lengths.encode(Bytes::new(), buf),
        }
    }
}

impl Decoder for TunnelCodec {
    type Item = TunnelFrame;
    type Error = io::Error;

    /// Fails if a length is above [`MAX_PIECE_BYTES`] or bytes follow the end.
    fn decode(&mut self, buf: &mut BytesMut) -> io::Result<Option<TunnelFrame>> {
        if self.has_ended && !buf.is_empty() {
            let e = io::Error::new(io::ErrorKind::InvalidData, "bytes after the end");
            return Err(e);
        }
        let piece = self.lengths.decode(buf)?;
        Ok(piece.map(|piece| match piece.is_empty() {
            true => {
                self.has_ended = true;
                TunnelFrame::End
            }
            false => TunnelFrame::Piece(piece.freeze()),
        }))
    }

    /// Fails with `UnexpectedEof` if the connection ended before [`TunnelFrame::End`].
    fn decode_eof(&mut self, buf: &mut BytesMut) -> io::Result<Option<TunnelFrame>> {
        match self.decode(buf)? {
            Some(frame) => Ok(Some(frame)),
            None if self.has_ended => Ok(None),
            None => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }
}
