//! Tells other routers which software version began a stream, and asks them for the origin of one that its
//! caller takes up.
//!
//! The few routers that own a stream's key are told. They answer also where the router that began the
//! stream is gone.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use rustc_hash::FxHashMap;
use slog::info;
use tokio::net::UdpSocket;

use super::{admission::IncomingCall, attempt::Call, gateway::Gateway, gossip, peer_calls};
use crate::{
    ResultCode,
    config::serving::Route,
    dialect::{CallInfo, Refusal},
    discovery::TargetRecord,
    ids::{ClientAccountId, ServiceName},
    membership::datagram::Message,
    service_versions::VERSION_TTL,
    stream_origin::{OriginNotice, ServiceHash, StreamKey, StreamOrigin, StreamProgress},
};

/// Number of routers that are told the origin of a stream, beside the one that began it.
const OWNERS: usize = 3;

/// Interval at which origins are sent that were not sent at once.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time to wait for the answers of other routers about a stream.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(250);

/// Error text for a stream whose origin is not known where it matters.
const UNKNOWN_ORIGIN_TEXT: &str = "it is not known which version began the stream";

/// What is known of the stream that a call takes up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Origin {
    /// The call takes no stream up.
    New,
    /// This version began the stream.
    Known(StreamOrigin),
    /// No router knows, or the call does not name the stream.
    Unknown,
}

/// Records that the first event of a stream is about to be passed on to its caller.
pub(super) fn on_begun(cx: &Gateway, call: &Call, target: &TargetRecord) {
    let Some(id) = call.id.as_deref() else {
        return;
    };
    if !call.route.kind.is_resumable() {
        return;
    }
    let account = call.key_owner.as_ref().map(|owner| &owner.account);
    let origin = StreamOrigin::from(target);
    let mut origins = cx.stream_origins.borrow_mut();
    origins.on_begun(cx.now(), StreamKey::new(account, id), origin);
    if is_mixed(cx, origin.service) {
        cx.origins_changed.notify_one();
    }
}

fn is_mixed(cx: &Gateway, service: ServiceHash) -> bool {
    let discovery = &cx.dispatcher.borrow().discovery;
    discovery.has_mixed_versions(cx.now(), service)
}

/// Sends the origins of streams to the routers that own their keys until the router ends.
pub(super) async fn send_notices(cx: Rc<Gateway>, udp: Rc<UdpSocket>) {
    loop {
        tokio::select! {
            () = cx.origins_changed.notified() => {}
            () = tokio::time::sleep(RESEND_INTERVAL) => {}
        }
        let notices = {
            let mut origins = cx.stream_origins.borrow_mut();
            origins.take_notices(cx.now(), |service| is_mixed(&cx, service))
        };
        cx.metrics
            .streams
            .origins_known
            .set(cx.stream_origins.borrow().len() as i64);
        let mut by_owner: FxHashMap<SocketAddr, Vec<OriginNotice>> = FxHashMap::default();
        for notice in notices {
            for owner in owners(&cx, notice.stream) {
                by_owner.entry(owner).or_default().push(notice);
            }
        }
        for (owner, notices) in by_owner {
            cx.metrics.streams.origins_sent.inc_by(notices.len() as u64);
            let message: Message = Message::StreamOrigins(notices);
            gossip::send_message(&cx, &udp, &message, owner);
        }
    }
}

/// Handles origins of streams that a peer began.
pub(super) fn on_notices(cx: &Gateway, notices: &[OriginNotice]) {
    cx.stream_origins.borrow_mut().on_notices(cx.now(), notices);
}

/// Returns the other routers that know the origin of a stream.
fn owners(cx: &Gateway, stream: StreamKey) -> Vec<SocketAddr> {
    let peers = cx.peers.borrow();
    peers.owners_of(cx.now(), &stream.to_string(), OWNERS)
}

/// Finds out which version began the stream that a call takes up. Other routers are asked if the version
/// matters and is not known here.
pub(super) async fn find(cx: &Gateway, incoming: &IncomingCall) -> Origin {
    if !cx.dialect.may_take_up_stream(&incoming.head.headers) {
        return Origin::New;
    }
    let Some((facts, route, account)) = parse(cx, incoming) else {
        return Origin::New;
    };
    let Some(resumes) = facts.resumes.as_deref() else {
        return Origin::Unknown;
    };
    let stream = StreamKey::new(account.as_ref(), resumes);
    let known = cx.stream_origins.borrow().get(cx.now(), stream);
    let has_mixed = (route.split.iter()).any(|(service, _)| is_mixed(cx, service.into()));
    let (origin, source) = match known {
        Some(origin) => (Origin::Known(origin), "here"),
        None if !has_mixed && !is_young(cx) => (Origin::Unknown, "one version"),
        None => match ask_owners(cx, stream).await {
            Some(origin) => (Origin::Known(origin), "a peer"),
            None if has_mixed => (Origin::Unknown, "nobody"),
            None => (Origin::Unknown, "one version"),
        },
    };
    cx.metrics.streams.on_taken_up(source);
    let named = match origin {
        Origin::Known(origin) => Some(origin.to_string()),
        _ => None,
    };
    info!(cx.log, "stream taken up"; "id" => incoming.id.as_deref(), "resumes" => resumes,
        "after_event" => facts.last_event_id, "origin" => named, "known_by" => source);
    origin
}

/// Whether this router may not know yet which versions left the list before it started.
fn is_young(cx: &Gateway) -> bool {
    cx.now().0 < VERSION_TTL
}

/// Returns the facts of a call that takes up a stream, its route and its account, if it would be admitted.
fn parse(
    cx: &Gateway,
    incoming: &IncomingCall,
) -> Option<(CallInfo, Rc<Route>, Option<ClientAccountId>)> {
    let body = incoming.body.as_ref()?;
    let facts = (cx.dialect).parse_call(&incoming.head, body, incoming.id.as_deref());
    let facts = facts.ok().filter(|f| f.last_event_id.is_some())?;
    let config = cx.serving()?;
    let admitted = config.admit(&facts.routing_key, facts.key.as_deref());
    let (route, key_owner) = admitted.ok()?;
    Some((facts, route, key_owner.map(|owner| owner.account)))
}

/// Asks the routers that own a stream's key; the first that knows the origin decides.
async fn ask_owners(cx: &Gateway, stream: StreamKey) -> Option<StreamOrigin> {
    let asked: FuturesUnordered<_> = owners(cx, stream)
        .into_iter()
        .map(|owner| peer_calls::fetch_origin(owner, stream))
        .collect();
    let known = asked.filter_map(async |answer| answer.ok().flatten());
    let mut known = std::pin::pin!(known);
    let first = tokio::time::timeout(LOOKUP_TIMEOUT, known.next()).await;
    let origin = first.ok().flatten()?;
    // The caller may lose its connection again.
    let notice = OriginNotice { stream, origin };
    on_notices(cx, &[notice]);
    Some(origin)
}

/// Returns the service of a route that serves a call: that of the stream which the call takes up, or the one
/// that the route's split selects. `None` if the route no longer has the stream's service, or none at all.
pub(super) fn service_for(route: &Route, origin: Origin, hash: u64) -> Option<&ServiceName> {
    match origin {
        Origin::Known(origin) => {
            let services = route.split.iter().map(|(service, _)| service);
            let mut services = services.filter(|s| ServiceHash::from(*s) == origin.service);
            services.next()
        }
        Origin::New | Origin::Unknown => route.service_for(hash),
    }
}

/// Returns the progress of the stream that a call of a service takes up. A stream of unknown origin goes on
/// only where one version can have begun it.
pub(super) fn progress(
    cx: &Gateway,
    service: &ServiceName,
    origin: Origin,
    last_event: Option<u64>,
) -> Result<StreamProgress, Refusal> {
    let Some(last) = last_event else {
        return Ok(StreamProgress::NotBegun);
    };
    let discovery = &cx.dispatcher.borrow().discovery;
    let origin = match origin {
        Origin::Known(origin) => Some(origin),
        Origin::New | Origin::Unknown => discovery.sole_version(cx.now(), service.into()),
    };
    match origin {
        Some(origin) => Ok(StreamProgress::Begun { origin, last }),
        None => Err(Refusal::new(
            ResultCode::StreamNotContinued,
            UNKNOWN_ORIGIN_TEXT,
        )),
    }
}
