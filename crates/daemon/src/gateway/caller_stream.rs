//! Stream of a caller's connection, which fails if the caller does not read: what is held for it would be held
//! indefinitely otherwise.

use super::connection_record::ConnectionRecord;
use crate::connection_line::ConnectionEnd;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Time for which a write waits for a caller that reads nothing.
const UNREAD_LIMIT: Duration = Duration::from_secs(10);

/// Stream of a caller's connection.
pub struct CallerStream {
    stream: TcpStream,
    record: Arc<ConnectionRecord>,
    /// Ends when the pending write has waited for [`UNREAD_LIMIT`].
    unread_limit: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, record: Arc<ConnectionRecord>) -> CallerStream {
        CallerStream { stream, record, unread_limit: None }
    }

    /// Returns the result of a write, or an error if it has been pending for too long.
    fn limit_write(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<Result<usize>>,
    ) -> Poll<Result<usize>> {
        if let Poll::Ready(written) = written {
            self.unread_limit = None;
            if written.is_err() {
                self.record.end(ConnectionEnd::Caller);
            }
            return Poll::Ready(written);
        }
        let limit = self.unread_limit.get_or_insert_with(|| Box::pin(tokio::time::sleep(UNREAD_LIMIT)));
        limit.as_mut().poll(context).map(|()| {
            self.record.end(ConnectionEnd::UnreadResponse);
            Err(Error::from(ErrorKind::TimedOut))
        })
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        match (&read, buffer.filled().len() - filled) {
            (Poll::Pending, _) => {}
            (Poll::Ready(Err(_)), _) | (Poll::Ready(Ok(())), 0) => self.record.end(ConnectionEnd::Caller),
            (Poll::Ready(Ok(())), bytes) => self.record.received(bytes),
        }
        read
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.limit_write(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.limit_write(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.record.flushed();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
