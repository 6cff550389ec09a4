//! Deterministic simulation of the control of a whole fleet: runs the daemons' logic on a seeded event queue,
//! with a simulated network, disks, clocks and machines.
//!
//! Only I/O is simulated: message delay and loss, network partitions, pauses, crashes at sync points and
//! clock drift. Consensus, state, leases, placement and the serving gate are the daemon's own crates. Equal
//! seeds produce equal runs. [`scenario::run`] injects faults at one step of the system's lifecycle and
//! checks the invariants after every event.

mod changes;
mod check;
mod daemon;
mod disk;
mod events;
mod fault;
mod fault_injection;
mod leases;
mod machine;
mod measures;
mod network;
mod node_driver;
mod operator;
mod orders;
mod probing;
pub mod scenario;
mod world;

pub use check::{Check, Violation};
pub use fault::{Defect, Fault};
pub use measures::Measures;
pub use scenario::{RunPlan, RunResult, Step, run};
