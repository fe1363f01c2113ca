//! A pool of connections to one other process, which are kept open for further calls.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::client::{ClientOptions, Connection};
use crate::error::CallError;

/// The condition under which a call reuses an idle connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReusePolicy {
    /// Any connection that is not known to be closed.
    AnyOpen,
    /// A connection that received a reply within this time, otherwise a new one.
    ///
    /// If something between the two ends has dropped the connection's state, bytes are lost and no
    /// reply arrives. A task that may not run twice is then lost until its lease ends, and its
    /// outcome is unknown. A new connection works where an unresponsive one does not, so a
    /// connection without a recent reply is replaced.
    AnsweredWithin(Duration),
}

/// Limit on the idle connections of several pools together. Clones share it.
#[derive(Debug, Clone)]
pub struct IdleLimit {
    max: usize,
    count: Rc<Cell<usize>>,
}

impl IdleLimit {
    /// Creates a limit of `max` connections.
    pub fn new(max: usize) -> Self {
        IdleLimit {
            max,
            count: Rc::default(),
        }
    }

    fn try_take(&self) -> Option<IdlePlace> {
        let count = self.count.get();
        (count < self.max).then(|| {
            self.count.set(count + 1);
            IdlePlace(self.clone())
        })
    }
}

/// The place of one idle connection, given back on drop.
#[derive(Debug)]
struct IdlePlace(IdleLimit);

impl Drop for IdlePlace {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
    }
}

/// A pool of connections to one address.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    options: ClientOptions,
    idle_max: usize,
    idle_limit: IdleLimit,
    idle: RefCell<Vec<(Connection, IdlePlace)>>,
    replaced_count: Cell<u64>,
}

impl ConnectionPool {
    /// Creates a pool that keeps at most `idle_max` idle connections.
    pub fn new(address: SocketAddr, options: ClientOptions, idle_max: usize) -> Self {
        ConnectionPool {
            address,
            options,
            idle_max,
            idle_limit: IdleLimit::new(usize::MAX),
            idle: RefCell::default(),
            replaced_count: Cell::new(0),
        }
    }

    /// Sets a limit that the pool shares with others.
    pub fn with_idle_limit(mut self, limit: IdleLimit) -> Self {
        self.idle_limit = limit;
        self
    }

    /// Returns the address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many idle connections were closed instead of reused.
    pub fn replaced_count(&self) -> u64 {
        self.replaced_count.get()
    }

    /// Returns the most recently used idle connection that the policy allows, or a new one. Closes
    /// the idle connections that it finds closed or not allowed.
    pub async fn get(&self, policy: ReusePolicy) -> Result<Connection, CallError> {
        while let Some(connection) = self.take_idle() {
            if is_reusable(&connection, policy).await {
                return Ok(connection);
            }
            self.replaced_count.set(self.replaced_count.get() + 1);
        }
        Connection::open(self.address, self.options).await
    }

    /// Puts a connection back after a call that succeeded; closes it if the pool is full or the peer
    /// is about to close it.
    pub fn put(&self, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < self.idle_max
            && !connection.is_closing()
            && let Some(place) = self.idle_limit.try_take()
        {
            idle.push((connection, place));
        }
    }

    /// Closes every idle connection, for instance after a call to the same address has timed out.
    pub fn clear(&self) {
        let closed = self.idle.borrow_mut().drain(..).count() as u64;
        self.replaced_count.set(self.replaced_count.get() + closed);
    }

    fn take_idle(&self) -> Option<Connection> {
        let taken = self.idle.borrow_mut().pop();
        taken.map(|(connection, _place)| connection)
    }
}

async fn is_reusable(connection: &Connection, policy: ReusePolicy) -> bool {
    let is_allowed = match policy {
        ReusePolicy::AnyOpen => true,
        ReusePolicy::AnsweredWithin(max_age) => connection.time_since_reply() <= max_age,
    };
    is_allowed && connection.is_open().await
}
