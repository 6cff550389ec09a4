//! A server whose responses are scripted by the test, byte for byte.

use dockwood_daemon::lock::lock;
use std::collections::VecDeque;
use std::io::Result;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// The server's reaction to one request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Writes these bytes, with `ATTEMPT` replaced by the request's attempt id, and keeps the connection open.
    Bytes(String),
    /// Writes the bytes likewise, and closes the connection.
    BytesAndClose(String),
}

/// Returns a successful response.
pub fn success_reply() -> Reply {
    Reply::Bytes(
        "HTTP/1.1 200 OK\r\ndockwood-attempt: ATTEMPT\r\ncontent-length: 6\r\n\r\nserved".to_string(),
    )
}

/// Returns a rejection with additional headers, each with its line break.
pub fn rejection_reply(status: &str, headers: &str) -> Reply {
    let head = format!("HTTP/1.1 {status}\r\ndockwood-attempt: ATTEMPT\r\n{headers}");
    Reply::Bytes(format!("{head}content-length: 0\r\n\r\n"))
}

/// A server with scripted responses.
pub struct ScriptedServer {
    pub address: SocketAddr,
    script: Mutex<VecDeque<Reply>>,
    /// The reply to all requests after the script.
    last_reply: Reply,
    /// Attempt ids of the received requests.
    attempts: Mutex<Vec<String>>,
    /// Whether responses may be written.
    pub may_answer: watch::Sender<bool>,
    /// Whether the second half of a response may be written.
    pub may_complete: watch::Sender<bool>,
    /// Counts how often all connections were broken.
    breaks: watch::Sender<u32>,
    listening: Mutex<Option<AbortHandle>>,
}

impl ScriptedServer {
    /// Starts a server that sends the scripted responses in order, and successful ones after that.
    pub async fn start(script: impl IntoIterator<Item = Reply>) -> Result<Arc<ScriptedServer>> {
        ScriptedServer::start_with(script, success_reply()).await
    }

    /// Starts a server that sends the scripted responses in order, and `last_reply` after that.
    pub async fn start_with(
        script: impl IntoIterator<Item = Reply>,
        last_reply: Reply,
    ) -> Result<Arc<ScriptedServer>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Arc::new(ScriptedServer {
            address: listener.local_addr()?,
            script: Mutex::new(script.into_iter().collect()),
            last_reply,
            attempts: Mutex::default(),
            may_answer: watch::channel(true).0,
            may_complete: watch::channel(true).0,
            breaks: watch::channel(0).0,
            listening: Mutex::default(),
        });
        let listening = server.clone();
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (server, mut breaks) = (listening.clone(), listening.breaks.subscribe());
                tokio::spawn(async move {
                    tokio::select! {
                        () = server.serve(stream) => {}
                        _ = breaks.changed() => {}
                    }
                });
            }
        });
        *lock(&server.listening) = Some(accepting.abort_handle());
        Ok(server)
    }

    /// Closes all connections.
    pub fn break_connections(&self) {
        self.breaks.send_modify(|count| *count += 1);
    }

    /// Ends the server: its connections are closed, and new ones are refused.
    pub fn stop(&self) {
        if let Some(listening) = lock(&self.listening).take() {
            listening.abort();
        }
        self.break_connections();
    }

    /// Returns the number of received requests.
    pub fn received(&self) -> usize {
        lock(&self.attempts).len()
    }

    /// Returns the attempt ids of the received requests.
    pub fn attempts(&self) -> Vec<String> {
        lock(&self.attempts).clone()
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        while let Some(attempt) = read_request(&mut stream).await {
            lock(&self.attempts).push(attempt.clone());
            let reply = lock(&self.script).pop_front().unwrap_or_else(|| self.last_reply.clone());
            let (Reply::Bytes(bytes) | Reply::BytesAndClose(bytes)) = &reply;
            let written = self.write(&mut stream, &bytes.replace("ATTEMPT", &attempt)).await;
            if written.is_err() || matches!(reply, Reply::BytesAndClose(_)) {
                return;
            }
        }
    }

    /// Writes a response in two halves, each as soon as it may be written.
    async fn write(&self, stream: &mut TcpStream, response: &str) -> Result<()> {
        let (first, second) = response.as_bytes().split_at(response.len() / 2);
        let _ = self.may_answer.subscribe().wait_for(|may_answer| *may_answer).await;
        stream.write_all(first).await?;
        let _ = self.may_complete.subscribe().wait_for(|may_complete| *may_complete).await;
        stream.write_all(second).await
    }
}

/// Reads a request and returns its attempt id; `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name).map(str::to_string));
    let length = field("content-length: ").and_then(|length| length.parse().ok()).unwrap_or(0);
    stream.read_exact(&mut vec![0; length]).await.ok()?;
    Some(field("dockwood-attempt: ").unwrap_or_default())
}
