//! Which group or server a stream is asked of, and whether the request may be sent there.

use super::{FULL_RETRY_MS, StreamCourse};
use crate::gateway::assignment::wait_for_place;
use crate::gateway::body::AnswerBody;
use crate::gateway::loads::PlaceQuery;
use crate::gateway::refusal::refuse;
use crate::gateway::source::Source;
use crate::gateway::targets::pick_for;
use crate::pushback::Unavailable;
use crate::suspects::Admission;
use dockwood_api::ResultCode;
use hyper::Response;
use std::time::Duration;
use tokio::time::Instant;

/// Part of the target for the first event that a request may wait here for a place, in hundredths: with half of it gone, the
/// first event can still be in time. Waiting for one and a half times the target instead was measured to serve no more:
/// what waited stood before what came new.
const WAIT_HUNDREDTHS: u64 = 50;

/// Sources that are taken by other suspects.
#[derive(Debug, Default)]
pub(super) struct Taken {
    groups: Vec<u64>,
    servers: Vec<String>,
}

impl Taken {
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

impl StreamCourse {
    /// A source to which the request may be sent; `None` if another one is to be looked for.
    pub(super) async fn admitted_source(&mut self) -> Result<Option<Source>, Box<Response<AnswerBody>>> {
        let is_suspect = match self.gate.is_suspect().await {
            Ok(is_suspect) => is_suspect,
            Err(code) => return Err(Box::new(self.refused_by_gate(code))),
        };
        let source = match self.source(is_suspect).await {
            Ok(source) => source,
            Err(_) if !self.taken.is_empty() => {
                let admission = self.gate.wait_for_free_server().await;
                return self.again(admission);
            }
            Err(unavailable) => return Err(Box::new(self.refuse_for_want_of_a_source(unavailable))),
        };
        match self.gate.admit(is_suspect, source.instance(), source.zone()).await {
            Admission::Admitted => Ok(Some(source)),
            Admission::OtherServer => {
                self.taken.add(&source);
                Ok(None)
            }
            other => self.again(other),
        }
    }

    /// Looks at all sources again, unless the request may not be sent at all.
    fn again(&mut self, admission: Admission) -> Result<Option<Source>, Box<Response<AnswerBody>>> {
        self.taken = Taken::default();
        match admission {
            Admission::Refused(code) => Err(Box::new(self.refused_by_gate(code))),
            _ => Ok(None),
        }
    }

    /// The answer to a request that is not sent. One under quarantine is told no time to come back.
    fn refused_by_gate(&mut self, code: ResultCode) -> Response<AnswerBody> {
        if code != ResultCode::RequestQuarantined {
            return self.refusal(code, FULL_RETRY_MS);
        }
        self.account.end(code);
        refuse(code, code.meaning(), None)
    }

    fn refuse_for_want_of_a_source(&mut self, unavailable: Unavailable) -> Response<AnswerBody> {
        let model = self.received.model.as_deref().unwrap_or_default();
        if self.received.service.engine.is_some() {
            self.gateway.loads.refused(&self.received.service.name, model);
        }
        self.account.held(unavailable.held);
        self.refusal(unavailable.code, unavailable.retry_after_ms.unwrap_or(FULL_RETRY_MS))
    }

    /// A place at a group, waited for shortly, or a server; else why there is none.
    async fn source(&mut self, is_suspect: bool) -> Result<Source, Unavailable> {
        if self.received.service.engine.is_none() {
            return self.server(is_suspect);
        }
        let model = self.received.model.clone().unwrap_or_default();
        let target_ms = self.received.route.target_latency_ms;
        let excluded = [self.tried_groups.as_slice(), &self.taken.groups].concat();
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
            let elsewhere = PlaceQuery { zones: &zones, ..query };
            if let Ok(place) = wait_for_place(&self.gateway, elsewhere, Instant::now()).await {
                return Ok(Source::Group(place));
            }
        }
        let since = Instant::now();
        // What is taken by another suspect is not waited for here: the gate tells how long.
        let wait_ms = if self.taken.is_empty() { target_ms * WAIT_HUNDREDTHS / 100 } else { 0 };
        let place = wait_for_place(&self.gateway, query, since + Duration::from_millis(wait_ms)).await;
        self.account.waited(since);
        place.map(Source::Group)
    }

    /// A server of a plain service.
    fn server(&self, is_suspect: bool) -> Result<Source, Unavailable> {
        let passed_over = [self.tried_servers.as_slice(), &self.taken.servers].concat();
        let picked = pick_for(&self.gateway, &self.received, &self.gate, is_suspect, &passed_over);
        picked.map(Source::Server)
    }
}
