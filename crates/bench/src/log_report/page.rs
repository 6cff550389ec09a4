//! The HTML page: plots by second, phases of groups, and skipped lines.

use super::per_second::percentile;
use super::{LogReport, SecondStats};
use crate::html::{escape, page_header};
use crate::plot::{PhaseRow, PhaseSpan, PlotLabels, Series, line_plot, phase_plot};
use std::fmt::Write;

/// Maximum number of groups in the phase plot; the most recently formed ones are shown.
const MAX_GROUPS: usize = 300;

/// Milliseconds in a second.
const SECOND_MS: f64 = 1_000.0;

/// A value by second; seconds without a value are left out.
struct Metric {
    name: &'static str,
    value: fn(&SecondStats) -> Option<f64>,
}

/// A plot of metrics by second.
struct MetricPlot {
    title: &'static str,
    unit: &'static str,
    metrics: Vec<Metric>,
}

/// Renders a report as an HTML page.
pub fn html(report: &LogReport) -> String {
    let mut page = page_header("What the logs tell");
    let _ = write!(
        page,
        "<p>Second 0 is {} ms after the Unix epoch. {}. Of each result a daemon writes some lines a second; those that it \
         held back are counted, their times are not known.</p>",
        report.begins_at_ms,
        escape(&report.logs.summary())
    );
    if !report.logs.skipped_samples.is_empty() {
        page.push_str("<ul>");
        for skipped in &report.logs.skipped_samples {
            let _ =
                write!(page, "<li>{}: {}</li>", escape(&skipped.place), escape(&skipped.fault.to_string()));
        }
        page.push_str("</ul>");
    }
    plots().iter().for_each(|plot| page.push_str(&draw(report, plot)));
    page.push_str(&groups_plot(report));
    let _ =
        write!(page, "<h2>By second</h2><pre>{}</pre>", escape(&super::table(&report.seconds).to_string()));
    page
}

fn count(value: u64) -> Option<f64> {
    Some(value as f64)
}

fn metric(name: &'static str, value: fn(&SecondStats) -> Option<f64>) -> Metric {
    Metric { name, value }
}

fn plots() -> [MetricPlot; 6] {
    [
        MetricPlot {
            title: "Requests that ended",
            unit: "requests/s",
            metrics: vec![
                metric("answered", |second| count(second.answered)),
                metric("refused", |second| count(second.refused)),
                metric("failed", |second| count(second.failed)),
                metric("caller left", |second| count(second.left)),
            ],
        },
        MetricPlot {
            title: "Time to the first event",
            unit: "ms",
            metrics: vec![
                metric("p50", |second| percentile(&second.first_event_ms, 50).and_then(count)),
                metric("p95", |second| percentile(&second.first_event_ms, 95).and_then(count)),
            ],
        },
        MetricPlot {
            title: "Groups",
            unit: "groups",
            metrics: vec![
                metric("open", |second| count(second.open)),
                metric("ended", |second| count(second.ended)),
            ],
        },
        MetricPlot {
            title: "Leases and leaders",
            unit: "count",
            metrics: vec![
                metric("leases lost", |second| count(second.leases_lost)),
                metric("elections", |second| count(second.elections)),
            ],
        },
        MetricPlot {
            title: "Rest of the lease, age of places",
            unit: "ms",
            metrics: vec![
                metric("shortest lease", |second| second.least_lease_ms.and_then(count)),
                metric("age of places, p95", |second| percentile(&second.places_age_ms, 95).and_then(count)),
            ],
        },
        MetricPlot {
            title: "Longest turn of a control thread",
            unit: "ms",
            metrics: vec![metric("longest", |second| count(second.longest_turn_ms))],
        },
    ]
}

fn draw(report: &LogReport, plot: &MetricPlot) -> String {
    let series: Vec<Series> = plot
        .metrics
        .iter()
        .map(|metric| {
            let point = |second: &SecondStats| Some((second.at as f64, (metric.value)(second)?));
            Series {
                name: metric.name.to_string(),
                points: report.seconds.iter().filter_map(point).collect(),
            }
        })
        .collect();
    line_plot(PlotLabels { title: plot.title, x: "seconds", y: plot.unit }, &series)
}

fn groups_plot(report: &LogReport) -> String {
    let last = report.seconds.last().map_or(0.0, |second| (second.at + 1) as f64);
    let at = |at_ms: u64| (at_ms as f64 - report.begins_at_ms as f64) / SECOND_MS;
    let first_shown = report.groups.len().saturating_sub(MAX_GROUPS);
    let rows: Vec<PhaseRow> = report.groups[first_shown..]
        .iter()
        .map(|group| {
            let end = group.ended_at.map_or(last, at);
            let closing = group.closing_at.map_or(end, at);
            let open = group.open_at.map_or(closing, at);
            let formed = group.formed_at.map_or(open, at);
            PhaseRow {
                number: group.epoch,
                phases: vec![
                    PhaseSpan { name: "forming", from: formed, to: open },
                    PhaseSpan { name: "open", from: open, to: closing },
                    PhaseSpan { name: "closing", from: closing, to: end },
                ],
            }
        })
        .collect();
    let title = format!("Groups by epoch, the last {} of {}", rows.len(), report.groups.len());
    phase_plot(PlotLabels { title: &title, x: "seconds", y: "epoch" }, &rows)
}
