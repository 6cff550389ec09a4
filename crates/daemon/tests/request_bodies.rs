//! Bodies of requests: what is held for them is bounded in sum, and returned.

use bytes::Bytes;
use dockwood_daemon::caller_memory::{CallerMemory, HeldFor};
use dockwood_daemon::metrics::Metrics;
use dockwood_daemon::request_bodies::{BodyLimits, RequestBodies, RequestBodyFault};
use futures::stream;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::Instant;
use yare::parameterized;

/// The share of large bodies of this memory is 3 MiB, that of small ones 1 MiB.
const MEMORY_BYTES: usize = 16 << 20;
const LARGE_SHARE_BYTES: usize = 3 << 20;
const MAX_BODY_BYTES: usize = 8 << 20;
/// Longer than the time after which a body counts as stalled.
const STALL: Duration = Duration::from_millis(700);

struct Fixture {
    memory: Arc<CallerMemory>,
    bodies: Arc<RequestBodies>,
    metrics: Metrics,
}

fn fixture() -> Fixture {
    let metrics = Metrics::new().unwrap_or_else(|error| panic!("{error}"));
    let memory = Arc::new(CallerMemory::new(MEMORY_BYTES, &metrics.clients));
    let bodies = Arc::new(RequestBodies::new(memory.clone(), &metrics.clients));
    Fixture { memory, bodies, metrics }
}

fn limits() -> BodyLimits {
    let deadline = Instant::now() + Duration::from_secs(60);
    BodyLimits { max_bytes: MAX_BODY_BYTES, deadline, copies: 1, patience: Duration::ZERO }
}

fn whole(bytes: usize) -> Full<Bytes> {
    Full::new(Bytes::from(vec![b'x'; bytes]))
}

/// Returns a body of unknown length, and the end to which its parts are sent.
fn arriving() -> (UnboundedSender<Bytes>, UnsyncBoxBody<Bytes, Infallible>) {
    let (sender, receiver) = unbounded_channel();
    let next = |mut receiver: UnboundedReceiver<Bytes>| async move {
        let part = receiver.recv().await?;
        Some((Ok::<_, Infallible>(Frame::data(part)), receiver))
    };
    (sender, BodyExt::boxed_unsync(StreamBody::new(stream::unfold(receiver, next))))
}

impl Fixture {
    fn held(&self, share: &str) -> i64 {
        self.metrics.clients.held_bytes.with_label_values(&[share]).get()
    }

    /// Lets a part of a body arrive, and returns when it is held.
    async fn arrive(
        &self,
        bytes: usize,
    ) -> (UnboundedSender<Bytes>, tokio::task::JoinHandle<Result<Bytes, RequestBodyFault>>) {
        let (sender, body) = arriving();
        let held_before = self.held("largeBodies");
        sender.send(Bytes::from(vec![b'x'; bytes])).unwrap_or_else(|error| panic!("{error}"));
        let bodies = self.bodies.clone();
        let reading = tokio::spawn(async move { bodies.read(body, limits()).await });
        while self.held("largeBodies") < held_before + bytes as i64 && !reading.is_finished() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        (sender, reading)
    }
}

#[tokio::test]
async fn bytes_are_returned_with_the_last_part_of_the_body() {
    let fixture = fixture();
    let body = fixture.bodies.read(whole(1 << 20), limits()).await.unwrap_or_default();
    assert_eq!(body.len(), 1 << 20);
    assert_eq!(fixture.held("largeBodies"), 1 << 20);
    let last = body.slice(10..20);
    drop(body);
    assert_eq!(fixture.held("largeBodies"), 1 << 20);
    drop(last);
    assert_eq!(fixture.held("largeBodies"), 0);
}

#[tokio::test]
async fn a_single_body_within_its_limit_is_read_even_if_its_share_is_smaller() {
    let fixture = fixture();
    let body = fixture.bodies.read(whole(MAX_BODY_BYTES), limits()).await;
    assert_eq!(body.map(|body| body.len()), Ok(MAX_BODY_BYTES));
    let (sender, body) = arriving();
    for _ in 0..MAX_BODY_BYTES >> 16 {
        sender.send(Bytes::from(vec![b'x'; 1 << 16])).unwrap_or_else(|error| panic!("{error}"));
    }
    drop(sender);
    let body = fixture.bodies.read(body, limits()).await;
    assert_eq!(body.map(|body| body.len()), Ok(MAX_BODY_BYTES));
    assert_eq!(fixture.held("largeBodies"), 0);
}

#[tokio::test]
async fn whole_bodies_are_kept_and_further_ones_refused() {
    let fixture = fixture();
    let kept = fixture.bodies.read(whole(2 << 20), limits()).await;
    let refused = fixture.bodies.read(whole(2 << 20), limits()).await;
    assert_eq!(refused, Err(RequestBodyFault::NoMemory));
    let small = fixture.bodies.read(whole(1_000), limits()).await;
    assert_eq!(small.map(|body| body.len()), Ok(1_000));
    drop(kept);
    let body = fixture.bodies.read(whole(2 << 20), limits()).await;
    assert_eq!(body.map(|body| body.len()), Ok(2 << 20));
}

#[tokio::test]
async fn a_body_may_wait_until_others_are_handled() {
    let fixture = fixture();
    let kept = fixture.bodies.read(whole(2 << 20), limits()).await;
    let bodies = fixture.bodies.clone();
    let patient = BodyLimits { patience: Duration::from_secs(20), ..limits() };
    let waiting = tokio::spawn(async move { bodies.read(whole(2 << 20), patient).await });
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!waiting.is_finished());
    drop(kept);
    assert!(waiting.await.is_ok_and(|body| body.is_ok_and(|body| body.len() == 2 << 20)));
}

#[tokio::test]
async fn a_body_that_has_stalled_is_given_up_for_one_that_arrives() {
    let fixture = fixture();
    let (_stalled_sender, stalled) = fixture.arrive(2 << 20).await;
    tokio::time::sleep(STALL).await;
    let (recent_sender, recent) = fixture.arrive(LARGE_SHARE_BYTES - (2 << 20)).await;
    let body = fixture.bodies.read(whole(2 << 20), limits()).await;
    assert_eq!(body.map(|body| body.len()), Ok(2 << 20));
    assert_eq!(stalled.await.unwrap_or(Ok(Bytes::new())), Err(RequestBodyFault::NoMemory));
    drop(recent_sender);
    assert_eq!(recent.await.unwrap_or(Err(RequestBodyFault::Broken)).map(|body| body.len()), Ok(1 << 20));
}

#[tokio::test]
async fn a_body_that_makes_progress_is_not_given_up() {
    let fixture = fixture();
    let (sender, reading) = fixture.arrive(2 << 20).await;
    for _ in 0..4 {
        tokio::time::sleep(STALL / 4).await;
        sender.send(Bytes::from(vec![b'x'; 8 << 10])).unwrap_or_else(|error| panic!("{error}"));
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    let refused = fixture.bodies.read(whole(2 << 20), limits()).await;
    assert_eq!(refused, Err(RequestBodyFault::NoMemory));
    drop(sender);
    assert!(reading.await.is_ok_and(|body| body.is_ok()));
}

#[parameterized(
    nothing_arrives = { 0 },
    a_part_arrives = { 100_000 },
)]
fn a_body_that_stops_ends_at_its_deadline(bytes: usize) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.unwrap_or_else(|error| panic!("{error}"));
    runtime.block_on(async {
        let fixture = fixture();
        let (sender, body) = arriving();
        sender.send(Bytes::from(vec![b'x'; bytes])).unwrap_or_else(|error| panic!("{error}"));
        let limits = BodyLimits { deadline: Instant::now() + Duration::from_millis(50), ..limits() };
        assert_eq!(fixture.bodies.read(body, limits).await, Err(RequestBodyFault::TimedOut));
        assert_eq!((fixture.held("largeBodies"), fixture.held("smallBodies")), (0, 0));
        let ended = fixture.metrics.clients.request_bodies_ended.with_label_values(&["timedOut"]);
        assert_eq!(ended.get(), 1);
    });
}

#[tokio::test]
async fn copies_count_as_well() {
    let fixture = fixture();
    let limits = BodyLimits { copies: 3, ..limits() };
    let body = fixture.bodies.read(whole(100 << 10), limits).await;
    assert_eq!(body.map(|body| body.len()), Ok(100 << 10));
    let _body = fixture.bodies.read(whole(100 << 10), limits).await;
    assert_eq!(fixture.held("largeBodies"), 300 << 10);
    assert!(fixture.memory.try_hold(HeldFor::LargeBodies, LARGE_SHARE_BYTES - (300 << 10)).is_some());
    assert!(fixture.memory.try_hold(HeldFor::LargeBodies, LARGE_SHARE_BYTES).is_none());
}
