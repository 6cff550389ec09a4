//! What an entry does with requests when a zone is evacuated: the gateway within this process, with tables that the
//! test publishes itself, so that each step happens at a known moment.

use crate::entry::{
    Entry, Server, TARGET_MS, call, eventually, runtime_that_accepts_first, serve, served_from,
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
async fn where_all_zones_are_evacuated_requests_are_refused_at_once_and_served_after_it(
    route: &str,
    service: &str,
) -> Result<()> {
    let entry = Entry::start()?;
    let servers = [Server::start("z").await?, Server::start("y").await?];
    entry.add(service, "z", servers[0].address);
    entry.add(service, "y", servers[1].address);
    let path = format!("/{route}/1");
    served_from(&entry, &path, "z").await?;
    entry.set_evacuation("z", true);
    served_from(&entry, &path, "y").await?;
    let before = servers[0].begun();
    for _ in 0..6 {
        served_from(&entry, &path, "y").await?;
    }
    assert_eq!(servers[0].begun(), before, "nothing more is sent to it");
    entry.set_evacuation("y", true);
    let begun = Instant::now();
    let refused = entry.ask(&path).await?;
    assert!(is_refused_for_evacuation(&refused), "{refused}");
    assert!(begun.elapsed() < Duration::from_millis(TARGET_MS / 4), "it waits for nothing");
    assert!(entry.kept("refused") >= 1);
    if service == "board" {
        assert_eq!(entry.kept("stopped"), 0, "no connection is made in vain");
    }
    entry.set_evacuation("z", false);
    served_from(&entry, &path, "z").await
}

/// The server's task sees the connection before the entry does, and the zone is evacuated at that moment.
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
    let followed = entry.shared.metrics.open_groups.with_label_values(&["writer"]);
    let expected = if service == "writer" { 2 } else { 0 };
    eventually("the entry follows its tables", || followed.get() == expected).await;
    let begun = [Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0))];
    let evacuated = Arc::new(Mutex::new(None));
    let watching = {
        let (entry, begun, evacuated) = (entry.clone(), begun.clone(), evacuated.clone());
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
                    let (zone, begun) = (zones[position].to_string(), begun[position].clone());
                    tokio::spawn(serve(stream, zone, begun, may_end.clone()));
                }
            }
            context.waker().wake_by_ref();
            std::task::Poll::<()>::Pending
        })
    };
    let watching = tokio::spawn(watching);
    let answer = entry.ask(&format!("/{route}/1")).await?;
    watching.abort();
    let first = evacuated.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).unwrap_or_default();
    let other = 1 - first;
    assert!(answer.contains(&format!("data: {}\n\n", zones[other])), "{answer}");
    let begun = begun.each_ref().map(|begun| begun.load(Ordering::SeqCst));
    assert_eq!((begun[first], begun[other]), (0, 1), "the request goes to the other zone alone");
    assert_eq!(entry.kept("stopped"), 1);
    Ok(())
}

#[yare::parameterized(
    stream = { "stream", "writer" },
    plain = { "once", "board" },
)]
fn a_request_whose_connection_is_being_made_when_its_zone_is_evacuated_goes_elsewhere(
    route: &str,
    service: &str,
) {
    let runtime = runtime_that_accepts_first();
    runtime.block_on(evacuate_while_connecting(route, service)).unwrap_or_else(|error| panic!("{error}"));
}

#[tokio::test]
async fn streams_in_an_evacuated_zone_finish_and_requests_that_wait_for_it_go_elsewhere() -> Result<()> {
    let entry = Entry::start()?;
    let (near, far) = (Server::start("z").await?, Server::start("y").await?);
    entry.add("writer", "z", near.address);
    served_from(&entry, "/stream/1", "z").await?;
    near.may_end.send_replace(false);
    let before = near.begun();
    let ask = |entry: &Arc<Entry>| {
        let entry = entry.clone();
        tokio::spawn(async move { entry.ask("/stream/1").await })
    };
    let running = ask(&entry);
    eventually("the stream has begun", || near.begun() > before).await;
    // The group's only place is taken.
    let waiting = ask(&entry);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(!waiting.is_finished());
    let begun = Instant::now();
    entry.set_evacuation("z", true);
    let refused = waiting.await??;
    assert!(is_refused_for_evacuation(&refused), "{refused}");
    assert!(begun.elapsed() < Duration::from_millis(TARGET_MS / 4), "it is not left to wait");
    entry.add("writer", "y", far.address);
    served_from(&entry, "/stream/1", "y").await?;
    assert!(!running.is_finished(), "what runs in the zone goes on");
    near.may_end.send_replace(true);
    let whole = running.await??;
    assert_eq!(whole.matches("data: z\n\n").count(), 2, "{whole}");
    assert_eq!(near.begun(), before + 1, "nothing more was sent to it");
    entry.set_evacuation("z", false);
    served_from(&entry, "/stream/1", "z").await
}

/// A request that waits for a place in another zone gets one in the zone that is given back.
#[tokio::test]
async fn the_end_of_an_evacuation_wakes_requests_that_wait() -> Result<()> {
    let entry = Entry::start()?;
    let (near, far) = (Server::start("z").await?, Server::start("y").await?);
    entry.add("writer", "z", near.address);
    entry.add("writer", "y", far.address);
    entry.set_evacuation("z", true);
    served_from(&entry, "/stream/1", "y").await?;
    far.may_end.send_replace(false);
    let before = far.begun();
    let ask = |entry: &Arc<Entry>| {
        let entry = entry.clone();
        tokio::spawn(async move { entry.ask("/stream/1").await })
    };
    let _running = ask(&entry);
    eventually("the stream has begun", || far.begun() > before).await;
    let waiting = ask(&entry);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let begun = Instant::now();
    entry.set_evacuation("z", false);
    let answer = waiting.await??;
    assert!(answer.contains("data: z\n\n"), "{answer}");
    assert!(begun.elapsed() < Duration::from_millis(TARGET_MS / 4), "it waited for its time to pass");
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
async fn a_call_for_what_is_no_zone_is_refused(
    method: &str,
    zone: &str,
    status: &str,
    code: &str,
) -> Result<()> {
    let entry = Entry::start()?;
    let answer = call(entry.operators, method, &format!("/v1/gateway/evacuations/{zone}"), "").await?;
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")) && answer.contains(code), "{answer}");
    Ok(())
}

/// Without a leader nothing is decided; the caller goes on to another daemon after a second.
#[tokio::test]
async fn a_call_that_no_leader_takes_fails_within_a_second() -> Result<()> {
    let entry = Entry::start()?;
    let begun = Instant::now();
    let answer = call(entry.operators, "POST", "/v1/gateway/evacuations/y", "").await?;
    assert!(answer.starts_with("HTTP/1.1 503") || answer.starts_with("HTTP/1.1 504"), "{answer}");
    assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
    Ok(())
}
