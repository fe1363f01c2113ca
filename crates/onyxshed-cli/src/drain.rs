//! `onyxshed drain`: takes a process out of service.

use std::time::{Duration, Instant};

use async_io::Timer;
use http_types::Method;
use onyxshed_core::Millis;
use onyxshed_http::SendState;
use onyxshed_http::client::call_once;
use onyxshed_settings::ProcessAddress;
use onyxshed_wire::admin::{DRAIN_PATH, STATUS_PATH, Status};
use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};

use crate::error::{Error, Result};
use crate::output::{Format, json};
use crate::progress::Progress;

/// Timeout of one call to the process's admin address.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// How often to check whether the process has ended.
const POLL_PERIOD: Duration = Duration::from_millis(200);

/// State of the process when the command ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum DrainState {
    Draining,
    Ended,
}

#[derive(Serialize)]
struct Answer<'a> {
    process: &'a SmolStr,
    state: DrainState,
}

/// Requests a drain of the process and, if `should_wait`, waits until the process has ended.
pub async fn run(
    process: &ProcessAddress,
    should_wait: bool,
    timeout_ms: Millis,
    format: Format,
) -> Result<String> {
    let progress = Progress::new(format!("{} to finish its work in flight", process.name));
    let state = progress
        .during(drain(process, should_wait, timeout_ms))
        .await?;
    let name = &process.name;
    Ok(match (format, state) {
        (Format::Json, state) => json(&Answer {
            process: name,
            state,
        }),
        (Format::Human, DrainState::Draining) => format!("{name} is draining\n"),
        (Format::Human, DrainState::Ended) => format!("{name} has drained and ended\n"),
    })
}

async fn drain(
    process: &ProcessAddress,
    should_wait: bool,
    timeout_ms: Millis,
) -> Result<DrainState> {
    let status = call(process, Method::Post, DRAIN_PATH).await?;
    match should_wait {
        true => wait_for_end(process, &status, timeout_ms).await,
        false => Ok(DrainState::Draining),
    }
}

/// Waits until the process has ended, or another run of it has replaced it.
async fn wait_for_end(
    process: &ProcessAddress,
    initial: &Status,
    timeout_ms: Millis,
) -> Result<DrainState> {
    let deadline = Instant::now() + Duration::from(timeout_ms);
    while Instant::now() < deadline {
        if has_ended(process, initial).await {
            return Ok(DrainState::Ended);
        }
        Timer::after(POLL_PERIOD).await;
    }
    Err(Error::StillDraining {
        process: process.name.clone(),
    })
}

/// Returns whether the run of the process that `initial` describes has ended: nothing listens on
/// its address any more, or another run does. A timeout proves nothing.
async fn has_ended(process: &ProcessAddress, initial: &Status) -> bool {
    let call = call_once(
        process.admin_address,
        Method::Get,
        STATUS_PATH,
        Vec::new(),
        CALL_TIMEOUT,
    );
    match call.await {
        Ok(reply) => Status::decode(&reply.body).is_ok_and(|status| status.boot != initial.boot),
        Err(error) => error.sent == SendState::NotSent && !error.is_timeout,
    }
}

async fn call(process: &ProcessAddress, method: Method, path: &str) -> Result<Status> {
    let process_error = |reason: SmolStr| Error::Process {
        process: process.name.clone(),
        reason,
    };
    let call = call_once(
        process.admin_address,
        method,
        path,
        Vec::new(),
        CALL_TIMEOUT,
    );
    let reply = call.await.map_err(|error| process_error(error.reason))?;
    match reply.status {
        200 | 202 => {
            Status::decode(&reply.body).map_err(|error| process_error(format_smolstr!("{error}")))
        }
        status => Err(process_error(format_smolstr!(
            "answered with status {status}"
        ))),
    }
}
