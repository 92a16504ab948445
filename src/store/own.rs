//! What the routers themselves keep in the store, and under which keys.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;

use super::{PackedValue, StoreItem};
use crate::{
    config::{Change, Snapshot},
    fingerprint::Fingerprint,
    ids::{Revision, VmId},
};

/// What all keys begin with that the routers write and follow.
pub const OWN_PREFIX: &str = "scaleford/";

/// Where routers say how peers reach them.
const ROUTERS: &str = "scaleford/routers/";

/// Which prompts are read where.
pub(crate) const PROMPTS_KEY: &str = "scaleford/prompts";

/// The newest whole configuration of the operators' own.
pub(crate) const SNAPSHOT_KEY: &str = "scaleford/config/snapshot";

/// What the keys of accepted changes begin with.
pub const CHANGE_PREFIX: &str = "scaleford/config/change/";

/// What the keys of requests that are held back begin with.
const HELD: &str = "scaleford/held/";

/// An entry that some router wrote.
#[derive(Debug)]
pub(crate) enum OwnEntry {
    /// Where a router's peers reach it.
    Router(SocketAddr),
    /// Which prompts are read where.
    Prompts(Vec<u8>),
    /// A whole configuration.
    Snapshot(Box<Snapshot>),
    /// An accepted change.
    Change(Box<Change>),
    /// A request that is held back by all routers.
    Held(Fingerprint),
    /// One that no longer is.
    HeldGone(Fingerprint),
    /// One that went, or that a later version writes.
    Other,
}

/// Where a router says how peers reach it.
pub(crate) fn router_key(vm: &VmId) -> String {
    format!("{ROUTERS}{vm}")
}

/// The key under which a request is held back.
pub(crate) fn held_key(request: Fingerprint) -> String {
    format!("{HELD}{request}")
}

/// The key of a change; keys are in the order of changes.
pub(crate) fn change_key(revision: Revision) -> String {
    format!("{CHANGE_PREFIX}{:012}", revision.0)
}

/// The change that a key of one is for.
pub(crate) fn change_of(key: &str) -> Option<Revision> {
    key.strip_prefix(CHANGE_PREFIX)?.parse().ok()
}

/// Decodes an entry of our own; `None` for those of others. The error says what is wrong.
pub(crate) fn decode(item: &StoreItem) -> Option<Result<OwnEntry, String>> {
    let name = item.key.strip_prefix(OWN_PREFIX)?;
    Some(decode_value(name, item))
}

fn decode_value(name: &str, item: &StoreItem) -> Result<OwnEntry, String> {
    let key = item.key.as_str();
    if let Some(request) = key.strip_prefix(HELD) {
        let request = request.parse().map_err(|e| format!("{name}: {e}"))?;
        return Ok(match item.value {
            Some(_) => OwnEntry::Held(request),
            None => OwnEntry::HeldGone(request),
        });
    }
    let Some(packed) = &item.value else {
        return Ok(OwnEntry::Other);
    };
    match () {
        () if key.starts_with(ROUTERS) => {
            let text = String::from_utf8_lossy(&packed.unpack()?).into_owned();
            let address = text.parse().map_err(|e| format!("router {text}: {e}"))?;
            Ok(OwnEntry::Router(address))
        }
        () if key == PROMPTS_KEY => Ok(OwnEntry::Prompts(packed.unpack()?.into_owned())),
        () if key == SNAPSHOT_KEY => Ok(OwnEntry::Snapshot(Box::new(json(name, packed)?))),
        () if key.starts_with(CHANGE_PREFIX) => Ok(OwnEntry::Change(Box::new(json(name, packed)?))),
        () => Ok(OwnEntry::Other),
    }
}

fn json<T: DeserializeOwned>(name: &str, packed: &PackedValue) -> Result<T, String> {
    serde_json::from_slice(&packed.unpack()?).map_err(|e| format!("{name}: {e}"))
}
