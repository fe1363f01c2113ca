//! Start, stop and status calls to executors over HTTP, and the outcome that their reply or failure
//! proves.

use std::rc::Rc;
use std::time::Duration;

use http_types::Method;
use onyxshed_core::{ClassName, ExecutorName, Micros, Millis, TaskId};
use onyxshed_dispatch::{AttemptId, AttemptReport, StopReport};
use onyxshed_http::{CallError, Connection, Reply, SendState};
use onyxshed_policy::AttemptOutcome;
use onyxshed_wire::upstream::{
    ATTEMPT_HEADER, CLASS_HEADER, DRAINING_HEADER, LEASE_HEADER, LoadReport, QUEUED_HEADER,
    RUNNING_HEADER, SERVICE_HEADER, STARTER_HEADER, STATE_HEADER, TASK_HEADER, TaskState,
    TaskStatus, task_path,
};
use smol_str::SmolStr;

use super::Upstreams;
use onyxshed_http::connections::{ConnectionPool, ReusePolicy};

/// Parameters of the call that starts a task on an executor.
#[derive(Debug, Clone)]
pub struct StartCall {
    /// The attempt that the call begins.
    pub attempt: AttemptId,
    /// The task to run; its id determines the path of the request.
    pub task: TaskId,
    /// The class of the task, sent in a header.
    pub class: ClassName,
    /// The payload of the task, sent as the request's body.
    pub payload: Rc<Vec<u8>>,
    /// How long the executor may work on the task, in milliseconds.
    pub lease_ms: Millis,
    /// Whether the call needs a connection that has answered recently, see
    /// [`super::UpstreamOptions::reuse_within`].
    pub needs_proven_connection: bool,
}

/// Parameters of the call that stops an attempt on an executor.
#[derive(Debug, Clone, Copy)]
pub struct StopCall {
    /// The attempt to stop, sent in a header together with the incarnation of the starter.
    pub attempt: AttemptId,
    /// The task of the attempt; its id determines the path of the request.
    pub task: TaskId,
}

impl Upstreams {
    /// Starts a task and waits until the attempt has ended.
    pub(super) async fn start(&self, executor: &ExecutorName, call: StartCall) -> AttemptReport {
        let Some(pool) = self.pool(executor) else {
            return report_without_reply(AttemptOutcome::Unsent, "the executor is no longer known");
        };
        let health = match call.needs_proven_connection {
            true => ReusePolicy::AnsweredWithin(self.options.reuse_within),
            false => ReusePolicy::AnyOpen,
        };
        let mut connection = match pool.get(health).await {
            Ok(connection) => connection,
            Err(error) => return report_without_reply(AttemptOutcome::Unsent, error.reason),
        };
        match self.send_start(&mut connection, &call).await {
            Ok(reply) => {
                let report = read_report(call.task, reply);
                if report.outcome != AttemptOutcome::Lost {
                    pool.put(connection);
                }
                report
            }
            Err(error) => report_failed_call(&pool, &error),
        }
    }

    async fn send_start(
        &self,
        connection: &mut Connection,
        call: &StartCall,
    ) -> Result<Reply, CallError> {
        let headers = [
            (CLASS_HEADER, SmolStr::from(call.class.as_str())),
            (
                LEASE_HEADER,
                smol_str::format_smolstr!("{}", call.lease_ms.0),
            ),
            (
                STARTER_HEADER,
                smol_str::format_smolstr!("{}", self.incarnation),
            ),
            (
                ATTEMPT_HEADER,
                smol_str::format_smolstr!("{}", call.attempt),
            ),
        ];
        let timeout = Duration::from(call.lease_ms) + self.options.call_slack;
        let payload = call.payload.as_ref().clone();
        connection
            .call(
                Method::Post,
                &task_path(&call.task),
                &headers,
                payload,
                timeout,
            )
            .await
    }

    /// Stops an attempt. Returns `None` if the executor sent no valid reply.
    ///
    /// It always opens a new connection, since the one that carried the start may no longer deliver data.
    pub(super) async fn stop(&self, executor: &ExecutorName, call: StopCall) -> Option<StopReport> {
        let headers = [
            (
                STARTER_HEADER,
                smol_str::format_smolstr!("{}", self.incarnation),
            ),
            (
                ATTEMPT_HEADER,
                smol_str::format_smolstr!("{}", call.attempt),
            ),
        ];
        let reply = self
            .call_on_new_connection(executor, Method::Delete, &headers, call.task)
            .await?;
        let state = state_of(call.task, &reply)?;
        Some(StopReport {
            state,
            body: reply.body,
        })
    }

    /// Queries the status of a task. Returns `None` if the executor sent no valid reply.
    pub(super) async fn query_status(
        &self,
        executor: &ExecutorName,
        task: TaskId,
    ) -> Option<TaskStatus> {
        let reply = self
            .call_on_new_connection(executor, Method::Get, &[], task)
            .await?;
        is_about(task, &reply)
            .then(|| reply.header_value(STATE_HEADER)?.parse().ok())
            .flatten()
    }

    /// Sends a request about a task over a new connection, and adds the connection to the pool
    /// after a reply.
    async fn call_on_new_connection(
        &self,
        executor: &ExecutorName,
        method: Method,
        headers: &[(&str, SmolStr)],
        task: TaskId,
    ) -> Option<Reply> {
        let pool = self.pool(executor)?;
        let timeout = self.options.stop_timeout;
        let mut connection = Connection::open(pool.address(), self.options.client)
            .await
            .ok()?;
        let reply = connection
            .call(method, &task_path(&task), headers, Vec::new(), timeout)
            .await
            .ok()?;
        pool.put(connection);
        Some(reply)
    }
}

fn report_without_reply(outcome: AttemptOutcome, detail: impl Into<SmolStr>) -> AttemptReport {
    AttemptReport {
        outcome,
        body: Vec::new(),
        service_us: None,
        load: None,
        detail: detail.into(),
    }
}

/// Creates the report of a start that got no reply. Only if no byte was sent is it certain that the
/// task was not started.
fn report_failed_call(pool: &ConnectionPool, error: &CallError) -> AttemptReport {
    // After a timeout, a network device on the path has most likely lost the state of this
    // connection, and that of the idle connections to the same executor as well.
    if error.is_timeout {
        pool.clear();
    }
    match error.sent {
        SendState::NotSent => report_without_reply(AttemptOutcome::Unsent, error.reason.clone()),
        SendState::MaybeSent => report_without_reply(AttemptOutcome::Lost, error.reason.clone()),
    }
}

/// Returns the task's state, or `None` if the reply is about another task or contains no valid state.
fn state_of(task: TaskId, reply: &Reply) -> Option<TaskState> {
    let state = reply.header_value(STATE_HEADER)?.parse().ok()?;
    is_about(task, reply).then_some(state)
}

fn is_about(task: TaskId, reply: &Reply) -> bool {
    reply
        .header_value(TASK_HEADER)
        .is_some_and(|found| found.parse() == Ok(task))
}

fn read_report(task: TaskId, reply: Reply) -> AttemptReport {
    let Some(state) = state_of(task, &reply) else {
        return report_without_reply(
            AttemptOutcome::Lost,
            "the answer is foreign or tells no state",
        );
    };
    let outcome = match state {
        TaskState::Finished => AttemptOutcome::Finished,
        TaskState::Failed => AttemptOutcome::Failed,
        TaskState::Refused => AttemptOutcome::Refused,
        TaskState::Stopped => AttemptOutcome::Stopped,
        TaskState::Lapsed => AttemptOutcome::Lapsed,
    };
    let parse_number = |name| {
        reply
            .header_value(name)
            .and_then(|found| found.parse::<u64>().ok())
    };
    let load = LoadReport {
        running: parse_number(RUNNING_HEADER)
            .and_then(|n| u32::try_from(n).ok())
            .unwrap_or_default(),
        queued: parse_number(QUEUED_HEADER)
            .and_then(|n| u32::try_from(n).ok())
            .unwrap_or_default(),
        is_draining: reply.header_value(DRAINING_HEADER) == Some("1"),
    };
    let detail = match outcome {
        AttemptOutcome::Finished => SmolStr::default(),
        _ => excerpt(&reply.body),
    };
    let service_us = parse_number(SERVICE_HEADER).map(Micros);
    AttemptReport {
        outcome,
        body: reply.body,
        service_us,
        load: Some(load),
        detail,
    }
}

/// Maximum length of the excerpt of an executor's reply that a report contains, in characters.
const REASON_MAX_CHARS: usize = 120;

fn excerpt(body: &[u8]) -> SmolStr {
    String::from_utf8_lossy(body)
        .chars()
        .take(REASON_MAX_CHARS)
        .collect()
}
