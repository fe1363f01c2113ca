//! Requests of the test itself to stand-ins and admin addresses, and helpers for polling.

use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use http_types::Method;
use onyxshed_http::client::call_once;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::{SmolStr, format_smolstr};

use crate::error::{Error, Result};

/// Timeout of one request of the test itself.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest wait for any condition. It far exceeds the time that is needed on a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Sends a request and returns the reply's body.
///
/// # Errors
///
/// Fails if no reply is received or its status is not 2xx.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<Vec<u8>> {
    let request = || format_smolstr!("{method} {path}");
    let reply = call_once(address, method, path, body, CALL_TIMEOUT)
        .await
        .map_err(|error| Error::call(request(), error))?;
    match reply.status {
        200..300 => Ok(reply.body),
        status => Err(Error::call(
            request(),
            format!("{status}: {}", String::from_utf8_lossy(&reply.body)),
        )),
    }
}

/// Fetches and decodes a JSON document.
pub async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T> {
    let body = call(address, Method::Get, path, Vec::new()).await?;
    serde_json::from_slice(&body).map_err(|error| Error::call(path, error))
}

/// Sends a JSON document and returns the reply's body.
pub async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    document: &impl Serialize,
) -> Result<Vec<u8>> {
    let body = serde_json::to_vec(document).map_err(|error| Error::call(path, error))?;
    call(address, method, path, body).await
}

/// Waits 10 ms before a condition is checked again.
pub async fn pause() {
    Timer::after(POLL_INTERVAL).await;
}

/// The result of checking a condition once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WaitState {
    /// The condition is met.
    Holds,
    /// The condition is not met; contains the state that was observed.
    NotYet(SmolStr),
}

impl WaitState {
    /// Returns `Holds` if `holds`, otherwise `NotYet` with the observed state.
    pub fn from_condition(holds: bool, observed: impl FnOnce() -> SmolStr) -> Self {
        match holds {
            true => WaitState::Holds,
            false => WaitState::NotYet(observed()),
        }
    }
}
