//! Frames on a connection: thrift's compact protocol behind a length.

use bytes::Bytes;
use thrift::protocol::{TCompactInputProtocol, TCompactOutputProtocol, TSerializable};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::{Error, Result};

/// What a frame may have beyond the largest body.
const FRAME_SLACK: usize = 256 * 1024;

/// The framing for connections that carry bodies up to `body_limit`.
pub(super) fn framed<T>(io: T, body_limit: usize) -> Framed<T, LengthDelimitedCodec>
where
    T: tokio::io::AsyncRead + tokio::io::AsyncWrite,
{
    LengthDelimitedCodec::builder()
        .max_frame_length(body_limit + FRAME_SLACK)
        .new_framed(io)
}

/// Writes a thrift value.
pub(super) fn encode<T: TSerializable>(value: &T) -> Result<Bytes> {
    let mut buf = Vec::with_capacity(256);
    let mut out = TCompactOutputProtocol::new(&mut buf);
    value
        .write_to_out_protocol(&mut out)
        .map_err(|e| Error::Protocol(e.to_string()))?;
    Ok(buf.into())
}

/// Reads a thrift value.
pub(super) fn decode<T: TSerializable>(bytes: &[u8]) -> Result<T> {
    let mut input = TCompactInputProtocol::new(bytes);
    T::read_from_in_protocol(&mut input).map_err(|e| Error::Protocol(e.to_string()))
}
