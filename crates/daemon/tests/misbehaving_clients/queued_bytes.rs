//! Bytes that a crowd has sent and a daemon has not read, by the kernel's table of connections.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

const TABLE: &str = "/proc/net/tcp";
/// Interval between two looks at the table.
const INTERVAL: Duration = Duration::from_millis(100);
/// If the number of queued bytes is the same for this time, the daemon does not read them.
const UNREAD_AFTER: Duration = Duration::from_secs(3);

/// Waits until a daemon has read what was sent to one of its addresses, or does not read it.
pub async fn wait_until_read(address: SocketAddr) {
    let (mut queued, mut since) = (queued_bytes(address), Instant::now());
    while queued > 0 && since.elapsed() < UNREAD_AFTER {
        tokio::time::sleep(INTERVAL).await;
        let now_queued = queued_bytes(address);
        if now_queued != queued {
            (queued, since) = (now_queued, Instant::now());
        }
    }
}

/// Returns the bytes in the buffers of both ends of all connections to an address, and the connections that wait to be accepted.
fn queued_bytes(address: SocketAddr) -> u64 {
    let table = std::fs::read_to_string(TABLE).unwrap_or_else(|error| panic!("{TABLE}: {error}"));
    table.lines().skip(1).filter_map(|line| queued_on(line, address)).sum()
}

/// Returns the bytes of one connection that wait at its end in the line; `None` if it is not to this address.
fn queued_on(line: &str, address: SocketAddr) -> Option<u64> {
    let mut fields = line.split_whitespace().skip(1);
    let (local, remote, _state, queues) = (fields.next()?, fields.next()?, fields.next()?, fields.next()?);
    let (sent, received) = queues.split_once(':')?;
    let queue = match address {
        address if parse_address(local)? == address => received,
        address if parse_address(remote)? == address => sent,
        _ => return None,
    };
    u64::from_str_radix(queue, 16).ok()
}

/// Parses an address of the table, which has the bytes of the IP number in the order of the machine.
fn parse_address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = Ipv4Addr::from(u32::from_str_radix(ip, 16).ok()?.to_ne_bytes());
    Some(SocketAddrV4::new(ip, u16::from_str_radix(port, 16).ok()?).into())
}
