//! Merges the events of several processes into one order and records where events are missing.

use std::collections::BTreeSet;

use onyxshed_core::{ClassName, Event, UnixMs};
use onyxshed_wire::admin::TimelinePage;
use serde::Serialize;
use smol_str::SmolStr;

use crate::args::TimelineArgs;
use crate::logs::Logs;
use crate::query::ProcessReply;

/// An event and the process in which it happened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// Name of the process in the settings, or of the host for events from logs.
    pub process: SmolStr,
    /// The event; in JSON, its fields stand beside `process`.
    #[serde(flatten)]
    pub event: Event,
}

/// Reason why events of a process may be missing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GapReason {
    /// The process did not answer, with the reason; none of its events are shown.
    NoAnswer(SmolStr),
    /// The process started at this time; events of an earlier run are lost.
    #[serde(rename = "started_at_ms")]
    StartedAt(UnixMs),
    /// The process dropped this number of its oldest events to make room for newer ones.
    Dropped(u64),
    /// More events match than were requested; the oldest are omitted.
    TooMany,
    /// This number of lines of the logs contain no event.
    Unreadable(usize),
}

/// A process of which events may be missing from the time line, and the reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Gap {
    /// Name of the process in the settings, or `the logs` for unreadable lines of log files.
    pub process: SmolStr,
    /// One reason; a process has a gap for each that applies.
    pub missing: GapReason,
}

/// The events of all processes in one order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Timeline {
    /// Gaps, in the order of the processes.
    pub gaps: Vec<Gap>,
    /// Events, ordered by their hybrid logical clocks.
    pub events: Vec<Entry>,
}

/// Merges the events of all answers, ordered by their clocks. Records a gap for each reason why
/// events of a process may be missing, such as the lack of an answer.
pub fn merge(replies: Vec<ProcessReply<TimelinePage>>) -> Timeline {
    let mut merged = Timeline::default();
    for reply in replies {
        let process = reply.process;
        match reply.answer {
            Err(reason) => merged.add_gap(&process, GapReason::NoAnswer(reason)),
            Ok(page) => merged.add_page(&process, page),
        }
    }
    // The sort is stable: events of one process with the same stamp keep their order.
    merged.events.sort_by_key(|entry| entry.event.hlc);
    merged
}

/// Converts the lines of log files to a time line; lines without an event become a gap.
pub fn merge_logs(logs: Logs) -> Timeline {
    let mut merged = Timeline::default();
    if logs.unreadable > 0 {
        merged.add_gap(&"the logs".into(), GapReason::Unreadable(logs.unreadable));
    }
    let entries = logs.lines.into_iter().map(|line| Entry {
        process: line.host,
        event: line.event,
    });
    merged.events.extend(entries);
    merged
}

impl Timeline {
    /// Retains only the events that match the filters. Needed for logs only, since processes filter their
    /// events themselves.
    pub fn retain_matching(&mut self, args: &TimelineArgs) {
        let last = self.events.last().map(|entry| entry.event.hlc.wall);
        let since = args.since_ms.zip(last).map(|(span, last)| last - span);
        self.events.retain(|entry| {
            let event = &entry.event;
            let is_class = |class: &ClassName| event.class.as_ref() == Some(class);
            args.submission
                .is_none_or(|id| event.submission == Some(id))
                && args.class.as_ref().is_none_or(is_class)
                && args
                    .party
                    .as_ref()
                    .is_none_or(|party| event.party.contains(party.as_str()))
                && since.is_none_or(|since| event.hlc.wall >= since)
        });
    }

    /// Retains only the events that concern no single request, job or submission (`--beliefs`).
    pub fn retain_process_events(&mut self) {
        self.events.retain(|entry| {
            let event = &entry.event;
            event.submission.is_none() && event.request.is_empty() && event.job.is_empty()
        });
    }

    /// Retains only the events whose other party is in `parties`.
    pub fn retain_parties(&mut self, parties: &BTreeSet<SmolStr>) {
        self.events
            .retain(|entry| parties.contains(&entry.event.party));
    }

    fn add_page(&mut self, process: &SmolStr, page: TimelinePage) {
        self.add_gap(process, GapReason::StartedAt(page.started_ms));
        if page.dropped > 0 {
            self.add_gap(process, GapReason::Dropped(page.dropped));
        }
        if page.is_cut {
            self.add_gap(process, GapReason::TooMany);
        }
        let entries = page.events.into_iter().map(|event| Entry {
            process: process.clone(),
            event,
        });
        self.events.extend(entries);
    }

    fn add_gap(&mut self, process: &SmolStr, reason: GapReason) {
        self.gaps.push(Gap {
            process: process.clone(),
            missing: reason,
        });
    }
}
