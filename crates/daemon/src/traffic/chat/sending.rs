//! Sends a request to the head of a granted replica.

use super::admission::ReplicaSearch;
use crate::pushback::{SendPermit, SendPurpose};
use crate::traffic::engine_stream::EngineStream;
use crate::traffic::slots::HeldSlot;
use dockwood_api::engine::GenerateRequest;

/// Maximum length of an answer if the request sets none, in tokens.
const DEFAULT_MAX_TOKENS: u32 = 512;

/// The request was not written to the replica: its grant had expired, or its head is on hold.
pub(super) struct Withheld;

impl ReplicaSearch {
    /// Acquires the permit to write the request to the granted replica now.
    pub(super) async fn acquire_permit(&self, slot: &HeldSlot) -> Result<SendPermit, Withheld> {
        let purpose = SendPurpose::Request { rank: slot.grant.priority.into() };
        let permit = SendPermit::acquire(&self.traffic.shared, self.send_target(slot), purpose).await;
        // Checked last: what preceded may have taken longer than the grant's evidence is valid.
        let may_write = slot.is_grant_valid() && self.gate.may_write();
        if !may_write || !self.traffic.shared.may_dispatch(&self.pool()) {
            return Err(Withheld);
        }
        permit.map_err(|_| Withheld)
    }

    /// Sends the request to the granted replica. The first token that it generates is `resume_from`.
    pub(super) fn send(&self, slot: &HeldSlot, resume_from: u32, permit: SendPermit) -> EngineStream {
        let request = self.generate_request(slot, resume_from);
        EngineStream::new(&self.traffic.http, slot.grant.head, &request, permit)
    }

    /// Returns the stream of a request that the replica already runs. Reading its output is no new request, so that it is
    /// allowed also during a back-off.
    pub(super) fn reattach(&self, slot: &HeldSlot, resume_from: u32) -> EngineStream {
        let permit = SendPermit::of_running(&self.traffic.shared, self.send_target(slot));
        self.send(slot, resume_from, permit)
    }

    fn generate_request(&self, slot: &HeldSlot, resume_from: u32) -> GenerateRequest {
        let pool = self.pool();
        let route = self.job.routes.iter().find(|route| route.pool == pool);
        GenerateRequest {
            id: self.job.engine_id(),
            replica: slot.grant.replica.clone(),
            epoch: slot.grant.epoch,
            prompt: self.job.prompt.clone(),
            adapter: route.and_then(|route| route.adapter.clone()),
            max_tokens: self.job.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            priority: slot.grant.priority,
            resume_from,
            repeatable: self.job.repeatable,
        }
    }
}
