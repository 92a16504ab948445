//! A fake engine in virtual time: a prefix cache and a count of what runs.

use lru::LruCache;

use crate::trace::Request;

/// What the cache holds: a chat's tokens, or an account's shared prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Prefix {
    Chat(u64),
    Shared(u64),
}

pub struct Engine {
    pub serving: bool,
    /// Tokens in progress.
    pub tokens: u64,
    pub running: u32,
    cache: LruCache<Prefix, u64>,
    held: u64,
    capacity: u64,
}

impl Engine {
    pub fn new(capacity: u64) -> Self {
        Self {
            serving: true,
            tokens: 0,
            running: 0,
            cache: LruCache::unbounded(),
            held: 0,
            capacity,
        }
    }

    /// Prompt tokens that need no computing.
    pub fn cached(&self, r: &Request) -> u64 {
        let chat = self
            .cache
            .peek(&Prefix::Chat(r.conversation))
            .copied()
            .unwrap_or(0);
        let shared = self
            .cache
            .peek(&Prefix::Shared(r.account))
            .copied()
            .unwrap_or(0);
        chat.min(r.reusable).max(shared.min(r.shared))
    }

    /// Begins a request that counts with `cost` tokens until its end.
    pub fn start(&mut self, r: &Request, cost: u64) {
        self.tokens += cost;
        self.running += 1;
        self.put(Prefix::Shared(r.account), r.shared);
        self.put(Prefix::Chat(r.conversation), r.prompt + r.answer);
    }

    pub fn finish(&mut self, cost: u64) {
        self.tokens -= cost;
        self.running -= 1;
    }

    pub fn lose_cache(&mut self) {
        self.cache.clear();
        self.held = 0;
    }

    fn put(&mut self, prefix: Prefix, tokens: u64) {
        self.held += tokens;
        self.held -= self.cache.put(prefix, tokens).unwrap_or(0);
        while self.held > self.capacity {
            let Some((_, tokens)) = self.cache.pop_lru() else {
                return;
            };
            self.held -= tokens;
        }
    }
}
