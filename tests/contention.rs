//! What operators see of contended pools, and when the contention begins and ends for them.

mod support;

use std::time::Duration;

use hyper::Method;
use scaleford::{
    admission::{
        account_rates::AccountHash,
        shares::{Claim, PoolStatus, ServiceHash},
    },
    contention::{ContentionWatch, HashedNames, PoolView},
    edge::{ContendedRefusal, ShareDecision},
    ids::{ClientAccountId, ServiceName, TargetId},
    units::{Instant, Rank},
};
use serde_json::Value;
use support::{
    caller::{Caller, TOKEN},
    fleet::{Fleet, Plan},
};

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn account(id: &str) -> AccountHash {
    (&id.parse::<ClientAccountId>().unwrap()).into()
}

fn service(name: &str) -> ServiceName {
    name.parse().unwrap()
}

fn claim(rank: u8, returning: bool, id: Option<&str>) -> Claim {
    Claim {
        rank: Rank(rank),
        returning,
        account: id.map(account),
    }
}

fn target(id: &str) -> TargetId {
    id.parse().unwrap()
}

fn pool(name: &str) -> PoolStatus {
    PoolStatus {
        service: ServiceHash::from(&service(name)),
        capacity: 60.0,
        claims: vec![
            (claim(2, false, None), 40.0, 0.25),
            (claim(1, false, Some("green-hammer")), 20.0, 0.5),
            (claim(1, true, Some("green-hammer")), 10.0, 1.0),
            (claim(1, false, Some("red-gavel")), 50.0, 0.5),
        ],
        targets: vec![
            ((&target("desk-2")).into(), 20.0),
            ((&target("desk-1")).into(), 40.0),
        ],
    }
}

/// Guards against a status that leaves an operator with hashes, or in an order that changes.
#[test]
fn a_pool_is_shown_by_names_and_rank() {
    let mut names = HashedNames::default();
    names.add_service(&service("bid-desk"));
    names.add_account(&"green-hammer".parse().unwrap());
    names.add_account(&"red-gavel".parse().unwrap());
    names.add_target(&target("desk-1"));
    names.add_target(&target("desk-2"));
    insta::assert_json_snapshot!(PoolView::new(&pool("bid-desk"), &names));
}

/// Guards against answers of a size without bound where thousands of accounts ask.
#[test]
fn of_many_claims_those_with_the_most_calls_are_shown() {
    let mut many = pool("bid-desk");
    let claim = |n: u32| claim((n % 3) as u8, false, Some(&format!("account-{n}")));
    many.claims = (0..5_000).map(|n| (claim(n), f64::from(n), 0.5)).collect();
    // Names of accounts that left are unknown: their hashes are shown.
    let view = PoolView::new(&many, &HashedNames::default());
    assert_eq!(view.claims.len(), 32);
    assert!(view.claims.iter().all(|c| c.demand_per_s >= 4_968.0));
    assert!(view.demand_per_s > 12_000_000.0, "the sum covers all");
}

/// Guards against a line for each tick, or for each gap between two sums.
#[test]
fn contention_is_logged_once_when_it_begins_and_once_when_it_ends() {
    let mut watch = ContentionWatch::default();
    let pools = [pool("bid-desk")];
    let begin = watch.on_status(at(1_000), &pools);
    assert_eq!(begin.len(), 1);
    assert_eq!((begin[0].ended_after, begin[0].demand), (None, 120.0));
    for ms in (1_100..=5_000).step_by(100) {
        // A gap of 1.9 s between two surges.
        let shown = if (2_000..3_900).contains(&ms) {
            &[][..]
        } else {
            &pools
        };
        assert_eq!(watch.on_status(at(ms), shown), []);
    }
    assert_eq!(watch.on_status(at(6_900), &[]), []);
    let end = watch.on_status(at(7_000), &[]);
    assert_eq!(end.len(), 1);
    assert_eq!(end[0].ended_after, Some(Duration::from_millis(4_000)));
    assert_eq!(watch.on_status(at(9_000), &[]), []);
    assert_eq!(watch.on_status(at(9_100), &pools).len(), 1);
}

/// Guards against log lines and memory without bound where reports name countless services.
#[test]
fn the_pools_whose_contention_is_logged_are_bounded() {
    let mut watch = ContentionWatch::default();
    let pools: Vec<_> = (0..1_000).map(|n| pool(&format!("desk-{n}"))).collect();
    assert_eq!(watch.on_status(at(1_000), &pools).len(), 64);
    assert_eq!(watch.on_status(at(1_100), &pools), []);
}

/// Guards against a refused call of which neither `explain` nor the metrics tell why.
#[tokio::test(flavor = "multi_thread")]
async fn decisions_by_fractions_are_explained_and_refusals_counted() {
    let fleet = Fleet::start(Plan {
        routers: 1,
        settings: vec![("metrics_listen", "127.0.0.1:0".to_owned())],
        ..Plan::default()
    })
    .await;
    let router = fleet.live().next().unwrap();
    router.query(|gateway| {
        let desk = service("bid-desk");
        let hammer: ClientAccountId = "green-hammer".parse().unwrap();
        let decision = |draw: f64| ShareDecision {
            service: &desk,
            claim: claim(2, false, Some("green-hammer")),
            account: Some(&hammer),
            fraction: 0.25,
            draw,
            admitted: draw < 0.25,
        };
        gateway.record_share_decision("call-1", decision(0.734));
        gateway.record_share_decision("call-1", decision(0.1));
        gateway.count_contended_refusal(&desk, Rank(0), ContendedRefusal::TargetFull);
    });
    let operator = Caller::new(TOKEN);
    let (code, explained) = operator
        .json(
            fleet.operators_at(0),
            Method::GET,
            "/v1/explain/call-1",
            &Value::Null,
        )
        .await;
    assert_eq!(code, 200);
    let decisions = explained["decisions"].as_array().unwrap();
    let sentences: Vec<_> = decisions
        .iter()
        .map(|d| d["sentence"].as_str().unwrap())
        .collect();
    assert_eq!(
        sentences,
        [
            "The pool was contended: of the calls of green-hammer with rank 2, a fraction of 0.250 was admitted; this one drew 0.734 and was refused.",
            "The pool was contended: of the calls of green-hammer with rank 2, a fraction of 0.250 was admitted; this one drew 0.100 and was admitted.",
        ]
    );
    let metrics = operator
        .call(router.metrics_address(), Method::GET, "/metrics", &[], "")
        .await
        .text;
    for line in [
        r#"scaleford_contended_refusals_total{service="bid-desk",rank="2",reason="not_admitted"} 1"#,
        r#"scaleford_contended_refusals_total{service="bid-desk",rank="0",reason="target_full"} 1"#,
    ] {
        assert!(metrics.contains(line), "{metrics}");
    }
}
