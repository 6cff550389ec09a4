//! How parts of prompts are suspected, quarantined and released.

use dockwood_api::gateway::{Fingerprint, PartSet, PromptPart, RequestIdentity};
use dockwood_state::{
    Command, CommandBody, CrashHorizon, CrashReport, GatewayCommand, State, SuspectAttempt, SuspectPrompt,
    SuspicionStatus,
};

const MINUTE_MS: u64 = 60_000;
/// Time between two crashes.
const CRASH_INTERVAL_MS: u64 = 3_000;
const ZONES: [&str; 2] = ["y", "z"];

fn part(name: &str) -> PromptPart {
    PromptPart::from_id(name)
}

fn fingerprint(name: &str) -> Fingerprint {
    let body = name.as_bytes();
    Fingerprint::of(&RequestIdentity { tenant: Some("t"), method: "POST", host: "h", path: "/", body })
}

/// A voter and a non-voter that apply the same commands.
#[derive(Default)]
struct Harness {
    voter: State,
    non_voter: State,
    now_ms: u64,
    servers: u64,
    /// Number of the newest crash that responses would have cleared by now.
    clearable: u64,
}

impl Harness {
    fn apply(&mut self, command: GatewayCommand) {
        let command = Command { at_ms: self.now_ms, body: CommandBody::Gateway(command) };
        self.voter.apply(&command);
        if let Some(sent) = command.for_non_voters(&self.voter.tables) {
            self.non_voter.apply(&sent);
        }
        let [of_voter, of_non_voter] = [&self.voter, &self.non_voter].map(|state| &state.tables.gateway);
        assert_eq!(of_voter.prompt_suspicion, of_non_voter.prompt_suspicion);
    }

    fn last_crash(&self) -> u64 {
        self.voter.tables.gateway.prompt_suspicion.last_crash
    }

    /// Reports that a daemon had these prompts, each a list of shared parts, at a server that crashed. The daemon sent them
    /// when it knew of the crash `known_crash`.
    fn report(&mut self, daemon: &str, server: u64, known_crash: u64, prompts: &[&[&str]]) {
        let instance = format!("server-{server}");
        let request = |index: usize| format!("{daemon}-{server}-{index}");
        let prompt = |(index, names): (usize, &&[&str])| SuspectPrompt {
            fingerprint: fingerprint(&request(index)),
            request: request(index),
            parts: names.iter().map(|name| part(name)).collect(),
            known_crash,
        };
        let attempt = |index: usize| SuspectAttempt {
            fingerprint: fingerprint(&request(index)),
            request: request(index),
            tenant: Some("t".to_string()),
            route: "r".to_string(),
        };
        let report = CrashReport {
            instance,
            zone: ZONES[server as usize % ZONES.len()].to_string(),
            at_ms: self.now_ms,
            daemon: daemon.to_string(),
            tries: (0..prompts.len()).map(attempt).collect(),
        };
        let prompts = prompts.iter().enumerate().map(prompt).collect();
        self.apply(GatewayCommand::ServerCrashed { report, prompts });
    }

    /// A server crashes that was running these prompts, all of them sent after the crash before was known.
    fn crash(&mut self, prompts: &[&[&str]]) {
        self.servers += 1;
        self.report("entry", self.servers, self.last_crash(), prompts);
        self.now_ms += CRASH_INTERVAL_MS;
        self.clearable = self.last_crash();
    }

    /// Servers crash at the same moment.
    fn crash_together(&mut self, servers: u64, prompts: &[&[&str]]) {
        let known_crash = self.last_crash();
        for _ in 0..servers {
            self.servers += 1;
            self.report("entry", self.servers, known_crash, prompts);
        }
        self.now_ms += CRASH_INTERVAL_MS;
        self.clearable = self.last_crash();
    }

    fn respond(&mut self, names: &[&str]) {
        let parts = names.iter().map(|name| part(name)).collect();
        let (known_crash, at_ms) = (self.last_crash(), self.now_ms);
        self.apply(GatewayCommand::RecordResponse { parts, known_crash, daemon: "entry".to_string(), at_ms });
    }

    /// Quarantines the parts to which the crashes are attributed, and returns their names.
    fn decide(&mut self) -> Vec<String> {
        let table = &self.voter.tables.gateway.prompt_suspicion;
        let horizon = CrashHorizon { reported: table.last_crash, clearable: self.clearable };
        let sets = table.parts_to_quarantine(horizon);
        let names = sets.iter().map(PartSet::to_string).collect();
        for parts in sets {
            self.apply(GatewayCommand::QuarantineParts { parts, at_ms: self.now_ms });
        }
        names
    }

    fn status(&self, name: &str) -> SuspicionStatus {
        self.non_voter.tables.gateway.prompt_suspicion.status(&[part(name)], self.now_ms)
    }

    fn needs_responses(&self, name: &str) -> bool {
        let table = &self.non_voter.tables.gateway.prompt_suspicion;
        !table.parts_that_need_responses(&[part(name)]).is_empty()
    }

    /// Four crashes under the part `bad`, after which it is quarantined.
    fn quarantine_bad_part(&mut self) {
        for number in 0..4 {
            let other = format!("other-{number}");
            self.crash(&[&["system", "bad"], &["system", &other]]);
            self.respond(&["system"]);
        }
        assert_eq!(self.decide(), ["bad"]);
    }
}

#[test]
fn a_part_is_quarantined_before_a_fifth_server_crashes() {
    let mut harness = Harness::default();
    for number in 0..3 {
        let own = format!("other-{number}");
        harness.crash(&[&["system", "bad"], &["system", &own]]);
        harness.respond(&["system"]);
        assert_eq!(harness.decide(), [""; 0], "after {} crashes", number + 1);
        assert_eq!(harness.status("bad"), SuspicionStatus::Unsuspected);
    }
    harness.crash(&[&["system", "bad"]]);
    assert_eq!(harness.decide(), ["bad"]);
    assert_eq!(harness.status("bad"), SuspicionStatus::Quarantined);
    assert_eq!(harness.status("system"), SuspicionStatus::Unsuspected);
}

/// A zone that fails server by server must not lead to a quarantine as early.
#[test]
fn crashes_in_one_zone_count_less() {
    let mut harness = Harness { clearable: 1, ..Harness::default() };
    for server in [2, 4, 6, 8] {
        harness.report("entry", server, harness.last_crash(), &[&["bad"]]);
        assert_eq!(harness.decide(), [""; 0]);
    }
    harness.report("entry", 10, harness.last_crash(), &[&["bad"]]);
    assert_eq!(harness.decide(), ["bad"]);
}

/// A daemon submits a report again if it has not learned that it was applied.
#[test]
fn a_report_that_is_submitted_again_adds_nothing() {
    let mut harness = Harness::default();
    for _ in 0..5 {
        harness.report("entry", 1, 0, &[&["system", "bad"]]);
    }
    let evidence = harness.voter.tables.gateway.prompt_suspicion.evidence_against(&part("bad"), u64::MAX);
    assert_eq!((evidence.crashes, evidence.attempts, evidence.requests), (1, 1, 1));
}

#[test]
fn servers_that_fail_at_the_same_moment_are_one_coincidence() {
    let mut harness = Harness::default();
    harness.crash_together(20, &[&["system", "a"], &["system", "b"]]);
    assert!(!harness.needs_responses("system"), "one failure causes no reports");
    harness.crash_together(20, &[&["system", "a"], &["system", "b"]]);
    assert!(harness.needs_responses("system"));
    assert_eq!(harness.decide(), [""; 0]);
}

/// Requests are sent at a high rate, so that several are running when the first server crashes.
#[test]
fn a_part_is_quarantined_if_some_of_its_crashes_overlap() {
    let mut harness = Harness::default();
    harness.crash_together(3, &[&["system", "bad"]]);
    harness.crash(&[&["system", "bad"]]);
    harness.respond(&["system"]);
    assert_eq!(harness.decide(), [""; 0]);
    harness.crash(&[&["system", "bad"]]);
    harness.respond(&["system"]);
    assert_eq!(harness.decide(), ["bad"]);
}

#[test]
fn a_part_with_complete_responses_between_its_crashes_is_not_quarantined() {
    let mut harness = Harness::default();
    for _ in 0..20 {
        harness.crash(&[&["system", "popular"]]);
        harness.respond(&["popular", "system"]);
        assert_eq!(harness.decide(), [""; 0]);
    }
}

/// While most servers are down, no response clears the part that all requests share. It was running several times on each
/// server, and the part that crashes them once.
#[test]
fn a_popular_part_without_responses_is_not_quarantined_for_the_crashes_of_another_one() {
    let mut harness = Harness::default();
    for number in 0..4 {
        let [first, second] = [0, 1].map(|index| format!("other-{number}-{index}"));
        harness.crash(&[&["system", "bad"], &["system", &first], &["system", &second]]);
    }
    assert_eq!(harness.decide(), ["bad"]);
    assert_eq!(harness.decide(), [""; 0], "the crashes are explained");
}

#[test]
fn two_parts_that_crash_servers_in_turn_are_both_quarantined() {
    let mut harness = Harness::default();
    let mut quarantined = Vec::new();
    // Each of them crashes servers in one zone only; the part that they share does so in both.
    for number in 0..5 {
        let [first, second] = [0, 1].map(|index| format!("other-{number}-{index}"));
        harness.crash(&[&["system", "bad"], &["system", &first]]);
        harness.crash(&[&["system", "worse"], &["system", &first], &["system", &second]]);
        quarantined.extend(harness.decide());
    }
    quarantined.sort();
    assert_eq!(quarantined, ["bad", "worse"]);
}

/// The daemons that had sent the other requests to a server report its crash as well, before or after the quarantine.
#[test]
fn requests_beside_a_quarantined_part_are_not_suspected() {
    let mut harness = Harness::default();
    harness.quarantine_bad_part();
    harness.report("first", 50, harness.last_crash(), &[&["system", "sound"]]);
    harness.report("second", 50, harness.last_crash(), &[&["system", "bad"]]);
    harness.report("third", 50, harness.last_crash(), &[&["system", "sound"]]);
    let tables = &harness.voter.tables.gateway;
    assert_eq!(tables.suspicion.suspect_count(), 0);
    assert_eq!(tables.prompt_suspicion.evidence_against(&part("sound"), u64::MAX).crashes, 0);
}

#[test]
fn a_part_that_was_quarantined_by_mistake_is_released_by_as_many_responses_as_crashes() {
    let mut harness = Harness::default();
    harness.quarantine_bad_part();
    for _ in 0..3 {
        harness.respond(&["bad"]);
        assert_eq!(harness.status("bad"), SuspicionStatus::Quarantined);
    }
    harness.respond(&["bad"]);
    assert_eq!(harness.status("bad"), SuspicionStatus::Unsuspected);
}

#[test]
fn a_part_on_probation_is_released_by_a_response_and_quarantined_for_longer_by_a_crash() {
    let mut harness = Harness::default();
    harness.quarantine_bad_part();
    harness.now_ms += MINUTE_MS;
    assert_eq!(harness.status("bad"), SuspicionStatus::Suspect);
    harness.crash(&[&["system", "bad"]]);
    assert_eq!(harness.status("bad"), SuspicionStatus::Quarantined);
    harness.now_ms += MINUTE_MS;
    assert_eq!(harness.status("bad"), SuspicionStatus::Quarantined);
    harness.now_ms += MINUTE_MS;
    assert_eq!(harness.status("bad"), SuspicionStatus::Suspect);
    harness.respond(&["bad"]);
    assert_eq!(harness.status("bad"), SuspicionStatus::Unsuspected);
}

#[test]
fn a_released_part_has_no_evidence_against_it() {
    let mut harness = Harness::default();
    harness.quarantine_bad_part();
    harness.apply(GatewayCommand::ReleaseParts {
        parts: PartSet::from_text("bad"),
        reason: "mended".to_string(),
    });
    assert_eq!(harness.status("bad"), SuspicionStatus::Unsuspected);
    for _ in 0..3 {
        harness.crash(&[&["bad"]]);
        assert_eq!(harness.decide(), [""; 0]);
    }
}

/// A request that crashes servers whatever its prompt is quarantined after three crashes, and explains them.
#[test]
fn crashes_under_a_quarantined_request_are_no_evidence_against_its_parts() {
    let mut harness = Harness::default();
    for server in 1..=6 {
        let (known_crash, at_ms) = (harness.last_crash(), harness.now_ms);
        let attempt = SuspectAttempt {
            fingerprint: fingerprint("poison"),
            request: format!("try-{server}"),
            tenant: None,
            route: "r".to_string(),
        };
        let (fingerprint, request) = (attempt.fingerprint, attempt.request.clone());
        let prompt = SuspectPrompt { fingerprint, request, parts: vec![part("rare")], known_crash };
        let report = CrashReport {
            instance: format!("server-{server}"),
            zone: ZONES[server % 2].to_string(),
            at_ms,
            daemon: "entry".to_string(),
            tries: vec![attempt],
        };
        harness.apply(GatewayCommand::ServerCrashed { report, prompts: vec![prompt] });
        harness.now_ms += CRASH_INTERVAL_MS;
        harness.clearable = harness.last_crash();
        assert_eq!(harness.decide(), [""; 0]);
    }
    let suspicion = &harness.voter.tables.gateway.suspicion;
    assert_eq!(suspicion.status(fingerprint("poison"), harness.now_ms), SuspicionStatus::Quarantined);
}

/// When callers have just begun to send, servers that crash for another reason make the part that all requests share look
/// worse than the one that crashes servers, and no response has had the time to clear it.
#[test]
fn no_part_is_quarantined_before_responses_could_have_cleared_it() {
    let mut harness = Harness::default();
    harness.report("first", 1, 0, &[&["system", "bad"]]);
    harness.report("first", 2, 0, &[&["system", "sound"]]);
    harness.report("first", 3, 2, &[&["system", "bad"]]);
    harness.report("second", 4, 2, &[&["system", "bad"], &["system", "other"]]);
    harness.report("second", 5, 4, &[&["system", "bad"]]);
    assert_eq!(harness.decide(), [""; 0]);
    harness.respond(&["system"]);
    harness.report("third", 6, 5, &[&["system", "bad"]]);
    harness.clearable = harness.last_crash();
    assert_eq!(harness.decide(), ["bad"]);
}

/// Nothing shows which of the two crashes servers; requests with one of them are spared.
#[test]
fn parts_that_occurred_only_together_are_quarantined_together() {
    let mut harness = Harness::default();
    for _ in 0..4 {
        harness.crash(&[&["system", "bad"]]);
    }
    assert_eq!(harness.decide(), ["bad+system"]);
    let table = &harness.voter.tables.gateway.prompt_suspicion;
    let status = |names: &[&str]| {
        let prompt: Vec<PromptPart> = names.iter().map(|name| part(name)).collect();
        table.status(&prompt, harness.now_ms)
    };
    assert_eq!(status(&["system", "bad"]), SuspicionStatus::Quarantined);
    assert_eq!(status(&["system", "sound"]), SuspicionStatus::Unsuspected);
    assert_eq!(status(&["other-system", "bad"]), SuspicionStatus::Unsuspected);
    for _ in 0..4 {
        harness.crash(&[&["other-system", "bad"], &["system", "sound"]]);
        harness.respond(&["system", "sound"]);
    }
    assert_eq!(harness.decide(), ["bad+other-system"]);
    for _ in 0..4 {
        harness.respond(&["system", "bad"]);
    }
    let sets = &harness.voter.tables.gateway.prompt_suspicion.quarantined;
    assert_eq!(sets.keys().map(PartSet::to_string).collect::<Vec<_>>(), ["bad+other-system"]);
}

/// Callers retry their requests, so that some of those with a part that crashes servers are quarantined by themselves before
/// the part is. What they show about the part must not be lost.
#[test]
fn a_part_is_quarantined_although_some_requests_with_it_are_quarantined_before() {
    let mut harness = Harness::default();
    let mut crashes = 0;
    for request in 0..3 {
        for _ in 0..3 {
            crashes += 1;
            let (known_crash, at_ms) = (harness.last_crash(), harness.now_ms);
            let attempt = SuspectAttempt {
                fingerprint: fingerprint(&format!("request-{request}")),
                request: format!("try-{crashes}"),
                tenant: None,
                route: "r".to_string(),
            };
            let prompt = SuspectPrompt {
                fingerprint: attempt.fingerprint,
                request: attempt.request.clone(),
                parts: vec![part("system"), part("bad")],
                known_crash,
            };
            let report = CrashReport {
                instance: format!("server-{crashes}"),
                zone: ZONES[crashes % 2].to_string(),
                at_ms,
                daemon: "entry".to_string(),
                tries: vec![attempt],
            };
            harness.apply(GatewayCommand::ServerCrashed { report, prompts: vec![prompt] });
            harness.now_ms += CRASH_INTERVAL_MS;
            harness.clearable = harness.last_crash();
            harness.respond(&["system"]);
        }
    }
    let suspicion = &harness.voter.tables.gateway.suspicion;
    assert_eq!(suspicion.status(fingerprint("request-0"), harness.now_ms), SuspicionStatus::Quarantined);
    assert_eq!(harness.decide(), ["bad"]);
}

#[test]
fn the_table_is_bounded_and_expires() {
    let mut harness = Harness::default();
    for number in 0..1_000 {
        let name = format!("part-{number}");
        harness.crash(&[&[&name]]);
    }
    let crashes = harness.voter.tables.gateway.prompt_suspicion.crashes.len();
    assert!(crashes <= 64, "{crashes} crashes are retained");
    harness.now_ms += 20 * MINUTE_MS;
    let at_ms = harness.now_ms;
    assert!(harness.voter.tables.gateway.has_expired_suspicions(at_ms));
    harness.apply(GatewayCommand::ExpireSuspicions { at_ms });
    let table = &harness.voter.tables.gateway.prompt_suspicion;
    assert_eq!((table.crashes.len(), table.suspected_parts().count()), (0, 0));
    assert!(!harness.voter.tables.gateway.has_expired_suspicions(at_ms));
}

/// The version before had no table of prompts.
#[test]
fn a_snapshot_of_the_version_before_is_read() {
    const VERSION_BEFORE: u8 = 5;
    /// Two empty maps and the number of the newest crash.
    const EMPTY_TABLE_BYTES: usize = 3;
    let state = State::default();
    let mut encoded = state.encode();
    encoded[0] = VERSION_BEFORE;
    encoded.truncate(encoded.len() - EMPTY_TABLE_BYTES);
    let read = State::decode(&encoded).unwrap_or_else(|error| panic!("{error}"));
    assert_eq!(read, state);
}

#[test]
fn the_table_survives_a_snapshot_with_its_index() {
    let mut harness = Harness::default();
    harness.quarantine_bad_part();
    harness.crash(&[&["system", "other"]]);
    let restored = State::decode(&harness.voter.encode()).unwrap_or_else(|error| panic!("{error}"));
    assert_eq!(restored.tables.gateway, harness.voter.tables.gateway);
}

/// While most servers are down, requests with the part that crashes them gather at the few that serve, so that it was running
/// more often per crash than a part that few requests contain.
#[test]
fn a_rare_part_is_not_quarantined_for_the_crashes_of_a_part_that_crashed_more_servers() {
    const BAD: &[&str] = &["system", "bad"];
    const RARE: &[&str] = &["system", "rare"];
    let others: Vec<String> = (0..14).map(|number| format!("other-{number}")).collect();
    let mut others = others.iter();
    let mut harness = Harness::default();
    // Prompts with the crashing part, with the rare one, and with others, of each server that crashed.
    for (bad, rare, other) in
        [(1, 0, 0), (1, 0, 0), (1, 1, 1), (7, 2, 5), (4, 3, 2), (5, 0, 4), (1, 1, 0), (6, 1, 2)]
    {
        let names: Vec<&str> = others.by_ref().take(other).map(String::as_str).collect();
        let others: Vec<[&str; 2]> = names.iter().map(|name| ["system", *name]).collect();
        let mut prompts = [vec![BAD; bad], vec![RARE; rare]].concat();
        prompts.extend(others.iter().map(|parts| parts.as_slice()));
        harness.crash(&prompts);
    }
    assert_eq!(harness.decide(), ["bad"]);
}
