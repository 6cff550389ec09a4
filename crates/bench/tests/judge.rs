//! The checker is itself tested: each promise is broken on purpose in a ledger or in a caller's record, and
//! must be counted, under its own name and no other.

use dockwood_bench::caller_record::{CallerRecord, CallerResult, judge_text};
use dockwood_bench::commands::StatedOutcomes;
use dockwood_bench::judge::{Frame, judge};
use dockwood_bench::summary::{Counts, percentiles, summarise};
use dockwood_bench::topology::{Preset, Sizes, Topology};
use dockwood_bench::trace::{RequestKind, read_trace, write_trace};
use dockwood_bench::workload::{Shape, Workload, generate};
use dockwood_emulator::LedgerRecord;
use std::path::Path;
use yare::parameterized;

const START: u64 = 100_000;

fn frame() -> Frame {
    Frame { start_ms: START, end_ms: START + 10_000, declared_replicas: 1, list_lag_ms: 1_000, machines: 3 }
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

/// Replica `a` of machines `x` and `y` serves from the start; `z` is spare.
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

fn judged(ledger: Vec<LedgerRecord>, caller: CallerRecord, regressions: u64) -> Counts {
    judge(&ledger, &[caller], &frame(), regressions)
}

#[test]
fn a_run_without_fault_breaks_no_promise() {
    let counts = judged(healthy(), caller(CallerResult::Whole), 0);
    assert!(counts.promises_kept(), "{counts:?}");
    assert_eq!((counts.requests, counts.whole), (1, 1));
    assert_eq!(counts.group_downtime_replica_seconds, 0.0);
    assert_eq!(counts.stranded_machine_seconds, 10.0);
}

fn sabotaged(count: &str) -> Counts {
    let mut ledger = healthy();
    let mut seen = caller(CallerResult::Whole);
    let mut regressions = 0;
    match count {
        "cut" => seen.result = CallerResult::Cut,
        "lost" => seen.result = CallerResult::Lost,
        "mixed" => seen.result = CallerResult::Mixed,
        "doubled" => ledger.push(ended(300, 4, 9)),
        "false_not_run" => {
            seen.result = CallerResult::NotRun;
            seen.told_not_run_ms = vec![START + 400];
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
    judged(ledger, seen, regressions)
}

#[parameterized(
    cut = { "cut" }, lost = { "lost" }, mixed = { "mixed" }, doubled = { "doubled" }, false_not_run = { "false_not_run" },
    two_replicas = { "machine_in_two_replicas" }, missing = { "dispatch_with_missing_machine" },
    regressions = { "revision_regressions" }, leaving = { "late_work_after_leaving" },
)]
fn a_broken_promise_is_counted_under_its_own_name(count: &str) {
    let counts = sabotaged(count);
    let broken: Vec<&str> =
        counts.must_be_zero().iter().filter(|(_, value)| *value > 0).map(|(name, _)| *name).collect();
    assert_eq!(broken, [count]);
}

#[test]
fn what_is_allowed_is_not_counted() {
    let mut ledger = healthy();
    ledger.push(dispatched(2_000, &[("y", 1_500)], &[("x", 1_000)]));
    ledger.push(ended(2_100, 5, 9));
    let mut seen = caller(CallerResult::Whole);
    seen.told_not_run_ms = vec![START + 50];
    assert!(
        judged(ledger, seen, 0).promises_kept(),
        "fresh evidence, a young leaving, a resumed run, an earlier refusal"
    );
}

#[test]
fn a_service_called_twice_is_doubled() {
    let mut seen = caller(CallerResult::Whole);
    (seen.kind, seen.engine_id) = (RequestKind::Service, "s".to_string());
    let call = |at| LedgerRecord::ServiceCalled {
        at_ms: START + at,
        request: "s".to_string(),
        service: "p".to_string(),
        server: "p1".to_string(),
        method: "POST".to_string(),
    };
    assert_eq!(judged(vec![call(1), call(2)], seen.clone(), 0).doubled, 1);
    seen.repeatable = true;
    assert_eq!(judged(vec![call(1), call(2)], seen, 0).doubled, 0);
}

#[test]
fn downtime_and_stranding_follow_the_machines() {
    let mut ledger = healthy();
    ledger.push(changed(4_000, "y", "kill"));
    ledger.push(loaded(6_000, "x", Some("a")));
    let counts = judged(ledger, caller(CallerResult::Whole), 0);
    assert_eq!(counts.group_downtime_replica_seconds, 6.0);
    // One spare for 4 s; then the spare and the survivor for 6 s.
    assert_eq!(counts.stranded_machine_seconds, 4.0 + 12.0);
}

#[parameterized(
    whole = { "one two", CallerResult::Whole }, cut = { "one", CallerResult::Cut }, empty = { "", CallerResult::Cut },
    other = { "two", CallerResult::Mixed }, longer = { "one two three", CallerResult::Mixed },
)]
fn texts_are_told_apart(text: &str, result: CallerResult) {
    assert_eq!(judge_text(text, "one two"), result);
}

#[test]
fn percentiles_are_of_the_samples() {
    let all = percentiles((1..=1_000).map(f64::from));
    assert_eq!(all.count, 1_000);
    assert!(
        (all.p50 - 500.0).abs() < 2.0 && (all.p95 - 950.0).abs() < 2.0 && (all.p99 - 990.0).abs() < 2.0,
        "{all:?}"
    );
    assert_eq!(percentiles(std::iter::empty()).count, 0);
}

#[test]
fn stated_outcomes_that_are_not_met_are_named() {
    let callers = [caller(CallerResult::Whole), caller(CallerResult::Unknown)];
    let summary = summarise("x", judge(&[], &callers, &frame(), 0), 1.0, &callers);
    let stated = StatedOutcomes {
        whole_percent_at_least: Some(60.0),
        unknown_at_most: Some(0),
        first_token_p95_ms_at_most: Some(100.0),
        ..StatedOutcomes::default()
    };
    assert_eq!(stated.unmet(&summary).len(), 2);
    assert_eq!(StatedOutcomes::default().unmet(&summary).len(), 0);
}

fn workload(shape: Shape) -> Workload {
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
    rush = { Shape::DispatchRush }, shift = { Shape::ShiftClose }, market = { Shape::MarketClose }, steady = { Shape::Steady },
)]
fn a_trace_is_the_same_for_the_same_seed_and_survives_its_file(shape: Shape) {
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
fn a_trace_that_goes_back_in_time_is_refused() {
    let topology = Topology::new(Preset::Unidos, Sizes::default(), 1, Path::new("."));
    let mut trace = generate(&topology, &workload(Shape::Steady));
    trace.reverse();
    let folder = tempfile::tempdir().unwrap_or_else(|error| panic!("{error}"));
    let path = folder.path().join("trace.jsonl");
    write_trace(&path, &trace).unwrap_or_else(|error| panic!("{error}"));
    assert!(read_trace(&path).is_err_and(|error| error.to_string().contains(":2:")));
}
