//! The slots, the queue and the state of every task of one executor.

use std::collections::{BTreeMap, VecDeque};

use async_channel::{Receiver, Sender};
use onyxshed_core::{Incarnation, TaskId, UnixMs};
use onyxshed_wire::upstream::{LoadReport, TaskState, TaskStatus};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The number of ended tasks whose state and result are kept; the oldest are dropped first.
const ENDED_MAX: usize = 100_000;

/// The number of starts that are listed; later ones are only counted.
const STARTS_MAX: usize = 1_000_000;

/// The record of one start of a task, made by the executor that runs it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRecord {
    /// The task that was started.
    pub task: TaskId,
    /// The incarnation of the host that requested the start.
    pub starter: Incarnation,
    /// The time of the start by the wall clock of this machine.
    pub at_ms: UnixMs,
    /// The first 64 characters of the payload.
    pub content: SmolStr,
}

/// The phase that a known task is in.
#[derive(Debug)]
enum Phase {
    Queued(Sender<WakeReason>),
    Running(Sender<()>),
    Ended(TaskState, Vec<u8>),
}

/// The reason why a queued task stops waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WakeReason {
    /// A slot was assigned to the task.
    SlotGranted,
    /// The task was stopped and will never run.
    Removed,
}

/// The decision on a start request.
#[derive(Debug)]
pub enum Admission {
    /// A slot was assigned to the task.
    SlotGranted,
    /// The task waits in the queue; the receiver yields the reason when it stops waiting.
    Wait(Receiver<WakeReason>),
    /// The task will not run: an earlier stop has fenced the start, or the queue is full.
    Refused,
}

/// The identity of one start or stop request, among those of the same starter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// The incarnation of the host that sent the request.
    pub starter: Incarnation,
    /// The number of the start among those of the starter. A stop carries the number of the start
    /// that it stops, and fences all starts up to that number.
    pub number: u64,
}

/// The slots, the queue and the known tasks of one executor.
#[derive(Debug)]
pub struct TaskTable {
    slots: u32,
    queue_max: u32,
    running: u32,
    queue: VecDeque<TaskId>,
    phases: BTreeMap<TaskId, Phase>,
    fences: BTreeMap<(TaskId, Incarnation), u64>,
    ended: VecDeque<TaskId>,
    starts: Vec<StartRecord>,
    started: u64,
}

impl TaskTable {
    /// Creates the table of an executor with this number of slots and this limit of its queue.
    pub fn new(slots: u32, queue_max: u32) -> Self {
        TaskTable {
            slots,
            queue_max,
            running: 0,
            queue: VecDeque::new(),
            phases: BTreeMap::new(),
            fences: BTreeMap::new(),
            ended: VecDeque::new(),
            starts: Vec::new(),
            started: 0,
        }
    }

    /// Decides on a start request: assigns a slot, enqueues the task or refuses it.
    pub fn admit(&mut self, task: TaskId, attempt: Attempt) -> Admission {
        let fence = self.fences.get(&(task, attempt.starter));
        if fence.is_some_and(|fence| attempt.number <= *fence) {
            return Admission::Refused;
        }
        if self.running < self.slots {
            self.running += 1;
            return Admission::SlotGranted;
        }
        if self.queued() >= self.queue_max {
            return Admission::Refused;
        }
        let (wake_sender, wake_receiver) = async_channel::bounded(1);
        self.queue.push_back(task);
        self.phases.insert(task, Phase::Queued(wake_sender));
        Admission::Wait(wake_receiver)
    }

    /// Records the start of a task that has a slot; the returned receiver is closed when the task
    /// is to stop.
    pub fn start(&mut self, record: StartRecord) -> Receiver<()> {
        let (stop, stopped) = async_channel::bounded(1);
        self.phases.insert(record.task, Phase::Running(stop));
        self.started += 1;
        if self.starts.len() < STARTS_MAX {
            self.starts.push(record);
        }
        stopped
    }

    /// Records the end of a running task and assigns its slot to the next queued task.
    pub fn end(&mut self, task: TaskId, state: TaskState, result: Vec<u8>) {
        self.record_end(task, state, result);
        self.release_slot();
    }

    /// Removes a task without a slot from the queue and records it as refused.
    pub fn remove_from_queue(&mut self, task: TaskId) {
        self.queue.retain(|queued| *queued != task);
        self.record_end(task, TaskState::Refused, Vec::new());
    }

    /// Stops a task and fences its starts: a start of the same starter with this or a lower attempt
    /// number that arrives later is refused. Returns the state to report, with the result if the
    /// task had already ended.
    pub fn stop(&mut self, task: TaskId, attempt: Attempt) -> (TaskState, Vec<u8>) {
        let fence = self.fences.entry((task, attempt.starter)).or_default();
        *fence = attempt.number.max(*fence);
        match self.phases.get(&task) {
            Some(Phase::Ended(state, result)) => (*state, result.clone()),
            Some(Phase::Running(stop)) => {
                stop.close();
                (TaskState::Stopped, Vec::new())
            }
            Some(Phase::Queued(wake)) => {
                let _ = wake.try_send(WakeReason::Removed);
                self.remove_from_queue(task);
                (TaskState::Refused, Vec::new())
            }
            None => (TaskState::Refused, Vec::new()),
        }
    }

    /// Returns the status of a task; a queued task counts as running.
    pub fn status(&self, task: TaskId) -> TaskStatus {
        match self.phases.get(&task) {
            None => TaskStatus::NotSeen,
            Some(Phase::Queued(_) | Phase::Running(_)) => TaskStatus::Running,
            Some(Phase::Ended(state, _)) => TaskStatus::Ended(*state),
        }
    }

    /// Returns a report that contains the numbers of running and queued tasks, and `is_draining` as
    /// passed.
    pub fn load(&self, is_draining: bool) -> LoadReport {
        LoadReport {
            running: self.running,
            queued: self.queued(),
            is_draining,
        }
    }

    /// Returns the listed starts, oldest first.
    pub fn starts(&self) -> &[StartRecord] {
        &self.starts
    }

    /// Returns the number of starts since the executor was created, including those that are not
    /// listed.
    pub fn started(&self) -> u64 {
        self.started
    }

    fn queued(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    fn release_slot(&mut self) {
        while let Some(next) = self.queue.pop_front() {
            if let Some(Phase::Queued(wake)) = self.phases.get(&next)
                && wake.try_send(WakeReason::SlotGranted).is_ok()
            {
                return;
            }
        }
        self.running -= 1;
    }

    fn record_end(&mut self, task: TaskId, state: TaskState, result: Vec<u8>) {
        self.phases.insert(task, Phase::Ended(state, result));
        self.ended.push_back(task);
        while self.ended.len() > ENDED_MAX {
            if let Some(oldest) = self.ended.pop_front() {
                self.phases.remove(&oldest);
            }
        }
    }
}
