//! The end of a tunnel at the daemon that connects to a server.

use super::protocol::{PREFACE, TunnelReply, TunnelRequest, frame_codec};
use bytes::{Bytes, BytesMut};
use futures::stream::BoxStream;
use futures::{StreamExt, stream};
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};
use tokio_util::io::StreamReader;

type Frames = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// A connection to a server through another daemon; it is closed on drop.
pub struct TunnelStream {
    reader: StreamReader<BoxStream<'static, Result<Bytes>>, Bytes>,
    writer: OwnedWriteHalf,
}

/// Opens a tunnel through the daemon at `peer`; `Err` with its reply if there is none.
///
/// # Errors
/// An I/O error if the daemon does not reply.
pub async fn open_tunnel(
    peer: SocketAddr,
    request: TunnelRequest,
) -> Result<std::result::Result<TunnelStream, TunnelReply>> {
    let stream = TcpStream::connect(peer).await?;
    stream.set_nodelay(true)?;
    let (read_half, mut writer) = stream.into_split();
    writer.write_all(&encode_request(&request)?).await?;
    let mut frames = FramedRead::new(read_half, frame_codec());
    let reply = next_frame(&mut frames).await?;
    let reply: TunnelReply = postcard::from_bytes(&reply).map_err(Error::other)?;
    if reply != TunnelReply::Connected {
        return Ok(Err(reply));
    }
    Ok(Ok(TunnelStream { reader: StreamReader::new(server_bytes(frames)), writer }))
}

fn encode_request(request: &TunnelRequest) -> Result<Vec<u8>> {
    let body = postcard::to_stdvec(request).map_err(Error::other)?;
    let mut encoded = BytesMut::from(&PREFACE[..]);
    tokio_util::codec::Encoder::encode(&mut frame_codec(), Bytes::from(body), &mut encoded)?;
    Ok(encoded.to_vec())
}

async fn next_frame(frames: &mut Frames) -> Result<Bytes> {
    match frames.next().await {
        Some(frame) => frame.map(BytesMut::freeze),
        None => Err(Error::from(ErrorKind::UnexpectedEof)),
    }
}

/// Returns the server's bytes. The stream ends at the empty frame, and with an error if that is missing.
fn server_bytes(frames: Frames) -> BoxStream<'static, Result<Bytes>> {
    let next = |frames: Option<Frames>| async move {
        let mut frames = frames?;
        match next_frame(&mut frames).await {
            Ok(bytes) if bytes.is_empty() => None,
            Ok(bytes) => Some((Ok(bytes), Some(frames))),
            Err(error) => Some((Err(error), None)),
        }
    };
    stream::unfold(Some(frames), next).boxed()
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.reader).poll_read(context, buffer)
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        Pin::new(&mut self.writer).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.writer).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.writer).poll_shutdown(context)
    }
}
