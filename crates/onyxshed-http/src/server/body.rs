//! Reads request bodies within the limits on time and memory.

use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures_lite::{AsyncReadExt, FutureExt};
use http_types::Body;
use onyxshed_core::ResultCode;

use super::Server;
use super::memory::BodyShare;
use super::rejection::rejection_error;
use crate::bounded::BoundedStream;
use crate::client::with_timeout;

/// A body that has arrived whole, with its share of the memory for bodies.
#[derive(Debug)]
pub(super) struct ReceivedBody {
    pub bytes: Vec<u8>,
    /// To be kept while the request is handled: the job that is decoded from the body takes the same
    /// memory again.
    pub share: BodyShare,
}

impl Server {
    /// Reads a body in full.
    ///
    /// The library has two faults with chunked bodies: it never wakes up after a trailer that
    /// arrives in several reads, and it panics on a trailer that is not ASCII. The time limit ends
    /// the wait caused by the first fault; the panic is caught and affects only this connection.
    pub(super) async fn read_body(
        &self,
        stream: &BoundedStream,
        body: Body,
        max_bytes: u64,
    ) -> http_types::Result<ReceivedBody> {
        let read = AssertUnwindSafe(self.collect(stream, body, max_bytes)).catch_unwind();
        match with_timeout(self.options.body_timeout, read).await {
            None => Err(rejection_error(ResultCode::TooSlow)),
            Some(Err(_)) => Err(rejection_error(ResultCode::BadRequest)),
            Some(Ok(collected)) => collected,
        }
    }

    /// Collects a body within the memory limits for all bodies.
    ///
    /// If many peers send bodies slowly at the same time, the process would run out of memory
    /// although each body is within its own limit. So a body's memory is reserved before it grows,
    /// and a body for which there is none is rejected with a code that invites a retry. Large bodies
    /// have a limit of their own, so that they can't block small ones, which are the majority.
    async fn collect(
        &self,
        stream: &BoundedStream,
        mut body: Body,
        max_bytes: u64,
    ) -> http_types::Result<ReceivedBody> {
        let announced = body.len();
        let max = usize::try_from(max_bytes).unwrap_or(usize::MAX);
        let mut share = self.memory.body_share(announced.map(|len| len as u64));
        let mut bytes = Vec::new();
        let mut received = 0;
        loop {
            if received == bytes.len() {
                let mut next = [0];
                if body.read(&mut next).await? == 0 {
                    bytes.truncate(received);
                    return Ok(ReceivedBody { bytes, share });
                }
                if received == max {
                    return Err(rejection_error(ResultCode::BodyTooLarge));
                }
                let capacity = next_capacity(received, announced.unwrap_or(max).min(max));
                self.reserve(stream, &mut share, capacity as u64).await?;
                bytes.reserve_exact(capacity - received);
                bytes.resize(capacity, 0);
                bytes[received] = next[0];
                received += 1;
            } else {
                let count = body.read(&mut bytes[received..]).await?;
                if count == 0 {
                    bytes.truncate(received);
                    return Ok(ReceivedBody { bytes, share });
                }
                received += count;
            }
            share.record_received(received as u64);
        }
    }

    /// Grows a body's share, if necessary at the cost of bodies that have been arriving for long.
    async fn reserve(
        &self,
        stream: &BoundedStream,
        share: &mut BodyShare,
        wanted: u64,
    ) -> http_types::Result<()> {
        while !share.try_grow(wanted) {
            let size = share.size_of(wanted);
            if !self.idle.evict_slowest_body(size, ResultCode::EntryFull) {
                return Err(rejection_error(ResultCode::EntryFull));
            }
            // The memory is released when the task of the other request is next polled.
            with_timeout(RELEASE_WAIT, self.memory.released()).await;
        }
        stream.set_body_size(share.size());
        Ok(())
    }
}

/// How long a body waits for the memory of another one that has been given up, before it is checked
/// again.
const RELEASE_WAIT: Duration = Duration::from_millis(10);

/// Memory of a body's first bytes.
const FIRST_CAPACITY: usize = 4 << 10;

/// Returns the capacity with which a body is to be collected that has used up its memory. `max` is the
/// announced or the largest length, which is above `received`.
fn next_capacity(received: usize, max: usize) -> usize {
    (received * 2)
        .max(FIRST_CAPACITY)
        .min(max)
        .max(received + 1)
}
