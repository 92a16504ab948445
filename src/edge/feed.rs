//! Serves the store's content to other routers. Identical requests share one encoded response.

use std::{collections::VecDeque, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{accepted_changes, gateway::Gateway};
use crate::{
    config::freshness::PeerConfirmation,
    store::{MirrorReply, StoreError},
    units::{ConfigVersion, Instant, StoreRevision},
};

/// Maximum time that a router holds a request until it has something newer.
pub(super) const MAX_HOLD_TIME: Duration = Duration::from_secs(5);

/// Maximum time that a router that feeds others holds a request until it has something newer.
///
/// Each response passes on the confirmation that nothing is newer, which thus ages by at most this time
/// from one router to the next.
pub(super) const MAX_FEEDER_HOLD_TIME: Duration = Duration::from_millis(500);

/// Interval at which a router that holds a request checks whether it can still serve the store's content.
const SOURCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum age of a router's confirmation for it to feed others: the oldest age on a healthy path, plus one
/// datagram that had to be sent again.
pub(super) const MAX_FEEDER_PROOF_AGE: Duration = Duration::from_millis(2_500);

/// Maximum number of cached responses. Requests are for the same revision, except from routers that
/// start or were disconnected.
const MAX_CACHED_RESPONSES: usize = 4;

/// Size from which a response is compressed as a whole, in bytes.
const MIN_BYTES_TO_COMPRESS: usize = 4 << 10;

/// Maximum size of a decompressed response, in bytes: about ten times the entries of the largest fleet
/// that is designed for.
const MAX_UNPACKED_BYTES: usize = 64 << 20;

/// Compression level of responses, from 0 to 10; it reduces entries of targets to a fifth of their size.
const COMPRESSION_LEVEL: u8 = 3;

/// First byte of a compressed response.
const COMPRESSED_TAG: u8 = 1;
/// First byte of an uncompressed response.
const UNCOMPRESSED_TAG: u8 = 0;

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
    pub(super) fn to_confirmation(self, sent: Instant) -> PeerConfirmation {
        let ms = |ms: u32| Duration::from_millis(u64::from(ms));
        PeerConfirmation {
            echo: sent + ms(self.held_ms),
            age: ms(self.age_ms),
            version: self.version,
        }
    }

    /// Returns whether the confirmation is recent enough for its sender to feed other routers.
    pub(super) fn is_recent(self) -> bool {
        Duration::from_millis(u64::from(self.age_ms)) < MAX_FEEDER_PROOF_AGE
    }
}

/// Most recently encoded responses, latest first.
#[derive(Default)]
pub(super) struct ResponseCache(VecDeque<CachedResponse>);

struct CachedResponse {
    after: StoreRevision,
    revision: StoreRevision,
    body: Bytes,
}

/// Returns the encoded changes after a revision, or an empty response once `wait` has passed, together
/// with the confirmation of the configuration.
pub(super) async fn changes_after(
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
        let is_useful =
            can_feed(cx, now) || cx.mirror.borrow().revision() == StoreRevision::default();
        if is_behind || now >= deadline || !is_useful {
            let body = encoded_response(cx, after)?;
            return Ok((body, proof(cx, now, now.since(received))));
        }
        let pause = deadline.since(now).min(SOURCE_CHECK_INTERVAL);
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Returns whether this router's copy of the store is current: it reads the store itself, or its feeder
/// confirmed the configuration recently.
fn can_feed(cx: &Gateway, now: Instant) -> bool {
    let age = cx.freshness.borrow().age(now);
    let uses_feeders = cx.peers.borrow().uses_feeders(now);
    cx.reads_store() || (uses_feeders && age.is_some_and(|age| age < MAX_FEEDER_PROOF_AGE))
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

fn encoded_response(cx: &Gateway, after: StoreRevision) -> Result<Bytes, StoreError> {
    let revision = cx.mirror.borrow().revision();
    let unstored = accepted_changes::unstored_entries(cx, revision);
    let mut cache = cx.response_cache.borrow_mut();
    let is_same = |a: &&CachedResponse| a.after == after && a.revision == revision;
    // Changes that have not been read back from the store yet are not part of a revision, so the cache is
    // not used while there are any.
    if let Some(cached) = cache.0.iter().find(is_same).filter(|_| unstored.is_empty()) {
        return Ok(cached.body.clone());
    }
    let mut reply = cx.mirror.borrow().since(after);
    if let Some(MirrorReply::Changes(update) | MirrorReply::List(update)) = &mut reply {
        update.items.extend(unstored);
    }
    let body = encode(&reply.unwrap_or(MirrorReply::Nothing))?;
    cache.0.truncate(MAX_CACHED_RESPONSES - 1);
    let cached = CachedResponse {
        after,
        revision,
        body: body.clone(),
    };
    cache.0.push_front(cached);
    Ok(body)
}

fn encode(reply: &MirrorReply) -> Result<Bytes, StoreError> {
    let mut uncompressed = vec![UNCOMPRESSED_TAG];
    uncompressed = postcard::to_extend(reply, uncompressed).map_err(invalid_response)?;
    if uncompressed.len() < MIN_BYTES_TO_COMPRESS {
        return Ok(uncompressed.into());
    }
    let mut compressed = vec![COMPRESSED_TAG];
    compressed.extend(miniz_oxide::deflate::compress_to_vec(
        &uncompressed[1..],
        COMPRESSION_LEVEL,
    ));
    Ok(compressed.into())
}

/// Decodes a peer's response.
pub(super) fn decode(body: &[u8]) -> Result<MirrorReply, StoreError> {
    match body.split_first() {
        Some((&UNCOMPRESSED_TAG, uncompressed)) => {
            postcard::from_bytes(uncompressed).map_err(invalid_response)
        }
        Some((&COMPRESSED_TAG, compressed)) => {
            let uncompressed =
                miniz_oxide::inflate::decompress_to_vec_with_limit(compressed, MAX_UNPACKED_BYTES);
            postcard::from_bytes(&uncompressed.map_err(invalid_response)?).map_err(invalid_response)
        }
        _ => Err(invalid_response("unknown response format")),
    }
}

fn invalid_response(e: impl std::fmt::Display) -> StoreError {
    StoreError::InvalidResponse(e.to_string())
}
