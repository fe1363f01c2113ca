//! Graceful shutdown of a server.
//!
//! A server without a request in flight may still receive one on each of its open connections. A
//! shutdown therefore ends the intake first: the listener is closed, and so is every connection
//! that carries no request. It is over when no connection is left, after which no request can
//! arrive.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use async_net::TcpListener;
use futures_lite::{FutureExt, future};
use onyxshed_core::ResultCode;

use super::{Refusal, Server, pause_after_failed_accept};
use crate::bounded::{BoundedStream, Phase};
use crate::message::Reply;
use crate::open_streams::is_idle;

/// How long a shutdown leaves a peer to close a connection after its last reply: longer than a round
/// trip, after which no request of the peer can cross the reply.
const SHUTDOWN_LINGER_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval at which a shutdown checks whether connections are open.
const CLOSED_POLL: Duration = Duration::from_millis(10);

/// Progress of a server's shutdown, which its listener and its connections observe.
#[derive(Debug, Default)]
pub(super) struct Shutdown {
    begun: Signal,
    /// Raised when requests that have not been received whole are no longer awaited.
    receive_expired: Signal,
}

/// A condition that becomes true once and stays true.
#[derive(Debug)]
struct Signal {
    // Nothing is ever sent: closing the channel wakes all receivers.
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Signal {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Signal { sender, receiver }
    }
}

impl Signal {
    fn raise(&self) {
        self.sender.close();
    }

    fn is_raised(&self) -> bool {
        self.sender.is_closed()
    }

    async fn wait(&self) {
        let _ = self.receiver.recv().await;
    }
}

/// Why a connection is closed during a shutdown before it has received a whole request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Interruption {
    /// No byte of a request has arrived.
    Idle,
    /// A request has not arrived whole in time.
    HalfReceived,
}

impl Shutdown {
    /// Returns whether replies have to close their connections.
    pub(super) fn has_begun(&self) -> bool {
        self.begun.is_raised()
    }

    /// Waits until a connection that has sent its last reply need not be kept open any longer.
    pub(super) async fn linger_expiry(&self) {
        self.begun.wait().await;
        Timer::after(SHUTDOWN_LINGER_TIMEOUT).await;
    }

    /// Waits until a connection has to be closed although it has not received a whole request.
    pub(super) async fn interruption(&self, stream: &BoundedStream) -> Interruption {
        self.begun.wait().await;
        if is_idle(stream) {
            return Interruption::Idle;
        }
        self.receive_expired.wait().await;
        match stream.phase() {
            Phase::Idle => Interruption::Idle,
            Phase::Head | Phase::Body => Interruption::HalfReceived,
            Phase::Replying => future::pending().await,
        }
    }
}

impl Server {
    /// Sets the reply that a shutdown sends on each connection without a request; without one,
    /// these connections are closed silently.
    ///
    /// A request that crosses the closing of its connection is not read, and its caller takes this
    /// reply for the answer.
    pub fn refuse_idle_with(mut self, refusal: Reply) -> Self {
        self.idle_refusal = Some(refusal.connection_close());
        self
    }

    /// Stops listening, closes connections that carry no request, and waits until all others have
    /// been answered and closed. No request can arrive once the returned future has completed.
    ///
    /// A connection whose handshake is under way when the listener is closed is reset by the
    /// operating system.
    ///
    /// Requests that have not arrived whole by `receive_deadline` are rejected with
    /// [`ResultCode::Draining`]. Handlers are not interrupted.
    pub async fn shut_down(&self, receive_deadline: Instant) {
        self.shutdown.begun.raise();
        let receive_expired = async {
            Timer::at(receive_deadline).await;
            self.shutdown.receive_expired.raise();
            future::pending().await
        };
        self.wait_until_closed().or(receive_expired).await;
    }

    async fn wait_until_closed(&self) {
        while self.stats.listeners.get() + self.stats.connections.get() > 0 {
            Timer::after(CLOSED_POLL).await;
        }
    }

    /// Accepts connections until a shutdown begins.
    pub(super) async fn accept_until_shutdown(
        &self,
        listener: &TcpListener,
        executor: &Rc<LocalExecutor<'static>>,
    ) {
        let accept = self.accept_all(listener, executor);
        accept.or(self.shutdown.begun.wait()).await;
    }

    /// Accepts the connections that the operating system has established but not handed over yet;
    /// closing the listener would reset them.
    pub(super) async fn accept_queued(
        &self,
        listener: &TcpListener,
        executor: &Rc<LocalExecutor<'static>>,
    ) {
        while let Some(accepted) = future::poll_once(listener.accept()).await {
            match accepted {
                Ok((stream, _)) => self.admit(stream, executor),
                Err(_) => pause_after_failed_accept().await,
            }
        }
    }

    /// Closes a connection that a shutdown has interrupted.
    pub(super) async fn close_interrupted(&self, stream: &BoundedStream, cause: Interruption) {
        match (cause, &self.idle_refusal) {
            (Interruption::HalfReceived, _) => {
                let refusal = Refusal::of_code(ResultCode::Draining);
                self.send_rejection(stream, refusal).await;
            }
            (Interruption::Idle, Some(refusal)) => {
                let refused = &self.stats.idle_refused;
                refused.set(refused.get() + 1);
                self.send_final(stream, refusal.clone().into_response())
                    .await;
            }
            (Interruption::Idle, None) => {}
        }
    }
}
