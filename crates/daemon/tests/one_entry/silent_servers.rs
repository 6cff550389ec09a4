//! Servers of a plain service that fall silent: they accept connections but don't respond, or accept no connections.
//!
//! Guards against a fault in which requests were sent to silent servers, and held there until their deadlines, though the
//! entry could know that these didn't respond while others did, or that none did.

use crate::entry::{Entry, EntryOptions, RetryBudget, TEST_TIMEOUT, wait_until};
use crate::scripted_server::{Reply, ScriptedServer, rejection_reply, success_reply};
use std::io::Result;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;

const ONCE_PATH: &str = "/brief-once/1";
const AGAIN_PATH: &str = "/brief-again/1";
/// Far longer than the latency target of the brief routes, and far shorter than the time limit of a request.
const LONG_SILENCE: Duration = Duration::from_millis(400);
/// A request that has no response after this time is held at a silent server.
const HELD_AFTER: Duration = Duration::from_secs(2);
/// Interval at which a silent server may be probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// A retry budget that no test uses up.
const LARGE_RETRY_BUDGET: RetryBudget = RetryBudget { ratio: 0.1, extra: 1_000, window_seconds: 1 };
/// Interval between two requests of a test.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

struct Fleet {
    entry: Arc<Entry>,
    servers: Vec<Arc<ScriptedServer>>,
}

impl Fleet {
    /// Starts an entry and servers that respond, each of which has served a request.
    async fn start(servers: usize, last_reply: Reply) -> Result<Fleet> {
        let options = EntryOptions { retry_budget: Some(LARGE_RETRY_BUDGET), ..EntryOptions::default() };
        let entry = Entry::start_with(options)?;
        entry.renew_lease_continuously();
        let mut fleet = Fleet { entry, servers: Vec::new() };
        for number in 0..servers {
            let server = ScriptedServer::start_with([], last_reply.clone()).await?;
            fleet.register(number, server.address);
            fleet.servers.push(server);
        }
        let started = Instant::now();
        while fleet.servers.iter().any(|server| server.received() == 0) {
            fleet.entry.request(ONCE_PATH).await?;
            assert!(started.elapsed() < TEST_TIMEOUT, "a server receives no request");
        }
        Ok(fleet)
    }

    fn register(&self, number: usize, address: SocketAddr) {
        self.entry.register_with_start(&format!("board-{number}"), None, "board", "z", address);
    }

    fn received(&self) -> usize {
        self.servers.iter().map(|server| server.received()).sum()
    }

    fn decisions(&self, decision: &str) -> u64 {
        let metrics =
            String::from_utf8(self.entry.shared.metrics.render()).unwrap_or_else(|error| panic!("{error}"));
        let name = format!("dockwood_silent_servers_total{{decision=\"{decision}\"}} ");
        let value = metrics.lines().find_map(|line| line.strip_prefix(&name));
        value.map_or(0, |value| value.parse().unwrap_or_else(|error| panic!("{error}")))
    }

    /// Sends a request without waiting for its response.
    fn send(&self, path: &'static str) -> JoinHandle<Result<String>> {
        let entry = self.entry.clone();
        tokio::spawn(async move { entry.request(path).await })
    }

    /// Silences servers, and sends requests until each of them has received one.
    async fn silence(&self, servers: &[Arc<ScriptedServer>]) -> Vec<JoinHandle<Result<String>>> {
        servers.iter().for_each(|server| {
            server.may_answer.send_replace(false);
        });
        let before: Vec<usize> = servers.iter().map(|server| server.received()).collect();
        let has_request = |(server, before): (&Arc<ScriptedServer>, &usize)| server.received() > *before;
        let mut sent = Vec::new();
        let started = Instant::now();
        while !servers.iter().zip(&before).all(has_request) {
            sent.push(self.send(ONCE_PATH));
            tokio::time::sleep(REQUEST_INTERVAL).await;
            assert!(started.elapsed() < TEST_TIMEOUT, "a silent server receives no request");
        }
        sent
    }
}

fn is_refused_as_not_run(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 503") && answer.contains("NoServer") && answer.contains("retry-after")
}

async fn answer_of(sent: JoinHandle<Result<String>>) -> Result<String> {
    sent.await.unwrap_or_else(|error| panic!("{error}"))
}

/// Sends requests until one is answered while the servers are silent; the others are returned as well.
async fn answered_during_silence(
    fleet: &Fleet,
    sent: &mut Vec<JoinHandle<Result<String>>>,
) -> Result<String> {
    let started = Instant::now();
    while started.elapsed() < 2 * HELD_AFTER {
        let mut next = fleet.send(ONCE_PATH);
        match tokio::time::timeout(LONG_SILENCE / 4, &mut next).await {
            Ok(answer) => return answer.unwrap_or_else(|error| panic!("{error}")),
            Err(_) => sent.push(next),
        }
    }
    panic!("{} requests are held at silent servers", sent.len());
}

#[tokio::test]
async fn requests_are_refused_at_once_while_all_servers_are_silent() -> Result<()> {
    let fleet = Fleet::start(3, success_reply()).await?;
    let mut sent = fleet.silence(&fleet.servers).await;
    let answer = answered_during_silence(&fleet, &mut sent).await?;
    assert!(is_refused_as_not_run(&answer), "{answer}");
    wait_until("sent requests arrive", || fleet.received() >= sent.len()).await;
    assert!(sent.iter().all(|sent| !sent.is_finished()), "requests that servers have are not ended");
    fleet.servers.iter().for_each(|server| {
        server.may_answer.send_replace(true);
    });
    for sent in sent {
        let answer = answer_of(sent).await?;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    let answer = fleet.entry.request(ONCE_PATH).await?;
    assert!(answer.starts_with("HTTP/1.1 200"), "served after the first response: {answer}");
    assert!(fleet.decisions("refuse") > 0);
    Ok(())
}

#[tokio::test]
async fn a_server_that_responds_again_is_found_by_a_probe() -> Result<()> {
    let fleet = Fleet::start(1, success_reply()).await?;
    let mut sent = fleet.silence(&fleet.servers).await;
    let answer = answered_during_silence(&fleet, &mut sent).await?;
    assert!(is_refused_as_not_run(&answer), "{answer}");
    // The requests that it has are lost, so that only a new one can show that it responds again.
    fleet.servers[0].break_connections();
    fleet.servers[0].may_answer.send_replace(true);
    let started = Instant::now();
    while !fleet.entry.request(ONCE_PATH).await?.starts_with("HTTP/1.1 200") {
        assert!(started.elapsed() < TEST_TIMEOUT, "the server is never probed");
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    Ok(())
}

#[yare::parameterized(
    at_most_once = { ONCE_PATH },
    repeatable = { AGAIN_PATH },
)]
#[test_macro(tokio::test)]
async fn requests_go_to_the_server_that_responds(path: &'static str) -> Result<()> {
    const REQUESTS: usize = 60;
    let fleet = Fleet::start(3, success_reply()).await?;
    let _held = fleet.silence(&fleet.servers[1..]).await;
    tokio::time::sleep(LONG_SILENCE).await;
    let started = Instant::now();
    let mut sent = Vec::new();
    for _ in 0..REQUESTS {
        sent.push(fleet.send(path));
        tokio::time::sleep(REQUEST_INTERVAL / 2).await;
    }
    let probes = 2 * (1 + started.elapsed().as_millis() / PROBE_INTERVAL.as_millis()) as usize;
    tokio::time::sleep(HELD_AFTER).await;
    let held = sent.iter().filter(|sent| !sent.is_finished()).count();
    assert!(
        held <= probes,
        "{held} of {REQUESTS} requests are held at silent servers, {probes} of them as probes"
    );
    Ok(())
}

/// Guards against refusals at an idle service because of slow requests.
#[yare::parameterized(
    one_server = { 1 },
    two_servers = { 2 },
)]
#[test_macro(tokio::test)]
async fn slow_requests_at_an_idle_service_refuse_no_others(servers: usize) -> Result<()> {
    let fleet = Fleet::start(servers, success_reply()).await?;
    fleet.servers.iter().for_each(|server| {
        server.may_answer.send_replace(false);
    });
    let before = fleet.received();
    let mut sent = Vec::new();
    for number in 1..=2 {
        sent.push(fleet.send(ONCE_PATH));
        wait_until("the request arrives", || fleet.received() == before + number).await;
        tokio::time::sleep(LONG_SILENCE).await;
    }
    sent.push(fleet.send(ONCE_PATH));
    wait_until("the third request arrives", || fleet.received() == before + 3).await;
    fleet.servers.iter().for_each(|server| {
        server.may_answer.send_replace(true);
    });
    for sent in sent {
        let answer = answer_of(sent).await?;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    assert_eq!(fleet.decisions("refuse"), 0);
    Ok(())
}

/// A request that a server has failed is not held at silent ones: its caller receives the error.
#[tokio::test]
async fn an_error_is_forwarded_if_all_other_servers_are_silent() -> Result<()> {
    let fleet = Fleet::start(3, rejection_reply("500 Internal Server Error", "")).await?;
    let _held = fleet.silence(&fleet.servers[1..]).await;
    tokio::time::sleep(LONG_SILENCE).await;
    for _ in 0..10 {
        let sent = fleet.send(AGAIN_PATH);
        if let Ok(answer) = tokio::time::timeout(HELD_AFTER, sent).await {
            let answer = answer.unwrap_or_else(|error| panic!("{error}"))?;
            assert!(answer.starts_with("HTTP/1.1 500"), "{answer}");
            return Ok(());
        }
    }
    panic!("10 requests are held at silent servers");
}

/// A server whose queue of connections is full, so that it accepts no more.
struct FullServer {
    address: SocketAddr,
    _listener: TcpListener,
    _queued: Vec<TcpStream>,
}

impl FullServer {
    async fn start() -> Result<FullServer> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let listener = socket.listen(1)?;
        let address = listener.local_addr()?;
        let mut queued = Vec::new();
        while let Ok(stream) = tokio::time::timeout(LONG_SILENCE, TcpStream::connect(address)).await {
            queued.push(stream?);
        }
        Ok(FullServer { address, _listener: listener, _queued: queued })
    }
}

#[tokio::test]
async fn requests_are_refused_at_once_while_no_server_accepts_connections() -> Result<()> {
    let fleet = Fleet::start(0, success_reply()).await?;
    let full = [FullServer::start().await?, FullServer::start().await?, FullServer::start().await?];
    full.iter().enumerate().for_each(|(number, server)| fleet.register(number, server.address));
    let started = Instant::now();
    while fleet.decisions("refuse") == 0 {
        let answer = fleet.entry.request(ONCE_PATH).await?;
        assert!(answer.starts_with("HTTP/1.1 503"), "nothing was written: {answer}");
        assert!(started.elapsed() < TEST_TIMEOUT, "no request is refused at once");
    }
    Ok(())
}

#[tokio::test]
async fn a_server_that_accepts_no_connections_is_avoided() -> Result<()> {
    let fleet = Fleet::start(1, success_reply()).await?;
    let full = FullServer::start().await?;
    fleet.register(1, full.address);
    let started = Instant::now();
    while fleet.decisions("avoid") == 0 {
        let answer = fleet.entry.request(ONCE_PATH).await?;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(started.elapsed() < TEST_TIMEOUT, "the server is not avoided");
    }
    Ok(())
}
