//! What operators are shown.

use std::sync::{Arc, atomic::Ordering};

use futures::future::join_all;
use hyper::Response;
use serde::Serialize;

use crate::{
    config::{Change, Digest},
    explain::DecisionRecord,
    homes::HomeStatus,
    ids::{DataHall, Region, RequestId, Revision, VmId},
    membership::{MemberState, MemberStatus},
    peer::{Control, ControlReply},
    reply::{self, Body},
    result_code::ResultCode,
    router::Shared,
};

/// The fleet as one router sees it.
#[derive(Serialize)]
pub(super) struct Status {
    vm: VmId,
    region: Region,
    data_hall: DataHall,
    state: &'static str,
    revision: Revision,
    digest: Digest,
    in_progress: u64,
    answered: u64,
    refused: u64,
    control_bytes: u64,
    store_calls: u64,
    reverts_refused: u64,
    routers: Vec<MemberStatus>,
    homes: Vec<HomeStatus>,
}

#[derive(Serialize)]
struct Explained {
    request: String,
    decisions: Vec<DecisionRecord>,
}

#[derive(Serialize)]
struct Changes {
    revision: Revision,
    changes: Vec<Arc<Change>>,
}

/// The fleet as this router sees it.
pub(super) fn status(cx: &Shared) -> Status {
    let (revision, digest) = {
        let config = cx.config.lock();
        (config.revision(), config.digest())
    };
    let count = |n: &std::sync::atomic::AtomicU64| n.load(Ordering::Relaxed);
    let state = cx.life.lock().name();
    let routers = cx.membership.lock().status();
    Status {
        vm: cx.me.vm.clone(),
        region: cx.me.region.clone(),
        data_hall: cx.me.data_hall.clone(),
        state,
        revision,
        digest,
        in_progress: count(&cx.counters.in_progress),
        answered: count(&cx.counters.answered),
        refused: count(&cx.counters.refused),
        control_bytes: cx.control_bytes(),
        store_calls: count(&cx.counters.store_calls),
        reverts_refused: count(&cx.counters.reverts_refused),
        routers,
        homes: cx.homes.status(cx.now()),
    }
}

/// What all routers that answer remember of a request.
pub(super) async fn explain(cx: &Arc<Shared>, id: &str) -> Response<Body> {
    let Ok(request) = id.parse::<RequestId>() else {
        return reply::error(ResultCode::NotFound, "not a request's id", None);
    };
    let peers: Vec<_> = {
        let membership = cx.membership.lock();
        let not_dead = membership
            .status()
            .into_iter()
            .filter(|m| m.state != MemberState::Dead);
        not_dead
            .filter_map(|m| membership.info(&m.vm).cloned())
            .collect()
    };
    let asks = peers
        .iter()
        .map(|p| cx.peers.control(p.address, Control::Explain(request)));
    let mut decisions = cx.explain.of(&cx.me.vm, request);
    for reply in join_all(asks).await {
        if let Ok(ControlReply::Explain(records)) = reply {
            decisions.extend(records);
        }
    }
    decisions.sort_by_key(|d| d.at_ms);
    match decisions.is_empty() {
        true => reply::error(
            ResultCode::NotFound,
            "no router remembers the request",
            None,
        ),
        false => reply::json(
            200,
            &Explained {
                request: id.to_owned(),
                decisions,
            },
        ),
    }
}

/// The recent changes.
pub(super) fn changes(cx: &Shared) -> Response<Body> {
    let config = cx.config.lock();
    let changes = config.recent().cloned().collect();
    reply::json(
        200,
        &Changes {
            revision: config.revision(),
            changes,
        },
    )
}

/// One recent change.
pub(super) fn change(cx: &Shared, id: &str) -> Response<Body> {
    let config = cx.config.lock();
    let found = config.recent().find(|c| c.id.as_str() == id);
    match found {
        Some(change) => reply::json(200, &**change),
        None => reply::error(ResultCode::NotFound, "no such change is accepted", None),
    }
}
