//! Tests of the checker: each guarantee is violated in a ledger or in a caller's record, and the violation must be
//! counted under its own name and no other. Also tests the summary, expected outcomes and traces.

use dockwood_bench::caller_record::{CallerRecord, CallerResult, classify_answer};
use dockwood_bench::checker::{RunParameters, check_run};
use dockwood_bench::commands::ExpectedOutcomes;
use dockwood_bench::summary::{Counts, percentiles, summarise};
use dockwood_bench::topology::{Preset, Sizes, Topology};
use dockwood_bench::trace::{RequestKind, read_trace, write_trace};
use dockwood_bench::workload::{LoadShape, Workload, generate};
use dockwood_emulator::LedgerRecord;
use std::path::Path;
use yare::parameterized;

const START: u64 = 100_000;

fn parameters() -> RunParameters {
    RunParameters {
        start_ms: START,
        end_ms: START + 10_000,
        declared_replicas: 1,
        list_lag_ms: 1_000,
        machines: 3,
    }
}

fn caller(result: CallerResult) -> CallerRecord {
    CallerRecord {
        engine_id: "t.r".to_string(),
        kind: RequestKind::Chat,
        tier: 0,
        repeatable: false,
        sent_ms: START,
        ended_ms: START + 500,
        first_token_ms: Some(10.0),
        between_tokens_ms: vec![1.0],
        tokens: 2,
        result,
        code: None,
        told_not_run_ms: Vec::new(),
        attempts: 1,
    }
}

fn loaded(at: u64, server: &str, replica: Option<&str>) -> LedgerRecord {
    let epoch = u64::from(replica.is_some());
    LedgerRecord::MachineLoaded {
        at_ms: START + at,
        server: server.to_string(),
        replica: replica.map(str::to_string),
        epoch,
    }
}

fn changed(at: u64, server: &str, change: &str) -> LedgerRecord {
    LedgerRecord::MachineChanged { at_ms: START + at, server: server.to_string(), change: change.to_string() }
}

fn dispatched(at: u64, missing: &[(&str, u64)], leaving: &[(&str, u64)]) -> LedgerRecord {
    let since = |rows: &[(&str, u64)]| rows.iter().map(|(name, at)| (name.to_string(), START + at)).collect();
    LedgerRecord::Dispatched {
        at_ms: START + at,
        request: "t.r".to_string(),
        replica: "a".to_string(),
        epoch: 1,
        resume_from: 0,
        repeatable: false,
        missing: since(missing),
        leaving: since(leaving),
    }
}

fn ended(at: u64, from: u32, to: u32) -> LedgerRecord {
    LedgerRecord::Ended {
        at_ms: START + at,
        request: "t.r".to_string(),
        replica: "a".to_string(),
        epoch: 1,
        from,
        to,
        finished: true,
    }
}

/// A ledger in which replica `a` of machines `x` and `y` serves from the start and `z` is spare.
fn healthy() -> Vec<LedgerRecord> {
    let members = vec!["x".to_string(), "y".to_string()];
    vec![
        loaded(0, "x", Some("a")),
        LedgerRecord::GroupFormed { at_ms: START, replica: "a".to_string(), epoch: 1, members },
        loaded(0, "y", Some("a")),
        dispatched(100, &[], &[]),
        ended(200, 0, 5),
    ]
}

fn check(ledger: Vec<LedgerRecord>, caller: CallerRecord, regressions: u64) -> Counts {
    check_run(&ledger, &[caller], &parameters(), regressions)
}

#[test]
fn a_run_without_faults_violates_no_guarantee() {
    let counts = check(healthy(), caller(CallerResult::Whole), 0);
    assert!(counts.guarantees_hold(), "{counts:?}");
    assert_eq!((counts.requests, counts.whole), (1, 1));
    assert_eq!(counts.group_downtime_replica_seconds, 0.0);
    assert_eq!(counts.stranded_machine_seconds, 10.0);
}

fn counts_with_violation(count: &str) -> Counts {
    let mut ledger = healthy();
    let mut record = caller(CallerResult::Whole);
    let mut regressions = 0;
    match count {
        "cut" => record.result = CallerResult::Cut,
        "lost" => record.result = CallerResult::Lost,
        "mixed" => record.result = CallerResult::Mixed,
        "doubled" => ledger.push(ended(300, 4, 9)),
        "false_not_run" => {
            record.result = CallerResult::NotRun;
            record.told_not_run_ms = vec![START + 400];
        }
        "machine_in_two_replicas" => {
            ledger.push(loaded(250, "y", Some("b")));
            ledger.push(dispatched(300, &[], &[]));
        }
        "dispatch_with_missing_machine" => ledger.push(dispatched(5_000, &[("y", 1_000)], &[])),
        "revision_regressions" => regressions = 1,
        "late_work_after_leaving" => ledger.push(dispatched(9_000, &[], &[("y", 1_000)])),
        other => panic!("{other}"),
    }
    check(ledger, record, regressions)
}

#[parameterized(
    cut = { "cut" }, lost = { "lost" }, mixed = { "mixed" }, doubled = { "doubled" }, false_not_run = { "false_not_run" },
    two_replicas = { "machine_in_two_replicas" }, missing = { "dispatch_with_missing_machine" },
    regressions = { "revision_regressions" }, leaving = { "late_work_after_leaving" },
)]
fn a_violation_is_counted_under_its_own_name(count: &str) {
    let counts = counts_with_violation(count);
    let violated: Vec<&str> =
        counts.must_be_zero().iter().filter(|(_, value)| *value > 0).map(|(name, _)| *name).collect();
    assert_eq!(violated, [count]);
}

#[test]
fn behaviour_within_the_allowances_is_not_counted() {
    let mut ledger = healthy();
    ledger.push(dispatched(2_000, &[("y", 1_500)], &[("x", 1_000)]));
    ledger.push(ended(2_100, 5, 9));
    let mut record = caller(CallerResult::Whole);
    record.told_not_run_ms = vec![START + 50];
    assert!(
        check(ledger, record, 0).guarantees_hold(),
        "recent evidence, a machine that started to leave recently, a resumed execution, an earlier refusal"
    );
}

#[test]
fn a_non_repeatable_service_call_made_twice_is_counted_as_doubled() {
    let mut record = caller(CallerResult::Whole);
    (record.kind, record.engine_id) = (RequestKind::Service, "s".to_string());
    let call = |at| LedgerRecord::ServiceCalled {
        at_ms: START + at,
        request: "s".to_string(),
        service: "p".to_string(),
        server: "p1".to_string(),
        method: "POST".to_string(),
    };
    assert_eq!(check(vec![call(1), call(2)], record.clone(), 0).doubled, 1);
    record.repeatable = true;
    assert_eq!(check(vec![call(1), call(2)], record, 0).doubled, 0);
}

#[test]
fn downtime_and_stranded_time_follow_the_machine_states() {
    let mut ledger = healthy();
    ledger.push(changed(4_000, "y", "kill"));
    ledger.push(loaded(6_000, "x", Some("a")));
    let counts = check(ledger, caller(CallerResult::Whole), 0);
    assert_eq!(counts.group_downtime_replica_seconds, 6.0);
    // One spare machine for 4 s, then the spare and the surviving member for 6 s.
    assert_eq!(counts.stranded_machine_seconds, 4.0 + 12.0);
}

#[parameterized(
    whole = { "one two", CallerResult::Whole }, cut = { "one", CallerResult::Cut }, empty = { "", CallerResult::Cut },
    other = { "two", CallerResult::Mixed }, longer = { "one two three", CallerResult::Mixed },
)]
fn answers_are_classified(text: &str, result: CallerResult) {
    assert_eq!(classify_answer(text, "one two"), result);
}

#[test]
fn percentiles_match_the_samples() {
    let all = percentiles((1..=1_000).map(f64::from));
    assert_eq!(all.count, 1_000);
    assert!(
        (all.p50 - 500.0).abs() < 2.0 && (all.p95 - 950.0).abs() < 2.0 && (all.p99 - 990.0).abs() < 2.0,
        "{all:?}"
    );
    assert_eq!(percentiles(std::iter::empty()).count, 0);
}

#[test]
fn unmet_expected_outcomes_are_reported() {
    let callers = [caller(CallerResult::Whole), caller(CallerResult::Unknown)];
    let summary = summarise("x", check_run(&[], &callers, &parameters(), 0), 1.0, &callers);
    let expected = ExpectedOutcomes {
        whole_percent_at_least: Some(60.0),
        unknown_at_most: Some(0),
        first_token_p95_ms_at_most: Some(100.0),
        ..ExpectedOutcomes::default()
    };
    assert_eq!(expected.unmet(&summary).len(), 2);
    assert_eq!(ExpectedOutcomes::default().unmet(&summary).len(), 0);
}

fn workload(shape: LoadShape) -> Workload {
    Workload {
        shape,
        rate: 50.0,
        seconds: 20.0,
        service_percent: 20,
        once_percent: 30,
        deadline_ms: 1_000,
        seed: 7,
    }
}

#[parameterized(
    rush = { LoadShape::DispatchRush }, shift = { LoadShape::ShiftClose }, market = { LoadShape::MarketClose }, steady = { LoadShape::Steady },
)]
fn a_trace_is_deterministic_and_survives_a_file_round_trip(shape: LoadShape) {
    let topology = Topology::new(Preset::Brokerage, Sizes::default(), 1, Path::new("."));
    let trace = generate(&topology, &workload(shape));
    assert_eq!(trace, generate(&topology, &workload(shape)));
    assert!((700..1_400).contains(&trace.len()), "{} requests at 50/s for 20 s", trace.len());
    let folder = tempfile::tempdir().unwrap_or_else(|error| panic!("{error}"));
    let path = folder.path().join("trace.jsonl");
    write_trace(&path, &trace).unwrap_or_else(|error| panic!("{error}"));
    assert_eq!(read_trace(&path).ok(), Some(trace));
}

#[test]
fn a_trace_with_decreasing_arrival_times_is_rejected() {
    let topology = Topology::new(Preset::Unidos, Sizes::default(), 1, Path::new("."));
    let mut trace = generate(&topology, &workload(LoadShape::Steady));
    trace.reverse();
    let folder = tempfile::tempdir().unwrap_or_else(|error| panic!("{error}"));
    let path = folder.path().join("trace.jsonl");
    write_trace(&path, &trace).unwrap_or_else(|error| panic!("{error}"));
    assert!(read_trace(&path).is_err_and(|error| error.to_string().contains(":2:")));
}
