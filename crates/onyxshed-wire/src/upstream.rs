//! The interface to upstreams.
//!
//! `POST /v1/tasks/{task}` starts a task under a lease; the bodies of request and response are the opaque
//! payload and result, everything else is in headers. `DELETE /v1/tasks/{task}` stops a task; an executor
//! that has not started it guarantees that it never will. `GET /v1/tasks/{task}` returns the task's status
//! and changes nothing. `GET /v1/usage` returns a load report, which lags behind the executor's state.

use std::str::FromStr;

use onyxshed_core::{Incarnation, Millis, TaskId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::error::{Error, Result};

/// Path under which tasks are started. The path of one task is this path, '/' and the task's id.
pub const TASKS_PATH: &str = "/v1/tasks";

/// Path of the load report.
pub const USAGE_PATH: &str = "/v1/usage";

/// Request header: duration of the lease, in milliseconds; the executor may run the task for that
/// long.
pub const LEASE_HEADER: &str = "onyxshed-lease-ms";

/// Request header: the task's class of work.
pub const CLASS_HEADER: &str = "onyxshed-class";

/// Request header: incarnation of the entry host that starts the task.
pub const STARTER_HEADER: &str = "onyxshed-starter";

/// Request header of a start and a stop: number of the start, counted by the starter. A stop fences the
/// task: later starts of it by the same starter with this number or a lower one are refused.
pub const ATTEMPT_HEADER: &str = "onyxshed-attempt";

/// Request and response header: the task's id. A response with another id does not belong to the
/// request.
pub const TASK_HEADER: &str = "onyxshed-task";

/// Response header: state of the task, a [`TaskState`]; in the response to a `GET`, a [`TaskStatus`].
pub const STATE_HEADER: &str = "onyxshed-state";

/// Response header: run time of the task, in microseconds.
pub const SERVICE_HEADER: &str = "onyxshed-service-us";

/// Response header: number of other tasks that are running on the executor.
pub const RUNNING_HEADER: &str = "onyxshed-running";

/// Response header: number of tasks that are queued on the executor.
pub const QUEUED_HEADER: &str = "onyxshed-queued";

/// Response header: present with the value 1 while the executor is draining.
pub const DRAINING_HEADER: &str = "onyxshed-draining";

/// Final state of a task on an executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TaskState {
    /// The task succeeded; the body of the response is its result.
    Finished,
    /// The task failed; the body of the response states the reason.
    Failed,
    /// The task was not started and will not be.
    Refused,
    /// The task was started and then stopped.
    Stopped,
    /// The task was stopped because its lease expired while it ran.
    Lapsed,
}

impl TaskState {
    /// Returns the text of the state in the response header.
    pub fn as_str(self) -> &'static str {
        match self {
            TaskState::Finished => "finished",
            TaskState::Failed => "failed",
            TaskState::Refused => "refused",
            TaskState::Stopped => "stopped",
            TaskState::Lapsed => "lapsed",
        }
    }
}

impl FromStr for TaskState {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "finished" => Ok(TaskState::Finished),
            "failed" => Ok(TaskState::Failed),
            "refused" => Ok(TaskState::Refused),
            "stopped" => Ok(TaskState::Stopped),
            "lapsed" => Ok(TaskState::Lapsed),
            _ => Err(Error::header(
                STATE_HEADER,
                format!("unknown task state {text:?}"),
            )),
        }
    }
}

/// Status of a task on an executor, as returned by a `GET` on the task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TaskStatus {
    /// The executor has not received the task.
    NotSeen,
    /// The task is queued or running.
    Running,
    /// The task has ended in the given state.
    Ended(TaskState),
}

impl TaskStatus {
    /// Returns the text of the status in the response header.
    pub fn as_str(self) -> &'static str {
        match self {
            TaskStatus::NotSeen => "unseen",
            TaskStatus::Running => "running",
            TaskStatus::Ended(state) => state.as_str(),
        }
    }
}

impl FromStr for TaskStatus {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "unseen" => Ok(TaskStatus::NotSeen),
            "running" => Ok(TaskStatus::Running),
            text => text.parse().map(TaskStatus::Ended),
        }
    }
}

/// Load of an executor, reported with every response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of running tasks, those of other hosts included; 0 if the response doesn't state it.
    pub running: u32,
    /// Number of queued tasks, those of other hosts included; 0 if the response doesn't state it.
    pub queued: u32,
    /// Whether the executor is draining; if so, it gets no tasks for a limited time.
    pub is_draining: bool,
}

/// Body of `GET /v1/usage`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Age of the report, in milliseconds.
    pub age_ms: Millis,
    /// Load of the executor when the report was made.
    pub load: LoadReport,
    /// Maximum number of tasks that the executor runs at the same time.
    pub slots: u32,
    /// Number of tasks started since the executor's process started.
    pub started: u64,
}

/// A request to start a task, decoded by an executor from path and headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRequest {
    /// Task to start, from the path of the request.
    pub task: TaskId,
    /// Duration of the lease: the executor may run the task for that long.
    pub lease_ms: Millis,
    /// The task's class of work.
    pub class: SmolStr,
    /// Incarnation of the entry host that starts the task.
    pub starter: Incarnation,
    /// Number of the start, counted by the starter.
    pub attempt: u64,
}

/// Returns the path under which a task is started, stopped and queried.
pub fn task_path(task: &TaskId) -> String {
    format!("{TASKS_PATH}/{task}")
}
