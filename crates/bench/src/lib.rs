//! The bench: fleets on loopback, load from traces, failures on demand, and judgement by the emulator's ledger
//! and the callers' own records, never by dockwood's own counters.
//!
//! It is a test tool, so it may start the daemon and the emulator as child processes. What it measures is what
//! callers and operators see; it knows nothing of the daemon's inside.

pub mod caller;
pub mod caller_record;
pub mod commands;
pub mod experiment;
pub mod fault;
pub mod fleet;
pub mod html;
pub mod judge;
pub mod load;
pub mod log_report;
pub mod operator;
pub mod plot;
pub mod process;
pub mod report;
pub mod summary;
pub mod topology;
pub mod trace;
pub mod workload;
