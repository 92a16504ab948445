//! Writes origins of streams to a log in the store, for a restart of all routers.
//!
//! A stream may last no longer than the interval at which the fleet's state is saved. Its origin is therefore
//! written a moment after it began, in a segment with the others of that moment. The segments are overwritten
//! in turn; what they held is in the saved state by then.

use std::{rc::Rc, time::Duration};

use slog::{info, warn};

use super::{gateway::Gateway, saved_state, stream_origins};
use crate::{store::own, stream_origin::OriginNotice};

/// Intervals at which the writers of the log write, by their rank. The first one's decides how many streams a
/// loss of all routers ends; the second one writes what the first one may no longer have written.
const WRITE_INTERVALS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(500)];

/// Number of segments of each writer: more than it writes between two saves of the fleet's state.
const SEGMENTS: usize = 128;

/// Maximum number of origins in one segment, in about 20 kilobytes.
const MAX_ORIGINS_PER_SEGMENT: usize = 1_024;

/// Writes the origins of streams periodically, if this router is one of those that write the fleet's state.
pub(super) async fn write(cx: Rc<Gateway>) {
    let mut slot = 0;
    loop {
        let rank = saved_state::writer_rank(&cx);
        let interval = rank.and_then(|rank| WRITE_INTERVALS.get(rank));
        tokio::time::sleep(*interval.unwrap_or(&WRITE_INTERVALS[1])).await;
        let Some(writer) = rank else {
            continue;
        };
        let origins = stream_origins::take_unsaved(&cx, MAX_ORIGINS_PER_SEGMENT);
        if !origins.is_empty() && write_segment(&cx, writer, slot, &origins).await {
            slot = (slot + 1) % SEGMENTS;
        }
    }
}

/// Writes one segment. Returns whether it was written; if not, its origins are part of a later one.
async fn write_segment(cx: &Gateway, writer: usize, slot: usize, origins: &[OriginNotice]) -> bool {
    let began = cx.now();
    let written = match postcard::to_stdvec(origins) {
        Ok(bytes) => cx.store.put(&own::origins_key(writer, slot), bytes).await,
        Err(e) => {
            warn!(cx.log, "cannot encode origins of streams"; "why" => %e);
            return false;
        }
    };
    cx.metrics.on_store_call("origins");
    let took_ms = cx.now().since(began).as_millis() as u64;
    match &written {
        Ok(()) => {
            cx.metrics
                .streams
                .origins_saved
                .inc_by(origins.len() as u64);
            info!(cx.log, "origins saved"; "origins" => origins.len(), "writer" => writer, "slot" => slot,
                "took_ms" => took_ms);
        }
        Err(e) => {
            cx.stream_origins.borrow_mut().on_not_saved(origins);
            info!(cx.log, "origins not saved"; "origins" => origins.len(), "writer" => writer,
                "took_ms" => took_ms, "why" => %e);
        }
    }
    written.is_ok()
}

/// Restores the origins of one segment after a restart.
pub(super) fn restore(cx: &Gateway, segment: &[u8]) {
    match postcard::from_bytes::<Vec<OriginNotice>>(segment) {
        Ok(origins) => stream_origins::on_notices(cx, &origins),
        Err(e) => warn!(cx.log, "cannot decode saved origins"; "why" => %e),
    }
}
