//! One stream of the log, kept in memory.

use std::collections::VecDeque;

use onyxshed_core::{Millis, Offset, UnixMs};
use onyxshed_wire::platform::{Page, Record};

/// The records of one stream, from the oldest that is kept to the newest.
#[derive(Debug, Default)]
pub struct Stream {
    next: Offset,
    records: VecDeque<Record>,
}

impl Stream {
    /// Appends a record and returns its offset.
    pub fn append(&mut self, at_ms: UnixMs, data: String) -> Offset {
        let offset = self.next;
        self.next = offset.next();
        self.records.push_back(Record {
            offset,
            at_ms,
            data,
        });
        offset
    }

    /// Returns the offset of the next append.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns a page of at most `max` records, from the offset `from` up to but not including `end`.
    pub fn read(&self, from: Offset, end: Offset, max: usize) -> Page {
        let next = self.next.min(end);
        let wanted = self
            .records
            .iter()
            .filter(|record| record.offset >= from && record.offset < next);
        Page {
            oldest: self.oldest().min(next),
            next,
            records: wanted.take(max).cloned().collect(),
        }
    }

    /// Drops the records whose offset is lower than `to`.
    pub fn truncate(&mut self, to: Offset) {
        while self
            .records
            .front()
            .is_some_and(|record| record.offset < to)
        {
            self.records.pop_front();
        }
    }

    /// Drops all records that are older than the retention.
    pub fn expire(&mut self, now: UnixMs, retention: Millis) {
        let is_old = |record: &Record| now.since(record.at_ms) > retention;
        while self.records.front().is_some_and(is_old) {
            self.records.pop_front();
        }
    }

    fn oldest(&self) -> Offset {
        self.records
            .front()
            .map_or(self.next, |record| record.offset)
    }
}
