//! Injected faults.

use onyxshed_core::Millis;
use onyxshed_pool::{ExecutorId, RunNumber, Session, TaskId};

use super::{Event, World};

/// A fault to inject.
#[derive(Debug, Clone)]
pub enum Fault {
    /// The owner is killed; another takes over once the store has detected it.
    KillOwner,
    /// The owner's process is paused; another takes over meanwhile.
    FreezeOwner(Millis),
    /// The store assigns the pool to another host while the owner runs but can't be reached.
    ReplaceOwner,
    /// Another host takes the pool over from an owner that answers.
    HandOver,
    /// An entry host's process is paused.
    FreezeEntry(usize, Millis),
    /// An entry host is killed and restarts.
    KillEntry(usize),
    /// An executor is unreachable for a while, and its runs continue.
    CutExecutor(ExecutorId, Millis),
    /// An executor crashes and restarts.
    Crash(ExecutorId),
    /// An executor fails all runs for a while.
    FailAll(ExecutorId, Millis),
    /// Runs on an executor make no progress for a while.
    Stick(ExecutorId, Millis),
    /// An executor takes longer by a factor for a while, also for its current runs.
    Slow(ExecutorId, f64, Millis),
    /// The end of [`Fault::Slow`].
    Recover(ExecutorId, f64),
    /// The end of [`Fault::FailAll`] or [`Fault::Stick`].
    Heal(ExecutorId),
}

impl World {
    pub(super) fn fault(&mut self, fault: Fault) {
        let owner = self.current();
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
                self.owners[owner].is_dead = true;
                // Connections break at once, so every entry host detects the loss.
                for entry in 0..self.entries.len() {
                    self.lose_link(entry, owner);
                }
                self.after(Millis(1_500), Event::Fault(Fault::ReplaceOwner));
            }
            Fault::FreezeOwner(span) => {
                self.owners[owner].frozen_until = self.now + span;
                self.after(Millis(1_700), Event::Fault(Fault::ReplaceOwner));
            }
            Fault::ReplaceOwner => self.new_owner(),
            Fault::HandOver => {
                let held = &self.owners[owner];
                let answers = !held.is_dead && self.now >= held.frozen_until;
                self.begin_owner(answers.then_some(owner));
            }
            Fault::FreezeEntry(entry, span) => {
                let entry = entry % self.entries.len();
                self.entries[entry].frozen_until = self.now + span;
            }
            Fault::KillEntry(entry) => {
                let entry = entry % self.entries.len();
                for owner in 0..self.owners.len() {
                    self.lose_link(entry, owner);
                }
                self.entries[entry].life = self.new_life();
                self.entries[entry].session = Session(0);
            }
            Fault::CutExecutor(id, span) => {
                self.cut_until.insert(id, self.now + span);
            }
            Fault::Crash(id) => {
                self.executors.get_mut(&id).expect("an executor").restart();
                self.holding.retain(|(at, _), _| *at != id);
            }
            Fault::FailAll(id, span) => {
                self.executors.get_mut(&id).expect("an executor").fails_all = true;
                self.after(span, Event::Fault(Fault::Heal(id)));
            }
            Fault::Stick(id, span) => {
                self.executors.get_mut(&id).expect("an executor").is_stuck = true;
                self.after(span, Event::Fault(Fault::Heal(id)));
            }
            Fault::Slow(id, factor, span) => {
                self.change_speed(&id, 1.0 / factor);
                self.after(span, Event::Fault(Fault::Recover(id, factor)));
            }
            Fault::Recover(id, factor) => self.change_speed(&id, factor),
            Fault::Heal(id) => {
                let executor = self.executors.get_mut(&id).expect("an executor");
                executor.fails_all = false;
                executor.is_stuck = false;
            }
        }
    }

    /// Multiplies an executor's speed and reschedules the ends of its runs.
    fn change_speed(&mut self, id: &ExecutorId, factor: f64) {
        let now = self.now;
        let executor = self.executors.get_mut(id).expect("an executor");
        executor.set_speed(now, executor.speed * factor);
        let runs: Vec<(TaskId, RunNumber)> = executor
            .runs
            .iter()
            .map(|(task, run)| (*task, run.number))
            .collect();
        for (task, run) in runs {
            self.plan_end(id, task, run);
        }
    }
}
