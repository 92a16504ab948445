//! Entries that the routers themselves write to the store, and their keys.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;

use super::{PackedValue, StoreItem};
use crate::{
    config::{Change, Snapshot},
    ids::{Revision, VmId},
    quarantine_key::QuarantineKey,
};

/// Prefix of all keys that the routers write and watch.
pub const OWN_PREFIX: &str = "scaleford/";

/// Prefix of the keys under which routers publish their peer addresses.
const ROUTER_PREFIX: &str = "scaleford/routers/";

/// Key of the saved map from cached prompts to targets.
pub(crate) const PROMPTS_KEY: &str = "scaleford/prompts";

/// Key of the record of software versions.
pub(crate) const VERSIONS_KEY: &str = "scaleford/versions";

/// Prefix of the keys of the log of stream origins.
const ORIGINS_PREFIX: &str = "scaleford/origins/";

/// Key of the latest snapshot of the operators' configuration.
pub(crate) const SNAPSHOT_KEY: &str = "scaleford/config/snapshot";

/// Prefix of the keys of accepted changes.
pub const CHANGE_PREFIX: &str = "scaleford/config/change/";

/// Prefix of the keys of quarantined requests and parts.
const QUARANTINE_PREFIX: &str = "scaleford/held/";

/// A decoded entry that a router wrote.
#[derive(Debug)]
pub(crate) enum OwnEntry {
    /// Peer address of a router.
    Router(SocketAddr),
    /// Encoded map from cached prompts to targets.
    Prompts(Vec<u8>),
    /// Encoded record of software versions.
    Versions(Vec<u8>),
    /// Encoded segment of the log of stream origins.
    Origins(Vec<u8>),
    /// A snapshot of the configuration.
    Snapshot(Box<Snapshot>),
    /// An accepted change.
    Change(Box<Change>),
    /// A request or a part of prompts that all routers quarantine.
    Quarantined(QuarantineKey),
    /// A request or a part that is no longer quarantined.
    QuarantineEnded(QuarantineKey),
    /// An entry that was removed, or of a kind that a later version writes.
    Other,
}

/// Returns the key under which a router publishes its peer address.
pub(crate) fn router_key(vm: &VmId) -> String {
    format!("{ROUTER_PREFIX}{vm}")
}

/// Returns the key of a segment of the log of stream origins that one of its writers keeps.
pub(crate) fn origins_key(writer: usize, slot: u64) -> String {
    format!("{ORIGINS_PREFIX}{writer}/{slot}")
}

/// Returns the key of the entry by which a request or a part is quarantined.
pub(crate) fn quarantine_key(key: QuarantineKey) -> String {
    format!("{QUARANTINE_PREFIX}{key}")
}

/// Returns the key of a change. The keys sort in the order of the changes.
pub(crate) fn change_key(revision: Revision) -> String {
    format!("{CHANGE_PREFIX}{:012}", revision.0)
}

/// Returns the revision of a change from its key, or `None` for other keys.
pub(crate) fn change_revision(key: &str) -> Option<Revision> {
    key.strip_prefix(CHANGE_PREFIX)?.parse().ok()
}

/// Decodes an entry that a router wrote. Returns `None` for entries of other components; the error says what
/// is wrong with the entry.
pub(crate) fn decode(item: &StoreItem) -> Option<Result<OwnEntry, String>> {
    let name = item.key.strip_prefix(OWN_PREFIX)?;
    Some(decode_value(name, item))
}

fn decode_value(name: &str, item: &StoreItem) -> Result<OwnEntry, String> {
    let key = item.key.as_str();
    if let Some(request) = key.strip_prefix(QUARANTINE_PREFIX) {
        let request = request.parse().map_err(|e| format!("{name}: {e}"))?;
        return Ok(match item.value {
            Some(_) => OwnEntry::Quarantined(request),
            None => OwnEntry::QuarantineEnded(request),
        });
    }
    let Some(packed) = &item.value else {
        return Ok(OwnEntry::Other);
    };
    match () {
        () if key.starts_with(ROUTER_PREFIX) => {
            let text = String::from_utf8_lossy(&packed.unpack()?).into_owned();
            let address = text.parse().map_err(|e| format!("router {text}: {e}"))?;
            Ok(OwnEntry::Router(address))
        }
        () if key == PROMPTS_KEY => Ok(OwnEntry::Prompts(packed.unpack()?.into_owned())),
        () if key == VERSIONS_KEY => Ok(OwnEntry::Versions(packed.unpack()?.into_owned())),
        () if key.starts_with(ORIGINS_PREFIX) => {
            Ok(OwnEntry::Origins(packed.unpack()?.into_owned()))
        }
        () if key == SNAPSHOT_KEY => Ok(OwnEntry::Snapshot(Box::new(json(name, packed)?))),
        () if key.starts_with(CHANGE_PREFIX) => Ok(OwnEntry::Change(Box::new(json(name, packed)?))),
        () => Ok(OwnEntry::Other),
    }
}

fn json<T: DeserializeOwned>(name: &str, packed: &PackedValue) -> Result<T, String> {
    serde_json::from_slice(&packed.unpack()?).map_err(|e| format!("{name}: {e}"))
}
