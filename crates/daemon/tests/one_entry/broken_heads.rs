//! Responses whose heads can be read and still begin no response that may be forwarded: what follows is not known to be the
//! server's body.

use crate::head_cases::{
    AGAIN, ATTEMPT, OK, ONCE, PATHS, answer_to, assert_not_forwarded, assert_not_forwarded_on_plain_paths,
    body_of, head, is_entry_error, with_length,
};
use crate::large_responses::{LAST_CHUNK, chunk, complete_body, large_body};
use crate::scripted_server::Reply;
use dockwood_daemon::content_coding::is_coding_accepted;
use dockwood_daemon::unannounced_chunks::is_in_chunks;
use hyper::header::{ACCEPT_ENCODING, CONTENT_ENCODING, HeaderMap, HeaderName, HeaderValue};
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

#[yare::parameterized(
    shorter = { "3" },
    longer = { "9" },
    equal = { "6" },
    no_number = { "6x" },
    empty = { "" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_head_that_tells_a_length_beside_chunks_is_not_forwarded(length: &str) -> Result<()> {
    let lines = format!("content-length: {length}\r\ntransfer-encoding: chunked\r\n");
    assert_not_forwarded(|path| in_chunks(path, OK, &lines)).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_response_with_a_length_beside_chunks_is_not_forwarded() -> Result<()> {
    let head = "HTTP/1.1 200 OK\r\ndockwood-attempt: ATTEMPT\r\ncontent-length: 9\r\ntransfer-encoding: chunked\r\n\r\n";
    let response = format!("{head}{}{LAST_CHUNK}", chunk(&large_body()));
    assert_not_forwarded_on_plain_paths(Reply::Bytes(response)).await
}

#[yare::parameterized(
    leading_zero = { "06" },
    repeated = { "6, 6" },
    in_two_lines = { "6\r\ncontent-length: 6" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_caller_gets_one_number_for_a_length_in_another_form(length: &str) -> Result<()> {
    let response = format!("HTTP/1.1 200 OK\r\n{ATTEMPT}content-length: {length}\r\n\r\nwhole!");
    for path in [ONCE, AGAIN] {
        let answer = answer_to("POST", path, Reply::Bytes(response.clone())).await?.to_ascii_lowercase();
        let lengths: Vec<&str> =
            answer.lines().filter_map(|line| line.strip_prefix("content-length: ")).collect();
        assert!(lengths == ["6"] && answer.ends_with("\r\n\r\nwhole!"), "{path}: {answer}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_response_to_a_head_request_tells_the_length_of_the_body_that_it_omits() -> Result<()> {
    let response = format!("HTTP/1.1 200 OK\r\n{ATTEMPT}content-length: 0600\r\n\r\n");
    let answer = answer_to("HEAD", AGAIN, Reply::Bytes(response)).await?.to_ascii_lowercase();
    assert!(answer.starts_with("http/1.1 200 ") && answer.contains("content-length: 600\r\n"), "{answer}");
    Ok(())
}

#[yare::parameterized(
    length = { "content-length: 6\r\n" },
    chunks = { "transfer-encoding: chunked\r\n" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_body_is_not_dropped_because_the_status_says_that_there_is_none(line: &str) -> Result<()> {
    assert_not_forwarded(|path| in_chunks(path, "204 No Content", line)).await
}

#[yare::parameterized(
    without_length = { "" },
    length_zero = { "content-length: 0\r\n" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_response_without_a_body_is_forwarded(line: &str) -> Result<()> {
    for status in ["204 No Content", "304 Not Modified"] {
        for path in PATHS {
            let response = head(path, status, &format!("{ATTEMPT}{line}"));
            let answer = answer_to("POST", path, Reply::Bytes(response)).await?;
            assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{path}: {answer}");
        }
    }
    Ok(())
}

#[yare::parameterized(
    nothing = { "" },
    spoilt_name_of_the_length = { "cxntent-length: 600\r\n" },
    spoilt_name_of_the_coding = { "transfer-encodxng: chunked\r\n" },
    connection_stays_open = { "connection: keep-alive\r\n" },
    spoilt_announcement = { "connection: closed\r\n" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_body_whose_end_is_not_known_is_not_forwarded(lines: &str) -> Result<()> {
    for status in [OK, "500 Failed"] {
        assert_not_forwarded(|path| in_chunks(path, status, lines)).await?;
        assert_not_forwarded(|path| {
            format!("{}{}", head(path, status, &format!("{ATTEMPT}{lines}")), body_of(path))
        })
        .await?;
    }
    Ok(())
}

#[yare::parameterized(
    alone = { "close" },
    capital = { "Close" },
    among_others = { "foo, close" },
    in_two_lines = { "foo\r\nconnection: close" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_body_that_ends_with_its_connection_as_announced_is_forwarded(options: &str) -> Result<()> {
    for path in PATHS {
        let response =
            format!("{}{}", head(path, OK, &format!("{ATTEMPT}connection: {options}\r\n")), body_of(path));
        let answer = answer_to("POST", path, Reply::BytesAndClose(response)).await?;
        assert_eq!(complete_body(&answer).as_deref(), Some(body_of(path)), "{answer}");
    }
    Ok(())
}

/// The server closes the connection as announced, and the line that announced the chunks is spoilt.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunks_that_were_not_announced_are_not_forwarded() -> Result<()> {
    let lines = "transfer-encodxng: chunked\r\nconnection: close\r\n";
    for path in PATHS {
        let answer = answer_to("POST", path, Reply::BytesAndClose(in_chunks(path, OK, lines))).await?;
        assert!(is_entry_error(&answer), "{path}: {answer}");
    }
    let head = head(ONCE, OK, &format!("{ATTEMPT}{lines}"));
    let large = large_body();
    let (first, second) = large.split_at(50_000);
    let response = format!("{head}{}{}{LAST_CHUNK}", chunk(first), chunk(second));
    assert_not_forwarded_on_plain_paths(Reply::BytesAndClose(response)).await
}

#[yare::parameterized(
    one_chunk = { "6\r\nwhole!\r\n0\r\n\r\n", true },
    two_chunks = { "3\r\nwho\r\n3\r\nle!\r\n0\r\n\r\n", true },
    no_data = { "0\r\n\r\n", true },
    long_chunk_that_is_cut = { "46\r\n0123456789012345678901234567890123456789012345678901234567890123456789\r\n7\r\nwho", true },
    text = { "whole!", false },
    empty = { "", false },
    one_number = { "10", false },
    numbers = { "1\r\n2\r\n3\r\n4\r\n5\r\n6\r\n", false },
    numbers_of_increasing_length = { "2\r\n10\r\n100\r\n1000\r\n10000\r\n", false },
    zeros = { "0\r\n0\r\n0\r\n", false },
    other_size = { "5\r\nwhole!\r\n0\r\n\r\n", false },
    signed_size = { "+6\r\nwhole!\r\n0\r\n\r\n", false },
)]
fn a_body_is_in_chunks_if_all_of_them_are_consistent(body: &str, expected: bool) {
    assert_eq!(is_in_chunks(body.as_bytes()), expected);
}

/// Connections of this version close unless it is announced that they stay open.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_of_http_1_0_ends_with_its_connection() -> Result<()> {
    for path in PATHS {
        let head = head(path, OK, ATTEMPT).replacen("HTTP/1.1", "HTTP/1.0", 1);
        let reply = Reply::BytesAndClose(format!("{head}{}", body_of(path)));
        let answer = answer_to("POST", path, reply).await?;
        assert_eq!(complete_body(&answer).as_deref(), Some(body_of(path)), "{answer}");
    }
    let kept = |path: &str| {
        let head = head(path, OK, &format!("{ATTEMPT}connection: keep-alive\r\n"));
        format!("{}{}", head.replacen("HTTP/1.1", "HTTP/1.0", 1), body_of(path))
    };
    assert_not_forwarded(kept).await
}

#[yare::parameterized(
    switching_protocols = { "101 Switching Protocols" },
    above_the_defined_range = { "600 Unknown" },
    largest = { "999 Unknown" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_status_that_is_not_final_is_not_forwarded(status: &str) -> Result<()> {
    assert_not_forwarded(|path| with_length(path, status, ATTEMPT)).await
}

#[yare::parameterized(
    compressed = { "gzip" },
    compressed_twice = { "identity, gzip" },
    unknown = { "identit" },
    empty = { "" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_body_in_a_coding_that_the_caller_does_not_accept_is_not_forwarded(coding: &str) -> Result<()> {
    let lines = format!("{ATTEMPT}content-encoding: {coding}\r\n");
    assert_not_forwarded(|path| with_length(path, OK, &lines)).await
}

#[yare::parameterized(
    named = { "deflate, GZIP;q=0.5", "gzip", true },
    all_of_several_named = { "gzip, br", "br, gzip", true },
    one_of_several_named = { "gzip", "br, gzip", false },
    excluded = { "gzip;q=0, br", "gzip", false },
    excluded_with_decimals = { "gzip; q=0.000", "gzip", false },
    no_coding = { "gzip", "", false },
)]
fn a_coding_is_accepted_by_name(accepted: &str, coding: &str, is_accepted: bool) {
    let headers = |name: HeaderName, value: &str| -> HeaderMap {
        HeaderValue::from_str(value).into_iter().map(|value| (name.clone(), value)).collect()
    };
    let (request, response) = (headers(ACCEPT_ENCODING, accepted), headers(CONTENT_ENCODING, coding));
    assert_eq!(is_coding_accepted(&request, &response), is_accepted);
    assert!(is_coding_accepted(&request, &HeaderMap::new()));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_response_that_names_two_attempts_is_not_forwarded() -> Result<()> {
    for other in ["a-2", "ATTEMPT", ""] {
        let lines = format!("{ATTEMPT}dockwood-attempt: {other}\r\n");
        assert_not_forwarded(|path| with_length(path, OK, &lines)).await?;
    }
    Ok(())
}
