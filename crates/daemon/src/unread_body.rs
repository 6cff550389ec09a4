//! Bodies of requests that may be answered before they have been read completely.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::runtime::Handle;

/// Maximum time for which the rest of a body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of the rest of a body that is read, in bytes.
const MAX_DISCARDED_BYTES: usize = 8 << 20;

/// Body of a request whose rest is read and discarded once this is dropped. If the connection was closed instead, a caller
/// that is still sending would get a reset in place of the response.
pub struct DiscardingBody<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    body: Option<B>,
}

impl<B> DiscardingBody<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    /// Wraps the body of a request.
    pub fn new(body: B) -> Self {
        DiscardingBody { body: Some(body) }
    }
}

impl<B> Body for DiscardingBody<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let Some(body) = &mut self.body else { return Poll::Ready(None) };
        let frame = Pin::new(body).poll_frame(context);
        if matches!(frame, Poll::Ready(None | Some(Err(_)))) {
            // Without a length, only this shows that nothing is left to discard.
            self.body = None;
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.body.as_ref().map(Body::size_hint).unwrap_or_default()
    }
}

impl<B> Drop for DiscardingBody<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    fn drop(&mut self) {
        let unread = self.body.take().filter(|body| !body.is_end_stream());
        // Outside a runtime, no connection is served any more.
        if let (Some(body), Ok(runtime)) = (unread, Handle::try_current()) {
            // A caller that takes longer gets the reset.
            runtime.spawn(tokio::time::timeout(DISCARD_TIMEOUT, read_rest(body)));
        }
    }
}

async fn read_rest(mut body: impl Body<Data = Bytes> + Unpin) {
    let mut discarded_bytes = 0;
    while let Some(Ok(frame)) = body.frame().await {
        discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
        if discarded_bytes > MAX_DISCARDED_BYTES {
            return;
        }
    }
}
