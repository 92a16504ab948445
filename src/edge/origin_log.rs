//! Writes origins of streams to a log in the store, for a restart of all routers.
//!
//! A stream may last no longer than the interval at which the fleet's state is saved. Its origin is therefore
//! written a moment after it began, in a segment with the others of that moment. The segments are overwritten
//! in turn; what they held is in the saved state by then.

use std::{cell::Cell, rc::Rc, time::Duration};

use slog::{info, warn};
use tokio::task::spawn_local;

use super::{gateway::Gateway, saved_state, stream_origins};
use crate::{store::own, stream_origin::OriginNotice, units::Instant};

/// Intervals at which the writers of the log write, by their rank. The first one's decides how many streams a
/// loss of all routers ends; the second one writes what the first one may no longer have written.
const WRITE_INTERVALS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(500)];

/// Number of segments of each writer: more than it writes between two saves of the fleet's state.
const SEGMENTS: SegmentNumber = 128;

/// Maximum number of origins in one segment, in about 20 kilobytes.
const MAX_ORIGINS_PER_SEGMENT: usize = 1_024;

/// Maximum number of segments that are written at once. While the store is slow, a segment does not wait for the
/// one before.
const MAX_WRITES: usize = 6;

/// Pause after a write that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Number of a segment. Those of a later life follow those of an earlier one.
type SegmentNumber = u64;

/// State of the log at this router.
#[derive(Debug, Default)]
pub(crate) struct OriginLog {
    /// Number of the next segment.
    next: Cell<SegmentNumber>,
    /// Earliest time of the next write.
    retry_at: Cell<Instant>,
}

/// Writes the origins of streams periodically, if this router is one of those that write the fleet's state.
pub(super) async fn write(cx: Rc<Gateway>) {
    // Each write holds a reference until it ends.
    let writes = Rc::new(());
    loop {
        let rank = saved_state::writer_rank(&cx);
        let interval = rank.and_then(|rank| WRITE_INTERVALS.get(rank));
        tokio::time::sleep(*interval.unwrap_or(&WRITE_INTERVALS[1])).await;
        let may_write =
            Rc::strong_count(&writes) <= MAX_WRITES && cx.now() >= cx.origin_log.retry_at.get();
        let Some(writer) = rank.filter(|_| may_write) else {
            continue;
        };
        let origins = stream_origins::take_unsaved(&cx, MAX_ORIGINS_PER_SEGMENT);
        if origins.is_empty() {
            continue;
        }
        let number = cx.origin_log.next.get();
        cx.origin_log.next.set(number.wrapping_add(1));
        let (cx, write) = (Rc::clone(&cx), Rc::clone(&writes));
        spawn_local(async move {
            write_segment(&cx, writer, number, &origins).await;
            drop(write);
        });
    }
}

/// Writes one segment. If the store does not take it, its origins are part of a later one.
async fn write_segment(
    cx: &Gateway,
    writer: usize,
    number: SegmentNumber,
    origins: &[OriginNotice],
) {
    let began = cx.now();
    let slot = number % SEGMENTS;
    let written = match postcard::to_stdvec(&(number, origins)) {
        Ok(bytes) => cx.store.put(&own::origins_key(writer, slot), bytes).await,
        Err(e) => {
            warn!(cx.log, "cannot encode origins of streams"; "why" => %e);
            return;
        }
    };
    cx.metrics.on_store_call("origins");
    let took_ms = cx.now().since(began).as_millis() as u64;
    match written {
        Ok(()) => {
            cx.metrics
                .streams
                .origins_saved
                .inc_by(origins.len() as u64);
            info!(cx.log, "origins saved"; "origins" => origins.len(), "writer" => writer, "slot" => slot,
                "took_ms" => took_ms);
        }
        Err(e) => {
            cx.origin_log.retry_at.set(cx.now() + RETRY_PAUSE);
            cx.stream_origins.borrow_mut().on_not_saved(origins);
            info!(cx.log, "origins not saved"; "origins" => origins.len(), "writer" => writer,
                "took_ms" => took_ms, "why" => %e);
        }
    }
}

/// Restores the origins of segments that were read after a restart.
pub(super) fn restore(cx: &Gateway, segments: &[Vec<u8>]) {
    let mut decoded: Vec<(SegmentNumber, Vec<OriginNotice>)> = Vec::new();
    for segment in segments {
        match postcard::from_bytes(segment) {
            Ok(segment) => decoded.push(segment),
            Err(e) => warn!(cx.log, "cannot decode saved origins"; "why" => %e),
        }
    }
    // The latest ones last: the number of origins that are remembered is bounded.
    decoded.sort_unstable_by_key(|(number, _)| *number);
    for (number, origins) in &decoded {
        let next = &cx.origin_log.next;
        next.set(next.get().max(number.wrapping_add(1)));
        stream_origins::on_notices(cx, origins);
    }
}
