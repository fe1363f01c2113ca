//! Hosts, ids and times for the claim tests.

use onyxshed_core::{Incarnation, Micros, Mono, Now, Offset, SubmissionId, UnixMs};
use onyxshed_state::{BatchStep, ClaimBook, ClaimOptions};
use onyxshed_wire::ContentHash;
use onyxshed_wire::record::ClaimBatch;
use ulid::Ulid;

pub const CONTENT: ContentHash = ContentHash(7);

/// Returns the readings of both clocks `ms` after an arbitrary start.
pub fn at(ms: u64) -> Now {
    Now {
        mono: Mono::default() + Micros(ms * 1_000),
        wall: UnixMs(10_000_000 + ms),
    }
}

/// Returns an unbound id whose time is `ms` after the start.
pub fn id(ms: u64) -> SubmissionId {
    SubmissionId::unbound(Ulid::from_parts(10_000_000 + ms, 1))
}

/// Returns the claim book of a host with incarnation `number`, which has read an empty log to its
/// end.
pub fn host(number: u64, options: ClaimOptions) -> ClaimBook {
    let mut book = ClaimBook::new(Incarnation(number), options);
    book.mark_caught_up(Offset(0));
    book
}

pub fn take_batch(book: &mut ClaimBook, now: Now) -> ClaimBatch {
    match book.next_batch(now) {
        BatchStep::Append(batch) => batch,
        other => panic!("no batch is due: {other:?}"),
    }
}
