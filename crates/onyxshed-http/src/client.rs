//! The client: one connection to another process, used for one call at a time.

use std::future::Future;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::time::{Duration, Instant};

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, FutureExt, future};
use http_types::headers::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http_types::{Method, Request, Response, StatusCode, Url};
use smol_str::SmolStr;

use crate::bounded::BoundedStream;
use crate::error::{CallError, SendState};
use crate::message::Reply;

/// Limits of a client connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientOptions {
    /// Time limit for opening the connection; default 1 s.
    pub connect_timeout: Duration,
    /// Largest accepted reply body in bytes; default 4 MiB.
    pub reply_max_bytes: u64,
}

impl Default for ClientOptions {
    fn default() -> Self {
        ClientOptions {
            connect_timeout: Duration::from_secs(1),
            reply_max_bytes: 4 << 20,
        }
    }
}

/// An open connection, with at most one call in flight.
#[derive(Debug)]
pub struct Connection {
    stream: BoundedStream,
    base: Url,
    options: ClientOptions,
    last_reply_at: Instant,
    /// Whether the peer announced that it closes the connection after its last reply.
    is_closing: bool,
}

impl Connection {
    /// Opens a connection. Every error has [`SendState::NotSent`].
    pub async fn open(address: SocketAddr, options: ClientOptions) -> Result<Self, CallError> {
        let connect = async { TcpStream::connect(address).await.map_err(CallError::unsent) };
        let timeout = async {
            Timer::after(options.connect_timeout).await;
            Err(CallError::timeout(SendState::NotSent))
        };
        let stream = connect.or(timeout).await?;
        stream.set_nodelay(true).map_err(CallError::unsent)?;
        let base = Url::parse(&format!("http://{address}/")).map_err(CallError::unsent)?;
        let stream = BoundedStream::new(stream);
        Ok(Connection {
            stream,
            base,
            options,
            last_reply_at: Instant::now(),
            is_closing: false,
        })
    }

    /// Returns the time since the last reply, or since the connection was opened if there was none.
    pub fn time_since_reply(&self) -> Duration {
        self.last_reply_at.elapsed()
    }

    /// Returns whether the peer closes the connection after the reply that it sent last. A further
    /// request would get no answer.
    pub fn is_closing(&self) -> bool {
        self.is_closing
    }

    /// Returns whether the idle connection can still be written to: the peer has neither closed it
    /// or announced that it will, nor sent unsolicited bytes.
    pub async fn is_open(&self) -> bool {
        if self.is_closing {
            return false;
        }
        let mut byte = [0];
        let peek = async {
            let _ = self.stream.inner().peek(&mut byte).await;
            false
        };
        let pending = async {
            future::yield_now().await;
            true
        };
        peek.or(pending).await
    }

    /// Sends a request and reads the whole reply. After an error the connection must not be used
    /// again.
    pub async fn call(
        &mut self,
        method: Method,
        path: &str,
        headers: &[(&str, SmolStr)],
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let url = self.base.join(path).map_err(CallError::unsent)?;
        let mut request = Request::new(method, url);
        for (name, value) in headers {
            request.insert_header(*name, value.as_str());
        }
        request.set_body(body);
        let written_before = self.stream.written_bytes();
        let outcome = self.exchange(request).or(time_out_after(timeout)).await;
        let sent = match self.stream.written_bytes() == written_before {
            true => SendState::NotSent,
            false => SendState::MaybeSent,
        };
        match outcome {
            Ok(reply) => {
                self.last_reply_at = Instant::now();
                self.is_closing = reply.closes_connection;
                Ok(reply)
            }
            Err(ExchangeError::Timeout) => Err(CallError::timeout(sent)),
            Err(ExchangeError::Stream(reason)) => Err(CallError::connection_failed(sent, reason)),
        }
    }

    async fn exchange(&self, request: Request) -> Result<Reply, ExchangeError> {
        self.stream.begin_message();
        let read = async {
            let response = async_h1::connect(self.stream.clone(), request)
                .await
                .map_err(|error| ExchangeError::Stream(error.to_string().into()))?;
            read_reply(response, self.options.reply_max_bytes).await
        };
        // The library panics on a trailer that is not ASCII. Uncaught, one faulty upstream would
        // end the process. The panic leaves no state behind except in this connection, which is
        // discarded.
        let caught = AssertUnwindSafe(read).catch_unwind().await;
        caught.unwrap_or(Err(ExchangeError::Stream(SmolStr::new_static(
            "the reply can't be read",
        ))))
    }
}

/// The reason why an exchange yielded no reply.
enum ExchangeError {
    Timeout,
    Stream(SmolStr),
}

async fn time_out_after(timeout: Duration) -> Result<Reply, ExchangeError> {
    Timer::after(timeout).await;
    Err(ExchangeError::Timeout)
}

/// Reads a reply's body in full and checks its length: a truncated body is an error.
async fn read_reply(mut response: Response, max_bytes: u64) -> Result<Reply, ExchangeError> {
    let content_length: Option<u64> = response
        .header(CONTENT_LENGTH)
        .and_then(|values| values.last().as_str().parse().ok());
    // If only the end of the connection delimits the body, the library returns an empty one: a
    // task's result would be lost and its job reported as complete.
    let has_length = content_length.is_some() || response.header(TRANSFER_ENCODING).is_some();
    if !has_length && !has_no_body(response.status()) {
        return Err(ExchangeError::Stream(SmolStr::new_static(
            "the reply tells no length",
        )));
    }
    let mut body = Vec::new();
    let mut reader = response.take_body().take(max_bytes + 1);
    reader
        .read_to_end(&mut body)
        .await
        .map_err(|error| ExchangeError::Stream(error.to_string().into()))?;
    let body_bytes = body.len() as u64;
    if body_bytes > max_bytes {
        return Err(ExchangeError::Stream(SmolStr::new_static(
            "the reply is too large",
        )));
    }
    if content_length.is_some_and(|content_length| content_length != body_bytes) {
        return Err(ExchangeError::Stream(SmolStr::new_static(
            "the reply was cut short",
        )));
    }
    let mut headers = Vec::new();
    for (name, values) in response.iter() {
        headers.push((name.as_str().into(), values.last().as_str().into()));
    }
    Ok(Reply {
        status: response.status().into(),
        headers,
        body,
        closes_connection: closes_connection(&response),
    })
}

/// Returns whether one of the options in the reply's `Connection` headers is `close`.
fn closes_connection(response: &Response) -> bool {
    let values = response.header(CONNECTION).into_iter().flatten();
    let mut options = values.flat_map(|value| value.as_str().split(','));
    options.any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// Returns whether replies with this status never have a body.
fn has_no_body(status: StatusCode) -> bool {
    status.is_informational() || matches!(status, StatusCode::NoContent | StatusCode::NotModified)
}

/// Opens a connection, makes one call and closes the connection. `timeout` limits the opening and
/// the call separately.
pub async fn call_once(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
    timeout: Duration,
) -> Result<Reply, CallError> {
    let options = ClientOptions {
        connect_timeout: timeout,
        ..ClientOptions::default()
    };
    let mut connection = Connection::open(address, options).await?;
    connection.call(method, path, &[], body, timeout).await
}

/// Runs a future with a time limit. Returns `None` if the time runs out.
pub async fn with_timeout<T>(timeout: Duration, work: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        Timer::after(timeout).await;
        None
    };
    async { Some(work.await) }.or(expired).await
}
