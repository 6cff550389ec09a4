//! Stream of a client's connection. It fails if the head of a request takes too long or if the client does not read its
//! response: what is held for the client would be held indefinitely otherwise.

use crate::connection_slots::ConnectionSlot;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Time for which a write waits for a client that reads nothing.
const UNREAD_LIMIT: Duration = Duration::from_secs(10);

/// Stream of a client's connection. Its errors of the kind `TimedOut` mean that the client was too slow.
pub struct ClientStream {
    stream: TcpStream,
    slot: Arc<ConnectionSlot>,
    head_timeout: Duration,
    head_limit: Option<HeadLimit>,
    /// Ends when the pending write has waited for [`UNREAD_LIMIT`].
    unread_limit: Option<Pin<Box<Sleep>>>,
}

/// Ends when the head of a request must be complete; begins with its first byte.
struct HeadLimit {
    /// Number of requests before that one.
    received_before: u64,
    limit: Pin<Box<Sleep>>,
    /// What has arrived by then may complete the head: the process may have been suspended meanwhile.
    has_passed: bool,
}

impl ClientStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, slot: Arc<ConnectionSlot>, head_timeout: Duration) -> ClientStream {
        ClientStream { stream, slot, head_timeout, head_limit: None, unread_limit: None }
    }

    /// Returns whether the head of a request has been incomplete for too long.
    fn is_head_late(&mut self, context: &mut Context<'_>, has_read: bool) -> bool {
        let received = self.slot.received_requests();
        self.head_limit.take_if(|limit| limit.received_before != received);
        if self.slot.has_request() {
            return false;
        }
        if self.head_limit.is_none() && has_read {
            let limit = Box::pin(tokio::time::sleep(self.head_timeout));
            self.head_limit = Some(HeadLimit { received_before: received, limit, has_passed: false });
        }
        let Some(head) = &mut self.head_limit else { return false };
        if head.has_passed {
            return true;
        }
        head.has_passed = head.limit.as_mut().poll(context).is_ready();
        head.has_passed && !has_read
    }

    /// Returns the result of a write, or an error if it has been pending for too long.
    fn limit_write(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<Result<usize>>,
    ) -> Poll<Result<usize>> {
        if written.is_ready() {
            self.unread_limit = None;
            return written;
        }
        let limit = self.unread_limit.get_or_insert_with(|| Box::pin(tokio::time::sleep(UNREAD_LIMIT)));
        limit.as_mut().poll(context).map(|()| Err(Error::from(ErrorKind::TimedOut)))
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let has_read = buffer.filled().len() > filled;
        if self.is_head_late(context, has_read) && !matches!(read, Poll::Ready(Err(_))) {
            return Poll::Ready(Err(Error::from(ErrorKind::TimedOut)));
        }
        read
    }
}

impl AsyncWrite for ClientStream {
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
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
