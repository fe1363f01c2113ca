//! Sessions of entry hosts with the owner of a pool.
//!
//! Callers of an unresponsive entry host resubmit their jobs elsewhere, so after a time-out without
//! heartbeats the owner stops the runs of that host's jobs. With the host's next heartbeat a new
//! session begins, and submissions of the old session that were delayed in transit are rejected.
//!
//! A heartbeat shows that its sender ran when it was sent, not when it is processed: this process may
//! have fallen behind its sockets, and the network may have delayed it. So each answer carries this
//! host's clock, and the next heartbeat returns it with the time since the answer arrived.
//!
//! Each connection has sessions of its own. An entry host gives up the jobs of a connection that it
//! considers lost, and its heartbeats on the next connection must not keep them running.

use std::collections::BTreeMap;

use onyxshed_core::{Micros, Millis, Mono};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::{ConnectionNumber, FencingToken, PeerConnection, PeerIncarnation, Session};
use crate::successor::SuccessorOffer;

/// A heartbeat of an entry host.
#[derive(Debug, Clone, Copy)]
pub struct Heartbeat {
    /// Connection on which it arrived.
    pub connection: PeerConnection,
    /// Time on the owner's clock after which it was certainly sent; `None` before the entry host has
    /// received an answer on the connection.
    pub sent_no_earlier_than: Option<Mono>,
    /// The host's offer to own the pool, if any.
    pub offer: Option<SuccessorOffer>,
}

#[derive(Debug, Clone, Copy)]
struct ConnectionState {
    session: Session,
    /// Time at which the peer certainly ran and had not given up this connection.
    last_contact_at: Mono,
    is_unresponsive: bool,
}

/// A session that ended because no heartbeat arrived on its connection in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExpiredSession {
    /// Incarnation of the entry host.
    pub peer: PeerIncarnation,
    /// The session that ended.
    pub session: Session,
}

/// The current session and last contact on each connection of entry hosts.
#[derive(Debug)]
pub struct PeerSessions {
    connections: BTreeMap<PeerConnection, ConnectionState>,
    token: FencingToken,
    session_count: u64,
    /// No contact on a responsive connection is older; `None` if there is no such connection.
    oldest_contact_at: Option<Mono>,
}

/// Time without contact after which a connection is removed.
const FORGET_AFTER: Millis = Millis(60_000);

impl PeerSessions {
    /// Creates the sessions of an owner.
    pub fn new(token: FencingToken) -> Self {
        PeerSessions {
            token,
            connections: BTreeMap::new(),
            session_count: 0,
            oldest_contact_at: None,
        }
    }

    /// Records a heartbeat and returns the session of its connection: a new one if the connection was
    /// unresponsive.
    pub fn record_contact(&mut self, now: Mono, heartbeat: &Heartbeat) -> Session {
        match self.connections.get_mut(&heartbeat.connection) {
            Some(state) if !state.is_unresponsive => {
                let sent_no_earlier_than = heartbeat
                    .sent_no_earlier_than
                    .unwrap_or(state.last_contact_at);
                state.last_contact_at = state.last_contact_at.max(sent_no_earlier_than.min(now));
                state.session
            }
            _ => self.open_session(now, heartbeat.connection),
        }
    }

    /// Opens a session. The peer submits jobs in it only after the answer that tells it the session,
    /// so its contact counts from now.
    fn open_session(&mut self, now: Mono, connection: PeerConnection) -> Session {
        self.session_count += 1;
        let session = self.session_number();
        let state = ConnectionState {
            session,
            last_contact_at: now,
            is_unresponsive: false,
        };
        self.connections.insert(connection, state);
        let oldest = self.oldest_contact_at.unwrap_or(now);
        self.oldest_contact_at = Some(oldest.min(now));
        session
    }

    /// Returns the number of the last session. It is a hash, so that an ownership has no numbers of another.
    fn session_number(&self) -> Session {
        let count = self.session_count.to_le_bytes();
        Session(xxh3_64_with_seed(&count, self.token.0))
    }

    /// Returns whether a session is current on one of the peer's connections and the last contact on
    /// that connection is less than `timeout` ago.
    pub fn is_current(
        &self,
        now: Mono,
        peer: PeerIncarnation,
        session: Session,
        timeout: Millis,
    ) -> bool {
        self.connections_of(peer).any(|state| {
            !state.is_unresponsive
                && state.session == session
                && now.since(state.last_contact_at) < timeout.into()
        })
    }

    /// Returns whether any connection of a peer is responsive.
    pub fn is_responsive(&self, peer: PeerIncarnation) -> bool {
        self.connections_of(peer)
            .any(|state| !state.is_unresponsive)
    }

    /// Returns how long ago the last contact in a session was, or `None` if the session is not known.
    pub fn time_since_contact(
        &self,
        now: Mono,
        peer: PeerIncarnation,
        session: Session,
    ) -> Option<Micros> {
        let state = self
            .connections_of(peer)
            .find(|state| state.session == session)?;
        Some(now.since(state.last_contact_at))
    }

    /// Ends the sessions on connections without contact for `timeout` and returns them. Also removes
    /// the connections without contact for `FORGET_AFTER`.
    pub fn expire(&mut self, now: Mono, timeout: Millis) -> Vec<ExpiredSession> {
        let oldest = self.oldest_contact_at.unwrap_or(now);
        if now.since(oldest) < timeout.into() {
            return Vec::new();
        }
        self.connections
            .retain(|_, state| now.since(state.last_contact_at) < FORGET_AFTER.into());
        let mut expired = Vec::new();
        for (connection, state) in &mut self.connections {
            if !state.is_unresponsive && now.since(state.last_contact_at) >= timeout.into() {
                state.is_unresponsive = true;
                expired.push(ExpiredSession {
                    peer: connection.peer,
                    session: state.session,
                });
            }
        }
        let responsive = self
            .connections
            .values()
            .filter(|state| !state.is_unresponsive);
        self.oldest_contact_at = responsive.map(|state| state.last_contact_at).min();
        expired
    }

    /// Ends every session, so that submissions made before a pause of this process are rejected.
    pub fn end_all_sessions(&mut self) {
        for state in self.connections.values_mut() {
            state.is_unresponsive = true;
        }
    }

    fn connections_of(&self, peer: PeerIncarnation) -> impl Iterator<Item = &ConnectionState> {
        let connection = |number| PeerConnection {
            peer,
            number: ConnectionNumber(number),
        };
        let states = self.connections.range(connection(0)..=connection(u64::MAX));
        states.map(|(_, state)| state)
    }
}
