//! Summary of a run with counts, measures and latencies, written to `summary.json` and as the last line of output.

use crate::caller_record::{CallerRecord, CallerResult};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Counts and measures of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests in the trace.
    pub requests: u64,
    /// Complete and correct answers.
    pub whole: u64,
    /// Requests with the final outcome "not run".
    pub not_run: u64,
    /// Requests with the final outcome "unknown" or "incomplete".
    pub unknown: u64,
    /// Incomplete answers that the protocol presented as complete. Must be 0.
    pub cut: u64,
    /// Requests without a final outcome. Must be 0.
    pub lost: u64,
    /// Answers that belong to another request. Must be 0.
    pub mixed: u64,
    /// Non-repeatable requests that were executed twice. Must be 0.
    pub doubled: u64,
    /// Requests reported as not run although a backend had received them. Must be 0.
    pub false_not_run: u64,
    /// Dispatches to a group with a machine that was loaded for another replica. Must be 0.
    pub machine_in_two_replicas: u64,
    /// Dispatches to a replica with a machine missing for longer than the evidence window. Must be 0.
    pub dispatch_with_missing_machine: u64,
    /// Times that a daemon returned an older revision than before. Must be 0.
    pub revision_regressions: u64,
    /// Dispatches to a machine that had been leaving for longer than allowed. Must be 0.
    pub late_work_after_leaving: u64,
    /// Declared replicas that were not serving, integrated over time, in replica seconds.
    pub group_downtime_replica_seconds: f64,
    /// Live machines outside any serving replica, integrated over time, in machine seconds.
    pub stranded_machine_seconds: f64,
}

impl Counts {
    /// The counts that must be 0, by name.
    pub fn must_be_zero(&self) -> [(&'static str, u64); 9] {
        [
            ("cut", self.cut),
            ("lost", self.lost),
            ("mixed", self.mixed),
            ("doubled", self.doubled),
            ("false_not_run", self.false_not_run),
            ("machine_in_two_replicas", self.machine_in_two_replicas),
            ("dispatch_with_missing_machine", self.dispatch_with_missing_machine),
            ("revision_regressions", self.revision_regressions),
            ("late_work_after_leaving", self.late_work_after_leaving),
        ]
    }

    /// Whether all counts that must be 0 are 0.
    pub fn guarantees_hold(&self) -> bool {
        self.must_be_zero().iter().all(|(_, count)| *count == 0)
    }
}

/// Percentiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Number of samples.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Computes percentiles of samples in milliseconds.
pub fn percentiles(samples: impl Iterator<Item = f64>) -> Percentiles {
    const MICROS_PER_MS: f64 = 1000.0;
    const MAX_MICROS: u64 = 3_600_000_000;
    const SIGNIFICANT_DIGITS: u8 = 3;
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS) else {
        return Percentiles::default();
    };
    for sample in samples {
        histogram.saturating_record((sample * MICROS_PER_MS) as u64);
    }
    if histogram.is_empty() {
        return Percentiles::default();
    }
    let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MS;
    Percentiles { count: histogram.len(), p50: at(0.5), p95: at(0.95), p99: at(0.99) }
}

/// Latencies of one tier.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TierSummary {
    /// Number of requests.
    pub requests: u64,
    /// Complete and correct answers.
    pub whole: u64,
    /// Time from sending to the first token.
    pub first_token_ms: Percentiles,
    /// Time between tokens.
    pub between_tokens_ms: Percentiles,
}

/// The summary of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Name of the experiment.
    pub experiment: String,
    /// Counts and measures.
    #[serde(flatten)]
    pub counts: Counts,
    /// Length of the measured period.
    pub seconds: f64,
    /// Time from sending to the first token.
    pub first_token_ms: Percentiles,
    /// Time between tokens.
    pub between_tokens_ms: Percentiles,
    /// Results by tier.
    pub tiers: BTreeMap<u8, TierSummary>,
    /// Number of requests by their last result code other than success.
    pub codes: BTreeMap<u16, u64>,
    /// Messages on processes that did not exit cleanly.
    pub process_faults: Vec<String>,
}

fn tier_summary(records: &[&CallerRecord]) -> TierSummary {
    TierSummary {
        requests: records.len() as u64,
        whole: records.iter().filter(|record| record.result == CallerResult::Whole).count() as u64,
        first_token_ms: percentiles(records.iter().filter_map(|record| record.first_token_ms)),
        between_tokens_ms: percentiles(
            records.iter().flat_map(|record| record.between_tokens_ms.iter().copied()),
        ),
    }
}

/// Builds the summary of a run.
pub fn summarise(experiment: &str, counts: Counts, seconds: f64, callers: &[CallerRecord]) -> Summary {
    let all: Vec<&CallerRecord> = callers.iter().collect();
    let overall = tier_summary(&all);
    let mut tiers: BTreeMap<u8, Vec<&CallerRecord>> = BTreeMap::new();
    let mut codes: BTreeMap<u16, u64> = BTreeMap::new();
    for record in callers {
        tiers.entry(record.tier).or_default().push(record);
        if let Some(code) = record.code {
            *codes.entry(code).or_default() += 1;
        }
    }
    Summary {
        experiment: experiment.to_string(),
        counts,
        seconds,
        first_token_ms: overall.first_token_ms,
        between_tokens_ms: overall.between_tokens_ms,
        tiers: tiers.into_iter().map(|(tier, records)| (tier, tier_summary(&records))).collect(),
        codes,
        process_faults: Vec::new(),
    }
}
