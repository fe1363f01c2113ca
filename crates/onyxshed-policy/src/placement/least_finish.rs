//! Least expected finish: the fastest executor with a free slot, then the lowest utilization.

use rand::rngs::SmallRng;

use super::{Candidate, least_by, pick_random};

/// Width of a step of the slowdown's natural logarithm. Slowdowns that round to the same step,
/// about 20% wide, count as equal. Without steps, noise in the estimates would send all tasks to a
/// single one of many equal executors.
const SPEED_STEP: f64 = 0.18;

/// Selects probes first; otherwise the fastest speed step, then the lowest utilization, then a
/// random candidate.
pub fn choose(candidates: &[Candidate], rng: &mut SmallRng) -> Option<Candidate> {
    let fastest = least_by(candidates, |candidate| {
        (!candidate.is_probe, speed_step(candidate.slowdown))
    });
    let least_utilized = least_by(&fastest, |candidate| {
        f64::from(candidate.in_flight) / f64::from(candidate.slots.max(1))
    });
    pick_random(&least_utilized, rng)
}

fn speed_step(slowdown: f64) -> f64 {
    (slowdown.ln() / SPEED_STEP).round()
}
