//! Tells other routers which software version began a stream, and asks them for the origin of one that its
//! caller takes up.
//!
//! The few routers that hold a stream's key are told. They answer also where the router that began the
//! stream is gone, and tell those that take the place of one of them.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use rustc_hash::FxHashMap;
use slog::info;
use tokio::net::UdpSocket;

use super::{
    admission::IncomingCall, attempt::Call, gateway::Gateway, gossip, list_check, peer_calls,
};
use crate::{
    ResultCode,
    config::serving::Route,
    dialect::{CallInfo, Refusal},
    discovery::TargetRecord,
    ids::{ClientAccountId, ServiceName},
    lifecycle::Phase,
    membership::datagram::Message,
    replicas::Holder,
    stream_origin::{OriginNotice, ServiceHash, StreamKey, StreamOrigin, StreamProgress},
};

/// Interval at which origins are sent that were not sent at once.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// Part of the interval per router of the fleet at which origins are sent to routers that became holders. A
/// router that joins a large fleet is sent them by all others.
const REPAIR_INTERVAL_PER_ROUTER: Duration = Duration::from_millis(2);

/// Number of origins that are sent at once as a stream begins, and at each interval: at most half a megabyte a
/// second where other routers become holders of all that is known here.
const SENDS_PER_BEGIN: usize = 64;
const SENDS_PER_INTERVAL: usize = 2_048;

/// Maximum number of origins in one datagram, which fits into one packet.
const MAX_NOTICES_PER_DATAGRAM: usize = 56;

/// Maximum number of origins that are saved, in less than a hundred kilobytes.
const MAX_SAVED: usize = 4_096;

/// Maximum time to wait for the answers of other routers about a stream.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum time since the store is known to have held the list for the store to count as available; a healthy
/// router's list is younger.
const MAX_LIST_AGE: Duration = Duration::from_secs(2);

/// Error text for a stream whose origin is not known where it matters.
const UNKNOWN_ORIGIN_TEXT: &str = "it is not known which version began the stream";

/// What is known of the stream that a call takes up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Origin {
    /// The call takes no stream up.
    New,
    /// This version began the stream.
    Known(StreamOrigin),
    /// No router knows, but the service has had one version only.
    SoleVersion,
    /// Nobody knows.
    Unknown,
}

/// Handles the first event of an answer, which is about to be passed on to its caller, and returns the stream's
/// origin: it begins at `target`, unless the call takes it up.
pub(super) fn on_begun(cx: &Gateway, call: &Call, target: &TargetRecord) -> StreamOrigin {
    if let StreamProgress::Begun { origin, .. } = call.plan.progress {
        return origin;
    }
    let origin = (cx.dispatcher.borrow_mut()).on_stream_begun(cx.now(), target);
    if let Some(id) = call
        .id
        .as_deref()
        .filter(|_| call.route.kind.is_resumable())
    {
        record(cx, call, id, origin);
    }
    origin
}

/// Records the origin of the stream that a call began.
fn record(cx: &Gateway, call: &Call, id: &str, origin: StreamOrigin) {
    let account = call.key_owner.as_ref().map(|owner| &owner.account);
    let mut origins = cx.stream_origins.borrow_mut();
    origins.on_begun(cx.now(), StreamKey::new(account, id), origin);
    if are_origins_needed(cx, origin.service) {
        cx.origins_changed.notify_one();
    }
}

/// Whether the origins of a service's streams are told and saved: it has several versions, or may have had, or
/// routers can't make sure that it has not, as the store does not answer.
fn are_origins_needed(cx: &Gateway, service: ServiceHash) -> bool {
    let discovery = &cx.dispatcher.borrow().discovery;
    let now = cx.now();
    discovery.has_mixed_versions(now, service)
        || !discovery.knows_versions(now)
        || !has_recent_list(cx)
}

/// Sends the origins of streams to the routers that hold their keys until the router ends.
pub(super) async fn send_notices(cx: Rc<Gateway>, udp: Rc<UdpSocket>) {
    let mut repaired_at = cx.now();
    let mut next_interval = tokio::time::Instant::now();
    loop {
        let limit = tokio::select! {
            () = cx.origins_changed.notified() => SENDS_PER_BEGIN,
            () = tokio::time::sleep_until(next_interval) => SENDS_PER_INTERVAL,
        };
        if limit == SENDS_PER_INTERVAL {
            next_interval = tokio::time::Instant::now() + RESEND_INTERVAL;
        }
        let now = cx.now();
        let routers = cx.peers.borrow().fleet_size() as u32;
        let interval = RESEND_INTERVAL.max(REPAIR_INTERVAL_PER_ROUTER * routers);
        if now.since(repaired_at) >= interval {
            repaired_at = now;
            let holders = state_holders(&cx);
            cx.stream_origins.borrow_mut().on_holders(now, holders);
        }
        send_due(&cx, &udp, limit);
    }
}

/// Returns origins to save, latest first.
pub(super) fn to_save(cx: &Gateway) -> Vec<OriginNotice> {
    let origins = cx.stream_origins.borrow();
    let discovery = &cx.dispatcher.borrow().discovery;
    let now = cx.now();
    let knows_versions = discovery.knows_versions(now);
    let is_sole =
        |o: StreamOrigin| knows_versions && discovery.sole_version(now, o.service) == Some(o);
    origins.to_save(now, is_sole).take(MAX_SAVED).collect()
}

/// Takes at most `limit` origins that this router has not saved.
pub(super) fn take_unsaved(cx: &Gateway, limit: usize) -> Vec<OriginNotice> {
    let mut origins = cx.stream_origins.borrow_mut();
    origins.take_unsaved(cx.now(), limit, |service| are_origins_needed(cx, service))
}

/// Returns the routers that may hold origins now.
fn state_holders(cx: &Gateway) -> Vec<Holder> {
    let is_stopping = cx.phase() != Phase::Serving;
    cx.peers.borrow().state_holders(cx.now(), is_stopping)
}

fn send_due(cx: &Gateway, udp: &UdpSocket, limit: usize) {
    let notices = {
        let mut origins = cx.stream_origins.borrow_mut();
        origins.take_notices(cx.now(), limit, |service| are_origins_needed(cx, service))
    };
    cx.metrics
        .streams
        .origins_known
        .set(cx.stream_origins.borrow().len() as i64);
    let mut by_holder: FxHashMap<SocketAddr, Vec<OriginNotice>> = FxHashMap::default();
    for (holder, notice) in notices {
        by_holder.entry(holder).or_default().push(notice);
    }
    for (holder, notices) in by_holder {
        cx.metrics.streams.origins_sent.inc_by(notices.len() as u64);
        for chunk in notices.chunks(MAX_NOTICES_PER_DATAGRAM) {
            let message: Message = Message::StreamOrigins(chunk.to_vec());
            gossip::send_message(cx, udp, &message, holder);
        }
    }
}

/// Handles origins of streams that a peer knows.
pub(super) fn on_notices(cx: &Gateway, notices: &[OriginNotice]) {
    cx.stream_origins.borrow_mut().on_notices(cx.now(), notices);
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
    let services = route.split.iter().map(|(service, _)| service.into());
    let services: Vec<ServiceHash> = services.collect();
    let Some(resumes) = facts.resumes.as_deref() else {
        // Nobody can be asked about it.
        return match has_sole_versions(cx, &services).await {
            true => Origin::SoleVersion,
            false => Origin::Unknown,
        };
    };
    let stream = StreamKey::new(account.as_ref(), resumes);
    let known = cx.stream_origins.borrow().get(cx.now(), stream);
    let (lookup, has_sole_versions) = match known {
        Some(origin) => (Lookup::known_here(origin), false),
        None => look_up(cx, stream, &services).await,
    };
    let origin = match lookup.origin {
        Some(origin) => Origin::Known(origin),
        None if has_sole_versions => Origin::SoleVersion,
        None => Origin::Unknown,
    };
    if let Origin::Known(origin) = origin {
        // The caller may lose its connection again, at this router or with it.
        let mut origins = cx.stream_origins.borrow_mut();
        origins.on_begun(cx.now(), stream, origin);
        cx.origins_changed.notify_one();
    }
    let source = match origin {
        _ if known.is_some() => "here",
        Origin::Known(_) => "a peer",
        Origin::SoleVersion => "one version",
        Origin::New | Origin::Unknown => "nobody",
    };
    cx.metrics.streams.on_taken_up(source);
    let knows_versions = cx.dispatcher.borrow().discovery.knows_versions(cx.now());
    info!(cx.log, "stream taken up"; "id" => incoming.id.as_deref(), "resumes" => resumes,
        "after_event" => facts.last_event_id, "origin" => lookup.origin.map(|o| o.to_string()),
        "known_by" => source, "asked" => lookup.asked, "answered" => lookup.answered,
        "holders" => cx.stream_origins.borrow().holder_count(), "knows_versions" => knows_versions,
        "revision" => cx.mirror.borrow().revision().number,
        "list_age_ms" => list_age(cx).map(|age| age.as_millis() as u64));
    origin
}

/// Finds the origin of a stream that is not known here, and whether one version began all streams of the services.
/// Where that is most likely so, other routers are asked only if it can't be made sure.
async fn look_up(cx: &Gateway, stream: StreamKey, services: &[ServiceHash]) -> (Lookup, bool) {
    let has_followed = cx.dispatcher.borrow().discovery.has_followed_list(cx.now());
    match has_followed && has_recent_list(cx) && knows_sole_versions(cx, services) {
        true if has_sole_versions(cx, services).await => (Lookup::default(), true),
        true => (ask_holders(cx, stream).await, false),
        false => tokio::join!(ask_holders(cx, stream), has_sole_versions(cx, services)),
    }
}

/// Whether each of these services has had one version only, so that it began all streams which are in progress:
/// those included of which this router had not heard when the call arrived.
async fn has_sole_versions(cx: &Gateway, services: &[ServiceHash]) -> bool {
    knows_sole_versions(cx, services)
        && list_check::is_current(cx).await
        && knows_sole_versions(cx, services)
}

/// Whether each of these services has had one version only, as far as is known here, so that it began all streams
/// which are in progress.
fn knows_sole_versions(cx: &Gateway, services: &[ServiceHash]) -> bool {
    let discovery = &cx.dispatcher.borrow().discovery;
    let now = cx.now();
    let is_mixed = |service: &ServiceHash| discovery.has_mixed_versions(now, *service);
    discovery.knows_versions(now) && !services.iter().any(is_mixed)
}

/// Whether the store answered a moment ago, as far as is known here.
fn has_recent_list(cx: &Gateway) -> bool {
    list_age(cx).is_some_and(|age| age < MAX_LIST_AGE)
}

/// Settles doubts about targets whose entries the store still holds.
pub(super) fn on_tick(cx: &Gateway) {
    if let Some(age) = list_age(cx) {
        let doubts = &mut cx.dispatcher.borrow_mut().doubts;
        doubts.on_list_confirmed(cx.now().before(age));
    }
}

/// Returns the time since the store is known to have held what this router has of it.
fn list_age(cx: &Gateway) -> Option<Duration> {
    cx.freshness.borrow().age(cx.now())
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

/// What was found out about the origin of a stream.
#[derive(Debug, Clone, Copy, Default)]
struct Lookup {
    origin: Option<StreamOrigin>,
    /// Number of routers that were asked.
    asked: usize,
    /// Number of them that answered before one of them knew, or in time.
    answered: usize,
}

impl Lookup {
    fn known_here(origin: StreamOrigin) -> Self {
        Self {
            origin: Some(origin),
            ..Self::default()
        }
    }
}

/// Asks the routers that hold a stream's key, or held it a moment ago; the first that knows the origin decides.
async fn ask_holders(cx: &Gateway, stream: StreamKey) -> Lookup {
    let holders = {
        let peers = cx.peers.borrow();
        peers.former_holders(cx.now(), &stream.to_string())
    };
    let mut lookup = Lookup {
        asked: holders.len(),
        ..Lookup::default()
    };
    let mut answers: FuturesUnordered<_> = holders
        .into_iter()
        .map(|holder| peer_calls::fetch_origin(holder, stream))
        .collect();
    let first_known = async {
        while let Some(answer) = answers.next().await {
            lookup.answered += usize::from(answer.is_ok());
            lookup.origin = answer.ok().flatten();
            if lookup.origin.is_some() {
                return;
            }
        }
    };
    // Without an answer in time, nobody knows.
    let _ = tokio::time::timeout(LOOKUP_TIMEOUT, first_known).await;
    lookup
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
        Origin::New | Origin::SoleVersion | Origin::Unknown => route.service_for(hash),
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
        Origin::SoleVersion => discovery.sole_version(cx.now(), service.into()),
        Origin::New | Origin::Unknown => None,
    };
    match origin {
        Some(origin) => Ok(StreamProgress::Begun { origin, last }),
        None => Err(Refusal::new(
            ResultCode::StreamNotContinued,
            UNKNOWN_ORIGIN_TEXT,
        )),
    }
}
