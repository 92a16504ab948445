//! Applies updates from the store or from a peer that reads it: each entry is passed to the component
//! that uses it.

use std::net::SocketAddr;

use slog::{info, warn};

use super::{
    accepted_changes, crash_checks, gateway::Gateway, origin_log, saved_state, version_record,
};
use crate::{
    config::serving::ServingConfig,
    discovery::{Changes, ListChange, RETURN_GRACE, TargetChange},
    ids::{DataHall, TargetId, TargetName},
    store::{
        StoreChange, StoreItem, StoreUpdate,
        own::{self, OwnEntry},
    },
    units::{Instant, StoreRevision},
};

/// Maximum number of targets of one update that are logged individually. Without it, a router that
/// starts would write a line for each of thousands.
const MAX_TARGETS_LOGGED: usize = 200;

/// Applies an update from the store or from a reader.
pub(super) fn apply_update(cx: &Gateway, update: &StoreUpdate, is_list: bool, from: SocketAddr) {
    let now = cx.now();
    let known = cx.mirror.borrow().revision();
    match update.revision.era {
        // The response was in transit when this router learned of a later store era.
        era if era < known.era => return,
        era if era > known.era && known != StoreRevision::default() => {
            on_store_reverted(cx, known, update.revision, from);
        }
        _ => {}
    }
    {
        let mut mirror = cx.mirror.borrow_mut();
        match is_list {
            true => mirror.on_list(update),
            false => mirror.on_changes(update),
        }
    }
    cx.mirror_changed.notify_waiters();
    let known = cx.mirror.borrow().revision();
    cx.metrics.store_era.set(known.era.0.cast_signed());
    cx.metrics.store_revision.set(known.number.cast_signed());
    let is_first = !cx.dispatcher.borrow().discovery.is_loaded();
    let history = apply_own_entries(cx, &update.items, is_list);
    // The first list may come from a router that lacks the last segments; they follow as changes.
    let has_followed = cx.dispatcher.borrow().discovery.has_followed_list(now);
    if is_first || (!is_list && !has_followed) {
        origin_log::restore(cx, &history.origins);
    }
    if is_list {
        cx.stored_config.set(None);
    }
    let (mut list, mut evacuated, mut changes) = (Vec::new(), Vec::new(), Vec::new());
    for item in update.items.iter().filter(|i| own::decode(i).is_none()) {
        let at = item.revision;
        match cx.store.decode(item) {
            Ok(StoreChange::Config(config)) => apply_config(cx, *config, from),
            Ok(StoreChange::ConfigUnusable { why }) => on_config_unusable(cx, &why, at),
            Ok(StoreChange::Target(record)) if is_list => list.push((record, at)),
            Ok(StoreChange::Target(record)) => changes.push((ListChange::Put(record), at)),
            Ok(StoreChange::TargetRemoved(name)) => changes.push((ListChange::Removed(name), at)),
            Ok(StoreChange::TargetUnusable { name, why }) => {
                log_unusable(cx, &name, &why, at);
                changes.push((ListChange::Unusable(name), at));
            }
            Ok(StoreChange::HallEvacuated(hall)) if is_list => evacuated.push((hall, at)),
            Ok(StoreChange::HallEvacuated(hall)) => on_hall_change(cx, now, hall, true, at),
            Ok(StoreChange::HallEvacuationEnded(hall)) => on_hall_change(cx, now, hall, false, at),
            Ok(StoreChange::Other) => {}
            Err(why) => log_undecodable(cx, item, &why),
        }
    }
    on_changes(cx, now, changes, update.revision);
    if is_list && !cx.cfg.own_config {
        let (halls, changes) = {
            let discovery = &mut cx.dispatcher.borrow_mut().discovery;
            // Evacuated halls are applied before targets, as a target of such a hall must not be used even
            // briefly.
            let halls = discovery.on_hall_list(now, evacuated, update.revision);
            (halls, discovery.on_list(now, list, update.revision))
        };
        for hall in halls {
            log_hall(cx, &hall, update.revision);
        }
        on_targets_changed(cx, &changes, update.revision);
    }
    match history.versions {
        Some((record, revision)) => version_record::apply(cx, &record, revision),
        None if is_list => version_record::on_missing(cx),
        None => {}
    }
    if let Some(saved) = history.saved {
        saved_state::restore(cx, saved, is_first);
    }
}

/// What routers stored for those that start, to be applied after the list of targets.
#[derive(Default)]
pub(super) struct StoredHistory {
    saved: Option<saved_state::SavedState>,
    /// Encoded record of software versions, and the revision that wrote it.
    versions: Option<(Vec<u8>, StoreRevision)>,
    /// Segments of the log of stream origins.
    origins: Vec<Vec<u8>>,
}

/// Handles a store that was restored from an older copy: lost entries that are known here may be about
/// to be written again.
fn on_store_reverted(
    cx: &Gateway,
    known: StoreRevision,
    revision: StoreRevision,
    from: SocketAddr,
) {
    info!(cx.log, "store era"; "era" => revision.era.0, "before" => known.era.0,
        "revision" => revision.number, "known" => known.number, "from" => %from);
    cx.claims.on_store_reverted();
    cx.stream_origins.borrow_mut().on_store_reverted(cx.now());
    let settled_at = cx.now() + RETURN_GRACE;
    cx.freshness.borrow_mut().on_store_reverted(settled_at);
    let mut dispatcher = cx.dispatcher.borrow_mut();
    dispatcher.quarantine.on_store_reverted();
    dispatcher.cache.on_store_reverted();
    if !cx.cfg.own_config {
        dispatcher.discovery.on_store_reverted(cx.now());
    }
}

/// Applies the mirror's whole content once the time is over in which entries lost in a reversion are
/// written again.
pub(super) fn apply_settled_content(cx: &Gateway) {
    let is_settled = {
        let discovery = &mut cx.dispatcher.borrow_mut().discovery;
        discovery.take_settled(cx.now())
    };
    if is_settled {
        let content = cx.mirror.borrow().list();
        apply_update(cx, &content, true, cx.cfg.peers);
    }
}

/// Applies entries that routers wrote. A whole configuration is applied before changes, which build on
/// it. Returns what is to be applied after the list of targets.
pub(super) fn apply_own_entries(cx: &Gateway, items: &[StoreItem], is_list: bool) -> StoredHistory {
    let mut changes = Vec::new();
    let mut history = StoredHistory::default();
    let own = items.iter().filter_map(|i| own::decode(i).map(|e| (i, e)));
    for (item, entry) in own {
        match entry {
            Ok(OwnEntry::Router(address)) => {
                cx.peers.borrow_mut().add_address(cx.now(), address);
            }
            Ok(OwnEntry::Prompts(saved)) if is_list => {
                history.saved = Some(saved_state::decode(cx, &saved));
            }
            Ok(OwnEntry::Versions(record)) => history.versions = Some((record, item.revision)),
            Ok(OwnEntry::Origins(segment)) => history.origins.push(segment),
            Ok(OwnEntry::Snapshot(snapshot)) if cx.cfg.own_config => {
                accepted_changes::apply_snapshot(cx, *snapshot);
            }
            Ok(OwnEntry::Change(change)) if cx.cfg.own_config => changes.push(*change),
            Ok(OwnEntry::Quarantined(key)) => {
                let now = cx.now();
                let change = {
                    let quarantine = &mut cx.dispatcher.borrow_mut().quarantine;
                    quarantine.on_stored(now, key)
                };
                crash_checks::log_change(cx, key, change, "entered in the store");
            }
            Ok(OwnEntry::QuarantineEnded(key)) => {
                let change = {
                    let quarantine = &mut cx.dispatcher.borrow_mut().quarantine;
                    quarantine.on_removed(key)
                };
                crash_checks::log_change(cx, key, change, "its store entry was removed");
            }
            Ok(_) => {}
            Err(why) => log_undecodable(cx, item, &why),
        }
    }
    for change in changes {
        accepted_changes::apply_change(cx, change);
    }
    history
}

fn log_undecodable(cx: &Gateway, item: &StoreItem, why: &str) {
    warn!(cx.log, "cannot decode store entry"; "key" => &item.key, "why" => why);
}

fn apply_config(cx: &Gateway, config: ServingConfig, from: SocketAddr) {
    let (revision, version, routes) = (config.revision, config.version, config.route_count());
    cx.stored_config.set(Some(version));
    for why in &config.left_out {
        cx.metrics.entries_unusable.inc();
        warn!(cx.log, "config entry left out"; "why" => why, "version" => version.0, "revision" => revision.number);
    }
    let before = cx.serving();
    // Each write has its own number, so a write with a known version and number was made before the store
    // was reverted.
    let is_known = |b: &ServingConfig| (b.version, b.revision.number) == (version, revision.number);
    let is_old = |b: &ServingConfig| version < b.version || is_known(b);
    if !before.as_deref().is_some_and(is_old) {
        cx.freshness.borrow_mut().on_config_rewritten();
    }
    let before = before.map(|b| (b.version.0, b.revision.number));
    let applied = cx.apply(config);
    let (version_before, revision_before) = before.unzip();
    info!(cx.log, "config"; "version" => version.0, "revision" => revision.number, "routes" => routes,
        "applied" => applied, "from" => %from, "version_before" => version_before,
        "revision_before" => revision_before);
}

/// Handles a configuration that can't be decoded: the store no longer confirms the one before it, from which it may have
/// taken keys away.
fn on_config_unusable(cx: &Gateway, why: &str, at: StoreRevision) {
    cx.stored_config.set(None);
    cx.metrics.entries_unusable.inc();
    warn!(cx.log, "config unusable"; "why" => why, "revision" => at.number);
}

fn on_changes(
    cx: &Gateway,
    now: Instant,
    changes: Vec<(ListChange, StoreRevision)>,
    at: StoreRevision,
) {
    let changes = {
        let mut dispatcher = cx.dispatcher.borrow_mut();
        dispatcher.discovery.on_changes(now, changes)
    };
    on_targets_changed(cx, &changes, at);
}

/// Handles the effects of one update on targets. Each one is logged, or only their number if there are many;
/// targets whose instance ended are always logged.
fn on_targets_changed(cx: &Gateway, changes: &Changes, at: StoreRevision) {
    for pair in changes.windows(2) {
        if let [(former, TargetChange::Restarted), (current, _)] = pair {
            let withdrawals = &mut cx.dispatcher.borrow_mut().withdrawals;
            withdrawals.on_restarted(former, current);
        }
    }
    let is_many = changes.len() > MAX_TARGETS_LOGGED;
    for (id, change) in changes {
        match is_many && !change.ends_instance() {
            true => {}
            false => log_target(cx, id, *change, at),
        }
    }
    if is_many {
        let targets = cx.dispatcher.borrow().discovery.all().count();
        info!(cx.log, "targets"; "changed" => changes.len(), "targets" => targets, "revision" => at.number);
    }
}

/// Logs and counts an entry that names no usable target. It replaces the previous entry of that key,
/// regardless of its writer.
fn log_unusable(cx: &Gateway, name: &TargetName, why: &str, at: StoreRevision) {
    cx.metrics.entries_unusable.inc();
    warn!(cx.log, "target entry unusable"; "target" => %name, "why" => why, "revision" => at.number);
}

fn on_hall_change(
    cx: &Gateway,
    now: Instant,
    hall: DataHall,
    is_evacuated: bool,
    at: StoreRevision,
) {
    let changed = {
        let discovery = &mut cx.dispatcher.borrow_mut().discovery;
        discovery.on_hall_change(now, hall.clone(), is_evacuated, at)
    };
    if changed {
        log_hall(cx, &hall, at);
    }
}

/// Logs that a data hall was evacuated or taken back into service.
pub(super) fn log_hall(cx: &Gateway, hall: &DataHall, at: StoreRevision) {
    let dispatcher = cx.dispatcher.borrow();
    let evacuations = dispatcher.discovery.evacuations();
    let state = match evacuations.is_evacuated(hall) {
        true => "evacuated",
        false => "taken back",
    };
    cx.metrics
        .halls_evacuated
        .set(evacuations.evacuated().count() as i64);
    info!(cx.log, "data hall"; "data_hall" => %hall, "verdict" => state, "revision" => at.number,
        "store_age_ms" => cx.store_age().map(|age| age.as_millis() as u64));
}

/// Logs the effect of a change on a target, and closes connections to an instance of it that ended.
pub(super) fn log_target(cx: &Gateway, id: &TargetId, change: TargetChange, at: StoreRevision) {
    if change.ends_instance() {
        cx.conns.close_idle(id);
    }
    info!(cx.log, "target"; "target" => %id, "verdict" => change.name(), "revision" => at.number);
}
