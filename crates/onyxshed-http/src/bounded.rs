//! A TCP stream that gives up: on time, on bytes read, on a reader that takes nothing.
//!
//! Failure guarded against: a peer that sends a header without end, a byte a minute, or never reads
//! its reply. Symptom: memory or connections fill up until nobody is served. Every read and write
//! passes through here and fails once its phase's time or bytes are used up, so one peer costs at
//! most one connection for a bounded time and a bounded buffer.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncRead, AsyncWrite, Future};

use crate::head::HeadScan;

/// What the two ends are doing, which decides what is awaited and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Between requests.
    Idle,
    /// The first byte of a head has come.
    Head,
    /// The body is coming.
    Body,
    /// The reply is being made or sent.
    Replying,
}

#[derive(Debug)]
struct Bounds {
    phase: Phase,
    read_left_bytes: u64,
    read_total_bytes: u64,
    written_bytes: u64,
    deadline: Option<Instant>,
    timer: Option<Timer>,
    after_first_byte: Option<Duration>,
    head: HeadScan,
}

/// A cloneable TCP stream with one shared set of bounds.
#[derive(Debug, Clone)]
pub struct BoundedStream {
    inner: TcpStream,
    bounds: Arc<Mutex<Bounds>>,
}

impl BoundedStream {
    /// Wraps a stream; until a phase is begun, nothing bounds it.
    pub fn new(inner: TcpStream) -> Self {
        let bounds = Bounds {
            phase: Phase::Idle,
            read_left_bytes: u64::MAX,
            read_total_bytes: 0,
            written_bytes: 0,
            deadline: None,
            timer: None,
            after_first_byte: None,
            head: HeadScan::default(),
        };
        BoundedStream {
            inner,
            bounds: Arc::new(Mutex::new(bounds)),
        }
    }

    /// Begins waiting for a request: `idle` until its first byte, then `head` for the rest of it.
    pub fn begin_idle(&self, idle: Duration, head: Duration, head_max_bytes: u64) {
        let mut bounds = self.lock();
        bounds.begin(Phase::Idle, Some(idle), head_max_bytes);
        bounds.head = HeadScan::default();
        bounds.after_first_byte = Some(head);
    }

    /// Begins reading a body.
    pub fn begin_body(&self, time: Duration, max_bytes: u64) {
        self.lock().begin(Phase::Body, Some(time), max_bytes);
    }

    /// Begins making a reply, which takes as long as it takes.
    pub fn begin_handling(&self) {
        self.lock().begin(Phase::Replying, None, u64::MAX);
    }

    /// Begins sending a reply, which the peer must take within `time`.
    pub fn begin_reply(&self, time: Duration) {
        self.lock().begin(Phase::Replying, Some(time), u64::MAX);
    }

    /// Begins reading the next message, whose head is watched.
    pub fn begin_message(&self) {
        self.lock().head = HeadScan::default();
    }

    /// Gets how many bytes came behind the message's head.
    pub fn beyond_head_bytes(&self) -> u64 {
        self.lock().head.beyond_bytes()
    }

    /// Gets what the two ends are doing.
    pub fn phase(&self) -> Phase {
        self.lock().phase
    }

    /// Gets how many bytes were handed to the system so far.
    pub fn written_bytes(&self) -> u64 {
        self.lock().written_bytes
    }

    /// Gets how many bytes came from the peer so far.
    pub fn read_bytes(&self) -> u64 {
        self.lock().read_total_bytes
    }

    /// Gets the stream beneath.
    pub fn inner(&self) -> &TcpStream {
        &self.inner
    }

    fn lock(&self) -> MutexGuard<'_, Bounds> {
        self.bounds.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Bounds {
    fn begin(&mut self, phase: Phase, time: Option<Duration>, read_max_bytes: u64) {
        self.phase = phase;
        self.read_left_bytes = read_max_bytes;
        self.after_first_byte = None;
        self.set_deadline(time);
    }

    fn set_deadline(&mut self, time: Option<Duration>) {
        self.deadline = time.map(|time| Instant::now() + time);
        self.timer = None;
    }

    /// Registers for the deadline and tells whether it has passed.
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

    fn count_read(&mut self, bytes: &mut [u8]) -> io::Result<usize> {
        let count = bytes.len();
        let count_bytes = count as u64;
        self.read_total_bytes += count_bytes;
        if self.read_left_bytes < count_bytes {
            return Err(io::Error::new(
                io::ErrorKind::FileTooLarge,
                "more bytes than allowed",
            ));
        }
        self.read_left_bytes -= count_bytes;
        if let Some(head) = self.after_first_byte.take() {
            self.phase = Phase::Head;
            self.set_deadline(Some(head));
        }
        self.head.pass(bytes)?;
        Ok(count)
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        let mut bounds = self.lock();
        match polled {
            Poll::Ready(Ok(0)) => Poll::Ready(Ok(0)),
            Poll::Ready(Ok(count)) => Poll::Ready(bounds.count_read(&mut buf[..count])),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => bounds.poll_deadline(cx),
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
