//! The prefix cache of one group. Its events are published with a delay, and some are lost.

use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use xxhash_rust::xxh64::xxh64;

/// Bytes of prompt text in one cached block.
const BLOCK_BYTES: usize = 256;
/// Tokens in one cached block.
const BLOCK_TOKENS: u32 = 64;
/// Maximum number of retained events.
const MAX_RETAINED_EVENTS: usize = 4_096;

/// A change of the cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct CacheEvent {
    /// Sequence number, increased by one with each event; a gap shows that an event was lost.
    pub sequence: u64,
    /// Time of the change in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Digest of the prompt up to the end of the block.
    pub block: u64,
    /// True if the block was stored, false if it was evicted.
    pub stored: bool,
}

/// A cache of blocks with least-recently-used eviction.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    last_used: HashMap<u64, u64>,
    use_count: u64,
    events: VecDeque<CacheEvent>,
    next_event: u64,
}

impl PrefixCache {
    /// Creates a cache for `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        PrefixCache {
            capacity: capacity.max(1),
            last_used: HashMap::new(),
            use_count: 0,
            events: VecDeque::new(),
            next_event: 1,
        }
    }

    fn blocks(prompt: &str) -> Vec<u64> {
        let bytes = prompt.as_bytes();
        (1..=bytes.len() / BLOCK_BYTES).map(|count| xxh64(&bytes[..count * BLOCK_BYTES], 0)).collect()
    }

    /// Looks up a prompt and stores it. Returns how many of its tokens were cached.
    pub fn use_prompt(&mut self, prompt: &str, now_ms: u64) -> u32 {
        let blocks = Self::blocks(prompt);
        let cached = blocks.iter().take_while(|block| self.last_used.contains_key(block)).count();
        for block in blocks {
            self.store(block, now_ms);
        }
        cached as u32 * BLOCK_TOKENS
    }

    fn store(&mut self, block: u64, now_ms: u64) {
        self.use_count += 1;
        if self.last_used.insert(block, self.use_count).is_some() {
            return;
        }
        self.record_event(block, true, now_ms);
        if self.last_used.len() > self.capacity
            && let Some(oldest) =
                self.last_used.iter().min_by_key(|(_, used)| **used).map(|(block, _)| *block)
        {
            self.last_used.remove(&oldest);
            self.record_event(oldest, false, now_ms);
        }
    }

    fn record_event(&mut self, block: u64, stored: bool, at_ms: u64) {
        self.events.push_back(CacheEvent { sequence: self.next_event, at_ms, block, stored });
        self.next_event += 1;
        if self.events.len() > MAX_RETAINED_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events after sequence number `after` that happened by `until_ms`, without every `gap`-th
    /// one.
    pub fn events(&self, after: u64, until_ms: u64, gap: u64) -> Vec<CacheEvent> {
        let is_lost = |event: &CacheEvent| gap > 0 && event.sequence.is_multiple_of(gap);
        let visible = self.events.iter().filter(|event| event.sequence > after && event.at_ms <= until_ms);
        visible.filter(|event| !is_lost(event)).cloned().collect()
    }

    /// Returns the digests of a prompt's cached blocks.
    pub fn export(&self, prompt: &str) -> Vec<u64> {
        Self::blocks(prompt).into_iter().take_while(|block| self.last_used.contains_key(block)).collect()
    }

    /// Stores blocks that another cache exported.
    pub fn import(&mut self, blocks: &[u64], now_ms: u64) {
        blocks.iter().for_each(|block| self.store(*block, now_ms));
    }
}
