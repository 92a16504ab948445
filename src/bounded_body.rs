//! Reads complete bodies of a bounded size: of answers of the store and of peers, and of operators' requests.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::blocks::Blocks;

/// Reason why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum BodyError<E> {
    /// The body is larger than the maximum size in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// The body ended before it was complete.
    #[error(transparent)]
    Broken(#[from] E),
}

/// Returns the whole body if it has at most `max_bytes`. Its sender may go on for ever, so nothing is read beyond that.
pub async fn read_whole<B>(mut body: B, max_bytes: usize) -> Result<Bytes, BodyError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut blocks = Blocks::default();
    while let Some(frame) = body.frame().await {
        let data = frame?.into_data().unwrap_or_default();
        if blocks.len() + data.len() > max_bytes {
            return Err(BodyError::TooLarge(max_bytes));
        }
        blocks.push(&data);
    }
    Ok(blocks.into_bytes())
}
