//! Decisions on new requests while servers of a plain service leave earlier ones without a response.

use dockwood_routing::gateway::{
    Awaited, CallEnd, NewRequest, ServerCall, ServiceSilence, SilenceAdvice, SilenceDecision,
};

const TARGET_MS: u64 = 150;
const AWAITED: Awaited = Awaited::Response { target_ms: TARGET_MS };
const SERVERS: [&str; 3] = ["a", "b", "c"];
const NEVER_PAUSED: u64 = 0;
/// Begin of the first call.
const START: u64 = 10_000;

fn request(now: u64) -> NewRequest<'static> {
    NewRequest { now, since: NEVER_PAUSED, target_ms: TARGET_MS, tried: &[], has_answer: false }
}

fn decide(silence: &ServiceSilence, now: u64) -> SilenceDecision<'static> {
    silence.decide(&request(now), &SERVERS)
}

/// Begins calls at these servers, each at a time after [`START`].
fn calls(begun: &[(&'static str, u64)]) -> (ServiceSilence, Vec<ServerCall>) {
    let mut silence = ServiceSilence::default();
    let begin = |(server, at): &(&'static str, u64)| silence.begin(START + at, server, AWAITED);
    let calls = begun.iter().map(begin).collect();
    (silence, calls)
}

#[yare::parameterized(
    no_call = { &[], 1_000, SilenceAdvice::AnyServer, &["a", "b", "c"] },
    in_time = { &[("a", 0)], 149, SilenceAdvice::AnyServer, &["a", "b", "c"] },
    one_overdue = { &[("a", 0)], 150, SilenceAdvice::Avoid, &["b", "c"] },
    two_overdue = { &[("a", 0), ("b", 0)], 200, SilenceAdvice::Avoid, &["c"] },
    one_has_a_call_that_still_waits = { &[("a", 0)], 1_999, SilenceAdvice::Avoid, &["b", "c"] },
    one_has_a_call_that_may_be_lost = { &[("a", 0)], 2_000, SilenceAdvice::Avoid, &["a", "b", "c"] },
    quiet_for_too_short = { &[("a", 0), ("b", 0), ("c", 0)], 299, SilenceAdvice::AnyServer, &["a", "b", "c"] },
    all_silent = { &[("a", 0), ("b", 0), ("c", 0)], 300, SilenceAdvice::Refuse, &[] },
    all_silent_until_a_probe_is_due = { &[("a", 0), ("b", 0), ("c", 100)], 599, SilenceAdvice::Refuse, &[] },
    a_probe_is_due = { &[("a", 0), ("b", 0), ("c", 100)], 600, SilenceAdvice::Probe, &["a", "b", "c"] },
)]
fn advice_depends_on_overdue_calls(
    begun: &[(&'static str, u64)],
    at: u64,
    advice: SilenceAdvice,
    servers: &[&str],
) {
    let (silence, _) = calls(begun);
    let decision = decide(&silence, START + at);
    assert_eq!((decision.advice, decision.servers.as_slice()), (advice, servers), "{decision:?}");
}

/// Guards against refusals at an idle service because of a few slow requests.
#[yare::parameterized(
    one_server_and_one_slow_request = { &["a"], &[("a", 0)] },
    one_server_and_two_slow_requests = { &["a"], &[("a", 0), ("a", 10)] },
    two_servers_and_a_slow_request_each = { &["a", "b"], &[("a", 0), ("b", 10)] },
    one_server_responds = { &["a", "b", "c"], &[("a", 0), ("a", 0), ("b", 0), ("b", 0)] },
    later_requests_are_in_time = { &["a"], &[("a", 0), ("a", 200), ("a", 290), ("a", 290)] },
)]
fn a_few_slow_requests_are_no_reason_to_refuse_others(eligible: &[&str], begun: &[(&'static str, u64)]) {
    let (silence, _) = calls(begun);
    let now = START + 310;
    let decision = silence.decide(&request(now), eligible);
    assert_ne!(decision.advice, SilenceAdvice::Refuse, "{decision:?}");
    assert!(!decision.servers.is_empty());
}

#[test]
fn the_first_response_ends_the_refusals() {
    let mut silence = ServiceSilence::default();
    for _ in 0..2 {
        let quick = silence.begin(START - 1_000, "a", AWAITED);
        silence.end(START - 970, "a", quick, CallEnd::Responded);
    }
    let calls = SERVERS.map(|server| silence.begin(START, server, AWAITED));
    assert_eq!(decide(&silence, START + 400).advice, SilenceAdvice::Refuse);
    silence.end(START + 400, "b", calls[1], CallEnd::Responded);
    let decision = decide(&silence, START + 401);
    assert_eq!((decision.advice, decision.servers), (SilenceAdvice::Avoid, vec!["b"]));
}

/// Guards against a server that is avoided for as long as one lost response is awaited.
#[test]
fn a_call_that_a_later_one_has_overtaken_is_evidence_no_more() {
    let (mut silence, calls) = calls(&[("a", 0), ("a", 100)]);
    assert_eq!(decide(&silence, START + 200).servers, ["b", "c"]);
    silence.end(START + 200, "a", calls[1], CallEnd::Responded);
    assert_eq!(decide(&silence, START + 490).advice, SilenceAdvice::AnyServer);
    silence.end(START + 490, "a", calls[0], CallEnd::Unanswered);
    assert_eq!(decide(&silence, START + 491).advice, SilenceAdvice::AnyServer);
}

#[yare::parameterized(
    given_up_early = { CallEnd::Unanswered, 20, false },
    given_up_when_overdue = { CallEnd::Unanswered, 300, true },
    broken = { CallEnd::Inconclusive, 300, false },
    answered = { CallEnd::Responded, 300, false },
)]
fn a_call_that_has_ended_is_evidence_if_its_response_was_overdue(end: CallEnd, at: u64, is_evidence: bool) {
    let (mut silence, calls) = calls(&[("a", 0)]);
    silence.end(START + at, "a", calls[0], end);
    let decision = decide(&silence, START + 400);
    assert_eq!(decision.advice == SilenceAdvice::Avoid, is_evidence, "{decision:?}");
}

#[yare::parameterized(
    soon = { 499, &["b", "c"] },
    later = { 500, &["a", "b", "c"] },
)]
fn a_silent_server_without_calls_is_probed_beside_others(at: u64, servers: &[&str]) {
    let (mut silence, calls) = calls(&[("a", 0)]);
    silence.end(START + 300, "a", calls[0], CallEnd::Unanswered);
    assert_eq!(decide(&silence, START + at).servers, servers);
}

#[test]
fn a_connection_that_is_not_established_is_evidence_sooner_than_a_response() {
    let mut silence = ServiceSilence::default();
    let call = silence.begin(START, "a", Awaited::Connection);
    assert_eq!(decide(&silence, START + 99).advice, SilenceAdvice::AnyServer);
    assert_eq!(decide(&silence, START + 100).servers, ["b", "c"]);
    silence.end(START + 100, "a", call, CallEnd::Inconclusive);
    assert_eq!(decide(&silence, START + 101).advice, SilenceAdvice::AnyServer);
}

#[test]
fn time_in_which_this_process_did_not_run_is_not_evidence() {
    let (silence, _) = calls(&[("a", 0), ("b", 0), ("c", 0)]);
    let resumed = NewRequest { since: START + 1_000, ..request(START + 1_010) };
    assert_eq!(silence.decide(&resumed, &SERVERS).advice, SilenceAdvice::AnyServer);
}

/// Guards against refusals at a service whose responses usually take longer than the latency target.
#[test]
fn responses_are_expected_after_three_times_as_long_as_usual() {
    let (mut silence, earlier) = calls(&[("a", 0), ("b", 0), ("c", 0)]);
    for (server, call) in SERVERS.iter().zip(&earlier) {
        silence.end(START + 400, server, *call, CallEnd::Responded);
    }
    SERVERS.iter().for_each(|server| {
        silence.begin(START + 400, server, AWAITED);
    });
    assert_eq!(decide(&silence, START + 400 + 1_199).advice, SilenceAdvice::AnyServer);
    assert_eq!(decide(&silence, START + 400 + 1_200).evidence.silent, 3);
}

#[yare::parameterized(
    the_others_are_silent = { &[("b", 0), ("c", 0)], SilenceAdvice::Refuse },
    one_of_the_others_responds = { &[("b", 0)], SilenceAdvice::Avoid },
)]
fn a_request_that_has_an_answer_is_not_sent_to_silent_servers(
    begun: &[(&'static str, u64)],
    advice: SilenceAdvice,
) {
    let (silence, _) = calls(begun);
    let tried = ["a".to_string()];
    let answered = NewRequest { tried: &tried, has_answer: true, ..request(START + 200) };
    assert_eq!(silence.decide(&answered, &["b", "c"]).advice, advice);
}

#[test]
fn a_request_that_reached_no_server_is_refused_once_all_are_silent() {
    let (silence, _) = calls(&[("a", 0), ("b", 0), ("c", 0)]);
    let tried = ["a".to_string()];
    let unsent = NewRequest { tried: &tried, ..request(START + 300) };
    let decision = silence.decide(&unsent, &["b", "c"]);
    assert_eq!((decision.advice, decision.evidence.servers), (SilenceAdvice::Refuse, 3));
}
