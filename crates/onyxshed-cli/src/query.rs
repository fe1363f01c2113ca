//! Queries the admin addresses of many processes concurrently.

use std::time::Duration;

use async_executor::LocalExecutor;
use http_types::Method;
use onyxshed_http::{CallError, ClientOptions, Connection, Reply};
use onyxshed_settings::ProcessAddress;
use onyxshed_wire::admin::{ANSWER_MAX_BYTES, STATUS_PATH, Status};
use smol_str::{SmolStr, format_smolstr};

use crate::progress::Progress;

/// The decoded answer of a process, or the reason why there is none.
pub type ProcessAnswer<T> = Result<T, SmolStr>;

/// The result of querying one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessReply<T> {
    /// Name of the process in the settings.
    pub process: SmolStr,
    /// The answer, or the reason why there is none.
    pub answer: ProcessAnswer<T>,
}

/// Gets `path` from every process concurrently and returns the answers in the order of `processes`.
pub async fn query_all<T: 'static>(
    processes: &[ProcessAddress],
    path: &str,
    timeout: Duration,
    decode: fn(&[u8]) -> onyxshed_wire::Result<T>,
) -> Vec<ProcessReply<T>> {
    let executor = LocalExecutor::new();
    let mut queries = Vec::new();
    for process in processes {
        let answer = executor.spawn(query_process(process, path, timeout, decode));
        queries.push((process.name.clone(), answer));
    }
    let progress = Progress::new("the first process's answer");
    let collect = async {
        let mut replies = Vec::new();
        for (process, answer) in queries {
            progress.set(format!("{process} to answer"));
            let answer = answer.await;
            replies.push(ProcessReply { process, answer });
        }
        replies
    };
    executor.run(progress.during(collect)).await
}

/// Gets the status of every process concurrently.
pub async fn query_status(
    processes: &[ProcessAddress],
    timeout: Duration,
) -> Vec<ProcessReply<Status>> {
    query_all(processes, STATUS_PATH, timeout, Status::decode).await
}

async fn get(process: &ProcessAddress, path: &str, timeout: Duration) -> Result<Reply, CallError> {
    let options = ClientOptions {
        connect_timeout: timeout,
        reply_max_bytes: ANSWER_MAX_BYTES,
    };
    let mut connection = Connection::open(process.admin_address, options).await?;
    connection
        .call(Method::Get, path, &[], Vec::new(), timeout)
        .await
}

/// Gets `path` from one process and decodes the answer.
async fn query_process<T>(
    process: &ProcessAddress,
    path: &str,
    timeout: Duration,
    decode: fn(&[u8]) -> onyxshed_wire::Result<T>,
) -> ProcessAnswer<T> {
    let reply = get(process, path, timeout)
        .await
        .map_err(|error| error.reason)?;
    match reply.status {
        200 => decode(&reply.body).map_err(|error| format_smolstr!("{error}")),
        status => Err(format_smolstr!("answered with status {status}")),
    }
}
