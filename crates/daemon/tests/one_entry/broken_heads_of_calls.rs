//! Responses with broken heads to the daemon's own calls: their bodies are not used, and they are no sign of health.

use crate::large_responses::{LAST_CHUNK, chunk};
use crate::scripted_server::{Reply, ScriptedServer};
use crate::server_calls::Call;
use std::io::Result;

const OWN_INSTANCE: &str = "dockwood-own-instance: board-z\r\n";

fn response(status: &str, lines: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{OWN_INSTANCE}{lines}\r\n{body}")
}

/// Returns whether the daemon uses this response to a call.
async fn is_used(call: Call, reply: Reply) -> Result<bool> {
    let server = ScriptedServer::start_with([], reply).await?;
    let is_answered = call.is_answered(server.address).await?;
    assert!(server.received() > 0, "{call:?}: the server is not called");
    Ok(is_answered)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_to_calls_are_used() -> Result<()> {
    for call in Call::ALL {
        let body = call.body();
        let length = format!("content-length: {}\r\n", body.len());
        let chunks = format!("{}{LAST_CHUNK}", chunk(&body));
        for reply in [
            Reply::Bytes(response("200 OK", &length, &body)),
            Reply::Bytes(response("200 OK", "transfer-encoding: chunked\r\n", &chunks)),
            Reply::BytesAndClose(response("200 OK", "connection: close\r\n", &body)),
        ] {
            assert!(is_used(call, reply.clone()).await?, "{call:?}: {reply:?}");
        }
    }
    Ok(())
}

#[yare::parameterized(
    coding = { "200 OK", "transfer-encoding: xchunked\r\n" },
    two_codings = { "200 OK", "transfer-encoding: gzip, chunked\r\n" },
    empty_coding = { "200 OK", "transfer-encoding:\r\n" },
    length_beside_chunks = { "200 OK", "content-length: LENGTH\r\ntransfer-encoding: chunked\r\n" },
    length_that_is_no_number = { "200 OK", "content-length: LENGTHx\r\n" },
    spoilt_name_of_the_length = { "200 OK", "cxntent-length: LENGTH\r\n" },
    status_above_the_defined_range = { "600 Unknown", "content-length: LENGTH\r\n" },
    status_that_is_no_status = { "000 Unknown", "content-length: LENGTH\r\n" },
    line_that_is_no_field = { "200 OK", "no field\r\ncontent-length: LENGTH\r\n" },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn responses_with_broken_heads_are_not_used(status: &str, lines: &str) -> Result<()> {
    for call in Call::ALL {
        let body = call.body();
        let lines = lines.replace("LENGTH", &body.len().to_string());
        let is_chunked = lines.ends_with(" chunked\r\n");
        let body = if is_chunked { format!("{}{LAST_CHUNK}", chunk(&body)) } else { body };
        let reply = Reply::BytesAndClose(response(status, &lines, &body));
        assert!(!is_used(call, reply.clone()).await?, "{call:?}: {reply:?}");
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_service_response_in_a_coding_that_the_caller_does_not_accept_is_not_used() -> Result<()> {
    let lines = "content-encoding: gzip\r\ncontent-length: 2\r\n";
    assert!(!is_used(Call::Service, Reply::Bytes(response("200 OK", lines, "{}"))).await?);
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_service_response_in_chunks_that_were_not_announced_is_not_used() -> Result<()> {
    let body = format!("{}{LAST_CHUNK}", chunk("whole!"));
    let response = response("200 OK", "connection: close\r\ntransfer-encodxng: chunked\r\n", &body);
    assert!(!is_used(Call::Service, Reply::BytesAndClose(response)).await?);
    Ok(())
}
