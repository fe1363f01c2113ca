//! The time line: the latest events of a process in a bounded ring.

use std::collections::VecDeque;
use std::mem::size_of;

use onyxshed_core::{ClassName, Event, SubmissionId, UnixMs};
use smol_str::SmolStr;

/// Longest text of a kept event, in bytes; longer ones are truncated.
///
/// A caller's long request id or an upstream's long error text in every event would otherwise make the
/// memory of the ring unbounded, although the number of events is bounded.
const TEXT_MAX_BYTES: usize = 256;

/// Longest text that [`SmolStr`] stores inline, without a heap allocation, in bytes.
const INLINE_BYTES: usize = 23;

/// Largest number of events in one reply.
pub const LIMIT_MAX: usize = 5_000;

/// A filter on the events of the time line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Filter {
    /// Only events of this submission. Only the ULID is compared, so the id matches whether or not it
    /// is bound to an entry host.
    pub submission: Option<SubmissionId>,
    /// Only events of this class.
    pub class: Option<ClassName>,
    /// Only events whose party contains this text.
    pub party: Option<SmolStr>,
    /// Only events at or after this time.
    pub since_ms: UnixMs,
    /// Maximum number of events to return; if more match, the newest are returned. Default 1000.
    pub limit: usize,
}

impl Default for Filter {
    fn default() -> Self {
        Filter {
            submission: None,
            class: None,
            party: None,
            since_ms: UnixMs(0),
            limit: 1_000,
        }
    }
}

impl Filter {
    /// Returns whether an event matches every condition of the filter.
    pub fn matches(&self, event: &Event) -> bool {
        let submission_matches = self.submission.is_none_or(|expected| {
            event
                .submission
                .is_some_and(|found| found.ulid == expected.ulid)
        });
        let class_matches = self
            .class
            .as_ref()
            .is_none_or(|expected| event.class.as_ref() == Some(expected));
        let party_matches = self
            .party
            .as_ref()
            .is_none_or(|expected| event.party.contains(expected.as_str()));
        submission_matches && class_matches && party_matches && event.hlc.wall >= self.since_ms
    }
}

/// The matching events that fit into the limit of a query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MatchingEvents {
    /// The newest matching events, oldest first.
    pub events: Vec<Event>,
    /// Whether older matching events were left out because of the limit.
    pub is_cut: bool,
}

/// The latest events of one process.
#[derive(Debug)]
pub struct Timeline {
    events: VecDeque<Event>,
    events_max: usize,
    dropped: u64,
    text_bytes: usize,
}

impl Timeline {
    /// Creates an empty ring for at most `events_max` events, but at least one.
    pub fn new(events_max: usize) -> Self {
        Timeline {
            events: VecDeque::new(),
            events_max: events_max.max(1),
            dropped: 0,
            text_bytes: 0,
        }
    }

    /// Adds an event with its texts truncated to [`TEXT_MAX_BYTES`], and drops the oldest event if
    /// the ring is full.
    pub fn record(&mut self, event: &Event) {
        while self.events.len() >= self.events_max {
            if let Some(oldest) = self.events.pop_front() {
                self.text_bytes -= text_bytes(&oldest);
                self.dropped += 1;
            }
        }
        let event = event.clone().with_texts_up_to(TEXT_MAX_BYTES);
        self.text_bytes += text_bytes(&event);
        self.events.push_back(event);
    }

    /// Returns the newest events that match, up to the filter's limit and [`LIMIT_MAX`].
    pub fn find(&self, filter: &Filter) -> MatchingEvents {
        let limit = filter.limit.min(LIMIT_MAX);
        let mut matching = self
            .events
            .iter()
            .rev()
            .filter(|event| filter.matches(event));
        let mut events: Vec<Event> = matching.by_ref().take(limit).cloned().collect();
        events.reverse();
        let is_cut = matching.next().is_some();
        MatchingEvents { events, is_cut }
    }

    /// Returns how many events were dropped to make room for newer ones.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns the largest number of events kept.
    pub fn events_max(&self) -> usize {
        self.events_max
    }

    /// Returns the memory used by the events kept, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        (self.events.capacity() * size_of::<Event>() + self.text_bytes) as u64
    }
}

fn text_bytes(event: &Event) -> usize {
    let class = event.class.as_ref().map_or(0, |class| class.as_str().len());
    let texts = [&event.request, &event.job, &event.party, &event.detail];
    let lengths = texts.into_iter().map(|text| text.len()).chain([class]);
    lengths.filter(|len| *len > INLINE_BYTES).sum()
}
