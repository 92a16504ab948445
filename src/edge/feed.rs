//! Feeds other routers with what the store holds, each answer encoded once for all that ask the same.

use std::{collections::VecDeque, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{fleet, gateway::Gateway};
use crate::{
    config::freshness::PeerConfirmation,
    store::{MirrorReply, StoreError},
    units::{ConfigVersion, Instant, StoreRevision},
};

/// How long an asked router waits for something newer.
pub(super) const ASK_WAIT: Duration = Duration::from_secs(5);

/// How long one that feeds others waits for something newer: the proof that nothing is newer goes on with each answer, so
/// it grows older by this at most from one router to the next.
pub(super) const FEED_WAIT: Duration = Duration::from_millis(500);

/// How often a router that was asked looks whether it still hears of the store itself.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// How old a proof may be for the router that has it to feed others: the oldest one on a sound way, and a datagram that
/// had to be sent again.
pub(super) const FEEDS_FOR: Duration = Duration::from_millis(2_500);

/// Answers that are kept: those that ask are at the same revision, but for some that start or were away.
const ANSWERS_KEPT: usize = 4;

/// Bytes from which on an answer is packed as a whole.
const PACKED_FROM: usize = 4 << 10;

/// The largest answer that is unpacked, in bytes: some ten times the entries of the size to design for.
const UNPACK_LIMIT: usize = 64 << 20;

/// How hard answers are packed, from 0 to 10: entries of targets come to a fifth of their size.
const PACK_LEVEL: u8 = 3;

/// The first byte of an answer that is packed, and of one that is not.
const PACKED: u8 = 1;
const PLAIN: u8 = 0;

/// What one answer proves of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Proof {
    /// The configuration that the asked router applies.
    version: ConfigVersion,
    /// How old its proof was when it answered, in milliseconds.
    age_ms: u32,
    /// How long it held the question before, in milliseconds.
    held_ms: u32,
}

impl Proof {
    /// What a peer vouches for by an answer to a question that was sent at `asked`.
    pub(super) fn vouch(self, asked: Instant) -> PeerConfirmation {
        let ms = |ms: u32| Duration::from_millis(u64::from(ms));
        PeerConfirmation {
            echo: asked + ms(self.held_ms),
            age: ms(self.age_ms),
            version: self.version,
        }
    }

    /// Whether the router that sent it may go on to feed others.
    pub(super) fn is_recent(self) -> bool {
        Duration::from_millis(u64::from(self.age_ms)) < FEEDS_FOR
    }
}

/// Answers as they were encoded last.
#[derive(Default)]
pub(super) struct Answers(VecDeque<Answer>);

struct Answer {
    after: StoreRevision,
    revision: StoreRevision,
    body: Bytes,
}

/// What is newer than a revision, or nothing after `wait`; with what that proves.
pub(super) async fn newer(
    cx: &Gateway,
    after: StoreRevision,
    wait: Duration,
) -> Result<(Bytes, Option<Proof>), StoreError> {
    let asked = cx.now();
    let until = asked + wait;
    loop {
        let changed = cx.mirror_changed.notified();
        let now = cx.now();
        let is_behind = after < cx.mirror.borrow().revision();
        // Whoever asks a router that lost the store had better ask another one; one that starts waits for its own list.
        let is_useful = feeds(cx, now) || cx.mirror.borrow().revision() == StoreRevision::default();
        if is_behind || now >= until || !is_useful {
            let body = answer(cx, after)?;
            return Ok((body, proof(cx, now, now.since(asked))));
        }
        let pause = until.since(now).min(LOOK_EVERY);
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Whether this router knows what the store holds: it reads it, or whoever it asks does.
fn feeds(cx: &Gateway, now: Instant) -> bool {
    let age = cx.freshness.borrow().age(now);
    let is_fed = cx.peers.borrow().uses_feeders(now);
    cx.reads_store() || (is_fed && age.is_some_and(|age| age < FEEDS_FOR))
}

fn proof(cx: &Gateway, now: Instant, held: Duration) -> Option<Proof> {
    let freshness = cx.freshness.borrow();
    let age = freshness.age(now)?;
    Some(Proof {
        version: freshness.version(),
        age_ms: age.as_millis().try_into().unwrap_or(u32::MAX),
        held_ms: held.as_millis() as u32,
    })
}

fn answer(cx: &Gateway, after: StoreRevision) -> Result<Bytes, StoreError> {
    let revision = cx.mirror.borrow().revision();
    let unseen = fleet::unseen_entries(cx, revision);
    let mut answers = cx.answers.borrow_mut();
    let same = |a: &&Answer| a.after == after && a.revision == revision;
    // Changes that are not read back yet are no part of a revision.
    if let Some(kept) = answers.0.iter().find(same).filter(|_| unseen.is_empty()) {
        return Ok(kept.body.clone());
    }
    let mut told = cx.mirror.borrow().since(after);
    if let Some(MirrorReply::Changes(news) | MirrorReply::List(news)) = &mut told {
        news.items.extend(unseen);
    }
    let body = encode(&told.unwrap_or(MirrorReply::Nothing))?;
    answers.0.truncate(ANSWERS_KEPT - 1);
    let kept = Answer {
        after,
        revision,
        body: body.clone(),
    };
    answers.0.push_front(kept);
    Ok(body)
}

fn encode(told: &MirrorReply) -> Result<Bytes, StoreError> {
    let mut plain = vec![PLAIN];
    plain = postcard::to_extend(told, plain).map_err(garbled)?;
    if plain.len() < PACKED_FROM {
        return Ok(plain.into());
    }
    let mut packed = vec![PACKED];
    packed.extend(miniz_oxide::deflate::compress_to_vec(
        &plain[1..],
        PACK_LEVEL,
    ));
    Ok(packed.into())
}

/// Decodes an answer of a peer.
pub(super) fn decode(body: &[u8]) -> Result<MirrorReply, StoreError> {
    match body.split_first() {
        Some((&PLAIN, plain)) => postcard::from_bytes(plain).map_err(garbled),
        Some((&PACKED, packed)) => {
            let plain = miniz_oxide::inflate::decompress_to_vec_with_limit(packed, UNPACK_LIMIT);
            postcard::from_bytes(&plain.map_err(garbled)?).map_err(garbled)
        }
        _ => Err(garbled("an answer of another version")),
    }
}

fn garbled(e: impl std::fmt::Display) -> StoreError {
    StoreError::InvalidResponse(e.to_string())
}
