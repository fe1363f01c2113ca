//! Entries of executors as owners read them, and the check that no task starts by the entry of an earlier
//! incarnation.

use onyxshed_core::{Millis, UnixMs};
use onyxshed_pool::{ExecutorFacts, ExecutorId, ExecutorReport, HoldAnswer, StartOrder};
use smol_str::{SmolStr, format_smolstr};

use super::{Event, OwnerIndex, Simulation};

/// Time from the restart of an executor until owners read its new entry.
const ENTRY_READ_AFTER: Millis = Millis(300);

/// Number of different kinds of executors.
const KINDS: u64 = 2;

/// Returns the label of a kind of executor.
pub fn kind_label(kind: u64) -> SmolStr {
    format_smolstr!("kind-{kind}")
}

impl Simulation {
    /// Returns the entry of an executor's current incarnation. Each restart changes its kind.
    pub(super) fn entry_of(&self, id: &ExecutorId) -> ExecutorFacts {
        let executor = &self.executors[id];
        let before = self.executors.keys().take_while(|other| *other != id);
        let index = u64::try_from(before.count()).expect("a small number");
        let kind = (index + executor.started_at_ms) % KINDS;
        ExecutorFacts {
            address: "10.0.0.1:80".parse().expect("a socket address"),
            upstream: "desk".into(),
            capacity: executor.capacity,
            labels: vec![kind_label(kind)],
            rack: None,
            is_draining: false,
            started_at: Some(UnixMs(executor.started_at_ms)),
        }
    }

    /// Schedules the time at which owners read the new entry of an executor that has restarted.
    pub(super) fn schedule_entry(&mut self, id: &ExecutorId) {
        for owner in 0..self.owners.len() {
            self.schedule_after(ENTRY_READ_AFTER, Event::EntryRead(owner, id.clone()));
        }
    }

    pub(super) fn read_entry(&mut self, owner: OwnerIndex, id: &ExecutorId) {
        if self.defer_if_away(owner, Event::EntryRead(owner, id.clone())) {
            return;
        }
        let facts = self.entry_of(id);
        let pool = &mut self.owners[owner].pool;
        let actions = pool.record_listed_executor(self.now, id.clone(), facts);
        self.apply_actions(owner, actions);
    }

    /// Records which incarnation of an executor an owner has a report of.
    pub(super) fn record_report(
        &mut self,
        owner: OwnerIndex,
        id: &ExecutorId,
        answer: &HoldAnswer,
    ) {
        if let HoldAnswer::Report(ExecutorReport::Lists(lists)) = answer
            && let Some(started_at) = lists.started_at
        {
            self.reported.insert((owner, id.clone()), started_at.0);
        }
    }

    /// Checks that an owner with a report of the current incarnation orders no task that its kind can't run.
    pub(super) fn check_kind(&self, owner: OwnerIndex, id: &ExecutorId, order: &StartOrder) {
        let known = self.reported.get(&(owner, id.clone()));
        if known != Some(&self.executors[id].started_at_ms) {
            return;
        }
        let Some(label) = &self.calls[&order.task.job].request.label else {
            return;
        };
        let labels = self.entry_of(id).labels;
        assert!(
            labels.contains(label),
            "{owner} orders {} of {id} at {:?}, which requires {label}: {labels:?}",
            order.task,
            self.now
        );
    }
}
