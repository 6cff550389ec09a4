//! Streams whose servers are silent for a time. Silence is no reason to end an answer: only the deadline of the request
//! or the server itself ends it.

use crate::entry::RetryBudget;
use crate::stream_caller::assert_all_whole;
use crate::stream_fleet::{MANY_RETRIES, NO_RETRIES, StreamFleet};
use std::io::Result;
use std::time::Duration;

/// Length of a silence, several times the stall timeout of about 240 ms.
const SILENCE: Duration = Duration::from_millis(1_200);

/// All groups are silent at the same time, and another source is refused by the retry budget, for lack of a place, or
/// because all groups are avoided. Each caller receives its whole answer.
#[yare::parameterized(
    without_budget = { 8, 1, NO_RETRIES },
    without_free_place = { 4, 1, MANY_RETRIES },
    with_all_groups_avoided = { 2, 4, MANY_RETRIES },
)]
#[test_macro(tokio::test)]
async fn an_answer_is_not_cut_while_all_groups_are_silent(
    servers: usize,
    slots: u32,
    retry_budget: RetryBudget,
) -> Result<()> {
    let fleet = StreamFleet::start(servers, slots, retry_budget).await?;
    let callers = fleet.callers_in_mid_answer(4, 3).await;
    fleet.silence_all(SILENCE).await;
    assert_all_whole(callers).await;
    Ok(())
}

/// The same with idle groups, to which the request may be sent; they are silent as well.
#[tokio::test]
async fn an_answer_is_not_cut_while_its_alternative_is_silent_as_well() -> Result<()> {
    let fleet = StreamFleet::start(8, 1, MANY_RETRIES).await?;
    let callers = fleet.callers_in_mid_answer(4, 3).await;
    fleet.silence_all(SILENCE).await;
    assert_all_whole(callers).await;
    Ok(())
}
