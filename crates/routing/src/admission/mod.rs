//! Admission control: the order in which waiting requests get slots, and tenant limits.

mod limits;
mod queue;

pub use limits::{LimitDecision, TenantLimiter};
pub use queue::{AGEING_MS, AdmissionQueue, QUANTUM_TOKENS, QueuedRequest};
