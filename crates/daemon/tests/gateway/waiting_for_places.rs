//! Requests that wait for a place while all groups are full.
//!
//! Guards against a fault in which the leader assigned all places of idle groups to requests that had ended or had gone
//! elsewhere. An entry without streams exchanged loads with the leader only every 600 ms, so that its requests were refused
//! after having waited for 200 ms, with 32 of 32 places free.

use crate::fixture::{Fleet, configuration, eventually};
use crate::servers::FakeServer;
use crate::with_groups_of;
use reqwest::{Response, StatusCode};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Latency target of the streams, in milliseconds: a request waits for a place for half of it, which is less than the
/// interval between two exchanges of an idle entry with the leader.
const TARGET_MS: u64 = 1_000;
/// Number of places at both groups: eight each, and one in the queue.
const PLACES: u32 = 18;
/// Number of times that the groups are filled.
const ROUNDS: usize = 6;
/// An entry without requests has returned to its idle interval after this time.
const IDLE_AFTER: Duration = Duration::from_millis(700);
/// How long the requests wait before places become free.
const FREED_AFTER: Duration = Duration::from_millis(50);

fn streaming(models: &[Arc<FakeServer>]) -> u32 {
    models.iter().map(|server| server.streaming.load(Ordering::SeqCst)).sum()
}

/// Fills all places with streams of the second entry; they end when the responses are dropped.
async fn fill_places(fleet: &Fleet) -> reqwest::Result<Vec<Response>> {
    let streams = (0..PLACES).map(|number| {
        let request = fleet.request(1, "/stream/2", &format!("e1-{number}"));
        async move { request.send().await?.error_for_status() }
    });
    futures::future::try_join_all(streams).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_at_an_idle_entry_get_places_that_become_free_at_another() -> reqwest::Result<()> {
    let (fleet, models) = with_groups_of(Fleet::start()).await;
    let mut changed = configuration(2);
    changed["routes"][0]["target_latency_ms"] = json!(TARGET_MS);
    fleet.configure(&changed).await;
    for round in 0..ROUNDS {
        eventually("streams did not end", || streaming(&models) == 0).await;
        tokio::time::sleep(IDLE_AFTER).await;
        let streams = fill_places(&fleet).await?;
        let waiting = fleet.request(0, "/stream/2", &format!("e0-{round}"));
        let waiting = tokio::spawn(waiting.send());
        tokio::time::sleep(FREED_AFTER).await;
        drop(streams);
        let answer = waiting.await.unwrap_or_else(|error| panic!("{error}"))?;
        assert_eq!(answer.status(), StatusCode::OK, "round {round}: {}", answer.text().await?);
    }
    Ok(())
}
