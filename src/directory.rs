//! What one router sees of pools, targets and their homes, worked out once per change.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use crate::{
    config::{FleetConfig, Serves, TargetIntent},
    homes::HomeMap,
    ids::{ConversationKey, Region, TargetId, VmId},
    placement::{Candidate, rank},
    settings::VmInfo,
};

/// Where a target's home router is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HomePlace {
    /// This router.
    Here,
    /// Another one.
    At(VmInfo),
}

/// A configuration seen with a set of live routers.
#[derive(Debug, Default)]
pub struct Directory {
    /// The configuration.
    pub config: Arc<FleetConfig>,
    pools: BTreeMap<Serves, Vec<Candidate>>,
    homes: HashMap<TargetId, HomePlace>,
    /// The routers that take work.
    pub live: Vec<VmId>,
    /// The home of each target.
    pub map: HomeMap,
}

impl Directory {
    /// Works the view out.
    pub fn new(
        config: Arc<FleetConfig>,
        live: Vec<VmId>,
        me: &VmInfo,
        info: impl Fn(&VmId) -> Option<VmInfo>,
    ) -> Self {
        let map = HomeMap::new(&config, &live);
        let mut homes = HashMap::new();
        for (id, target) in &config.targets {
            let place = match map.home(id, &target.serves) {
                Some(vm) if *vm == me.vm => Some(HomePlace::Here),
                Some(vm) => info(vm).map(HomePlace::At),
                None => None,
            };
            homes.extend(place.map(|p| (id.clone(), p)));
        }
        let pools = pools(&config, &me.region);
        Self {
            config,
            pools,
            homes,
            live,
            map,
        }
    }

    /// The best targets for a chat, best first, at most `n`.
    pub fn rank(&self, pool: &Serves, key: ConversationKey, n: usize) -> Vec<TargetId> {
        let candidates = self.pools.get(pool).map_or(&[][..], Vec::as_slice);
        let best = rank(candidates, key, n);
        best.into_iter()
            .map(|i| candidates[i].target.clone())
            .collect()
    }

    /// Where a target's home is.
    pub fn home(&self, target: &TargetId) -> Option<&HomePlace> {
        self.homes.get(target)
    }

    /// Where a target that may get new work listens.
    pub fn address(&self, target: &TargetId) -> Option<SocketAddr> {
        let t = self.config.targets.get(target)?;
        (t.intent == TargetIntent::Serve).then_some(t.address)
    }
}

/// The targets of each pool in a router's own region; all, where it has none there.
fn pools(config: &FleetConfig, region: &Region) -> BTreeMap<Serves, Vec<Candidate>> {
    let mut near: BTreeMap<Serves, Vec<Candidate>> = BTreeMap::new();
    let mut all: BTreeMap<Serves, Vec<Candidate>> = BTreeMap::new();
    let serving = config
        .targets
        .iter()
        .filter(|(_, t)| t.intent == TargetIntent::Serve);
    for (id, t) in serving {
        let candidate = Candidate::new(id.clone(), t.weight);
        if t.region == *region {
            near.entry(t.serves.clone())
                .or_default()
                .push(candidate.clone());
        }
        all.entry(t.serves.clone()).or_default().push(candidate);
    }
    all.append(&mut near);
    all
}
