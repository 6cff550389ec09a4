//! Streams that stall more than once, and streams that stall while others compete with them for working groups and places.

use crate::entry::{EntryOptions, wait_until};
use crate::stream_caller::{StreamCall, StreamCaller, assert_all_whole};
use crate::stream_fleet::{
    MANY_RETRIES, NO_RETRIES, ROUTE, ROUTE_WITH_THREE_ATTEMPTS, Stage, StalledCall, StreamFleet, server_id,
};
use crate::stream_server::{Ending, Reaction, Silence, StreamServer};
use dockwood_daemon::server_dialer::ServerDialer;
use futures::FutureExt;
use futures::future::BoxFuture;
use std::io::Result;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;

/// A stream goes on at another group within this time, far before its deadline: the stall timeout before the first event is
/// about a second.
const GOES_ON_WITHIN: Duration = Duration::from_secs(4);
/// The same while other requests compete for the only place, which each of them uses for 0.6 s.
const GOES_ON_UNDER_LOAD_WITHIN: Duration = Duration::from_secs(8);
/// Length of a silence, several times the stall timeout in mid-answer.
const SILENCE: Duration = Duration::from_millis(1_200);
const ATTEMPT: &str = "a-1";

async fn wait_until_received(server: &StreamServer, attempt: &str) {
    let received = || !server.records_of(attempt).is_empty();
    wait_until("the request is not sent to another server", received).await;
}

/// A source that goes on after each of several silences is used to the end.
#[tokio::test]
async fn an_answer_is_whole_after_several_silences() -> Result<()> {
    let fleet = StreamFleet::start(1, 1, NO_RETRIES).await?;
    let callers = fleet.stalled_callers(1, Stage::MidAnswer).await;
    for _ in 0..2 {
        tokio::time::sleep(SILENCE).await;
        fleet.set_silence(Silence::None);
        tokio::time::sleep(SILENCE / 8).await;
        fleet.set_silence(Silence::Everything);
    }
    tokio::time::sleep(SILENCE).await;
    fleet.set_silence(Silence::None);
    assert_all_whole(callers).await;
    Ok(())
}

/// The second source stops as well, after it has begun.
#[tokio::test]
async fn a_stream_moves_again_if_its_second_group_stops_in_mid_answer() -> Result<()> {
    let mut fleet = StreamFleet::start(2, 1, MANY_RETRIES).await?;
    let call = StreamCall::new(ROUTE_WITH_THREE_ATTEMPTS, ATTEMPT);
    let StalledCall { caller, others, .. } = fleet.stalled_call(call, Stage::MidAnswer).await;
    let has_begun = || others[0].records_of(ATTEMPT).first().is_some_and(|record| record.events >= 3);
    wait_until("the stream does not go on at another server", has_begun).await;
    others[0].set_silence(Silence::Everything);
    fleet.add_server().await?;
    let response = caller.finish().await;
    response.assert_whole();
    assert!(response.took < GOES_ON_WITHIN, "{response:?}");
    assert_eq!(fleet.records_of(ATTEMPT).len(), 3);
    Ok(())
}

/// The second source stops as well, before it has begun.
#[yare::parameterized(
    before_head = { Silence::Everything },
    before_first_event = { Silence::Events },
)]
#[test_macro(tokio::test)]
async fn a_stream_goes_on_at_a_third_group_if_its_alternative_never_begins(
    alternative: Silence,
) -> Result<()> {
    let mut fleet = StreamFleet::start(2, 1, MANY_RETRIES).await?;
    let call = StreamCall::new(ROUTE_WITH_THREE_ATTEMPTS, ATTEMPT);
    let StalledCall { caller, others, .. } = fleet.stalled_call(call, Stage::MidAnswer).await;
    others[0].set_silence(alternative);
    wait_until_received(&others[0], ATTEMPT).await;
    fleet.add_server().await?;
    let response = caller.finish().await;
    response.assert_whole();
    assert!(response.took < GOES_ON_WITHIN, "{response:?}");
    Ok(())
}

/// All groups in use have stopped, and a stream has been sent to an idle one that has stopped as well. Other streams go on at a
/// group that is well.
#[tokio::test]
async fn a_stalled_stream_goes_on_although_another_one_has_a_silent_alternative() -> Result<()> {
    let mut fleet = StreamFleet::start(2, 1, MANY_RETRIES).await?;
    let mut callers = fleet.stalled_callers(2, Stage::MidAnswer).await;
    let stopped = fleet.add_server().await?;
    stopped.set_silence(Silence::Everything);
    wait_until("no stream is sent to another group", || !stopped.records().is_empty()).await;
    let sent = stopped.records()[0].attempt.clone();
    callers.retain(|caller| caller.attempt != sent);
    fleet.add_server().await?;
    let response = callers.remove(0).finish().await;
    response.assert_whole();
    assert!(response.took < GOES_ON_WITHIN, "{response:?}");
    Ok(())
}

/// Sends requests one after the other, without a pause.
async fn send_continuously(frontend: SocketAddr, caller: usize) {
    for number in 0.. {
        let call = StreamCall::new(ROUTE, format!("load-{caller}-{number}"));
        StreamCaller::start(frontend, call).finish().await;
    }
}

/// One of two groups stops, and new requests wait for each place at the other one.
#[tokio::test]
async fn a_stalled_stream_goes_on_while_new_requests_wait_for_places() -> Result<()> {
    let fleet = StreamFleet::start(2, 1, MANY_RETRIES).await?;
    let call = StreamCall::new(ROUTE, ATTEMPT);
    let StalledCall { caller, .. } = fleet.stalled_call(call, Stage::MidAnswer).await;
    let frontend = fleet.entry.frontend;
    let load: Vec<_> = (0..3).map(|caller| tokio::spawn(send_continuously(frontend, caller))).collect();
    let response = caller.finish().await;
    load.iter().for_each(|task| task.abort());
    response.assert_whole();
    assert!(response.took < GOES_ON_UNDER_LOAD_WITHIN, "{response:?}");
    Ok(())
}

/// Connects to servers until it is told to hang.
#[derive(Clone, Default)]
struct HangingDialer {
    hangs: Arc<AtomicBool>,
}

impl ServerDialer for HangingDialer {
    fn dial(&self, address: SocketAddr) -> BoxFuture<'static, Result<TcpStream>> {
        match self.hangs.load(Ordering::SeqCst) {
            true => std::future::pending().boxed(),
            false => TcpStream::connect(address).boxed(),
        }
    }
}

/// The group of a stream is closed while its server goes on to answer, and no connection to another server is established.
#[tokio::test]
async fn retries_that_are_not_sent_are_not_taken_from_the_budget_again_and_again() -> Result<()> {
    let dialer = HangingDialer::default();
    let options = EntryOptions {
        dialer: Arc::new(dialer.clone()),
        retry_budget: Some(MANY_RETRIES),
        ..EntryOptions::default()
    };
    let fleet = StreamFleet::start_with(2, options).await?;
    let call = StreamCall::new(ROUTE, ATTEMPT);
    let StalledCall { caller, source, .. } = fleet.stalled_call(call, Stage::MidAnswer).await;
    let source_number = fleet.servers.iter().position(|server| server.address == source.address);
    dialer.hangs.store(true, Ordering::SeqCst);
    fleet.entry.end_group_of(&server_id(source_number.unwrap_or_default()));
    source.set_silence(Silence::None);
    caller.finish().await.assert_whole();
    let retries = fleet.entry.shared.metrics.retries.with_label_values(&["stream"]).get();
    assert!(retries <= 1, "{retries} retries of a stream that may be sent again once");
    Ok(())
}

/// The only other server refuses the stream at first, and is well later.
#[tokio::test]
async fn a_stalled_stream_goes_on_at_a_server_that_refused_it_at_first() -> Result<()> {
    let fleet = StreamFleet::start(2, 1, MANY_RETRIES).await?;
    let call = StreamCall::new(ROUTE, ATTEMPT);
    let StalledCall { caller, others, .. } = fleet.stalled_call(call, Stage::MidAnswer).await;
    others[0].set_reaction(Reaction::Refuse);
    wait_until_received(&others[0], ATTEMPT).await;
    tokio::time::sleep(SILENCE).await;
    others[0].set_reaction(Reaction::Answer);
    let response = caller.finish().await;
    response.assert_whole();
    assert!(response.took < GOES_ON_WITHIN, "{response:?}");
    Ok(())
}

/// The only group of another model stops under many streams. A stream whose model has another group goes on there at once.
#[tokio::test]
async fn a_stalled_stream_goes_on_while_those_of_another_model_have_no_group() -> Result<()> {
    const OTHER_STREAMS: usize = 80;
    let mut fleet = StreamFleet::start(0, OTHER_STREAMS as u32, MANY_RETRIES).await?;
    fleet.add_server_of_model("other").await?;
    let other_call =
        |number| StreamCall { model: "other", ..StreamCall::new(ROUTE, format!("other-{number}")) };
    let _others = fleet.stalled_calls((0..OTHER_STREAMS).map(other_call), Stage::MidAnswer).await;
    let source = fleet.add_server().await?;
    let caller = fleet.call(StreamCall::new(ROUTE, ATTEMPT));
    wait_until("the stream does not begin", || caller.events() >= 3).await;
    source.set_silence(Silence::Everything);
    fleet.add_server().await?;
    let response = caller.finish().await;
    response.assert_whole();
    assert!(response.took < GOES_ON_WITHIN, "{response:?}");
    Ok(())
}

/// The caller leaves while two servers have the request.
#[yare::parameterized(
    before_head = { Stage::BeforeHead },
    in_mid_answer = { Stage::MidAnswer },
)]
#[test_macro(tokio::test)]
async fn all_sources_are_closed_when_the_caller_leaves(stage: Stage) -> Result<()> {
    let fleet = StreamFleet::start(2, 1, MANY_RETRIES).await?;
    let call = StreamCall::new(ROUTE, ATTEMPT);
    let StalledCall { caller, others, .. } = fleet.stalled_call(call, stage).await;
    others[0].set_silence(Silence::Everything);
    wait_until_received(&others[0], ATTEMPT).await;
    caller.leave();
    let all_closed = || fleet.records().iter().all(|record| record.ending == Some(Ending::ClosedByEntry));
    wait_until("a connection to a server stays open", all_closed).await;
    wait_until("a request stays in flight", || fleet.entry.shared.in_flight() == 0).await;
    Ok(())
}
