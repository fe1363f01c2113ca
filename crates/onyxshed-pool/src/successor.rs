//! Selection of a successor by a stopping owner when the store can't elect the next owner.
//!
//! Hosts become owners by joining the pool's group in the store. An owner may be stopped while the
//! store is unavailable and no host can join. Hosts that could own the pool announce this in
//! their heartbeats; the owner selects one of them and transfers the pool in the answer to that host's
//! next heartbeat.
//!
//! Each owner selects at most one successor, whose token is the owner's token plus one. So no two
//! hosts have the same token, and an owner that the store elects later has a higher one.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use onyxshed_core::{Millis, Mono};
use smol_str::SmolStr;

use crate::candidate::OWNER_CPU_MILLIS;
use crate::executor::ExecutorFacts;
use crate::id::{ExecutorId, FencingToken, PeerIncarnation};

/// Time after a heartbeat during which its sender can be selected: four heartbeat intervals of 150
/// ms.
const OFFER_TTL: Millis = Millis(600);

/// Offer of a host to own the pool, contained in its heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuccessorOffer {
    /// Address at which the host accepts requests as an owner.
    pub address: SocketAddr,
    /// Processor share of the host, in thousandths of a core.
    pub cpu_millis: u32,
}

/// Transfer of a pool's ownership to a successor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnershipTransfer {
    /// Fencing token for the successor: the token of the transferring owner plus one.
    pub token: FencingToken,
    /// Member names, in the pool's group in the store, of the owners that the store may still
    /// regard as the owner: the last owner that it elected, and every successor since.
    pub past_members: Vec<SmolStr>,
    /// The listed executors of the pool, which the successor can't read from the store.
    pub executors: Vec<(ExecutorId, ExecutorFacts)>,
}

#[derive(Debug, Clone, Copy)]
struct Offer {
    offer: SuccessorOffer,
    received_at: Mono,
}

/// Offers of hosts to own the pool, and the selected successor.
#[derive(Debug, Default)]
pub(crate) struct SuccessorSelection {
    offers: BTreeMap<PeerIncarnation, Offer>,
    is_needed: bool,
    successor: Option<Successor>,
}

#[derive(Debug, Clone, Copy)]
struct Successor {
    incarnation: PeerIncarnation,
    address: SocketAddr,
    /// Whether the successor has requested the executors.
    has_begun_takeover: bool,
}

impl SuccessorSelection {
    /// Records the offer from a host's heartbeat; `None` withdraws an earlier offer.
    pub fn record_offer(
        &mut self,
        now: Mono,
        incarnation: PeerIncarnation,
        offer: Option<SuccessorOffer>,
    ) {
        match offer {
            Some(offer) => {
                let received_at = now;
                self.offers
                    .insert(incarnation, Offer { offer, received_at });
            }
            None => {
                self.offers.remove(&incarnation);
            }
        }
    }

    /// Sets whether a successor is needed, because this owner is stopping and the store has not
    /// elected the next owner. A successor that was already selected stays selected.
    pub fn set_needed(&mut self, is_needed: bool) {
        self.is_needed = is_needed;
    }

    /// Selects the host `incarnation`, from which a heartbeat just arrived, as the successor and returns its
    /// address. Returns `None` if no successor is needed, one was selected before, or another host is
    /// better.
    pub fn select(&mut self, now: Mono, incarnation: PeerIncarnation) -> Option<SocketAddr> {
        if self.successor.is_some()
            || !self.is_needed
            || self.best_candidate(now) != Some(incarnation)
        {
            return None;
        }
        let address = self.offers.get(&incarnation)?.offer.address;
        self.successor = Some(Successor {
            incarnation,
            address,
            has_begun_takeover: false,
        });
        Some(address)
    }

    /// Returns whether a host is the selected successor. The transfer is repeated with each of its
    /// heartbeats, since an answer may be lost.
    pub fn is_successor(&self, incarnation: PeerIncarnation) -> bool {
        self.successor
            .is_some_and(|successor| successor.incarnation == incarnation)
    }

    /// Returns the best host with a recent offer. The load of an owner grows with its pool, so hosts with a
    /// sufficient processor share are preferred to smaller ones.
    fn best_candidate(&self, now: Mono) -> Option<PeerIncarnation> {
        let recent = self
            .offers
            .iter()
            .filter(|(_, entry)| now.since(entry.received_at) < OFFER_TTL.into());
        let best = recent.max_by_key(|(incarnation, entry)| {
            let cpu_millis = entry.offer.cpu_millis.min(OWNER_CPU_MILLIS);
            (cpu_millis, entry.received_at, **incarnation)
        });
        best.map(|(incarnation, _)| *incarnation)
    }

    /// Records that the successor, if one was selected, has requested the executors.
    pub fn record_takeover(&mut self) {
        if let Some(successor) = &mut self.successor {
            successor.has_begun_takeover = true;
        }
    }

    /// Returns the address of the successor once it is taking over the pool, otherwise `None`.
    pub fn successor_address(&self) -> Option<SocketAddr> {
        self.successor
            .filter(|successor| successor.has_begun_takeover)
            .map(|successor| successor.address)
    }
}
