//! Assigns responsibilities to routers and calls to targets by rendezvous hashing (Thaler and Ravishankar
//! 1998). Each pair of a key and a name has a hash that no other name influences, so a member that joins or
//! leaves moves only its own keys.

mod bound;
pub(crate) mod candidates;
pub mod choice;
pub mod spread;

use std::cmp::Ordering;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::VmId;

/// Hash of a thing for which routers are responsible.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyHash(u64);

impl From<&str> for KeyHash {
    fn from(thing: &str) -> Self {
        Self(xxh3_64(thing.as_bytes()))
    }
}

/// Returns the hash of a router for a thing; the routers with the highest ones are responsible for it.
pub fn weight(key: KeyHash, vm: &VmId) -> u64 {
    xxh3_64_with_seed(vm.as_str().as_bytes(), key.0)
}

/// Returns the router among `vms` that is responsible for `thing`, or `None` if `vms` is empty.
pub fn owner<'a>(thing: &str, vms: impl Iterator<Item = &'a VmId>) -> Option<&'a VmId> {
    let key = KeyHash::from(thing);
    vms.max_by(|a, b| compare(key, a, b))
}

/// Returns the `n` routers among `vms` that are jointly responsible for `thing`, highest hash first.
pub fn owners<'a>(thing: &str, vms: impl Iterator<Item = &'a VmId>, n: usize) -> Vec<&'a VmId> {
    let key = KeyHash::from(thing);
    let mut all: Vec<_> = vms.collect();
    all.sort_unstable_by(|a, b| compare(key, b, a));
    all.truncate(n);
    all
}

fn compare(key: KeyHash, a: &VmId, b: &VmId) -> Ordering {
    weight(key, a).cmp(&weight(key, b)).then_with(|| a.cmp(b))
}
