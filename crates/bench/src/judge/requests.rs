//! Promises on single requests.

use crate::caller_record::{CallerRecord, CallerResult};
use crate::summary::Counts;
use crate::trace::RequestKind;
use dockwood_emulator::LedgerRecord;
use std::collections::HashMap;

/// What the ledger shows of one request id.
#[derive(Debug, Default)]
struct Runs {
    /// Times of dispatch.
    dispatched_ms: Vec<u64>,
    /// Ranges of tokens produced, `from..to`.
    produced: Vec<(u32, u32)>,
    /// Calls of plain services.
    service_calls_ms: Vec<u64>,
}

pub(super) fn count(ledger: &[LedgerRecord], callers: &[CallerRecord], counts: &mut Counts) {
    let runs = runs_by_request(ledger);
    let none = Runs::default();
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
        let runs = runs.get(&caller.engine_id).unwrap_or(&none);
        counts.doubled += u64::from(!caller.repeatable && ran_twice(caller, runs));
        counts.false_not_run += u64::from(was_falsely_told(caller, runs));
    }
}

fn runs_by_request(ledger: &[LedgerRecord]) -> HashMap<String, Runs> {
    let mut runs: HashMap<String, Runs> = HashMap::new();
    for record in ledger {
        match record {
            LedgerRecord::Dispatched { request, at_ms, .. } => {
                runs.entry(request.clone()).or_default().dispatched_ms.push(*at_ms);
            }
            LedgerRecord::Ended { request, from, to, .. } => {
                runs.entry(request.clone()).or_default().produced.push((*from, *to));
            }
            LedgerRecord::ServiceCalled { request, at_ms, .. } => {
                runs.entry(request.clone()).or_default().service_calls_ms.push(*at_ms);
            }
            _ => {}
        }
    }
    runs
}

/// A token produced twice, or a service called twice.
fn ran_twice(caller: &CallerRecord, runs: &Runs) -> bool {
    if caller.kind == RequestKind::Service {
        return runs.service_calls_ms.len() > 1;
    }
    let overlap = |left: &(u32, u32), right: &(u32, u32)| left.0 < right.1 && right.0 < left.1;
    let pairs = runs.produced.iter().enumerate();
    pairs
        .into_iter()
        .any(|(position, left)| runs.produced[position + 1..].iter().any(|right| overlap(left, right)))
}

/// A back end had the request before its caller was told that it was not run.
fn was_falsely_told(caller: &CallerRecord, runs: &Runs) -> bool {
    let first_run = runs.dispatched_ms.iter().chain(&runs.service_calls_ms).min();
    let last_told = caller.told_not_run_ms.iter().max();
    matches!((first_run, last_told), (Some(run), Some(told)) if run < told)
}
