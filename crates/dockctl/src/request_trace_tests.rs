//! Tests of request traces.

use crate::request_trace::trace_request;
use dockwood_log_lines::{Line, parse};

fn lines() -> Vec<Line> {
    let texts = [
        r#"{"schema":1,"atMs":1000,"daemon":"m1","kind":"event","subject":"group/g7","reason":"Formed","message":"large on a b; 2 free","code":1000,"codeName":"Ok"}"#,
        r#"{"schema":1,"atMs":2000,"daemon":"m1","kind":"event","subject":"group/g7","reason":"Open","message":"the head is open","code":1000,"codeName":"Ok"}"#,
        r#"2026-12-02T10:00:00Z host-1 {"schema":1,"atMs":9000,"daemon":"e1","kind":"request","request":"r-1","code":3001,"codeName":"Interrupted","model":"large","configuration":4,"leaseLeftMs":2100,"placesAgeMs":30,"tookMs":1000,"allowedMs":8000,"waitedMs":0,"firstEventMs":150,"longestPauseMs":40,"promptTokens":1200,"sends":[{"instance":"a","epoch":7,"atMs":1,"ended":"Abandoned"}],"heldBack":2}"#,
        r#"{"schema":1,"atMs":8900,"daemon":"m1","kind":"event","subject":"group/g7","reason":"Cutting","message":"b is silent","code":1000,"codeName":"Ok"}"#,
        r#"{"schema":1,"atMs":8960,"daemon":"m2","kind":"event","subject":"group/g7","reason":"Cutting","message":"b is silent","code":1000,"codeName":"Ok"}"#,
        r#"{"schema":1,"atMs":8950,"daemon":"m1","kind":"order","order":"Leave","instance":"a","group":"g7","epoch":7,"fence":1,"answer":"Begun"}"#,
        r#"{"schema":1,"atMs":8950,"daemon":"m1","kind":"event","subject":"group/g8","reason":"Cutting","message":"another group","code":1000,"codeName":"Ok"}"#,
        "a line of another program",
    ];
    texts.iter().filter_map(|text| parse(text).ok()).collect()
}

#[test]
fn an_aborted_stream_is_traced_to_the_silent_member() {
    assert_eq!(lines().len(), 7, "lines of other programs are skipped");
    let expected = [
        "8000 e1: arrives for large, 1200 tokens of prompt; 8000 ms allowed, configuration 4",
        "8001 e1: sent to a of g7, which ended: Abandoned",
        "8150 e1: first event passed on",
        "8900 group/g7 Cutting: b is silent",
        "8950 order Leave to a: Begun",
        "9000 0 groups of large are open by the log",
        "9000 e1: ends with 3001 Interrupted after 1000 ms, 0 ms of them waiting; lease left 2100 ms, longest pause 40 ms, places known 30 ms ago (2 lines of this result held back before)",
    ];
    assert_eq!(trace_request(&lines(), "r-1"), expected);
}

/// The trace of a refused request names the servers that asked for a pause, and which component chose them.
#[test]
fn a_refused_request_is_traced_to_the_servers_that_asked_for_a_pause() {
    let text = r#"{"schema":1,"atMs":9016,"daemon":"e1","kind":"request","request":"r-2","code":2020,"codeName":"Overloaded","model":"large","configuration":4,"leaseLeftMs":2100,"placesAgeMs":30,"tookMs":16,"allowedMs":8000,"waitedMs":9,"promptTokens":120,"sends":[{"instance":"a","epoch":7,"atMs":3,"chosenBy":"dispatcher","ended":"SaidNotRun","status":503,"retryAfterMs":3000},{"instance":"c","epoch":8,"atMs":9,"chosenBy":"entry","ended":"SaidNotRun","status":503,"leaving":true,"limitPerSecond":2.5}],"heldBack":0}"#;
    let lines: Vec<Line> = parse(text).into_iter().collect();
    let trace = trace_request(&lines, "r-2");
    assert_eq!(
        trace[1],
        "9003 e1: sent to a of g7 chosen by dispatcher, which ended: SaidNotRun; answered 503, asked for 3000 ms of rest"
    );
    assert_eq!(
        trace[2],
        "9009 e1: sent to c of g8 chosen by entry, which ended: SaidNotRun; answered 503, said that it leaves, takes 2.5 requests a second"
    );
}

/// The trace of a refused attempt names the servers that crashed during earlier attempts, minutes before.
#[test]
fn a_quarantined_request_is_traced_to_the_servers_that_crashed_while_running_it() {
    let fingerprint = "00112233445566778899aabbccddeeff";
    let texts = [
        format!(r#"{{"schema":1,"atMs":1000,"daemon":"e1","kind":"suspect","step":"suspected","fingerprint":"{fingerprint}","request":"r-1","instance":"a","zone":"z","servers":[],"heldBack":0}}"#),
        format!(r#"{{"schema":1,"atMs":1010,"daemon":"m1","kind":"event","subject":"instance/a","reason":"EndedUnderRequests","message":"in zone z, told by e1; suspects: {fingerprint} as r-1","code":1000,"codeName":"Ok"}}"#),
        format!(r#"{{"schema":1,"atMs":1020,"daemon":"m1","kind":"event","subject":"request/{fingerprint}","reason":"Quarantined","message":"ended under it: a b c","code":3009,"codeName":"RequestQuarantined"}}"#),
        r#"{"schema":1,"atMs":1030,"daemon":"m1","kind":"event","subject":"request/ffff","reason":"Quarantined","message":"another","code":3009,"codeName":"RequestQuarantined"}"#.to_string(),
        format!(r#"{{"schema":1,"atMs":90000,"daemon":"e2","kind":"request","request":"r-9","code":3009,"codeName":"RequestQuarantined","fingerprint":"{fingerprint}","configuration":4,"leaseLeftMs":2100,"tookMs":1,"allowedMs":8000,"waitedMs":0,"sends":[],"heldBack":0}}"#),
    ];
    let lines: Vec<Line> = texts.iter().filter_map(|text| parse(text).ok()).collect();
    assert_eq!(lines.len(), 5);
    let trace = trace_request(&lines, "r-9");
    assert_eq!(trace[0], format!("1000 e1: {fingerprint} suspected as r-1 at a"));
    assert_eq!(
        trace[1],
        format!("1010 instance/a EndedUnderRequests: in zone z, told by e1; suspects: {fingerprint} as r-1")
    );
    assert_eq!(trace[2], format!("1020 request/{fingerprint} Quarantined: ended under it: a b c"));
    assert!(trace[3].starts_with("89999 e2: arrives, fingerprint"), "{trace:?}");
    assert_eq!(trace.len(), 5, "{trace:?}");
}

/// A request that is refused for a part of its prompt is traced to the quarantine of that part, at whatever time.
#[test]
fn a_request_refused_for_a_part_of_its_prompt_is_traced_to_the_quarantine_of_the_part() {
    let fingerprint = "00112233445566778899aabbccddeeff";
    let texts = [
        r#"{"schema":1,"atMs":1020,"daemon":"m1","kind":"event","subject":"promptPart/5c1e","reason":"Quarantined","message":"4 servers ended under it","code":3009,"codeName":"RequestQuarantined"}"#.to_string(),
        r#"{"schema":1,"atMs":1030,"daemon":"m1","kind":"event","subject":"promptPart/ffff","reason":"Quarantined","message":"another","code":3009,"codeName":"RequestQuarantined"}"#.to_string(),
        format!(r#"{{"schema":1,"atMs":90000,"daemon":"e2","kind":"suspect","step":"refused","fingerprint":"{fingerprint}","request":"r-9","servers":[],"quarantinedPart":"5c1e","heldBack":0}}"#),
        format!(r#"{{"schema":1,"atMs":90000,"daemon":"e2","kind":"request","request":"r-9","code":3009,"codeName":"RequestQuarantined","fingerprint":"{fingerprint}","configuration":4,"leaseLeftMs":2100,"tookMs":1,"allowedMs":8000,"waitedMs":0,"sends":[],"heldBack":0}}"#),
    ];
    let lines: Vec<Line> = texts.iter().filter_map(|text| parse(text).ok()).collect();
    assert_eq!(lines.len(), 4);
    let trace = trace_request(&lines, "r-9");
    assert_eq!(trace[0], "1020 promptPart/5c1e Quarantined: 4 servers ended under it");
    let refused = format!("90000 e2: {fingerprint} refused as r-9; its part 5c1e is quarantined");
    assert!(trace.contains(&refused), "{trace:?}");
    assert_eq!(trace.len(), 4, "{trace:?}");
}

#[test]
fn a_request_that_no_line_names_has_no_trace() {
    assert!(trace_request(&lines(), "r-2").is_empty());
}
