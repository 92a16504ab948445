//! Limits of client accounts at this router, and the shares of the accounts that it owns.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc};

use super::gateway::Gateway;
use crate::{
    config::serving::KeyOwner,
    ids::{ClientAccountId, VmId},
    limits::{AccountLimits, Demand, Grant, Limiter, ShareAllocator},
    membership::datagram::Message,
    units::Instant,
};

/// State of the accounts' limits at one router.
#[derive(Default)]
pub(crate) struct Accounts {
    limiters: RefCell<HashMap<ClientAccountId, Limiter>>,
    allocators: RefCell<HashMap<ClientAccountId, ShareAllocator>>,
}

/// A unit of an account's concurrency, released on drop.
pub(crate) struct AccountPermit {
    cx: Rc<Gateway>,
    account: ClientAccountId,
}

impl Drop for AccountPermit {
    fn drop(&mut self) {
        let mut limiters = self.cx.accounts.limiters.borrow_mut();
        if let Some(limiter) = limiters.get_mut(&self.account) {
            limiter.finish();
        }
    }
}

/// Admits a call of an account, or returns the delay after which to retry; `None` if it has no limits.
pub(crate) fn admit(
    cx: &Rc<Gateway>,
    key_owner: Option<&KeyOwner>,
) -> Result<Option<AccountPermit>, std::time::Duration> {
    let limited = key_owner.and_then(|owner| owner.limits.map(|limits| (&owner.account, limits)));
    let Some((account, limits)) = limited else {
        return Ok(None);
    };
    let now = cx.now();
    let routers = cx.peers.borrow().live_count(now);
    let mut limiters = cx.accounts.limiters.borrow_mut();
    let limiter = limiters
        .entry(account.clone())
        .or_insert_with(|| Limiter::new(now));
    limiter.admit(now, limits, routers)?;
    Ok(Some(AccountPermit {
        cx: Rc::clone(cx),
        account: account.clone(),
    }))
}

/// Returns a request for this router's demand on each account, with the address of the account's owner.
/// Shares of accounts that this router owns are granted at once.
pub(crate) fn share_requests(cx: &Gateway) -> Vec<(SocketAddr, Message)> {
    let now = cx.now();
    let mut requests = Vec::new();
    for (account, demand) in demands(cx, now) {
        let owner = cx
            .peers
            .borrow()
            .owner_of(now, &format!("account/{account}"));
        match owner {
            Some(address) => {
                let from = cx.cfg.vm.clone();
                let request = Message::ShareRequest {
                    from,
                    account,
                    demand,
                };
                requests.push((address, request));
            }
            None => {
                let grant = on_demand(cx, &cx.cfg.vm, &account, demand);
                grant.into_iter().for_each(|g| on_grant(cx, &account, g));
            }
        }
    }
    requests
}

fn demands(cx: &Gateway, now: Instant) -> Vec<(ClientAccountId, Demand)> {
    let mut demands = Vec::new();
    cx.accounts.limiters.borrow_mut().retain(|id, limiter| {
        let demand = limiter.take_demand(now);
        let is_used = demand.is_some() || limiter.in_flight() > 0;
        demands.extend(demand.map(|d| (id.clone(), d)));
        is_used
    });
    cx.accounts
        .allocators
        .borrow_mut()
        .retain(|_, allocator| !allocator.is_idle(now));
    demands
}

/// Grants a share of an account that this router owns; returns `None` for an unknown account.
pub(crate) fn on_demand(
    cx: &Gateway,
    to: &VmId,
    account: &ClientAccountId,
    demand: Demand,
) -> Option<Grant> {
    let limits = cx.accepted_changes.with_log(|log| {
        let account = log.config().accounts.get(account)?;
        Some(AccountLimits {
            requests_per_s: account.requests_per_s,
            concurrency: account.concurrency,
        })
    })?;
    let now = cx.now();
    let mut allocators = cx.accounts.allocators.borrow_mut();
    let allocator = allocators
        .entry(account.clone())
        .or_insert_with(|| ShareAllocator::new(now));
    Some(allocator.on_demand(now, to.clone(), demand, limits))
}

/// Applies a granted share.
pub(crate) fn on_grant(cx: &Gateway, account: &ClientAccountId, grant: Grant) {
    if let Some(limiter) = cx.accounts.limiters.borrow_mut().get_mut(account) {
        limiter.on_grant(cx.now(), grant);
    }
}
