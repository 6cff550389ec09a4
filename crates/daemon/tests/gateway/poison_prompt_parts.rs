//! Parts of prompts that crash every server that responds to a request with them. No two of these requests are alike.
//!
//! Guards against a fault in which evidence was kept for whole requests only, so that no request was involved in enough
//! crashes: in one day, 65 and 88 servers crashed one after the other under requests that shared one part.

use super::complete_stream;
use super::fixture::{Daemon, Fleet};
use super::poison_requests::{
    LARGE_FLEET, QUARANTINED, SMALL_FLEET, arrivals, operator_call, with_four_groups,
};
use super::servers::{CRASHING_PART, FakeServer, PROMPT_PARTS};
use reqwest::{Method, StatusCode};
use serde_json::Value;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Number of crashes after which all daemons must recognize the part, and the time that they have for that.
const CRASHES_TO_RECOGNIZE: usize = 5;
const RECOGNIZED_WITHIN: Duration = Duration::from_secs(3);
/// Number of sends of requests with the part that are allowed after that, over all entries.
const MAX_SENDS_AFTER: usize = 3;
/// From this time after the fifth crash on, sound requests are served again.
const SERVED_AFTER: Duration = Duration::from_secs(6);
/// For how long the requests continue after that.
const OBSERVED_FOR: Duration = Duration::from_secs(4);
/// Number of parts that the sound requests choose from, besides the one that all requests share.
const SOUND_PARTS: u32 = 12;
const SHARED_PART: &str = "system-prompt";
/// Number of times that a caller sends a request again, and the pause before that.
const CALLER_RETRIES: u32 = 2;
const CALLER_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest time that the test waits for the first crash.
const CRASHES_WITHIN: Duration = Duration::from_secs(30);

/// When a sound request was sent, and whether it was answered completely at its first attempt.
struct SoundResult {
    sent: Instant,
    is_served: bool,
}

/// Callers whose requests all share a part and a tenant. Some of their prompts contain [`CRASHING_PART`].
struct Callers {
    fleet: Arc<Fleet>,
    sent: AtomicU32,
    sound: Mutex<Vec<SoundResult>>,
}

impl Callers {
    /// Sends a request whose prompt consists of the shared part, another one, and one of its own, until it is answered
    /// completely. The entries take turns. Returns whether the first attempt was.
    async fn send(&self, part: &str) -> bool {
        let number = self.sent.fetch_add(1, Ordering::SeqCst);
        if self.attempt(number, part, 0).await {
            return true;
        }
        for retry in 1..=CALLER_RETRIES {
            tokio::time::sleep(CALLER_RETRY_PAUSE).await;
            if self.attempt(number, part, retry).await {
                break;
            }
        }
        false
    }

    async fn attempt(&self, number: u32, part: &str, retry: u32) -> bool {
        let parts = format!("{SHARED_PART},{part},own-{number}");
        let attempt = format!("request-{number}-{retry}");
        let request = self.fleet.request(((number + retry) % 2) as u8, "/stream/2", &attempt);
        let request = request.header(PROMPT_PARTS, parts).body(format!("body {number}"));
        match request.send().await {
            Ok(answer) if answer.status() == StatusCode::OK => {
                answer.text().await.is_ok_and(|text| text == complete_stream())
            }
            Ok(_) | Err(_) => false,
        }
    }

    async fn send_sound(&self) {
        let sent = Instant::now();
        let part = format!("sound-{}", self.sent.load(Ordering::SeqCst) % SOUND_PARTS);
        let is_served = self.send(&part).await;
        if let Ok(mut sound) = self.sound.lock() {
            sound.push(SoundResult { sent, is_served });
        }
    }

    /// Share of the sound requests sent in a period that were served.
    fn served_share(&self, from: Instant) -> f64 {
        let Ok(sound) = self.sound.lock() else { return 0.0 };
        let results: Vec<&SoundResult> = sound.iter().filter(|result| result.sent >= from).collect();
        assert!(results.len() >= 20, "only {} sound requests", results.len());
        results.iter().filter(|result| result.is_served).count() as f64 / results.len() as f64
    }
}

/// When the fifth request with the crashing part arrived at a server, or the last one if there are fewer.
fn fifth_or_last(models: &[Arc<FakeServer>]) -> Option<Instant> {
    arrivals(models).into_iter().take(CRASHES_TO_RECOGNIZE).next_back()
}

/// Sends a request with the crashing part and sound ones in each interval, until some time after the fifth crash, and
/// returns the time of that.
async fn send_both_kinds(
    callers: &Arc<Callers>,
    models: &[Arc<FakeServer>],
    interval: Duration,
    sound_per_interval: u32,
) -> Instant {
    let started = Instant::now();
    let mut ticks = tokio::time::interval(interval);
    let mut running = Vec::new();
    loop {
        ticks.tick().await;
        let fatal = callers.clone();
        running.push(tokio::spawn(async move {
            fatal.send(CRASHING_PART).await;
        }));
        for _ in 0..sound_per_interval {
            let sound = callers.clone();
            running.push(tokio::spawn(async move { sound.send_sound().await }));
        }
        let fifth = fifth_or_last(models);
        if fifth.is_some_and(|at| at.elapsed() > SERVED_AFTER + OBSERVED_FOR) {
            break;
        }
        assert!(fifth.is_some() || started.elapsed() < CRASHES_WITHIN, "no crash");
    }
    for request in running {
        request.await.unwrap_or_else(|error| panic!("{error}"));
    }
    fifth_or_last(models).unwrap_or_else(|| panic!("no crash"))
}

#[yare::parameterized(
    ten_a_second_and_the_leader_dispatches = { SMALL_FLEET, 100, 1 },
    ten_a_second_and_entries_dispatch = { LARGE_FLEET, 100, 1 },
    two_a_second = { SMALL_FLEET, 500, 5 },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn requests_that_share_a_part_that_crashes_servers_are_quarantined_and_no_others(
    leader_dispatches_up_to: u32,
    interval_ms: u64,
    sound_per_interval: u32,
) {
    let (fleet, models) = with_four_groups(leader_dispatches_up_to).await;
    let callers =
        Arc::new(Callers { fleet: Arc::new(fleet), sent: AtomicU32::default(), sound: Mutex::default() });
    let interval = Duration::from_millis(interval_ms);
    let fifth = send_both_kinds(&callers, &models, interval, sound_per_interval).await;
    let sends = arrivals(&models);
    let later = sends.iter().filter(|at| **at > fifth + RECOGNIZED_WITHIN).count();
    println!(
        "{} sends, {later} of them late; {:.2} of sound requests served",
        sends.len(),
        callers.served_share(fifth + SERVED_AFTER)
    );
    assert!(
        later <= MAX_SENDS_AFTER,
        "sent {later} more times after the part had crashed five servers, {} in all",
        sends.len()
    );
    let served = callers.served_share(fifth + SERVED_AFTER);
    assert!(served >= 0.5, "only {served:.2} of the sound requests were served");
}

/// Sends requests with the crashing part until an entry refuses one for it.
async fn send_until_refused(fleet: &Fleet, entry: u8) -> reqwest::Result<()> {
    let started = Instant::now();
    for number in 0.. {
        let request = fleet.request(entry, "/stream/2", &format!("refused-{entry}-{number}"));
        let parts = format!("{SHARED_PART},{CRASHING_PART},own-{entry}-{number}");
        let answer = request.header(PROMPT_PARTS, parts).body(format!("{entry} {number}")).send().await?;
        let bytes = answer.bytes().await.unwrap_or_default();
        let body: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        if body["error"]["code"] == QUARANTINED {
            break;
        }
        assert!(started.elapsed() < CRASHES_WITHIN, "entry {entry} does not refuse the part: {body}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Ok(())
}

/// Operators can list the part with its evidence, and release it; a restart of all daemons loses nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_quarantined_part_survives_a_restart_and_can_be_listed_and_released() -> reqwest::Result<()> {
    let (mut fleet, models) = with_four_groups(SMALL_FLEET).await;
    send_until_refused(&fleet, 0).await?;
    let before = arrivals(&models).len();
    fleet.members.iter_mut().chain(&mut fleet.entries).for_each(Daemon::kill);
    fleet.members.iter_mut().chain(&mut fleet.entries).for_each(Daemon::start);
    fleet.wait_until_served("/stream/1").await;
    for entry in 0..2 {
        send_until_refused(&fleet, entry).await?;
    }
    assert_eq!(arrivals(&models).len(), before, "a server received such a request after the restart");
    let (_, list) = operator_call(&fleet, Method::GET, "").await?;
    // No other request has shown that the part that all of them share is harmless.
    let quarantined = format!("{CRASHING_PART}+{SHARED_PART}");
    assert_eq!(list["parts"][0]["part"], quarantined, "{list}");
    assert!(list["parts"][0]["crashes"].as_u64().is_some_and(|crashes| crashes >= 4), "{list}");
    let path = format!("/parts/{quarantined}");
    let (_, explained) = operator_call(&fleet, Method::GET, &path).await?;
    assert_eq!(explained["standing"], "quarantined");
    assert_eq!(operator_call(&fleet, Method::DELETE, &path).await?.0, StatusCode::OK);
    let (_, explained) = operator_call(&fleet, Method::GET, &path).await?;
    assert_eq!(explained["standing"], "unsuspected", "{explained}");
    Ok(())
}
