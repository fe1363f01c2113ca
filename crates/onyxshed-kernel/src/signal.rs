//! Stop requests, from signals or from the process itself.

use async_channel::Sender;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

use crate::error::{Error, Result};

/// A request to stop the process, after a drain or immediately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopRequest {
    /// SIGTERM or SIGINT: finish the work in flight, then stop. Further requests of this kind do
    /// not shorten the drain.
    Drain,
    /// SIGQUIT: stop immediately, without waiting for work in flight.
    AtOnce,
}

/// Signals whose default action would end the process without a drain.
const HANDLED: [Signal; 4] = [Signal::Term, Signal::Int, Signal::Quit, Signal::Hup];

/// Installs handlers for [`HANDLED`] and returns the stream of received signals.
pub(crate) fn listen() -> Result<Signals> {
    Signals::new(HANDLED).map_err(|error| Error::SignalHandlers {
        reason: error.to_string().into(),
    })
}

/// Forwards signals as stop requests until the receiver is dropped.
pub(crate) async fn forward(mut signals: Signals, requests: Sender<StopRequest>) {
    while let Some(Ok(signal)) = signals.next().await {
        let Some(request) = stop_request(signal) else {
            continue;
        };
        if requests.send(request).await.is_err() {
            return;
        }
    }
}

/// Returns the stop that a signal requests. SIGHUP requests none; a service that reloads its
/// settings listens for it separately.
fn stop_request(signal: Signal) -> Option<StopRequest> {
    match signal {
        Signal::Quit => Some(StopRequest::AtOnce),
        Signal::Term | Signal::Int => Some(StopRequest::Drain),
        _ => None,
    }
}
