//! Estimates which replicas hold a prompt's prefix in their KV cache.
//!
//! The index assumes that a replica caches every prompt it was sent. It is bounded and evicts the oldest
//! block first. When a replica's epoch changes, all of its blocks are removed.

use dockwood_api::digest::content_digest;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Bytes of prompt text in one block.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Longest prefix that is matched, in blocks.
const MAX_BLOCKS: usize = 32;

/// Digests of a prompt's blocks. Each digest covers all bytes before it as well, so equal digests mean equal
/// prefixes.
pub fn prefix_blocks(prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    let whole_blocks = (bytes.len() / PREFIX_BLOCK_BYTES).min(MAX_BLOCKS);
    (1..=whole_blocks).map(|count| content_digest(&bytes[..count * PREFIX_BLOCK_BYTES])).collect()
}

/// A bounded index from block digest to the replicas that were sent that block.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    capacity: usize,
    holders: HashMap<u64, Vec<String>>,
    insertion_order: VecDeque<u64>,
}

impl PrefixIndex {
    /// Creates an index of at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        PrefixIndex { capacity: capacity.max(1), holders: HashMap::new(), insertion_order: VecDeque::new() }
    }

    /// Records that a replica was sent a prompt with these blocks.
    pub fn insert(&mut self, blocks: &[u64], replica: &str) {
        for block in blocks {
            if !self.holders.contains_key(block) {
                self.evict_oldest();
                self.insertion_order.push_back(*block);
            }
            let holders = self.holders.entry(*block).or_default();
            if !holders.iter().any(|holder| holder == replica) {
                holders.push(replica.to_string());
            }
        }
    }

    fn evict_oldest(&mut self) {
        while self.insertion_order.len() >= self.capacity
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.holders.remove(&oldest);
        }
    }

    /// Number of leading blocks of the prompt that each replica probably holds, counted without gaps.
    pub fn matches(&self, blocks: &[u64]) -> BTreeMap<&str, usize> {
        let mut matched: BTreeMap<&str, usize> = BTreeMap::new();
        for (depth, block) in blocks.iter().enumerate() {
            let Some(holders) = self.holders.get(block) else { break };
            for holder in holders {
                let length = matched.entry(holder).or_insert(0);
                if *length == depth {
                    *length += 1;
                }
            }
        }
        matched
    }

    /// Removes a replica from all blocks.
    pub fn remove_replica(&mut self, replica: &str) {
        for holders in self.holders.values_mut() {
            holders.retain(|holder| holder != replica);
        }
    }

    /// Number of blocks in the index.
    pub fn len(&self) -> usize {
        self.insertion_order.len()
    }

    /// Whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.insertion_order.is_empty()
    }
}
