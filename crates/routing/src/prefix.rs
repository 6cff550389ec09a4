//! Which replicas probably hold a prompt's prefix in their KV cache.
//!
//! The index is an estimate: it assumes that a replica caches what it was sent. It is bounded, forgets the
//! oldest first, and forgets a replica whole when its epoch changes.

use dockwood_api::digest::content_digest;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Bytes of prompt text in one block.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Longest prefix that is looked at, in blocks.
const MAX_BLOCKS: usize = 32;

/// Digests of a prompt's blocks; each covers everything before it, so equal digests mean equal prefixes.
pub fn prefix_blocks(prompt: &str) -> Vec<u64> {
    let bytes = prompt.as_bytes();
    let whole_blocks = (bytes.len() / PREFIX_BLOCK_BYTES).min(MAX_BLOCKS);
    (1..=whole_blocks).map(|count| content_digest(&bytes[..count * PREFIX_BLOCK_BYTES])).collect()
}

/// A bounded index from block digest to the replicas that were sent it.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    capacity: usize,
    holders: HashMap<u64, Vec<String>>,
    order: VecDeque<u64>,
}

impl PrefixIndex {
    /// An index of at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        PrefixIndex { capacity: capacity.max(1), holders: HashMap::new(), order: VecDeque::new() }
    }

    /// Notes that a replica was sent a prompt with these blocks.
    pub fn insert(&mut self, blocks: &[u64], replica: &str) {
        for block in blocks {
            if !self.holders.contains_key(block) {
                self.make_room();
                self.order.push_back(*block);
            }
            let holders = self.holders.entry(*block).or_default();
            if !holders.iter().any(|holder| holder == replica) {
                holders.push(replica.to_string());
            }
        }
    }

    fn make_room(&mut self) {
        while self.order.len() >= self.capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.holders.remove(&oldest);
        }
    }

    /// Blocks of the prefix that each replica probably holds, without gaps from the start.
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

    /// Forgets all that a replica held.
    pub fn forget(&mut self, replica: &str) {
        for holders in self.holders.values_mut() {
            holders.retain(|holder| holder != replica);
        }
    }

    /// Blocks in the index.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
