//! Simulated executors, which run every task that arrives and record each start.

use std::collections::BTreeMap;

use onyxshed_core::{Incarnation, TaskId};
use onyxshed_dispatch::{AttemptId, StopReport};
use onyxshed_wire::upstream::{TaskState, TaskStatus};

/// State of a task on an executor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ExecutorTaskState {
    Running,
    Finished,
    Stopped,
    Fenced,
}

/// Reply of an executor to a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartReply {
    /// The task runs; its end is reported later.
    Started,
    /// A stop that arrived earlier fenced the start.
    Refused,
}

/// All simulated executors; each has a separate set of tasks.
#[derive(Debug, Default)]
pub struct Executors {
    tasks: BTreeMap<(u8, TaskId), ExecutorTaskState>,
    /// Highest attempt whose start is refused, by executor, task and the incarnation that sends the
    /// start.
    fences: BTreeMap<(u8, TaskId, Incarnation), AttemptId>,
    /// Incarnations that started each task.
    pub starts: BTreeMap<TaskId, Vec<Incarnation>>,
}

impl Executors {
    /// Starts a task unless the attempt is fenced.
    pub fn start(
        &mut self,
        executor: u8,
        task: TaskId,
        starter: Incarnation,
        attempt: AttemptId,
    ) -> StartReply {
        let fence = self.fences.get(&(executor, task, starter));
        if fence.is_some_and(|fence| attempt <= *fence) {
            return StartReply::Refused;
        }
        self.tasks
            .insert((executor, task), ExecutorTaskState::Running);
        self.starts.entry(task).or_default().push(starter);
        StartReply::Started
    }

    /// Ends a running task; returns `false` if it was stopped in the meantime.
    pub fn finish(&mut self, executor: u8, task: TaskId) -> bool {
        let is_running = self.tasks.get(&(executor, task)) == Some(&ExecutorTaskState::Running);
        if is_running {
            self.tasks
                .insert((executor, task), ExecutorTaskState::Finished);
        }
        is_running
    }

    /// Returns the status that an executor reports for a task.
    pub fn status(&self, executor: u8, task: TaskId) -> TaskStatus {
        match self.tasks.get(&(executor, task)) {
            None => TaskStatus::NotSeen,
            Some(ExecutorTaskState::Running) => TaskStatus::Running,
            Some(ExecutorTaskState::Finished) => TaskStatus::Ended(TaskState::Finished),
            Some(ExecutorTaskState::Stopped) => TaskStatus::Ended(TaskState::Stopped),
            Some(ExecutorTaskState::Fenced) => TaskStatus::Ended(TaskState::Refused),
        }
    }

    /// Stops a task, and fences starts of it that are still in transit.
    pub fn stop(
        &mut self,
        executor: u8,
        task: TaskId,
        starter: Incarnation,
        attempt: AttemptId,
    ) -> StopReport {
        self.fences.insert((executor, task, starter), attempt);
        let task_state = self
            .tasks
            .entry((executor, task))
            .or_insert(ExecutorTaskState::Fenced);
        let state = match *task_state {
            ExecutorTaskState::Running => {
                *task_state = ExecutorTaskState::Stopped;
                TaskState::Stopped
            }
            ExecutorTaskState::Finished => TaskState::Finished,
            ExecutorTaskState::Stopped => TaskState::Stopped,
            ExecutorTaskState::Fenced => TaskState::Refused,
        };
        let body = match state {
            TaskState::Finished => result_of(task),
            _ => Vec::new(),
        };
        StopReport { state, body }
    }
}

/// Returns the result of a task; it contains the task's id, so that swapped answers are detected.
pub fn result_of(task: TaskId) -> Vec<u8> {
    task.to_string().into_bytes()
}
