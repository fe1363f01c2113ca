//! The interface to upstreams.
//!
//! `POST /v1/tasks/{task}` starts a task under a lease; body and answer are the opaque payload and
//! result, everything else is in headers. `DELETE /v1/tasks/{task}` stops it: if it had not been
//! started, the executor promises that it never will be. `GET /v1/tasks/{task}` tells what has become
//! of it and changes nothing. `GET /v1/usage` reports load, with a lag.

use std::str::FromStr;

use onyxshed_core::{Incarnation, Millis, TaskId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::error::{Error, Result};

/// Path under which tasks are started; one task's path is this, '/' and its id.
pub const TASKS_PATH: &str = "/v1/tasks";

/// Path of the usage report.
pub const USAGE_PATH: &str = "/v1/usage";

/// Request header: how long the executor may work on the task, in milliseconds.
pub const LEASE_HEADER: &str = "onyxshed-lease-ms";

/// Request header: the class of work.
pub const CLASS_HEADER: &str = "onyxshed-class";

/// Request header: the entry host's incarnation that starts the task.
pub const STARTER_HEADER: &str = "onyxshed-starter";

/// Request header of a start and a stop: counts the starts that the starter makes. A stop is a fence
/// against starts of the task by the same starter with this number or a lower one.
pub const ATTEMPT_HEADER: &str = "onyxshed-attempt";

/// Request and response header: the task's id; an answer that carries another id is foreign.
pub const TASK_HEADER: &str = "onyxshed-task";

/// Response header: what became of the task, a [`TaskState`].
pub const STATE_HEADER: &str = "onyxshed-state";

/// Response header: how long the task ran, in microseconds.
pub const SERVICE_HEADER: &str = "onyxshed-service-us";

/// Response header: tasks running on the executor, this one left out.
pub const RUNNING_HEADER: &str = "onyxshed-running";

/// Response header: tasks waiting on the executor.
pub const QUEUED_HEADER: &str = "onyxshed-queued";

/// Response header: present with value 1 when the executor is leaving.
pub const DRAINING_HEADER: &str = "onyxshed-draining";

/// What became of a task, as an executor tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TaskState {
    /// It ran and the body is its result.
    Finished,
    /// It ran and failed; the body says why.
    Failed,
    /// It was not started and won't be.
    Refused,
    /// It was started and has been stopped.
    Stopped,
    /// Its lease lapsed while it ran, and it has been stopped.
    Lapsed,
}

impl TaskState {
    /// Gets the state as the header writes it.
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
                format!("{text:?} is no task state"),
            )),
        }
    }
}

/// What an executor answers to `GET` on a task, which changes nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TaskStatus {
    /// It has not heard of the task.
    NotSeen,
    /// The task waits or runs.
    Running,
    /// The task has ended.
    Ended(TaskState),
}

impl TaskStatus {
    /// Gets the sighting as the header writes it.
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

/// What an executor says of its load with every answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Tasks running.
    pub running: u32,
    /// Tasks waiting.
    pub queued: u32,
    /// Whether it is leaving.
    pub is_draining: bool,
}

/// Body of `GET /v1/usage`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// How old the report is, in milliseconds.
    pub age_ms: Millis,
    /// Its load.
    pub load: LoadReport,
    /// Tasks it runs at the same time.
    pub slots: u32,
    /// Tasks started since it came up.
    pub started: u64,
}

/// A start as the executor reads it from path and headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRequest {
    /// The task.
    pub task: TaskId,
    /// How long it may work on it, in milliseconds.
    pub lease_ms: Millis,
    /// The class of work.
    pub class: SmolStr,
    /// Who starts it.
    pub starter: Incarnation,
    /// Which of the starter's starts it is.
    pub attempt: u64,
}

/// Gets the path of one task.
pub fn task_path(task: &TaskId) -> String {
    format!("{TASKS_PATH}/{task}")
}
