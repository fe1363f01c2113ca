//! Least outstanding: the executor with the fewest attempts of this host.

use rand::rngs::SmallRng;

use super::{Candidate, least_by, pick_random};

/// Selects a random candidate among those with the fewest attempts of this host in flight.
pub fn choose(candidates: &[Candidate], rng: &mut SmallRng) -> Option<Candidate> {
    pick_random(&least_by(candidates, |candidate| candidate.in_flight), rng)
}
