//! Successful responses in a protocol in which servers sign them.

use crate::entry::{Entry, EntryOptions};
use crate::head_cases::{ATTEMPT, OK, PATHS, answer_of, is_entry_error, with_length};
use crate::scripted_server::Reply;
use dockwood_api::ApiError;
use dockwood_api::gateway::{GroupOrder, OrderAnswer, PromptPart};
use dockwood_daemon::dialect::{Dialect, DirectoryQuery, EncodedCall, HeaderNames, OperatorCall};
use dockwood_daemon::native_dialect::NativeDialect;
use std::io::Result;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The native protocol with a signature.
struct SignedDialect {
    headers: HeaderNames,
}

impl Dialect for SignedDialect {
    fn headers(&self) -> &HeaderNames {
        &self.headers
    }

    fn readiness_path(&self) -> &str {
        NativeDialect.readiness_path()
    }

    fn key<'a>(&self, authorization: &'a str) -> Option<&'a str> {
        NativeDialect.key(authorization)
    }

    fn prompt_tokens(&self, usage: &str) -> Option<u64> {
        NativeDialect.prompt_tokens(usage)
    }

    fn prompt_parts(&self, parts: &str) -> Vec<PromptPart> {
        NativeDialect.prompt_parts(parts)
    }

    fn directory_query(&self, path: &str, query: &str) -> Option<DirectoryQuery> {
        NativeDialect.directory_query(path, query)
    }

    fn directory_answer(&self, addresses: &[SocketAddr], lifetime: Duration) -> Vec<u8> {
        NativeDialect.directory_answer(addresses, lifetime)
    }

    fn operator_call(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> std::result::Result<OperatorCall, ApiError> {
        NativeDialect.operator_call(method, path, body)
    }

    fn report_answer(&self, report_to: Option<SocketAddr>) -> Vec<u8> {
        NativeDialect.report_answer(report_to)
    }

    fn order_call(&self, order: &GroupOrder) -> EncodedCall {
        NativeDialect.order_call(order)
    }

    fn order_answer(&self, status: u16) -> OrderAnswer {
        NativeDialect.order_answer(status)
    }

    fn report_path(&self) -> &str {
        NativeDialect.report_path()
    }

    fn report_slowness(&self, body: &[u8]) -> Option<f64> {
        NativeDialect.report_slowness(body)
    }
}

/// Returns what a caller gets on this path if the server sends a response with this status and these lines in its head.
async fn answer_with(path: &str, status: &str, lines: &str) -> Result<String> {
    let headers = HeaderNames { signature: Some("signature"), ..*NativeDialect.headers() };
    let options = EntryOptions { dialect: Arc::new(SignedDialect { headers }), ..EntryOptions::default() };
    let response = with_length(path, status, &format!("{ATTEMPT}{lines}"));
    answer_of(Entry::start_with(options)?, "POST", path, Reply::Bytes(response)).await
}

#[yare::parameterized(
    missing = { "" },
    empty = { "signature:\r\n" },
    spoilt_name = { "signbture: s-1\r\n" },
    twice = { "signature: s-1\r\nsignature: s-2\r\n" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_success_without_its_signature_is_not_forwarded(lines: &str) -> Result<()> {
    for path in PATHS {
        let answer = answer_with(path, OK, lines).await?;
        assert!(is_entry_error(&answer), "{path}: {answer}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_signed_success_and_an_error_without_a_signature_are_forwarded() -> Result<()> {
    for path in PATHS {
        let answer = answer_with(path, OK, "signature: s-1\r\n").await?;
        assert!(answer.starts_with("HTTP/1.1 200 ") && answer.contains("signature: s-1"), "{path}: {answer}");
        let answer = answer_with(path, "500 Failed", "").await?;
        assert!(answer.starts_with("HTTP/1.1 500 ") && answer.contains("whole!"), "{path}: {answer}");
    }
    Ok(())
}
