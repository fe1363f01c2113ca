//! The known executors, stored under keys that remain valid until the last attempt on the executor
//! has ended.

use std::collections::{BTreeMap, BTreeSet};

use onyxshed_core::ExecutorName;

use crate::executor::Executor;
use crate::faults::ExecutorId;
use crate::work::ExecutorInfo;

/// Index of an executor in the [`Fleet`]; reused for another executor after the first is removed.
pub type ExecutorKey = usize;

/// The known executors of all upstreams.
#[derive(Debug, Default)]
pub struct Fleet {
    executors: Vec<Option<Executor>>,
    free_keys: Vec<ExecutorKey>,
    by_name: BTreeMap<ExecutorName, ExecutorKey>,
    last_id: ExecutorId,
}

impl Fleet {
    /// Replaces the list of executors; returns the ids of the missing executors that were removed
    /// immediately because no attempt was in flight on them.
    pub fn set(&mut self, infos: &[ExecutorInfo]) -> Vec<ExecutorId> {
        // Only executors missing from the list are marked as removed. One that is listed again has
        // not restarted, so its report that it is draining is still valid.
        let named: BTreeSet<&ExecutorName> = infos.iter().map(|info| &info.name).collect();
        self.iter_mut()
            .filter(|executor| !named.contains(&executor.info.name))
            .for_each(|executor| executor.is_removed = true);
        for info in infos {
            match self.by_name.get(&info.name).copied() {
                Some(key) => {
                    if let Some(executor) = self.get_mut(key) {
                        executor.update(info);
                    }
                }
                None => self.add(info),
            }
        }
        let idle = |executor: &Executor| executor.is_removed && executor.in_flight == 0;
        let keys: Vec<ExecutorKey> = (0..self.executors.len())
            .filter(|key| self.get(*key).is_some_and(idle))
            .collect();
        keys.into_iter()
            .filter_map(|key| self.remove(key))
            .collect()
    }

    /// Returns an executor; `None` if the key is not in use.
    pub fn get(&self, key: ExecutorKey) -> Option<&Executor> {
        self.executors.get(key)?.as_ref()
    }

    /// Returns an executor mutably; `None` if the key is not in use.
    pub fn get_mut(&mut self, key: ExecutorKey) -> Option<&mut Executor> {
        self.executors.get_mut(key)?.as_mut()
    }

    /// Returns the key of the executor with the given name; `None` if it is not known.
    pub fn key(&self, name: &ExecutorName) -> Option<ExecutorKey> {
        self.by_name.get(name).copied()
    }

    /// Iterates over all executors with their keys, in order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (ExecutorKey, &Executor)> {
        let entries = self.executors.iter().enumerate();
        entries.filter_map(|(key, executor)| Some((key, executor.as_ref()?)))
    }

    /// Removes an executor that is missing from the list and has no attempts in flight. Returns its
    /// id; `None` if it was not removed.
    pub fn remove_if_idle(&mut self, key: ExecutorKey) -> Option<ExecutorId> {
        let is_done = self
            .get(key)
            .is_some_and(|executor| executor.is_removed && executor.in_flight == 0);
        if is_done { self.remove(key) } else { None }
    }

    fn iter_mut(&mut self) -> impl Iterator<Item = &mut Executor> {
        self.executors.iter_mut().flatten()
    }

    fn add(&mut self, info: &ExecutorInfo) {
        self.last_id += 1;
        let executor = Some(Executor::new(self.last_id, info.clone()));
        let key = self.free_keys.pop().unwrap_or(self.executors.len());
        if key == self.executors.len() {
            self.executors.push(executor);
        } else {
            self.executors[key] = executor;
        }
        self.by_name.insert(info.name.clone(), key);
    }

    fn remove(&mut self, key: ExecutorKey) -> Option<ExecutorId> {
        let executor = self.executors.get_mut(key)?.take()?;
        self.by_name.remove(&executor.info.name);
        self.free_keys.push(key);
        Some(executor.id)
    }
}
