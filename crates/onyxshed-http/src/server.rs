//! An HTTP server with limits on connections, time and memory.

mod body;
mod gauge;
mod memory;
mod refusal;
mod rejection;
mod shutdown;

use std::cell::{Cell, RefCell};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_h1::server::{ConnectionStatus, Encoder, Server as H1Server};
use async_io::{Async, Timer};
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt, Future, FutureExt, future, io};
use http_types::{Method, Request, Response};
use onyxshed_core::ResultCode;

use crate::bounded::{BoundedStream, Phase};
use crate::client::with_timeout;
use crate::error::Result;
use crate::head::EXPECT_HEADER;
use crate::listen::{ListenOptions, UNREAD_MAX_BYTES, listen};
use crate::open_streams::{OpenStreams, StreamEntry};

pub use memory::{IN_CONNECTION_BYTES, SMALL_BODY_BYTES};
pub use refusal::{Limit, Refusal, RefusalReporter};

use crate::message::{Call, Reply};
use body::ReceivedBody;
use gauge::GaugeGuard;
use memory::{BodyShare, ReplyShare, RequestMemory};
use rejection::{code_of, rejection_error};
use shutdown::Shutdown;

/// Limits on connections, sizes and durations, and the reaction to a disconnect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerOptions {
    /// Largest number of open connections; default 4096.
    pub connections_max: usize,
    /// Largest number of connections beyond `connections_max` that are open until their peers have read a
    /// rejection; default 256. Any further ones get theirs and are closed at once.
    pub rejected_max: usize,
    /// Largest request head in bytes; default 16 KiB.
    pub head_max_bytes: u64,
    /// Largest request body in bytes; default 8 MiB.
    pub body_max_bytes: u64,
    /// Memory for all bodies above [`SMALL_BODY_BYTES`], until their requests have been answered;
    /// default 256 MiB.
    pub bodies_max_bytes: u64,
    /// Memory for all other bodies above [`IN_CONNECTION_BYTES`]; default 256 MiB, enough for one on
    /// each connection.
    pub small_bodies_max_bytes: u64,
    /// Memory for all replies above [`IN_CONNECTION_BYTES`] that are being sent; default without limit.
    /// A reply beyond it is replaced by a rejection, so only a server whose requests have no effect may
    /// have a limit.
    pub replies_max_bytes: u64,
    /// How long a connection may be idle between requests; default 60 s.
    pub idle_timeout: Duration,
    /// Time limit for a request's head, from its first byte; default 5 s.
    pub head_timeout: Duration,
    /// Time limit for a request's body; default 10 s.
    pub body_timeout: Duration,
    /// Time limit for the peer to read a reply; default 10 s.
    pub reply_timeout: Duration,
    /// Whether a request is cancelled when its peer closes the connection; default false. A peer
    /// that closes only its sending side counts as disconnected too. The request of a peer that has
    /// disconnected before its request is read whole is not handled.
    pub cancels_on_disconnect: bool,
}

impl Default for ServerOptions {
    fn default() -> Self {
        ServerOptions {
            connections_max: 4_096,
            rejected_max: 256,
            head_max_bytes: 16 << 10,
            body_max_bytes: 8 << 20,
            bodies_max_bytes: 256 << 20,
            small_bodies_max_bytes: 256 << 20,
            replies_max_bytes: u64::MAX,
            idle_timeout: Duration::from_secs(60),
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
            reply_timeout: Duration::from_secs(10),
            cancels_on_disconnect: false,
        }
    }
}

/// The future that a [`Handler`] returns for a request; it yields the reply.
pub type PendingReply = Pin<Box<dyn Future<Output = Reply>>>;

/// A function that handles requests. Its future is dropped if the request is cancelled; see
/// [`ServerOptions::cancels_on_disconnect`].
pub type Handler = Rc<dyn Fn(Call) -> PendingReply>;

/// A function that creates the reply to a request that the server itself rejects.
pub type RejectReply = Rc<dyn Fn(ResultCode) -> Reply>;

/// Current load of a server, and its total number of rejections.
#[derive(Debug, Default)]
pub struct ServerStats {
    /// Listeners on which connections are accepted.
    pub listeners: Cell<usize>,
    /// Open connections, including those above the limit while they get a rejection reply.
    pub connections: Cell<usize>,
    /// Requests whose reply has not been written yet.
    pub in_flight: Cell<usize>,
    /// Bytes that have arrived of bodies larger than [`SMALL_BODY_BYTES`], until their requests have been
    /// answered.
    pub body_bytes: Cell<u64>,
    /// Requests and connections that the server itself rejected, in total.
    pub rejected: Cell<u64>,
    /// Connections without a request that a shutdown closed with a reply.
    pub idle_refused: Cell<u64>,
}

/// Limits of one request, which may change while a server runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest request head in bytes.
    pub head_max_bytes: u64,
    /// Largest request body in bytes.
    pub body_max_bytes: u64,
    /// Time limit for a request's head, from its first byte.
    pub head_timeout: Duration,
}

/// A function that returns the limits of requests that begin now; `None` if those of the
/// [`ServerOptions`] apply.
pub type LimitsSource = Rc<dyn Fn() -> Option<RequestLimits>>;

/// An HTTP server. Clones share its counters and connections.
#[derive(Clone)]
pub struct Server {
    options: ServerOptions,
    limits: LimitsSource,
    memory: Rc<RequestMemory>,
    handler: Handler,
    reject: RejectReply,
    reporter: RefusalReporter,
    stats: Rc<ServerStats>,
    streams: Rc<OpenStreams>,
    shutdown: Rc<Shutdown>,
    idle_refusal: Option<Reply>,
}

/// A request that has arrived whole.
struct ReceivedRequest {
    call: Call,
    /// Share of the memory for bodies, to be kept until the request has been handled.
    share: BodyShare,
    /// Whether the connection is closed after the reply.
    closes_connection: bool,
}

/// Number of bytes with which a transfer encoding may send one byte of a body: a chunk's size, two line
/// ends and the byte.
const FRAMED_BYTE_BYTES: u64 = 6;

/// Number of bytes that a transfer encoding may add to a body besides: its last chunk and its trailer.
const FRAMING_SLACK_BYTES: u64 = 64 << 10;

/// Returns the number of bytes with which a body may be sent.
fn framed_max_bytes(body_max_bytes: u64) -> u64 {
    body_max_bytes
        .saturating_mul(FRAMED_BYTE_BYTES)
        .saturating_add(FRAMING_SLACK_BYTES)
}

impl Server {
    /// Creates a server from its limits, its request handler and its source of rejection replies.
    pub fn new(options: ServerOptions, handler: Handler, reject: RejectReply) -> Self {
        let stats = Rc::default();
        Server {
            options,
            limits: Rc::new(|| None),
            memory: RequestMemory::new(&options, Rc::clone(&stats)),
            handler,
            reject,
            reporter: Rc::new(|_| {}),
            stats,
            streams: Rc::default(),
            shutdown: Rc::default(),
            idle_refusal: None,
        }
    }

    /// Sets the source of the limits of each request.
    pub fn with_limits(mut self, limits: LimitsSource) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the function that is told every refusal.
    pub fn report_refusals(mut self, reporter: RefusalReporter) -> Self {
        self.reporter = reporter;
        self
    }

    fn request_limits(&self) -> RequestLimits {
        (self.limits)().unwrap_or(RequestLimits {
            head_max_bytes: self.options.head_max_bytes,
            body_max_bytes: self.options.body_max_bytes,
            head_timeout: self.options.head_timeout,
        })
    }

    /// Returns the counters, which the server keeps up to date.
    pub fn stats(&self) -> Rc<ServerStats> {
        self.stats.clone()
    }

    /// Listens on an address with the default [`ListenOptions`]; port 0 selects a free port.
    pub async fn listen(address: SocketAddr) -> Result<TcpListener> {
        listen(address, ListenOptions::default()).await
    }

    /// Accepts and serves connections until a shutdown begins or the returned future is dropped.
    /// Connections that are open by then continue to be served.
    pub async fn run(self, listener: TcpListener, executor: Rc<LocalExecutor<'static>>) {
        let _listening = GaugeGuard::new(&self.stats, |stats| &stats.listeners);
        self.accept_until_shutdown(&listener, &executor).await;
        self.accept_queued(&listener, &executor).await;
        // Closed before it is no longer counted.
        drop(listener);
    }

    async fn accept_all(&self, listener: &TcpListener, executor: &Rc<LocalExecutor<'static>>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.admit(stream, executor),
                Err(_) => pause_after_failed_accept().await,
            }
            match self.is_crowded() {
                // Those that have been closed for others leave when they are next polled.
                true => drop(Timer::after(CROWDED_ACCEPT_DELAY).await),
                // A burst of new connections must not starve those already open.
                false => future::yield_now().await,
            }
        }
    }

    /// Returns whether neither a connection to be served nor one to be rejected has a place.
    fn is_crowded(&self) -> bool {
        let ServerOptions {
            connections_max,
            rejected_max,
            ..
        } = self.options;
        self.stats.connections.get() >= connections_max + rejected_max
    }

    fn admit(&self, stream: TcpStream, executor: &Rc<LocalExecutor<'static>>) {
        let server = self.clone();
        let open = GaugeGuard::new(&self.stats, |stats| &stats.connections);
        let excess = self
            .stats
            .connections
            .get()
            .saturating_sub(self.options.connections_max);
        // Before a place is made, which the connection could not use.
        if excess > self.options.rejected_max {
            return self.reject_at_once(stream);
        }
        let has_capacity = excess == 0 || self.make_place();
        let stream = BoundedStream::new(stream);
        let entry = self.streams.add(&stream);
        executor
            .spawn(async move {
                let _open = open;
                match has_capacity {
                    true => server.serve(stream, entry).await,
                    false => {
                        let refusal = Refusal::of_code(ResultCode::TooManyConnections);
                        server.send_rejection(&stream, refusal).await;
                    }
                }
            })
            .detach();
    }

    /// Rejects a connection that has no place, as far as that takes no time.
    fn reject_at_once(&self, stream: TcpStream) {
        /// Number of reads that empty a receive buffer.
        const READS_MAX: usize = UNREAD_MAX_BYTES.div_ceil(READ_BYTES);
        const READ_BYTES: usize = 4 << 10;
        let refusal = Refusal::at(Limit::Rejections, ResultCode::TooManyConnections);
        let response = self.rejection_reply(refusal).into_response();
        let mut reply = Vec::new();
        let mut encoder = Encoder::new(response, Method::Get);
        // Completes at once: the response is in memory.
        future::block_on(future::poll_once(encoder.read_to_end(&mut reply)));
        let inner: Arc<Async<std::net::TcpStream>> = stream.into();
        let mut inner = inner.get_ref();
        // Unread bytes would reset the connection. All errors are those of a peer that has left.
        let mut unread = [0; READ_BYTES];
        for _ in 0..READS_MAX {
            if !matches!(inner.read(&mut unread), Ok(1..)) {
                break;
            }
        }
        let _ = inner.write_all(&reply);
        let _ = inner.shutdown(std::net::Shutdown::Write);
    }

    /// Makes place for a new connection, at the cost of one that carries no whole request. Returns
    /// false if there is none.
    ///
    /// Peers that send their requests slowly, or never to the end, could otherwise occupy the address
    /// up to its limit.
    fn make_place(&self) -> bool {
        let code = ResultCode::TooManyConnections;
        self.streams.close_oldest(code) || self.streams.evict_slowest(code)
    }

    /// Serves one connection until it is closed.
    async fn serve(self, stream: BoundedStream, mut entry: StreamEntry) {
        if stream.inner().set_nodelay(true).is_err() {
            return;
        }
        // A request is counted as in flight until its reply is written, so that a graceful stop
        // cuts off no reply.
        let in_flight = RefCell::new(None);
        let reply_share = RefCell::new(None);
        let endpoint = |request| {
            in_flight.replace(Some(GaugeGuard::new(&self.stats, |stats| &stats.in_flight)));
            self.handle_request(stream.clone(), request, &reply_share)
        };
        let mut h1 = H1Server::new(stream.clone(), endpoint);
        loop {
            let read_before = stream.read_bytes();
            let limits = self.request_limits();
            stream.begin_idle(
                self.options.idle_timeout,
                limits.head_timeout,
                limits.head_max_bytes,
            );
            let accepted = async { Ok(h1.accept_one().await) };
            let interrupted = async { Err(self.shutdown.interruption(&stream).await) };
            let accepted = accepted.or(interrupted).await;
            in_flight.replace(None);
            reply_share.replace(None);
            let accepted = match accepted {
                Ok(accepted) => accepted,
                Err(cause) => return self.close_interrupted(&stream, cause).await,
            };
            match accepted {
                Ok(ConnectionStatus::KeepAlive) => entry = entry.move_to_back(&stream),
                Ok(ConnectionStatus::Close) if stream.phase() == Phase::Head => {
                    // The peer closed its side in the middle of a head.
                    let refusal = Refusal::of_code(ResultCode::BadRequest);
                    return self.send_rejection(&stream, refusal).await;
                }
                Ok(ConnectionStatus::Close) => return self.close_after_reply(&stream, false).await,
                Err(error) => {
                    let is_request = stream.read_bytes() > read_before;
                    if let Some(refusal) = refusal_of(&stream, &error, is_request) {
                        self.send_rejection(&stream, refusal).await;
                    }
                    return;
                }
            }
        }
    }

    async fn handle_request(
        &self,
        stream: BoundedStream,
        request: Request,
        reply_share: &RefCell<Option<ReplyShare>>,
    ) -> http_types::Result<Response> {
        let ReceivedRequest {
            call,
            share,
            closes_connection,
        } = self.receive(&stream, request).await?;
        stream.begin_handling();
        let reply = match self.options.cancels_on_disconnect {
            true => self.handle_while_connected(&stream, call).await,
            false => (self.handler)(call).await,
        };
        drop(share);
        let reply = self.limit_reply(reply, reply_share);
        stream.begin_reply(self.options.reply_timeout);
        let reply = if closes_connection || self.shutdown.has_begun() {
            reply.connection_close()
        } else {
            reply
        };
        Ok(reply.into_response())
    }

    /// Receives the body of a request.
    async fn receive(
        &self,
        stream: &BoundedStream,
        mut request: Request,
    ) -> http_types::Result<ReceivedRequest> {
        let max_bytes = self.request_limits().body_max_bytes;
        stream.begin_body(self.options.body_timeout, framed_max_bytes(max_bytes));
        let content_length = request.len().map(|len| len as u64);
        if content_length.is_some_and(|len| len > max_bytes) {
            return Err(rejection_error(ResultCode::BodyTooLarge));
        }
        if request.header(EXPECT_HEADER).is_some() {
            stream.clone().write_all(CONTINUE_RESPONSE).await?;
        }
        let body = request.take_body();
        let ReceivedBody { bytes, share } = self.read_body(stream, body, max_bytes).await?;
        if content_length.is_some_and(|len| len != bytes.len() as u64) {
            return Err(rejection_error(ResultCode::BadRequest));
        }
        let call = Call {
            head: request,
            body: bytes,
            peer_address: stream.inner().peer_addr().ok(),
        };
        Ok(ReceivedRequest {
            call,
            share,
            // The library may have read bytes after the body and discards them with the request, so a
            // request among them would never be answered. After a body without a length, it is unknown
            // whether there are such bytes.
            closes_connection: content_length != Some(stream.bytes_after_head()),
        })
    }

    /// Reserves the memory of a reply until it has been sent, or replaces the reply by a rejection.
    fn limit_reply(&self, reply: Reply, reply_share: &RefCell<Option<ReplyShare>>) -> Reply {
        match self.memory.reply_share(reply.body.len()) {
            Some(share) => {
                reply_share.replace(Some(share));
                reply
            }
            None => self.rejection_reply(Refusal::at(Limit::ReplyMemory, ResultCode::EntryFull)),
        }
    }

    /// Handles a request until its peer closes the connection. The handler is not called for a peer that
    /// left while its request waited to be read.
    async fn handle_while_connected(&self, stream: &BoundedStream, call: Call) -> Reply {
        let has_left = future::poll_once(wait_for_disconnect(stream)).await;
        if has_left.is_some() {
            return self.rejection_reply(Refusal::of_code(ResultCode::CancelledUnstarted));
        }
        (self.handler)(call).or(wait_for_disconnect(stream)).await
    }

    fn record_refusal(&self, refusal: Refusal) {
        self.stats.rejected.set(self.stats.rejected.get() + 1);
        (self.reporter)(refusal);
    }

    fn rejection_reply(&self, refusal: Refusal) -> Reply {
        self.record_refusal(refusal);
        (self.reject)(refusal.code).connection_close()
    }

    /// Replies to a peer with the reason for the rejection.
    async fn send_rejection(&self, stream: &BoundedStream, refusal: Refusal) {
        let reply = self.rejection_reply(refusal);
        self.send_final(stream, reply.into_response()).await;
    }

    /// Sends the last response on a connection, if the peer still reads.
    async fn send_final(&self, stream: &BoundedStream, response: Response) {
        let is_sending = matches!(stream.phase(), Phase::Head | Phase::Body);
        stream.begin_reply(LINGER_TIMEOUT);
        let mut reply = Encoder::new(response, Method::Get);
        let sent = io::copy(&mut reply, &mut stream.clone()).await;
        if sent.is_ok() {
            self.close_after_reply(stream, is_sending).await;
        }
    }

    /// Closes a connection on which the last reply has been sent.
    ///
    /// If bytes from the peer are unread when the connection is closed, the operating system resets
    /// the connection and the peer loses the reply. So further bytes are read and discarded until
    /// the peer closes its side, for up to [`LINGER_TIMEOUT`], or less during a shutdown or while the
    /// address is full.
    ///
    /// While the peer `is_sending` a request that has been refused, this side stays open until the peer pauses:
    /// a proxy before the peer may take the end of one side for that of the connection, and a peer that reads
    /// only after it has sent all would lose the reply.
    async fn close_after_reply(&self, stream: &BoundedStream, is_sending: bool) {
        let mut stream = stream.clone();
        let timeout = match self.stats.connections.get() > self.options.connections_max {
            true => CROWDED_LINGER_TIMEOUT,
            false => LINGER_TIMEOUT,
        };
        let discard = async {
            if is_sending {
                discard(&mut stream, SENDING_PAUSE).await;
            }
            if stream.close().await.is_ok() {
                discard(&mut stream, timeout).await;
            }
        };
        let discard = async {
            let _ = with_timeout(timeout, discard).await;
        };
        discard.or(self.shutdown.linger_expiry()).await;
    }
}

/// Reads and discards bytes until the peer closes its side or pauses for `pause`. Other tasks run between two
/// reads, however fast the peer sends.
async fn discard(stream: &mut BoundedStream, pause: Duration) {
    let mut bytes = [0; DISCARD_BYTES];
    while let Some(Ok(1..)) = with_timeout(pause, stream.read(&mut bytes)).await {
        future::yield_now().await;
    }
}

/// Returns the refusal that a peer is told after an error on its connection; `None` if it does not wait for
/// a reply. `is_request` is whether a byte of the request has arrived.
fn refusal_of(
    stream: &BoundedStream,
    error: &http_types::Error,
    is_request: bool,
) -> Option<Refusal> {
    match stream.eviction() {
        Some(code) => Some(Refusal::of_eviction(code, is_request)),
        None if is_request && stream.phase() != Phase::Replying => {
            Some(Refusal::of_code(code_of(error)))
        }
        None => None,
    }
}

/// Waits until the peer has closed the connection, and forever if it has sent further bytes.
/// Returns a reply that no peer will read.
async fn wait_for_disconnect(stream: &BoundedStream) -> Reply {
    /// The conventional status of a request whose client closed the connection.
    const CLIENT_CLOSED_REQUEST: u16 = 499;
    let mut byte = [0];
    match stream.inner().peek(&mut byte).await {
        Ok(0) | Err(_) => Reply::bytes(CLIENT_CLOSED_REQUEST, Vec::new()).connection_close(),
        // The peer has sent its next request before the reply, so it is still connected.
        Ok(_) => future::pending().await,
    }
}

/// Pause between two connections that are accepted while the address is crowded.
const CROWDED_ACCEPT_DELAY: Duration = Duration::from_millis(2);

/// Time limit for sending a rejection, and for discarding the peer's further bytes after a last reply.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a peer that sends a refused request may pause before its connection is closed: longer than a round
/// trip, for which a peer with a full window waits.
const SENDING_PAUSE: Duration = Duration::from_millis(250);

/// Number of bytes that are discarded at a time.
const DISCARD_BYTES: usize = 4 << 10;

/// Time limit for discarding the peer's further bytes while others wait for the connection's place: longer
/// than a round trip, after which no request of the peer can cross the reply.
const CROWDED_LINGER_TIMEOUT: Duration = Duration::from_millis(250);

/// The interim response to a request that asks whether to send its body.
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Waits after a failed accept, so that a shortage of file descriptors does not cause a busy loop.
async fn pause_after_failed_accept() {
    const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
    Timer::after(ACCEPT_RETRY_DELAY).await;
}
