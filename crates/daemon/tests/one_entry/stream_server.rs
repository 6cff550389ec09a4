//! A model server that answers each request with a stream of events, and whose faults are controlled by the test.

use std::io::Result;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Number of events of a stream.
pub const EVENTS: u64 = 20;
/// Pause of a server between two events, well below the stall timeout.
const EVENT_INTERVAL: Duration = Duration::from_millis(30);

/// Text of an event of the stream for one attempt.
pub fn event_text(attempt: &str, id: u64) -> String {
    format!("id: {id}\ndata: event {id:02} of {attempt}\n\n")
}

/// Text of the whole stream for one attempt.
pub fn whole_stream(attempt: &str) -> String {
    (1..=EVENTS).map(|id| event_text(attempt, id)).collect()
}

/// A server that streams events.
pub struct StreamServer {
    pub address: SocketAddr,
    /// Whether it writes nothing on any connection.
    silent: watch::Sender<bool>,
}

impl StreamServer {
    pub async fn start() -> Result<Arc<StreamServer>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server =
            Arc::new(StreamServer { address: listener.local_addr()?, silent: watch::channel(false).0 });
        let accepting = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = accepting.clone();
                tokio::spawn(async move { server.serve(stream).await });
            }
        });
        Ok(server)
    }

    /// Sets whether it is silent: it writes nothing, but goes on to accept connections and to read requests.
    pub fn set_silent(&self, silent: bool) {
        self.silent.send_replace(silent);
    }

    async fn serve(&self, stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let (mut reader, mut writer) = stream.into_split();
        while let Some(request) = read_request(&mut reader).await {
            // The entry sends nothing before the end of the response, so whatever is read is the end of the connection.
            tokio::select! {
                biased;
                _ = reader.read_u8() => return Ok(()),
                written = self.write_stream(&mut writer, &request) => written?,
            }
        }
        Ok(())
    }

    async fn until_not_silent(&self) {
        let _ = self.silent.subscribe().wait_for(|silent| !silent).await;
    }

    async fn write_stream(&self, writer: &mut OwnedWriteHalf, request: &Request) -> Result<()> {
        let first = request.last_event.unwrap_or(0) + 1;
        let events = (first..=EVENTS).map(|id| event_text(&request.attempt, id));
        let length = events.clone().map(|event| event.len()).sum();
        self.until_not_silent().await;
        let head = response_head(request, length);
        writer.write_all(head.as_bytes()).await?;
        for event in events {
            tokio::time::sleep(EVENT_INTERVAL).await;
            self.until_not_silent().await;
            writer.write_all(event.as_bytes()).await?;
        }
        Ok(())
    }
}

fn response_head(request: &Request, length: usize) -> String {
    let attempt = &request.attempt;
    let kind = "content-type: text/event-stream\r\n";
    format!("HTTP/1.1 200 OK\r\ndockwood-attempt: {attempt}\r\n{kind}content-length: {length}\r\n\r\n")
}

struct Request {
    attempt: String,
    last_event: Option<u64>,
}

/// Reads a request without a body; `None` at the end of the connection.
async fn read_request(reader: &mut OwnedReadHalf) -> Option<Request> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(reader.read_u8().await.ok()?);
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let header = |name: &str| {
        let values = head.lines().filter_map(|line| line.split_once(": "));
        values.filter(|(other, _)| *other == name).map(|(_, value)| value.to_string()).next()
    };
    Some(Request {
        attempt: header("dockwood-attempt").unwrap_or_default(),
        last_event: header("last-event-id").and_then(|value| value.parse().ok()),
    })
}
