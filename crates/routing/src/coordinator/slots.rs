//! The slots that a coordinator has granted: how they are returned, adopted and freed.

use super::{Coordinator, GRANT_DELIVERY_GRACE_MS, Output, PendingAcquire, Ticket};
use crate::Millis;
use dockwood_api::ResultCode;
use dockwood_api::peer::{AcquireRequest, Grant, SlotReturn};

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
    /// Number of the call within its search.
    pub(super) number: u32,
    /// The answer to the call.
    pub(super) grant: Grant,
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

    /// Continues a search of which an earlier call was not answered: one that waits keeps its place in the queue, and a slot that
    /// it was granted is granted again. Returns false if there is neither.
    pub(super) fn continue_search(&mut self, now: Millis, ticket: Ticket, request: &AcquireRequest) -> bool {
        let is_same = |entry: &str, search: u64| entry == request.entry && search == request.search;
        let waiting =
            self.queue.find_mut(|waiting| is_same(&waiting.item.request.entry, waiting.item.request.search));
        if let Some(waiting) = waiting {
            if waiting.item.request.call > request.call {
                self.refuse_overtaken(ticket);
                return true;
            }
            waiting.deadline = now + Millis::from(request.wait_ms);
            waiting.item = PendingAcquire { ticket, request: request.clone() };
            return true;
        }
        let granted = self.slots.iter().find_map(|(number, slot)| {
            let call = slot.call.as_ref().filter(|call| is_same(&slot.entry, call.search))?;
            Some((*number, call.clone()))
        });
        let Some((number, call)) = granted else { return false };
        if call.number > request.call {
            self.refuse_overtaken(ticket);
            return true;
        }
        let is_avoided = request.avoid.contains(&call.grant.replica);
        match self.gate.open_for(now, &call.grant.replica, call.grant.epoch) {
            Some(open_for) if !is_avoided => {
                self.grant_again(now, number, request.call);
                self.outputs.push(Output::Granted(ticket, Grant { valid_ms: open_for as u32, ..call.grant }));
                true
            }
            // The replica has failed since: the request has to be sent to another one.
            _ => {
                self.remove_slot(number);
                self.limiter.withdraw(&call.tenant, call.cost_tokens);
                false
            }
        }
    }

    fn grant_again(&mut self, now: Millis, number: u64, call_number: u32) {
        if let Some(slot) = self.slots.get_mut(&number) {
            slot.granted_at = now;
            if let Some(call) = &mut slot.call {
                call.number = call_number;
            }
        }
    }

    /// Refuses a call whose entry has made a later one.
    fn refuse_overtaken(&mut self, ticket: Ticket) {
        self.refuse(ticket, ResultCode::CallerLeft, 0, "a later call of the same search has arrived");
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
