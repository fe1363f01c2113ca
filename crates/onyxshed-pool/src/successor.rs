//! Whom a stopping owner makes its successor when the store can't.
//!
//! An owner may be stopped while no host can join its group in the store. Its hosts' heartbeats say
//! which of them could serve; it names one of these in the answer to that host's next heartbeat.
//!
//! One successor at most is named by each owner, and its token is the owner's plus one. So no two hosts
//! hold one token, and whoever the store makes owner later has a higher one.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use onyxshed_core::{Millis, Mono};
use smol_str::SmolStr;

use crate::candidate::OWNER_CPU_MILLIS;
use crate::executor::ExecutorFacts;
use crate::id::{ExecutorId, FencingToken, PeerIncarnation};

/// Time since its last heartbeat for which a host may become the successor; four heartbeats of 150 ms.
const HEARD_WITHIN: Millis = Millis(600);

/// What a host that could own the pool tells of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuccessorOffer {
    /// Where owners are asked there.
    pub address: SocketAddr,
    /// Its share of a core, in thousandths.
    pub cpu_millis: u32,
}

/// What a successor is given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnershipTransfer {
    /// The token under which it owns the pool.
    pub token: FencingToken,
    /// Names in the pool's group of the owners before it that the store may still take for the owner:
    /// the last one that it made, and every successor since.
    pub past_members: Vec<SmolStr>,
    /// The executors of the pool, since the store can't be asked for them.
    pub executors: Vec<(ExecutorId, ExecutorFacts)>,
}

#[derive(Debug, Clone, Copy)]
struct Offer {
    offer: SuccessorOffer,
    heard_at: Mono,
}

/// Hosts that could own the pool, and the one that was made the successor.
#[derive(Debug, Default)]
pub(crate) struct SuccessorChoice {
    offers: BTreeMap<PeerIncarnation, Offer>,
    is_sought: bool,
    successor: Option<Successor>,
}

#[derive(Debug, Clone, Copy)]
struct Successor {
    life: PeerIncarnation,
    address: SocketAddr,
    /// It has asked for the executors.
    has_begun: bool,
}

impl SuccessorChoice {
    /// Takes in what a host that was heard offers; none takes back what it offered.
    pub fn heard(&mut self, now: Mono, life: PeerIncarnation, offer: Option<SuccessorOffer>) {
        match offer {
            Some(offer) => {
                let heard_at = now;
                self.offers.insert(life, Offer { offer, heard_at });
            }
            None => {
                self.offers.remove(&life);
            }
        }
    }

    /// Says whether a successor is needed now; one that was named stays the successor.
    pub fn seek(&mut self, is_sought: bool) {
        self.is_sought = is_sought;
    }

    /// Makes a host that was just heard the successor, if one is needed and it is the best; gets its
    /// address then.
    pub fn name(&mut self, now: Mono, life: PeerIncarnation) -> Option<SocketAddr> {
        if self.successor.is_some() || !self.is_sought || self.best(now) != Some(life) {
            return None;
        }
        let address = self.offers.get(&life)?.offer.address;
        self.successor = Some(Successor {
            life,
            address,
            has_begun: false,
        });
        Some(address)
    }

    /// Tells whether a host is the successor. It is told so with each heartbeat, since an answer may be
    /// lost.
    pub fn is_successor(&self, life: PeerIncarnation) -> bool {
        self.successor
            .is_some_and(|successor| successor.life == life)
    }

    /// Gets the host that serves best: an owner's work grows with its pool, so one with enough
    /// processor goes before those with less.
    fn best(&self, now: Mono) -> Option<PeerIncarnation> {
        let heard = self
            .offers
            .iter()
            .filter(|(_, held)| now.since(held.heard_at) < HEARD_WITHIN.into());
        let best = heard.max_by_key(|(life, held)| {
            let cpu_millis = held.offer.cpu_millis.min(OWNER_CPU_MILLIS);
            (cpu_millis, held.heard_at, **life)
        });
        best.map(|(life, _)| *life)
    }

    /// Notes that the successor takes the pool over.
    pub fn begun(&mut self) {
        if let Some(successor) = &mut self.successor {
            successor.has_begun = true;
        }
    }

    /// Gets where the successor is asked, once it takes the pool over.
    pub fn successor_address(&self) -> Option<SocketAddr> {
        self.successor
            .filter(|successor| successor.has_begun)
            .map(|successor| successor.address)
    }
}
