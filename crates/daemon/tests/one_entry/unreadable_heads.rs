//! Responses whose heads the HTTP library can't read: a caller gets an error of the entry on each path.

use crate::head_cases::{
    ATTEMPT, OK, ONCE, PATHS, answer_to, assert_not_forwarded, assert_not_forwarded_on_plain_paths, body_of,
    head, with_length,
};
use crate::large_responses::LAST_CHUNK;
use crate::scripted_server::Reply;
use std::io::Result;

#[yare::parameterized(
    zero = { "000 Unknown" },
    one = { "001 Unknown" },
    below_100 = { "099 Unknown" },
    two_digits = { "20 OK" },
    four_digits = { "2000 OK" },
    letter = { "2x0 OK" },
    negative = { "-20 OK" },
    empty = { "" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_status_that_is_no_status_is_not_forwarded(status: &str) -> Result<()> {
    assert_not_forwarded(|path| with_length(path, status, ATTEMPT)).await
}

#[yare::parameterized(
    blank_in_the_name = { "fi eld: a" },
    blank_after_the_name = { "field : a" },
    tab_in_the_name = { "fi\teld: a" },
    control_byte_in_the_name = { "fi\u{1}eld: a" },
    null_byte_in_the_name = { "fi\u{0}eld: a" },
    delete_byte_in_the_name = { "fi\u{7f}eld: a" },
    empty_name = { ": a" },
    leading_blank = { " field: a" },
    leading_tab = { "\tfield: a" },
    no_colon = { "field" },
    control_byte_in_the_value = { "field: a\u{1}b" },
    null_byte_in_the_value = { "field: a\u{0}b" },
    carriage_return_in_the_value = { "field: a\rb" },
    blank_in_the_name_of_the_length = { "content length: 6" },
    blank_after_the_name_of_the_length = { "content-length : 6" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_line_that_is_no_field_is_not_forwarded(line: &str) -> Result<()> {
    let before = format!("{line}\r\n{ATTEMPT}");
    assert_not_forwarded(|path| with_length(path, OK, &before)).await?;
    let after = format!("{ATTEMPT}{line}\r\n");
    assert_not_forwarded(|path| with_length(path, OK, &after)).await
}

#[yare::parameterized(
    letter_after = { "6x" },
    letter_before = { "x6" },
    empty = { "" },
    negative = { "-6" },
    plus = { "+6" },
    blank_between = { "6 6" },
    hexadecimal = { "0x6" },
    different = { "6,7" },
    different_in_two_lines = { "6\r\ncontent-length: 7" },
    comma_after = { "6," },
    beyond_64_bits = { "99999999999999999999" },
    not_ascii = { "6\u{e9}" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_length_that_is_no_number_is_not_forwarded(length: &str) -> Result<()> {
    assert_not_forwarded(|path| {
        let lines = format!("{ATTEMPT}content-length: {length}\r\n");
        format!("{}{}", head(path, OK, &lines), body_of(path))
    })
    .await
}

#[yare::parameterized(
    later_minor = { "HTTP/1.2" },
    two = { "HTTP/2.0" },
    nine = { "HTTP/0.9" },
    other_protocol = { "SMTP/1.1" },
    cut = { "HTTP/1." },
    lower_case = { "http/1.1" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn another_protocol_is_not_forwarded(version: &str) -> Result<()> {
    assert_not_forwarded(|path| with_length(path, OK, ATTEMPT).replacen("HTTP/1.1", version, 1)).await
}

#[yare::parameterized(
    no_number = { "x\r\nwhole!\r\n" },
    empty = { "\r\nwhole!\r\n" },
    negative = { "-6\r\nwhole!\r\n" },
    too_short = { "3\r\nwhole!\r\n" },
    beyond_64_bits = { "fffffffffffffffff\r\nwhole!\r\n" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn a_chunk_without_its_size_is_not_forwarded(chunks: &str) -> Result<()> {
    let head = head(ONCE, OK, &format!("{ATTEMPT}transfer-encoding: chunked\r\n"));
    assert_not_forwarded_on_plain_paths(Reply::Bytes(format!("{head}{chunks}{LAST_CHUNK}"))).await
}

/// The server stops within its head, at each place, and closes the connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_that_is_cut_is_not_forwarded() -> Result<()> {
    for path in PATHS {
        let response = with_length(path, OK, ATTEMPT);
        let head_bytes = response.len() - body_of(path).len();
        for cut in (0..head_bytes).step_by(7).chain([head_bytes - 2, head_bytes - 1]) {
            let answer = answer_to("POST", path, Reply::BytesAndClose(response[..cut].to_string())).await?;
            assert!(answer.starts_with("HTTP/1.1 502 "), "{path}, cut at {cut}: {answer}");
        }
    }
    Ok(())
}
