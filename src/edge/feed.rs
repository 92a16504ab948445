//! Serves the store's content to other routers. Identical requests share one encoded response.

use std::{collections::VecDeque, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{fleet, gateway::Gateway};
use crate::{
    config::freshness::PeerConfirmation,
    store::{MirrorReply, StoreError},
    units::{ConfigVersion, Instant, StoreRevision},
};

/// Maximum time that a router holds a request until it has something newer.
pub(super) const ASK_WAIT: Duration = Duration::from_secs(5);

/// Maximum time that a router that feeds others holds a request until it has something newer.
///
/// Each response passes on the proof that nothing is newer, so the proof ages by at most this time
/// from one router to the next.
pub(super) const FEED_WAIT: Duration = Duration::from_millis(500);

/// Interval at which a router that holds a request checks whether it can still serve the store's content.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// Maximum age of a router's proof for it to feed others: the oldest age on a healthy path, plus one
/// datagram that had to be sent again.
pub(super) const FEEDS_FOR: Duration = Duration::from_millis(2_500);

/// Maximum number of cached responses. Requests are for the same revision, except from routers that
/// start or were disconnected.
const ANSWERS_KEPT: usize = 4;

/// Size from which a response is compressed as a whole, in bytes.
const PACKED_FROM: usize = 4 << 10;

/// Maximum size of a decompressed response, in bytes: about ten times the entries of the largest fleet
/// that is designed for.
const UNPACK_LIMIT: usize = 64 << 20;

/// Compression level of responses, from 0 to 10; it reduces entries of targets to a fifth of their size.
const PACK_LEVEL: u8 = 3;

/// First byte of a compressed response.
const PACKED: u8 = 1;
/// First byte of an uncompressed response.
const PLAIN: u8 = 0;

/// Confirmation of the applied configuration that accompanies a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Proof {
    /// Version of the configuration that the responding router applies.
    version: ConfigVersion,
    /// Age of its own confirmation when it responded, in milliseconds.
    age_ms: u32,
    /// Time for which it held the request before it responded, in milliseconds.
    held_ms: u32,
}

impl Proof {
    /// Returns the peer's confirmation that follows from its response to a request sent at `asked`.
    pub(super) fn vouch(self, sent: Instant) -> PeerConfirmation {
        let ms = |ms: u32| Duration::from_millis(u64::from(ms));
        PeerConfirmation {
            echo: sent + ms(self.held_ms),
            age: ms(self.age_ms),
            version: self.version,
        }
    }

    /// Returns whether the proof is recent enough for its sender to feed other routers.
    pub(super) fn is_recent(self) -> bool {
        Duration::from_millis(u64::from(self.age_ms)) < FEEDS_FOR
    }
}

/// Most recently encoded responses, latest first.
#[derive(Default)]
pub(super) struct Answers(VecDeque<Answer>);

struct Answer {
    after: StoreRevision,
    revision: StoreRevision,
    body: Bytes,
}

/// Returns the encoded changes after a revision, or an empty response once `wait` has passed, together
/// with the proof of the configuration.
pub(super) async fn newer(
    cx: &Gateway,
    after: StoreRevision,
    wait: Duration,
) -> Result<(Bytes, Option<Proof>), StoreError> {
    let received = cx.now();
    let deadline = received + wait;
    loop {
        let changed = cx.mirror_changed.notified();
        let now = cx.now();
        let is_behind = after < cx.mirror.borrow().revision();
        // A router that lost the store responds at once, so that the peer asks another one. A router that
        // starts holds the request until its own first list arrives.
        let is_useful = feeds(cx, now) || cx.mirror.borrow().revision() == StoreRevision::default();
        if is_behind || now >= deadline || !is_useful {
            let body = answer(cx, after)?;
            return Ok((body, proof(cx, now, now.since(received))));
        }
        let pause = deadline.since(now).min(LOOK_EVERY);
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Returns whether this router's copy of the store is current: it reads the store itself, or its feeder
/// confirmed the configuration recently.
fn feeds(cx: &Gateway, now: Instant) -> bool {
    let age = cx.freshness.borrow().age(now);
    let uses_feeders = cx.peers.borrow().uses_feeders(now);
    cx.reads_store() || (uses_feeders && age.is_some_and(|age| age < FEEDS_FOR))
}

fn proof(cx: &Gateway, now: Instant, hold_time: Duration) -> Option<Proof> {
    let freshness = cx.freshness.borrow();
    let age = freshness.age(now)?;
    Some(Proof {
        version: freshness.version(),
        age_ms: age.as_millis().try_into().unwrap_or(u32::MAX),
        held_ms: hold_time.as_millis() as u32,
    })
}

fn answer(cx: &Gateway, after: StoreRevision) -> Result<Bytes, StoreError> {
    let revision = cx.mirror.borrow().revision();
    let unseen = fleet::unseen_entries(cx, revision);
    let mut cache = cx.response_cache.borrow_mut();
    let is_same = |a: &&Answer| a.after == after && a.revision == revision;
    // Changes that have not been read back from the store yet are not part of a revision, so a response
    // with such changes is not taken from the cache.
    if let Some(cached) = cache.0.iter().find(is_same).filter(|_| unseen.is_empty()) {
        return Ok(cached.body.clone());
    }
    let mut reply = cx.mirror.borrow().since(after);
    if let Some(MirrorReply::Changes(update) | MirrorReply::List(update)) = &mut reply {
        update.items.extend(unseen);
    }
    let body = encode(&reply.unwrap_or(MirrorReply::Nothing))?;
    cache.0.truncate(ANSWERS_KEPT - 1);
    let cached = Answer {
        after,
        revision,
        body: body.clone(),
    };
    cache.0.push_front(cached);
    Ok(body)
}

fn encode(reply: &MirrorReply) -> Result<Bytes, StoreError> {
    let mut uncompressed = vec![PLAIN];
    uncompressed = postcard::to_extend(reply, uncompressed).map_err(garbled)?;
    if uncompressed.len() < PACKED_FROM {
        return Ok(uncompressed.into());
    }
    let mut compressed = vec![PACKED];
    compressed.extend(miniz_oxide::deflate::compress_to_vec(
        &uncompressed[1..],
        PACK_LEVEL,
    ));
    Ok(compressed.into())
}

/// Decodes a peer's response.
pub(super) fn decode(body: &[u8]) -> Result<MirrorReply, StoreError> {
    match body.split_first() {
        Some((&PLAIN, uncompressed)) => postcard::from_bytes(uncompressed).map_err(garbled),
        Some((&PACKED, compressed)) => {
            let uncompressed =
                miniz_oxide::inflate::decompress_to_vec_with_limit(compressed, UNPACK_LIMIT);
            postcard::from_bytes(&uncompressed.map_err(garbled)?).map_err(garbled)
        }
        _ => Err(garbled("unknown response format")),
    }
}

fn garbled(e: impl std::fmt::Display) -> StoreError {
    StoreError::InvalidResponse(e.to_string())
}
