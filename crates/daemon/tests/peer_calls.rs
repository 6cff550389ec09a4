//! Calls between daemons end within their time limit, whatever the peer does.

use dockwood_api::peer::PeerClient;
use dockwood_daemon::peer::PeerClients;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// More than the socket buffers between two processes on one machine hold.
const LARGE: usize = 8 << 20;
const LIMIT: Duration = Duration::from_millis(300);

/// The peer accepts connections and never reads, so that the first call blocks while it is written.
#[tokio::test]
async fn a_call_queued_behind_a_blocked_write_times_out() -> std::io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let accepting = tokio::spawn(async move {
        let mut held = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            held.push(stream);
        }
    });
    let clients = PeerClients::default();
    let started = Instant::now();
    let large = |client: PeerClient, context| async move { client.consensus(context, vec![0; LARGE]).await };
    let small = |client: PeerClient, context| async move { client.read_revision(context).await };
    // Both calls share one connection, which is opened by this one.
    let warm_up = clients.call(address, Duration::from_millis(50), small).await;
    assert!(warm_up.is_err());
    let first = clients.call(address, LIMIT, large);
    let second = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        clients.call(address, LIMIT, small).await.is_err()
    };
    let calls = async { tokio::join!(first, second) };
    let ended = tokio::time::timeout(10 * LIMIT, calls).await;
    assert!(ended.is_ok(), "a call has not ended after {:?}", started.elapsed());
    accepting.abort();
    Ok(())
}
