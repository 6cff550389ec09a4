//! What can be read of a log, and why the rest can't.

use dockwood_log_lines::{Body, LineFault, parse};
use yare::parameterized;

const EVENT: &str = r#"{"schema":1,"atMs":5,"daemon":"m1","kind":"event","subject":"group/g7","reason":"Open","message":"","code":1000,"codeName":"Ok","revision":3}"#;

#[test]
fn a_line_is_read_behind_what_a_collector_puts_in_front() -> Result<(), LineFault> {
    let line = parse(&format!("2026-12-02T10:00:00Z host-1 {EVENT}"))?;
    assert_eq!((line.at_ms, line.daemon.as_str()), (5, "m1"));
    let Body::Event(event) = line.body else { panic!("{line:?}") };
    assert_eq!((event.group_epoch(), event.revision), (Some(7), Some(3)));
    Ok(())
}

#[test]
fn a_kind_of_a_later_version_is_passed_over() -> Result<(), LineFault> {
    let line = parse(r#"{"schema":1,"atMs":5,"daemon":"m1","kind":"weather","sky":"grey"}"#)?;
    assert!(matches!(line.body, Body::Other));
    Ok(())
}

fn is_damaged(fault: &LineFault) -> bool {
    matches!(fault, LineFault::Damaged(_))
}

fn is_foreign(fault: &LineFault) -> bool {
    *fault == LineFault::Foreign
}

fn has_no_object(fault: &LineFault) -> bool {
    *fault == LineFault::NoObject
}

#[parameterized(
    text = { "a line of another program", has_no_object },
    empty = { "", has_no_object },
    cut_off = { &EVENT[..40], is_damaged },
    a_field_is_missing = { r#"{"schema":1,"atMs":5,"daemon":"m1","kind":"event","subject":"group/g7"}"#, is_damaged },
    wrong_type = { r#"{"schema":1,"atMs":"five","daemon":"m1","kind":"weather"}"#, is_damaged },
    another_program = { r#"{"level":"info"}"#, is_foreign },
    another_form = { r#"{"schema":2,"atMs":5,"daemon":"m1","kind":"event"}"#, is_foreign },
)]
fn what_is_no_line_of_ours_is_told_apart(text: &str, is_expected: fn(&LineFault) -> bool) {
    match parse(text) {
        Ok(line) => panic!("{line:?}"),
        Err(fault) => assert!(is_expected(&fault), "{fault}"),
    }
}
