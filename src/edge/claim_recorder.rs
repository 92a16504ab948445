//! Records claims in the store for the shards that this router owns; steps are written in batches.

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
    store::{MetaStore, StoreError, SwapResult},
    units::StoreRevision,
};

/// Minimum interval between two writes of a shard, so that eight shards stay below 80 writes per second.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of steps in one write.
const MAX_BATCH_STEPS: usize = 48;

/// Maximum number of steps that wait for a shard; further ones are not recorded.
const MAX_QUEUED_STEPS: usize = 512;

/// Maximum number of attempts to write a batch. After a conflict with another router's write, the batch
/// is decided again.
const MAX_WRITE_ATTEMPTS: u32 = 6;

struct PendingStep {
    step: ClaimStep,
    reply: oneshot::Sender<ClaimVerdict>,
}

/// Job of the task that writes a shard.
enum Job {
    /// Records a step.
    Record(PendingStep),
    /// Ensures that the store holds all steps that were recorded.
    Recover,
}

/// Records steps of claims in the store, with one task per shard.
pub(crate) struct ClaimRecorder {
    store: Rc<dyn MetaStore>,
    shards: RefCell<HashMap<u64, Sender<Job>>>,
}

impl ClaimRecorder {
    pub(crate) fn new(store: Rc<dyn MetaStore>) -> Self {
        Self {
            store,
            shards: RefCell::default(),
        }
    }

    /// Records a step; returns once it is in the store or has failed to be recorded.
    pub(crate) async fn step(&self, step: ClaimStep) -> ClaimVerdict {
        let (reply, rx) = oneshot::channel();
        let queue = self.queue(step.key.shard());
        match queue.try_send(Job::Record(PendingStep { step, reply })) {
            Ok(()) => rx.await.unwrap_or(ClaimVerdict::NotRecorded),
            Err(_) => ClaimVerdict::NotRecorded,
        }
    }

    /// Handles a reverted store: steps recorded in the shards of this router are written again.
    pub(crate) fn on_store_reverted(&self) {
        for queue in self.shards.borrow().values() {
            // A full queue holds steps to record, and recording them also recovers the shard.
            let _ = queue.try_send(Job::Recover);
        }
    }

    fn queue(&self, shard: u64) -> Sender<Job> {
        let mut shards = self.shards.borrow_mut();
        let queue = shards.entry(shard).or_insert_with(|| {
            let (tx, rx) = mpsc::channel(MAX_QUEUED_STEPS);
            tokio::task::spawn_local(run_shard(shard, Rc::clone(&self.store), rx));
            tx
        });
        queue.clone()
    }
}

impl Job {
    fn waiting(self) -> Option<PendingStep> {
        match self {
            Self::Record(waiting) => Some(waiting),
            Self::Recover => None,
        }
    }
}

/// A shard as loaded from the store, with the revision of its last chunk.
struct LoadedShard {
    shard: ClaimShard,
    revision: Option<StoreRevision>,
    /// Whether the last chunk in the store differs from this one, or may differ.
    is_stale: bool,
}

async fn run_shard(number: u64, store: Rc<dyn MetaStore>, mut rx: Receiver<Job>) {
    let mut loaded = None;
    let mut jobs = Vec::new();
    let mut next_write = Instant::now();
    while rx.recv_many(&mut jobs, MAX_BATCH_STEPS).await > 0 {
        tokio::time::sleep_until(next_write).await;
        while jobs.len() < MAX_BATCH_STEPS
            && let Ok(more) = rx.try_recv()
        {
            jobs.push(more);
        }
        let waiting: Vec<PendingStep> = jobs.drain(..).filter_map(Job::waiting).collect();
        let steps: Vec<_> = waiting.iter().map(|w| w.step).collect();
        let verdicts = record(number, &*store, &mut loaded, &steps).await;
        next_write = Instant::now() + MIN_WRITE_INTERVAL;
        let verdicts = verdicts.unwrap_or_else(|_| {
            loaded.iter_mut().for_each(|k| k.is_stale = true);
            vec![ClaimVerdict::NotRecorded; steps.len()]
        });
        for (w, verdict) in waiting.into_iter().zip(verdicts) {
            // The requester may have given up; its step remains recorded.
            let _ = w.reply.send(verdict);
        }
    }
}

/// Decides on steps and writes them; after a conflict, reloads the shard with what another router wrote
/// and decides again.
async fn record(
    number: u64,
    store: &dyn MetaStore,
    loaded: &mut Option<LoadedShard>,
    steps: &[ClaimStep],
) -> Result<Vec<ClaimVerdict>, StoreError> {
    for _ in 0..MAX_WRITE_ATTEMPTS {
        if loaded.as_ref().is_none_or(|k| k.is_stale) {
            let reloaded = load(number, store, loaded.as_ref()).await?;
            *loaded = Some(reloaded);
        }
        let Some(current) = loaded else { continue };
        let batch = current.shard.decide(steps, wall_s());
        // A verdict from memory may be older than another router's write, so even a batch without a
        // record confirms the chunk by writing it.
        if let Some(verdicts) = write(number, store, current, batch).await? {
            return Ok(verdicts);
        }
    }
    Err(StoreError::InvalidResponse(
        "claims: too many concurrent writers".to_owned(),
    ))
}

async fn write(
    number: u64,
    store: &dyn MetaStore,
    current: &mut LoadedShard,
    batch: Batch,
) -> Result<Option<Vec<ClaimVerdict>>, StoreError> {
    let value =
        serde_json::to_vec(&batch.chunk).map_err(|e| StoreError::InvalidResponse(e.to_string()))?;
    let key = ClaimShard::store_key(number, batch.number);
    let expected = current
        .revision
        .filter(|_| current.shard.number() == batch.number);
    let swap = match store.swap(&key, expected, value.clone()).await {
        Ok(swap) => swap,
        Err(StoreError::Reverted) => SwapResult::Conflict,
        Err(_) => resolve_lost_response(store, &key, &value).await?,
    };
    match swap {
        SwapResult::Conflict => {
            current.is_stale = true;
            Ok(None)
        }
        SwapResult::Done(revision) => {
            let verdicts = batch.verdicts.clone();
            current.shard.commit(batch);
            current.revision = Some(revision);
            Ok(Some(verdicts))
        }
    }
}

/// Reads the key to determine whether a write whose response was lost took effect.
///
/// A write that has not taken effect may still be in transit, so it is never reported as not written,
/// but as a conflict: the batch is decided again and competes with that write for the same key.
async fn resolve_lost_response(
    store: &dyn MetaStore,
    key: &str,
    value: &[u8],
) -> Result<SwapResult, StoreError> {
    match store.get(key).await? {
        Some(entry) if entry.value == value => Ok(SwapResult::Done(entry.revision)),
        _ => Ok(SwapResult::Conflict),
    }
}

/// Loads a shard, and recovers the records in `before` that the store has lost since then.
async fn load(
    number: u64,
    store: &dyn MetaStore,
    before: Option<&LoadedShard>,
) -> Result<LoadedShard, StoreError> {
    let prefix = ClaimShard::store_prefix(number);
    let entries = store.range(&prefix).await?;
    let mut loaded = LoadedShard {
        shard: ClaimShard::default(),
        revision: None,
        is_stale: false,
    };
    let newest = entries.last().map_or_else(String::new, |e| e.key.clone());
    for entry in entries {
        let invalid = |e: String| StoreError::InvalidResponse(format!("{}: {e}", entry.key));
        let chunk_number = entry.key[prefix.len()..].parse();
        let chunk_number =
            chunk_number.map_err(|e: std::num::ParseIntError| invalid(e.to_string()))?;
        let chunk = serde_json::from_slice(&entry.value).map_err(|e| invalid(e.to_string()))?;
        if entry.key != newest && ClaimShard::is_expired(&chunk, wall_s()) {
            store.remove(&entry.key).await?;
            continue;
        }
        loaded.shard.load(chunk_number, chunk);
        loaded.revision = Some(entry.revision);
    }
    // Within an era the last chunk is never removed, so a missing one was lost with an era.
    let era = |k: &LoadedShard| k.revision.map(|r| r.era);
    let is_lost = |b: &&LoadedShard| era(b) != era(&loaded) || b.shard.is_recovering();
    if let Some(before) = before.filter(is_lost) {
        loaded.shard.recover(&before.shard, wall_s());
    }
    Ok(loaded)
}

fn wall_s() -> u64 {
    let wall = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    wall.map_or(0, |d| d.as_secs())
}
