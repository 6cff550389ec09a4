//! Calls between daemons end in time, whatever the other one does.

use dockwood_api::peer::PeerClient;
use dockwood_daemon::peer::PeerClients;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// More than sockets hold between two processes of one machine.
const LARGE: usize = 8 << 20;
const LIMIT: Duration = Duration::from_millis(300);

/// A peer that takes connections and never reads.
#[tokio::test]
async fn a_call_behind_one_that_cannot_be_written_ends_in_time() -> std::io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let accepting = tokio::spawn(async move {
        let mut held = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            held.push(stream);
        }
    });
    let clients = PeerClients::default();
    let begun = Instant::now();
    let large = |client: PeerClient, context| async move { client.consensus(context, vec![0; LARGE]).await };
    let small = |client: PeerClient, context| async move { client.read_revision(context).await };
    // Both share one connection, which is made by the first call.
    let warm_up = clients.call(address, Duration::from_millis(50), small).await;
    assert!(warm_up.is_err());
    let first = clients.call(address, LIMIT, large);
    let second = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        clients.call(address, LIMIT, small).await.is_err()
    };
    let both = async { tokio::join!(first, second) };
    let ended = tokio::time::timeout(10 * LIMIT, both).await;
    assert!(ended.is_ok(), "a call has no end after {:?}", begun.elapsed());
    accepting.abort();
    Ok(())
}
