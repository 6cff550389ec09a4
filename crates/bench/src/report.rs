//! Report of a run: `summary.json`, and `report.html` with plots.

use crate::caller_record::{CallerRecord, CallerResult};
use crate::fault::FaultRecord;
use crate::html::{escape, page_header};
use crate::plot::{PlotLabels, Series, distribution, line_plot};
use crate::summary::Summary;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::path::Path;

/// Bin width of the load plot, in seconds.
const BIN_SECONDS: f64 = 1.0;

/// Contents of a report.
pub struct ReportData<'a> {
    /// The summary.
    pub summary: &'a Summary,
    /// What each caller observed.
    pub callers: &'a [CallerRecord],
    /// Faults that were injected.
    pub faults: &'a [FaultRecord],
    /// Events of all daemons, one line each.
    pub events: &'a [String],
    /// Samples of the fleet state: elapsed seconds, serving replicas, stranded machines.
    pub samples: &'a [(f64, f64, f64)],
}

/// Writes both files into `folder`.
pub fn write_report(folder: &Path, data: &ReportData<'_>) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join("summary.json"), serde_json::to_vec_pretty(data.summary)?)?;
    std::fs::write(folder.join("report.html"), html(data))
}

fn html(data: &ReportData<'_>) -> String {
    let mut page = page_header(&data.summary.experiment);
    page.push_str(&counts_table(data.summary));
    page.push_str(&tier_table(data.summary));
    page.push_str(&first_token_plot(data.callers));
    page.push_str(&between_tokens_plot(data.callers));
    page.push_str(&load_plot(data.callers));
    page.push_str(&state_plot(data.samples));
    page.push_str("<h2>Faults</h2><ul>");
    for fault in data.faults {
        let _ = write!(page, "<li>{:.1} s: {}</li>", fault.at_ms as f64 / 1000.0, escape(&fault.what));
    }
    page.push_str("</ul><h2>Time line</h2><pre>");
    for event in data.events {
        let _ = writeln!(page, "{}", escape(event));
    }
    page.push_str("</pre>");
    page
}

fn counts_table(summary: &Summary) -> String {
    let counts = &summary.counts;
    let mut table = String::from("<h2>Counts</h2><table><tr><th>count</th><th>value</th></tr>");
    for (name, value) in [
        ("requests", counts.requests),
        ("whole", counts.whole),
        ("not run", counts.not_run),
        ("unknown", counts.unknown),
    ] {
        let _ = write!(table, "<tr><td>{name}</td><td>{value}</td></tr>");
    }
    for (name, value) in counts.must_be_zero() {
        let class = if value > 0 { " class=\"bad\"" } else { "" };
        let _ = write!(table, "<tr{class}><td>{name} (must be 0)</td><td>{value}</td></tr>");
    }
    let (downtime, stranded) = (counts.group_downtime_replica_seconds, counts.stranded_machine_seconds);
    let _ = write!(table, "<tr><td>group downtime, replica seconds</td><td>{downtime:.1}</td></tr>");
    let _ = write!(table, "<tr><td>stranded, machine seconds</td><td>{stranded:.1}</td></tr></table>");
    table
}

fn tier_table(summary: &Summary) -> String {
    let mut table = String::from(
        "<h2>Tiers</h2><table><tr><th>tier</th><th>requests</th><th>whole</th><th>first token p50</th><th>p95</th>\
         <th>p99</th><th>between tokens p50</th><th>p95</th><th>p99</th></tr>",
    );
    for (tier, row) in &summary.tiers {
        let (first, between) = (row.first_token_ms, row.between_tokens_ms);
        let _ = write!(
            table,
            "<tr><td>{tier}</td><td>{}</td><td>{}</td><td>{:.1}</td><td>{:.1}</td><td>{:.1}</td><td>{:.1}</td>\
             <td>{:.1}</td><td>{:.1}</td></tr>",
            row.requests, row.whole, first.p50, first.p95, first.p99, between.p50, between.p95, between.p99
        );
    }
    table.push_str("</table>");
    table
}

fn series_by_tier(callers: &[CallerRecord], samples: impl Fn(&CallerRecord) -> Vec<f64>) -> Vec<Series> {
    let mut tiers: BTreeMap<u8, Vec<f64>> = BTreeMap::new();
    for record in callers {
        tiers.entry(record.tier).or_default().extend(samples(record));
    }
    tiers.into_iter().map(|(tier, samples)| distribution(&format!("tier {tier}"), samples)).collect()
}

fn first_token_plot(callers: &[CallerRecord]) -> String {
    let labels = PlotLabels { title: "First token", x: "percent of requests", y: "ms" };
    line_plot(labels, &series_by_tier(callers, |record| record.first_token_ms.into_iter().collect()))
}

fn between_tokens_plot(callers: &[CallerRecord]) -> String {
    let labels = PlotLabels { title: "Between tokens", x: "percent of tokens", y: "ms" };
    line_plot(labels, &series_by_tier(callers, |record| record.between_tokens_ms.clone()))
}

fn load_plot(callers: &[CallerRecord]) -> String {
    let start = callers.iter().map(|record| record.sent_ms).min().unwrap_or(0);
    let mut sent: BTreeMap<u64, f64> = BTreeMap::new();
    let mut whole: BTreeMap<u64, f64> = BTreeMap::new();
    for record in callers {
        let bin = |at: u64| ((at.saturating_sub(start)) as f64 / 1000.0 / BIN_SECONDS) as u64;
        *sent.entry(bin(record.sent_ms)).or_default() += 1.0;
        if record.result == CallerResult::Whole {
            *whole.entry(bin(record.ended_ms)).or_default() += 1.0;
        }
    }
    let series = |name: &str, bins: BTreeMap<u64, f64>| Series {
        name: name.to_string(),
        points: bins
            .into_iter()
            .map(|(bin, count)| (bin as f64 * BIN_SECONDS, count / BIN_SECONDS))
            .collect(),
    };
    let labels = PlotLabels { title: "Requests a second", x: "seconds", y: "requests/s" };
    line_plot(labels, &[series("sent", sent), series("whole", whole)])
}

fn state_plot(samples: &[(f64, f64, f64)]) -> String {
    let series = |name: &str, value: fn(&(f64, f64, f64)) -> f64| Series {
        name: name.to_string(),
        points: samples.iter().map(|sample| (sample.0, value(sample))).collect(),
    };
    let labels = PlotLabels { title: "Replicas serving, machines stranded", x: "seconds", y: "count" };
    line_plot(
        labels,
        &[series("serving replicas", |sample| sample.1), series("stranded machines", |sample| sample.2)],
    )
}
