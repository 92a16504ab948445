//! Which router is home of which target.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    config::{FleetConfig, Serves},
    ids::{TargetId, VmId},
    placement::keeper,
};

/// How many homes a pool has at the most.
pub const SLOTS: u64 = 16;

/// The home of each target, as seen by a router that knows these live routers.
#[derive(Debug, Clone, Default)]
pub struct HomeMap {
    slots: HashMap<Serves, Vec<VmId>>,
}

impl HomeMap {
    /// Finds the keeper of every slot of every pool.
    pub fn new(cfg: &FleetConfig, live: &[VmId]) -> Self {
        let mut slots: HashMap<Serves, Vec<VmId>> = HashMap::new();
        for target in cfg.targets.values() {
            let pool = &target.serves;
            if !slots.contains_key(pool) {
                let keeper = |slot| keeper(&format!("{pool}/{slot}"), live.iter()).cloned();
                slots.insert(pool.clone(), (0..SLOTS).filter_map(keeper).collect());
            }
        }
        Self { slots }
    }

    /// The home of a target; `None` if no router lives.
    pub fn home(&self, target: &TargetId, pool: &Serves) -> Option<&VmId> {
        let slot = xxh3_64(target.as_str().as_bytes()) % SLOTS;
        self.slots.get(pool)?.get(slot as usize)
    }
}
