//! The prefix cache of one group, and the events it publishes: late, and with gaps.

use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use xxhash_rust::xxh64::xxh64;

/// Bytes of prompt text in one cached block.
const BLOCK_BYTES: usize = 256;
/// Tokens in one cached block.
const BLOCK_TOKENS: u32 = 64;
/// Published events that are kept.
const KEPT_EVENTS: usize = 4_096;

/// One change of the cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct CacheEvent {
    /// Grows by one with each event; a gap shows that one was lost.
    pub sequence: u64,
    /// When it happened, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Digest of the prompt up to the block's end.
    pub block: u64,
    /// Stored, or evicted.
    pub stored: bool,
}

/// Blocks in least-recently-used order.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    used_at: HashMap<u64, u64>,
    uses: u64,
    events: VecDeque<CacheEvent>,
    next_event: u64,
}

impl PrefixCache {
    /// A cache of so many blocks.
    pub fn new(capacity: usize) -> Self {
        PrefixCache {
            capacity: capacity.max(1),
            used_at: HashMap::new(),
            uses: 0,
            events: VecDeque::new(),
            next_event: 1,
        }
    }

    fn blocks(prompt: &str) -> Vec<u64> {
        let bytes = prompt.as_bytes();
        (1..=bytes.len() / BLOCK_BYTES).map(|count| xxh64(&bytes[..count * BLOCK_BYTES], 0)).collect()
    }

    /// Looks a prompt up and stores it; returns how many of its tokens were cached.
    pub fn use_prompt(&mut self, prompt: &str, now_ms: u64) -> u32 {
        let blocks = Self::blocks(prompt);
        let cached = blocks.iter().take_while(|block| self.used_at.contains_key(block)).count();
        for block in blocks {
            self.store(block, now_ms);
        }
        cached as u32 * BLOCK_TOKENS
    }

    fn store(&mut self, block: u64, now_ms: u64) {
        self.uses += 1;
        if self.used_at.insert(block, self.uses).is_some() {
            return;
        }
        self.publish(block, true, now_ms);
        if self.used_at.len() > self.capacity
            && let Some(oldest) = self.used_at.iter().min_by_key(|(_, used)| **used).map(|(block, _)| *block)
        {
            self.used_at.remove(&oldest);
            self.publish(oldest, false, now_ms);
        }
    }

    fn publish(&mut self, block: u64, stored: bool, at_ms: u64) {
        self.events.push_back(CacheEvent { sequence: self.next_event, at_ms, block, stored });
        self.next_event += 1;
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Events after `after` that happened before `until_ms`, without every `gap`-th.
    pub fn events(&self, after: u64, until_ms: u64, gap: u64) -> Vec<CacheEvent> {
        let lost = |event: &CacheEvent| gap > 0 && event.sequence.is_multiple_of(gap);
        let visible = self.events.iter().filter(|event| event.sequence > after && event.at_ms <= until_ms);
        visible.filter(|event| !lost(event)).cloned().collect()
    }

    /// Digests of a prompt's blocks that are cached, for export.
    pub fn export(&self, prompt: &str) -> Vec<u64> {
        Self::blocks(prompt).into_iter().take_while(|block| self.used_at.contains_key(block)).collect()
    }

    /// Takes blocks exported elsewhere.
    pub fn import(&mut self, blocks: &[u64], now_ms: u64) {
        blocks.iter().for_each(|block| self.store(*block, now_ms));
    }
}
