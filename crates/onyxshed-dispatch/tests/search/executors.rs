//! Executors of the search: they run whatever arrives and record each start.

use std::collections::BTreeMap;

use onyxshed_core::{Incarnation, TaskId};
use onyxshed_dispatch::StopReport;
use onyxshed_wire::upstream::TaskState;

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
    /// Every start, where it happened.
    pub starts: BTreeMap<TaskId, Vec<Incarnation>>,
}

impl Executors {
    /// Takes in a start.
    pub fn start(&mut self, executor: u8, task: TaskId, starter: Incarnation) -> Arrival {
        if self.seen.get(&(executor, task)) == Some(&Seen::Fenced) {
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

    /// Takes in a stop, which is also a fence against a start still on its way.
    pub fn stop(&mut self, executor: u8, task: TaskId) -> StopReport {
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
