//! Streams whose source is silent while other groups are well: the request is sent to another source, and the stalled one is
//! kept until another one has begun to answer.

use crate::entry::{RetryBudget, wait_until};
use crate::stream_caller::{StreamCall, StreamCaller, assert_all_whole};
use crate::stream_fleet::{MANY_RETRIES, ROUTE, ROUTE_WITH_THREE_ATTEMPTS, Stage, StalledCall, StreamFleet};
use crate::stream_server::{EVENTS, Ending, Reaction, RequestRecord, Silence, StreamServer};
use std::io::Result;
use std::time::{Duration, Instant};

/// A stream goes on at another group within this time, far before its deadline: the stall timeout before the first event is
/// about a second.
const GOES_ON_WITHIN: Duration = Duration::from_secs(4);
/// The connection to a source that is not needed any more is closed within this time.
const CLOSED_WITHIN: Duration = Duration::from_secs(1);
/// Length of a silence, several times the stall timeout in mid-answer.
const SILENCE: Duration = Duration::from_millis(1_200);
/// Longer than three stall timeouts before the first event.
const LONGEST_SILENCE: Duration = Duration::from_millis(3_600);
const ATTEMPT: &str = "a-1";

fn call() -> StreamCall {
    StreamCall::new(ROUTE, ATTEMPT)
}

/// Returns the only record of the attempt at a server.
fn only_record(server: &StreamServer) -> RequestRecord {
    let records = server.records_of(ATTEMPT);
    assert_eq!(records.len(), 1, "{records:?}");
    records[0].clone()
}

async fn wait_until_received(server: &StreamServer) {
    wait_until("the request is not sent to another server", || !server.records_of(ATTEMPT).is_empty()).await;
}

/// Waits until a response has ended, and asserts that the entry has closed its connection.
async fn assert_closed(server: &StreamServer) {
    let since = Instant::now();
    while only_record(server).ending.is_none() {
        assert!(since.elapsed() < CLOSED_WITHIN, "the connection stays open: {:?}", only_record(server));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(only_record(server).ending, Some(Ending::ClosedByEntry));
}

async fn assert_whole(caller: StreamCaller) {
    caller.finish().await.assert_whole();
}

/// One group stops for good.
#[yare::parameterized(
    before_head = { Stage::BeforeHead },
    before_first_event = { Stage::BeforeFirstEvent },
    in_mid_answer = { Stage::MidAnswer },
    within_an_event = { Stage::WithinEvent },
)]
#[test_macro(tokio::test)]
async fn a_stream_whose_group_stops_goes_on_at_another_group(stage: Stage) -> Result<()> {
    let fleet = StreamFleet::start(3, 1, MANY_RETRIES).await?;
    let StalledCall { caller, source, .. } = fleet.stalled_call(call(), stage).await;
    let response = caller.finish().await;
    response.assert_whole();
    assert!(response.took < GOES_ON_WITHIN, "{response:?}");
    assert_closed(&source).await;
    let records = fleet.records_of(ATTEMPT);
    assert_eq!(records.len(), 2, "{records:?}");
    let forwarded = stage.has_events().then_some(records[0].events);
    assert_eq!(records[1].last_event, forwarded, "{records:?}");
    wait_until("a request stays in flight", || fleet.entry.shared.in_flight() == 0).await;
    Ok(())
}

/// The caller resumes a stream of which it has some events already.
#[yare::parameterized(
    before_head = { Stage::BeforeHead },
    before_first_event = { Stage::BeforeFirstEvent },
    in_mid_answer = { Stage::MidAnswer },
)]
#[test_macro(tokio::test)]
async fn a_stream_that_its_caller_resumes_goes_on_at_another_group(stage: Stage) -> Result<()> {
    let fleet = StreamFleet::start(2, 1, MANY_RETRIES).await?;
    let StalledCall { caller, .. } = fleet.stalled_call(StreamCall { last_event: 5, ..call() }, stage).await;
    let response = caller.finish().await;
    response.assert_whole();
    assert!(response.took < GOES_ON_WITHIN, "{response:?}");
    let records = fleet.records_of(ATTEMPT);
    let resumed_after: Vec<Option<u64>> = records.iter().map(|record| record.last_event).collect();
    let forwarded = if stage.has_events() { records[0].events } else { 0 };
    assert_eq!(resumed_after, [Some(5), Some(5 + forwarded)], "{records:?}");
    Ok(())
}

/// The stalled source goes on while the alternative has the request but has written no event.
#[yare::parameterized(
    before_head = { Stage::BeforeHead, Silence::Everything },
    before_head_and_alternative_before_first_event = { Stage::BeforeHead, Silence::Events },
    before_first_event = { Stage::BeforeFirstEvent, Silence::Everything },
    before_first_event_as_its_alternative = { Stage::BeforeFirstEvent, Silence::Events },
    in_mid_answer = { Stage::MidAnswer, Silence::Everything },
    within_an_event = { Stage::WithinEvent, Silence::Everything },
    within_an_event_as_its_alternative = { Stage::WithinEvent, Silence::WithinEvent },
    in_mid_answer_and_alternative_before_first_event = { Stage::MidAnswer, Silence::Events },
)]
#[test_macro(tokio::test)]
async fn a_stalled_source_that_goes_on_first_is_used(stage: Stage, alternative: Silence) -> Result<()> {
    let fleet = StreamFleet::start(2, 1, MANY_RETRIES).await?;
    let StalledCall { caller, source, others } = fleet.stalled_call(call(), stage).await;
    others[0].set_silence(alternative);
    wait_until_received(&others[0]).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(only_record(&source).ending, None, "the connection to the stalled server is closed");
    source.set_silence(Silence::None);
    assert_whole(caller).await;
    assert_closed(&others[0]).await;
    assert_eq!(only_record(&others[0]).events, 0);
    let record = only_record(&source);
    assert_eq!((record.ending, record.events), (Some(Ending::Complete), EVENTS));
    Ok(())
}

/// What happens to an alternative.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Alternative {
    Refuses,
    Breaks,
    /// Its server has ended, so that no connection is established.
    IsGone,
    /// It breaks after it has written the head of its response.
    BreaksAfterHead,
}

/// The alternative comes to nothing, and the stalled source goes on later.
#[yare::parameterized(
    before_head_alternative_refuses = { Stage::BeforeHead, Alternative::Refuses },
    before_head_alternative_breaks = { Stage::BeforeHead, Alternative::Breaks },
    before_head_alternative_is_gone = { Stage::BeforeHead, Alternative::IsGone },
    before_head_alternative_breaks_after_head = { Stage::BeforeHead, Alternative::BreaksAfterHead },
    before_first_event_alternative_refuses = { Stage::BeforeFirstEvent, Alternative::Refuses },
    before_first_event_alternative_breaks = { Stage::BeforeFirstEvent, Alternative::Breaks },
    before_first_event_alternative_is_gone = { Stage::BeforeFirstEvent, Alternative::IsGone },
    within_an_event_alternative_breaks = { Stage::WithinEvent, Alternative::Breaks },
    in_mid_answer_alternative_refuses = { Stage::MidAnswer, Alternative::Refuses },
    in_mid_answer_alternative_breaks = { Stage::MidAnswer, Alternative::Breaks },
    in_mid_answer_alternative_is_gone = { Stage::MidAnswer, Alternative::IsGone },
    in_mid_answer_alternative_breaks_after_head = { Stage::MidAnswer, Alternative::BreaksAfterHead },
)]
#[test_macro(tokio::test)]
async fn a_stalled_source_is_kept_if_its_alternative_fails(
    stage: Stage,
    alternative: Alternative,
) -> Result<()> {
    let fleet = StreamFleet::start(2, 1, MANY_RETRIES).await?;
    let StalledCall { caller, source, others } = fleet.stalled_call(call(), stage).await;
    match alternative {
        Alternative::Refuses => others[0].set_reaction(Reaction::Refuse),
        Alternative::Breaks => others[0].set_reaction(Reaction::Break),
        Alternative::IsGone => others[0].exit(),
        Alternative::BreaksAfterHead => others[0].set_silence(Silence::Events),
    }
    if alternative == Alternative::IsGone {
        let connection_failed =
            || fleet.entry.shared.metrics.additional_sends.with_label_values(&["notReached"]).get() > 0;
        wait_until("the request is not sent to another server", connection_failed).await;
    } else {
        wait_until_received(&others[0]).await;
    }
    tokio::time::sleep(SILENCE / 2).await;
    others[0].break_connections();
    tokio::time::sleep(SILENCE / 2).await;
    source.set_silence(Silence::None);
    assert_whole(caller).await;
    let record = only_record(&source);
    assert_eq!((record.ending, record.events), (Some(Ending::Complete), EVENTS));
    Ok(())
}

/// The stalled source ends while the alternative has the request and has written no event.
#[yare::parameterized(
    before_head_connection_breaks = { Stage::BeforeHead, false },
    before_head_process_ends = { Stage::BeforeHead, true },
    before_first_event_connection_breaks = { Stage::BeforeFirstEvent, false },
    before_first_event_process_ends = { Stage::BeforeFirstEvent, true },
    within_an_event_connection_breaks = { Stage::WithinEvent, false },
    in_mid_answer_connection_breaks = { Stage::MidAnswer, false },
    in_mid_answer_process_ends = { Stage::MidAnswer, true },
)]
#[test_macro(tokio::test)]
async fn a_stream_goes_on_at_its_alternative_if_the_stalled_source_breaks(
    stage: Stage,
    process_ends: bool,
) -> Result<()> {
    let fleet = StreamFleet::start(2, 1, MANY_RETRIES).await?;
    let StalledCall { caller, source, others } = fleet.stalled_call(call(), stage).await;
    others[0].set_silence(Silence::Everything);
    wait_until_received(&others[0]).await;
    if process_ends {
        source.exit();
    } else {
        source.break_connections();
    }
    tokio::time::sleep(SILENCE).await;
    others[0].set_silence(Silence::None);
    assert_whole(caller).await;
    assert_eq!(only_record(&others[0]).ending, Some(Ending::Complete));
    Ok(())
}

/// All groups are silent for so long that each send stalls.
#[yare::parameterized(
    two_before_head = { ROUTE, 2, Stage::BeforeHead },
    two_in_mid_answer = { ROUTE, 2, Stage::MidAnswer },
    three_before_head = { ROUTE_WITH_THREE_ATTEMPTS, 3, Stage::BeforeHead },
    three_in_mid_answer = { ROUTE_WITH_THREE_ATTEMPTS, 3, Stage::MidAnswer },
)]
#[test_macro(tokio::test)]
async fn no_more_servers_receive_a_stream_than_its_route_allows(
    route: &'static str,
    max_attempts: usize,
    stage: Stage,
) -> Result<()> {
    let fleet = StreamFleet::start(6, 2, MANY_RETRIES).await?;
    let calls = (1..=2).map(|number| StreamCall::new(route, format!("a-{number}")));
    let callers = fleet.stalled_calls(calls, stage).await;
    tokio::time::sleep(LONGEST_SILENCE).await;
    fleet.set_silence(Silence::None);
    let attempts: Vec<String> = callers.iter().map(|caller| caller.attempt.clone()).collect();
    assert_all_whole(callers).await;
    for attempt in attempts {
        let records = fleet.records_of(&attempt);
        assert!(records.len() <= max_attempts, "{records:?}");
    }
    Ok(())
}

/// Many streams stall at once. There is room for them at idle groups, which are silent as well, but few retries are allowed.
#[tokio::test]
async fn no_more_streams_are_sent_again_than_the_retry_budget_allows() -> Result<()> {
    let budget = RetryBudget { ratio: 0.0, extra: 4, window_seconds: 1 };
    let mut fleet = StreamFleet::start(2, 6, budget).await?;
    let callers = fleet.stalled_callers(12, Stage::MidAnswer).await;
    for _ in 0..4 {
        fleet.add_server().await?.set_silence(Silence::Everything);
    }
    tokio::time::sleep(LONGEST_SILENCE).await;
    fleet.set_silence(Silence::None);
    let attempts: Vec<String> = callers.iter().map(|caller| caller.attempt.clone()).collect();
    assert_all_whole(callers).await;
    let retries = attempts.iter().flat_map(|attempt| fleet.records_of(attempt).into_iter().skip(1));
    let mut sent_at: Vec<Instant> = retries.map(|record| record.received_at).collect();
    sent_at.sort();
    let window = Duration::from_secs(u64::from(budget.window_seconds));
    for first in &sent_at {
        let in_window = sent_at.iter().filter(|other| *other >= first && **other < *first + window).count();
        assert!(in_window <= budget.extra as usize, "{in_window} retries within a window: {sent_at:?}");
    }
    Ok(())
}

/// There is no other group until long after the stall.
#[yare::parameterized(
    before_head = { Stage::BeforeHead },
    before_first_event = { Stage::BeforeFirstEvent },
    in_mid_answer = { Stage::MidAnswer },
    within_an_event = { Stage::WithinEvent },
)]
#[test_macro(tokio::test)]
async fn a_stalled_stream_goes_on_at_a_group_that_opens_later(stage: Stage) -> Result<()> {
    let mut fleet = StreamFleet::start(1, 1, MANY_RETRIES).await?;
    let StalledCall { caller, source, .. } = fleet.stalled_call(call(), stage).await;
    tokio::time::sleep(2 * SILENCE).await;
    fleet.add_server().await?;
    let opened_at = Instant::now();
    assert_whole(caller).await;
    assert!(opened_at.elapsed() < GOES_ON_WITHIN, "{:?}", opened_at.elapsed());
    assert_closed(&source).await;
    Ok(())
}

/// The only other place is in use until long after the stall.
#[tokio::test]
async fn a_stalled_stream_goes_on_at_a_place_that_becomes_free_later() -> Result<()> {
    let fleet = StreamFleet::start(2, 1, MANY_RETRIES).await?;
    let StalledCall { caller, source, others } = fleet.stalled_call(call(), Stage::MidAnswer).await;
    let other_caller = fleet.call(StreamCall::new(ROUTE, "a-2"));
    wait_until("the other place is not used", || !others[0].records_of("a-2").is_empty()).await;
    others[0].set_silence(Silence::Everything);
    tokio::time::sleep(SILENCE).await;
    others[0].set_silence(Silence::None);
    let went_on_at = Instant::now();
    assert_all_whole(vec![other_caller, caller]).await;
    assert!(went_on_at.elapsed() < GOES_ON_WITHIN, "{:?}", went_on_at.elapsed());
    assert_closed(&source).await;
    Ok(())
}

/// The retry budget allows one retry at a time, and three streams have stalled for good.
#[tokio::test]
async fn stalled_streams_go_on_elsewhere_once_the_retry_budget_allows_it() -> Result<()> {
    let budget = RetryBudget { ratio: 0.0, extra: 3, window_seconds: 1 };
    let mut fleet = StreamFleet::start(1, 4, budget).await?;
    let callers = fleet.stalled_callers(3, Stage::MidAnswer).await;
    let silent_at = Instant::now();
    fleet.add_server().await?;
    assert_all_whole(callers).await;
    assert!(silent_at.elapsed() < 2 * GOES_ON_WITHIN, "{:?}", silent_at.elapsed());
    Ok(())
}

/// The group of a stream is closed while its server goes on to answer, and there is no other group.
#[tokio::test]
async fn an_answer_is_not_cut_when_its_group_is_closed() -> Result<()> {
    let fleet = StreamFleet::start(1, 1, MANY_RETRIES).await?;
    let mut callers = fleet.stalled_callers(1, Stage::MidAnswer).await;
    fleet.set_silence(Silence::None);
    fleet.entry.end_group();
    assert_whole(callers.remove(0)).await;
    Ok(())
}
