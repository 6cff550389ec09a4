//! Streams whose group is closed by the control leader while its server goes on for a while.

use crate::entry::wait_until;
use crate::stream_caller::StreamCall;
use crate::stream_fleet::{MANY_RETRIES, ROUTE, Stage, StalledCall, StreamFleet};
use crate::stream_server::{Silence, StreamServer};
use std::io::Result;
use std::time::Duration;

const ATTEMPT: &str = "a-1";
/// The server of the closed group sends several events within this time, but does not complete its response.
const GOES_ON_FOR: Duration = Duration::from_millis(150);

/// The server of a closed group sends further events after the request was sent to another group, and then cuts its response.
/// The other group, which has sent nothing until then, completes the answer.
#[tokio::test]
async fn an_answer_is_whole_if_its_closed_group_goes_on_for_a_while() -> Result<()> {
    let fleet = StreamFleet::start(1, 1, MANY_RETRIES).await?;
    let call = StreamCall::new(ROUTE, ATTEMPT);
    let StalledCall { caller, source, .. } = fleet.stalled_call(call, Stage::MidAnswer).await;
    fleet.entry.end_group();
    let other = StreamServer::start().await?;
    other.set_silence(Silence::Events);
    fleet.entry.register_with_start("writer-1", Some(1), "writer", "z", other.address);
    fleet.entry.open_group("writer-1");
    wait_until("the request is not sent to the other group", || !other.records_of(ATTEMPT).is_empty()).await;
    let forwarded = caller.events();
    source.set_silence(Silence::None);
    tokio::time::sleep(GOES_ON_FOR).await;
    assert!(caller.events() > forwarded, "the events of the closed group are not forwarded");
    source.break_connections();
    other.set_silence(Silence::None);
    caller.finish().await.assert_whole();
    assert_eq!(other.records_of(ATTEMPT).len(), 1);
    Ok(())
}
