//! The page: plots by second, life lines of groups, and what was not read.

use super::seconds::percentile;
use super::{LogReport, Second};
use crate::html::{escape, page_begin};
use crate::plot::{LifeLine, LifePhase, PlotTexts, Series, life_lines, line_plot};
use std::fmt::Write;

/// Groups in the plot of life lines, at most: the last ones that were formed.
const MOST_GROUPS: usize = 300;

/// Milliseconds in a second.
const SECOND_MS: f64 = 1_000.0;

/// A figure of a second, where it has one.
struct Figure {
    name: &'static str,
    of: fn(&Second) -> Option<f64>,
}

/// One plot of figures by second.
struct FigurePlot {
    title: &'static str,
    unit: &'static str,
    figures: Vec<Figure>,
}

/// The page of a report.
pub fn html(report: &LogReport) -> String {
    let mut page = page_begin("What the logs tell");
    let _ = write!(
        page,
        "<p>Second 0 is {} ms after the Unix epoch. {}. Of each result a daemon writes some lines a second; those that it \
         held back are counted, their times are not known.</p>",
        report.begins_at_ms,
        escape(&report.logs.unread())
    );
    if !report.logs.named.is_empty() {
        page.push_str("<ul>");
        for unread in &report.logs.named {
            let _ = write!(page, "<li>{}: {}</li>", escape(&unread.place), escape(&unread.fault.to_string()));
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

fn figure(name: &'static str, of: fn(&Second) -> Option<f64>) -> Figure {
    Figure { name, of }
}

fn plots() -> [FigurePlot; 6] {
    [
        FigurePlot {
            title: "Requests that ended",
            unit: "requests/s",
            figures: vec![
                figure("answered", |second| count(second.answered)),
                figure("refused", |second| count(second.refused)),
                figure("failed", |second| count(second.failed)),
                figure("caller left", |second| count(second.left)),
            ],
        },
        FigurePlot {
            title: "Time to the first event",
            unit: "ms",
            figures: vec![
                figure("p50", |second| percentile(&second.first_event_ms, 50).and_then(count)),
                figure("p95", |second| percentile(&second.first_event_ms, 95).and_then(count)),
            ],
        },
        FigurePlot {
            title: "Groups",
            unit: "groups",
            figures: vec![
                figure("open", |second| count(second.open)),
                figure("ended", |second| count(second.ended)),
            ],
        },
        FigurePlot {
            title: "Leases and leaders",
            unit: "count",
            figures: vec![
                figure("leases lost", |second| count(second.leases_lost)),
                figure("elections", |second| count(second.elections)),
            ],
        },
        FigurePlot {
            title: "Rest of the lease, age of places",
            unit: "ms",
            figures: vec![
                figure("shortest lease", |second| second.least_lease_ms.and_then(count)),
                figure("age of places, p95", |second| percentile(&second.places_age_ms, 95).and_then(count)),
            ],
        },
        FigurePlot {
            title: "Longest turn of a control thread",
            unit: "ms",
            figures: vec![figure("longest", |second| count(second.longest_turn_ms))],
        },
    ]
}

fn draw(report: &LogReport, plot: &FigurePlot) -> String {
    let series: Vec<Series> = plot
        .figures
        .iter()
        .map(|figure| {
            let point = |second: &Second| Some((second.at as f64, (figure.of)(second)?));
            Series {
                name: figure.name.to_string(),
                points: report.seconds.iter().filter_map(point).collect(),
            }
        })
        .collect();
    line_plot(PlotTexts { title: plot.title, x: "seconds", y: plot.unit }, &series)
}

fn groups_plot(report: &LogReport) -> String {
    let last = report.seconds.last().map_or(0.0, |second| (second.at + 1) as f64);
    let at = |at_ms: u64| (at_ms as f64 - report.begins_at_ms as f64) / SECOND_MS;
    let first_shown = report.groups.len().saturating_sub(MOST_GROUPS);
    let lives: Vec<LifeLine> = report.groups[first_shown..]
        .iter()
        .map(|group| {
            let end = group.ended_at.map_or(last, at);
            let closing = group.closing_at.map_or(end, at);
            let open = group.open_at.map_or(closing, at);
            let formed = group.formed_at.map_or(open, at);
            LifeLine {
                number: group.epoch,
                phases: vec![
                    LifePhase { name: "forming", from: formed, to: open },
                    LifePhase { name: "open", from: open, to: closing },
                    LifePhase { name: "closing", from: closing, to: end },
                ],
            }
        })
        .collect();
    let title = format!("Groups by epoch, the last {} of {}", lives.len(), report.groups.len());
    life_lines(PlotTexts { title: &title, x: "seconds", y: "epoch" }, &lives)
}
