//! Selection of the source of a stream, and admission of the request to it.

use super::FULL_RETRY_MS;
use super::sender::RequestSender;
use crate::gateway::assignment::wait_for_place;
use crate::gateway::body::ResponseBody;
use crate::gateway::loads::PlaceQuery;
use crate::gateway::responses::error_response;
use crate::gateway::server_selection::{Excluded, select_server};
use crate::gateway::source::Source;
use crate::log_line::{NoOtherSource, PlacesSummary};
use crate::pushback::Unavailable;
use crate::suspects::Admission;
use dockwood_api::ResultCode;
use hyper::Response;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum time that a request waits for a place, as a percentage of the first-event target: after half of the target,
/// the first event can still be in time. Waiting for 150% of the target was measured to serve no more requests, because
/// waiting requests were served before new ones.
const PLACE_WAIT_PERCENT: u64 = 50;

/// Sources that were found to run other suspects.
#[derive(Debug, Default)]
pub(super) struct OccupiedSources {
    groups: Vec<u64>,
    servers: Vec<String>,
}

impl OccupiedSources {
    fn add(&mut self, source: &Source) {
        match source.epoch() {
            Some(epoch) => self.groups.push(epoch),
            None => self.servers.push(source.instance().to_string()),
        }
    }

    fn is_empty(&self) -> bool {
        self.groups.is_empty() && self.servers.is_empty()
    }
}

impl RequestSender {
    /// Returns a source that the request may be sent to; `None` if the selection has to be repeated.
    pub(super) async fn admitted_source(&mut self) -> Result<Option<Source>, Box<Response<ResponseBody>>> {
        let is_suspect = match self.gate.is_suspect().await {
            Ok(is_suspect) => is_suspect,
            Err(code) => return Err(Box::new(self.refused_by_gate(code))),
        };
        let source = match self.select_source(is_suspect).await {
            Ok(source) => source,
            Err(_) if !self.occupied.is_empty() => {
                let admission = self.gate.wait_for_free_server().await;
                return self.reset_selection(admission);
            }
            Err(unavailable) => return Err(Box::new(self.refuse_without_source(unavailable))),
        };
        match self.gate.admit(is_suspect, source.instance(), source.zone(), source.address()).await {
            Admission::Admitted => Ok(Some(source)),
            Admission::OtherServer => {
                self.occupied.add(&source);
                Ok(None)
            }
            other => self.reset_selection(other),
        }
    }

    /// Makes all sources eligible again, unless the request may not be sent to any.
    fn reset_selection(
        &mut self,
        admission: Admission,
    ) -> Result<Option<Source>, Box<Response<ResponseBody>>> {
        self.occupied = OccupiedSources::default();
        match admission {
            Admission::Refused(code) => Err(Box::new(self.refused_by_gate(code))),
            _ => Ok(None),
        }
    }

    /// Returns the response to a request that the gate has refused. A quarantined request gets no retry time.
    fn refused_by_gate(&mut self, code: ResultCode) -> Response<ResponseBody> {
        self.request_log.record_no_other_source(NoOtherSource::Suspect);
        if code != ResultCode::RequestQuarantined {
            return self.refusal(code, FULL_RETRY_MS);
        }
        self.request_log.end(code);
        error_response(code, code.meaning(), None)
    }

    fn refuse_without_source(&mut self, unavailable: Unavailable) -> Response<ResponseBody> {
        let model = self.received.model.as_deref().unwrap_or_default();
        if self.received.service.engine.is_some() {
            self.gateway.loads.record_refusal(&self.received.service.name, model);
        }
        self.request_log.record_no_other_source(NoOtherSource::NoPlace);
        self.request_log.set_held_servers(unavailable.held);
        self.refusal(unavailable.code, unavailable.retry_after_ms.unwrap_or(FULL_RETRY_MS))
    }

    /// Selects a server or waits for a place at a group; `Err` with the reason if there is none.
    pub(super) async fn select_source(&mut self, is_suspect: bool) -> Result<Source, Unavailable> {
        if self.received.service.engine.is_none() {
            return self.select_plain_server(is_suspect);
        }
        let model = self.received.model.clone().unwrap_or_default();
        let target_ms = self.received.route.target_latency_ms;
        let excluded = [self.tried_groups.as_slice(), &self.occupied.groups].concat();
        let query = PlaceQuery {
            service: &self.received.service.name,
            model: &model,
            zones: &self.received.zones,
            excluded: &excluded,
            prefers_idle: is_suspect,
            prompt_tokens: self.received.prompt_tokens,
            target_ms,
        };
        if let Some(zones) = self.gate.zones_without_crashes(is_suspect, &self.received.zones) {
            let other_zones = PlaceQuery { zones: &zones, ..query };
            if let Ok(place) = wait_for_place(&self.gateway, other_zones, Instant::now()).await {
                return Ok(Source::Group(place));
            }
        }
        let since = Instant::now();
        let max_wait = Duration::from_millis(target_ms * PLACE_WAIT_PERCENT / 100);
        let wait_ends = *self.place_wait_ends.get_or_insert(since + max_wait);
        // Groups that run other suspects are not waited for here, but in the gate, which limits that wait.
        let wait_ends = if self.occupied.is_empty() { wait_ends } else { since };
        let place = wait_for_place(&self.gateway, query, wait_ends).await;
        self.request_log.add_wait(since);
        if let Err(Unavailable { decided_by: Some(decided_by), .. }) = &place {
            let places = self.gateway.loads.summarize_places(query);
            self.request_log.set_no_place(PlacesSummary { decided_by: Some(*decided_by), ..places });
        }
        place.map(Source::Group)
    }

    /// Selects a server of a plain service.
    fn select_plain_server(&self, is_suspect: bool) -> Result<Source, Unavailable> {
        let excluded = [self.tried_servers.as_slice(), &self.occupied.servers].concat();
        let excluded = Excluded { servers: &excluded, has_answer: false };
        let selected = select_server(&self.gateway, &self.received, &self.gate, is_suspect, excluded);
        selected.map(Source::Server)
    }
}
