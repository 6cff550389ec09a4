//! What the logs tell of one request.

use crate::request_trace::account;
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
fn a_cut_stream_is_traced_to_the_member_that_fell_silent() {
    assert_eq!(lines().len(), 7, "what is no line of ours is passed over");
    let expected = [
        "8000 e1: arrives for large, 1200 tokens of prompt; 8000 ms allowed, configuration 4",
        "8001 e1: sent to a of g7, which ended: Abandoned",
        "8150 e1: first event passed on",
        "8900 group/g7 Cutting: b is silent",
        "8950 order Leave to a: Begun",
        "9000 0 groups of large are open by the log",
        "9000 e1: ends with 3001 Interrupted after 1000 ms, 0 ms of them waiting; lease left 2100 ms, longest pause 40 ms, places known 30 ms ago (2 lines of this result held back before)",
    ];
    assert_eq!(account(&lines(), "r-1"), expected);
}

#[test]
fn a_request_that_no_line_names_has_no_account() {
    assert!(account(&lines(), "r-2").is_empty());
}
