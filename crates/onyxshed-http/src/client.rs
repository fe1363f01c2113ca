//! One connection to another process, used for one call at a time.

use std::future::Future;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::time::{Duration, Instant};

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, FutureExt, future};
use http_types::headers::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http_types::{Method, Request, Response, StatusCode, Url};
use smol_str::SmolStr;

use crate::bounded::BoundedStream;
use crate::error::{CallError, SendState};
use crate::message::Reply;

/// Limits of a client's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientOptions {
    /// How long opening may take; default 1 s.
    pub connect_timeout: Duration,
    /// Largest reply body in bytes; default 4 MiB.
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

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    stream: BoundedStream,
    base: Url,
    options: ClientOptions,
    last_reply: Instant,
}

impl Connection {
    /// Tries to open a connection.
    pub async fn open(address: SocketAddr, options: ClientOptions) -> Result<Self, CallError> {
        let connect = async { TcpStream::connect(address).await.map_err(CallError::unsent) };
        let give_up = async {
            Timer::after(options.connect_timeout).await;
            Err(CallError::timeout(SendState::NotSent))
        };
        let stream = connect.or(give_up).await?;
        stream.set_nodelay(true).map_err(CallError::unsent)?;
        let base = Url::parse(&format!("http://{address}/")).map_err(CallError::unsent)?;
        let stream = BoundedStream::new(stream);
        Ok(Connection {
            stream,
            base,
            options,
            last_reply: Instant::now(),
        })
    }

    /// Gets how long ago the other end last proved that the connection works.
    pub fn time_since_reply(&self) -> Duration {
        self.last_reply.elapsed()
    }

    /// Tells whether the idle connection can still be written to: the other end has neither closed
    /// it nor sent bytes that nobody asked for.
    pub async fn is_open(&self) -> bool {
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

    /// Calls and reads the whole reply; after an error the connection is of no use.
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
        let outcome = self.exchange(request).or(give_up_after(timeout)).await;
        let sent = match self.stream.written_bytes() == written_before {
            true => SendState::NotSent,
            false => SendState::MaybeSent,
        };
        match outcome {
            Ok(reply) => {
                self.last_reply = Instant::now();
                Ok(reply)
            }
            Err(Broken::Timeout) => Err(CallError::timeout(sent)),
            Err(Broken::Stream(reason)) => Err(CallError::broken(sent, reason)),
        }
    }

    async fn exchange(&self, request: Request) -> Result<Reply, Broken> {
        self.stream.begin_message();
        let read = async {
            let response = async_h1::connect(self.stream.clone(), request)
                .await
                .map_err(|error| Broken::Stream(error.to_string().into()))?;
            read_reply(response, self.options.reply_max_bytes).await
        };
        // The library panics over a trailer that is not ASCII. Uncaught, one bad upstream would end
        // the process; nothing but this connection, which is given up, is touched by the panic.
        let caught = AssertUnwindSafe(read).catch_unwind().await;
        caught.unwrap_or(Err(Broken::Stream(SmolStr::new_static(
            "the reply can't be read",
        ))))
    }
}

/// Why an exchange brought no reply.
enum Broken {
    Timeout,
    Stream(SmolStr),
}

async fn give_up_after(timeout: Duration) -> Result<Reply, Broken> {
    Timer::after(timeout).await;
    Err(Broken::Timeout)
}

/// Reads a body in full and checks its length: one that is cut short is no reply.
async fn read_reply(mut response: Response, max_bytes: u64) -> Result<Reply, Broken> {
    let announced: Option<u64> = response
        .header(CONTENT_LENGTH)
        .and_then(|values| values.last().as_str().parse().ok());
    // The library takes a body that only the connection's end delimits for none at all: a task's
    // result would be lost and the job called complete.
    let has_length = announced.is_some() || response.header(TRANSFER_ENCODING).is_some();
    if !has_length && !has_no_body(response.status()) {
        return Err(Broken::Stream(SmolStr::new_static(
            "the reply tells no length",
        )));
    }
    let mut body = Vec::new();
    let mut reader = response.take_body().take(max_bytes + 1);
    reader
        .read_to_end(&mut body)
        .await
        .map_err(|error| Broken::Stream(error.to_string().into()))?;
    let found = body.len() as u64;
    if found > max_bytes {
        return Err(Broken::Stream(SmolStr::new_static(
            "the reply is too large",
        )));
    }
    if announced.is_some_and(|announced| announced != found) {
        return Err(Broken::Stream(SmolStr::new_static(
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
        is_last: false,
    })
}

/// Tells whether replies of this status never have a body.
fn has_no_body(status: StatusCode) -> bool {
    status.is_informational() || matches!(status, StatusCode::NoContent | StatusCode::NotModified)
}

/// Opens a connection, makes one call and closes it.
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

/// Runs a future with a time limit, none if it ran out.
pub async fn with_timeout<T>(timeout: Duration, work: impl Future<Output = T>) -> Option<T> {
    let give_up = async {
        Timer::after(timeout).await;
        None
    };
    async { Some(work.await) }.or(give_up).await
}
