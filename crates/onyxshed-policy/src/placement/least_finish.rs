//! Least expected finish: the fastest executor with a place, then the least filled.

use rand::rngs::SmallRng;

use super::{Candidate, draw, least_by};

/// Slowdowns within one step count as equal: 20%. Without steps the noise of the estimates would
/// send everything to one executor of many that are alike.
const STEP: f64 = 0.18;

/// Chooses by speed, then by how full the executor is, then by draw.
pub fn choose(candidates: &[Candidate], rng: &mut SmallRng) -> Option<Candidate> {
    let fastest = least_by(candidates, |candidate| {
        (!candidate.is_probe, speed_step(candidate.slowdown))
    });
    let emptiest = least_by(&fastest, |candidate| {
        f64::from(candidate.in_flight) / f64::from(candidate.slots.max(1))
    });
    draw(&emptiest, rng)
}

fn speed_step(slowdown: f64) -> f64 {
    (slowdown.ln() / STEP).round()
}
