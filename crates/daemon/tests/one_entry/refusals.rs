//! Requests that are refused before their body has arrived. A caller that is still sending must get the refusal, not a reset
//! connection.

use crate::entry::{Entry, TEST_TIMEOUT};
use dockwood_daemon::http::{App, serve_http};
use dockwood_daemon::probe::Reporter;
use dockwood_daemon::traffic::Traffic;
use std::io::Result;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Pause between two parts of a body that a caller sends.
const PART_INTERVAL: Duration = Duration::from_millis(50);
/// Number of parts of a body.
const PARTS: usize = 4;
/// Size of a part, in bytes.
const PART_BYTES: usize = 1_000;

/// How a caller declares the length of its body.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
}

impl Framing {
    fn header(self) -> String {
        match self {
            Framing::Length => format!("content-length: {}", PARTS * PART_BYTES),
            Framing::Chunks => "transfer-encoding: chunked".to_string(),
        }
    }

    fn part(self) -> String {
        let data = "x".repeat(PART_BYTES);
        match self {
            Framing::Length => data,
            Framing::Chunks => format!("{PART_BYTES:x}\r\n{data}\r\n"),
        }
    }

    fn last_part(self) -> &'static str {
        match self {
            Framing::Length => "",
            Framing::Chunks => "0\r\n\r\n",
        }
    }
}

/// Interface of the daemon that refuses the requests.
#[derive(Clone, Copy, Debug)]
enum Interface {
    Gateway,
    Native,
}

/// Serves the daemon's own interface.
fn serve_native(entry: &Entry) -> Result<SocketAddr> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let traffic = Traffic::start(entry.shared.clone(), Arc::new(Reporter::default()), reqwest::Client::new());
    let app = App { shared: entry.shared.clone(), traffic };
    let (stop, stopped) = watch::channel(false);
    tokio::spawn(async move {
        let _never_stops = stop;
        serve_http(app, listener, stopped).await
    });
    Ok(address)
}

/// Sends a request whose body arrives in parts, without reading anything meanwhile.
async fn send_slowly(stream: &mut TcpStream, path: &str, framing: Framing) -> Result<()> {
    let head = format!("POST {path} HTTP/1.1\r\nhost: h\r\n{}\r\n\r\n", framing.header());
    stream.write_all(head.as_bytes()).await?;
    for _ in 0..PARTS {
        tokio::time::sleep(PART_INTERVAL).await;
        stream.write_all(framing.part().as_bytes()).await?;
    }
    stream.write_all(framing.last_part().as_bytes()).await
}

/// Reads one response with a declared length.
async fn read_response(stream: &mut TcpStream) -> Result<String> {
    let mut response = Vec::new();
    while !response.ends_with(b"\r\n\r\n") {
        response.push(stream.read_u8().await?);
    }
    let head = String::from_utf8_lossy(&response).to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let length = length.and_then(|length| length.parse().ok()).unwrap_or_else(|| panic!("no length: {head}"));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok(head)
}

#[yare::parameterized(
    gateway_with_a_length = { Interface::Gateway, Framing::Length },
    gateway_in_chunks = { Interface::Gateway, Framing::Chunks },
    native_with_a_length = { Interface::Native, Framing::Length },
    native_in_chunks = { Interface::Native, Framing::Chunks },
)]
#[test_macro(tokio::test)]
async fn a_refusal_reaches_a_caller_that_is_still_sending_its_body(
    interface: Interface,
    framing: Framing,
) -> Result<()> {
    let entry = Entry::start()?;
    entry.renew_lease_continuously();
    let (address, path, status) = match interface {
        Interface::Gateway => (entry.frontend, "/unknown/1", "404"),
        Interface::Native => (serve_native(&entry)?, "/v1/chat/completions", "401"),
    };
    let mut stream = TcpStream::connect(address).await?;
    let exchange = async {
        for _ in 0..2 {
            send_slowly(&mut stream, path, framing).await?;
            let head = read_response(&mut stream).await?;
            assert!(head.starts_with(&format!("http/1.1 {status}")), "{head}");
        }
        Ok::<_, std::io::Error>(())
    };
    tokio::time::timeout(TEST_TIMEOUT, exchange).await.unwrap_or_else(|_| panic!("no response"))
}
