//! An address that serves requests, within bounds.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_h1::server::{ConnectionStatus, Encoder, Server as H1Server};
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt, Future, io};
use http_types::{Method, Request, Response};
use onyxshed_core::ResultCode;
use snafu::ResultExt;

use crate::bounded::{BoundedStream, Phase};
use crate::error::{ListenSnafu, Result};
use crate::message::{Call, Reply};

/// Limits of a served address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerOptions {
    /// Most connections at the same time; default 4096.
    pub connections_max: usize,
    /// Largest head in bytes; default 16 KiB.
    pub head_max_bytes: u64,
    /// Largest body in bytes; default 8 MiB.
    pub body_max_bytes: u64,
    /// How long a connection may idle between requests; default 60 s.
    pub idle_timeout: Duration,
    /// How long a head may take from its first byte; default 5 s.
    pub head_timeout: Duration,
    /// How long a body may take; default 10 s.
    pub body_timeout: Duration,
    /// How long the peer may take to read a reply; default 10 s.
    pub reply_timeout: Duration,
}

impl Default for ServerOptions {
    fn default() -> Self {
        ServerOptions {
            connections_max: 4_096,
            head_max_bytes: 16 << 10,
            body_max_bytes: 8 << 20,
            idle_timeout: Duration::from_secs(60),
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
            reply_timeout: Duration::from_secs(10),
        }
    }
}

/// A reply in the making.
pub type PendingReply = Pin<Box<dyn Future<Output = Reply>>>;

/// What answers requests.
pub type Handler = Rc<dyn Fn(Call) -> PendingReply>;

/// Makes the reply to a request that the server itself turns away.
pub type RejectReply = Rc<dyn Fn(ResultCode) -> Reply>;

/// Live counts of a served address.
#[derive(Debug, Default)]
pub struct ServerStats {
    /// Connections open.
    pub connections: Cell<usize>,
    /// Requests being answered.
    pub busy: Cell<usize>,
    /// Requests and connections turned away at the door.
    pub rejected: Cell<u64>,
}

/// A served address.
#[derive(Clone)]
pub struct Server {
    options: ServerOptions,
    handler: Handler,
    reject: RejectReply,
    stats: Rc<ServerStats>,
}

/// Room for what a transfer encoding adds around a body.
const FRAMING_SLACK_BYTES: u64 = 64 << 10;

impl Server {
    /// Makes a server from what answers and what turns away.
    pub fn new(options: ServerOptions, handler: Handler, reject: RejectReply) -> Self {
        Server {
            options,
            handler,
            reject,
            stats: Rc::default(),
        }
    }

    /// Gets the live counts.
    pub fn stats(&self) -> Rc<ServerStats> {
        self.stats.clone()
    }

    /// Tries to listen on an address; port 0 takes a free one.
    pub async fn listen(address: SocketAddr) -> Result<TcpListener> {
        TcpListener::bind(address)
            .await
            .context(ListenSnafu { address })
    }

    /// Serves until dropped.
    pub async fn run(self, listener: TcpListener, executor: Rc<LocalExecutor<'static>>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.take_in(stream, &executor),
                Err(_) => breathe().await,
            }
        }
    }

    fn take_in(&self, stream: TcpStream, executor: &Rc<LocalExecutor<'static>>) {
        let server = self.clone();
        let open = Counted::new(&self.stats, |stats| &stats.connections);
        let is_over = self.stats.connections.get() > self.options.connections_max;
        executor
            .spawn(async move {
                let _open = open;
                let stream = BoundedStream::new(stream);
                match is_over {
                    true => {
                        server
                            .turn_away(&stream, ResultCode::TooManyConnections)
                            .await
                    }
                    false => server.serve(stream).await,
                }
            })
            .detach();
    }

    /// Serves one connection to its end.
    async fn serve(self, stream: BoundedStream) {
        if stream.inner().set_nodelay(true).is_err() {
            return;
        }
        // Counted until the reply is written, so that a graceful stop cuts none off.
        let busy = RefCell::new(None);
        let endpoint = |request| {
            busy.replace(Some(Counted::new(&self.stats, |stats| &stats.busy)));
            self.answer(stream.clone(), request)
        };
        let mut h1 = H1Server::new(stream.clone(), endpoint);
        loop {
            let read_before = stream.read_bytes();
            stream.begin_idle(
                self.options.idle_timeout,
                self.options.head_timeout,
                self.options.head_max_bytes,
            );
            let accepted = h1.accept_one().await;
            busy.replace(None);
            match accepted {
                Ok(ConnectionStatus::KeepAlive) => {}
                Ok(ConnectionStatus::Close) => return,
                Err(error) => {
                    let is_request = stream.read_bytes() > read_before;
                    if is_request && stream.phase() != Phase::Replying {
                        self.turn_away(&stream, code_of(&error)).await;
                    }
                    return;
                }
            }
        }
    }

    async fn answer(
        &self,
        stream: BoundedStream,
        mut request: Request,
    ) -> http_types::Result<Response> {
        let max_bytes = self.options.body_max_bytes;
        stream.begin_body(self.options.body_timeout, max_bytes + FRAMING_SLACK_BYTES);
        let mut body = Vec::new();
        let announced = request.len();
        let mut reader = request.take_body().take(max_bytes + 1);
        if announced.is_some_and(|len| len as u64 > max_bytes) {
            return Ok(self.rejected(ResultCode::BodyTooLarge));
        }
        reader.read_to_end(&mut body).await?;
        if body.len() as u64 > max_bytes {
            return Ok(self.rejected(ResultCode::BodyTooLarge));
        }
        stream.begin_handling();
        let reply = (self.handler)(Call {
            head: request,
            body,
        })
        .await;
        stream.begin_reply(self.options.reply_timeout);
        Ok(reply.into_response())
    }

    fn rejected(&self, code: ResultCode) -> Response {
        self.stats.rejected.set(self.stats.rejected.get() + 1);
        (self.reject)(code).last().into_response()
    }

    /// Tells a peer why it is turned away, as far as it still listens.
    async fn turn_away(&self, stream: &BoundedStream, code: ResultCode) {
        stream.begin_reply(self.options.reply_timeout);
        let mut reply = Encoder::new(self.rejected(code), Method::Get);
        let mut stream = stream.clone();
        if io::copy(&mut reply, &mut stream).await.is_ok() {
            let _ = stream.close().await;
        }
    }
}

/// Finds the code for a request that could not be read.
fn code_of(error: &http_types::Error) -> ResultCode {
    match error.downcast_ref::<io::Error>().map(io::Error::kind) {
        Some(io::ErrorKind::TimedOut) => ResultCode::TooSlow,
        Some(io::ErrorKind::FileTooLarge) => ResultCode::BodyTooLarge,
        _ => ResultCode::BadRequest,
    }
}

/// Waits a little after a failed accept, so that a shortage of file descriptors does not spin.
async fn breathe() {
    const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
    async_io::Timer::after(ACCEPT_PAUSE).await;
}

/// Counts something for as long as it lives.
struct Counted {
    stats: Rc<ServerStats>,
    cell: fn(&ServerStats) -> &Cell<usize>,
}

impl Counted {
    fn new(stats: &Rc<ServerStats>, cell: fn(&ServerStats) -> &Cell<usize>) -> Self {
        cell(stats).set(cell(stats).get() + 1);
        Counted {
            stats: stats.clone(),
            cell,
        }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let cell = (self.cell)(&self.stats);
        cell.set(cell.get() - 1);
    }
}
