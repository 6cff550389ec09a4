//! Tests of the log report, including damaged logs.

use dockwood_bench::log_report::{LogLines, LogReport, html, table};
use serde_json::json;

/// Milliseconds since the Unix epoch at which the first request ends.
const BEGIN: u64 = 1_000_000;

fn event(at_ms: u64, daemon: &str, subject: &str, reason: &str, revision: Option<u64>) -> String {
    let line = json!({
        "schema": 1, "atMs": at_ms, "daemon": daemon, "kind": "event", "subject": subject, "reason": reason,
        "message": "large on a b; 2 free", "code": 1000, "codeName": "Ok", "revision": revision,
    });
    line.to_string()
}

fn request(at_ms: u64, code: u16, first_event_ms: Option<u64>, held_back: u64) -> String {
    let line = json!({
        "schema": 1, "atMs": at_ms, "daemon": "e1", "kind": "request", "request": "r", "code": code,
        "codeName": "X", "configuration": 1, "leaseLeftMs": 2_000 - code as u64 / 10, "placesAgeMs": 30,
        "tookMs": 200, "allowedMs": 8_000, "waitedMs": 0, "firstEventMs": first_event_ms,
        "sends": [], "heldBack": held_back,
    });
    line.to_string()
}

fn report_of(lines: &[String]) -> LogReport {
    let mut logs = LogLines::default();
    let text = lines.join("\n");
    logs.read("a.log", text.as_bytes()).unwrap_or_else(|error| panic!("{error}"));
    LogReport::new(logs)
}

fn sample_log() -> Vec<String> {
    let slow_turn = json!({
        "schema": 1, "atMs": BEGIN + 1_200, "daemon": "m1", "kind": "slowTurn", "tookMs": 80, "work": [], "heldBack": 2,
    });
    vec![
        event(BEGIN - 1_500, "m1", "daemon/m1", "Elected", None),
        event(BEGIN - 900, "m1", "group/g1", "Formed", Some(4)),
        event(BEGIN - 880, "m2", "group/g1", "Formed", Some(4)),
        event(BEGIN - 200, "m1", "group/g1", "Open", Some(5)),
        request(BEGIN, 1_000, Some(150), 0),
        request(BEGIN + 10, 1_000, Some(250), 3),
        request(BEGIN + 20, 2_020, None, 1),
        request(BEGIN + 1_100, 3_001, None, 0),
        request(BEGIN + 1_150, 3_007, None, 0),
        slow_turn.to_string(),
        event(BEGIN + 1_300, "e1", "daemon/e1", "LeaseLost", None),
        event(BEGIN + 1_400, "m2", "group/g1", "Cutting", Some(6)),
        event(BEGIN + 1_900, "m1", "group/g1", "Ended", Some(7)),
    ]
}

#[test]
fn each_second_has_its_statistics() {
    let report = report_of(&sample_log());
    assert_eq!(report.seconds.iter().map(|second| second.at).collect::<Vec<_>>(), [-2, -1, 0, 1]);
    let [elected, formed, first, second] = report.seconds.as_slice() else { panic!("four seconds") };
    assert_eq!((elected.elections, elected.open), (1, 0));
    assert_eq!((formed.formed, formed.open), (1, 1), "an event logged by two voters counts once");
    assert_eq!((first.answered, first.refused, first.failed), (5, 2, 0), "suppressed lines count");
    assert_eq!(first.first_event_ms, [150, 250]);
    assert_eq!(first.least_lease_ms, Some(1_798));
    assert_eq!((second.failed, second.left, second.leases_lost), (1, 1, 1));
    assert_eq!((second.slow_turns, second.longest_turn_ms), (3, 80));
    assert_eq!((second.ended, second.open), (1, 0));
}

#[test]
fn damaged_and_foreign_lines_are_counted_and_reported() {
    let mut lines = sample_log();
    let undamaged = report_of(&lines).seconds;
    lines.insert(3, "kernel: out of memory".to_string());
    lines.insert(5, request(BEGIN, 1_000, None, 0)[..60].to_string());
    lines.push(json!({ "level": "info" }).to_string());
    lines.push(String::new());
    let report = report_of(&lines);
    assert_eq!((report.logs.damaged, report.logs.foreign), (1, 2));
    let places: Vec<&str> =
        report.logs.skipped_samples.iter().map(|skipped| skipped.place.as_str()).collect();
    assert_eq!(places, ["a.log:4", "a.log:6", "a.log:16"]);
    assert_eq!(report.seconds, undamaged, "the other lines are still read");
    let page = html(&report);
    assert!(page.contains("a.log:6: damaged"), "{page}");
}

#[test]
fn invalid_utf8_affects_only_its_own_line() -> std::io::Result<()> {
    let mut bytes = vec![0xff, 0xfe, b'{', b'\n'];
    bytes.extend(request(BEGIN, 1_000, None, 0).into_bytes());
    let mut logs = LogLines::default();
    logs.read("a.log", bytes.as_slice())?;
    assert_eq!((logs.lines.len(), logs.damaged), (1, 1));
    Ok(())
}

#[test]
fn the_page_has_the_plots_and_the_table() {
    let report = report_of(&sample_log());
    let page = html(&report);
    for title in ["Requests that ended", "Time to the first event", "Leases and leaders", "Groups by epoch"] {
        assert!(page.contains(title), "{title}");
    }
    assert!(!page.contains("<p>Groups by epoch"), "the plot could not be drawn");
    assert!(table(&report.seconds).to_string().contains("answered"));
}

#[test]
fn a_log_without_requests_starts_at_its_first_line() {
    let report = report_of(&[event(5_000, "m1", "daemon/m1", "Elected", None)]);
    assert_eq!((report.begins_at_ms, report.seconds.len()), (5_000, 1));
    assert!(html(&report).contains("</pre>"));
}
