//! How crash reports are aggregated, and how requests are quarantined and released.

use dockwood_api::ResultCode;
use dockwood_api::gateway::{Fingerprint, InstanceState, RequestIdentity};
use dockwood_state::{
    Command, CommandBody, CrashReport, GatewayCommand, GatewayTables, InstanceRow, Outcome, State,
    SuspectAttempt, SuspicionStatus, TrialRequest,
};

const MINUTE_MS: u64 = 60_000;
/// Number of crashes in a single zone after which a request is quarantined.
const CRASHES_IN_ONE_ZONE: usize = 5;
/// Time after which a first quarantine has ended and its probation is still running.
const PROBATION_MS: u64 = 11 * MINUTE_MS;
/// Default time between crashes.
const CRASH_INTERVAL_MS: u64 = 3_000;

/// The fingerprint of a request.
fn fingerprint(name: &str) -> Fingerprint {
    let identity = RequestIdentity {
        tenant: Some("tenant"),
        method: "POST",
        host: "h",
        path: "/",
        body: name.as_bytes(),
    };
    Fingerprint::of(&identity)
}

/// The gateway's tables at a simulated time.
#[derive(Default)]
struct Harness {
    tables: GatewayTables,
    now_ms: u64,
    trials: u64,
    /// All commands that were applied, in order.
    commands: Vec<GatewayCommand>,
}

impl Harness {
    fn apply(&mut self, command: GatewayCommand) -> Outcome {
        let outcome = self.tables.apply(&command).outcome;
        self.commands.push(command);
        outcome
    }

    fn register(&mut self, id: &str, state: InstanceState) {
        let row = InstanceRow {
            started_ms: None,
            id: id.to_string(),
            service: "s".to_string(),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], id.len() as u16)),
            zone: "z".to_string(),
            slots: 4,
            state,
            is_cold: false,
            domain: Some("d".to_string()),
        };
        self.apply(GatewayCommand::Register(row));
    }

    fn report_crash(&mut self, daemon: &str, instance: &str, zone: &str, requests: &[&str]) {
        let attempt = |name: &&str| SuspectAttempt {
            fingerprint: fingerprint(name),
            request: format!("try-{name}"),
            tenant: Some("tenant".to_string()),
            route: "route".to_string(),
        };
        let (instance, zone, daemon) = (instance.to_string(), zone.to_string(), daemon.to_string());
        let tries = requests.iter().map(attempt).collect();
        self.apply(GatewayCommand::ServerEnded(CrashReport {
            instance,
            zone,
            at_ms: self.now_ms,
            daemon,
            tries,
        }));
    }

    /// Reports a crash of a server that was running these requests, and advances the time.
    fn crash(&mut self, instance: &str, zone: &str, requests: &[&str]) {
        self.report_crash("entry", instance, zone, requests);
        self.now_ms += CRASH_INTERVAL_MS;
    }

    fn status(&self, name: &str) -> SuspicionStatus {
        self.tables.suspicion.status(fingerprint(name), self.now_ms)
    }

    fn begin_trial(&mut self, name: &str, instance: &str, may_share: bool) -> Outcome {
        self.trials += 1;
        let (fingerprint, trial, at_ms) = (fingerprint(name), self.trials, self.now_ms);
        let instance = instance.to_string();
        self.apply(GatewayCommand::BeginTrial(TrialRequest {
            fingerprint,
            trial,
            instance,
            may_share,
            at_ms,
        }))
    }

    fn clear(&mut self, name: &str) {
        let reason = String::new();
        self.apply(GatewayCommand::ClearRequest { fingerprint: fingerprint(name), reason });
    }
}

fn refusal(outcome: Outcome) -> Option<ResultCode> {
    match outcome {
        Outcome::Refused(error) => Some(error.code()),
        _ => None,
    }
}

#[test]
fn the_third_crash_in_more_than_one_zone_quarantines_a_request() {
    let mut harness = Harness::default();
    harness.crash("a", "z", &["fatal", "one"]);
    harness.crash("b", "y", &["fatal", "two"]);
    assert_eq!(harness.status("fatal"), SuspicionStatus::Suspect);
    harness.crash("c", "z", &["fatal", "three"]);
    assert_eq!(harness.status("fatal"), SuspicionStatus::Quarantined);
    for name in ["one", "two", "three"] {
        assert_eq!(
            harness.status(name),
            SuspicionStatus::Unsuspected,
            "{name} only shared one server with it"
        );
    }
    let row = &harness.tables.suspicion.quarantined[&fingerprint("fatal")];
    assert_eq!(row.evidence.len(), 3);
    assert_eq!(row.evidence.iter().filter(|evidence| evidence.request == "try-fatal").count(), 3);
}

/// Guards against quarantining requests that are moved within a zone in which a rack fails one machine at a time.
#[test]
fn crashes_in_one_zone_quarantine_only_after_two_more() {
    let mut harness = Harness::default();
    for (number, instance) in ["a", "b", "c", "d"].into_iter().enumerate() {
        harness.crash(instance, "z", &["moved"]);
        assert_eq!(harness.status("moved"), SuspicionStatus::Suspect, "after {} servers", number + 1);
    }
    harness.crash("e", "z", &["moved"]);
    assert_eq!(harness.status("moved"), SuspicionStatus::Quarantined);
}

#[test]
fn a_crash_counts_once_whoever_reports_it_and_however_often() {
    let mut harness = Harness::default();
    for daemon in ["entry-1", "entry-2", "entry-1"] {
        harness.report_crash(daemon, "a", "z", &["fatal"]);
        harness.report_crash(daemon, "b", "y", &["fatal"]);
    }
    assert_eq!(harness.status("fatal"), SuspicionStatus::Suspect);
    assert_eq!(harness.tables.suspicion.attributed_crashes(fingerprint("fatal")).len(), 2);
}

#[test]
fn a_new_attempt_that_crashes_the_same_instance_shortly_after_counts_as_another_crash() {
    let mut harness = Harness::default();
    for number in 0..CRASHES_IN_ONE_ZONE {
        let attempt = SuspectAttempt {
            fingerprint: fingerprint("fatal"),
            request: format!("try-{number}"),
            tenant: None,
            route: "route".to_string(),
        };
        let (instance, zone, daemon) = ("a".to_string(), "z".to_string(), "entry".to_string());
        let report = CrashReport { instance, zone, at_ms: harness.now_ms, daemon, tries: vec![attempt] };
        // A repetition of the same report refers to the same crash, whenever it arrives.
        harness.apply(GatewayCommand::ServerEnded(report.clone()));
        harness.apply(GatewayCommand::ServerEnded(report));
        harness.now_ms += 700;
    }
    assert_eq!(harness.status("fatal"), SuspicionStatus::Quarantined);
}

/// A server may restart under the same id.
#[test]
fn a_later_crash_of_the_same_instance_counts_separately() {
    let mut harness = Harness::default();
    for zone in ["z", "y", "z"] {
        harness.crash("a", zone, &["fatal"]);
    }
    assert_eq!(harness.status("fatal"), SuspicionStatus::Quarantined);
}

#[test]
fn requests_that_only_shared_a_server_with_a_stronger_suspect_are_not_suspected() {
    let mut harness = Harness::default();
    harness.crash("a", "z", &["fatal", "one"]);
    assert_eq!(harness.status("one"), SuspicionStatus::Suspect, "one crash does not distinguish them");
    harness.crash("b", "y", &["fatal", "two"]);
    assert_eq!(harness.status("one"), SuspicionStatus::Unsuspected);
    assert_eq!(harness.status("two"), SuspicionStatus::Unsuspected);
    assert_eq!(harness.status("fatal"), SuspicionStatus::Suspect);
}

#[test]
fn a_complete_response_clears_a_request() {
    let mut harness = Harness::default();
    harness.crash("a", "z", &["innocent"]);
    harness.crash("b", "y", &["innocent"]);
    harness.clear("innocent");
    assert_eq!(harness.status("innocent"), SuspicionStatus::Unsuspected);
    harness.crash("c", "z", &["innocent"]);
    assert_eq!(
        harness.status("innocent"),
        SuspicionStatus::Suspect,
        "crashes before the clearance do not count"
    );
}

#[test]
fn a_suspect_is_tried_on_one_server_at_a_time() {
    let mut harness = Harness::default();
    harness.crash("a", "z", &["fatal"]);
    assert_eq!(refusal(harness.begin_trial("fatal", "b", false)), None);
    assert_eq!(refusal(harness.begin_trial("fatal", "c", false)), Some(ResultCode::TrialUnderWay));
    // The server on trial crashes, which ends the trial.
    harness.crash("b", "y", &["fatal"]);
    assert_eq!(refusal(harness.begin_trial("fatal", "c", false)), None);
    // The trial of a daemon that failed expires.
    harness.now_ms += CRASH_INTERVAL_MS;
    assert_eq!(refusal(harness.begin_trial("fatal", "d", false)), None);
}

#[test]
fn a_trial_requested_again_after_a_lost_reply_is_granted_again() {
    let mut harness = Harness::default();
    harness.crash("a", "z", &["fatal"]);
    assert_eq!(refusal(harness.begin_trial("fatal", "b", false)), None);
    harness.trials -= 1;
    assert_eq!(refusal(harness.begin_trial("fatal", "b", false)), None);
}

#[test]
fn a_trial_that_ends_without_a_result_allows_the_next() {
    let mut harness = Harness::default();
    harness.crash("a", "z", &["fatal"]);
    harness.begin_trial("fatal", "b", false);
    let trial = harness.trials;
    harness.apply(GatewayCommand::EndTrial { fingerprint: fingerprint("fatal"), trial: trial + 1 });
    assert_eq!(
        refusal(harness.begin_trial("fatal", "c", false)),
        Some(ResultCode::TrialUnderWay),
        "the end of another trial has no effect"
    );
    harness.apply(GatewayCommand::EndTrial { fingerprint: fingerprint("fatal"), trial });
    assert_eq!(refusal(harness.begin_trial("fatal", "c", false)), None);
}

#[test]
fn suspects_share_a_server_only_if_allowed_and_involved_in_one_crash_each() {
    let mut harness = Harness::default();
    harness.crash("a", "z", &["one", "two"]);
    assert_eq!(refusal(harness.begin_trial("one", "b", false)), None);
    assert_eq!(refusal(harness.begin_trial("two", "b", false)), Some(ResultCode::ServerOnTrial));
    assert_eq!(refusal(harness.begin_trial("two", "b", true)), None);
    harness.crash("b", "y", &["one", "two"]);
    assert_eq!(refusal(harness.begin_trial("one", "c", true)), None);
    assert_eq!(refusal(harness.begin_trial("two", "c", true)), Some(ResultCode::ServerOnTrial));
    assert!(harness.tables.suspicion.has_dangerous_trial("c"));
    assert!(!harness.tables.suspicion.has_dangerous_trial("b"));
}

#[test]
fn a_crash_during_probation_doubles_the_quarantine() {
    let mut harness = Harness::default();
    for (instance, zone) in [("a", "z"), ("b", "y"), ("c", "z")] {
        harness.crash(instance, zone, &["fatal"]);
    }
    assert_eq!(refusal(harness.begin_trial("fatal", "d", false)), Some(ResultCode::RequestQuarantined));
    let first = harness.tables.suspicion.quarantined[&fingerprint("fatal")].clone();
    harness.now_ms += PROBATION_MS;
    assert_eq!(harness.status("fatal"), SuspicionStatus::Suspect);
    assert_eq!(refusal(harness.begin_trial("fatal", "d", false)), None);
    harness.crash("d", "z", &["fatal", "beside"]);
    assert_eq!(harness.status("fatal"), SuspicionStatus::Quarantined);
    assert_eq!(harness.status("beside"), SuspicionStatus::Unsuspected, "the cause of the crash is known");
    let second = &harness.tables.suspicion.quarantined[&fingerprint("fatal")];
    assert_eq!(second.period.duration_ms(), 2 * first.period.duration_ms());
}

/// Attempts that were in flight when the request was quarantined are no new evidence.
#[test]
fn further_crashes_during_a_quarantine_do_not_extend_it() {
    let mut harness = Harness::default();
    for (instance, zone) in [("a", "z"), ("b", "y"), ("c", "z")] {
        harness.crash(instance, zone, &["fatal"]);
    }
    let until = harness.tables.suspicion.quarantined[&fingerprint("fatal")].period.until_ms;
    harness.crash("d", "y", &["fatal"]);
    let row = &harness.tables.suspicion.quarantined[&fingerprint("fatal")];
    assert_eq!((row.period.until_ms, row.period.offences, row.evidence.len()), (until, 1, 4));
}

#[test]
fn a_release_or_a_complete_response_ends_a_quarantine() {
    let mut harness = Harness::default();
    for (instance, zone) in [("a", "z"), ("b", "y"), ("c", "z")] {
        harness.crash(instance, zone, &["fatal"]);
    }
    harness.clear("fatal");
    assert_eq!(harness.status("fatal"), SuspicionStatus::Unsuspected);
    assert!(harness.tables.suspicion.quarantined.is_empty());
}

/// A server that shuts down as planned may end before its requests are complete.
#[test]
fn the_end_of_a_draining_or_removed_server_is_no_evidence() {
    let mut harness = Harness::default();
    harness.register("a", InstanceState::Draining);
    harness.crash("a", "z", &["innocent"]);
    assert_eq!(harness.status("innocent"), SuspicionStatus::Unsuspected);
    harness.register("b", InstanceState::Ready);
    harness.apply(GatewayCommand::Remove { id: "b".to_string() });
    harness.crash("b", "z", &["innocent"]);
    assert_eq!(harness.status("innocent"), SuspicionStatus::Unsuspected);
}

/// Non-voters receive single commands or a copy of the state, and reach the same result.
#[test]
fn non_voters_reach_the_same_verdicts_as_voters() {
    let mut voter = State::default();
    let mut non_voter = State::default();
    let mut harness = Harness::default();
    harness.register("leaving", InstanceState::Draining);
    for round in 0..40_u64 {
        let (instance, zone) = (format!("a-{round}"), if round % 3 == 0 { "z" } else { "y" });
        let instance = if round % 7 == 0 { "leaving".to_string() } else { instance };
        let names = [format!("fatal-{}", round % 4), format!("beside-{round}")];
        harness.crash(&instance, zone, &[&names[0], &names[1]]);
        harness.begin_trial(&names[0], "b", true);
        if round % 11 == 10 {
            harness.clear(&names[0]);
        }
    }
    for command in std::mem::take(&mut harness.commands) {
        let command = Command { at_ms: 1, body: CommandBody::Gateway(command) };
        voter.apply(&command);
        if let Some(sent) = command.for_non_voters(&voter.tables) {
            non_voter.apply(&sent);
        }
    }
    let (voter, non_voter) = (voter.tables.gateway.suspicion, non_voter.tables.gateway.suspicion);
    assert_eq!(voter.crashes, non_voter.crashes);
    assert_eq!(voter.quarantined, non_voter.quarantined);
    assert!(!voter.quarantined.is_empty() && !voter.crashes.is_empty());
}

#[test]
fn old_evidence_and_probations_expire() {
    let mut harness = Harness::default();
    harness.crash("a", "z", &["innocent"]);
    for (instance, zone) in [("b", "z"), ("c", "y"), ("d", "z")] {
        harness.crash(instance, zone, &["fatal"]);
    }
    assert!(!harness.tables.suspicion.has_expired(harness.now_ms));
    harness.now_ms += 2 * PROBATION_MS;
    assert!(harness.tables.suspicion.has_expired(harness.now_ms));
    harness.apply(GatewayCommand::ExpireSuspicions { at_ms: harness.now_ms });
    assert_eq!(harness.status("innocent"), SuspicionStatus::Unsuspected);
    assert_eq!(harness.status("fatal"), SuspicionStatus::Unsuspected);
    assert!(harness.tables.suspicion.crashes.is_empty());
}

/// Guards against unbounded growth when a caller keeps sending new requests that crash servers; the oldest evidence is
/// evicted first.
#[test]
fn the_suspicion_table_is_bounded() {
    let mut harness = Harness::default();
    for number in 0..3_000_u32 {
        let name = format!("fatal-{number}");
        let many: Vec<String> = (0..20).map(|other| format!("beside-{number}-{other}")).collect();
        let mut requests: Vec<&str> = many.iter().map(String::as_str).collect();
        requests.push(&name);
        harness.crash(&format!("a-{number}"), "z", &requests);
        for zone in ["y", "z"].iter().take(2 * (number as usize % 2)) {
            harness.crash(&format!("{zone}-{number}"), zone, &[&name]);
        }
    }
    assert!(harness.tables.suspicion.crashes.len() <= 256, "{}", harness.tables.suspicion.crashes.len());
    assert!(harness.tables.suspicion.quarantined.len() <= 1_024);
    assert_eq!(harness.status("fatal-2999"), SuspicionStatus::Quarantined, "the newest is retained");
    assert_eq!(harness.status("fatal-1"), SuspicionStatus::Unsuspected, "the oldest is evicted");
}

#[test]
fn encoded_states_contain_suspicions_and_quarantines() {
    let mut harness = Harness::default();
    harness.crash("a", "z", &["innocent"]);
    for (instance, zone) in [("b", "z"), ("c", "y"), ("d", "z")] {
        harness.crash(instance, zone, &["fatal"]);
    }
    let mut state = State::default();
    state.tables.gateway = harness.tables;
    for bytes in [state.encode(), state.encode_for_non_voters()] {
        let decoded = State::decode(&bytes).unwrap_or_else(|error| panic!("{error}"));
        let suspicion = &decoded.tables.gateway.suspicion;
        assert_eq!(suspicion.status(fingerprint("fatal"), harness.now_ms), SuspicionStatus::Quarantined);
        assert_eq!(suspicion.status(fingerprint("innocent"), harness.now_ms), SuspicionStatus::Suspect);
    }
}

/// A state written by the version that had no suspicion table; its first byte is the format version.
#[test]
fn a_state_of_the_format_without_suspicions_is_readable() {
    const VERSION_WITHOUT_SUSPICIONS: u8 = 3;
    let mut bytes = State::default().encode();
    // An empty suspicion table and the empty start times take four bytes.
    bytes.truncate(bytes.len() - 4);
    bytes[0] = VERSION_WITHOUT_SUSPICIONS;
    assert_eq!(State::decode(&bytes), Ok(State::default()));
}
