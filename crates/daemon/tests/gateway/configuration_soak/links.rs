//! Links between daemons, as a forwarder on loopback addresses: bytes are delayed, held back in one or both directions, or
//! their connections reset. The sender of a connection is found by the socket's owner in `/proc`.

use dockwood_daemon::lock::lock;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OnceCell, watch};

const BUFFER_BYTES: usize = 64 << 10;
/// Interval at which held bytes are checked again.
const HELD_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// State of an established connection in the table of connections.
const ESTABLISHED: &str = "01";
/// Position of the socket's inode in a line of the table, counted from the local address.
const INODE_AFTER_ADDRESS: usize = 8;
/// The table may lack a connection while it changes, so it is searched this often.
const OWNER_SEARCHES: usize = 5;

/// Number of a daemon: its host number in the fleet.
pub type Host = usize;

/// The addresses of a daemon for other daemons.
#[derive(Clone, Copy, Debug)]
pub struct Forwarded {
    /// The one that others know.
    pub known: SocketAddr,
    /// The one at which it accepts connections.
    pub accepting: SocketAddr,
}

/// A connection to a daemon.
struct Connection {
    client: SocketAddr,
    host: Host,
    addresses: Forwarded,
    /// The daemon that has made it; searched only once that matters.
    sender: OnceCell<Option<Host>>,
}

#[derive(Clone, Copy)]
enum Direction {
    ToHost,
    ToSender,
}

/// What happens to bytes between daemons.
#[derive(Clone, Debug, Default)]
struct LinkState {
    /// Pairs of a sender and a receiver whose bytes are held back.
    held: BTreeSet<(Host, Host)>,
    /// Delay of the bytes that a daemon sends or receives.
    delays: BTreeMap<Host, Duration>,
}

/// The links of a fleet.
pub struct Links {
    state: Mutex<LinkState>,
    /// Process ids of the daemons, by host number.
    processes: Mutex<BTreeMap<Host, u32>>,
    /// Connections of the daemons whose number was last sent are reset.
    resets: watch::Sender<BTreeSet<Host>>,
}

impl Links {
    pub fn new() -> Arc<Links> {
        let (resets, _) = watch::channel(BTreeSet::new());
        Arc::new(Links { state: Mutex::default(), processes: Mutex::default(), resets })
    }

    /// Forwards connections to a daemon.
    pub async fn forward(self: &Arc<Self>, host: Host, addresses: Forwarded) -> std::io::Result<()> {
        let listener = TcpListener::bind(addresses.known).await?;
        let links = self.clone();
        tokio::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, client)) => {
                        let connection = Connection { client, host, addresses, sender: OnceCell::new() };
                        tokio::spawn(links.clone().forward_connection(stream, connection));
                    }
                    // A connection that has ended before it was accepted.
                    Err(_) => tokio::time::sleep(HELD_CHECK_INTERVAL).await,
                }
            }
        });
        Ok(())
    }

    pub fn set_process(&self, host: Host, process: Option<u32>) {
        match process {
            Some(process) => lock(&self.processes).insert(host, process),
            None => lock(&self.processes).remove(&host),
        };
    }

    /// Holds back what `senders` send to `receivers`.
    pub fn hold(&self, senders: &BTreeSet<Host>, receivers: &BTreeSet<Host>) {
        let pairs = senders.iter().flat_map(|sender| receivers.iter().map(|receiver| (*sender, *receiver)));
        lock(&self.state).held.extend(pairs);
    }

    /// Passes on everything again.
    pub fn heal(&self) {
        *lock(&self.state) = LinkState::default();
    }

    /// Delays what a daemon sends and receives.
    pub fn delay(&self, host: Host, delay: Duration) {
        lock(&self.state).delays.insert(host, delay);
    }

    /// Resets the connections of these daemons.
    pub fn reset(&self, hosts: BTreeSet<Host>) {
        let _ = self.resets.send(hosts);
    }

    async fn forward_connection(self: Arc<Self>, stream: TcpStream, connection: Connection) {
        self.wait_until_passed_on(&connection, Direction::ToHost).await;
        let Ok(target) = TcpStream::connect(connection.addresses.accepting).await else { return };
        let _ = (stream.set_nodelay(true), target.set_nodelay(true));
        let (from_sender, to_sender) = stream.into_split();
        let (from_host, to_host) = target.into_split();
        tokio::select! {
            () = self.pump(from_sender, to_host, &connection, Direction::ToHost) => {}
            () = self.pump(from_host, to_sender, &connection, Direction::ToSender) => {}
            () = self.wait_for_reset(&connection) => {}
        }
    }

    async fn wait_for_reset(&self, connection: &Connection) {
        let mut resets = self.resets.subscribe();
        while resets.changed().await.is_ok() {
            let hosts = resets.borrow_and_update().clone();
            let sender = self.sender_of(connection).await;
            if hosts.contains(&connection.host) || sender.is_some_and(|sender| hosts.contains(&sender)) {
                return;
            }
        }
    }

    /// Waits while bytes in this direction are held back, and for their delay.
    async fn wait_until_passed_on(&self, connection: &Connection, direction: Direction) {
        while !self.is_undisturbed() {
            let Some(sender) = self.sender_of(connection).await else { return };
            let (from, to) = match direction {
                Direction::ToHost => (sender, connection.host),
                Direction::ToSender => (connection.host, sender),
            };
            if !self.is_held(from, to) {
                return tokio::time::sleep(self.delay_between(from, to)).await;
            }
            tokio::time::sleep(HELD_CHECK_INTERVAL).await;
        }
    }

    fn is_undisturbed(&self) -> bool {
        let state = lock(&self.state);
        state.held.is_empty() && state.delays.is_empty()
    }

    fn is_held(&self, from: Host, to: Host) -> bool {
        lock(&self.state).held.contains(&(from, to))
    }

    fn delay_between(&self, from: Host, to: Host) -> Duration {
        let state = lock(&self.state);
        let delay = |host| state.delays.get(&host).copied().unwrap_or_default();
        delay(from).max(delay(to))
    }

    async fn pump(
        &self,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
        connection: &Connection,
        direction: Direction,
    ) {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(count) = from.read(&mut buffer).await {
            self.wait_until_passed_on(connection, direction).await;
            if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    }

    /// Finds the daemon that has made a connection; `None` if it has ended or closed the connection.
    async fn sender_of(&self, connection: &Connection) -> Option<Host> {
        let find = async {
            for _ in 0..OWNER_SEARCHES {
                if let Some(socket) = client_socket(connection.client, connection.addresses.known) {
                    let processes = lock(&self.processes).clone();
                    let owner = processes.into_iter().find(|(_, process)| owns_socket(*process, &socket));
                    if let Some((host, _)) = owner {
                        return Some(host);
                    }
                }
                tokio::time::sleep(HELD_CHECK_INTERVAL).await;
            }
            None
        };
        *connection.sender.get_or_init(|| find).await
    }
}

/// Returns the name of the client's socket of an established connection, as it is listed among a process's open files.
fn client_socket(client: SocketAddr, server: SocketAddr) -> Option<String> {
    let (client, server) = (table_address(client)?, table_address(server)?);
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let found = table.find(&format!("{client} {server} {ESTABLISHED}"))?;
    let inode = table[found..].split_whitespace().nth(INODE_AFTER_ADDRESS)?;
    Some(format!("socket:[{inode}]"))
}

/// An address as it is written in the table of connections.
fn table_address(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else { return None };
    let ip = u32::from_le_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}

fn owns_socket(process: u32, socket: &str) -> bool {
    let files = std::fs::read_dir(format!("/proc/{process}/fd"));
    let targets = files.into_iter().flatten().flatten().map(|file| std::fs::read_link(file.path()));
    targets.flatten().any(|target| target == Path::new(socket))
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::Result;

    const SENDER: Host = 0;
    const RECEIVER: Host = 1;
    /// Within this time, bytes that are not held back have arrived.
    const PASSES_WITHIN: Duration = Duration::from_millis(500);

    /// Forwards to a server that echoes; this process is the sender.
    async fn echo_through(links: &Arc<Links>) -> Result<TcpStream> {
        let server = TcpListener::bind("127.0.0.1:0").await?;
        let accepting = server.local_addr()?;
        let known = TcpListener::bind("127.0.0.1:0").await?.local_addr()?;
        links.forward(RECEIVER, Forwarded { known, accepting }).await?;
        links.set_process(SENDER, Some(std::process::id()));
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = server.accept().await {
                tokio::spawn(async move {
                    let (mut reader, mut writer) = stream.split();
                    tokio::io::copy(&mut reader, &mut writer).await
                });
            }
        });
        TcpStream::connect(known).await
    }

    /// Sends a byte, and returns whether it comes back in time.
    async fn passes(stream: &mut TcpStream) -> bool {
        let echoed = async {
            stream.write_all(b"a").await?;
            stream.read_u8().await
        };
        tokio::time::timeout(PASSES_WITHIN, echoed).await.is_ok_and(|echoed: Result<u8>| echoed.is_ok())
    }

    #[yare::parameterized(
        to_receiver = { SENDER, RECEIVER },
        to_sender = { RECEIVER, SENDER },
    )]
    #[test_macro(tokio::test)]
    async fn bytes_of_one_direction_are_held_back_until_the_link_is_healed(
        from: Host,
        to: Host,
    ) -> Result<()> {
        let links = Links::new();
        let mut stream = echo_through(&links).await?;
        assert!(passes(&mut stream).await);
        links.hold(&BTreeSet::from([from]), &BTreeSet::from([to]));
        assert!(!passes(&mut stream).await);
        links.heal();
        assert!(passes(&mut stream).await);
        Ok(())
    }

    #[tokio::test]
    async fn a_reset_closes_connections_of_its_daemons_only() -> Result<()> {
        let links = Links::new();
        let mut stream = echo_through(&links).await?;
        assert!(passes(&mut stream).await);
        links.reset(BTreeSet::from([RECEIVER + 1]));
        assert!(passes(&mut stream).await);
        links.reset(BTreeSet::from([SENDER]));
        tokio::time::sleep(PASSES_WITHIN).await;
        assert!(!passes(&mut stream).await);
        Ok(())
    }
}
