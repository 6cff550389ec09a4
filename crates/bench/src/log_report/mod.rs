//! Summarises the logs of a deployment: a table by second, the lifecycles of groups, and an HTML page with plots.

mod groups;
mod page;
mod per_second;
mod reader;

pub use groups::{GroupLifecycle, group_lifecycles};
pub use page::html;
pub use per_second::{SecondStats, stats_by_second, table};
pub use reader::{LogLines, SkippedLine};

use dockwood_log_lines::Body;

/// Statistics of all logs, with seconds counted from the first request.
#[derive(Clone, Debug)]
pub struct LogReport {
    /// Start of second 0, in milliseconds since the Unix epoch.
    pub begins_at_ms: u64,
    /// Statistics of each second that has log lines.
    pub seconds: Vec<SecondStats>,
    /// Lifecycles of the groups.
    pub groups: Vec<GroupLifecycle>,
    /// The lines, and what was skipped.
    pub logs: LogLines,
}

impl LogReport {
    /// Builds the report.
    pub fn new(mut logs: LogLines) -> LogReport {
        logs.lines.sort_by_key(|line| line.at_ms);
        let first_request = logs.lines.iter().find(|line| matches!(line.body, Body::Request(_)));
        let begins_at_ms = first_request.or(logs.lines.first()).map_or(0, |line| line.at_ms);
        let groups = group_lifecycles(&logs.lines);
        let seconds = stats_by_second(&logs.lines, &groups, begins_at_ms);
        LogReport { begins_at_ms, seconds, groups, logs }
    }
}

/// The second that contains a time, counted from `begins_at_ms`; negative before it.
fn second_of(at_ms: u64, begins_at_ms: u64) -> i64 {
    (at_ms as i64 - begins_at_ms as i64).div_euclid(1_000)
}
