//! Responses whose heads can be read and still begin no response that may be forwarded: what follows is not known to be the
//! server's body.

use crate::head_cases::{ATTEMPT, LAST_CHUNK, OK, PATHS, answer_to, assert_not_forwarded, body_of, head};
use crate::large_responses::{chunk, complete_body};
use crate::scripted_server::Reply;
use std::io::Result;

/// Returns a response whose body is in chunks, whatever these lines of its head tell.
fn in_chunks(path: &str, status: &str, lines: &str) -> String {
    format!("{}{}{LAST_CHUNK}", head(path, status, &format!("{ATTEMPT}{lines}")), chunk(body_of(path)))
}

#[yare::parameterized(
    cut = { "chunke" },
    longer = { "chunkedx" },
    other_beginning = { "xchunked" },
    compressed = { "gzip" },
    identity = { "identity" },
    empty = { "" },
    with_parameter = { "chunked;q=1" },
    quoted = { "\"chunked\"" },
    comma_after = { "chunked," },
    comma_before = { ",chunked" },
    other_coding_after = { "chunked, gzip" },
    other_coding_before = { "gzip, chunked" },
    without_comma = { "chunked chunked" },
    twice = { "chunked, chunked" },
    in_two_lines = { "chunked\r\ntransfer-encoding: chunked" },
    not_ascii = { "chunk\u{e9}d" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_transfer_coding_that_is_not_chunked_is_not_read_as_a_body(coding: &str) -> Result<()> {
    for status in [OK, "500 Failed"] {
        let line = format!("transfer-encoding: {coding}\r\n");
        assert_not_forwarded(|path| in_chunks(path, status, &line)).await?;
    }
    Ok(())
}

#[yare::parameterized(
    lower_case = { "chunked" },
    upper_case = { "CHUNKED" },
    spaces = { "  chunked \t" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn chunks_arrive_whole(coding: &str) -> Result<()> {
    for path in PATHS {
        let response = in_chunks(path, OK, &format!("transfer-encoding: {coding}\r\n"));
        let answer = answer_to("POST", path, Reply::Bytes(response)).await?;
        assert_eq!(complete_body(&answer).as_deref(), Some(body_of(path)), "{answer}");
    }
    Ok(())
}
