//! The configuration as routes by host and path. It is always replaced as a whole.

use std::{collections::HashMap, rc::Rc, time::Duration};

use hyper::Method;

use super::KeyHash;
use crate::{
    admission::warm_up::WarmUp,
    ids::{ClientAccountId, ServiceName},
    limits::AccountLimits,
    units::{ConfigVersion, Rank, StoreRevision, Tokens},
};

/// When a streaming request may be sent to another target after it may have run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StreamRepeats {
    /// Never: the request runs at most once.
    #[default]
    Never,
    /// Until the caller has received its first event.
    UntilFirstEvent,
    /// At any time: another target resumes after the last event that was delivered.
    Resumed,
}

/// Whether a request may be repeated, and whether its response is a stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CallKind {
    /// The request runs at most once.
    #[default]
    Unsafe,
    /// The request may run more than once.
    Safe,
    /// The response is a stream of events.
    Stream(StreamRepeats),
}

impl CallKind {
    /// Returns whether a request that may have run can be sent again, provided that the caller has received
    /// nothing of its response.
    pub fn is_repeatable(self) -> bool {
        use StreamRepeats::{Resumed, UntilFirstEvent};
        matches!(self, Self::Safe | Self::Stream(UntilFirstEvent | Resumed))
    }

    /// Returns whether another target may resume a response that has started.
    pub fn is_resumable(self) -> bool {
        self == Self::Stream(StreamRepeats::Resumed)
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream(_))
    }
}

/// Matches requests by host, method and path, and says how they are served.
#[derive(Debug, Clone, Default)]
pub struct Route {
    /// Name for logs.
    pub name: String,
    /// Host in lower case. An empty one matches only requests whose routing key has no host.
    pub host: String,
    /// Prefix of the path.
    pub path_prefix: String,
    /// Method; `None` for any.
    pub method: Option<Method>,
    /// Prefix that is removed from the path before the request is forwarded to the target.
    pub stripped_prefix: String,
    /// Whether its requests may be repeated, and whether they are streams.
    pub kind: CallKind,
    /// Whether its requests carry an idempotency key under which they are claimed, so that each runs at most
    /// once however often its caller sends it.
    pub claimed: bool,
    /// Maximum duration of a request.
    pub timeout: Duration,
    /// Latency goal: time to the response, or to its first event, that counts as fully on time.
    pub goal: Duration,
    /// Maximum pause between two events of a stream that counts as on time; `None` for no such goal.
    pub gap_goal: Option<Duration>,
    /// Maximum pause of a target within a response that no other target can resume.
    pub max_silence: Duration,
    /// Maximum number of targets that one request is sent to.
    pub max_attempts: u32,
    /// Urgency of its requests, unless the account has its own.
    pub rank: Rank,
    /// Whether requests need no key.
    pub public: bool,
    /// Services among which its requests are split, each with its weight.
    pub split: Vec<(ServiceName, u32)>,
}

/// The parts of a request that routes match.
#[derive(Debug, Clone, Default)]
pub struct RoutingKey {
    /// Host, including the port if one was sent; empty if hosts are not used for routing.
    pub host: String,
    /// HTTP method.
    pub method: Method,
    /// Path without the query string.
    pub path: String,
}

impl Route {
    /// Selects the service for a request by a hash of the request, so that repeats select the same one.
    pub fn service_for(&self, hash: u64) -> Option<&ServiceName> {
        let total: u64 = self.split.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut remaining = hash.checked_rem(total)?;
        for (service, weight) in &self.split {
            match u64::from(*weight) {
                w if remaining < w => return Some(service),
                w => remaining -= w,
            }
        }
        None
    }

    fn matches(&self, routing_key: &RoutingKey) -> bool {
        let by_method = self
            .method
            .as_ref()
            .is_none_or(|m| *m == routing_key.method);
        by_method && routing_key.path.starts_with(&self.path_prefix)
    }
}

/// Properties shared by all targets of a service.
#[derive(Debug, Clone)]
pub struct ServiceSpec {
    /// Maximum number of connections that one target accepts from all routers together.
    pub max_conns: u32,
    /// Load limit of a target after its start, if it is lower than later on.
    pub warm_up: Option<WarmUp>,
    /// Properties of the model engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}

/// Properties of a service's model engines.
#[derive(Debug, Clone, Copy)]
pub struct EngineSpec {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Size of the memory in tokens, shared by running requests and cached prompts.
    pub memory_tokens: u64,
    /// Whether an engine can fetch a cached prompt from another engine's memory.
    pub can_fetch_prompts: bool,
    /// Expected length of a response; `None` if it does not count as work in progress.
    pub expected_response: Option<Tokens>,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request head.
    pub header_time: Duration,
    /// Maximum time to receive a request body.
    pub body_time: Duration,
    /// Maximum idle time of a keep-alive connection.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply before the first configuration; they suffice for any common request.
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

/// The client account that a key belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyOwner {
    /// Id of the account.
    pub account: ClientAccountId,
    /// The account's own rank, which overrides that of the route.
    pub rank: Option<Rank>,
    /// Limits of the account over the whole fleet; `None` for no limits.
    pub limits: Option<AccountLimits>,
}

/// A complete configuration, indexed for look-ups.
#[derive(Debug, Default)]
pub struct ServingConfig {
    /// Revision of the store that wrote it.
    pub revision: StoreRevision,
    /// The operators' version number.
    pub version: ConfigVersion,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Whether requests need keys, except on public routes.
    pub requires_keys: bool,
    /// Descriptions of entries that were left out because they are invalid.
    pub left_out: Vec<String>,
    hosts: HashMap<String, Vec<Rc<Route>>>,
    services: HashMap<ServiceName, ServiceSpec>,
    shortest_goals: HashMap<ServiceName, Duration>,
    keys: HashMap<KeyHash, KeyOwner>,
}

/// Why the configuration does not allow a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// No route matches the request.
    NoRoute,
    /// The request has no key, or one that belongs to no account.
    WrongKey,
}

impl ServingConfig {
    /// Creates a configuration without routes, services and keys.
    pub fn new(revision: StoreRevision, version: ConfigVersion, limits: CallerLimits) -> Self {
        Self {
            revision,
            version,
            limits,
            ..Self::default()
        }
    }

    /// Returns whether this configuration replaces `other`. The operators' version is compared first,
    /// because the store's revisions decrease when the store is reverted.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        let order = |c: &Self| (c.version, c.revision);
        order(self) > order(other)
    }

    /// Adds a route. Look-ups prefer the longest matching prefix, then a route that names the method.
    pub fn add_route(&mut self, route: Route) {
        for (service, _) in &route.split {
            let goal = self
                .shortest_goals
                .entry(service.clone())
                .or_insert(route.goal);
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

    /// Adds the hash of an account's key.
    pub fn add_key(&mut self, key: KeyHash, holder: KeyOwner) {
        self.keys.insert(key, holder);
    }

    /// Returns the route for a request.
    pub fn route(&self, routing_key: &RoutingKey) -> Option<&Rc<Route>> {
        let host = routing_key.host.as_str();
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let routes = self.hosts.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|r| r.matches(routing_key))
    }

    /// Iterates over all routes.
    pub(crate) fn routes(&self) -> impl Iterator<Item = &Route> {
        self.hosts.values().flatten().map(|route| &**route)
    }

    /// Returns the properties of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Returns the shortest latency goal among the routes of a service.
    pub fn shortest_goal(&self, name: &ServiceName) -> Option<Duration> {
        self.shortest_goals.get(name).copied()
    }

    /// Returns the account that a key belongs to.
    pub fn key_owner(&self, key: &str) -> Option<&KeyOwner> {
        self.keys.get(&KeyHash::of(key))
    }

    /// Iterates over the accounts that have keys; an account with several keys occurs several times.
    pub fn accounts(&self) -> impl Iterator<Item = &ClientAccountId> {
        self.keys.values().map(|owner| &owner.account)
    }

    /// Returns the route and the account of a request, or why it is not allowed.
    pub fn admit(
        &self,
        routing_key: &RoutingKey,
        key: Option<&str>,
    ) -> Result<(Rc<Route>, Option<KeyOwner>), Denied> {
        let route = self.route(routing_key).ok_or(Denied::NoRoute)?;
        let holder = key.and_then(|k| self.key_owner(k)).cloned();
        match holder {
            None if self.requires_keys && !route.public => Err(Denied::WrongKey),
            holder => Ok((Rc::clone(route), holder)),
        }
    }

    /// Returns the total number of routes, for logs.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
