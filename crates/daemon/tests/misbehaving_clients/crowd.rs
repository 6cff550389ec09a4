//! A crowd of clients that send the same bytes at the same time and keep their connections open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Time after which a client whose bytes are not taken ceases to send. Nothing is concluded from it.
const SEND_LIMIT: Duration = Duration::from_secs(20);
/// Time after which a client gives up connecting, likewise.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);
/// Part of a body that is written at once.
const PIECE_BYTES: usize = 64 << 10;

/// What each client sends: an opening, then the same piece a number of times, then an ending.
#[derive(Clone, Debug, Default)]
pub struct Script {
    opening: Vec<u8>,
    piece: Vec<u8>,
    pieces: usize,
    ending: Vec<u8>,
}

impl Script {
    /// Nothing at all.
    pub fn silent() -> Script {
        Script::default()
    }

    /// A head of at least `bytes` without its end.
    pub fn endless_head(bytes: usize) -> Script {
        let opening = b"GET / HTTP/1.1\r\nhost: h.example\r\nx-fill: ".to_vec();
        Script { opening, piece: vec![b'a'; bytes], pieces: 1, ending: Vec::new() }
    }

    /// Chunks of a size, `bytes` in all, without the end of the body.
    pub fn open_chunks(head: &str, chunk_bytes: usize, bytes: usize) -> Script {
        let mut chunk = format!("{chunk_bytes:x}\r\n").into_bytes();
        chunk.resize(chunk.len() + chunk_bytes, b'x');
        chunk.extend_from_slice(b"\r\n");
        let chunks_in_piece = (PIECE_BYTES / chunk_bytes).max(1);
        let pieces = bytes / (chunk_bytes * chunks_in_piece);
        let opening = format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes();
        Script { opening, piece: chunk.repeat(chunks_in_piece), pieces, ending: Vec::new() }
    }

    /// A body of an announced length whose last `missing` bytes are not sent.
    pub fn announced(head: &str, bytes: usize, missing: usize) -> Script {
        let opening = format!("{head}content-length: {bytes}\r\n\r\n").into_bytes();
        let sent = bytes - missing;
        let ending = vec![b'x'; sent % PIECE_BYTES];
        Script { opening, piece: vec![b'x'; PIECE_BYTES], pieces: sent / PIECE_BYTES, ending }
    }

    /// A frame between daemons whose last byte is not sent.
    pub fn incomplete_frame(bytes: usize) -> Script {
        let opening = (bytes as u32).to_be_bytes().to_vec();
        let ending = vec![0; PIECE_BYTES - 1];
        Script { opening, piece: vec![0; PIECE_BYTES], pieces: bytes / PIECE_BYTES - 1, ending }
    }
}

/// Clients that have sent what they wanted to, or were refused. Their connections are open until this is dropped.
pub struct Crowd {
    _clients: Vec<TcpStream>,
}

impl Crowd {
    /// Connects clients to an address one after the other, then lets them send at the same time. Returns when none of them
    /// sends any more.
    pub async fn send(address: SocketAddr, clients: usize, script: Script) -> Crowd {
        let script = Arc::new(script);
        let mut sending = Vec::new();
        for _ in 0..clients {
            let connecting = tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(address));
            if let Ok(Ok(stream)) = connecting.await {
                sending.push(tokio::spawn(send_script(stream, script.clone())));
            }
        }
        let sent = futures::future::join_all(sending).await;
        Crowd { _clients: sent.into_iter().filter_map(Result::ok).collect() }
    }
}

/// Sends a script, and returns the connection. A daemon may refuse the bytes or close the connection.
async fn send_script(mut stream: TcpStream, script: Arc<Script>) -> TcpStream {
    let sending = async {
        stream.write_all(&script.opening).await?;
        for _ in 0..script.pieces {
            stream.write_all(&script.piece).await?;
        }
        stream.write_all(&script.ending).await
    };
    let _ = tokio::time::timeout(SEND_LIMIT, sending).await;
    stream
}
