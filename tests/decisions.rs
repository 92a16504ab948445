//! The decision types alone, in virtual time: bound, order, claims, limits.

use std::{collections::HashMap, time::Duration};

use proptest::prelude::*;
use scaleford::{
    breaker::Breaker,
    claims::{ClaimKey, ClaimKind, ClaimShard, ClaimStep, ClaimVerdict},
    config::{Change, ChangeOutcome, ConfigLog, Edit, Model, Update},
    home::{Home, Offer, TargetReport, Ticket, Verdict, Wake},
    ids::{ChangeId, ConversationKey, RequestId, Revision, TargetId, VmId},
    limits::{AccountLimits, Demand, GRANT_VALID, Limiter, ShareKeeper},
    load::{Load, PoolView},
    placement::{Candidate, rank},
    units::{Instant, LoadBound, Priority, Tokens, Weight},
    walk::Wait,
};

fn offer(n: u64, priority: Priority, wait: Wait) -> Offer {
    Offer {
        ticket: Ticket(n),
        cost: Tokens(100),
        priority,
        deadline: Instant::from_millis(60_000),
        conversation: ConversationKey(n),
        anchor: false,
        wait,
    }
}

fn pool(tokens: u64, weight: u32) -> PoolView {
    let load = Load {
        tokens: Tokens(tokens),
        doubtful: Tokens(0),
    };
    PoolView { load, weight }
}

fn admitted(home: &mut Home, now: Instant, n: u64, view: PoolView) -> bool {
    home.on_offer(now, offer(n, Priority::Live, Wait::Never), view) == Verdict::Admitted
}

#[test]
fn one_request_may_always_run_and_no_more_than_the_bound() {
    let now = Instant::default();
    let mut home = Home::new(now, Weight::USUAL, LoadBound::default(), false);
    assert!(admitted(&mut home, now, 0, pool(0, 1_000)));
    // Ten targets with a mean of 1,000 tokens, this one with 100.
    let taken = (1..100)
        .filter(|n| admitted(&mut home, now, *n, pool(10_000, 1_000)))
        .count();
    let load = home.tokens().0 as f64 / 1_010.0;
    assert!(taken > 0 && load <= 1.25, "{load}");
}

#[test]
fn two_routers_that_both_believe_to_be_home_stay_inside_the_bound() {
    let now = Instant::default();
    let mut homes = [(); 2].map(|()| Home::new(now, Weight::USUAL, LoadBound::default(), true));
    for home in &mut homes {
        home.on_report(
            now,
            TargetReport {
                tokens: Tokens(200),
                lag: Duration::ZERO,
            },
        );
    }
    let later = Instant::from_millis(10);
    for n in 0..200 {
        let home = &mut homes[n as usize % 2];
        admitted(home, later, n, pool(10_000, 1_000));
    }
    // What the target truly has: what it reported, and what both admitted since.
    let own: u64 = homes.iter().map(|h| h.running() as u64 * 100).sum();
    let load = (200 + own) as f64 / 1_000.0;
    assert!(own > 0 && load <= 1.25, "{load}");
}

#[test]
fn the_urgent_go_first_and_nobody_starves() {
    let now = Instant::default();
    let mut home = Home::new(now, Weight::USUAL, LoadBound::default(), false);
    home.set_target(Weight::USUAL, Some(Tokens(100)));
    assert!(admitted(&mut home, now, 0, pool(100, 100)));
    for (n, priority) in [
        (1, Priority::Patient),
        (2, Priority::Live),
        (3, Priority::Urgent),
    ] {
        let verdict = home.on_offer(now, offer(n, priority, Wait::ForRoom), pool(1_000, 100));
        assert_eq!(verdict, Verdict::Queued);
    }
    let mut order = Vec::new();
    for n in [0, 3, 2] {
        order.extend(home.on_finish(now, Ticket(n), pool(1_000, 100)));
    }
    let tickets = [3, 2, 1].map(|n| Wake::Admitted(Ticket(n)));
    assert_eq!(order, tickets);
}

#[test]
fn what_waits_too_long_is_told_at_once() {
    let now = Instant::default();
    let mut home = Home::new(now, Weight::USUAL, LoadBound::default(), false);
    home.set_target(Weight::USUAL, Some(Tokens(100)));
    assert!(admitted(&mut home, now, 0, pool(100, 100)));
    let verdict = home.on_offer(
        now,
        offer(1, Priority::Live, Wait::ForRoom),
        pool(1_000, 100),
    );
    assert_eq!(verdict, Verdict::Queued);
    let wakes = home.on_tick(Instant::from_millis(1_000), pool(1_000, 100));
    assert!(
        matches!(wakes[..], [Wake::Refused(Ticket(1), _)]),
        "{wakes:?}"
    );
}

#[test]
fn a_failing_target_is_left_alone_and_tried_again() {
    let mut breaker = Breaker::default();
    let at = Instant::from_millis;
    (0..3).for_each(|_| breaker.on_failure(at(0)));
    assert!(!breaker.allows(at(499)));
    assert!(breaker.allows(at(500)));
    breaker.on_send();
    assert!(!breaker.allows(at(501)), "one try at a time");
    breaker.on_failure(at(600));
    assert!(!breaker.allows(at(1_500)), "the pause doubles");
    assert!(breaker.allows(at(1_600)));
    breaker.on_success();
    assert!(breaker.allows(at(1_601)));
}

fn candidates(n: usize) -> Vec<Candidate> {
    let id = |i| format!("engine-{i}").parse::<TargetId>().unwrap();
    (0..n)
        .map(|i| Candidate::new(id(i), Weight::USUAL))
        .collect()
}

proptest! {
    #[test]
    fn only_the_chats_of_a_leaving_target_move(seed in any::<u64>(), gone in 0usize..40) {
        let all = candidates(40);
        let mut fewer = all.clone();
        fewer.remove(gone);
        for n in 0..50 {
            let key = ConversationKey(seed.wrapping_add(n));
            let before = &all[rank(&all, key, 1)[0]].target;
            let after = &fewer[rank(&fewer, key, 1)[0]].target;
            prop_assert!(before == after || *before == all[gone].target);
        }
    }

    /// Changes arrive in any order, twice, from relays that lag or lie, or from a store that
    /// was set back and went on differently.
    #[test]
    fn a_configuration_never_reverts(steps in prop::collection::vec((0usize..24, any::<bool>()), 1..120)) {
        let (mut truth, mut other) = (ConfigLog::default(), ConfigLog::default());
        let (mut changes, mut lies) = (Vec::new(), Vec::new());
        for n in 0..24 {
            let change = next_change(&truth, &format!("chg-{n}"));
            truth.on_change(change.clone());
            changes.push(change);
            let lie = next_change(&other, &format!("lie-{n}"));
            other.on_change(lie.clone());
            lies.push(lie);
        }
        let mut log = ConfigLog::default();
        log.on_change(changes[0].clone());
        for (n, lie) in steps {
            let before = (log.revision(), log.digest());
            let offered = if lie { lies[n].clone() } else { changes[n].clone() };
            let outcome = log.on_change(offered);
            prop_assert!(log.revision() >= before.0);
            prop_assert!(outcome == ChangeOutcome::Applied || (log.revision(), log.digest()) == before);
            prop_assert!(!lie || outcome != ChangeOutcome::Applied);
        }
        match truth.update_since(log.revision(), log.digest()) {
            Update::Changes(missing) => missing.iter().for_each(|c| { log.on_change((**c).clone()); }),
            Update::Current => {}
            Update::Whole(_) => prop_assert!(false, "the ring holds all"),
        }
        prop_assert_eq!(log.digest(), truth.digest());
    }

    /// Keepers of one shard write, lose answers, pause and wake with an old view.
    #[test]
    fn a_key_is_claimed_by_one_request_alone(
        steps in prop::collection::vec((0usize..3, 0u8..4, 1u128..40, 0u8..10), 1..200),
    ) {
        let mut store = Store::default();
        let mut keepers: Vec<ClaimShard> = vec![ClaimShard::default(); 3];
        let mut winners: HashMap<u8, u128> = HashMap::new();
        for (keeper, key, request, luck) in steps {
            let step = ClaimStep {
                key: ClaimKey([key; 16]),
                request: RequestId(request),
                kind: ClaimKind::Claim,
                outcome: 0,
            };
            // Lost answers lead to a reload, as an unsettled write does in the daemon.
            for _ in 0..3 {
                let batch = keepers[keeper].decide(&[step], 0);
                let verdict = batch.verdicts[0];
                let written = store.swap(&keepers[keeper], &batch);
                if written && luck > 2 {
                    keepers[keeper].commit(batch);
                    if verdict == ClaimVerdict::Recorded {
                        let winner = *winners.entry(key).or_insert(request);
                        prop_assert_eq!(winner, request);
                    }
                    break;
                }
                keepers[keeper] = store.load();
            }
        }
    }

    /// However demand is spread and keepers change, grants and floors stay under the limit.
    #[test]
    fn shares_stay_under_the_limit(
        demands in prop::collection::vec((0usize..12, 0u64..200_000, 0u32..300), 1..300),
        keeper_dies_at in 0usize..300,
    ) {
        let limits = AccountLimits { requests_per_s: 100, concurrency: 120 };
        let mut keeper = ShareKeeper::new(Instant::default());
        let mut limiters: Vec<Limiter> = (0..12).map(|_| Limiter::new(Instant::default())).collect();
        let mut held: HashMap<usize, (Instant, u64, u32)> = HashMap::new();
        for (n, (who, rate_milli, in_flight)) in demands.into_iter().enumerate() {
            let now = Instant::from_millis(n as u64 * 100);
            if n == keeper_dies_at {
                keeper = ShareKeeper::new(now);
            }
            let live = held.get(&who).filter(|(at, _, _)| now.since(*at) < GRANT_VALID);
            let (held_rate_milli, held_concurrency) = live.map_or((0, 0), |h| (h.1, h.2));
            let demand = Demand { rate_milli, in_flight, held_rate_milli, held_concurrency };
            let vm: VmId = format!("vm-{who}").parse().unwrap();
            let grant = keeper.on_demand(now, vm, demand, limits);
            limiters[who].on_grant(now, grant);
            held.insert(who, (now, grant.rate_milli, grant.concurrency));
            let live = held.values().filter(|(at, _, _)| now.since(*at) < GRANT_VALID);
            let sum = live.fold((0, 0), |s, h| (s.0 + h.1, s.1 + h.2));
            prop_assert!(sum.0 <= 90_000 && sum.1 <= 108, "{:?}", sum);
        }
    }
}

fn next_change(log: &ConfigLog, id: &str) -> Change {
    let id: ChangeId = id.parse().unwrap();
    Change {
        revision: Revision(log.revision().0 + 1),
        author: "night-watch".to_owned(),
        reason: "test".to_owned(),
        previous: log.digest(),
        edits: vec![Edit::PutModel {
            id: id.as_str().parse().unwrap(),
            model: Model::default(),
        }],
        id,
    }
}

/// The chain of one shard in the store, written by compare-and-swap.
#[derive(Default)]
struct Store(Vec<(u64, scaleford::claims::Chunk)>);

impl Store {
    /// Writes if the keeper's view of the chunk is the store's.
    fn swap(&mut self, keeper: &ClaimShard, batch: &scaleford::claims::Batch) -> bool {
        let known = self.0.iter().position(|(n, _)| *n == batch.number);
        match known {
            Some(at) if keeper.number() == batch.number && keeper.last() == &self.0[at].1 => {
                self.0[at].1 = batch.chunk.clone();
                true
            }
            None if self
                .0
                .last()
                .is_none_or(|(n, c)| c.sealed && n + 1 == batch.number) =>
            {
                self.0.push((batch.number, batch.chunk.clone()));
                true
            }
            _ => false,
        }
    }

    fn load(&self) -> ClaimShard {
        let mut shard = ClaimShard::default();
        self.0
            .iter()
            .for_each(|(n, chunk)| shard.load(*n, chunk.clone()));
        shard
    }
}

#[test]
fn a_call_that_ended_tells_how() {
    let mut shard = ClaimShard::default();
    let step = |request, kind, outcome| ClaimStep {
        key: ClaimKey([1; 16]),
        request: RequestId(request),
        kind,
        outcome,
    };
    let mut take = |s: ClaimStep, at| {
        let batch = shard.decide(&[s], at);
        let verdict = batch.verdicts[0];
        shard.commit(batch);
        verdict
    };
    assert_eq!(
        take(step(1, ClaimKind::Claim, 0), 0),
        ClaimVerdict::Recorded
    );
    assert_eq!(take(step(2, ClaimKind::Claim, 0), 1), ClaimVerdict::Running);
    assert_eq!(
        take(step(2, ClaimKind::Claim, 0), 4_000),
        ClaimVerdict::Unknown
    );
    assert_eq!(
        take(step(1, ClaimKind::Done, 201), 4_001),
        ClaimVerdict::Recorded
    );
    assert_eq!(
        take(step(2, ClaimKind::Claim, 0), 4_002),
        ClaimVerdict::Ran(201)
    );
    // What ran cannot be given back.
    assert_eq!(
        take(step(1, ClaimKind::Release, 0), 4_003),
        ClaimVerdict::Ran(201)
    );
    assert_eq!(
        take(step(2, ClaimKind::Claim, 0), 4_004),
        ClaimVerdict::Ran(201)
    );
}
