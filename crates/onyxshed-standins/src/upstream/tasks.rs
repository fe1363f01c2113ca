//! Slots, queue and fate of every task of one executor.

use std::collections::{BTreeMap, VecDeque};

use async_channel::{Receiver, Sender};
use onyxshed_core::{Incarnation, TaskId, UnixMs};
use onyxshed_wire::upstream::{LoadReport, TaskState, TaskStatus};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Ended tasks and tombstones that are remembered.
const ENDED_MAX: usize = 100_000;

/// Starts that are listed; later ones are counted only.
const STARTS_MAX: usize = 1_000_000;

/// One start, recorded where it happens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRecord {
    /// The task.
    pub task: TaskId,
    /// Who started it.
    pub starter: Incarnation,
    /// When, on this host's wall clock.
    pub at_ms: UnixMs,
    /// The payload's first characters.
    pub content: SmolStr,
}

/// Where a task stands.
#[derive(Debug)]
enum Fate {
    Queued(Sender<Wake>),
    Running(Sender<()>),
    Ended(TaskState, Vec<u8>),
}

/// Why a queued task stops waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wake {
    /// A slot is its own.
    Run,
    /// It was stopped and will never run.
    Removed,
}

/// What becomes of a task that arrives.
#[derive(Debug)]
pub enum Arrival {
    /// A slot is its own.
    Run,
    /// It waits.
    Wait(Receiver<Wake>),
    /// It will never run.
    Refused,
}

/// One of a starter's starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// Who starts.
    pub starter: Incarnation,
    /// Counts the starter's starts.
    pub number: u64,
}

/// All tasks of one executor.
#[derive(Debug)]
pub struct TaskBook {
    slots: u32,
    queue_max: u32,
    running: u32,
    queue: VecDeque<TaskId>,
    fates: BTreeMap<TaskId, Fate>,
    fences: BTreeMap<(TaskId, Incarnation), u64>,
    ended: VecDeque<TaskId>,
    starts: Vec<StartRecord>,
    started: u64,
}

impl TaskBook {
    /// Makes an empty book.
    pub fn new(slots: u32, queue_max: u32) -> Self {
        TaskBook {
            slots,
            queue_max,
            running: 0,
            queue: VecDeque::new(),
            fates: BTreeMap::new(),
            fences: BTreeMap::new(),
            ended: VecDeque::new(),
            starts: Vec::new(),
            started: 0,
        }
    }

    /// Takes in a task.
    pub fn arrive(&mut self, task: TaskId, by: Attempt) -> Arrival {
        let fence = self.fences.get(&(task, by.starter));
        if fence.is_some_and(|fence| by.number <= *fence) {
            return Arrival::Refused;
        }
        if self.running < self.slots {
            self.running += 1;
            return Arrival::Run;
        }
        if self.queued() >= self.queue_max {
            return Arrival::Refused;
        }
        let (wake, woken) = async_channel::bounded(1);
        self.queue.push_back(task);
        self.fates.insert(task, Fate::Queued(wake));
        Arrival::Wait(woken)
    }

    /// Records the start of a task that has a slot; the receiver tells when it is to stop.
    pub fn start(&mut self, record: StartRecord) -> Receiver<()> {
        let (stop, stopped) = async_channel::bounded(1);
        self.fates.insert(record.task, Fate::Running(stop));
        self.started += 1;
        if self.starts.len() < STARTS_MAX {
            self.starts.push(record);
        }
        stopped
    }

    /// Ends a running task and passes its slot on.
    pub fn end(&mut self, task: TaskId, state: TaskState, result: Vec<u8>) {
        self.keep_end(task, state, result);
        self.pass_slot_on();
    }

    /// Takes a task that never got a slot out of the queue.
    pub fn leave_queue(&mut self, task: TaskId) {
        self.queue.retain(|queued| *queued != task);
        self.keep_end(task, TaskState::Refused, Vec::new());
    }

    /// Stops a task; no start up to this one, if it is still on its way, will run.
    pub fn stop(&mut self, task: TaskId, by: Attempt) -> (TaskState, Vec<u8>) {
        let fence = self.fences.entry((task, by.starter)).or_default();
        *fence = by.number.max(*fence);
        match self.fates.get(&task) {
            Some(Fate::Ended(state, result)) => (*state, result.clone()),
            Some(Fate::Running(stop)) => {
                stop.close();
                (TaskState::Stopped, Vec::new())
            }
            Some(Fate::Queued(wake)) => {
                let _ = wake.try_send(Wake::Removed);
                self.leave_queue(task);
                (TaskState::Refused, Vec::new())
            }
            None => (TaskState::Refused, Vec::new()),
        }
    }

    /// Tells what has become of a task.
    pub fn sight(&self, task: TaskId) -> TaskStatus {
        match self.fates.get(&task) {
            None => TaskStatus::NotSeen,
            Some(Fate::Queued(_) | Fate::Running(_)) => TaskStatus::Running,
            Some(Fate::Ended(state, _)) => TaskStatus::Ended(*state),
        }
    }

    /// Gets the load.
    pub fn load(&self, is_draining: bool) -> LoadReport {
        LoadReport {
            running: self.running,
            queued: self.queued(),
            is_draining,
        }
    }

    /// Gets every listed start, in order.
    pub fn starts(&self) -> &[StartRecord] {
        &self.starts
    }

    /// Gets how many tasks were started.
    pub fn started(&self) -> u64 {
        self.started
    }

    fn queued(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    fn pass_slot_on(&mut self) {
        while let Some(next) = self.queue.pop_front() {
            if let Some(Fate::Queued(wake)) = self.fates.get(&next)
                && wake.try_send(Wake::Run).is_ok()
            {
                return;
            }
        }
        self.running -= 1;
    }

    fn keep_end(&mut self, task: TaskId, state: TaskState, result: Vec<u8>) {
        self.fates.insert(task, Fate::Ended(state, result));
        self.ended.push_back(task);
        while self.ended.len() > ENDED_MAX {
            if let Some(oldest) = self.ended.pop_front() {
                self.fates.remove(&oldest);
            }
        }
    }
}
