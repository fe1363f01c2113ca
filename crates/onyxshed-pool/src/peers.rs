//! Sessions of entry hosts with the owner of a pool.
//!
//! Callers of an unresponsive entry host resubmit their jobs elsewhere, so after a time-out without
//! heartbeats the owner stops the runs of that host's jobs. With the host's next heartbeat a new
//! session begins, and submissions of the old session that were delayed in transit are rejected.
//!
//! A heartbeat shows that its sender ran when it was sent, not when it is processed: this process may
//! have fallen behind its sockets, and the network may have delayed it. So each answer carries this host's clock, and the
//! next heartbeat returns it with the time since the answer arrived.
//!
//! Each connection has sessions of its own. An entry host gives up the jobs of a connection that it
//! considers lost, and its heartbeats on the next connection must not keep them running.

use std::collections::BTreeMap;

use onyxshed_core::{Micros, Millis, Mono};

use crate::id::{ConnectionNumber, FencingToken, PeerConnection, PeerIncarnation, Session};
use crate::successor::SuccessorOffer;

/// A heartbeat of an entry host.
#[derive(Debug, Clone, Copy)]
pub struct Heartbeat {
    /// Connection on which it arrived.
    pub connection: PeerConnection,
    /// Time on the owner's clock after which it was certainly sent; `None` before the entry host has
    /// received an answer on the connection.
    pub sent_after: Option<Mono>,
    /// The host's offer to own the pool, if any.
    pub offer: Option<SuccessorOffer>,
}

#[derive(Debug, Clone, Copy)]
struct Link {
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
#[derive(Debug, Default)]
pub struct PeerSessions {
    links: BTreeMap<PeerConnection, Link>,
    last_session: u64,
    /// No contact on a responsive connection is older; `None` if there is no such connection.
    oldest_contact_at: Option<Mono>,
}

/// Time without contact after which a connection is removed.
const FORGET_AFTER: Millis = Millis(60_000);

/// Number of low-order bits of a session that count the sessions of one ownership.
const SESSION_BITS: u32 = 20;

impl PeerSessions {
    /// Creates the sessions of an owner, none of which has the number of another ownership's session.
    pub fn new(token: FencingToken) -> Self {
        PeerSessions {
            last_session: token.0 << SESSION_BITS,
            ..PeerSessions::default()
        }
    }

    /// Records a heartbeat and returns the session of its connection: a new one if the connection was
    /// unresponsive.
    pub fn record_contact(&mut self, now: Mono, heartbeat: &Heartbeat) -> Session {
        match self.links.get_mut(&heartbeat.connection) {
            Some(link) if !link.is_unresponsive => {
                let sent_after = heartbeat.sent_after.unwrap_or(link.last_contact_at);
                link.last_contact_at = link.last_contact_at.max(sent_after.min(now));
                link.session
            }
            _ => self.open_session(now, heartbeat.connection),
        }
    }

    /// Opens a session. The peer submits jobs in it only after the answer that tells it the session,
    /// so its contact counts from now.
    fn open_session(&mut self, now: Mono, connection: PeerConnection) -> Session {
        self.last_session += 1;
        let session = Session(self.last_session);
        let link = Link {
            session,
            last_contact_at: now,
            is_unresponsive: false,
        };
        self.links.insert(connection, link);
        let oldest = self.oldest_contact_at.unwrap_or(now);
        self.oldest_contact_at = Some(oldest.min(now));
        session
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
        self.links_of(peer).any(|link| {
            !link.is_unresponsive
                && link.session == session
                && now.since(link.last_contact_at) < timeout.into()
        })
    }

    /// Returns whether any connection of a peer is responsive.
    pub fn is_responsive(&self, peer: PeerIncarnation) -> bool {
        self.links_of(peer).any(|link| !link.is_unresponsive)
    }

    /// Returns how long ago the last contact in a session was, or `None` if the session is not known.
    pub fn time_since_contact(
        &self,
        now: Mono,
        peer: PeerIncarnation,
        session: Session,
    ) -> Option<Micros> {
        let link = self.links_of(peer).find(|link| link.session == session)?;
        Some(now.since(link.last_contact_at))
    }

    /// Ends the sessions on connections without contact for `timeout` and returns them. Also removes
    /// the connections without contact for `FORGET_AFTER`.
    pub fn expire(&mut self, now: Mono, timeout: Millis) -> Vec<ExpiredSession> {
        let oldest = self.oldest_contact_at.unwrap_or(now);
        if now.since(oldest) < timeout.into() {
            return Vec::new();
        }
        self.links
            .retain(|_, link| now.since(link.last_contact_at) < FORGET_AFTER.into());
        let mut expired = Vec::new();
        for (connection, link) in &mut self.links {
            if !link.is_unresponsive && now.since(link.last_contact_at) >= timeout.into() {
                link.is_unresponsive = true;
                expired.push(ExpiredSession {
                    peer: connection.peer,
                    session: link.session,
                });
            }
        }
        let responsive = self.links.values().filter(|link| !link.is_unresponsive);
        self.oldest_contact_at = responsive.map(|link| link.last_contact_at).min();
        expired
    }

    /// Ends every session, so that submissions made before a pause of this process are rejected.
    pub fn end_all_sessions(&mut self) {
        for link in self.links.values_mut() {
            link.is_unresponsive = true;
        }
    }

    fn links_of(&self, peer: PeerIncarnation) -> impl Iterator<Item = &Link> {
        let connection = |number| PeerConnection {
            peer,
            number: ConnectionNumber(number),
        };
        let links = self.links.range(connection(0)..=connection(u64::MAX));
        links.map(|(_, link)| link)
    }
}
