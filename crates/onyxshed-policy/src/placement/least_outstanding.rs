//! Local least-outstanding: the executor with the fewest attempts of this host.

use rand::rngs::SmallRng;

use super::{Candidate, draw, least_by};

/// Chooses by attempts in flight, then by draw.
pub fn choose(candidates: &[Candidate], rng: &mut SmallRng) -> Option<Candidate> {
    draw(&least_by(candidates, |candidate| candidate.in_flight), rng)
}
