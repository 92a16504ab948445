//! Slots of brittle targets: asks the router that owns a target for one, and hands out those of this router.
//!
//! A slot is held as long as the connection to its owner is open, so that it is free again also when the
//! router that holds it dies.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use hyper::{Response, StatusCode};
use slog::info;

use super::{
    body::AnswerBody,
    gateway::Gateway,
    peer_calls::{self, HeldResponse},
};
use crate::{discovery::TargetRecord, ids::TargetId};

/// Maximum time of an owner's answer. A call that gets none is refused, as it might be rejected.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// A slot that this router has handed out; dropping it takes the slot back.
pub(crate) struct OwnSlot {
    cx: Rc<Gateway>,
    target: TargetId,
}

impl Drop for OwnSlot {
    fn drop(&mut self) {
        self.cx.slots.borrow_mut().release(&self.target);
    }
}

/// A call's slot at a brittle target.
pub(crate) struct SlotLease {
    owner: SlotOwner,
    target: TargetId,
}

enum SlotOwner {
    This {
        _slot: OwnSlot,
    },
    Peer {
        address: SocketAddr,
        _slot: Box<HeldResponse>,
    },
}

impl SlotLease {
    /// Tells the owner that the target rejected the call.
    pub(super) fn on_rejected(&self, cx: &Rc<Gateway>) {
        match &self.owner {
            SlotOwner::This { .. } => on_rejected(cx, &self.target),
            SlotOwner::Peer { address, .. } => {
                let (address, target) = (*address, self.target.clone());
                let cx = Rc::clone(cx);
                tokio::task::spawn_local(async move {
                    if let Err(e) = peer_calls::report_rejection(address, &target).await {
                        info!(cx.log, "rejection not reported"; "target" => %target, "peer" => %address, "why" => %e);
                    }
                });
            }
        }
    }
}

/// Asks for a slot of a brittle target. Returns `None` if none is free, or if the owner does not answer.
pub(super) async fn acquire(cx: &Rc<Gateway>, target: &TargetRecord) -> Option<SlotLease> {
    let now = cx.now();
    let owner = cx.peers.borrow().owner_of(now, target.id.as_str());
    let Some(address) = owner else {
        let slot = acquire_own(cx, target)?;
        return Some(SlotLease {
            owner: SlotOwner::This { _slot: slot },
            target: target.id.clone(),
        });
    };
    let answer = peer_calls::hold_slot(address, &target.id);
    match tokio::time::timeout(ANSWER_TIMEOUT, answer).await {
        Ok(Ok(held)) => Some(SlotLease {
            owner: SlotOwner::Peer {
                address,
                _slot: Box::new(held?),
            },
            target: target.id.clone(),
        }),
        Ok(Err(_)) | Err(_) => {
            cx.peers.borrow_mut().on_unreachable(now, address);
            info!(cx.log, "slot owner does not answer"; "target" => %target.id, "peer" => %address);
            None
        }
    }
}

fn acquire_own(cx: &Rc<Gateway>, target: &TargetRecord) -> Option<OwnSlot> {
    let is_free = (cx.slots.borrow_mut()).acquire(cx.now(), &target.id, target.slots);
    cx.metrics.paths.on_slot_asked(is_free);
    is_free.then(|| OwnSlot {
        cx: Rc::clone(cx),
        target: target.id.clone(),
    })
}

/// Answers a peer's request for a slot. The slot is taken back when the peer closes the connection.
pub(super) fn serve(cx: &Rc<Gateway>, target: &TargetId) -> Response<AnswerBody> {
    let record = cx.dispatcher.borrow().discovery.get(target).cloned();
    let slot = record.and_then(|record| acquire_own(cx, &record));
    match slot {
        Some(slot) => Response::new(AnswerBody::held(slot)),
        None => {
            let mut res = Response::new(AnswerBody::whole(""));
            *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            res
        }
    }
}

/// Records that a target rejected a call that had a slot of this router.
pub(super) fn on_rejected(cx: &Gateway, target: &TargetId) {
    cx.slots.borrow_mut().on_rejected(cx.now(), target);
    info!(cx.log, "brittle target rejected a call"; "target" => %target);
}
