//! Test bench: runs fleets on loopback, replays traces as load, injects faults, and checks the results against the
//! emulator's ledger and the callers' own records, never against dockwood's own counters.
//!
//! As a test tool, it may start the daemon and the emulator as child processes. It measures what callers and
//! operators see and does not depend on the internals of the daemon.

pub mod caller;
pub mod caller_record;
pub mod checker;
pub mod commands;
pub mod experiment;
pub mod fault;
pub mod fleet;
pub mod html;
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
