//! Why a process stops: signals, or a word from inside.

use async_channel::Sender;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

use crate::error::{Error, Result};

/// How a process is told to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopRequest {
    /// SIGTERM or SIGINT: finish the work in flight first. Saying it again does not shorten it.
    Drain,
    /// SIGQUIT: stop at once, whatever is in flight.
    AtOnce,
}

/// Starts to listen to SIGTERM, SIGINT and SIGQUIT.
pub(crate) fn listen() -> Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Quit]).map_err(|error| Error::Signals {
        reason: error.to_string().into(),
    })
}

/// Passes signals on until nobody listens.
pub(crate) async fn pass_on(mut signals: Signals, requests: Sender<StopRequest>) {
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
