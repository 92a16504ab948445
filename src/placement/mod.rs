//! Which router looks after what, and which target gets a call, both by rendezvous hashing
//! (Thaler and Ravishankar 1998): each pair of a key and a name has a draw that no other name
//! influences, so that one that joins or leaves moves only what is its own.

pub(crate) mod candidates;
pub mod choice;
pub mod spread;

use std::cmp::Ordering;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::VmId;

/// The router among `vms` that keeps `thing`; `None` only if there is none.
pub fn keeper<'a>(thing: &str, vms: impl Iterator<Item = &'a VmId>) -> Option<&'a VmId> {
    let key = xxh3_64(thing.as_bytes());
    vms.max_by(|a, b| compare(key, a, b))
}

/// The `n` routers among `vms` that keep `thing` together, the first one first.
pub fn keepers<'a>(thing: &str, vms: impl Iterator<Item = &'a VmId>, n: usize) -> Vec<&'a VmId> {
    let key = xxh3_64(thing.as_bytes());
    let mut all: Vec<_> = vms.collect();
    all.sort_unstable_by(|a, b| compare(key, b, a));
    all.truncate(n);
    all
}

fn compare(key: u64, a: &VmId, b: &VmId) -> Ordering {
    let of = |vm: &VmId| xxh3_64_with_seed(vm.as_str().as_bytes(), key);
    of(a).cmp(&of(b)).then_with(|| a.cmp(b))
}
