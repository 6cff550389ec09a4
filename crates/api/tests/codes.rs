//! Table of result codes: numbers and names are unique, numbers are ascending, and the docs match the table.

use dockwood_api::ResultCode;
use std::collections::BTreeSet;

#[test]
fn numbers_and_names_are_unique_and_numbers_ascend() {
    let numbers: Vec<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    let mut sorted = numbers.clone();
    sorted.sort_unstable();
    sorted.dedup();
    assert_eq!(numbers, sorted);
    let names: BTreeSet<&str> = ResultCode::ALL.iter().map(|code| code.name()).collect();
    assert_eq!(names.len(), numbers.len());
    assert!(ResultCode::ALL.iter().all(|code| ResultCode::from_number(code.number()) == Some(*code)));
}

#[test]
fn docs_list_every_code() {
    let docs = include_str!("../../../docs/RESULT-CODES.md");
    let rows: Vec<&str> = docs.lines().filter(|line| line.starts_with("| ") && line.contains('`')).collect();
    let expected: Vec<String> = ResultCode::ALL
        .iter()
        .map(|code| {
            format!("| {} | `{}` | {} | {} |", code.number(), code.name(), code.http_status(), code.meaning())
        })
        .collect();
    assert_eq!(rows, expected);
}

#[test]
fn only_codes_of_the_2000_family_guarantee_not_run() {
    assert!(ResultCode::QueueFull.is_not_run());
    assert!(!ResultCode::OutcomeUnknown.is_not_run());
    assert!(!ResultCode::Conflict.is_not_run());
}
