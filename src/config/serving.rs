//! What is served, as routes by host and path: the form in which an operator's whole
//! configuration arrives at once and replaces the one before.

use std::{collections::HashMap, rc::Rc, time::Duration};

use hyper::Method;

use super::KeyHash;
use crate::{
    admission::warm_up::WarmUp,
    ids::{ClientAccountId, ServiceName},
    limits::AccountLimits,
    units::{ConfigVersion, Rank, StoreRevision, Tokens},
};

/// When a stream may be sent to another target after it may have run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StreamRepeats {
    /// Never: it runs at most once.
    #[default]
    Never,
    /// As long as the caller has no event of it.
    UntilFirstEvent,
    /// At any time: another target goes on after the last event that was delivered.
    Resumed,
}

/// Whether a call may be sent again, and how its answer comes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CallKind {
    /// Runs at most once.
    #[default]
    Unsafe,
    /// May run more than once.
    Safe,
    /// Answers with events.
    Stream(StreamRepeats),
}

impl CallKind {
    /// Whether a call of which the caller has nothing yet may be sent again after it may have run.
    pub fn is_repeatable(self) -> bool {
        use StreamRepeats::{Resumed, UntilFirstEvent};
        matches!(self, Self::Safe | Self::Stream(UntilFirstEvent | Resumed))
    }

    /// Whether another target may go on with an answer that has begun.
    pub fn is_resumable(self) -> bool {
        self == Self::Stream(StreamRepeats::Resumed)
    }

    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream(_))
    }
}

/// One route.
#[derive(Debug, Clone, Default)]
pub struct Route {
    /// The operator's name for it, for logs.
    pub name: String,
    /// The host it belongs to, in lower case; empty for any.
    pub host: String,
    /// What the path begins with.
    pub path_prefix: String,
    /// The one method that it takes; `None` for any.
    pub method: Option<Method>,
    /// What is taken off the front of the path before the target sees it.
    pub hidden_prefix: String,
    /// Whether and how its calls repeat.
    pub kind: CallKind,
    /// Whether its calls carry a key under which they are claimed, so that each runs at most once
    /// however often its caller sends it.
    pub claimed: bool,
    /// The longest that a call may be held.
    pub timeout: Duration,
    /// The time to the answer, or to its first event, that earns full credit.
    pub goal: Duration,
    /// The longest pause between two events that is still in time.
    pub gap_goal: Option<Duration>,
    /// How long a target may be silent within an answer that no other one can go on with.
    pub longest_silence: Duration,
    /// The most targets that one call may be sent to.
    pub max_attempts: u32,
    /// How urgent its calls are, unless the account says otherwise.
    pub rank: Rank,
    /// Whether calls need no key.
    pub public: bool,
    /// The services that share its calls, by weight.
    pub split: Vec<(ServiceName, u32)>,
}

/// What a call asks for, as routes see it.
#[derive(Debug, Clone, Default)]
pub struct Asked {
    /// The host, with its port if it was sent.
    pub host: String,
    /// The method.
    pub method: Method,
    /// The path without its query.
    pub path: String,
}

impl Route {
    /// The service for a call, by a hash of the call; the same for each repeat of it.
    pub fn service_for(&self, hash: u64) -> Option<&ServiceName> {
        let total: u64 = self.split.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut left = hash.checked_rem(total)?;
        for (service, weight) in &self.split {
            match u64::from(*weight) {
                w if left < w => return Some(service),
                w => left -= w,
            }
        }
        None
    }

    fn takes(&self, asked: &Asked) -> bool {
        let by_method = self.method.as_ref().is_none_or(|m| *m == asked.method);
        by_method && asked.path.starts_with(&self.path_prefix)
    }
}

/// What a service's targets have in common.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// The connections that one target accepts from all callers together.
    pub max_conns: u32,
    /// What a target bears from its start on, where that is less than later.
    pub warm_up: Option<WarmUp>,
    /// Facts of a model engine, where the service is one.
    pub engine: Option<EngineSpec>,
}

/// What is known of a service's model engines.
#[derive(Debug, Clone, Copy)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that the memory holds, running requests and cached prompts together.
    pub memory_tokens: u64,
    /// Whether an engine can take a prompt from another one's memory.
    pub moves: bool,
    /// Tokens that an answer is expected to have, where that counts as work in progress.
    pub usual_answer: Option<Tokens>,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub header_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a head may take to arrive.
    pub header_time: Duration,
    /// How long a body may take to arrive.
    pub body_time: Duration,
    /// How long a kept connection may rest.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// What holds until the first configuration: enough for any usual request.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_time: Duration::from_secs(3),
            body_time: Duration::from_secs(30),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// A client account as a key finds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyHolder {
    /// The account.
    pub account: ClientAccountId,
    /// The account's own rank, which goes before the route's.
    pub rank: Option<Rank>,
    /// What the account may use of the fleet, where that is limited.
    pub limits: Option<AccountLimits>,
}

/// A whole configuration, ready for look-ups.
#[derive(Debug, Default)]
pub struct ServingConfig {
    /// The write of the store that made it.
    pub revision: StoreRevision,
    /// The operators' own number.
    pub version: ConfigVersion,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// Whether calls need keys at all.
    pub keyed: bool,
    hosts: HashMap<String, Vec<Rc<Route>>>,
    services: HashMap<ServiceName, ServiceSpec>,
    goals: HashMap<ServiceName, Duration>,
    keys: HashMap<KeyHash, KeyHolder>,
}

/// Why a call is not allowed, by the configuration alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// No route fits host and path.
    NoRoute,
    /// No key was sent, or none that an account holds.
    WrongKey,
}

impl ServingConfig {
    /// A configuration of these parts.
    pub fn new(revision: StoreRevision, version: ConfigVersion, limits: CallerLimits) -> Self {
        Self {
            revision,
            version,
            limits,
            ..Self::default()
        }
    }

    /// Whether this one takes the place of another. The operators' numbers decide: revisions of the store go back with it.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        let order = |c: &Self| (c.version, c.revision);
        order(self) > order(other)
    }

    /// Adds a route; the longest fitting prefix is found first, and of these one for the method.
    pub fn add_route(&mut self, route: Route) {
        for (service, _) in &route.split {
            let goal = self.goals.entry(service.clone()).or_insert(route.goal);
            *goal = route.goal.min(*goal);
        }
        let routes = self.hosts.entry(route.host.clone()).or_default();
        routes.push(Rc::new(route));
        let order = |r: &Rc<Route>| (r.path_prefix.len(), r.method.is_some());
        routes.sort_by_key(|r| std::cmp::Reverse(order(r)));
    }

    /// Adds a service.
    pub fn add_service(&mut self, name: ServiceName, spec: ServiceSpec) {
        self.services.insert(name, spec);
    }

    /// Adds a key of an account; only its hash is kept.
    pub fn add_key(&mut self, key: KeyHash, holder: KeyHolder) {
        self.keys.insert(key, holder);
    }

    /// The route for what is asked.
    pub fn route(&self, asked: &Asked) -> Option<&Rc<Route>> {
        let host = asked.host.as_str();
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = self.hosts.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|r| r.takes(asked))
    }

    /// A service's facts.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// The shortest goal of the routes that a service answers.
    pub fn shortest_goal(&self, name: &ServiceName) -> Option<Duration> {
        self.goals.get(name).copied()
    }

    /// Who holds a key.
    pub fn holder(&self, key: &str) -> Option<&KeyHolder> {
        self.keys.get(&KeyHash::of(key))
    }

    /// Route and account of a call, or why it is not allowed.
    pub fn admit(
        &self,
        asked: &Asked,
        key: Option<&str>,
    ) -> Result<(Rc<Route>, Option<KeyHolder>), Denied> {
        let route = self.route(asked).ok_or(Denied::NoRoute)?;
        let holder = key.and_then(|k| self.holder(k)).cloned();
        match holder {
            None if self.keyed && !route.public => Err(Denied::WrongKey),
            holder => Ok((Rc::clone(route), holder)),
        }
    }

    /// Routes in all, for logs.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
