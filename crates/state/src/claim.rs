//! Claims: at most one dispatch of a request that must not be run twice.
//!
//! A claim is committed before the first byte goes to a back end. Whoever asks again learns who holds it.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// How long a claim is kept, in milliseconds. At the peak of 930 requests a second with a third of them not
/// repeatable, 5 minutes are about 93,000 rows.
pub const CLAIM_RETENTION_MS: u64 = 5 * 60 * 1000;

/// Tenant and request id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Tenant resource name.
    pub tenant: String,
    /// Request id within the tenant.
    pub request: String,
}

/// Asks for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// What is claimed.
    pub key: ClaimKey,
    /// The daemon that will dispatch it.
    pub entry: String,
    /// That daemon's attempt; a repeat of the same call carries the same.
    pub attempt: u64,
    /// Digest of the request's content.
    pub content_digest: u64,
    /// When the request id was made, where the id carries its time; 0 otherwise.
    pub created_ms: u64,
}

/// A standing claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The daemon that dispatches it.
    pub entry: String,
    /// Its attempt.
    pub attempt: u64,
    /// Digest of the request's content.
    pub content_digest: u64,
    /// When it was committed.
    pub claimed_ms: u64,
    /// Set once the outcome is known.
    pub settled: Option<u16>,
}

/// Answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The caller of this claim, and nobody else, may dispatch.
    Held,
    /// Somebody claimed it before.
    Taken(ClaimRow),
    /// The id was used with other content.
    ContentDiffers,
    /// The id is older than claims are kept: whether it was run can't be told.
    TooOld,
}

/// What became of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimSettlement {
    /// Which one.
    pub key: ClaimKey,
    /// The attempt that speaks.
    pub attempt: u64,
    /// The result code it ended with; `None` withdraws a claim whose request certainly was not run.
    pub code: Option<u16>,
}

/// Claims by key, forgotten in order of age.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClaimTable {
    rows: BTreeMap<ClaimKey, ClaimRow>,
    by_age: VecDeque<(u64, ClaimKey)>,
}

impl ClaimTable {
    /// Number of claims held.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The claim on `key`.
    pub fn get(&self, key: &ClaimKey) -> Option<&ClaimRow> {
        self.rows.get(key)
    }

    pub(crate) fn claim(&mut self, request: &ClaimRequest, now_ms: u64) -> ClaimVerdict {
        self.forget_older_than(now_ms.saturating_sub(CLAIM_RETENTION_MS));
        if request.created_ms != 0 && request.created_ms + CLAIM_RETENTION_MS <= now_ms {
            return ClaimVerdict::TooOld;
        }
        if let Some(row) = self.rows.get(&request.key) {
            if row.content_digest != request.content_digest {
                return ClaimVerdict::ContentDiffers;
            }
            let is_repeat = row.entry == request.entry && row.attempt == request.attempt;
            return if is_repeat { ClaimVerdict::Held } else { ClaimVerdict::Taken(row.clone()) };
        }
        let row = ClaimRow {
            entry: request.entry.clone(),
            attempt: request.attempt,
            content_digest: request.content_digest,
            claimed_ms: now_ms,
            settled: None,
        };
        self.rows.insert(request.key.clone(), row);
        self.by_age.push_back((now_ms, request.key.clone()));
        ClaimVerdict::Held
    }

    pub(crate) fn settle(&mut self, settlement: &ClaimSettlement) {
        let Some(row) = self.rows.get_mut(&settlement.key).filter(|row| row.attempt == settlement.attempt)
        else {
            return;
        };
        match settlement.code {
            Some(code) => row.settled = Some(code),
            None => {
                self.rows.remove(&settlement.key);
            }
        }
    }

    fn forget_older_than(&mut self, limit_ms: u64) {
        while let Some((claimed_ms, _)) = self.by_age.front()
            && *claimed_ms < limit_ms
        {
            if let Some((claimed_ms, key)) = self.by_age.pop_front()
                && self.rows.get(&key).is_some_and(|row| row.claimed_ms == claimed_ms)
            {
                self.rows.remove(&key);
            }
        }
    }
}
