//! The limiters of this router, and the shares of the accounts that it keeps.

use std::{collections::HashMap, sync::Arc, time::Duration};

use parking_lot::Mutex;

use crate::{
    config::ClientAccount,
    control,
    ids::{ClientAccountId, VmId},
    limits::{AccountLimits, Demand, Grant, Limiter, ShareKeeper},
    peer::Message,
    placement::keeper,
    router::Shared,
    units::Instant,
};

/// Accounts' limits at one router.
#[derive(Default)]
pub(crate) struct LimitsService {
    limiters: Mutex<HashMap<ClientAccountId, Limiter>>,
    keepers: Mutex<HashMap<ClientAccountId, ShareKeeper>>,
}

/// Gives a place in an account's concurrency back when dropped.
pub(crate) struct AccountPlace {
    cx: Arc<Shared>,
    account: ClientAccountId,
}

impl Drop for AccountPlace {
    fn drop(&mut self) {
        let mut limiters = self.cx.limits.limiters.lock();
        if let Some(l) = limiters.get_mut(&self.account) {
            l.finish();
        }
    }
}

impl LimitsService {
    /// Takes a request of an account in, or says when to come back.
    pub(crate) fn admit(
        &self,
        cx: &Arc<Shared>,
        id: &ClientAccountId,
        account: &ClientAccount,
    ) -> Result<AccountPlace, Duration> {
        let now = cx.now();
        let routers = cx.directory().live.len();
        let mut limiters = self.limiters.lock();
        let limiter = limiters
            .entry(id.clone())
            .or_insert_with(|| Limiter::new(now));
        limiter.admit(now, limits_of(account), routers)?;
        Ok(AccountPlace {
            cx: Arc::clone(cx),
            account: id.clone(),
        })
    }

    /// Tells each account's keeper what is needed here.
    pub(crate) fn on_tick(&self, cx: &Arc<Shared>) {
        let now = cx.now();
        let directory = cx.directory();
        let mut asks = Vec::new();
        self.limiters.lock().retain(|id, limiter| {
            let demand = limiter.take_demand(now);
            asks.extend(demand.map(|d| (id.clone(), d)));
            directory.config.accounts.contains_key(id) || limiter.in_flight() > 0
        });
        self.keepers.lock().retain(|_, k| !k.is_idle(now));
        for (account, demand) in asks {
            let place = format!("account/{account}");
            let Some(vm) = keeper(&place, directory.live.iter()) else {
                continue;
            };
            let from = cx.me.vm.clone();
            control::send_to(
                cx,
                vm,
                Message::ShareAsk {
                    from,
                    account,
                    demand,
                },
            );
        }
    }

    /// Grants a share of an account that this router keeps.
    pub(crate) fn on_demand(
        &self,
        cx: &Arc<Shared>,
        to: &VmId,
        account: &ClientAccountId,
        demand: Demand,
    ) {
        let now = cx.now();
        let directory = cx.directory();
        let Some(limits) = directory.config.accounts.get(account).map(limits_of) else {
            return;
        };
        let grant = {
            let mut keepers = self.keepers.lock();
            let keeper = keepers
                .entry(account.clone())
                .or_insert_with(|| ShareKeeper::new(now));
            keeper.on_demand(now, to.clone(), demand, limits)
        };
        let from = cx.me.vm.clone();
        let account = account.clone();
        control::send_to(
            cx,
            to,
            Message::ShareGrant {
                from,
                account,
                grant,
            },
        );
    }

    /// Takes a share.
    pub(crate) fn on_grant(&self, now: Instant, account: &ClientAccountId, grant: Grant) {
        if let Some(limiter) = self.limiters.lock().get_mut(account) {
            limiter.on_grant(now, grant);
        }
    }
}

fn limits_of(account: &ClientAccount) -> AccountLimits {
    AccountLimits {
        requests_per_s: account.requests_per_s,
        concurrency: account.concurrency,
    }
}
