//! Placement: which machines form which replica, how replicas are repaired, and which daemon is assigned to
//! which pool and replica.
//!
//! Each checker reads the same immutable [`Fleet`] and returns [`Operator`]s, each of which is a command with
//! its reason. Checkers are pure and perform no I/O. A command may be outdated by the time it is applied; the
//! replicated state machine refuses it then.

mod assignments;
mod fleet;
mod machines;
mod operator;
mod repair;
mod replicas;

pub use fleet::{Fleet, MachineHealth, MachineObservations, PlacementPolicy};
pub use operator::Operator;
pub use replicas::Shortfall;

/// Monotonic time of this process, in milliseconds.
pub type Millis = u64;

/// Plans all changes that are due now, with at most one operator per replica and pool.
pub fn plan(fleet: &Fleet<'_>) -> Vec<Operator> {
    let mut reserved = Vec::new();
    let mut operators = repair::plan_repairs(fleet, &mut reserved);
    let repaired: Vec<String> = operators.iter().map(|operator| operator.subject.name.clone()).collect();
    operators.extend(replicas::plan_replicas(fleet, &repaired, &mut reserved));
    operators.extend(assignments::plan_assignments(fleet));
    operators
}

/// Deployments with fewer replicas than declared, and the reason.
pub fn shortfalls(fleet: &Fleet<'_>) -> Vec<Shortfall> {
    replicas::shortfalls(fleet)
}
