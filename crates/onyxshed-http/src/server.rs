//! An address that serves requests, within bounds.

mod body;
mod counted;
mod turned_away;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_h1::server::{ConnectionStatus, Encoder, Server as H1Server};
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncWriteExt, Future, FutureExt, future, io};
use http_types::{Method, Request, Response};
use onyxshed_core::ResultCode;
use snafu::ResultExt;

use crate::bounded::{BoundedStream, Phase};
use crate::client::with_timeout;
use crate::error::{ListenSnafu, Result};
use crate::head::EXPECT_HEADER;
use crate::idle::{IdlePlace, IdleStreams};

pub use body::SMALL_BODY_BYTES;

use crate::message::{Call, Reply};
use counted::Counted;
use turned_away::{code_of, turned_away};

/// Limits of a served address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerOptions {
    /// Most connections at the same time; default 4096.
    pub connections_max: usize,
    /// Largest head in bytes; default 16 KiB.
    pub head_max_bytes: u64,
    /// Largest body in bytes; default 8 MiB.
    pub body_max_bytes: u64,
    /// Memory for the bodies that are being read, those of at most [`SMALL_BODY_BYTES`] left out;
    /// default 256 MiB.
    pub bodies_max_bytes: u64,
    /// How long a connection may idle between requests; default 60 s.
    pub idle_timeout: Duration,
    /// How long a head may take from its first byte; default 5 s.
    pub head_timeout: Duration,
    /// How long a body may take; default 10 s.
    pub body_timeout: Duration,
    /// How long the peer may take to read a reply; default 10 s.
    pub reply_timeout: Duration,
    /// Whether a request whose peer closes the connection is given up; default false. A peer that
    /// closes only its sending side counts as gone too.
    pub cancels_on_disconnect: bool,
}

impl Default for ServerOptions {
    fn default() -> Self {
        ServerOptions {
            connections_max: 4_096,
            head_max_bytes: 16 << 10,
            body_max_bytes: 8 << 20,
            bodies_max_bytes: 256 << 20,
            idle_timeout: Duration::from_secs(60),
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
            reply_timeout: Duration::from_secs(10),
            cancels_on_disconnect: false,
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
    pub in_flight: Cell<usize>,
    /// Memory that the larger bodies being read take, in bytes.
    pub body_bytes: Cell<u64>,
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
    idle: Rc<IdleStreams>,
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
            idle: Rc::default(),
        }
    }

    /// Gets the live counts.
    pub fn stats(&self) -> Rc<ServerStats> {
        self.stats.clone()
    }

    /// Tries to listen on an address; port 0 takes a free one.
    pub async fn listen(address: SocketAddr) -> Result<TcpListener> {
        let listener = TcpListener::bind(address)
            .await
            .context(ListenSnafu { address })?;
        // The standard library asks for 128 places; asking again only changes their number.
        rustix::net::listen(&listener, LISTEN_BACKLOG)
            .map_err(std::io::Error::from)
            .context(ListenSnafu { address })?;
        Ok(listener)
    }

    /// Serves until dropped.
    pub async fn run(self, listener: TcpListener, executor: Rc<LocalExecutor<'static>>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.take_in(stream, &executor),
                Err(_) => breathe().await,
            }
            // Many arrivals at once must not keep those that are here from being served.
            future::yield_now().await;
        }
    }

    fn take_in(&self, stream: TcpStream, executor: &Rc<LocalExecutor<'static>>) {
        let server = self.clone();
        let open = Counted::new(&self.stats, |stats| &stats.connections);
        let over = self
            .stats
            .connections
            .get()
            .saturating_sub(self.options.connections_max);
        let has_place = over == 0 || self.idle.close_oldest();
        if !has_place && over > TURNED_AWAY_MAX {
            self.stats.rejected.set(self.stats.rejected.get() + 1);
            return;
        }
        let stream = BoundedStream::new(stream);
        let place = self.idle.add(&stream);
        executor
            .spawn(async move {
                let _open = open;
                match has_place {
                    true => server.serve(stream, place).await,
                    false => {
                        server
                            .turn_away(&stream, ResultCode::TooManyConnections)
                            .await;
                    }
                }
            })
            .detach();
    }

    /// Serves one connection to its end.
    async fn serve(self, stream: BoundedStream, mut place: IdlePlace) {
        if stream.inner().set_nodelay(true).is_err() {
            return;
        }
        // Counted until the reply is written, so that a graceful stop cuts none off.
        let busy = RefCell::new(None);
        let endpoint = |request| {
            busy.replace(Some(Counted::new(&self.stats, |stats| &stats.in_flight)));
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
                Ok(ConnectionStatus::KeepAlive) => place = place.renew(&stream),
                Ok(ConnectionStatus::Close) if stream.phase() == Phase::Head => {
                    // The peer closed its side within a head.
                    return self.turn_away(&stream, ResultCode::BadRequest).await;
                }
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
        let announced = request.len().map(|len| len as u64);
        if announced.is_some_and(|len| len > max_bytes) {
            return Err(turned_away(ResultCode::BodyTooLarge));
        }
        if request.header(EXPECT_HEADER).is_some() {
            stream.clone().write_all(CONTINUE).await?;
        }
        let body = self.read_body(request.take_body()).await?;
        if announced.is_some_and(|len| len != body.len() as u64) {
            return Err(turned_away(ResultCode::BadRequest));
        }
        // The library may have read bytes behind the body, and forgets them with the request: what
        // they asked would never be answered. Behind a body without length it can't be told.
        let is_last = announced != Some(stream.beyond_head_bytes());
        stream.begin_handling();
        let call = Call {
            head: request,
            body,
        };
        let reply = match self.options.cancels_on_disconnect {
            true => (self.handler)(call).or(peer_gone(&stream)).await,
            false => (self.handler)(call).await,
        };
        stream.begin_reply(self.options.reply_timeout);
        let reply = if is_last {
            reply.connection_close()
        } else {
            reply
        };
        Ok(reply.into_response())
    }

    fn rejected(&self, code: ResultCode) -> Response {
        self.stats.rejected.set(self.stats.rejected.get() + 1);
        (self.reject)(code).connection_close().into_response()
    }

    /// Tells a peer why it is turned away, as far as it still listens.
    ///
    /// Failure guarded against: bytes of the peer's that nobody has read make the system reset the
    /// connection at its close, and the peer loses the answer. So what still comes is read and
    /// thrown away for a moment.
    async fn turn_away(&self, stream: &BoundedStream, code: ResultCode) {
        stream.begin_reply(LINGER);
        let mut reply = Encoder::new(self.rejected(code), Method::Get);
        let mut stream = stream.clone();
        if io::copy(&mut reply, &mut stream).await.is_ok() && stream.close().await.is_ok() {
            let _ = with_timeout(LINGER, io::copy(&mut stream, &mut io::sink())).await;
        }
    }
}

/// Waits until the peer has closed the connection, and makes the reply that nobody will read.
async fn peer_gone(stream: &BoundedStream) -> Reply {
    /// The status by which logs know a request that its caller gave up.
    const CLIENT_CLOSED_REQUEST: u16 = 499;
    let mut byte = [0];
    match stream.inner().peek(&mut byte).await {
        Ok(0) | Err(_) => Reply::bytes(CLIENT_CLOSED_REQUEST, Vec::new()).connection_close(),
        // The peer has sent its next request ahead of the reply, so it is still there.
        Ok(_) => future::pending().await,
    }
}

/// Connections that the system holds until the process accepts them.
///
/// Failure guarded against: a burst fills the queue of new connections while the process is busy.
/// Symptom: the system drops the next caller's opening packet without a word and the caller sends
/// it again a second later, when its objective is gone; with 128 places the 130th of a burst waited
/// 900 ms in vain on loopback. Half of a second's burst on a host of ordinary size fits into these.
const LISTEN_BACKLOG: i32 = 1_024;

/// Connections beyond the most that are still told so; the rest are closed without a word.
const TURNED_AWAY_MAX: usize = 256;

/// How long a peer that is turned away may take to read why.
const LINGER: Duration = Duration::from_secs(2);

/// Invites the body of a request that asked whether to send it.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Waits a little after a failed accept, so that a shortage of file descriptors does not spin.
async fn breathe() {
    const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
    async_io::Timer::after(ACCEPT_PAUSE).await;
}
