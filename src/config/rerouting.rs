//! Between which services a configuration, or a change of it, may move the streams of a route.
//!
//! A stream goes on at the service that began it, and its caller names only the route.

use std::collections::{BTreeSet, HashMap, HashSet};

use hyper::Method;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::serving::{Route, RoutingKey, ServingConfig};
use crate::ids::ServiceName;

/// What tells routes of one configuration apart: host, prefix and method.
type RouteKey<'a> = (&'a str, &'a str, Option<&'a Method>);

/// Which services the routes have whose streams may be taken up, as a hash.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RoutesHash(u64);

impl RoutesHash {
    /// Returns the hash of a configuration's routes, whatever their order.
    pub(crate) fn of(config: &ServingConfig) -> Self {
        let hashes = resumable_routes(config).map(|r| {
            let method = r.method.as_ref().map(Method::as_str);
            let route = (&r.host, &r.path_prefix, method, services(r));
            xxh3_64(format!("{route:?}").as_bytes())
        });
        Self(hashes.fold(0, u64::wrapping_add))
    }
}

/// Returns the services that share a route with others.
pub(crate) fn split_services(config: &ServingConfig) -> BTreeSet<ServiceName> {
    let shared = resumable_routes(config).map(services);
    let shared = shared.filter(|services| services.len() > 1).flatten();
    shared.cloned().collect()
}

/// Returns the services that got requests which go to other services, too, since `before` was replaced by `after`.
pub(crate) fn rerouted_services(
    before: &ServingConfig,
    after: &ServingConfig,
) -> BTreeSet<ServiceName> {
    let (of_before, of_after) = (services_by_route(before), services_by_route(after));
    let all = resumable_routes(before).chain(resumable_routes(after));
    let changed = all.filter(|r| of_before.get(&key(r)) != of_after.get(&key(r)));
    let methods = methods(before, after);
    let mut rerouted = BTreeSet::new();
    for (route, method) in changed.flat_map(|r| methods.iter().map(move |m| (r, *m))) {
        // Requests of a route that is new or gone went, or go, by one with a shorter prefix.
        let request = RoutingKey {
            host: route.host.clone(),
            method: method.clone(),
            path: route.path_prefix.clone(),
        };
        let (Some(from), Some(to)) = (before.route(&request), after.route(&request)) else {
            continue;
        };
        let (from, to) = (services(from), services(to));
        if from != to {
            rerouted.extend(from.union(&to).map(|s| (*s).clone()));
        }
    }
    rerouted
}

/// Returns the methods that routes name, and those of requests that are usual where they name none.
fn methods<'a>(before: &'a ServingConfig, after: &'a ServingConfig) -> HashSet<&'a Method> {
    let routes = before.routes().chain(after.routes());
    let named = routes.filter_map(|r| r.method.as_ref());
    named.chain([&Method::GET, &Method::POST]).collect()
}

fn resumable_routes(config: &ServingConfig) -> impl Iterator<Item = &Route> {
    config.routes().filter(|r| r.kind.is_resumable())
}

fn services_by_route(config: &ServingConfig) -> HashMap<RouteKey<'_>, BTreeSet<&ServiceName>> {
    let routes = resumable_routes(config);
    routes.map(|r| (key(r), services(r))).collect()
}

fn services(route: &Route) -> BTreeSet<&ServiceName> {
    route.split.iter().map(|(service, _)| service).collect()
}

fn key(route: &Route) -> RouteKey<'_> {
    (&route.host, &route.path_prefix, route.method.as_ref())
}
