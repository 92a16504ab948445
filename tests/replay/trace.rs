//! Lines of a recorded trace, and the simulated engines of a replay.

use lru::LruCache;
use scaleford::prompt_cache::{PartId, PromptPart};
use serde::Deserialize;

/// One line of a trace: the fleet, a request, or an engine that leaves or joins. docs/TRACE.md describes the
/// fields.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Line {
    Fleet {
        engines: usize,
        cache_tokens: u64,
        token_us: u64,
        prefill_us: u64,
    },
    Request(Request),
    Leave {
        t_ms: u64,
        engine: usize,
    },
    Join {
        t_ms: u64,
        engine: usize,
    },
}

#[derive(Deserialize, Clone, Copy)]
pub struct Request {
    pub t_ms: u64,
    pub account: u64,
    pub conversation: u64,
    pub prompt: u64,
    pub reusable: u64,
    pub shared: u64,
    pub answer: u64,
}

/// A simulated engine: its prompt cache by parts, and the number of calls that it runs.
pub struct Engine {
    cache: LruCache<PartId, u64>,
    /// Number of tokens in the cache.
    cached_tokens: u64,
    /// Maximum number of tokens in the cache.
    pub capacity: u64,
    pub running: u32,
}

impl Engine {
    pub fn new(capacity: u64) -> Self {
        Self {
            cache: LruCache::unbounded(),
            cached_tokens: 0,
            capacity,
            running: 0,
        }
    }

    /// Clears the cache.
    pub fn clear(&mut self) {
        self.cache.clear();
        self.cached_tokens = 0;
    }

    /// Adds a prompt to the cache and returns the number of tokens of its leading parts that were cached.
    pub fn read(&mut self, prompt: &[PromptPart]) -> u64 {
        let known = prompt
            .iter()
            .take_while(|p| self.cache.peek(&p.id).is_some());
        let cached = known.map(|p| p.tokens.0).sum();
        for part in prompt {
            let tokens = part.tokens.0;
            if self.cache.put(part.id, tokens).is_none() {
                self.cached_tokens += tokens;
            }
        }
        while self.cached_tokens > self.capacity {
            let (_, tokens) = self.cache.pop_lru().expect("what is held is cached");
            self.cached_tokens -= tokens;
        }
        cached
    }
}
