//! Which entry hosts the owner hears.
//!
//! Callers send the jobs of an entry host that is gone again elsewhere, so the owner stops its runs after a
//! silence. When it is heard again a new session begins: jobs handed over before the silence and delayed
//! on their way are refused.

use std::collections::BTreeMap;

use onyxshed_core::{Millis, Mono};

use crate::id::{PeerIncarnation, Session};

#[derive(Debug, Clone, Copy)]
struct Peer {
    session: Session,
    heard_at: Mono,
    is_silent: bool,
}

/// Sessions with entry hosts.
#[derive(Debug, Default)]
pub struct PeerSessions {
    peers: BTreeMap<PeerIncarnation, Peer>,
    last: u64,
}

/// Silence after which a peer is forgotten altogether.
const FORGET_AFTER: Millis = Millis(60_000);

impl PeerSessions {
    /// Notes that a peer was heard, and gets its session: a new one after a silence.
    pub fn heard(&mut self, now: Mono, life: PeerIncarnation) -> Session {
        let last = &mut self.last;
        let mut open = || {
            *last += 1;
            Session(*last)
        };
        let peer = self.peers.entry(life).or_insert_with(|| Peer {
            session: open(),
            heard_at: now,
            is_silent: false,
        });
        if peer.is_silent {
            peer.session = open();
            peer.is_silent = false;
        }
        peer.heard_at = now;
        peer.session
    }

    /// Tells whether a session is the peer's present one, without a silence since.
    pub fn is_current(
        &self,
        now: Mono,
        life: PeerIncarnation,
        session: Session,
        silence: Millis,
    ) -> bool {
        self.peers.get(&life).is_some_and(|peer| {
            !peer.is_silent && peer.session == session && now.since(peer.heard_at) < silence.into()
        })
    }

    /// Gets the peers that have just become silent.
    pub fn fall_silent(&mut self, now: Mono, silence: Millis) -> Vec<PeerIncarnation> {
        self.peers
            .retain(|_, peer| now.since(peer.heard_at) < FORGET_AFTER.into());
        let mut silent = Vec::new();
        for (life, peer) in &mut self.peers {
            if !peer.is_silent && now.since(peer.heard_at) >= silence.into() {
                peer.is_silent = true;
                silent.push(*life);
            }
        }
        silent
    }

    /// Ends every session, as after a standstill of this host.
    pub fn end_all(&mut self) {
        for peer in self.peers.values_mut() {
            peer.is_silent = true;
        }
    }
}
