//! A server whose responses are scripted by the test, byte for byte.

use std::collections::VecDeque;
use std::io::Result;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;
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
    arrivals: Mutex<Vec<Instant>>,
    /// Whether responses may be written.
    pub may_answer: watch::Sender<bool>,
    /// Counts how often all connections were broken.
    breaks: watch::Sender<u32>,
    listening: Mutex<Option<AbortHandle>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl ScriptedServer {
    /// Starts a server that sends the scripted responses in order, and successful ones after that.
    pub async fn start(script: impl IntoIterator<Item = Reply>) -> Result<Arc<ScriptedServer>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Arc::new(ScriptedServer {
            address: listener.local_addr()?,
            script: Mutex::new(script.into_iter().collect()),
            arrivals: Mutex::default(),
            may_answer: watch::channel(true).0,
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
        lock(&self.arrivals).len()
    }

    async fn serve(self: Arc<Self>, mut stream: TcpStream) {
        while let Some(attempt) = read_request(&mut stream).await {
            lock(&self.arrivals).push(Instant::now());
            let reply = lock(&self.script).pop_front().unwrap_or_else(success_reply);
            let _ = self.may_answer.subscribe().wait_for(|may_answer| *may_answer).await;
            let (Reply::Bytes(bytes) | Reply::BytesAndClose(bytes)) = &reply;
            let written = stream.write_all(bytes.replace("ATTEMPT", &attempt).as_bytes()).await;
            if written.is_err() || matches!(reply, Reply::BytesAndClose(_)) {
                return;
            }
        }
    }
}

/// Reads a request without a body and returns its attempt id; `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let attempt = head.lines().find_map(|line| line.strip_prefix("dockwood-attempt: ").map(str::to_string));
    Some(attempt.unwrap_or_default())
}
