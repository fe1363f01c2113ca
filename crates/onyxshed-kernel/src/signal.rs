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

/// Installs handlers for SIGTERM, SIGINT and SIGQUIT and returns the stream of received signals.
pub(crate) fn listen() -> Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Quit]).map_err(|error| Error::SignalHandlers {
        reason: error.to_string().into(),
    })
}

/// Forwards signals as stop requests until the receiver is dropped.
pub(crate) async fn forward(mut signals: Signals, requests: Sender<StopRequest>) {
    while let Some(Ok(signal)) = signals.next().await {
        let request = match signal {
            Signal::Quit => StopRequest::AtOnce,
            _ => StopRequest::Drain,
        };
        if requests.send(request).await.is_err() {
            return;
        }
    }
}
