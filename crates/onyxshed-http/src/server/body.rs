//! Reads bodies within the time and the memory that they may take.

use std::panic::AssertUnwindSafe;
use std::rc::Rc;

use futures_lite::{AsyncReadExt, FutureExt};
use http_types::Body;
use onyxshed_core::ResultCode;

use super::turned_away::turned_away;
use super::{Server, ServerStats};
use crate::client::with_timeout;

impl Server {
    /// Reads a body in full.
    ///
    /// Failures guarded against, both the library's with chunked bodies: a trailer that comes in
    /// pieces leaves it asleep for ever, and one that is not ASCII makes it panic. The time bounds
    /// the first; the second is caught, and touches nothing but this connection.
    pub(super) async fn read_body(&self, body: Body) -> http_types::Result<Vec<u8>> {
        let read = AssertUnwindSafe(self.collect(body)).catch_unwind();
        match with_timeout(self.options.body_timeout, read).await {
            None => Err(turned_away(ResultCode::TooSlow)),
            Some(Err(_)) => Err(turned_away(ResultCode::BadRequest)),
            Some(Ok(collected)) => collected,
        }
    }

    /// Collects a body within the memory for bodies.
    ///
    /// Failure guarded against: many peers send large bodies slowly at the same time. Symptom: the
    /// process runs out of memory though each body is within its limit. A body's memory is counted as
    /// it comes, and whoever comes on top is told to come back; small bodies, which most are, are
    /// always taken, so that large ones can't keep them out.
    async fn collect(&self, mut body: Body) -> http_types::Result<Vec<u8>> {
        let mut found = Vec::new();
        let mut held = HeldBytes::new(&self.stats);
        let piece_bytes = body
            .len()
            .map_or(PIECE_BYTES, |len| len.clamp(1, PIECE_BYTES));
        let mut piece = vec![0; piece_bytes];
        loop {
            let count = body.read(&mut piece).await?;
            if count == 0 {
                return Ok(found);
            }
            found.extend_from_slice(&piece[..count]);
            let found_bytes = found.len() as u64;
            if found_bytes > self.options.body_max_bytes {
                return Err(turned_away(ResultCode::BodyTooLarge));
            }
            if found_bytes > SMALL_BODY_BYTES
                && !held.grow(found_bytes, self.options.bodies_max_bytes)
            {
                return Err(turned_away(ResultCode::EntryFull));
            }
        }
    }
}

/// Bodies up to this size are always taken.
pub const SMALL_BODY_BYTES: u64 = 64 << 10;

/// Most bytes of a body read at a time.
const PIECE_BYTES: usize = 16 << 10;

/// One body's part of the memory for bodies, given back when dropped.
struct HeldBytes {
    stats: Rc<ServerStats>,
    held: u64,
}

impl HeldBytes {
    fn new(stats: &Rc<ServerStats>) -> Self {
        HeldBytes {
            stats: stats.clone(),
            held: 0,
        }
    }

    /// Grows to `wanted` bytes; false if all bodies together would then take more than `max`.
    fn grow(&mut self, wanted: u64, max: u64) -> bool {
        let others = self.stats.body_bytes.get() - self.held;
        if others + wanted > max {
            return false;
        }
        self.stats.body_bytes.set(others + wanted);
        self.held = wanted;
        true
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.stats
            .body_bytes
            .set(self.stats.body_bytes.get() - self.held);
    }
}
