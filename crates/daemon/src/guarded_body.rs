//! Body of a response that keeps a guard until hyper has taken all of it.

use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

/// A body with a guard, which is dropped with it.
pub struct GuardedBody<B, Guard> {
    body: B,
    _guard: Guard,
}

impl<B, Guard> GuardedBody<B, Guard> {
    /// Adds a guard to a body.
    pub fn new(body: B, guard: Guard) -> GuardedBody<B, Guard> {
        GuardedBody { body, _guard: guard }
    }
}

impl<B: Body + Unpin, Guard: Unpin> Body for GuardedBody<B, Guard> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
