//! A deterministic simulator of a whole fleet's control: the daemons' own logic over a seeded event queue, with
//! a simulated network, disks, clocks and machines.
//!
//! What is simulated stands in for I/O alone: delays, losses, cuts, pauses, crashes at sync points, drifting
//! clocks. Consensus, state, leases, placement and the serving gate are the daemon's crates, unchanged. The same
//! seed gives the same run. [`scenario::run`] crosses a step of the system's life with faults and checks what
//! must always hold after every event.

mod changes;
mod check;
mod daemon;
mod disk;
mod events;
mod evidence;
mod fault;
mod injection;
mod leases;
mod machine;
mod measure;
mod network;
mod operator;
mod orders;
pub mod scenario;
mod stepping;
mod world;

pub use check::{Check, Violation};
pub use fault::{Defect, Fault};
pub use measure::Measures;
pub use scenario::{RunPlan, RunResult, Step, run};
