//! Sessions of entry hosts with the owner of a pool.
//!
//! Callers of an unresponsive entry host resubmit their jobs elsewhere, so after a time-out without
//! heartbeats the owner stops the runs of that host's jobs. With the host's next heartbeat a new
//! session begins, and submissions of the old session that were delayed in transit are rejected.
//!
//! Each connection has sessions of its own. An entry host gives up the jobs of a connection that it
//! considers lost, and its heartbeats on the next connection must not keep them running.

use std::collections::BTreeMap;

use onyxshed_core::{Micros, Millis, Mono};

use crate::id::{ConnectionNumber, PeerConnection, PeerIncarnation, Session};

#[derive(Debug, Clone, Copy)]
struct Link {
    session: Session,
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
}

/// Time without contact after which a connection is removed.
const FORGET_AFTER: Millis = Millis(60_000);

impl PeerSessions {
    /// Records a heartbeat on a connection and returns the connection's session: a new one if the
    /// connection was unresponsive.
    pub fn record_contact(&mut self, now: Mono, connection: PeerConnection) -> Session {
        let last_session = &mut self.last_session;
        let mut open_session = || {
            *last_session += 1;
            Session(*last_session)
        };
        let link = self.links.entry(connection).or_insert_with(|| Link {
            session: open_session(),
            last_contact_at: now,
            is_unresponsive: false,
        });
        if link.is_unresponsive {
            link.session = open_session();
            link.is_unresponsive = false;
        }
        link.last_contact_at = now;
        link.session
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
