//! Claims: at-most-once dispatch of requests that must not be executed twice.
//!
//! A claim is committed before the first byte is sent to a backend. A later claim on the same request is answered with
//! the holder.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// How long a claim is retained, in milliseconds. At the peak of 930 requests a second, a third of them not
/// repeatable, 5 minutes amount to about 93,000 rows.
pub const CLAIM_RETENTION_MS: u64 = 5 * 60 * 1000;

/// Identifies a claim: tenant and request id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Tenant resource name.
    pub tenant: String,
    /// Request id within the tenant.
    pub request: String,
}

/// A request for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The claimed request.
    pub key: ClaimKey,
    /// The daemon that will dispatch it.
    pub entry: String,
    /// Attempt number chosen by that daemon; a repetition of the same call carries the same number.
    pub attempt: u64,
    /// Digest of the request's content.
    pub content_digest: u64,
    /// When the request id was created, in milliseconds since the Unix epoch, if the id carries its time; otherwise 0.
    pub created_ms: u64,
}

/// A claim that is held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The daemon that dispatches it.
    pub entry: String,
    /// That daemon's attempt number.
    pub attempt: u64,
    /// Digest of the request's content.
    pub content_digest: u64,
    /// When the claim was committed, in milliseconds since the Unix epoch.
    pub claimed_ms: u64,
    /// Result code of the request, once known.
    pub settled: Option<u16>,
}

/// The reply to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The caller holds the claim, and it alone may dispatch the request.
    Held,
    /// The request was already claimed; this is the existing claim.
    Taken(ClaimRow),
    /// The request id was already used with different content.
    ContentDiffers,
    /// The request id is older than the claim retention, so it is unknown whether the request was executed.
    TooOld,
}

/// The result of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimSettlement {
    /// The claimed request.
    pub key: ClaimKey,
    /// The attempt that reports the result; ignored if it does not hold the claim.
    pub attempt: u64,
    /// Result code of the request; `None` withdraws the claim of a request that was certainly not executed.
    pub code: Option<u16>,
}

/// Claims by key, expired in order of age.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClaimTable {
    rows: BTreeMap<ClaimKey, ClaimRow>,
    by_age: VecDeque<(u64, ClaimKey)>,
}

impl ClaimTable {
    /// Number of claims.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The claim on `key`.
    pub fn get(&self, key: &ClaimKey) -> Option<&ClaimRow> {
        self.rows.get(key)
    }

    pub(crate) fn claim(&mut self, request: &ClaimRequest, now_ms: u64) -> ClaimVerdict {
        self.expire_older_than(now_ms.saturating_sub(CLAIM_RETENTION_MS));
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

    fn expire_older_than(&mut self, limit_ms: u64) {
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
