//! Reads request bodies within the limits on time and memory.

use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures_lite::{AsyncReadExt, FutureExt, future, io};
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

/// The bytes of a body that have arrived, in memory that has been reserved.
#[derive(Debug, Default)]
struct BodyBuffer {
    /// All memory of the buffer; the bytes from `received` on are free.
    bytes: Vec<u8>,
    received: usize,
}

/// Bytes that have been read from a body.
enum NextBytes {
    /// They are in the buffer.
    Stored,
    /// The buffer was full, and this byte is not in it.
    NeedRoom(u8),
}

impl BodyBuffer {
    /// Reads what has arrived. Returns `None` at the end of the body.
    async fn read_from(&mut self, body: &mut Body) -> io::Result<Option<NextBytes>> {
        if self.received == self.bytes.len() {
            let mut next = [0];
            let count = body.read(&mut next).await?;
            return Ok((count > 0).then_some(NextBytes::NeedRoom(next[0])));
        }
        let count = body.read(&mut self.bytes[self.received..]).await?;
        self.received += count;
        Ok((count > 0).then_some(NextBytes::Stored))
    }

    /// Grows the memory to `capacity`, which is above its present size, and stores `next`.
    fn grow(&mut self, capacity: usize, next: u8) {
        self.bytes.reserve_exact(capacity - self.bytes.len());
        self.bytes.resize(capacity, 0);
        self.bytes[self.received] = next;
        self.received += 1;
    }

    fn into_bytes(mut self) -> Vec<u8> {
        self.bytes.truncate(self.received);
        self.bytes
    }
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
        let max = usize::try_from(max_bytes).unwrap_or(usize::MAX);
        let expected = body.len().unwrap_or(max).min(max);
        let mut share = self.memory.body_share(body.len().map(|len| len as u64));
        let mut buffer = BodyBuffer::default();
        let mut reads = 0;
        while let Some(next) = buffer.read_from(&mut body).await? {
            if let NextBytes::NeedRoom(first) = next {
                if buffer.received == max {
                    return Err(rejection_error(ResultCode::BodyTooLarge));
                }
                let capacity = next_capacity(buffer.received, expected);
                self.reserve(stream, &mut share, capacity as u64).await?;
                buffer.grow(capacity, first);
            }
            share.record_received(buffer.received as u64);
            reads = (reads + 1) % READS_AT_ONCE;
            if reads == 0 {
                future::yield_now().await;
            }
        }
        Ok(ReceivedBody {
            bytes: buffer.into_bytes(),
            share,
        })
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
            let has_evicted = self.streams.evict_slowest_body(size, ResultCode::EntryFull);
            // The slowest body may be this one.
            if !has_evicted || stream.eviction().is_some() {
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

/// Number of reads of a body between which other tasks run: each returns one chunk at most, and the unread
/// bytes of a connection may be thousands of chunks.
const READS_AT_ONCE: u32 = 32;

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
