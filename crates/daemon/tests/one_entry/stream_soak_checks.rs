//! Checks of what the callers of the streams have received, against what the servers have recorded.

use crate::entry::RetryBudget;
use crate::stream_caller::{ResponseEnd, StreamResponse};
use crate::stream_fleet::MANY_RETRIES;
use crate::stream_server::{Ending, RequestRecord};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The times of two servers are compared with this tolerance: each notices the end of a connection by itself.
const TIME_TOLERANCE: Duration = Duration::from_millis(50);
/// A request whose deadline has passed ends within this time, also on a busy machine.
const ENDS_WITHIN: Duration = Duration::from_secs(2);

/// A response to a request of a caller.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    pub response: StreamResponse,
    pub deadline: Duration,
    /// Number of servers that the request may be sent to.
    pub max_attempts: usize,
}

/// The results of one run.
pub struct SoakRun {
    pub responses: Vec<CallerResponse>,
    /// The requests that all servers have received.
    pub records: Vec<RequestRecord>,
    pub retry_budget: RetryBudget,
}

impl SoakRun {
    /// Returns the numbers of responses by outcome.
    pub fn summary(&self) -> String {
        let count = |matches: &dyn Fn(&CallerResponse) -> bool| {
            self.responses.iter().filter(|response| matches(response)).count()
        };
        format!(
            "{} requests, {} whole, {} at their deadlines, {} refused; {} sends, {} closed by the entry",
            self.responses.len(),
            count(&|caller| caller.response.is_whole()),
            count(&|caller| !caller.response.is_whole() && caller.response.took >= caller.deadline),
            count(&|caller| caller.response.is_final_error() && caller.response.took < caller.deadline),
            self.records.len(),
            self.records.iter().filter(|record| record.ending == Some(Ending::ClosedByEntry)).count(),
        )
    }

    /// Returns descriptions of the responses that break a rule.
    pub fn violations(&self) -> Vec<String> {
        let by_attempt = self.records_by_attempt();
        let mut violations = Vec::new();
        for caller in &self.responses {
            let records = by_attempt.get(&caller.response.attempt).cloned().unwrap_or_default();
            for rule in self.broken_rules(caller, &records) {
                violations.push(describe(rule, &caller.response, &records));
            }
        }
        violations.extend(self.excess_retry(&by_attempt));
        violations
    }

    /// Returns the records of each attempt in the order of receipt.
    fn records_by_attempt(&self) -> BTreeMap<String, Vec<RequestRecord>> {
        let mut by_attempt: BTreeMap<String, Vec<RequestRecord>> = BTreeMap::new();
        for record in &self.records {
            by_attempt.entry(record.attempt.clone()).or_default().push(record.clone());
        }
        by_attempt.values_mut().for_each(|records| records.sort_by_key(|record| record.received_at));
        by_attempt
    }

    fn broken_rules(&self, caller: &CallerResponse, records: &[RequestRecord]) -> Vec<&'static str> {
        let response = &caller.response;
        let is_stream = response.status == Some(200);
        let is_late = response.took >= caller.deadline;
        let ran = records.iter().filter(|record| record.ending != Some(Ending::Refused)).count();
        let mut rules = Vec::new();
        let mut check = |holds: bool, rule: &'static str| {
            if !holds {
                rules.push(rule);
            }
        };
        check(
            !is_stream || response.is_in_order(),
            "events are in order, none is missing and none comes twice",
        );
        check(
            !is_stream || response.end != Some(ResponseEnd::Complete) || response.is_whole(),
            "a cut answer does not look complete",
        );
        check(is_stream || response.is_final_error(), "each caller receives an answer");
        check(
            response.is_whole() || is_late || may_end_early(response, records),
            "an answer ends early only if its server broke off or refused it",
        );
        check(response.took < caller.deadline + ENDS_WITHIN, "a request ends at its deadline");
        check(ran <= caller.max_attempts, "no more servers receive a request than its route allows");
        check(
            !is_late
                || !self.allows_many_retries()
                || ran >= caller.max_attempts
                || records.iter().any(has_failed),
            "a stream goes on at another server before its deadline",
        );
        rules
    }

    fn allows_many_retries(&self) -> bool {
        self.retry_budget.extra >= MANY_RETRIES.extra
    }

    /// Returns the first retry beyond the fixed number of retries within a window.
    fn excess_retry(&self, by_attempt: &BTreeMap<String, Vec<RequestRecord>>) -> Option<String> {
        let mut retries: Vec<&RequestRecord> =
            by_attempt.values().flat_map(|records| &records[1..]).collect();
        retries.sort_by_key(|record| record.received_at);
        let window = Duration::from_secs(u64::from(self.retry_budget.window_seconds));
        let begins_within = |record: &RequestRecord, from: Instant| record.received_at < from + window;
        let excess = retries.iter().enumerate().find_map(|(number, first)| {
            let beyond = retries.get(number + self.retry_budget.extra as usize)?;
            begins_within(beyond, first.received_at).then_some(beyond)
        })?;
        let caller = self.responses.iter().find(|caller| caller.response.attempt == excess.attempt)?;
        let rule = "no more requests are sent again than the retry budget allows";
        Some(describe(rule, &caller.response, &by_attempt[&excess.attempt]))
    }
}

/// Describes a response that breaks a rule. Times are relative to the first receipt by a server.
fn describe(rule: &str, response: &StreamResponse, records: &[RequestRecord]) -> String {
    let StreamResponse { attempt, status, end, took, .. } = response;
    let mut text = format!(
        "not so: {rule}\n  {attempt}: status {status:?}, {} events, {end:?} after {took:?}",
        response.events()
    );
    if *status != Some(200) || !response.is_in_order() {
        text += &format!(", {:?}", response.body);
    }
    for record in records {
        let since_first = |at: Instant| at.duration_since(records[0].received_at).as_millis();
        text += &format!(
            "\n  sent after event {:?} at {} ms: {} events, {:?} at {:?} ms",
            record.last_event,
            since_first(record.received_at),
            record.events,
            record.ending,
            record.ended_at.map(since_first),
        );
    }
    text
}

fn has_failed(record: &RequestRecord) -> bool {
    matches!(record.ending, Some(Ending::Broken | Ending::Refused))
}

/// Returns whether a response may end before its deadline without being whole: if no server has run the request, or if the
/// last source broke off. A source that is closed by the entry later than that could have gone on.
fn may_end_early(response: &StreamResponse, records: &[RequestRecord]) -> bool {
    if records.iter().all(|record| record.ending == Some(Ending::Refused)) {
        return response.is_final_error();
    }
    let ended_as = |ending: Ending| records.iter().filter(move |record| record.ending == Some(ending));
    let last_break = ended_as(Ending::Broken).filter_map(|record| record.ended_at).max();
    let last_close = ended_as(Ending::ClosedByEntry).filter_map(|record| record.ended_at).max();
    last_break
        .is_some_and(|broke_at| last_close.is_none_or(|closed_at| closed_at <= broke_at + TIME_TOLERANCE))
}
