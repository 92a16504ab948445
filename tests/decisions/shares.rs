//! Division of a contended pool by demand, without a model of its calls.

use std::time::Duration;

use scaleford::{
    admission::{
        account_rates::AccountHash,
        shares::{
            AttemptResult, Claim, PoolFacts, PoolReport, PoolShares, ShareReport, ShareScope,
            TargetRates, TenthsPerSecond, UsualTimeLeft,
        },
    },
    config::serving::CallKind,
    dispatcher::{CallPlan, Dispatcher},
    edge::Rules,
    ids::{ClientAccountId, ServiceName, TargetId},
    target_counts::TargetHash,
    units::Rank,
};

use super::{at, dispatcher, hall, plan, rules};

const TARGETS: [&str; 3] = ["t0", "t1", "t2"];

fn service() -> ServiceName {
    "desk".parse().unwrap()
}

fn account(name: &str) -> Option<AccountHash> {
    let account: ClientAccountId = name.parse().unwrap();
    Some((&account).into())
}

fn claim(rank: u8, name: &str) -> Claim {
    Claim {
        rank: Rank(rank),
        returning: false,
        account: account(name),
    }
}

fn facts(service: &ServiceName) -> PoolFacts<'_> {
    PoolFacts {
        service,
        has_engines: false,
        slots: 18,
        goal: Duration::from_millis(150),
    }
}

/// Report on targets that answer 200 calls/s each, turn some away and take `time_ms` per call.
fn report(demand: &[(Claim, u32)], time_ms: u32) -> PoolReport {
    let rates = |id: &&str| TargetRates {
        target: TargetHash::from(&id.parse::<TargetId>().unwrap()),
        answered: TenthsPerSecond(2_000),
        turned_away: TenthsPerSecond(300),
        mean_time_ms: time_ms,
    };
    let demand = demand.iter();
    PoolReport {
        service: (&service()).into(),
        demand: demand.map(|(c, n)| (*c, TenthsPerSecond(n * 10))).collect(),
        targets: TARGETS.iter().map(rates).collect(),
        refused: TenthsPerSecond(10),
    }
}

/// Returns the state of a router after two rounds of reports on the pool.
fn divided(scope: ShareScope, report: &PoolReport) -> PoolShares {
    let mut shares = PoolShares::new(hall("yard"), scope);
    shares.set_fleet_size(80);
    for ms in [1_000, 1_100, 1_200, 1_300] {
        let own = Claim::default();
        shares.on_call(at(ms), &service(), own);
        let hub = "hub".parse().unwrap();
        let report = ShareReport::Hall {
            hall: hall("yard"),
            age_ms: 0,
            pools: vec![report.clone()],
        };
        shares.on_reports(at(ms), &hub, &hall("yard"), vec![report]);
        shares.on_tick(at(ms));
        divide(&mut shares, ms);
    }
    shares
}

fn divide(shares: &mut PoolShares, ms: u64) {
    let hash = |id: &&str| (TargetHash::from(&id.parse::<TargetId>().unwrap()), 6);
    shares.divide(at(ms), facts(&service()), || {
        TARGETS.iter().map(hash).collect()
    });
}

/// Returns the fraction of a claim's calls that is admitted.
fn fraction(shares: &PoolShares, ms: u64, claim: Claim) -> f64 {
    let draws = (0..1_000).map(|n| f64::from(n) / 1_000.0);
    let service = service();
    let admitted = draws.filter(|draw| shares.admits(at(ms), facts(&service), claim, *draw));
    admitted.count() as f64 / 1_000.0
}

/// An account that sends ten times as much as the others would leave them a tenth of their calls.
#[test]
fn small_accounts_are_served_before_a_large_one() {
    let demand = [(claim(0, "small"), 50), (claim(0, "large"), 2_000)];
    let shares = divided(ShareScope::SmallPools, &report(&demand, 60));
    assert!(fraction(&shares, 1_300, claim(0, "small")) > 0.99);
    let large = fraction(&shares, 1_300, claim(0, "large"));
    assert!((0.2..0.3).contains(&large), "{large}");
    // An account that nobody has reported asks for little.
    assert!(fraction(&shares, 1_300, claim(0, "new")) > 0.99);
}

/// Urgent calls that want more than the capacity would leave other ranks nothing.
#[test]
fn each_rank_gets_half_of_the_pools_ratio() {
    let demand = [(claim(0, "a"), 1_200), (claim(5, "b"), 1_200)];
    let shares = divided(ShareScope::SmallPools, &report(&demand, 60));
    let status = shares.status(at(1_300));
    let floor = status[0].capacity / 2_400.0 / 2.0;
    let low = fraction(&shares, 1_300, claim(5, "b"));
    assert!(
        (low - floor).abs() < 0.01,
        "{low} of low rank, floor {floor}"
    );
    let urgent = fraction(&shares, 1_300, claim(0, "a"));
    assert!(urgent > 2.5 * low, "{urgent} of the urgent ones");
}

/// Calls beyond an account's usual rate get what is left, and nothing where nothing is.
#[test]
fn calls_beyond_the_usual_rate_come_last() {
    let a = claim(0, "a");
    let demand = [(claim(9, "b"), 900), (a.beyond_usual(), 900)];
    let shares = divided(ShareScope::SmallPools, &report(&demand, 60));
    assert!(fraction(&shares, 1_300, a.beyond_usual()) < 0.01);
    let demand = [(claim(9, "b"), 100), (a.beyond_usual(), 900)];
    let shares = divided(ShareScope::SmallPools, &report(&demand, 60));
    assert!(fraction(&shares, 1_300, claim(9, "b")) > 0.99);
    assert!(fraction(&shares, 1_300, a.beyond_usual()) > 0.4);
}

/// Where demand is below the capacity, refusals would leave room unused.
#[test]
fn nothing_is_refused_below_the_capacity() {
    let demand = [(claim(0, "a"), 200), (claim(9, "b"), 200)];
    let shares = divided(ShareScope::SmallPools, &report(&demand, 30));
    assert!(fraction(&shares, 1_300, claim(9, "b")) > 0.99);
}

/// Sums that have expired describe calls of seconds ago; placement by counts decides then.
#[test]
fn an_expired_sum_divides_nothing() {
    let demand = [(claim(0, "a"), 5_000)];
    let mut shares = divided(ShareScope::SmallPools, &report(&demand, 60));
    let service = service();
    let target = "t0".parse().unwrap();
    assert!(shares.is_divided(at(1_300), facts(&service)));
    assert!((shares.weight(at(1_300), facts(&service), &target)).is_some());
    assert!(!shares.is_divided(at(2_900), facts(&service)));
    shares.on_tick(at(2_900));
    assert!(fraction(&shares, 2_900, claim(0, "a")) > 0.99);
    assert_eq!(shares.weight(at(2_900), facts(&service), &target), None);
}

/// Pools that are out of scope are placed as without the part, and are not reported.
#[test]
fn pools_out_of_scope_are_not_divided() {
    let demand = [(claim(0, "a"), 5_000)];
    let mut shares = divided(ShareScope::Off, &report(&demand, 60));
    let service = service();
    assert!(!shares.is_divided(at(1_300), facts(&service)));
    shares.on_no_room(at(1_300), &service);
    assert_eq!(shares.own_report(at(1_300)), None);
    let mut shares = divided(ShareScope::SmallPools, &report(&demand, 60));
    // As many slots as routers.
    shares.set_fleet_size(18);
    assert!(!shares.is_divided(at(1_300), facts(&service)));
    let engines = PoolFacts {
        has_engines: true,
        ..facts(&service)
    };
    shares.set_fleet_size(80);
    assert!(!shares.is_divided(at(1_300), engines));
}

/// A report with figures out of range must not take the room of others, nor break the arithmetic.
#[test]
fn figures_out_of_range_are_clamped() {
    let mut others = report(&[(claim(0, "b"), 100), (claim(0, "a"), 100)], 60);
    others.demand[1].1 = TenthsPerSecond(u32::MAX);
    let shares = divided(ShareScope::SmallPools, &others);
    assert!(fraction(&shares, 1_300, claim(0, "b")) > 0.99);
    for time_ms in [0, u32::MAX] {
        let mut extreme = report(&[(claim(0, "a"), 100)], time_ms);
        extreme.targets[0].answered = TenthsPerSecond(u32::MAX);
        extreme.targets[1].answered = TenthsPerSecond(0);
        let shares = divided(ShareScope::SmallPools, &extreme);
        let status = shares.status(at(1_300));
        let rates = status[0].targets.iter().map(|(_, rate)| *rate);
        let is_valid = |rate: f64| rate.is_finite() && (0.0..=10_000.0).contains(&rate);
        assert!(rates.clone().all(is_valid), "{:?}", status[0]);
    }
}

/// A router reports what it observed while the pool is contended, and stops afterwards.
#[test]
fn a_router_reports_while_its_pool_is_contended() {
    let service = service();
    let mut shares = PoolShares::new(hall("yard"), ShareScope::SmallPools);
    shares.set_fleet_size(80);
    let target = "t0".parse().unwrap();
    shares.on_call(at(100), &service, claim(0, "a"));
    divide(&mut shares, 100);
    let took = Duration::from_millis(30);
    shares.on_attempt_end(at(130), &service, &target, took, AttemptResult::Answered);
    assert_eq!(shares.own_report(at(140)), None);
    shares.on_no_room(at(150), &service);
    let Some(ShareReport::Router(pools)) = shares.own_report(at(200)) else {
        panic!("no report");
    };
    assert_eq!(pools[0].demand, vec![(claim(0, "a"), TenthsPerSecond(20))]);
    assert_eq!(pools[0].targets[0].mean_time_ms, 30);
    assert_eq!(pools[0].refused, TenthsPerSecond(20));
    assert_eq!(shares.own_report(at(2_200)), None);
}

/// Calls of callers that were refused arrive with a part of the usual time; new ones must not count as such.
#[test]
fn callers_with_little_time_left_have_returned() {
    let mut usual = UsualTimeLeft::default();
    let mut is_returning =
        |ms, left| usual.is_returning(at(ms), "route", Duration::from_millis(left));
    assert!(!is_returning(0, 970));
    assert!(!is_returning(100, 850));
    assert!(is_returning(200, 700));
    // The usual time of a route changes with its callers, within two windows.
    assert!(is_returning(40_000, 500));
    assert!(!is_returning(110_000, 500));
}

/// While the only target of a pool was suspect, the pool had no capacity, and every call was refused.
#[test]
fn a_pool_without_usable_targets_is_placed_by_counts() {
    let report = report(&[(claim(0, "a"), 2_000)], 60);
    let mut shares = divided(ShareScope::SmallPools, &report);
    let hub = "hub".parse().unwrap();
    let reports = vec![ShareReport::Router(vec![report])];
    shares.on_reports(at(1_400), &hub, &hall("yard"), reports);
    shares.on_tick(at(1_400));
    shares.divide(at(1_400), facts(&service()), Vec::new);
    assert!(!shares.is_divided(at(1_400), facts(&service())));
}

/// A service with one target left before seven routers was divided, though counts show its calls well.
#[test]
fn a_pool_with_a_slot_for_every_other_router_is_not_small() {
    let report = report(&[(claim(0, "a"), 2_000)], 60);
    let mut shares = divided(ShareScope::SmallPools, &report);
    assert!(shares.is_divided(at(1_300), facts(&service())));
    shares.set_fleet_size(30);
    assert!(!shares.is_divided(at(1_300), facts(&service())));
}

/// Two of three targets had been down and were idle while 300 calls a second were refused.
#[test]
fn calls_that_are_not_admitted_go_to_a_suspect_target_with_room() {
    let mut router = dispatcher(2);
    router.set_rules(&Rules {
        shares: ShareScope::AllPools,
        ..rules()
    });
    let plain = |hash: u64| CallPlan {
        engine: None,
        ..plan(CallKind::Safe, Vec::new(), hash)
    };
    let writer = PoolReport {
        service: (&plain(0).service).into(),
        ..report(&[(Claim::default(), 20_000)], 60)
    };
    for ms in [1_000, 1_100, 1_200, 1_300] {
        let hub = "hub".parse().unwrap();
        let reports = vec![ShareReport::Router(vec![writer.clone()])];
        (router.shares).on_reports(at(ms), &hub, &hall("yard"), reports);
        router.on_tick(at(ms));
        chosen_target(&mut router, ms, &plain(ms));
    }
    let suspect: TargetId = "t1".parse().unwrap();
    let chosen = |router: &mut Dispatcher| -> Vec<_> {
        let plans = (0..50).map(|n| plain(10_000 + n));
        plans
            .filter_map(|plan| chosen_target(router, 1_310, &plan))
            .collect()
    };
    assert!(chosen(&mut router).len() < 30, "the pool is not divided");
    (router.health.outages).on_refused(at(1_310), (&suspect).into());
    assert!(chosen(&mut router).contains(&suspect));
}

/// Returns the target that a call is sent to, if it is, and ends the call.
fn chosen_target(router: &mut Dispatcher, ms: u64, plan: &CallPlan) -> Option<TargetId> {
    let ticket = router.choose(at(ms), plan).ok()?;
    router.on_end(at(ms), &ticket, None);
    Some(ticket.target.id.clone())
}
