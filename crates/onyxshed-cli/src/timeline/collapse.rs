//! Collapses events that differ only in their task into one line.

use std::collections::BTreeSet;

use onyxshed_core::{EventKind, Hlc, SubmissionId};
use smol_str::SmolStr;

use super::merge::Entry;

/// Which events that differ only in their task may share a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CollapseScope {
    /// Only consecutive events share a line.
    Neighbours,
    /// Events share a line wherever they are in the time line.
    Anywhere,
}

/// One line: an event, or several that differ only in their task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// Clock of the first event.
    pub first: Hlc,
    /// Clock of the last event.
    pub last: Hlc,
    /// Name of the process in which the events happened.
    pub process: SmolStr,
    /// Kind that all events on the line share.
    pub kind: EventKind,
    /// Submission that the events concern, if any.
    pub submission: Option<SubmissionId>,
    /// Id of the job of a pool that the events concern; empty if none.
    pub job: SmolStr,
    /// Name of the class that the events concern; empty if none.
    pub class: SmolStr,
    /// Indexes of the tasks that the events concern.
    pub tasks: BTreeSet<u16>,
    /// Other parties of the events, such as executors or peers.
    pub parties: BTreeSet<SmolStr>,
    /// Detail of the first event.
    pub detail: SmolStr,
    /// Number of events that share the line.
    pub count: usize,
}

/// Collapses events that differ only in their task into one line, if `scope` allows it.
pub fn collapse(entries: &[Entry], scope: CollapseScope) -> Vec<Line> {
    let mut lines: Vec<Line> = Vec::new();
    for entry in entries {
        let mut candidates = lines.iter_mut().rev();
        let same = match scope {
            CollapseScope::Neighbours => candidates.next().filter(|line| line.can_add(entry)),
            CollapseScope::Anywhere => candidates.find(|line| line.can_add(entry)),
        };
        match same {
            Some(line) => line.add(entry),
            None => lines.push(Line::new(entry)),
        }
    }
    lines
}

impl Line {
    fn new(entry: &Entry) -> Self {
        let event = &entry.event;
        let class = event.class.as_ref().map(|class| class.as_str().into());
        let mut line = Line {
            first: event.hlc,
            last: event.hlc,
            process: entry.process.clone(),
            kind: event.kind,
            submission: event.submission,
            job: event.job.clone(),
            class: class.unwrap_or_default(),
            tasks: BTreeSet::new(),
            parties: BTreeSet::new(),
            detail: event.detail.clone(),
            count: 0,
        };
        line.add(entry);
        line
    }

    fn can_add(&self, entry: &Entry) -> bool {
        let event = &entry.event;
        event.task_index.is_some()
            && !self.tasks.is_empty()
            && self.process == entry.process
            && self.kind == event.kind
            && self.submission == event.submission
            && self.job == event.job
    }

    fn add(&mut self, entry: &Entry) {
        self.last = entry.event.hlc;
        self.count += 1;
        self.tasks.extend(entry.event.task_index);
        if !entry.event.party.is_empty() {
            self.parties.insert(entry.event.party.clone());
        }
    }
}
