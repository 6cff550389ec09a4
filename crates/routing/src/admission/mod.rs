//! Admission: in which order waiting requests get slots, and which tenants are over their limits.

mod limits;
mod queue;

pub use limits::{LimitVerdict, TenantLimiter};
pub use queue::{AGEING_MS, AdmissionQueue, QUANTUM_TOKENS, Waiting};
