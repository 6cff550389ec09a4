//! The part of HTTP/1.1 that the servers of this test need.

use std::io::{Error, Result};
use tokio::io::{AsyncRead, AsyncReadExt};

/// A request with its whole body.
pub struct ReceivedRequest {
    pub path: String,
    head: String,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// Returns the value of a header; names are in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().skip(1).filter_map(|line| line.split_once(':'));
        lines.filter(|(other, _)| other.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim()).next()
    }
}

/// Reads a request; an error at the end of the connection.
pub async fn read_request(reader: &mut (impl AsyncRead + Unpin)) -> Result<ReceivedRequest> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(reader.read_u8().await?);
    }
    let head = String::from_utf8(head).map_err(Error::other)?;
    let path = head.split(' ').nth(1).unwrap_or_default().to_string();
    let mut request = ReceivedRequest { path, head, body: Vec::new() };
    if request.header("transfer-encoding").is_some() {
        request.body = read_chunks(reader).await?;
    } else if let Some(length) = request.header("content-length") {
        request.body = vec![0; length.parse().map_err(Error::other)?];
        reader.read_exact(&mut request.body).await?;
    }
    Ok(request)
}

async fn read_chunks(reader: &mut (impl AsyncRead + Unpin)) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            line.push(reader.read_u8().await?);
        }
        let size = String::from_utf8_lossy(&line);
        let size = usize::from_str_radix(size.trim(), 16).map_err(Error::other)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).await?;
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Returns the text of a chunk of a response body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns the head of a response whose body has a length.
pub fn head_with_length(status: &str, headers: &str, length: usize) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n")
}
