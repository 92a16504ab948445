//! Claims on idempotency keys, by which calls run at most once.

use std::collections::HashMap;

use proptest::prelude::*;
use rstest::rstest;
use scaleford::{
    claims::{
        Batch, Chunk, ClaimKey, ClaimKind, ClaimShard, ClaimStep, ClaimVerdict, MAX_COPY_AGE_S,
    },
    ids::RequestId,
};

proptest! {
    /// Three owners of one shard write, lose responses, pause, and resume with an outdated view.
    #[test]
    fn a_key_is_claimed_by_one_request_alone(
        steps in prop::collection::vec((0usize..3, 0u8..4, 1u128..40, 0u8..10), 1..200),
    ) {
        let mut store = Store::default();
        let mut owners: Vec<ClaimShard> = vec![ClaimShard::default(); 3];
        let mut winners: HashMap<u8, u128> = HashMap::new();
        for (owner, key, request, response_chance) in steps {
            let step = ClaimStep {
                key: ClaimKey([key; 16]),
                request: RequestId(request),
                kind: ClaimKind::Claim,
                outcome: 0,
            };
            // After a lost response the owner reloads the shard, as the daemon does after a write with
            // unknown result.
            for _ in 0..3 {
                let batch = owners[owner].decide(&[step], 0);
                let verdict = batch.verdicts[0];
                let written = store.swap(&owners[owner], &batch);
                if written && response_chance > 2 {
                    owners[owner].commit(batch);
                    if verdict == ClaimVerdict::Recorded {
                        let winner = *winners.entry(key).or_insert(request);
                        prop_assert_eq!(winner, request);
                    }
                    break;
                }
                owners[owner] = store.load();
            }
        }
    }
}

/// The chunks of one shard in the store, written by compare-and-swap.
#[derive(Default)]
struct Store(Vec<(u64, Chunk)>);

impl Store {
    /// Writes the batch if the owner's view of the chunk is the store's. Returns whether it was
    /// written.
    fn swap(&mut self, owner: &ClaimShard, batch: &Batch) -> bool {
        let known = self.0.iter().position(|(n, _)| *n == batch.number);
        match known {
            Some(at) if owner.number() == batch.number && owner.last() == &self.0[at].1 => {
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
fn a_call_that_ended_reports_its_outcome() {
    let mut shard = ClaimShard::default();
    let step = |request, kind, outcome| ClaimStep {
        key: ClaimKey([1; 16]),
        request: RequestId(request),
        kind,
        outcome,
    };
    let mut apply = |s: ClaimStep, at| {
        let batch = shard.decide(&[s], at);
        let verdict = batch.verdicts[0];
        shard.commit(batch);
        verdict
    };
    assert_eq!(
        apply(step(1, ClaimKind::Claim, 0), 0),
        ClaimVerdict::Recorded
    );
    assert_eq!(
        apply(step(2, ClaimKind::Claim, 0), 1),
        ClaimVerdict::Running
    );
    assert_eq!(
        apply(step(2, ClaimKind::Claim, 0), 4_000),
        ClaimVerdict::Unknown
    );
    assert_eq!(
        apply(step(1, ClaimKind::Done, 201), 4_001),
        ClaimVerdict::Recorded
    );
    assert_eq!(
        apply(step(2, ClaimKind::Claim, 0), 4_002),
        ClaimVerdict::Ran(201)
    );
    // A call that ran cannot be released.
    assert_eq!(
        apply(step(1, ClaimKind::Release, 0), 4_003),
        ClaimVerdict::Ran(201)
    );
    assert_eq!(
        apply(step(2, ClaimKind::Claim, 0), 4_004),
        ClaimVerdict::Ran(201)
    );
}

fn step(key: u8, request: u128, kind: ClaimKind) -> ClaimStep {
    ClaimStep {
        key: ClaimKey([key; 16]),
        request: RequestId(request),
        kind,
        outcome: 200 * u16::from(kind == ClaimKind::Done),
    }
}

/// Returns a shard after these steps, each recorded at second 100.
fn shard_after(steps: &[ClaimStep]) -> ClaimShard {
    let mut shard = ClaimShard::default();
    for step in steps {
        let batch = shard.decide(&[*step], 100);
        shard.commit(batch);
    }
    shard
}

/// The store was reverted to a copy that lacks steps which the owner had recorded.
#[rstest]
#[case::claim(&[step(1, 7, ClaimKind::Claim)], &[], 110, ClaimVerdict::Running)]
#[case::outcome(&[step(1, 7, ClaimKind::Claim), step(1, 7, ClaimKind::Done)], &[], 110, ClaimVerdict::Ran(200))]
#[case::outcome_alone(
    &[step(1, 7, ClaimKind::Claim), step(1, 7, ClaimKind::Done)], &[step(1, 7, ClaimKind::Claim)], 110, ClaimVerdict::Ran(200))]
#[case::given_back(&[step(1, 7, ClaimKind::Claim), step(1, 7, ClaimKind::Release)], &[], 110, ClaimVerdict::Recorded)]
#[case::claimed_by_another_since(
    &[step(1, 7, ClaimKind::Claim)], &[step(1, 8, ClaimKind::Claim), step(1, 8, ClaimKind::Done)], 110, ClaimVerdict::Ran(200))]
#[case::older_than_any_copy(&[step(1, 7, ClaimKind::Claim)], &[], 100 + MAX_COPY_AGE_S + 1, ClaimVerdict::Recorded)]
fn claims_that_were_lost_with_the_store_are_recorded_again(
    #[case] known: &[ClaimStep],
    #[case] in_copy: &[ClaimStep],
    #[case] now_s: u64,
    #[case] expected: ClaimVerdict,
) {
    let mut shard = shard_after(in_copy);
    shard.recover(&shard_after(known), now_s);
    let again = [step(1, 9, ClaimKind::Claim)];
    let batch = shard.decide(&again, now_s);
    assert_eq!(batch.verdicts, [expected]);
    // A router that reads the written chunk decides the same as the owner, and the steps are
    // written once.
    let mut reader = ClaimShard::default();
    reader.load(batch.number, batch.chunk.clone());
    let other = [step(1, 10, ClaimKind::Claim)];
    let as_read = reader.decide(&other, now_s).verdicts;
    shard.commit(batch);
    assert_eq!(shard.decide(&other, now_s).verdicts, as_read);
    assert!(!shard.is_recovering());
}
