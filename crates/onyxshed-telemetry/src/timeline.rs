//! The time line: the latest events in a bounded ring.

use std::collections::VecDeque;
use std::mem::size_of;

use onyxshed_core::{ClassName, Event, SubmissionId, UnixMs};
use smol_str::SmolStr;

/// Longest party or detail kept, in bytes.
///
/// Failure guarded against: an upstream's long error text in every event. Symptom: the ring's bound
/// on events bounds no memory. Cut texts make the bound one on bytes.
const TEXT_MAX_BYTES: usize = 256;

/// Longest text that [`SmolStr`] holds without memory of its own, in bytes.
const INLINE_BYTES: usize = 23;

/// Most events in one answer.
pub const LIMIT_MAX: usize = 5_000;

/// Which events are asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Filter {
    /// Only those of this submission, bound or not.
    pub submission: Option<SubmissionId>,
    /// Only those of this class.
    pub class: Option<ClassName>,
    /// Only those whose other party's name holds this text.
    pub party: Option<SmolStr>,
    /// Only those at or after this time.
    pub since_ms: UnixMs,
    /// Most events, the newest being kept. Default 1000.
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
    /// Tells whether an event is asked for.
    pub fn takes(&self, event: &Event) -> bool {
        let same_submission = self.submission.is_none_or(|wanted| {
            event
                .submission
                .is_some_and(|found| found.ulid == wanted.ulid)
        });
        let same_class = self
            .class
            .as_ref()
            .is_none_or(|wanted| event.class.as_ref() == Some(wanted));
        let same_party = self
            .party
            .as_ref()
            .is_none_or(|wanted| event.party.contains(wanted.as_str()));
        same_submission && same_class && same_party && event.hlc.wall >= self.since_ms
    }
}

/// Events that match a filter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Matches {
    /// The newest of them, oldest first.
    pub events: Vec<Event>,
    /// Whether older ones were left out because of the limit.
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
    /// Makes an empty ring for at most `events_max` events.
    pub fn new(events_max: usize) -> Self {
        Timeline {
            events: VecDeque::new(),
            events_max: events_max.max(1),
            dropped: 0,
            text_bytes: 0,
        }
    }

    /// Adds an event; the oldest makes room for it.
    pub fn record(&mut self, event: &Event) {
        while self.events.len() >= self.events_max {
            if let Some(oldest) = self.events.pop_front() {
                self.text_bytes -= text_bytes(&oldest);
                self.dropped += 1;
            }
        }
        let event = with_short_texts(event);
        self.text_bytes += text_bytes(&event);
        self.events.push_back(event);
    }

    /// Gets the newest events that match.
    pub fn find(&self, filter: &Filter) -> Matches {
        let limit = filter.limit.min(LIMIT_MAX);
        let mut matching = self.events.iter().rev().filter(|event| filter.takes(event));
        let mut events: Vec<Event> = matching.by_ref().take(limit).cloned().collect();
        events.reverse();
        let is_cut = matching.next().is_some();
        Matches { events, is_cut }
    }

    /// Gets how many events were dropped for newer ones.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Gets the most events kept.
    pub fn events_max(&self) -> usize {
        self.events_max
    }

    /// Gets the memory that the events kept take, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        (self.events.capacity() * size_of::<Event>() + self.text_bytes) as u64
    }
}

fn text_bytes(event: &Event) -> usize {
    let class = event.class.as_ref().map_or(0, |class| class.as_str().len());
    [class, event.party.len(), event.detail.len()]
        .into_iter()
        .filter(|len| *len > INLINE_BYTES)
        .sum()
}

fn with_short_texts(event: &Event) -> Event {
    let mut event = event.clone();
    for text in [&mut event.party, &mut event.detail] {
        if text.len() > TEXT_MAX_BYTES {
            let end = text.floor_char_boundary(TEXT_MAX_BYTES);
            *text = text[..end].into();
        }
    }
    event
}
