//! Executors of the search: they run whatever arrives and record each start.

use std::collections::BTreeMap;

use onyxshed_core::{Incarnation, TaskId};
use onyxshed_dispatch::{AttemptId, StopReport};
use onyxshed_wire::upstream::{TaskSighting, TaskState};

/// What an executor knows of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Seen {
    Running,
    Finished,
    Stopped,
    Fenced,
}

/// What became of a start that arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// It runs; its end follows.
    Started,
    /// A stop had come before it.
    Refused,
}

/// All executors together; each knows only its own tasks.
#[derive(Debug, Default)]
pub struct Executors {
    seen: BTreeMap<(u8, TaskId), Seen>,
    /// Starts up to this one are fenced off.
    fences: BTreeMap<(u8, TaskId, Incarnation), AttemptId>,
    /// Every start, where it happened.
    pub starts: BTreeMap<TaskId, Vec<Incarnation>>,
}

impl Executors {
    /// Takes in a start.
    pub fn start(
        &mut self,
        executor: u8,
        task: TaskId,
        starter: Incarnation,
        attempt: AttemptId,
    ) -> Arrival {
        let fence = self.fences.get(&(executor, task, starter));
        if fence.is_some_and(|fence| attempt <= *fence) {
            return Arrival::Refused;
        }
        self.seen.insert((executor, task), Seen::Running);
        self.starts.entry(task).or_default().push(starter);
        Arrival::Started
    }

    /// Ends a task that runs; false if it was stopped meanwhile.
    pub fn finish(&mut self, executor: u8, task: TaskId) -> bool {
        let is_running = self.seen.get(&(executor, task)) == Some(&Seen::Running);
        if is_running {
            self.seen.insert((executor, task), Seen::Finished);
        }
        is_running
    }

    /// Tells what has become of a task.
    pub fn sight(&self, executor: u8, task: TaskId) -> TaskSighting {
        match self.seen.get(&(executor, task)) {
            None => TaskSighting::Unseen,
            Some(Seen::Running) => TaskSighting::Running,
            Some(Seen::Finished) => TaskSighting::Ended(TaskState::Finished),
            Some(Seen::Stopped) => TaskSighting::Ended(TaskState::Stopped),
            Some(Seen::Fenced) => TaskSighting::Ended(TaskState::Refused),
        }
    }

    /// Takes in a stop, which is also a fence against a start still on its way.
    pub fn stop(
        &mut self,
        executor: u8,
        task: TaskId,
        starter: Incarnation,
        attempt: AttemptId,
    ) -> StopReport {
        self.fences.insert((executor, task, starter), attempt);
        let seen = self.seen.entry((executor, task)).or_insert(Seen::Fenced);
        let state = match *seen {
            Seen::Running => {
                *seen = Seen::Stopped;
                TaskState::Stopped
            }
            Seen::Finished => TaskState::Finished,
            Seen::Stopped => TaskState::Stopped,
            Seen::Fenced => TaskState::Refused,
        };
        let body = match state {
            TaskState::Finished => result_of(task),
            _ => Vec::new(),
        };
        StopReport { state, body }
    }
}

/// Gets the result that a task's run gives: it names the task, so a swapped answer shows.
pub fn result_of(task: TaskId) -> Vec<u8> {
    task.to_string().into_bytes()
}
