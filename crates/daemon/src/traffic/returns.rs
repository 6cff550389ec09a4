//! Slots that were returned, until their coordinators have acknowledged it. Requests for slots may overtake the calls that
//! return slots, so they carry what has not been acknowledged: otherwise a tenant at its limit would be refused.

use dockwood_api::peer::SlotReturn;
use dockwood_routing::Millis;

/// Time after which a return without an acknowledgement is forgotten, in milliseconds: by then the coordinator has freed the
/// slot, as its entry no longer reports it.
pub const RETURN_RETENTION_MS: Millis = 6_000;

#[derive(Clone, Debug)]
struct PendingReturn {
    slot_return: SlotReturn,
    tenant: String,
    granted_by: String,
    returned_at: Millis,
}

/// The returned slots of one pool that are not acknowledged.
#[derive(Clone, Debug, Default)]
pub struct UnacknowledgedReturns {
    pending: Vec<PendingReturn>,
}

impl UnacknowledgedReturns {
    /// Adds a returned slot of a tenant.
    pub fn add(&mut self, now: Millis, granted_by: &str, tenant: &str, slot_return: SlotReturn) {
        self.expire(now);
        self.pending.push(PendingReturn {
            slot_return,
            tenant: tenant.to_string(),
            granted_by: granted_by.to_string(),
            returned_at: now,
        });
    }

    /// The slots that a coordinator has granted to a tenant. Another coordinator does not count them for the tenant.
    pub fn of_tenant(&self, now: Millis, granted_by: &str, tenant: &str) -> Vec<SlotReturn> {
        let pending = self.pending.iter().filter(|one| is_retained(one, now));
        let own = pending.filter(|one| one.granted_by == granted_by && one.tenant == tenant);
        own.map(|one| one.slot_return.clone()).collect()
    }

    /// Removes slots whose return a coordinator has acknowledged.
    pub fn acknowledge(&mut self, granted_by: &str, slots: &[SlotReturn]) {
        let is_acknowledged = |one: &PendingReturn| {
            one.granted_by == granted_by && slots.iter().any(|slot| slot.slot == one.slot_return.slot)
        };
        self.pending.retain(|one| !is_acknowledged(one));
    }

    /// Removes the return of a number that the coordinator has granted again.
    pub fn forget(&mut self, granted_by: &str, slot: u64) {
        self.pending.retain(|one| one.granted_by != granted_by || one.slot_return.slot != slot);
    }

    /// Removes slots that were returned too long ago.
    pub fn expire(&mut self, now: Millis) {
        self.pending.retain(|one| is_retained(one, now));
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

fn is_retained(pending: &PendingReturn, now: Millis) -> bool {
    now < pending.returned_at + RETURN_RETENTION_MS
}
