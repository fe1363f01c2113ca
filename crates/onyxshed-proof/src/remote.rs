//! The test's own calls: to stand-ins, to admin addresses.

use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use http_types::Method;
use onyxshed_http::client::call_once;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::{SmolStr, format_smolstr};

use crate::error::{Error, Result};

/// How long a test's own call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// How long anything awaited may take; far more than it takes on a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Pause between looks at something awaited.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Calls and takes any answer of success.
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

/// Gets a JSON document.
pub async fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T> {
    let body = call(address, Method::Get, path, Vec::new()).await?;
    serde_json::from_slice(&body).map_err(|error| Error::call(path, error))
}

/// Sends a JSON document.
pub async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    document: &impl Serialize,
) -> Result<Vec<u8>> {
    let body = serde_json::to_vec(document).map_err(|error| Error::call(path, error))?;
    call(address, method, path, body).await
}

/// Lets a moment pass before the next look at something awaited.
pub async fn pause() {
    Timer::after(POLL_INTERVAL).await;
}

/// What a look at something awaited brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WaitState {
    /// It is so.
    Holds,
    /// Not yet; this was seen instead.
    NotYet(SmolStr),
}

impl WaitState {
    /// Makes a look from a condition.
    pub fn from_condition(holds: bool, observed: impl FnOnce() -> SmolStr) -> Self {
        match holds {
            true => WaitState::Holds,
            false => WaitState::NotYet(observed()),
        }
    }
}
