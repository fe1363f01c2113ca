//! A client that sends raw bytes and collects the replies.

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// Longest wait for more bytes or the close of the connection. It far exceeds every limit that a test
/// sets.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// What the client does after it has sent its bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum After {
    /// Closes the connection for writing and continues to read.
    Close,
    /// Leaves the connection open and waits for the server to close it.
    Wait,
}

/// Sends bytes and returns everything that was received until the server closed the connection.
pub fn exchange(address: SocketAddr, bytes: &[u8], after: After) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).expect("the server accepts connections");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("the timeout can be set");
    // The server may close the connection before it has read everything.
    let _ = stream.write_all(bytes);
    if after == After::Close {
        let _ = stream.shutdown(Shutdown::Write);
    }
    read_all(&mut stream)
}

/// Reads until the server closes or resets the connection, and returns everything that was
/// received. Panics if nothing is received for [`READ_TIMEOUT`].
pub fn read_all(stream: &mut TcpStream) -> Vec<u8> {
    let mut found = Vec::new();
    match stream.read_to_end(&mut found) {
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
            panic!("the server neither answered nor closed the connection in time")
        }
        _ => found,
    }
}

/// Summarizes replies: the status, the result code if the body contains one, and the retry delay if
/// there is one. Bytes after the last complete head are counted; no bytes at all are `closed`.
pub fn summarize_replies(bytes: &[u8]) -> String {
    let mut text = String::new();
    let mut rest = bytes;
    while let Some(end) = find(rest, b"\r\n\r\n") {
        let head = String::from_utf8_lossy(&rest[..end]).to_ascii_lowercase();
        let status = head.split(' ').nth(1).unwrap_or("?").to_owned();
        let length = header(&head, "content-length: ").and_then(|value| value.parse().ok());
        let body = &rest[end + 4..][..length.unwrap_or(0)];
        let answer: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
        let _ = match &answer["code"] {
            serde_json::Value::Null => write!(text, "{status} "),
            code => write!(text, "{status}/{code} "),
        };
        if let Some(wait) = header(&head, "retry-after: ") {
            let _ = write!(text, "retry-after {wait} ");
        }
        rest = &rest[end + 4 + body.len()..];
    }
    if !rest.is_empty() {
        let _ = write!(text, "and {} bytes ", rest.len());
    }
    match text.is_empty() {
        true => "closed".to_owned(),
        false => text.trim_end().to_owned(),
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| line.strip_prefix(name))
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|found| found == wanted)
}
