//! An operator that changes the configuration of a fleet, probes that show which version entries have in force, and the checks
//! of both, for tests with real processes.
//!
//! Each valid version adds a route and a key that all later versions keep or that only this version has, so that the status of
//! a request shows which versions are in force.

mod change;
mod checks;
mod observers;
mod operator;
mod probes;
mod storm;

pub use change::{Change, Invalidity};
pub use checks::{Bounds, ConfigurationRecords, Disruption, Process};
pub use observers::Observers;
pub use operator::{Defect, Operator, Read};
pub use storm::Storm;
