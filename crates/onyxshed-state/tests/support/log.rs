//! A log that takes appends in order, and ids and times to use it with.

use onyxshed_core::{Incarnation, Micros, Mono, Now, Offset, SubmissionId, UnixMs};
use onyxshed_state::{BatchStep, ClaimBook, ClaimOptions, Settled};
use onyxshed_wire::ContentHash;
use onyxshed_wire::record::{ClaimBatch, ClaimRecord};
use ulid::Ulid;

pub const CONTENT: ContentHash = ContentHash(7);

/// Gets both clocks `ms` after an arbitrary start.
pub fn at(ms: u64) -> Now {
    Now {
        mono: Mono::default() + Micros(ms * 1_000),
        wall: UnixMs(10_000_000 + ms),
    }
}

/// Makes an unbound id whose time is `ms` after the start.
pub fn id(ms: u64) -> SubmissionId {
    SubmissionId::unbound(Ulid::from_parts(10_000_000 + ms, 1))
}

/// Makes a host that has read an empty log.
pub fn host(number: u64, options: ClaimOptions) -> ClaimBook {
    let mut book = ClaimBook::new(Incarnation(number), options);
    book.caught_up(Offset(0));
    book
}

#[derive(Default)]
pub struct Log(pub Vec<String>);

impl Log {
    pub fn append(&mut self, batch: ClaimBatch) -> Offset {
        self.0.push(ClaimRecord::ClaimsV1(batch).encode());
        Offset(self.0.len() as u64 - 1)
    }

    /// Reads everything that the host has not read.
    pub fn read(&self, book: &mut ClaimBook, now: Now) -> Vec<Settled> {
        let mut settled = Vec::new();
        for (offset, data) in (0..).zip(&self.0) {
            settled.extend(book.read(now, Offset(offset), data));
        }
        book.caught_up(Offset(self.0.len() as u64));
        settled
    }

    /// Sends the host's next batch and tells it that it was appended.
    pub fn send(&mut self, book: &mut ClaimBook, now: Now) {
        let batch = take_batch(book, now);
        let number = batch.batch;
        let offset = self.append(batch);
        book.appended(now, number, Ok(offset));
    }
}

pub fn take_batch(book: &mut ClaimBook, now: Now) -> ClaimBatch {
    match book.next_batch(now) {
        BatchStep::Append(batch) => batch,
        other => panic!("no batch is due: {other:?}"),
    }
}
