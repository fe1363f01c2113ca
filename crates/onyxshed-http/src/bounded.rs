//! A TCP stream with limits on time and on bytes read.
//!
//! A peer may send a header without end or one byte a minute, or never read its reply. Without
//! limits, such peers exhaust memory or connections until no request is served. Every read and
//! write of a connection goes through this stream and fails once the time or bytes of its phase are
//! used up, so one peer costs at most one connection for a bounded time and a bounded buffer.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncRead, AsyncWrite, Future};
use onyxshed_core::ResultCode;

use crate::head::HeadScan;

/// Phase of the exchange of a request and its reply. Each phase has its own limits on time and on
/// bytes received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Between requests: no byte of the next head has arrived.
    Idle,
    /// The first byte of a head has arrived.
    Head,
    /// The body is being received.
    Body,
    /// The reply is being prepared or sent.
    Replying,
}

/// Size of a body, by which the memory for bodies is divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodySize {
    /// Up to [`SMALL_BODY_BYTES`](crate::server::SMALL_BODY_BYTES).
    Small,
    /// Any larger body.
    Large,
}

/// When the bytes of a request have arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    first_byte_at: Instant,
    last_byte_at: Instant,
}

impl Arrival {
    fn new() -> Self {
        let now = Instant::now();
        Arrival {
            first_byte_at: now,
            last_byte_at: now,
        }
    }

    /// Returns how long the request has been arriving.
    pub fn duration(&self) -> Duration {
        self.first_byte_at.elapsed()
    }

    /// Returns how long no byte of the request has arrived.
    pub fn pause(&self) -> Duration {
        self.last_byte_at.elapsed()
    }
}

#[derive(Debug)]
struct Bounds {
    phase: Phase,
    read_remaining_bytes: u64,
    read_total_bytes: u64,
    written_bytes: u64,
    deadline: Option<Instant>,
    timer: Option<Timer>,
    head_timeout: Option<Duration>,
    head: HeadScan,
    /// Progress of the request that is being received.
    arrival: Option<Arrival>,
    /// Set while the request that is being received or awaited is given up.
    eviction: Option<ResultCode>,
    /// Size of the body that is being received, once it has memory.
    body_size: Option<BodySize>,
    /// The task that waits for bytes.
    reader: Option<Waker>,
}

/// A TCP stream with limits. Clones share the stream and its limits.
#[derive(Debug, Clone)]
pub struct BoundedStream {
    inner: TcpStream,
    bounds: Arc<Mutex<Bounds>>,
}

impl BoundedStream {
    /// Wraps a stream, without limits until a phase begins.
    pub fn new(inner: TcpStream) -> Self {
        let bounds = Bounds {
            phase: Phase::Idle,
            read_remaining_bytes: u64::MAX,
            read_total_bytes: 0,
            written_bytes: 0,
            deadline: None,
            timer: None,
            head_timeout: None,
            head: HeadScan::default(),
            arrival: None,
            eviction: None,
            body_size: None,
            reader: None,
        };
        BoundedStream {
            inner,
            bounds: Arc::new(Mutex::new(bounds)),
        }
    }

    /// Begins waiting for a request: `idle_timeout` until its first byte, then `head_timeout` for
    /// the rest of its head, which may have at most `head_max_bytes`.
    pub fn begin_idle(&self, idle_timeout: Duration, head_timeout: Duration, head_max_bytes: u64) {
        let mut bounds = self.lock();
        bounds.begin_phase(Phase::Idle, Some(idle_timeout), head_max_bytes);
        bounds.head = HeadScan::default();
        bounds.head_timeout = Some(head_timeout);
    }

    /// Begins receiving a body of at most `max_bytes` within `timeout`.
    pub fn begin_body(&self, timeout: Duration, max_bytes: u64) {
        self.lock()
            .begin_phase(Phase::Body, Some(timeout), max_bytes);
    }

    /// Begins preparing a reply, which has no time limit.
    pub fn begin_handling(&self) {
        self.lock().begin_phase(Phase::Replying, None, u64::MAX);
    }

    /// Begins sending a reply, which the peer must read within `timeout`.
    pub fn begin_reply(&self, timeout: Duration) {
        self.lock()
            .begin_phase(Phase::Replying, Some(timeout), u64::MAX);
    }

    /// Prepares for the next message: its head is scanned from the start. Keeps phase and limits.
    pub fn begin_message(&self) {
        self.lock().head = HeadScan::default();
    }

    /// Returns how many bytes were received after the message's head.
    pub fn bytes_after_head(&self) -> u64 {
        self.lock().head.bytes_after_head()
    }

    /// Returns the progress of the request that is being received; `None` if no request is, or if it has
    /// been given up.
    pub fn arrival(&self) -> Option<Arrival> {
        let bounds = self.lock();
        bounds.arrival.filter(|_| bounds.eviction.is_none())
    }

    /// Sets the size of the body that is being received.
    pub fn set_body_size(&self, size: BodySize) {
        self.lock().body_size = Some(size);
    }

    /// Returns the size of the body that is being received, once it has memory.
    pub fn body_size(&self) -> Option<BodySize> {
        self.lock().body_size
    }

    /// Gives up the request that is being received or awaited: reads fail from now on, until a reply
    /// begins. `code` is the reason for the reply.
    pub fn evict(&self, code: ResultCode) {
        let mut bounds = self.lock();
        bounds.eviction = Some(code);
        if let Some(reader) = bounds.reader.take() {
            reader.wake();
        }
    }

    /// Returns why the request that is being received or awaited was given up.
    pub fn eviction(&self) -> Option<ResultCode> {
        self.lock().eviction
    }

    /// Returns the phase begun last; the first byte received in [`Phase::Idle`] begins
    /// [`Phase::Head`].
    pub fn phase(&self) -> Phase {
        self.lock().phase
    }

    /// Returns the total number of bytes handed to the operating system on this connection.
    pub fn written_bytes(&self) -> u64 {
        self.lock().written_bytes
    }

    /// Returns the total number of bytes received from the peer on this connection.
    pub fn read_bytes(&self) -> u64 {
        self.lock().read_total_bytes
    }

    /// Returns the wrapped stream, to which the limits do not apply.
    pub fn inner(&self) -> &TcpStream {
        &self.inner
    }

    fn lock(&self) -> MutexGuard<'_, Bounds> {
        self.bounds.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Bounds {
    fn begin_phase(&mut self, phase: Phase, timeout: Option<Duration>, read_max_bytes: u64) {
        self.phase = phase;
        self.read_remaining_bytes = read_max_bytes;
        self.head_timeout = None;
        if !matches!(phase, Phase::Head | Phase::Body) {
            self.arrival = None;
            self.eviction = None;
            self.body_size = None;
        }
        self.set_deadline(timeout);
    }

    fn set_deadline(&mut self, timeout: Option<Duration>) {
        self.deadline = timeout.map(|timeout| Instant::now() + timeout);
        self.timer = None;
    }

    /// Returns a timeout error if the phase's deadline has passed. Otherwise returns pending, and
    /// the task is woken at the deadline, if there is one.
    fn poll_deadline(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let Some(deadline) = self.deadline else {
            return Poll::Pending;
        };
        let timer = self.timer.get_or_insert_with(|| Timer::at(deadline));
        match Pin::new(timer).poll(cx) {
            Poll::Ready(_) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }

    fn record_read(&mut self, bytes: &mut [u8]) -> io::Result<usize> {
        let count = bytes.len();
        let count_bytes = count as u64;
        self.read_total_bytes += count_bytes;
        if let Some(arrival) = &mut self.arrival {
            arrival.last_byte_at = Instant::now();
        }
        if self.read_remaining_bytes < count_bytes {
            return Err(io::Error::new(
                io::ErrorKind::FileTooLarge,
                "more bytes than allowed",
            ));
        }
        self.read_remaining_bytes -= count_bytes;
        if let Some(head_timeout) = self.head_timeout.take() {
            self.phase = Phase::Head;
            self.arrival = Some(Arrival::new());
            self.set_deadline(Some(head_timeout));
        }
        self.head.scan(bytes)?;
        Ok(count)
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.eviction().is_some() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        let mut bounds = self.lock();
        match polled {
            Poll::Ready(Ok(0)) => Poll::Ready(Ok(0)),
            Poll::Ready(Ok(count)) => Poll::Ready(bounds.record_read(&mut buf[..count])),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                bounds.reader = Some(cx.waker().clone());
                bounds.poll_deadline(cx)
            }
        }
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        let mut bounds = self.lock();
        match polled {
            Poll::Ready(Ok(count)) => {
                bounds.written_bytes += count as u64;
                Poll::Ready(Ok(count))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => bounds.poll_deadline(cx),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
