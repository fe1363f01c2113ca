//! Open connections to one other process, kept for the next call.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use crate::client::{ClientOptions, Connection};
use crate::error::CallError;

/// What a call asks of the connection it goes onto.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReusePolicy {
    /// Any connection that is not known to be closed.
    AnyOpen,
    /// One that answered within this time, or a new one.
    ///
    /// Failure guarded against: something between the two ends has forgotten the connection; bytes
    /// vanish and nothing comes back. Symptom: a task that may not run twice is lost until its
    /// lease ends, and its outcome is unknown. A new connection works where an old one has gone
    /// silent, so a connection without a recent answer is replaced rather than trusted.
    AnsweredWithin(Duration),
}

/// Connections to one address.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    options: ClientOptions,
    idle_max: usize,
    idle: RefCell<Vec<Connection>>,
    replaced: Cell<u64>,
}

impl ConnectionPool {
    /// Makes a pool that keeps at most `idle_max` connections.
    pub fn new(address: SocketAddr, options: ClientOptions, idle_max: usize) -> Self {
        ConnectionPool {
            address,
            options,
            idle_max,
            idle: RefCell::default(),
            replaced: Cell::new(0),
        }
    }

    /// Gets the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gets how many connections were closed because their health was in doubt.
    pub fn replaced(&self) -> u64 {
        self.replaced.get()
    }

    /// Gets a connection: the one used last that is healthy, or a new one.
    pub async fn get(&self, health: ReusePolicy) -> Result<Connection, CallError> {
        while let Some(connection) = self.take_idle() {
            if is_healthy(&connection, health).await {
                return Ok(connection);
            }
            self.replaced.set(self.replaced.get() + 1);
        }
        Connection::open(self.address, self.options).await
    }

    /// Keeps a connection for the next call.
    pub fn put(&self, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < self.idle_max {
            idle.push(connection);
        }
    }

    /// Closes every idle connection, as after one of them has gone silent.
    pub fn clear(&self) {
        let cleared = self.idle.borrow_mut().drain(..).count() as u64;
        self.replaced.set(self.replaced.get() + cleared);
    }

    fn take_idle(&self) -> Option<Connection> {
        self.idle.borrow_mut().pop()
    }
}

async fn is_healthy(connection: &Connection, health: ReusePolicy) -> bool {
    let is_fresh = match health {
        ReusePolicy::AnyOpen => true,
        ReusePolicy::AnsweredWithin(within) => connection.time_since_reply() <= within,
    };
    is_fresh && connection.is_open().await
}
