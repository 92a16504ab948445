//! Shares of accounts' limits.

use std::collections::HashMap;

use proptest::prelude::*;
use scaleford::{
    ids::VmId,
    limits::{AccountLimits, Demand, GRANT_TTL, Limiter, ShareAllocator},
    units::Instant,
};

proptest! {
    /// However demand is spread, and also when the owner is replaced, grants and floors stay under
    /// the limit.
    #[test]
    fn shares_stay_under_the_limit(
        demands in prop::collection::vec((0usize..12, 0u64..200_000, 0u32..300), 1..300),
        owner_replaced_at in 0usize..300,
    ) {
        let limits = AccountLimits { requests_per_s: 100, concurrency: 120 };
        let mut allocator = ShareAllocator::new(Instant::default());
        let mut limiters: Vec<Limiter> = (0..12).map(|_| Limiter::new(Instant::default())).collect();
        let mut granted: HashMap<usize, (Instant, u64, u32)> = HashMap::new();
        for (n, (who, rate_milli, in_flight)) in demands.into_iter().enumerate() {
            let now = Instant::from_millis(n as u64 * 100);
            if n == owner_replaced_at {
                allocator = ShareAllocator::new(now);
            }
            let live = granted.get(&who).filter(|(at, _, _)| now.since(*at) < GRANT_TTL);
            let (granted_rate_milli, granted_concurrency) = live.map_or((0, 0), |h| (h.1, h.2));
            let demand = Demand { rate_milli, in_flight, granted_rate_milli, granted_concurrency };
            let vm: VmId = format!("vm-{who}").parse().unwrap();
            let grant = allocator.on_demand(now, vm, demand, limits);
            limiters[who].on_grant(now, grant);
            granted.insert(who, (now, grant.rate_milli, grant.concurrency));
            let live = granted.values().filter(|(at, _, _)| now.since(*at) < GRANT_TTL);
            let sum = live.fold((0, 0), |s, h| (s.0 + h.1, s.1 + h.2));
            prop_assert!(sum.0 <= 90_000 && sum.1 <= 108, "{:?}", sum);
        }
    }
}
