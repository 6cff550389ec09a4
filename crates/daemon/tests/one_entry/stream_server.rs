//! A model server that answers each request with a stream of events, and whose faults are controlled by the test.

use dockwood_daemon::lock::lock;
use std::io::Result;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// Number of events of a stream.
pub const EVENTS: u64 = 20;
/// Pause of a server between two events, well below the stall timeout.
const EVENT_INTERVAL: Duration = Duration::from_millis(30);
const REFUSAL: &str = "503 Service Unavailable";

/// How a server reacts to new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reaction {
    /// It answers them.
    Answer,
    /// It refuses them, and states that they did not run.
    Refuse,
    /// It closes their connections without a response.
    Break,
}

/// What a server does not write, on any connection. It goes on to accept connections and to read requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Silence {
    /// It writes everything.
    None,
    /// It writes up to the middle of the next event.
    WithinEvent,
    /// It writes the heads of responses, but no events.
    Events,
    /// It writes nothing.
    Everything,
}

/// How the response to a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// All events were written.
    Complete,
    /// The entry closed the connection before the last event was written.
    ClosedByEntry,
    /// The server broke the connection, or has ended.
    Broken,
    /// The server refused the request.
    Refused,
}

/// A request as its server recorded it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRecord {
    pub attempt: String,
    /// The event after which the response begins.
    pub last_event: Option<u64>,
    pub received_at: Instant,
    /// Number of events that were written.
    pub events: u64,
    /// How the response ended; `None` while it is being written.
    pub ending: Option<Ending>,
    pub ended_at: Option<Instant>,
}

/// Text of an event of the stream for one attempt.
pub fn event_text(attempt: &str, id: u64) -> String {
    format!("id: {id}\ndata: event {id:02} of {attempt}\n\n")
}

/// Text of the whole stream for one attempt, after an event that the caller has already.
pub fn whole_stream(attempt: &str, last_event: u64) -> String {
    (last_event + 1..=EVENTS).map(|id| event_text(attempt, id)).collect()
}

/// A server that streams events.
pub struct StreamServer {
    pub address: SocketAddr,
    reaction: Mutex<Reaction>,
    silence: watch::Sender<Silence>,
    /// Counts how often all connections were broken.
    breaks: watch::Sender<u32>,
    records: Mutex<Vec<RequestRecord>>,
    listening: Mutex<Option<AbortHandle>>,
}

/// Ends the record of a response that was not written to its end: its connection was broken.
struct OpenRecord<'a> {
    server: &'a StreamServer,
    number: usize,
}

impl OpenRecord<'_> {
    fn update(&self, change: impl FnOnce(&mut RequestRecord)) {
        if let Some(record) = lock(&self.server.records).get_mut(self.number) {
            change(record);
        }
    }

    fn end(&self, ending: Ending) {
        self.update(|record| {
            if record.ending.is_none() {
                record.ending = Some(ending);
                record.ended_at = Some(Instant::now());
            }
        });
    }
}

impl Drop for OpenRecord<'_> {
    fn drop(&mut self) {
        self.end(Ending::Broken);
    }
}

impl StreamServer {
    pub async fn start() -> Result<Arc<StreamServer>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Arc::new(StreamServer {
            address: listener.local_addr()?,
            reaction: Mutex::new(Reaction::Answer),
            silence: watch::channel(Silence::None).0,
            breaks: watch::channel(0).0,
            records: Mutex::default(),
            listening: Mutex::default(),
        });
        let accepting_server = server.clone();
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (server, mut breaks) = (accepting_server.clone(), accepting_server.breaks.subscribe());
                tokio::spawn(async move {
                    tokio::select! {
                        _ = server.serve(stream) => {}
                        _ = breaks.changed() => {}
                    }
                });
            }
        });
        *lock(&server.listening) = Some(accepting.abort_handle());
        Ok(server)
    }

    /// Sets what it does not write from now on.
    pub fn set_silence(&self, silence: Silence) {
        self.silence.send_replace(silence);
    }

    /// Sets how it reacts to new requests.
    pub fn set_reaction(&self, reaction: Reaction) {
        *lock(&self.reaction) = reaction;
    }

    /// Closes all connections.
    pub fn break_connections(&self) {
        self.breaks.send_modify(|count| *count += 1);
    }

    /// Ends the process: its connections are closed, and new ones are refused.
    pub fn exit(&self) {
        if let Some(listening) = lock(&self.listening).take() {
            listening.abort();
        }
        self.break_connections();
    }

    /// Returns the requests that it has received.
    pub fn records(&self) -> Vec<RequestRecord> {
        lock(&self.records).clone()
    }

    /// Returns the records of an attempt.
    pub fn records_of(&self, attempt: &str) -> Vec<RequestRecord> {
        self.records().into_iter().filter(|record| record.attempt == attempt).collect()
    }

    async fn serve(&self, stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let (mut reader, mut writer) = stream.into_split();
        while let Some(request) = read_request(&mut reader).await {
            let record = self.open_record(&request);
            let reaction = *lock(&self.reaction);
            if reaction == Reaction::Break {
                return Ok(());
            }
            let writing = async {
                match reaction {
                    Reaction::Refuse => self.write_refusal(&mut writer, &request).await,
                    _ => self.write_stream(&mut writer, &request, &record).await,
                }
            };
            // The entry sends nothing before the end of the response, so whatever is read is the end of the connection.
            let written = tokio::select! {
                biased;
                _ = reader.read_u8() => None,
                written = writing => Some(written),
            };
            match written {
                Some(Ok(())) if reaction == Reaction::Refuse => record.end(Ending::Refused),
                Some(Ok(())) => record.end(Ending::Complete),
                Some(Err(_)) | None => {
                    record.end(Ending::ClosedByEntry);
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    fn open_record(&self, request: &Request) -> OpenRecord<'_> {
        let mut records = lock(&self.records);
        records.push(RequestRecord {
            attempt: request.attempt.clone(),
            last_event: request.last_event,
            received_at: Instant::now(),
            events: 0,
            ending: None,
            ended_at: None,
        });
        OpenRecord { server: self, number: records.len() - 1 }
    }

    /// Waits until it writes what is not written in a silence from `first` on.
    async fn until_no(&self, first: Silence) {
        let _ = self.silence.subscribe().wait_for(|silence| *silence < first).await;
    }

    async fn write_refusal(&self, writer: &mut OwnedWriteHalf, request: &Request) -> Result<()> {
        self.until_no(Silence::Everything).await;
        let head = response_head(REFUSAL, request, "dockwood-not-run: 1\r\n", 0);
        writer.write_all(head.as_bytes()).await
    }

    async fn write_stream(
        &self,
        writer: &mut OwnedWriteHalf,
        request: &Request,
        record: &OpenRecord<'_>,
    ) -> Result<()> {
        let first = request.last_event.unwrap_or(0) + 1;
        let events = (first..=EVENTS).map(|id| event_text(&request.attempt, id));
        let length = events.clone().map(|event| event.len()).sum();
        self.until_no(Silence::Everything).await;
        let head = response_head("200 OK", request, "content-type: text/event-stream\r\n", length);
        writer.write_all(head.as_bytes()).await?;
        for event in events {
            tokio::time::sleep(EVENT_INTERVAL).await;
            let (first_half, second_half) = event.split_at(event.len() / 2);
            self.until_no(Silence::Events).await;
            writer.write_all(first_half.as_bytes()).await?;
            self.until_no(Silence::WithinEvent).await;
            writer.write_all(second_half.as_bytes()).await?;
            record.update(|record| record.events += 1);
        }
        Ok(())
    }
}

fn response_head(status: &str, request: &Request, headers: &str, length: usize) -> String {
    let attempt = &request.attempt;
    format!("HTTP/1.1 {status}\r\ndockwood-attempt: {attempt}\r\n{headers}content-length: {length}\r\n\r\n")
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
