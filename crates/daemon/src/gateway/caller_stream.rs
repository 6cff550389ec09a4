//! Stream of a caller's connection, which records what passes on it.

use super::connection_record::ConnectionRecord;
use crate::client_stream::ClientStream;
use crate::connection_line::ConnectionEnd;
use std::io::{ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Stream of a caller's connection.
pub struct CallerStream {
    stream: ClientStream,
    record: Arc<ConnectionRecord>,
}

impl CallerStream {
    /// Wraps an accepted connection.
    pub fn new(stream: ClientStream, record: Arc<ConnectionRecord>) -> CallerStream {
        CallerStream { stream, record }
    }

    fn record_failure(&self, written: &Poll<Result<usize>>) {
        let Poll::Ready(Err(error)) = written else { return };
        self.record.end(match error.kind() {
            ErrorKind::TimedOut => ConnectionEnd::UnreadResponse,
            _ => ConnectionEnd::Caller,
        });
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
            (Poll::Ready(Err(error)), _) if error.kind() == ErrorKind::TimedOut => {
                self.record.end(ConnectionEnd::HeadTimeout);
            }
            (Poll::Ready(Err(_)), _) | (Poll::Ready(Ok(())), 0) => self.record.end(ConnectionEnd::Caller),
            (Poll::Ready(Ok(())), bytes) => self.record.received(bytes),
        }
        read
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_failure(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_failure(&written);
        written
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
