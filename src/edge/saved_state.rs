//! State that routers save in the store, for routers that start when no other is running: the targets, the
//! prompts that these have read, versions that left the list and the origins of streams. Also the address of a
//! router that knows no other.

use std::{rc::Rc, time::Duration};

use rand::Rng;
use serde::{Deserialize, Serialize};
use slog::{info, warn};

use super::{gateway::Gateway, stream_origins};
use crate::{
    discovery::TargetRecord,
    ids::{ServiceName, TargetId},
    lifecycle::Phase,
    prompt_cache::PromptPart,
    prompt_snapshot::PromptSnapshot,
    service_versions::VersionNotice,
    store::{StoreError, own},
    stream_origin::{OriginNotice, StreamKey},
    units::{Instant, StoreEra},
};

/// Time after its start for which a router waits for another one before it writes its address to the
/// store.
const FIRST_ANNOUNCE_DELAY: Duration = Duration::from_secs(1);

/// Interval between further writes of the address while it knows no other router.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(8);

/// Interval at which the prompts that targets have read are saved, if they changed.
///
/// Prompts read between the last save and the loss of all routers have to be read again. A shorter
/// interval costs more, as each write wakes the readers' watches.
const SAVE_INTERVAL: Duration = Duration::from_secs(2);

/// Minimum interval at which the state is saved because streams have begun. The log of their origins holds those
/// of twice this time.
const ORIGINS_SAVE_INTERVAL: Duration = Duration::from_secs(6);

/// Maximum size of the saved state, in bytes. Encoded in base64, it is well below the largest value
/// that the stores of the users' sites accept.
const MAX_SAVED_BYTES: usize = 512 << 10;

/// The saved state.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct SavedState {
    /// Shared parts of prompts, with the targets that have read them.
    prompts: PromptSnapshot,
    /// The targets in the list.
    targets: Vec<TargetRecord>,
    /// Mean time for which a call occupies a slot, by service.
    slot_times: Vec<(ServiceName, Duration)>,
    /// Versions that left the list a moment before.
    versions: Vec<VersionNotice>,
    /// Origins of streams of services with several versions.
    origins: Vec<OriginNotice>,
}

/// Decodes the saved state; returns an empty one if another version saved it.
pub(super) fn decode(cx: &Gateway, saved: &[u8]) -> SavedState {
    postcard::from_bytes(saved).unwrap_or_else(|e| {
        warn!(cx.log, "cannot decode saved prompts"; "why" => %e);
        SavedState::default()
    })
}

impl SavedState {
    /// Whether it has what a router that starts can't learn from the list of targets.
    fn has_history(&self) -> bool {
        !self.versions.is_empty() || !self.origins.is_empty()
    }
}

/// What of the state was saved last, to notice that it changed.
#[derive(Debug, Clone, Copy)]
struct SavedMarks {
    era: StoreEra,
    version_changes: u64,
    latest_origin: Option<StreamKey>,
    at: Instant,
}

impl SavedMarks {
    /// Whether so much has changed since that the state is to be saved again.
    fn is_outdated(self, now: Self) -> bool {
        let has_waited = now.at.since(self.at) >= ORIGINS_SAVE_INTERVAL;
        (self.era, self.version_changes) != (now.era, now.version_changes)
            || (self.latest_origin != now.latest_origin && has_waited)
    }
}

/// Restores the saved state after a list of targets.
///
/// `is_first` is set for the first list since this router started: only then are saved targets
/// restored, as the router does not know those whose entries expired before its start. The operators'
/// own configuration defines its targets itself, so none are restored with it.
pub(super) fn restore(cx: &Gateway, saved: SavedState, is_first: bool) {
    let now = cx.now();
    stream_origins::on_notices(cx, &saved.origins);
    let mut dispatcher = cx.dispatcher.borrow_mut();
    let discovery = &mut dispatcher.discovery;
    let expired = match is_first && !cx.cfg.own_config {
        true => {
            discovery.on_version_notices(now, &saved.versions);
            discovery.on_saved_targets(now, saved.targets)
        }
        false => Vec::new(),
    };
    for (service, slot_time) in &saved.slot_times {
        dispatcher
            .admission
            .on_restored_slot_time(service, *slot_time);
    }
    info!(cx.log, "restored saved prompts"; "parts" => saved.prompts.len(), "lapsed_targets" => expired.len(),
        "versions" => saved.versions.len(), "origins" => saved.origins.len());
    for (id, tokens, target) in saved.prompts.part_locations() {
        let part = PromptPart { id, tokens };
        dispatcher.cache.on_peer(&target, part, false);
    }
}

/// Saves the state periodically if it changed; one router does so for the whole fleet.
pub(super) async fn save(cx: Rc<Gateway>) {
    let mut saved: Option<SavedMarks> = None;
    loop {
        tokio::time::sleep(SAVE_INTERVAL).await;
        let prompts_changed = cx.dispatcher.borrow_mut().cache.take_unsaved();
        if writer_rank(&cx) != Some(0) {
            saved = None;
            continue;
        }
        let state = snapshot(&cx);
        let marks = SavedMarks {
            era: cx.mirror.borrow().revision().era,
            version_changes: cx.dispatcher.borrow().discovery.version_changes(),
            latest_origin: state.origins.first().map(|o| o.stream),
            at: cx.now(),
        };
        let history_changed =
            saved.map_or_else(|| state.has_history(), |before| before.is_outdated(marks));
        if !prompts_changed && !history_changed {
            saved = saved.or(Some(marks));
            continue;
        }
        match write(&cx, &state).await {
            Ok(()) => {
                info!(cx.log, "state saved"; "parts" => state.prompts.len(), "targets" => state.targets.len(),
                    "versions" => state.versions.len(), "origins" => state.origins.len(),
                    "took_ms" => cx.now().since(marks.at).as_millis() as u64);
                saved = Some(marks);
            }
            Err(e) => {
                info!(cx.log, "prompts not saved"; "parts" => state.prompts.len(), "why" => %e);
            }
        }
    }
}

/// Returns the rank of this router among those that write the state of the fleet, if it is one.
pub(super) fn writer_rank(cx: &Gateway) -> Option<usize> {
    let is_stopping = cx.phase() != Phase::Serving;
    let peers = cx.peers.borrow();
    peers.state_writer_rank(cx.now(), is_stopping)
}

async fn write(cx: &Gateway, state: &SavedState) -> Result<(), StoreError> {
    let result = match postcard::to_stdvec(state) {
        Ok(bytes) if bytes.len() <= MAX_SAVED_BYTES => cx.store.put(own::PROMPTS_KEY, bytes).await,
        Ok(bytes) => Err(StoreError::InvalidResponse(format!(
            "{} bytes exceed the size limit of the saved prompts",
            bytes.len()
        ))),
        Err(e) => Err(StoreError::InvalidResponse(e.to_string())),
    };
    cx.metrics.on_store_call("save");
    result
}

fn snapshot(cx: &Gateway) -> SavedState {
    let origins = stream_origins::to_save(cx);
    let dispatcher = cx.dispatcher.borrow();
    let has_read = |id: &TargetId| dispatcher.cache.cached_tokens(id).0 > 0;
    let slot_times = dispatcher.admission.mean_slot_times();
    SavedState {
        prompts: PromptSnapshot::new(&dispatcher.cache.shared_parts()),
        targets: dispatcher.discovery.targets_to_save(has_read),
        slot_times: slot_times.map(|(s, time)| (s.clone(), time)).collect(),
        versions: dispatcher.discovery.version_notices(cx.now()),
        origins,
    }
}

/// Writes the address at which peers reach this router to the store as long as it knows no peer.
pub(super) async fn announce_address(cx: Rc<Gateway>) {
    let mut pause = FIRST_ANNOUNCE_DELAY;
    loop {
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(pause.mul_f64(jitter)).await;
        pause = ANNOUNCE_INTERVAL;
        if cx.peers.borrow().live_count(cx.now()) > 1 {
            continue;
        }
        cx.metrics.on_store_call("announce");
        let key = own::router_key(&cx.cfg.vm);
        let address = cx.cfg.peers.to_string().into_bytes();
        if let Err(e) = cx.store.put_with_lease(&key, address).await {
            info!(cx.log, "cannot write this router's address to the store"; "why" => %e);
        }
    }
}
