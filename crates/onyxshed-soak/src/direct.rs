//! A caller's connection to a host without the proxy in between, so that a connection that the host refuses or
//! closes is told from a request that it cuts off.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use onyxshed_http::client::with_timeout;
use smol_str::{SmolStr, format_smolstr};

use crate::fleet::{ROUTE_HOST, ROUTE_PREFIX};

/// The time within which a host has to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The largest number of bytes that one read returns.
const READ_MAX_BYTES: usize = 4_096;

/// The parts in which a caller writes a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Writing {
    /// Head and body in one write.
    Whole,
    /// The head, and the body after the duration.
    HeadFirst(Duration),
}

/// A request for one job.
#[derive(Debug, Clone)]
pub struct JobRequest {
    /// The id of the job: 16 hexadecimal digits.
    pub job: SmolStr,
    /// The body of the request.
    pub body: String,
    /// The value of the deadline header, in milliseconds.
    pub deadline_ms: u64,
    /// The parts in which the request is written.
    pub writing: Writing,
    /// The time that the caller waits for the answer.
    pub timeout: Duration,
}

/// The answer of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectReply {
    /// The HTTP status.
    pub status: u16,
    /// Whether the host closes the connection after the answer.
    pub closes_connection: bool,
    /// The body.
    pub body: Vec<u8>,
}

/// The outcome of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The host answered.
    Answered(DirectReply),
    /// Nothing was written, because the host refused the connection or had closed it.
    NotSent,
    /// The connection ended without an answer after the request was written, in full or in part.
    CutOff(SmolStr),
    /// No answer arrived in time, and the connection is still open.
    TimedOut,
}

/// An open connection to a host.
#[derive(Debug)]
pub struct DirectConnection {
    stream: Async<TcpStream>,
}

impl DirectConnection {
    /// Opens a connection; returns `None` if the host refuses it.
    pub async fn open(host: SocketAddr) -> Option<Self> {
        let connect = Async::<TcpStream>::connect(host);
        let stream = with_timeout(CONNECT_TIMEOUT, connect).await?.ok()?;
        stream.get_ref().set_nodelay(true).ok()?;
        Some(DirectConnection { stream })
    }

    /// Returns whether the host has neither closed the connection nor sent bytes that no request asked for.
    pub fn is_open(&self) -> bool {
        let peeked = self.stream.get_ref().peek(&mut [0]);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request, unless the host has closed the connection, and reads the answer.
    pub async fn send(&mut self, request: &JobRequest) -> Outcome {
        match self.is_open() {
            true => self.send_unchecked(request).await,
            false => Outcome::NotSent,
        }
    }

    /// Sends a request without a check whether the host has closed the connection, and reads the answer. An answer
    /// that the host sent before the request counts: it refuses every request that crosses it.
    pub async fn send_unchecked(&mut self, request: &JobRequest) -> Outcome {
        let exchange = async {
            let written = self.write(request).await;
            match (self.read_reply().await, written) {
                (Ok(reply), _) => Outcome::Answered(reply),
                (Err(error), Ok(())) => {
                    Outcome::CutOff(format_smolstr!("written in full: {error}"))
                }
                (Err(_), Err(error)) => {
                    Outcome::CutOff(format_smolstr!("written in part: {error}"))
                }
            }
        };
        let expired = async {
            Timer::after(request.timeout).await;
            Outcome::TimedOut
        };
        exchange.or(expired).await
    }

    async fn write(&mut self, request: &JobRequest) -> io::Result<()> {
        let head = head_of(request);
        match request.writing {
            Writing::Whole => {
                self.stream
                    .write_all((head + &request.body).as_bytes())
                    .await
            }
            Writing::HeadFirst(pause) => {
                self.stream.write_all(head.as_bytes()).await?;
                Timer::after(pause).await;
                if !self.is_open() {
                    return Err(io::Error::other("only the head"));
                }
                self.stream.write_all(request.body.as_bytes()).await
            }
        }
    }

    async fn read_reply(&mut self) -> io::Result<DirectReply> {
        let mut received = Vec::new();
        loop {
            if let Some(reply) = parse_reply(&received)? {
                return Ok(reply);
            }
            let mut chunk = [0; READ_MAX_BYTES];
            let count = self.stream.read(&mut chunk).await?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            received.extend_from_slice(&chunk[..count]);
        }
    }
}

/// Opens a connection and sends one request.
pub async fn send_on_new_connection(host: SocketAddr, request: &JobRequest) -> Outcome {
    match DirectConnection::open(host).await {
        Some(mut connection) => connection.send_unchecked(request).await,
        None => Outcome::NotSent,
    }
}

fn head_of(request: &JobRequest) -> String {
    format!(
        "POST {ROUTE_PREFIX}{job} HTTP/1.1\r\nhost: {ROUTE_HOST}\r\nrequest-id: {job}\r\n\
         x-onyxshed-deadline-ms: {deadline}\r\ncontent-length: {length}\r\n\r\n",
        job = request.job,
        deadline = request.deadline_ms,
        length = request.body.len(),
    )
}

/// Returns the answer in the bytes received so far, or `None` if a part of it is missing.
fn parse_reply(received: &[u8]) -> io::Result<Option<DirectReply>> {
    const HEAD_END: &[u8] = b"\r\n\r\n";
    let mut windows = received.windows(HEAD_END.len());
    let Some(head_bytes) = windows.position(|window| window == HEAD_END) else {
        return Ok(None);
    };
    let head = std::str::from_utf8(&received[..head_bytes]).map_err(io::Error::other)?;
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
    let length = header_value(head, "content-length").and_then(|text| text.parse().ok());
    let (Some(status), Some(length)) = (status, length) else {
        return Err(io::Error::other("the answer has no status or no length"));
    };
    let body: &[u8] = &received[head_bytes + HEAD_END.len()..];
    let body = body.get(..length);
    Ok(body.map(|body| DirectReply {
        status,
        closes_connection: header_value(head, "connection") == Some("close"),
        body: body.to_vec(),
    }))
}

fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut headers = head.lines().filter_map(|line| line.split_once(':'));
    headers
        .find(|(found, _)| found.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim())
}
