//! Parsing of log lines, and the classification of lines that can't be parsed.

use dockwood_log_lines::{Body, LineError, parse};
use yare::parameterized;

const EVENT: &str = r#"{"schema":1,"atMs":5,"daemon":"m1","kind":"event","subject":"group/g7","reason":"Open","message":"","code":1000,"codeName":"Ok","revision":3}"#;

#[test]
fn prefix_added_by_log_collector_is_ignored() -> Result<(), LineError> {
    let line = parse(&format!("2026-12-02T10:00:00Z host-1 {EVENT}"))?;
    assert_eq!((line.at_ms, line.daemon.as_str()), (5, "m1"));
    let Body::Event(event) = line.body else { panic!("{line:?}") };
    assert_eq!((event.group_epoch(), event.revision), (Some(7), Some(3)));
    Ok(())
}

#[test]
fn unknown_kind_is_ignored() -> Result<(), LineError> {
    let line = parse(r#"{"schema":1,"atMs":5,"daemon":"m1","kind":"weather","sky":"grey"}"#)?;
    assert!(matches!(line.body, Body::Other));
    Ok(())
}

fn is_damaged(fault: &LineError) -> bool {
    matches!(fault, LineError::Damaged(_))
}

fn is_foreign(fault: &LineError) -> bool {
    *fault == LineError::Foreign
}

fn has_no_object(fault: &LineError) -> bool {
    *fault == LineError::NoObject
}

#[parameterized(
    plain_text = { "a line of another program", has_no_object },
    empty = { "", has_no_object },
    truncated = { &EVENT[..40], is_damaged },
    missing_field = { r#"{"schema":1,"atMs":5,"daemon":"m1","kind":"event","subject":"group/g7"}"#, is_damaged },
    wrong_type = { r#"{"schema":1,"atMs":"five","daemon":"m1","kind":"weather"}"#, is_damaged },
    other_program = { r#"{"level":"info"}"#, is_foreign },
    other_schema_version = { r#"{"schema":2,"atMs":5,"daemon":"m1","kind":"event"}"#, is_foreign },
)]
fn invalid_line_is_classified(text: &str, is_expected: fn(&LineError) -> bool) {
    match parse(text) {
        Ok(line) => panic!("{line:?}"),
        Err(fault) => assert!(is_expected(&fault), "{fault}"),
    }
}
