//! The connections of an address, ordered by the time at which each last became idle.
//!
//! Connections that never send a request could otherwise occupy the address up to its limit, and a
//! caller with a request would be rejected until they time out. When the address is full, the
//! connection that has been idle the longest is closed.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::sync::Arc;

use async_io::Async;

use crate::bounded::{BoundedStream, Phase};

/// The connections of an address, those that became idle first in front. A connection with a
/// request in flight keeps its place, but is not closed.
#[derive(Debug, Default)]
pub(crate) struct IdleStreams {
    streams: RefCell<BTreeMap<u64, BoundedStream>>,
    last_id: Cell<u64>,
}

impl IdleStreams {
    /// Adds a connection that is idle from now on. Dropping the returned entry removes it.
    pub(crate) fn add(self: &Rc<Self>, stream: &BoundedStream) -> IdleEntry {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        self.streams.borrow_mut().insert(id, stream.clone());
        IdleEntry {
            streams: self.clone(),
            id,
        }
    }

    /// Closes the connection that has been idle the longest. Returns false if none is idle.
    pub(crate) fn close_oldest(&self) -> bool {
        let mut streams = self.streams.borrow_mut();
        let mut entries = streams.iter();
        let oldest = entries.find(|(_, stream)| is_idle(stream));
        let Some(id) = oldest.map(|(id, _)| *id) else {
            return false;
        };
        let closed = streams.remove(&id);
        // Shutdown fails if the peer has already closed the connection, which frees its place as
        // well.
        closed.is_some_and(|stream| {
            let _ = stream.inner().shutdown(Shutdown::Both);
            true
        })
    }
}

/// Returns whether no byte of a request has arrived, read or unread, so that closing the connection
/// cuts off no caller.
pub(crate) fn is_idle(stream: &BoundedStream) -> bool {
    let inner: Arc<Async<TcpStream>> = stream.inner().clone().into();
    let has_unread = matches!(inner.get_ref().peek(&mut [0]), Ok(1));
    stream.phase() == Phase::Idle && !has_unread
}

/// The entry of a connection in [`IdleStreams`], removed on drop.
#[derive(Debug)]
pub(crate) struct IdleEntry {
    streams: Rc<IdleStreams>,
    id: u64,
}

impl IdleEntry {
    /// Moves the connection, which has just become idle again, to the end of the order.
    pub(crate) fn move_to_back(self, stream: &BoundedStream) -> Self {
        self.streams.add(stream)
    }
}

impl Drop for IdleEntry {
    fn drop(&mut self) {
        self.streams.streams.borrow_mut().remove(&self.id);
    }
}
