//! The slots that a coordinator has granted: how they are returned, adopted and freed.

use super::{Coordinator, GRANT_DELIVERY_GRACE_MS};
use crate::Millis;
use dockwood_api::peer::{AcquireRequest, SlotReturn};

/// Service times are averaged over about this many requests.
const SERVICE_TIME_SAMPLES: u64 = 32;

/// A granted slot.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    /// The entry that holds it.
    pub(super) entry: String,
    /// The call that it was granted to; `None` if a predecessor granted it.
    pub(super) call: Option<GrantedCall>,
    /// The replica to which a request may be sent.
    pub(super) replica: String,
    /// When it was granted or adopted.
    pub(super) granted_at: Millis,
}

/// What a granted call counts for in the limits of its tenant.
#[derive(Clone, Debug)]
pub(super) struct GrantedCall {
    pub(super) tenant: String,
    pub(super) cost_tokens: u32,
    /// The search of the entry that the call belongs to.
    pub(super) search: u64,
}

impl Coordinator {
    /// Releases the slots that the entry has returned before this request. The calls that return them may arrive later, or
    /// never.
    pub(super) fn release_returned(&mut self, now: Millis, request: &AcquireRequest) {
        for slot_return in &request.returned {
            // Numbers may be used again after a restart of the coordinator, also for slots of other entries.
            let is_own = |slot: &Slot| slot.entry == request.entry;
            if self.slots.get(&slot_return.slot).is_some_and(is_own) {
                self.release(now, slot_return);
            }
        }
    }

    /// Withdraws what an earlier call of the same search was granted, or still waits for: the entry never received an answer
    /// to it.
    pub(super) fn withdraw_unanswered(&mut self, request: &AcquireRequest) {
        let is_earlier = |entry: &str, search: u64| entry == request.entry && search == request.search;
        let waiting = self
            .queue
            .remove_where(|waiting| is_earlier(&waiting.item.request.entry, waiting.item.request.search));
        for waiting in waiting {
            self.limiter.withdraw(&waiting.tenant, waiting.cost_tokens);
        }
        let granted =
            |slot: &Slot| slot.call.as_ref().is_some_and(|call| is_earlier(&slot.entry, call.search));
        let unused: Vec<u64> =
            self.slots.iter().filter(|(_, slot)| granted(slot)).map(|(number, _)| *number).collect();
        for number in unused {
            if let Some(GrantedCall { tenant, cost_tokens, .. }) =
                self.remove_slot(number).and_then(|slot| slot.call)
            {
                self.limiter.withdraw(&tenant, cost_tokens);
            }
        }
    }

    /// Releases a slot whose request has ended.
    pub(super) fn release(&mut self, now: Millis, slot_return: &SlotReturn) {
        let Some(slot) = self.slots.get(&slot_return.slot) else { return };
        if slot_return.replica_broken {
            let replica = slot.replica.clone();
            self.gate.close(now, &replica);
        }
        let held_ms = now.saturating_sub(slot.granted_at);
        let sum = self.mean_service_ms * (SERVICE_TIME_SAMPLES - 1) + held_ms;
        self.mean_service_ms = sum / SERVICE_TIME_SAMPLES;
        self.free(slot_return.slot);
        self.report_idle();
    }

    /// Frees a slot, and ends its request in the limits of its tenant.
    pub(super) fn free(&mut self, number: u64) {
        if let Some(call) = self.remove_slot(number).and_then(|slot| slot.call) {
            self.limiter.release(&call.tenant);
        }
    }

    fn remove_slot(&mut self, number: u64) -> Option<Slot> {
        let slot = self.slots.remove(&number)?;
        if let Some(used) = self.used.get_mut(&slot.replica) {
            *used = used.saturating_sub(1);
        }
        Some(slot)
    }

    /// Adds a slot.
    pub(super) fn occupy(&mut self, number: u64, slot: Slot) {
        *self.used.entry(slot.replica.clone()).or_insert(0) += 1;
        self.slots.insert(number, slot);
    }

    /// Returns the number of slots in use at a replica.
    pub(super) fn used_slots(&self, replica: &str) -> u32 {
        self.used.get(replica).copied().unwrap_or(0)
    }

    /// Frees slots that the entry no longer reports, and adopts reported slots that are unknown here: those
    /// were granted by a predecessor.
    pub(super) fn reconcile_entry(&mut self, now: Millis, entry: &str, held: &[(u64, String)]) {
        self.entry_last_seen.insert(entry.to_string(), now);
        for (number, replica) in held {
            if !self.slots.contains_key(number) {
                let slot =
                    Slot { entry: entry.to_string(), call: None, replica: replica.clone(), granted_at: now };
                self.occupy(*number, slot);
            }
        }
        let is_held = |number: &u64| held.iter().any(|(held, _)| held == number);
        let orphaned: Vec<u64> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.entry == entry && now >= slot.granted_at + GRANT_DELIVERY_GRACE_MS)
            .map(|(number, _)| *number)
            .filter(|number| !is_held(number))
            .collect();
        orphaned.into_iter().for_each(|number| self.free(number));
        self.report_idle();
    }
}
