//! A minimal HTTP/1.1 client and server over blocking sockets, for messages with a content length.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response: the first line, the other lines of the head, and the body.
pub struct Message {
    pub first_line: String,
    pub headers: String,
    pub body: String,
}

impl Message {
    /// Returns the value of a header, whose name is compared in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.lines().find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// Returns the status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        let word = self.first_line.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `Ok(None)` if the peer closed the connection before it.
pub fn read_message(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    let mut bytes = Vec::new();
    let mut chunk = [0_u8; 4096];
    loop {
        if let Some(end) = find_head_end(&bytes) {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let (first_line, headers) = head.split_once("\r\n").unwrap_or((&head, ""));
            let mut message = Message {
                first_line: first_line.into(),
                headers: headers.into(),
                body: String::new(),
            };
            let length: usize = message
                .header("content-length")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            let body_start = end + 4;
            while bytes.len() < body_start + length {
                let count = stream.read(&mut chunk)?;
                if count == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                bytes.extend_from_slice(&chunk[..count]);
            }
            let body = &bytes[body_start..body_start + length];
            message.body = String::from_utf8_lossy(body).into_owned();
            return Ok(Some(message));
        }
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return match bytes.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        bytes.extend_from_slice(&chunk[..count]);
    }
}

fn find_head_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|window| window == b"\r\n\r\n")
}

/// Writes a response with a JSON body.
pub fn respond(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

/// Makes one call on a new connection and returns the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "host") {
        text.push_str(&format!("host: {address}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!(
        "content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    ));
    stream.write_all(text.as_bytes())?;
    read_message(&mut stream)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Returns the text of a field of a flat JSON object: a string without escapes, or a number.
pub fn json_field<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let key = format!("\"{name}\":");
    let rest = body[body.find(&key)? + key.len()..].trim_start();
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next(),
        None => rest.split([',', '}', ']']).next().map(str::trim),
    }
}

/// Returns a field that is a number.
pub fn json_number(body: &str, name: &str) -> Option<u64> {
    json_field(body, name)?.parse().ok()
}
