//! Requests under which servers end: evidence, attribution, quarantine.
//!
//! A server runs many requests at once, and its end throws suspicion on each of them. Here the evidence of all daemons
//! is summed, by the log, so that every daemon knows the same within the time that any change takes, and no restart or
//! election forgets it. docs/design/requests-that-end-servers.md tells what was weighed.
//!
//! Invariants: a request is tried at one server at a time; a request that was answered whole is under no suspicion; what
//! is kept is bounded whatever callers send.

mod rows;
mod table;

pub use rows::{CrashRow, Evidence, QuarantineRow, ServerEnd, Standing, Suspect, SuspectTry, TrialRequest};
pub use table::SuspicionTable;
