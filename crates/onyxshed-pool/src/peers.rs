//! Sessions of entry hosts with the owner of a pool.
//!
//! Callers of an unresponsive entry host resubmit their jobs elsewhere, so after a time-out without
//! heartbeats the owner stops the runs of that host's jobs. With the host's next heartbeat a new
//! session begins, and submissions of the old session that were delayed in transit are rejected.

use std::collections::BTreeMap;

use onyxshed_core::{Micros, Millis, Mono};

use crate::id::{PeerIncarnation, Session};

#[derive(Debug, Clone, Copy)]
struct Peer {
    session: Session,
    last_contact_at: Mono,
    is_unresponsive: bool,
}

/// The current session and last contact of each entry host, by the host's incarnation.
#[derive(Debug, Default)]
pub struct PeerSessions {
    peers: BTreeMap<PeerIncarnation, Peer>,
    last_session: u64,
}

/// Time without contact after which an entry host (peer) is removed.
const FORGET_AFTER: Millis = Millis(60_000);

impl PeerSessions {
    /// Records contact with a peer and returns its session: a new one if the peer was unresponsive.
    pub fn record_contact(&mut self, now: Mono, incarnation: PeerIncarnation) -> Session {
        let last_session = &mut self.last_session;
        let mut open_session = || {
            *last_session += 1;
            Session(*last_session)
        };
        let peer = self.peers.entry(incarnation).or_insert_with(|| Peer {
            session: open_session(),
            last_contact_at: now,
            is_unresponsive: false,
        });
        if peer.is_unresponsive {
            peer.session = open_session();
            peer.is_unresponsive = false;
        }
        peer.last_contact_at = now;
        peer.session
    }

    /// Returns whether a session is the peer's current one and the peer's last contact is less than
    /// `timeout` ago.
    pub fn is_current(
        &self,
        now: Mono,
        incarnation: PeerIncarnation,
        session: Session,
        timeout: Millis,
    ) -> bool {
        self.peers.get(&incarnation).is_some_and(|peer| {
            !peer.is_unresponsive
                && peer.session == session
                && now.since(peer.last_contact_at) < timeout.into()
        })
    }

    /// Returns how long ago the last contact with a peer was, or `None` if the peer is not known.
    pub fn time_since_contact(&self, now: Mono, incarnation: PeerIncarnation) -> Option<Micros> {
        let peer = self.peers.get(&incarnation)?;
        Some(now.since(peer.last_contact_at))
    }

    /// Marks the peers without contact for `timeout` as unresponsive and returns those newly
    /// marked. Also removes the peers without contact for `FORGET_AFTER`.
    pub fn mark_unresponsive(&mut self, now: Mono, timeout: Millis) -> Vec<PeerIncarnation> {
        self.peers
            .retain(|_, peer| now.since(peer.last_contact_at) < FORGET_AFTER.into());
        let mut unresponsive = Vec::new();
        for (incarnation, peer) in &mut self.peers {
            if !peer.is_unresponsive && now.since(peer.last_contact_at) >= timeout.into() {
                peer.is_unresponsive = true;
                unresponsive.push(*incarnation);
            }
        }
        unresponsive
    }

    /// Ends every session, so that submissions made before a pause of this process are rejected.
    pub fn end_all_sessions(&mut self) {
        for peer in self.peers.values_mut() {
            peer.is_unresponsive = true;
        }
    }
}
