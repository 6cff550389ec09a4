//! Body of a response that records whether hyper has taken all of it.

use super::body::{ResponseBody, Truncated};
use super::connection_record::AnswerRecord;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::CONTENT_LENGTH;
use hyper::{Method, Response, StatusCode};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

struct AnswerBody {
    body: ResponseBody,
    answer: AnswerRecord,
    /// Bytes that hyper will still ask for, if the head states the length.
    remaining_bytes: Option<u64>,
    has_ended: bool,
    was_cut: bool,
}

/// Records the response, and lets its body record its end.
pub fn record_answer(
    answer: AnswerRecord,
    method: &Method,
    is_early: bool,
    response: Response<ResponseBody>,
) -> Response<ResponseBody> {
    let status = response.status();
    answer.respond(status, is_early);
    let has_no_body =
        method == Method::HEAD || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let length = response.headers().get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
    let remaining_bytes = if has_no_body { Some(0) } else { length };
    response.map(|body| {
        AnswerBody { body, answer, remaining_bytes, has_ended: false, was_cut: false }.boxed_unsync()
    })
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        match &frame {
            None => self.has_ended = true,
            Some(Err(_)) => self.was_cut = true,
            Some(Ok(frame)) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len) as u64;
                self.remaining_bytes = self.remaining_bytes.map(|remaining| remaining.saturating_sub(bytes));
            }
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        // A body of unknown size holds the log of its request, whose line tells that it was dropped early.
        let holds_log = self.body.size_hint().exact().is_none();
        if self.has_ended || self.body.is_end_stream() || self.remaining_bytes == Some(0) {
            self.answer.taken();
        } else if self.was_cut || holds_log {
            self.answer.logged_by_request_line();
        }
    }
}
