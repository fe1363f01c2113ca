//! Injected faults.

use onyxshed_core::Millis;
use onyxshed_pool::{ExecutorId, RunNumber, Session, TaskId};

use super::{Event, Simulation};

/// A fault to inject.
#[derive(Debug, Clone)]
pub enum Fault {
    /// The owner is killed; another takes over once the store has detected it.
    KillOwner,
    /// The owner's process is paused; another takes over meanwhile.
    PauseOwner(Millis),
    /// The store assigns the pool to another host while the owner runs but can't be reached.
    ReplaceOwner,
    /// Another host takes the pool over from an owner that answers.
    HandOver,
    /// An entry host's process is paused.
    PauseEntry(usize, Millis),
    /// An entry host is killed and restarts.
    KillEntry(usize),
    /// An executor is unreachable for the given time, and its runs continue.
    IsolateExecutor(ExecutorId, Millis),
    /// An executor crashes and restarts.
    CrashExecutor(ExecutorId),
    /// An executor fails all runs for the given time.
    FailAll(ExecutorId, Millis),
    /// Runs that start on an executor within the given time never end.
    Hang(ExecutorId, Millis),
    /// Runs on an executor, including current ones, take longer by a factor for the given time.
    Slow(ExecutorId, f64, Millis),
    /// The end of [`Fault::Slow`].
    RestoreSpeed(ExecutorId, f64),
    /// The end of [`Fault::FailAll`] or [`Fault::Hang`].
    Clear(ExecutorId),
}

impl Simulation {
    pub(super) fn inject_fault(&mut self, fault: Fault) {
        let owner = self.current_owner();
        let open: Vec<TaskId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.is_open)
            .flat_map(|(job, call)| (0..call.request.tasks).map(|index| (*job, index)))
            .map(|(job, index)| TaskId { job, index })
            .collect();
        for task in open {
            self.log(task, format!("{fault:?}"));
        }
        match fault {
            Fault::KillOwner => {
                self.owners[owner].is_stopped = true;
                // Connections break immediately, so every entry host detects the loss.
                for entry in 0..self.entries.len() {
                    self.drop_link(entry, owner);
                }
                self.schedule_after(Millis(1_500), Event::Fault(Fault::ReplaceOwner));
            }
            Fault::PauseOwner(span) => {
                self.owners[owner].paused_until = self.now + span;
                self.schedule_after(Millis(1_700), Event::Fault(Fault::ReplaceOwner));
            }
            Fault::ReplaceOwner => self.new_owner(),
            Fault::HandOver => {
                let owner_state = &self.owners[owner];
                let answers = !owner_state.is_stopped && self.now >= owner_state.paused_until;
                self.add_owner(answers.then_some(owner));
            }
            Fault::PauseEntry(entry, span) => {
                let entry = entry % self.entries.len();
                self.entries[entry].paused_until = self.now + span;
            }
            Fault::KillEntry(entry) => {
                let entry = entry % self.entries.len();
                for owner in 0..self.owners.len() {
                    self.drop_link(entry, owner);
                }
                self.entries[entry].incarnation = self.new_incarnation();
                self.entries[entry].session = Session(0);
            }
            Fault::IsolateExecutor(id, span) => {
                self.unreachable_until.insert(id, self.now + span);
            }
            Fault::CrashExecutor(id) => {
                self.executors
                    .get_mut(&id)
                    .expect("a known executor")
                    .restart();
                self.pending_holds.retain(|(at, _), _| *at != id);
                self.schedule_entry(&id);
            }
            Fault::FailAll(id, span) => {
                self.executors
                    .get_mut(&id)
                    .expect("a known executor")
                    .fails_all = true;
                self.schedule_after(span, Event::Fault(Fault::Clear(id)));
            }
            Fault::Hang(id, span) => {
                self.executors
                    .get_mut(&id)
                    .expect("a known executor")
                    .is_stuck = true;
                self.schedule_after(span, Event::Fault(Fault::Clear(id)));
            }
            Fault::Slow(id, factor, span) => {
                self.change_speed(&id, 1.0 / factor);
                self.schedule_after(span, Event::Fault(Fault::RestoreSpeed(id, factor)));
            }
            Fault::RestoreSpeed(id, factor) => self.change_speed(&id, factor),
            Fault::Clear(id) => {
                let executor = self.executors.get_mut(&id).expect("a known executor");
                executor.fails_all = false;
                executor.is_stuck = false;
            }
        }
    }

    /// Multiplies an executor's speed and reschedules the ends of its runs.
    fn change_speed(&mut self, id: &ExecutorId, factor: f64) {
        let now = self.now;
        let executor = self.executors.get_mut(id).expect("a known executor");
        executor.set_speed(now, executor.speed * factor);
        let runs: Vec<(TaskId, RunNumber)> = executor
            .runs
            .iter()
            .map(|(task, run)| (*task, run.number))
            .collect();
        for (task, run) in runs {
            self.schedule_run_end(id, task, run);
        }
    }
}
