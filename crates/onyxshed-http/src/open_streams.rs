//! The connections of an address, ordered by the time at which each last became idle.
//!
//! Connections that never send a whole request could otherwise occupy the address up to its limit, and
//! a caller with a request would be rejected until they time out. When the address is full, the
//! connection that has been idle the longest is closed; if none is idle, the request that makes the
//! least progress is given up.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use onyxshed_core::ResultCode;

use crate::bounded::{Arrival, BodySize, BoundedStream, Phase};

/// The connections of an address, those that became idle first in front. A connection with a
/// request in flight keeps its place, but is not closed.
#[derive(Debug, Default)]
pub(crate) struct OpenStreams {
    streams: RefCell<BTreeMap<u64, BoundedStream>>,
    last_id: Cell<u64>,
}

impl OpenStreams {
    /// Adds a connection that is idle from now on. Dropping the returned entry removes it.
    pub(crate) fn add(self: &Rc<Self>, stream: &BoundedStream) -> StreamEntry {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        self.streams.borrow_mut().insert(id, stream.clone());
        StreamEntry {
            streams: self.clone(),
            id,
        }
    }

    /// Ends the connection that has been idle the longest, with a reply for the reason `code`. Returns false
    /// if none is idle.
    ///
    /// A request that crosses the end is not read, so its caller needs the reply as its answer.
    pub(crate) fn close_oldest(&self, code: ResultCode) -> bool {
        let streams = self.streams.borrow();
        let oldest = streams.values().find(|stream| is_idle(stream));
        if let Some(stream) = oldest {
            stream.evict(code);
        }
        oldest.is_some()
    }

    /// Gives up the request that makes the least progress: the one without a byte for the longest time, if
    /// that is [`STALL_TIMEOUT`], else the one that has been arriving the longest, if that is
    /// [`RECEIVE_GRACE`]. Returns false if there is none.
    ///
    /// A request that has arrived whole is never given up, since its job may have begun.
    pub(crate) fn evict_slowest(&self, code: ResultCode) -> bool {
        self.evict_slowest_of(|_| true, code)
    }

    /// Like [`OpenStreams::evict_slowest`], of the requests whose bodies have memory for this size.
    pub(crate) fn evict_slowest_body(&self, size: BodySize, code: ResultCode) -> bool {
        self.evict_slowest_of(|stream| stream.body_size() == Some(size), code)
    }

    fn evict_slowest_of(
        &self,
        is_eligible: impl Fn(&BoundedStream) -> bool,
        code: ResultCode,
    ) -> bool {
        let streams = self.streams.borrow();
        let arriving: Vec<(Arrival, &BoundedStream)> = streams
            .values()
            .filter(|stream| is_eligible(stream))
            .filter_map(|stream| Some((stream.arrival()?, stream)))
            .collect();
        let stalled = arriving
            .iter()
            .max_by_key(|(arrival, _)| arrival.pause())
            .filter(|(arrival, _)| arrival.pause() >= STALL_TIMEOUT);
        let slow = arriving
            .iter()
            .max_by_key(|(arrival, _)| arrival.duration())
            .filter(|(arrival, _)| arrival.duration() >= RECEIVE_GRACE);
        let evicted = stalled.or(slow);
        if let Some((_, stream)) = evicted {
            stream.evict(code);
        }
        evicted.is_some()
    }
}

/// How long no byte of a request may arrive before it can be given up for another: longer than a lost
/// packet takes to be sent again.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a request may take to arrive before it can be given up for another.
const RECEIVE_GRACE: Duration = Duration::from_secs(2);

/// Returns whether no byte of a request has arrived, read or unread, so that closing the connection
/// cuts off no caller.
pub(crate) fn is_idle(stream: &BoundedStream) -> bool {
    if stream.phase() != Phase::Idle || stream.eviction().is_some() {
        return false;
    }
    let inner: Arc<Async<TcpStream>> = stream.inner().clone().into();
    !matches!(inner.get_ref().peek(&mut [0]), Ok(1))
}

/// The entry of a connection in [`OpenStreams`], removed on drop.
#[derive(Debug)]
pub(crate) struct StreamEntry {
    streams: Rc<OpenStreams>,
    id: u64,
}

impl StreamEntry {
    /// Moves the connection, which has just become idle again, to the end of the order.
    pub(crate) fn move_to_back(self, stream: &BoundedStream) -> Self {
        self.streams.add(stream)
    }
}

impl Drop for StreamEntry {
    fn drop(&mut self) {
        self.streams.streams.borrow_mut().remove(&self.id);
    }
}
