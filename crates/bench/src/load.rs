//! Open-loop load generator: sends each request of a trace at its arrival time, regardless of pending answers.

use crate::caller::Callers;
use crate::caller_record::CallerRecord;
use crate::trace::TraceRequest;
use indicatif::{ProgressBar, ProgressStyle};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Creates a progress bar over requests; hidden if the output is not a terminal.
fn progress_bar(length: usize) -> ProgressBar {
    let bar = ProgressBar::new(length as u64);
    if let Ok(style) = ProgressStyle::with_template("{elapsed_precise} {wide_bar} {pos}/{len} requests {msg}")
    {
        bar.set_style(style);
    }
    bar
}

/// Sends all requests and returns the callers' records in order of arrival.
pub async fn send_trace(callers: Arc<Callers>, requests: &[TraceRequest]) -> Vec<CallerRecord> {
    let started = Instant::now();
    let bar = progress_bar(requests.len());
    let mut calls = JoinSet::new();
    let mut records = Vec::with_capacity(requests.len());
    for (position, request) in requests.iter().enumerate() {
        let due = started + Duration::from_millis(request.at_ms);
        tokio::time::sleep_until(due.into()).await;
        let (callers, request) = (callers.clone(), request.clone());
        calls.spawn(async move { (position, callers.call(&request).await) });
        while let Some(Ok(finished)) = calls.try_join_next() {
            bar.inc(1);
            records.push(finished);
        }
    }
    while let Some(finished) = calls.join_next().await {
        bar.inc(1);
        // A caller that panicked leaves no record and is counted as lost.
        if let Ok(finished) = finished {
            records.push(finished);
        }
    }
    bar.finish_and_clear();
    records.sort_by_key(|(position, _)| *position);
    records.into_iter().map(|(_, record)| record).collect()
}
