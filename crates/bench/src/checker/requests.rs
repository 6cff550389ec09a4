//! Checks of guarantees on single requests.

use crate::caller_record::{CallerRecord, CallerResult};
use crate::summary::Counts;
use crate::trace::RequestKind;
use dockwood_emulator::LedgerRecord;
use std::collections::HashMap;

/// Executions of one request id according to the ledger.
#[derive(Debug, Default)]
struct Executions {
    /// Times of dispatch, in milliseconds.
    dispatched_ms: Vec<u64>,
    /// Ranges of produced tokens, `from..to`.
    produced: Vec<(u32, u32)>,
    /// Times of plain service calls, in milliseconds.
    service_calls_ms: Vec<u64>,
}

pub(super) fn count(ledger: &[LedgerRecord], callers: &[CallerRecord], counts: &mut Counts) {
    let executions = executions_by_request(ledger);
    let none = Executions::default();
    for caller in callers {
        counts.requests += 1;
        match caller.result {
            CallerResult::Whole => counts.whole += 1,
            CallerResult::NotRun => counts.not_run += 1,
            CallerResult::Unknown => counts.unknown += 1,
            CallerResult::Cut => counts.cut += 1,
            CallerResult::Mixed => counts.mixed += 1,
            CallerResult::Lost => counts.lost += 1,
        }
        let executions = executions.get(&caller.engine_id).unwrap_or(&none);
        counts.doubled += u64::from(!caller.repeatable && executed_twice(caller, executions));
        counts.false_not_run += u64::from(falsely_reported_not_run(caller, executions));
    }
}

fn executions_by_request(ledger: &[LedgerRecord]) -> HashMap<String, Executions> {
    let mut executions: HashMap<String, Executions> = HashMap::new();
    for record in ledger {
        match record {
            LedgerRecord::Dispatched { request, at_ms, .. } => {
                executions.entry(request.clone()).or_default().dispatched_ms.push(*at_ms);
            }
            LedgerRecord::Ended { request, from, to, .. } => {
                executions.entry(request.clone()).or_default().produced.push((*from, *to));
            }
            LedgerRecord::ServiceCalled { request, at_ms, .. } => {
                executions.entry(request.clone()).or_default().service_calls_ms.push(*at_ms);
            }
            _ => {}
        }
    }
    executions
}

/// Whether a token was produced twice, or a service was called twice.
fn executed_twice(caller: &CallerRecord, executions: &Executions) -> bool {
    if caller.kind == RequestKind::Service {
        return executions.service_calls_ms.len() > 1;
    }
    let overlap = |left: &(u32, u32), right: &(u32, u32)| left.0 < right.1 && right.0 < left.1;
    let pairs = executions.produced.iter().enumerate();
    pairs
        .into_iter()
        .any(|(position, left)| executions.produced[position + 1..].iter().any(|right| overlap(left, right)))
}

/// Whether a backend received the request before its caller was told that it was not run.
fn falsely_reported_not_run(caller: &CallerRecord, executions: &Executions) -> bool {
    let first_execution = executions.dispatched_ms.iter().chain(&executions.service_calls_ms).min();
    let last_report = caller.told_not_run_ms.iter().max();
    matches!((first_execution, last_report), (Some(execution), Some(report)) if execution < report)
}
