//! The connections of an address in the order in which they fell idle.
//!
//! Failure guarded against: connections that never ask anything take every place. Symptom: a caller
//! with a request finds the address full until they time out. When the address is full, the one
//! that has idled longest makes room.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::sync::Arc;

use async_io::Async;

use crate::bounded::{BoundedStream, Phase};

/// All connections of an address, the longest idle first.
#[derive(Debug, Default)]
pub(crate) struct IdleStreams {
    streams: RefCell<BTreeMap<u64, BoundedStream>>,
    last: Cell<u64>,
}

impl IdleStreams {
    /// Adds a connection that is idle from now on, until the place is dropped.
    pub(crate) fn add(self: &Rc<Self>, stream: &BoundedStream) -> IdlePlace {
        let number = self.last.get() + 1;
        self.last.set(number);
        self.streams.borrow_mut().insert(number, stream.clone());
        IdlePlace {
            streams: self.clone(),
            number,
        }
    }

    /// Closes the connection that has idled longest; false if none is idle.
    pub(crate) fn close_oldest(&self) -> bool {
        let mut streams = self.streams.borrow_mut();
        let mut all = streams.iter();
        let oldest = all.find(|(_, stream)| is_idle(stream));
        let Some(number) = oldest.map(|(number, _)| *number) else {
            return false;
        };
        let closed = streams.remove(&number);
        // It may have been closed by the peer already, which makes room as well.
        closed.is_some_and(|stream| {
            let _ = stream.inner().shutdown(Shutdown::Both);
            true
        })
    }
}

/// Tells whether nothing of a request has come, read or not: closing the connection then cuts no
/// caller off.
fn is_idle(stream: &BoundedStream) -> bool {
    let inner: Arc<Async<TcpStream>> = stream.inner().clone().into();
    let has_unread = matches!(inner.get_ref().peek(&mut [0]), Ok(1));
    stream.phase() == Phase::Idle && !has_unread
}

/// A connection's place in the order.
#[derive(Debug)]
pub(crate) struct IdlePlace {
    streams: Rc<IdleStreams>,
    number: u64,
}

impl IdlePlace {
    /// Moves the connection behind all others.
    pub(crate) fn renew(self, stream: &BoundedStream) -> Self {
        self.streams.add(stream)
    }
}

impl Drop for IdlePlace {
    fn drop(&mut self) {
        self.streams.streams.borrow_mut().remove(&self.number);
    }
}
