//! Reading a caller's body within its limits.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::{result_code::ResultCode, router::Shared};

/// Reads a body whole, up to the size and the time that the settings allow.
pub(super) async fn read(cx: &Arc<Shared>, body: Incoming) -> Result<Bytes, ResultCode> {
    let limit = cx.cfg.body_limit.0;
    let known = body.size_hint().lower();
    if known > limit as u64 {
        return Err(ResultCode::BodyTooLarge);
    }
    let whole = collect(body, limit);
    tokio::time::timeout(cx.cfg.body_timeout_ms.duration(), whole)
        .await
        .unwrap_or(Err(ResultCode::SlowSender))
}

async fn collect(mut body: Incoming, limit: usize) -> Result<Bytes, ResultCode> {
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ResultCode::HalfClosed)?;
        let data = frame.into_data().unwrap_or_default();
        if buf.len() + data.len() > limit {
            return Err(ResultCode::BodyTooLarge);
        }
        buf.extend_from_slice(&data);
    }
    Ok(buf.freeze())
}
