//! Requests at an entry while a zone is evacuated. The gateway runs within the test process, and the tests publish the
//! tables themselves, so that each step happens at a known time.

use crate::entry::{
    Entry, Server, TARGET_MS, runtime_with_early_accept, send_request, serve, wait_until,
    wait_until_served_from,
};
use std::io::Result;
use std::net::TcpListener;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::watch;

fn is_refused_for_evacuation(answer: &str) -> bool {
    let is_not_run = answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after");
    is_not_run && answer.contains("ZoneEvacuated")
}

#[yare::parameterized(
    stream = { "stream", "writer" },
    plain = { "once", "board" },
)]
#[test_macro(tokio::test)]
async fn while_all_zones_are_evacuated_requests_are_refused_and_afterwards_served(
    route: &str,
    service: &str,
) -> Result<()> {
    let entry = Entry::start()?;
    let servers = [Server::start("z").await?, Server::start("y").await?];
    entry.add(service, "z", servers[0].address);
    entry.add(service, "y", servers[1].address);
    let path = format!("/{route}/1");
    wait_until_served_from(&entry, &path, "z").await?;
    entry.set_evacuation("z", true);
    wait_until_served_from(&entry, &path, "y").await?;
    let before = servers[0].received();
    for _ in 0..6 {
        wait_until_served_from(&entry, &path, "y").await?;
    }
    assert_eq!(servers[0].received(), before, "no further requests are sent to the evacuated zone");
    entry.set_evacuation("y", true);
    let started = Instant::now();
    let refused = entry.request(&path).await?;
    assert!(is_refused_for_evacuation(&refused), "{refused}");
    assert!(
        started.elapsed() < Duration::from_millis(TARGET_MS / 4),
        "the request is refused without waiting"
    );
    assert!(entry.kept_from_evacuated_zones("refused") >= 1);
    if service == "board" {
        assert_eq!(
            entry.kept_from_evacuated_zones("stopped"),
            0,
            "no connection is opened and then abandoned"
        );
    }
    entry.set_evacuation("z", false);
    wait_until_served_from(&entry, &path, "z").await
}

/// The server accepts the connection before the entry's connecting task is woken, and the zone is evacuated at that
/// time.
async fn evacuate_while_connecting(route: &str, service: &str) -> Result<()> {
    let entry = Entry::start()?;
    let zones = ["z", "y"];
    let mut listeners = Vec::new();
    for zone in zones {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        entry.add(service, zone, listener.local_addr()?);
        listeners.push(listener);
    }
    let open_groups = entry.shared.metrics.open_groups.with_label_values(&["writer"]);
    let expected = if service == "writer" { 2 } else { 0 };
    wait_until("the entry applies its tables", || open_groups.get() == expected).await;
    let received = [Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0))];
    let evacuated = Arc::new(Mutex::new(None));
    let server_task = {
        let (entry, received, evacuated) = (entry.clone(), received.clone(), evacuated.clone());
        let may_end = watch::channel(true).1;
        std::future::poll_fn(move |context| {
            for (position, listener) in listeners.iter().enumerate() {
                let Ok((stream, _)) = listener.accept() else { continue };
                let mut evacuated = evacuated.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
                if evacuated.is_none() {
                    entry.set_evacuation(zones[position], true);
                    *evacuated = Some(position);
                }
                let _ = stream.set_nonblocking(true);
                if let Ok(stream) = TcpStream::from_std(stream) {
                    let (zone, received) = (zones[position].to_string(), received[position].clone());
                    tokio::spawn(serve(stream, zone, received, may_end.clone()));
                }
            }
            context.waker().wake_by_ref();
            std::task::Poll::<()>::Pending
        })
    };
    let server_task = tokio::spawn(server_task);
    let answer = entry.request(&format!("/{route}/1")).await?;
    server_task.abort();
    let first = evacuated.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).unwrap_or_default();
    let other = 1 - first;
    assert!(answer.contains(&format!("data: {}\n\n", zones[other])), "{answer}");
    let received = received.each_ref().map(|received| received.load(Ordering::SeqCst));
    assert_eq!((received[first], received[other]), (0, 1), "the request is sent only to the other zone");
    assert_eq!(entry.kept_from_evacuated_zones("stopped"), 1);
    Ok(())
}

#[yare::parameterized(
    stream = { "stream", "writer" },
    plain = { "once", "board" },
)]
fn a_request_that_connects_while_its_zone_is_evacuated_is_sent_to_another_zone(route: &str, service: &str) {
    let runtime = runtime_with_early_accept();
    runtime.block_on(evacuate_while_connecting(route, service)).unwrap_or_else(|error| panic!("{error}"));
}

#[tokio::test]
async fn streams_in_an_evacuated_zone_finish_and_waiting_requests_are_refused() -> Result<()> {
    let entry = Entry::start()?;
    let (evacuated_server, other_server) = (Server::start("z").await?, Server::start("y").await?);
    entry.add("writer", "z", evacuated_server.address);
    wait_until_served_from(&entry, "/stream/1", "z").await?;
    evacuated_server.may_end.send_replace(false);
    let before = evacuated_server.received();
    let spawn_request = |entry: &Arc<Entry>| {
        let entry = entry.clone();
        tokio::spawn(async move { entry.request("/stream/1").await })
    };
    let running = spawn_request(&entry);
    wait_until("the stream has started", || evacuated_server.received() > before).await;
    // The group's only slot is in use.
    let waiting = spawn_request(&entry);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(!waiting.is_finished());
    let started = Instant::now();
    entry.set_evacuation("z", true);
    let refused = waiting.await??;
    assert!(is_refused_for_evacuation(&refused), "{refused}");
    assert!(
        started.elapsed() < Duration::from_millis(TARGET_MS / 4),
        "the waiting request is refused immediately"
    );
    entry.add("writer", "y", other_server.address);
    wait_until_served_from(&entry, "/stream/1", "y").await?;
    assert!(!running.is_finished(), "the running stream in the zone continues");
    evacuated_server.may_end.send_replace(true);
    let whole = running.await??;
    assert_eq!(whole.matches("data: z\n\n").count(), 2, "{whole}");
    assert_eq!(
        evacuated_server.received(),
        before + 1,
        "no further requests were sent to the evacuated zone"
    );
    entry.set_evacuation("z", false);
    wait_until_served_from(&entry, "/stream/1", "z").await
}

/// A request that waits for a slot in another zone gets one in the zone whose evacuation ends.
#[tokio::test]
async fn the_end_of_an_evacuation_wakes_waiting_requests() -> Result<()> {
    let entry = Entry::start()?;
    let (evacuated_server, other_server) = (Server::start("z").await?, Server::start("y").await?);
    entry.add("writer", "z", evacuated_server.address);
    entry.add("writer", "y", other_server.address);
    entry.set_evacuation("z", true);
    wait_until_served_from(&entry, "/stream/1", "y").await?;
    other_server.may_end.send_replace(false);
    let before = other_server.received();
    let spawn_request = |entry: &Arc<Entry>| {
        let entry = entry.clone();
        tokio::spawn(async move { entry.request("/stream/1").await })
    };
    let _running = spawn_request(&entry);
    wait_until("the stream has started", || other_server.received() > before).await;
    let waiting = spawn_request(&entry);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let started = Instant::now();
    entry.set_evacuation("z", false);
    let answer = waiting.await??;
    assert!(answer.contains("data: z\n\n"), "{answer}");
    assert!(
        started.elapsed() < Duration::from_millis(TARGET_MS / 4),
        "the request must be woken before its timeout"
    );
    Ok(())
}

#[yare::parameterized(
    unknown = { "POST", "x", "404", "ZoneUnknown" },
    unknown_withdrawn = { "DELETE", "x", "404", "ZoneUnknown" },
    empty = { "POST", "", "400", "ZoneMalformed" },
    odd = { "POST", "z%00", "400", "ZoneMalformed" },
    nested = { "DELETE", "z/y", "400", "ZoneMalformed" },
    long = { "POST", "zzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzzz", "400", "ZoneMalformed" },
)]
#[test_macro(tokio::test)]
async fn an_evacuation_of_an_invalid_zone_is_refused(
    method: &str,
    zone: &str,
    status: &str,
    code: &str,
) -> Result<()> {
    let entry = Entry::start()?;
    let answer =
        send_request(entry.operators, method, &format!("/v1/gateway/evacuations/{zone}"), "").await?;
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")) && answer.contains(code), "{answer}");
    Ok(())
}

/// Without a leader the command can't be committed. The call must fail within a second, so that the caller can try
/// another daemon.
#[tokio::test]
async fn an_evacuation_without_a_leader_fails_within_a_second() -> Result<()> {
    let entry = Entry::start()?;
    let started = Instant::now();
    let answer = send_request(entry.operators, "POST", "/v1/gateway/evacuations/y", "").await?;
    assert!(answer.starts_with("HTTP/1.1 503") || answer.starts_with("HTTP/1.1 504"), "{answer}");
    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
    Ok(())
}
