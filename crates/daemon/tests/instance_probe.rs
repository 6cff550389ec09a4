//! What a probe shows of an instance that does not answer.

use dockwood_control::ProbeResult;
use dockwood_daemon::probe::probe_instance;
use dockwood_daemon::server_dialer::{ServerDialer, TcpDialer};
use futures::FutureExt;
use futures::future::BoxFuture;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Within this time the result of a probe has to be known, whatever the instance does.
const RESULT_LIMIT: Duration = Duration::from_millis(500);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

/// Reaches nothing, like a daemon whose network to the server is gone.
struct NoNetwork;

impl ServerDialer for NoNetwork {
    fn dial(&self, _: SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>> {
        std::future::pending().boxed()
    }
}

async fn listen() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

async fn probe(
    http: &reqwest::Client,
    dialer: &dyn ServerDialer,
    address: SocketAddr,
) -> Result<u16, ProbeResult> {
    let began = Instant::now();
    let request = http.get(format!("http://{address}/"));
    let result = probe_instance(dialer, request, address).await;
    assert!(began.elapsed() < RESULT_LIMIT, "{:?}", began.elapsed());
    result.map(|response| response.status().as_u16())
}

/// Answers requests on one connection.
async fn answer_requests(mut connection: TcpStream, count: usize) -> io::Result<TcpStream> {
    let mut buffer = [0; 1_024];
    for _ in 0..count {
        if connection.read(&mut buffer).await? == 0 {
            break;
        }
        connection.write_all(ANSWER).await?;
    }
    Ok(connection)
}

#[tokio::test]
async fn a_process_that_pauses_still_has_its_connections_accepted() -> io::Result<()> {
    let (_listener, address) = listen().await?;
    assert_eq!(probe(&reqwest::Client::new(), &TcpDialer, address).await, Err(ProbeResult::Unresponsive));
    Ok(())
}

#[tokio::test]
async fn a_process_that_has_ended_refuses_the_connection() -> io::Result<()> {
    let (listener, address) = listen().await?;
    drop(listener);
    assert_eq!(probe(&reqwest::Client::new(), &TcpDialer, address).await, Err(ProbeResult::Refused));
    Ok(())
}

/// The request waits on a connection that was established before the network was lost.
#[tokio::test]
async fn a_kept_connection_does_not_show_that_a_machine_is_up() -> io::Result<()> {
    let (listener, address) = listen().await?;
    let http = reqwest::Client::new();
    let served = async {
        let (connection, _) = listener.accept().await?;
        answer_requests(connection, 1).await
    };
    let (answered, connection) = tokio::join!(probe(&http, &TcpDialer, address), served);
    assert_eq!(answered, Ok(200));
    assert_eq!(probe(&http, &NoNetwork, address).await, Err(ProbeResult::Silent));
    drop(connection);
    Ok(())
}

#[tokio::test]
async fn a_server_that_answers_late_but_in_time_has_answered() -> io::Result<()> {
    let (listener, address) = listen().await?;
    let served = async {
        let (connection, _) = listener.accept().await?;
        tokio::time::sleep(Duration::from_millis(200)).await;
        answer_requests(connection, 1).await
    };
    let http = reqwest::Client::new();
    let (answered, _connection) = tokio::join!(probe(&http, &TcpDialer, address), served);
    assert_eq!(answered, Ok(200));
    Ok(())
}
