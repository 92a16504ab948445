//! At most once.

use std::collections::HashMap;

use proptest::prelude::*;
use scaleford::{
    claims::{Batch, Chunk, ClaimKey, ClaimKind, ClaimShard, ClaimStep, ClaimVerdict},
    ids::RequestId,
};

proptest! {
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
}

/// The chain of one shard in the store, written by compare-and-swap.
#[derive(Default)]
struct Store(Vec<(u64, Chunk)>);

impl Store {
    /// Writes if the keeper's view of the chunk is the store's.
    fn swap(&mut self, keeper: &ClaimShard, batch: &Batch) -> bool {
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
