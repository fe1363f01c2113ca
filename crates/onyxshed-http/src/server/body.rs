//! Reads request bodies within the limits on time and memory.

use std::panic::AssertUnwindSafe;
use std::rc::Rc;

use futures_lite::{AsyncReadExt, FutureExt};
use http_types::Body;
use onyxshed_core::ResultCode;

use super::rejection::rejection_error;
use super::{Server, ServerStats};
use crate::client::with_timeout;

impl Server {
    /// Reads a body in full.
    ///
    /// The library has two faults with chunked bodies: it never wakes up after a trailer that
    /// arrives in several reads, and it panics on a trailer that is not ASCII. The time limit ends
    /// the wait caused by the first fault; the panic is caught and affects only this connection.
    pub(super) async fn read_body(&self, body: Body) -> http_types::Result<Vec<u8>> {
        let read = AssertUnwindSafe(self.collect(body)).catch_unwind();
        match with_timeout(self.options.body_timeout, read).await {
            None => Err(rejection_error(ResultCode::TooSlow)),
            Some(Err(_)) => Err(rejection_error(ResultCode::BadRequest)),
            Some(Ok(collected)) => collected,
        }
    }

    /// Collects a body within the memory limit for all bodies.
    ///
    /// If many peers send large bodies slowly at the same time, the process would run out of memory
    /// although each body is within its own limit. So a body's memory is counted as it arrives, and
    /// a body with which the total would exceed the limit is rejected with a code that invites a
    /// retry. Small bodies, which are the majority, are always accepted, so that large bodies can't
    /// block them.
    async fn collect(&self, mut body: Body) -> http_types::Result<Vec<u8>> {
        let mut collected = Vec::new();
        let mut reserved_bytes = BodyReservation::new(&self.stats);
        let chunk_bytes = body
            .len()
            .map_or(CHUNK_BYTES, |len| len.clamp(1, CHUNK_BYTES));
        let mut chunk = vec![0; chunk_bytes];
        loop {
            let count = body.read(&mut chunk).await?;
            if count == 0 {
                return Ok(collected);
            }
            collected.extend_from_slice(&chunk[..count]);
            let collected_bytes = collected.len() as u64;
            if collected_bytes > self.options.body_max_bytes {
                return Err(rejection_error(ResultCode::BodyTooLarge));
            }
            if collected_bytes > SMALL_BODY_BYTES
                && !reserved_bytes.grow(collected_bytes, self.options.bodies_max_bytes)
            {
                return Err(rejection_error(ResultCode::EntryFull));
            }
        }
    }
}

/// Bodies up to this size are always accepted, and do not count against the memory for bodies.
pub const SMALL_BODY_BYTES: u64 = 64 << 10;

/// Largest number of bytes that one read of a body returns.
const CHUNK_BYTES: usize = 16 << 10;

/// One body's share of the memory for bodies, released on drop.
struct BodyReservation {
    stats: Rc<ServerStats>,
    reserved_bytes: u64,
}

impl BodyReservation {
    fn new(stats: &Rc<ServerStats>) -> Self {
        BodyReservation {
            stats: stats.clone(),
            reserved_bytes: 0,
        }
    }

    /// Grows the share to `wanted` bytes. Returns false if all bodies together would then exceed
    /// `max`.
    fn grow(&mut self, wanted: u64, max: u64) -> bool {
        let others = self.stats.body_bytes.get() - self.reserved_bytes;
        if others + wanted > max {
            return false;
        }
        self.stats.body_bytes.set(others + wanted);
        self.reserved_bytes = wanted;
        true
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.stats
            .body_bytes
            .set(self.stats.body_bytes.get() - self.reserved_bytes);
    }
}
