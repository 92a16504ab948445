//! What routers keep in the store of themselves: which targets there are and which prompts they have
//! read, for routers that start when no other is left to tell, and where a router is that knows no other.

use std::{rc::Rc, time::Duration};

use rand::Rng;
use serde::{Deserialize, Serialize};
use slog::{info, warn};

use super::gateway::Gateway;
use crate::{
    discovery::TargetRecord,
    ids::{ServiceName, TargetId},
    prompt_cache::PromptPart,
    prompt_snapshot::PromptSnapshot,
    store::{StoreError, own},
};

/// How long a router that has just started waits to hear of another one before it says in the
/// store where it is.
const FIRST_ANNOUNCE: Duration = Duration::from_secs(1);

/// How often it does so again while it knows no other.
const ANNOUNCE_EVERY: Duration = Duration::from_secs(8);

/// How often it is saved which prompts are read where, if that changed. What is read between the
/// last save and the loss of all routers is read again; each write wakes the readers' watches.
const SAVE_EVERY: Duration = Duration::from_secs(2);

/// The most that is saved, in bytes: well below the largest value of the users' sites in base64.
const SAVED_LIMIT: usize = 512 << 10;

/// What is saved.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct Saved {
    /// Shared parts of prompts with the targets that have read them.
    prompts: PromptSnapshot,
    /// The targets in the list.
    targets: Vec<TargetRecord>,
    /// How long calls hold a slot, by service.
    held: Vec<(ServiceName, Duration)>,
}

/// Decodes what was saved; nothing where another version saved it.
pub(super) fn decode(cx: &Gateway, saved: &[u8]) -> Saved {
    postcard::from_bytes(saved).unwrap_or_else(|e| {
        warn!(cx.log, "saved prompts not understood"; "why" => %e);
        Saved::default()
    })
}

/// Takes in which prompts were read where, after a list of targets; `is_first` in this router's life,
/// which knows nothing of targets that lapsed before it. Operators' own configuration states targets
/// itself.
pub(super) fn recall(cx: &Gateway, saved: Saved, is_first: bool) {
    let now = cx.now();
    let mut dispatcher = cx.dispatcher.borrow_mut();
    let lapsed = match is_first && !cx.cfg.own_config {
        true => dispatcher.discovery.on_saved_targets(now, saved.targets),
        false => Vec::new(),
    };
    for (service, held) in &saved.held {
        dispatcher.admission.on_restored_slot_time(service, *held);
    }
    info!(cx.log, "saved prompts"; "parts" => saved.prompts.len(), "lapsed_targets" => lapsed.len());
    for (id, tokens, target) in saved.prompts.part_locations() {
        let part = PromptPart { id, tokens };
        dispatcher.cache.on_peer(&target, part, false);
    }
}

/// Saves which prompts are read where, over and over; one router does it for all.
pub(super) async fn save(cx: Rc<Gateway>) {
    loop {
        tokio::time::sleep(SAVE_EVERY).await;
        let is_keeper = cx.peers.borrow().is_owner_of(cx.now(), "prompts");
        let changed = cx.dispatcher.borrow_mut().cache.take_unsaved();
        if !is_keeper || !changed {
            continue;
        }
        let now_saved = snapshot(&cx);
        let saved = match postcard::to_stdvec(&now_saved) {
            Ok(bytes) if bytes.len() <= SAVED_LIMIT => cx.store.put(own::PROMPTS_KEY, bytes).await,
            Ok(bytes) => Err(StoreError::InvalidResponse(format!(
                "{} bytes",
                bytes.len()
            ))),
            Err(e) => Err(StoreError::InvalidResponse(e.to_string())),
        };
        cx.metrics.on_store_call("save");
        if let Err(e) = saved {
            info!(cx.log, "prompts not saved"; "parts" => now_saved.prompts.len(), "why" => %e);
        }
    }
}

fn snapshot(cx: &Gateway) -> Saved {
    let dispatcher = cx.dispatcher.borrow();
    let has_read = |id: &TargetId| dispatcher.cache.cached_tokens(id).0 > 0;
    let held = dispatcher.admission.mean_slot_times();
    Saved {
        prompts: PromptSnapshot::new(&dispatcher.cache.shared_parts()),
        targets: dispatcher.discovery.targets_to_save(has_read),
        held: held.map(|(s, held)| (s.clone(), held)).collect(),
    }
}

/// Says in the store where peers reach this router, as long as it hears of none.
pub(super) async fn announce(cx: Rc<Gateway>) {
    let mut pause = FIRST_ANNOUNCE;
    loop {
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(pause.mul_f64(jitter)).await;
        pause = ANNOUNCE_EVERY;
        if cx.peers.borrow().live_count(cx.now()) > 1 {
            continue;
        }
        cx.metrics.on_store_call("announce");
        let key = own::router_key(&cx.cfg.vm);
        let address = cx.cfg.peers.to_string().into_bytes();
        if let Err(e) = cx.store.put_with_lease(&key, address).await {
            info!(cx.log, "not announced"; "why" => %e);
        }
    }
}
