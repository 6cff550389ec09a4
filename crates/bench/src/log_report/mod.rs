//! What the logs of a deployment tell of an hour: a table by second, the lives of groups, and a page with plots.

mod groups;
mod page;
mod reading;
mod seconds;

pub use groups::{GroupLife, group_lives};
pub use page::html;
pub use reading::{LogLines, UnreadLine};
pub use seconds::{Second, seconds, table};

use dockwood_log_lines::Body;

/// Lines of all logs in order of time, with seconds counted from the first request.
#[derive(Clone, Debug)]
pub struct LogReport {
    /// Milliseconds since the Unix epoch at which second 0 begins.
    pub begins_at_ms: u64,
    /// Each second that has any line.
    pub seconds: Vec<Second>,
    /// The groups.
    pub groups: Vec<GroupLife>,
    /// What was not read.
    pub logs: LogLines,
}

impl LogReport {
    /// Makes the report of what was read.
    pub fn of(mut logs: LogLines) -> LogReport {
        logs.lines.sort_by_key(|line| line.at_ms);
        let first_request = logs.lines.iter().find(|line| matches!(line.body, Body::Request(_)));
        let begins_at_ms = first_request.or(logs.lines.first()).map_or(0, |line| line.at_ms);
        let groups = group_lives(&logs.lines);
        let seconds = seconds(&logs.lines, &groups, begins_at_ms);
        LogReport { begins_at_ms, seconds, groups, logs }
    }
}

/// The second of a time, counted from `begins_at_ms`; negative before it.
fn second_of(at_ms: u64, begins_at_ms: u64) -> i64 {
    (at_ms as i64 - begins_at_ms as i64).div_euclid(1_000)
}
