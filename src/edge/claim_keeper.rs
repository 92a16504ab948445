//! The shards of claims that this router keeps: steps are gathered and written together.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use tokio::{
    sync::{
        mpsc::{self, Receiver, Sender},
        oneshot,
    },
    time::Instant,
};

use crate::{
    claims::{Batch, ClaimShard, ClaimStep, ClaimVerdict},
    store::{MetaStore, StoreError, Swap},
    units::StoreRevision,
};

/// The shortest time between two writes of a shard; eight shards stay below 80 writes a second.
const WRITE_EVERY: Duration = Duration::from_millis(100);

/// Steps that are written together at the most.
const BATCH: usize = 48;

/// Steps that may wait for a shard; more are not recorded.
const QUEUE: usize = 512;

/// How often a write that meets another keeper's is decided anew.
const TRIES: u32 = 6;

struct Waiting {
    step: ClaimStep,
    reply: oneshot::Sender<ClaimVerdict>,
}

/// Keeps shards of claims in the store.
pub(crate) struct ClaimKeeper {
    store: Rc<dyn MetaStore>,
    shards: RefCell<HashMap<u64, Sender<Waiting>>>,
}

impl ClaimKeeper {
    pub(crate) fn new(store: Rc<dyn MetaStore>) -> Self {
        Self {
            store,
            shards: RefCell::default(),
        }
    }

    /// Takes a step; comes back when it is in the store, or not.
    pub(crate) async fn step(&self, step: ClaimStep) -> ClaimVerdict {
        let (reply, rx) = oneshot::channel();
        let queue = self.queue(step.key.shard());
        match queue.try_send(Waiting { step, reply }) {
            Ok(()) => rx.await.unwrap_or(ClaimVerdict::NotRecorded),
            Err(_) => ClaimVerdict::NotRecorded,
        }
    }

    fn queue(&self, shard: u64) -> Sender<Waiting> {
        let mut shards = self.shards.borrow_mut();
        let queue = shards.entry(shard).or_insert_with(|| {
            let (tx, rx) = mpsc::channel(QUEUE);
            tokio::task::spawn_local(keep(shard, Rc::clone(&self.store), rx));
            tx
        });
        queue.clone()
    }
}

/// A shard with the store's revision of its last chunk.
struct Kept {
    shard: ClaimShard,
    revision: Option<StoreRevision>,
}

async fn keep(number: u64, store: Rc<dyn MetaStore>, mut rx: Receiver<Waiting>) {
    let mut kept = None;
    let mut waiting = Vec::new();
    let mut next = Instant::now();
    while rx.recv_many(&mut waiting, BATCH).await > 0 {
        tokio::time::sleep_until(next).await;
        while waiting.len() < BATCH
            && let Ok(more) = rx.try_recv()
        {
            waiting.push(more);
        }
        let steps: Vec<_> = waiting.iter().map(|w| w.step).collect();
        let verdicts = record(number, &*store, &mut kept, &steps).await;
        next = Instant::now() + WRITE_EVERY;
        let verdicts = verdicts.unwrap_or_else(|_| {
            kept = None;
            vec![ClaimVerdict::NotRecorded; steps.len()]
        });
        for (w, verdict) in waiting.drain(..).zip(verdicts) {
            // The asker may have given up; its step stands all the same.
            let _ = w.reply.send(verdict);
        }
    }
}

/// Decides and writes, again with what another keeper wrote meanwhile.
async fn record(
    number: u64,
    store: &dyn MetaStore,
    kept: &mut Option<Kept>,
    steps: &[ClaimStep],
) -> Result<Vec<ClaimVerdict>, StoreError> {
    for _ in 0..TRIES {
        let current = match kept.take() {
            Some(k) => k,
            None => load(number, store).await?,
        };
        let batch = current.shard.decide(steps, wall_s());
        // A verdict drawn from memory may be older than another keeper's write, so even a batch
        // without a record confirms the chunk by writing it.
        if let Some(verdicts) = write(number, store, kept, current, batch).await? {
            return Ok(verdicts);
        }
    }
    Err(StoreError::Garbled("claims: too many keepers".to_owned()))
}

async fn write(
    number: u64,
    store: &dyn MetaStore,
    kept: &mut Option<Kept>,
    current: Kept,
    batch: Batch,
) -> Result<Option<Vec<ClaimVerdict>>, StoreError> {
    let value = serde_json::to_vec(&batch.chunk).map_err(|e| StoreError::Garbled(e.to_string()))?;
    let key = ClaimShard::store_key(number, batch.number);
    let expected = current
        .revision
        .filter(|_| current.shard.number() == batch.number);
    let swap = match store.swap(&key, expected, value.clone()).await {
        Ok(swap) => swap,
        Err(_) => settle(store, &key, &value).await?,
    };
    match swap {
        Swap::Conflict => Ok(None),
        Swap::Done(revision) => {
            let verdicts = batch.verdicts.clone();
            let mut shard = current.shard;
            shard.commit(batch);
            *kept = Some(Kept {
                shard,
                revision: Some(revision),
            });
            Ok(Some(verdicts))
        }
    }
}

/// Finds out by reading whether a write whose answer was lost took effect.
///
/// A write that did not may still be on its way, so "not written" is never concluded here: the
/// batch is decided anew and competes with it for the same place.
async fn settle(store: &dyn MetaStore, key: &str, value: &[u8]) -> Result<Swap, StoreError> {
    match store.get(key).await? {
        Some(entry) if entry.value == value => Ok(Swap::Done(entry.revision)),
        _ => Ok(Swap::Conflict),
    }
}

async fn load(number: u64, store: &dyn MetaStore) -> Result<Kept, StoreError> {
    let prefix = ClaimShard::store_prefix(number);
    let entries = store.range(&prefix).await?;
    let mut kept = Kept {
        shard: ClaimShard::default(),
        revision: None,
    };
    let newest = entries.last().map_or_else(String::new, |e| e.key.clone());
    for entry in entries {
        let fault = |e: String| StoreError::Garbled(format!("{}: {e}", entry.key));
        let place = entry.key[prefix.len()..].parse();
        let place = place.map_err(|e: std::num::ParseIntError| fault(e.to_string()))?;
        let chunk = serde_json::from_slice(&entry.value).map_err(|e| fault(e.to_string()))?;
        if entry.key != newest && ClaimShard::is_expired(&chunk, wall_s()) {
            store.remove(&entry.key).await?;
            continue;
        }
        kept.shard.load(place, chunk);
        kept.revision = Some(entry.revision);
    }
    Ok(kept)
}

fn wall_s() -> u64 {
    let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    wall.map_or(0, |d| d.as_secs())
}
