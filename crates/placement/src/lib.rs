//! Placement: which machines form which replica, what is repaired how, and which daemon has which duty.
//!
//! Each checker looks at the same immutable [`Fleet`] and returns [`Operator`]s, each a command with its reason.
//! Checkers are pure, call nothing, and rely on the replicated state to refuse what has become untrue by the
//! time a command is applied.

mod duties;
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

/// All that should be done now, at most one operator for each replica and pool.
pub fn plan(fleet: &Fleet<'_>) -> Vec<Operator> {
    let mut taken = Vec::new();
    let mut operators = repair::check(fleet, &mut taken);
    let repaired: Vec<String> = operators.iter().map(|operator| operator.subject.name.clone()).collect();
    operators.extend(replicas::check(fleet, &repaired, &mut taken));
    operators.extend(duties::check(fleet));
    operators
}

/// Deployments that have fewer replicas than declared, and why.
pub fn shortfalls(fleet: &Fleet<'_>) -> Vec<Shortfall> {
    replicas::shortfalls(fleet)
}
