//! Model servers turned requests away for nine seconds, each time with the word that they wanted nothing for three
//! seconds, and got up to 27 requests a second all the same, while sound servers beside them got 1 to 9. An entry took
//! `503` for "not run" and read nothing else of it: it sent the request on, and gave the next one to the same server,
//! which looked idle, as it turned each request away within a millisecond.
//!
//! The log of one entry, 1.07 s after the server had asked it for 3 s of rest: `"code":2020,"codeName":"Overloaded",
//! "tookMs":15,"sends":[{"instance":…39,"atMs":3,"ended":"SaidNotRun"},{"instance":…40,"atMs":9,"ended":"SaidNotRun"}]`. In
//! the second after they began, six such servers got 108 of 221 requests; a third of the callers got no answer.

use crate::fixture::{Fleet, configuration};
use crate::servers::{Arrival, FakeServer, Manner, Rest};
use crate::{whole_stream, with_groups, with_groups_of, with_plain_servers};
use poem::http::StatusCode as ServerStatus;
use reqwest::StatusCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// What is on its way when a server asks for rest may still arrive for so long.
const ON_ITS_WAY: Duration = Duration::from_millis(500);
/// Requests of one entry that may reach a server after that, within the time that it asked for.
const MOST_WITHIN_REST: usize = 2;
/// The rest that servers ask for, in seconds.
const REST_S: u64 = 2;
/// Callers at work at once, half of them at each entry.
const CALLERS: usize = 12;
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(20);
/// A refusal that waits for nothing is there within this time, also on a busy machine.
const AT_ONCE: Duration = Duration::from_millis(400);
/// An entry that was told that a server leaves sends it nothing later than this.
const DRAINED_AFTER: Duration = Duration::from_millis(1_000);

/// What callers got.
#[derive(Debug, Default)]
struct Outcome {
    answered: usize,
    refused: usize,
    slowest_refusal: Duration,
}

/// Callers that ask both entries for a while. Their attempts are named after the entry.
async fn ask_for(fleet: &Fleet, path: &str, span: Duration) -> Outcome {
    let until = Instant::now() + span;
    let caller = |number: usize| async move {
        let entry = (number % 2) as u8;
        let mut outcome = Outcome::default();
        while Instant::now() < until {
            let begun = Instant::now();
            let answer = fleet.request(entry, path, &format!("e{entry}-{number}")).send().await;
            match answer.map(|answer| answer.status()) {
                Ok(StatusCode::OK) => outcome.answered += 1,
                _ => {
                    outcome.refused += 1;
                    outcome.slowest_refusal = outcome.slowest_refusal.max(begun.elapsed());
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
        outcome
    };
    let outcomes = futures::future::join_all((0..CALLERS).map(caller)).await;
    outcomes.into_iter().fold(Outcome::default(), |sum, one| Outcome {
        answered: sum.answered + one.answered,
        refused: sum.refused + one.refused,
        slowest_refusal: sum.slowest_refusal.max(one.slowest_refusal),
    })
}

/// The most requests of one entry that reached a server within a time for which it had asked that entry for rest.
fn most_within_a_rest(server: &FakeServer, since: Instant) -> usize {
    let arrivals = server.requests_since(since);
    let of_entry = |entry: &str| -> Vec<&Arrival> {
        arrivals.iter().filter(|arrival| arrival.attempt.starts_with(entry)).collect()
    };
    let most = |arrivals: Vec<&Arrival>| {
        let within = |asking: &&Arrival| {
            let asked = asking.asked.unwrap_or_default();
            let is_within = |at: Instant| at > asking.at + ON_ITS_WAY && at < asking.at + asked;
            arrivals.iter().filter(|arrival| is_within(arrival.at)).count()
        };
        arrivals.iter().map(within).max().unwrap_or(0)
    };
    most(of_entry("e0")).max(most(of_entry("e1")))
}

/// All servers but one serve; callers are to be answered by these.
async fn one_asks_for_rest(fleet: &Fleet, path: &str, server: &Arc<FakeServer>, rest: Rest) {
    let since = Instant::now();
    server.set_manner(Manner::AsksForRest(rest));
    let outcome = ask_for(fleet, path, Duration::from_secs(2 * REST_S)).await;
    let asked = server.requests_since(since).iter().filter(|arrival| arrival.asked.is_some()).count();
    assert!(asked > 0, "it is asked at least once: {outcome:?}");
    let most = most_within_a_rest(server, since);
    assert!(most <= MOST_WITHIN_REST, "{most} requests of one entry within {REST_S} s of rest: {outcome:?}");
    assert!(outcome.refused * 20 <= outcome.answered, "the other servers are there: {outcome:?}");
}

/// A fleet with four groups. Without one of them the others have places for all callers, those among them that a dispatcher
/// counts on for a while after they have left.
async fn with_spare_groups(fleet: Fleet) -> (Fleet, Vec<Arc<FakeServer>>) {
    let (fleet, mut models) = with_groups_of(fleet).await;
    for number in 4..8 {
        models.push(fleet.model_server(number).await);
    }
    fleet.wait_until_open("writer", 4).await;
    (fleet, models)
}

/// The model server that heads a group and is sent requests.
async fn head(fleet: &Fleet, models: &[Arc<FakeServer>]) -> Arc<FakeServer> {
    let since = Instant::now();
    ask_for(fleet, "/stream/2", Duration::from_millis(300)).await;
    let heads = models.iter().filter(|server| !server.requests_since(since).is_empty());
    heads.max_by_key(|server| server.requests_since(since).len()).unwrap_or(&models[0]).clone()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_that_asks_for_rest_gets_it() {
    let (fleet, models) = with_spare_groups(Fleet::start()).await;
    let head = head(&fleet, &models).await;
    one_asks_for_rest(&fleet, "/stream/2", &head, Rest::of(REST_S)).await;
    head.set_manner(Manner::Sound);
    let since = Instant::now();
    ask_for(&fleet, "/stream/2", Duration::from_secs(2 * REST_S)).await;
    assert!(!head.requests_since(since).is_empty(), "after its rest it serves again");
}

/// The same where the entries dispatch for each other, as in a large fleet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_gets_its_rest_also_where_entries_dispatch() {
    let (fleet, models) = with_spare_groups(Fleet::start_dispatched(0)).await;
    let head = head(&fleet, &models).await;
    one_asks_for_rest(&fleet, "/stream/2", &head, Rest::of(REST_S)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_plain_server_that_asks_for_rest_gets_it() {
    let (fleet, servers) = with_plain_servers().await;
    one_asks_for_rest(&fleet, "/plain/1", &servers[0], Rest::of(REST_S)).await;
}

/// What may run once goes by the same server's word.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_may_run_once_leave_it_its_rest() {
    let (fleet, servers) = with_plain_servers().await;
    one_asks_for_rest(&fleet, "/once/1", &servers[0], Rest::of(REST_S)).await;
}

/// Rest is asked for by the header, whether or not the answer also says that the request did not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rest_is_given_also_where_the_answer_does_not_say_that_the_request_did_not_run() {
    let (fleet, servers) = with_plain_servers().await;
    let rest = Rest { status: ServerStatus::TOO_MANY_REQUESTS, says_not_run: false, ..Rest::of(REST_S) };
    let since = Instant::now();
    servers[0].set_manner(Manner::AsksForRest(rest));
    ask_for(&fleet, "/plain/1", Duration::from_secs(2 * REST_S)).await;
    let most = most_within_a_rest(&servers[0], since);
    assert!(most <= MOST_WITHIN_REST, "{most} requests of one entry within {REST_S} s of rest");
}

/// Where all who could serve ask for rest, a request is refused at once, truthfully as not run, with the time after which
/// the first of them takes requests again; and then it is served.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_refused_at_once_while_all_servers_rest() -> reqwest::Result<()> {
    let (fleet, servers) = with_plain_servers().await;
    refused_while_all_rest(&fleet, "/plain/1", &servers, "plain").await?;
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_are_refused_at_once_while_all_heads_rest() -> reqwest::Result<()> {
    let (fleet, models) = with_groups().await;
    refused_while_all_rest(&fleet, "/stream/2", &models, "id: 1").await
}

async fn refused_while_all_rest(
    fleet: &Fleet,
    path: &str,
    servers: &[Arc<FakeServer>],
    served: &str,
) -> reqwest::Result<()> {
    let since = Instant::now();
    servers.iter().for_each(|server| server.set_manner(Manner::AsksForRest(Rest::of(REST_S))));
    ask_for(fleet, path, Duration::from_millis(300)).await;
    let asked_at = Instant::now();
    let refused = fleet.request(0, path, "e0-refused").send().await?;
    assert!(asked_at.elapsed() < AT_ONCE, "{:?}", asked_at.elapsed());
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    let retry_after = refused.headers().get("retry-after").and_then(|value| value.to_str().ok());
    let retry_after_s: f64 = retry_after.and_then(|text| text.parse().ok()).unwrap_or(0.0);
    assert!(
        (0.5..=2.0 * REST_S as f64).contains(&retry_after_s),
        "back when the first of them is: {retry_after:?}"
    );
    let outcome = ask_for(fleet, path, Duration::from_millis(500)).await;
    assert!(outcome.answered == 0 && outcome.slowest_refusal < AT_ONCE, "{outcome:?}");
    for server in servers {
        let most = most_within_a_rest(server, since);
        assert!(most <= MOST_WITHIN_REST, "{most} requests of one entry within {REST_S} s of rest");
    }
    servers.iter().for_each(|server| server.set_manner(Manner::Sound));
    tokio::time::sleep(Duration::from_secs_f64(retry_after_s) + PAUSE).await;
    let answer = fleet.request(0, path, "e0-back").send().await?;
    let (status, body) = (answer.status(), answer.text().await?);
    assert_eq!(status, StatusCode::OK, "{body}");
    assert!(body.contains(served), "{body}");
    Ok(())
}

/// A server's word in its answers comes before its next report, and before the leader knows. What it runs is finished.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_that_says_that_it_leaves_gets_nothing_new() -> reqwest::Result<()> {
    let (fleet, models) = with_spare_groups(Fleet::start()).await;
    let head = head(&fleet, &models).await;
    let since = Instant::now();
    head.says_leaving.store(true, Ordering::SeqCst);
    let running = fleet.request(0, "/stream/2", "e0-running");
    let running = tokio::spawn(async move { running.send().await?.text().await });
    gets_nothing_new(&fleet, "/stream/2", &head, since).await;
    let whole = running.await.unwrap_or_else(|error| panic!("{error}"))?;
    assert_eq!(whole, whole_stream());
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_plain_server_that_says_that_it_leaves_gets_nothing_new() {
    let (fleet, servers) = with_plain_servers().await;
    let since = Instant::now();
    servers[0].says_leaving.store(true, Ordering::SeqCst);
    gets_nothing_new(&fleet, "/plain/1", &servers[0], since).await;
}

async fn gets_nothing_new(fleet: &Fleet, path: &str, server: &Arc<FakeServer>, since: Instant) {
    ask_for(fleet, path, Duration::from_millis(500)).await;
    let told: Vec<Arrival> = server.requests_since(since);
    assert!(!told.is_empty(), "it was asked, and told that it leaves");
    let drained_at = Instant::now() + DRAINED_AFTER;
    let outcome = ask_for(fleet, path, 2 * DRAINED_AFTER).await;
    let late = server.requests_since(drained_at).len();
    assert_eq!(late, 0, "requests long after it said that it leaves: {outcome:?}");
    assert!(outcome.refused * 20 <= outcome.answered, "the others are there: {outcome:?}");
}

/// Where the only server leaves, nobody waits for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_refused_at_once_where_the_only_servers_leave() {
    let (fleet, servers) = with_plain_servers().await;
    servers.iter().for_each(|server| server.says_leaving.store(true, Ordering::SeqCst));
    ask_for(&fleet, "/plain/1", Duration::from_millis(500)).await;
    let since = Instant::now();
    let outcome = ask_for(&fleet, "/plain/1", Duration::from_millis(500)).await;
    assert!(servers.iter().all(|server| server.requests_since(since).is_empty()));
    assert!(outcome.answered == 0 && outcome.slowest_refusal < AT_ONCE, "{outcome:?}");
}

/// Servers that turn requests away, one share of all after the other, and a part of their requests or all.
const SHARES: [(usize, usize); 12] = [
    (1, 10),
    (1, 50),
    (1, 100),
    (3, 10),
    (3, 50),
    (3, 100),
    (8, 10),
    (8, 50),
    (8, 100),
    (10, 10),
    (10, 50),
    (10, 100),
];
/// Servers of the service.
const SERVERS: u8 = 10;
/// How long each share is played.
const SHARE_SPAN: Duration = Duration::from_millis(1_500);
/// After that, rests of a second are over, also where they are spread.
const PAUSE_BETWEEN_SHARES: Duration = Duration::from_millis(2_200);

/// A request that is turned away is sent on, and so it may be turned away again. While servers that asked for rest get it,
/// sending on does not multiply what reaches the others, whatever share of the servers turns away whatever part.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_is_sent_on_does_not_multiply_what_is_turned_away() {
    let fleet = Fleet::start();
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        servers.push(fleet.plain_server(number).await);
    }
    fleet.configure(&configuration(1)).await;
    fleet.wait_until_served("/plain/1").await;
    for (share, part) in SHARES {
        let rest = Rest { part, ..Rest::of(1) };
        servers.iter().take(share).for_each(|server| server.set_manner(Manner::AsksForRest(rest)));
        let since = Instant::now();
        let outcome = ask_for(&fleet, "/plain/1", SHARE_SPAN).await;
        let arrivals: usize = servers.iter().map(|server| server.requests_since(since).len()).sum();
        let requests = outcome.answered + outcome.refused;
        println!(
            "{share} of {SERVERS} turn away {part} in 100: {requests} requests, {arrivals} arrivals, {outcome:?}"
        );
        // Each of two entries asks each server once before it knows, and once after each rest.
        let learning = 2 * 3 * usize::from(SERVERS);
        assert!(arrivals <= requests * 11 / 10 + learning, "{share}, {part}: {arrivals} for {requests}");
        assert!(outcome.slowest_refusal < AT_ONCE, "{share}, {part}: {outcome:?}");
        let has_sound_server = share < usize::from(SERVERS);
        assert!(
            !has_sound_server || outcome.refused * 20 <= outcome.answered,
            "{share}, {part}: {outcome:?}"
        );
        servers.iter().for_each(|server| server.set_manner(Manner::Sound));
        tokio::time::sleep(PAUSE_BETWEEN_SHARES).await;
    }
}

/// An entry that did not run for a part of the rest goes by the time that has passed meanwhile: it neither sends at once nor
/// begins the rest anew.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_entry_that_stood_still_leaves_a_server_the_rest_of_its_rest() {
    let (fleet, servers) = with_plain_servers().await;
    let since = Instant::now();
    servers[0].set_manner(Manner::AsksForRest(Rest::of(REST_S)));
    ask_for(&fleet, "/plain/1", Duration::from_millis(300)).await;
    servers[0].set_manner(Manner::Sound);
    fleet.entries[0].signal("-STOP");
    tokio::time::sleep(Duration::from_millis(700)).await;
    fleet.entries[0].signal("-CONT");
    ask_for(&fleet, "/plain/1", Duration::from_millis(500)).await;
    let most = most_within_a_rest(&servers[0], since);
    assert!(most <= MOST_WITHIN_REST, "{most} requests of one entry within {REST_S} s of rest");
    let rested = Instant::now();
    ask_for(&fleet, "/plain/1", Duration::from_secs(2 * REST_S)).await;
    let after = servers[0].requests_since(rested);
    assert!(
        after.iter().any(|arrival| arrival.attempt.starts_with("e0")),
        "the entry that stood still asks it again"
    );
}
