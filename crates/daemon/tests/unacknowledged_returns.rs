//! Which returned slots a request for a slot carries.

use dockwood_api::peer::SlotReturn;
use dockwood_daemon::traffic::returns::{RETURN_RETENTION_MS, UnacknowledgedReturns};

fn slot(slot: u64) -> SlotReturn {
    SlotReturn { pool: "pool".to_string(), slot, replica_broken: false }
}

#[test]
fn a_request_carries_what_its_coordinator_granted_to_its_tenant() {
    let mut returns = UnacknowledgedReturns::default();
    returns.add(0, "first", "tenant", slot(1));
    returns.add(0, "second", "tenant", slot(2));
    returns.add(0, "first", "other", slot(3));
    assert_eq!(returns.of_tenant(1, "first", "tenant"), [slot(1)]);
}

#[test]
fn a_slot_is_carried_until_the_coordinator_that_granted_it_acknowledges_it() {
    let mut returns = UnacknowledgedReturns::default();
    returns.add(0, "first", "tenant", slot(1));
    returns.acknowledge("second", &[slot(1)]);
    assert_eq!(returns.of_tenant(1, "first", "tenant"), [slot(1)]);
    returns.acknowledge("first", &[slot(1)]);
    assert!(returns.is_empty());
}

#[test]
fn a_slot_that_its_coordinator_has_freed_meanwhile_is_forgotten() {
    let mut returns = UnacknowledgedReturns::default();
    returns.add(0, "first", "tenant", slot(1));
    assert_eq!(returns.of_tenant(RETURN_RETENTION_MS - 1, "first", "tenant"), [slot(1)]);
    assert_eq!(returns.of_tenant(RETURN_RETENTION_MS, "first", "tenant"), []);
    returns.expire(RETURN_RETENTION_MS);
    assert!(returns.is_empty());
}
