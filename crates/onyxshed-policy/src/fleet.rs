//! The executors known, under numbers that stay the same while attempts are there.

use std::collections::{BTreeMap, BTreeSet};

use onyxshed_core::ExecutorName;

use crate::executor::Executor;
use crate::faults::ExecutorId;
use crate::work::ExecutorInfo;

/// An executor's place in the fleet.
pub type Seat = usize;

/// All executors.
#[derive(Debug, Default)]
pub struct Fleet {
    seats: Vec<Option<Executor>>,
    vacant: Vec<Seat>,
    by_name: BTreeMap<ExecutorName, Seat>,
    last_id: ExecutorId,
}

impl Fleet {
    /// Replaces the list of executors; gives back the ids of those that are forgotten.
    pub fn set(&mut self, infos: &[ExecutorInfo]) -> Vec<ExecutorId> {
        // Only those left out are gone: one that is named again has not come back, and what it said
        // of its leaving still holds.
        let named: BTreeSet<&ExecutorName> = infos.iter().map(|info| &info.name).collect();
        self.iter_mut()
            .filter(|executor| !named.contains(&executor.info.name))
            .for_each(|executor| executor.is_gone = true);
        for info in infos {
            match self.by_name.get(&info.name).copied() {
                Some(seat) => {
                    if let Some(executor) = self.get_mut(seat) {
                        executor.update(info);
                    }
                }
                None => self.add(info),
            }
        }
        let idle = |executor: &Executor| executor.is_gone && executor.in_flight == 0;
        let seats: Vec<Seat> = (0..self.seats.len())
            .filter(|seat| self.get(*seat).is_some_and(idle))
            .collect();
        seats
            .into_iter()
            .filter_map(|seat| self.remove(seat))
            .collect()
    }

    /// Gets an executor.
    pub fn get(&self, seat: Seat) -> Option<&Executor> {
        self.seats.get(seat)?.as_ref()
    }

    /// Gets an executor to change it.
    pub fn get_mut(&mut self, seat: Seat) -> Option<&mut Executor> {
        self.seats.get_mut(seat)?.as_mut()
    }

    /// Gets the seat of a name.
    pub fn seat(&self, name: &ExecutorName) -> Option<Seat> {
        self.by_name.get(name).copied()
    }

    /// Gets all seats with their executors.
    pub fn iter(&self) -> impl Iterator<Item = (Seat, &Executor)> {
        let seats = self.seats.iter().enumerate();
        seats.filter_map(|(seat, executor)| Some((seat, executor.as_ref()?)))
    }

    /// Forgets an executor if it is gone and nothing runs there any more.
    pub fn remove_if_done(&mut self, seat: Seat) -> Option<ExecutorId> {
        let is_done = self
            .get(seat)
            .is_some_and(|executor| executor.is_gone && executor.in_flight == 0);
        if is_done { self.remove(seat) } else { None }
    }

    fn iter_mut(&mut self) -> impl Iterator<Item = &mut Executor> {
        self.seats.iter_mut().flatten()
    }

    fn add(&mut self, info: &ExecutorInfo) {
        self.last_id += 1;
        let executor = Some(Executor::new(self.last_id, info.clone()));
        let seat = self.vacant.pop().unwrap_or(self.seats.len());
        if seat == self.seats.len() {
            self.seats.push(executor);
        } else {
            self.seats[seat] = executor;
        }
        self.by_name.insert(info.name.clone(), seat);
    }

    fn remove(&mut self, seat: Seat) -> Option<ExecutorId> {
        let executor = self.seats.get_mut(seat)?.take()?;
        self.by_name.remove(&executor.info.name);
        self.vacant.push(seat);
        Some(executor.id)
    }
}
