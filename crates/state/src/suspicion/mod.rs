//! Requests that crash servers: evidence, attribution and quarantine.
//!
//! A server runs many requests at once, and its crash makes each of them a suspect. The reports of all daemons are
//! aggregated here through the replicated log, so that every daemon has the same view as soon as a change propagates,
//! and restarts and elections lose nothing. The design and its alternatives are discussed in
//! docs/design/requests-that-end-servers.md.
//!
//! Invariants: a suspect is tried on one server at a time; a request that received a complete response is not suspected;
//! the size of the table is bounded whatever callers send.

mod period;
mod rows;
mod table;

pub(crate) use period::QuarantineDurations;
pub use period::QuarantinePeriod;
pub use rows::{
    CrashReport, CrashRow, Evidence, QuarantineRow, Suspect, SuspectAttempt, SuspicionStatus, TrialRequest,
};
pub(crate) use table::DUPLICATE_REPORT_WINDOW_MS;
pub use table::SuspicionTable;
