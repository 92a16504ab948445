//! What one router sees of pools, targets and their homes, worked out once per change.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    num::NonZeroUsize,
    sync::Arc,
};

use lru::LruCache;
use parking_lot::Mutex;

use crate::{
    config::{ClientAccount, FleetConfig, Serves, TargetIntent},
    homes::HomeMap,
    ids::{ClientAccountId, ConversationKey, PrefixKey, Region, TargetId, VmId},
    placement::{Candidate, prefix_targets, rank},
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

/// Prefixes whose targets a router remembers.
const PREFIXES: NonZeroUsize = NonZeroUsize::new(4_096).unwrap();

/// What decides where a request is best placed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// The account that sends it.
    pub account: ClientAccountId,
    /// The long prompt that it shares with others.
    pub prefix: PrefixKey,
    /// The chat that it belongs to.
    pub conversation: ConversationKey,
}

type Near = LruCache<(Serves, PrefixKey), Arc<Vec<Candidate>>>;

/// A configuration seen with a set of live routers.
#[derive(Debug)]
pub struct Directory {
    /// The configuration.
    pub config: Arc<FleetConfig>,
    pools: BTreeMap<Serves, Vec<Candidate>>,
    homes: HashMap<TargetId, HomePlace>,
    near: Mutex<Near>,
    /// The routers that take work.
    pub live: Vec<VmId>,
    /// The home of each target.
    pub map: HomeMap,
}

impl Default for Directory {
    fn default() -> Self {
        Self {
            config: Arc::default(),
            pools: BTreeMap::new(),
            homes: HashMap::new(),
            near: Mutex::new(LruCache::new(PREFIXES)),
            live: Vec::new(),
            map: HomeMap::default(),
        }
    }
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
            near: Mutex::new(LruCache::new(PREFIXES)),
            live,
            map,
        }
    }

    /// The best targets for a conversation among those of its prefix, best first, at most `n`.
    pub fn rank(&self, pool: &Serves, at: &Place, n: usize) -> Vec<TargetId> {
        let candidates = self.prefix_candidates(pool, at);
        let best = rank(&candidates, at.conversation, n);
        best.into_iter()
            .map(|i| candidates[i].target.clone())
            .collect()
    }

    /// The targets that chats with a prefix have as first choices; worked out once a prefix.
    fn prefix_candidates(&self, pool: &Serves, at: &Place) -> Arc<Vec<Candidate>> {
        let all = self.pools.get(pool).map_or(&[][..], Vec::as_slice);
        let key = (pool.clone(), at.prefix);
        let mut near = self.near.lock();
        let found = near.get_or_insert(key, || {
            let share = self.share(&at.account);
            let best = prefix_targets(all, at.prefix, share);
            Arc::new(best.into_iter().map(|i| all[i].clone()).collect())
        });
        Arc::clone(found)
    }

    /// The part of all traffic that an account may have, by its limit; the same at every router.
    fn share(&self, account: &ClientAccountId) -> f64 {
        let rate = |a: &ClientAccount| f64::from(a.requests_per_s);
        let all: f64 = self.config.accounts.values().map(rate).sum();
        let own = self.config.accounts.get(account).map_or(0.0, rate);
        own / all.max(1.0)
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
