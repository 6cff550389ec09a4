//! Streams whose servers are silent for a time. Silence is no reason to end an answer: only the deadline of the request
//! or the server itself ends it.

use crate::entry::RetryBudget;
use crate::stream_caller::{ResponseEnd, StreamCall, assert_all_whole};
use crate::stream_fleet::{MANY_RETRIES, NO_RETRIES, ROUTE, Stage, StreamFleet};
use crate::stream_server::Silence;
use std::io::Result;
use std::time::Duration;

/// Length of a silence in mid-answer, several times the stall timeout of about 240 ms.
const SILENCE: Duration = Duration::from_millis(1_200);
/// Length of a silence before the first event, twice the stall timeout of about a second.
const LONG_SILENCE: Duration = Duration::from_secs(2);
/// A deadline far later than all stall timeouts and waits for a place.
const DEADLINE: Duration = Duration::from_secs(3);
/// A request whose deadline has passed ends within this time.
const ENDS_WITHIN: Duration = Duration::from_millis(700);

/// All groups are silent at the same time, and another source is refused by the retry budget, for lack of a place, or
/// because all groups are avoided. Each caller receives its whole answer.
#[yare::parameterized(
    without_budget = { Stage::MidAnswer, 8, 1, NO_RETRIES },
    without_free_place = { Stage::MidAnswer, 4, 1, MANY_RETRIES },
    with_all_groups_avoided = { Stage::MidAnswer, 2, 4, MANY_RETRIES },
    within_an_event_without_budget = { Stage::WithinEvent, 8, 1, NO_RETRIES },
    within_an_event_without_free_place = { Stage::WithinEvent, 4, 1, MANY_RETRIES },
)]
#[test_macro(tokio::test)]
async fn an_answer_is_not_cut_while_all_groups_are_silent(
    stage: Stage,
    servers: usize,
    slots: u32,
    retry_budget: RetryBudget,
) -> Result<()> {
    let fleet = StreamFleet::start(servers, slots, retry_budget).await?;
    let callers = fleet.stalled_callers(4, stage).await;
    tokio::time::sleep(SILENCE).await;
    fleet.set_silence(Silence::None);
    assert_all_whole(callers).await;
    Ok(())
}

/// The same before the head of the response and before its first event.
#[yare::parameterized(
    before_head_without_budget = { Stage::BeforeHead, 8, 1, NO_RETRIES },
    before_head_without_free_place = { Stage::BeforeHead, 4, 1, MANY_RETRIES },
    before_head_with_all_groups_avoided = { Stage::BeforeHead, 2, 4, MANY_RETRIES },
    before_first_event_without_budget = { Stage::BeforeFirstEvent, 8, 1, NO_RETRIES },
    before_first_event_without_free_place = { Stage::BeforeFirstEvent, 4, 1, MANY_RETRIES },
    before_first_event_with_all_groups_avoided = { Stage::BeforeFirstEvent, 2, 4, MANY_RETRIES },
)]
#[test_macro(tokio::test)]
async fn a_request_does_not_fail_while_all_groups_are_silent(
    stage: Stage,
    servers: usize,
    slots: u32,
    retry_budget: RetryBudget,
) -> Result<()> {
    let fleet = StreamFleet::start(servers, slots, retry_budget).await?;
    let callers = fleet.stalled_callers(4, stage).await;
    tokio::time::sleep(LONG_SILENCE).await;
    fleet.set_silence(Silence::None);
    assert_all_whole(callers).await;
    Ok(())
}

/// There are idle groups, which are silent as well: the requests are sent there, and go on where events arrive first.
#[yare::parameterized(
    before_head = { Stage::BeforeHead },
    before_first_event = { Stage::BeforeFirstEvent },
    in_mid_answer = { Stage::MidAnswer },
    within_an_event = { Stage::WithinEvent },
)]
#[test_macro(tokio::test)]
async fn an_answer_is_not_cut_while_its_alternative_is_silent_as_well(stage: Stage) -> Result<()> {
    let fleet = StreamFleet::start(8, 1, MANY_RETRIES).await?;
    let callers = fleet.stalled_callers(4, stage).await;
    tokio::time::sleep(LONG_SILENCE).await;
    fleet.set_silence(Silence::None);
    assert_all_whole(callers).await;
    Ok(())
}

/// Nothing is ever written again, and there is no alternative. The request ends at its deadline, with a final answer; an
/// answer that has begun is cut, and does not look complete.
#[yare::parameterized(
    before_head = { Stage::BeforeHead, 1, MANY_RETRIES },
    before_first_event = { Stage::BeforeFirstEvent, 1, MANY_RETRIES },
    in_mid_answer = { Stage::MidAnswer, 1, MANY_RETRIES },
    within_an_event = { Stage::WithinEvent, 1, MANY_RETRIES },
    before_head_without_budget = { Stage::BeforeHead, 2, NO_RETRIES },
    before_first_event_without_budget = { Stage::BeforeFirstEvent, 2, NO_RETRIES },
    in_mid_answer_without_budget = { Stage::MidAnswer, 2, NO_RETRIES },
)]
#[test_macro(tokio::test)]
async fn a_stream_that_never_goes_on_ends_at_its_deadline(
    stage: Stage,
    servers: usize,
    retry_budget: RetryBudget,
) -> Result<()> {
    let fleet = StreamFleet::start(servers, 1, retry_budget).await?;
    assert_ends_at_deadline(&fleet, stage).await;
    Ok(())
}

/// The same with an alternative that is silent as well.
#[yare::parameterized(
    before_head = { Stage::BeforeHead },
    before_first_event = { Stage::BeforeFirstEvent },
    in_mid_answer = { Stage::MidAnswer },
    within_an_event = { Stage::WithinEvent },
)]
#[test_macro(tokio::test)]
async fn a_stream_whose_alternative_never_begins_ends_at_its_deadline(stage: Stage) -> Result<()> {
    let fleet = StreamFleet::start(2, 1, MANY_RETRIES).await?;
    assert_ends_at_deadline(&fleet, stage).await;
    Ok(())
}

async fn assert_ends_at_deadline(fleet: &StreamFleet, stage: Stage) {
    let call = StreamCall { deadline: Some(DEADLINE), ..StreamCall::new(ROUTE, "a-1") };
    let mut callers = fleet.stalled_calls([call], stage).await;
    let response = callers.remove(0).finish().await;
    assert!(response.took >= DEADLINE, "ended before its deadline: {response:?}");
    assert!(response.took < DEADLINE + ENDS_WITHIN, "ended late: {response:?}");
    if stage.has_events() {
        assert!(response.is_in_order() && response.events() > 0, "{response:?}");
        assert!(matches!(response.end, Some(ResponseEnd::Cut(_))), "looks complete: {response:?}");
    } else {
        assert!(response.is_final_error(), "not a final answer: {response:?}");
    }
}
