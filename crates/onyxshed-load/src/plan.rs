//! Planned arrivals: an open loop, drawn ahead of the run from a seed.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::mix::Mix;

/// A stretch of the run with another rate of arrivals.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Burst {
    /// When it starts, in seconds from the start of the run.
    pub from_s: f64,
    /// When it ends.
    pub to_s: f64,
    /// The rate during it, as a multiple of the ordinary one.
    pub factor: f64,
}

/// What to plan.
#[derive(Debug, Clone, PartialEq)]
pub struct PlanOptions {
    /// Whose work it is.
    pub mix: Mix,
    /// Jobs a second on average outside bursts.
    pub jobs_per_s: f64,
    /// How long jobs arrive, in seconds.
    pub span_s: f64,
    /// Stretches with another rate; they do not overlap and are in order.
    pub bursts: Vec<Burst>,
    /// Every service time is multiplied by this.
    pub time_scale: f64,
    /// Seed of every draw.
    pub seed: u64,
}

/// One job to send.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedJob {
    /// When it is to arrive, in microseconds from the start of the run.
    pub at_us: u64,
    /// Place of its class in [`Mix::classes`].
    pub class: usize,
    /// Each task's service time on an executor of the fastest kind, in milliseconds.
    pub service_ms: Vec<u32>,
    /// Draw that decides where it goes.
    pub draw: u64,
}

impl PlannedJob {
    /// Gets the longest of its tasks' service times, in milliseconds.
    pub fn longest_ms(&self) -> u32 {
        self.service_ms.iter().copied().max().unwrap_or_default()
    }
}

/// Draws every arrival of a run.
pub fn plan(options: &PlanOptions) -> Vec<PlannedJob> {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let mut jobs = Vec::new();
    let mut at_s = 0.0;
    while let Some(next_s) = next_arrival(options, at_s, &mut rng) {
        at_s = next_s;
        jobs.push(draw_job(options, at_s, &mut rng));
    }
    jobs
}

/// Draws the next arrival. The exponential has no memory, so at a change of rate it is drawn anew.
fn next_arrival(options: &PlanOptions, from_s: f64, rng: &mut StdRng) -> Option<f64> {
    let mut at_s = from_s;
    while at_s < options.span_s {
        let (rate, until_s) = rate_at(options, at_s);
        let uniform: f64 = rng.random();
        let next_s = at_s - (1.0 - uniform).ln() / rate.max(f64::MIN_POSITIVE);
        if next_s < until_s {
            return Some(next_s);
        }
        at_s = until_s;
    }
    None
}

/// Gets the rate at a time and until when it holds.
fn rate_at(options: &PlanOptions, at_s: f64) -> (f64, f64) {
    for burst in &options.bursts {
        if at_s < burst.from_s {
            return (options.jobs_per_s, burst.from_s.min(options.span_s));
        }
        if at_s < burst.to_s {
            return (
                options.jobs_per_s * burst.factor,
                burst.to_s.min(options.span_s),
            );
        }
    }
    (options.jobs_per_s, options.span_s)
}

fn draw_job(options: &PlanOptions, at_s: f64, rng: &mut StdRng) -> PlannedJob {
    let class = options.mix.draw_class(rng);
    let load = &options.mix.classes()[class];
    let tasks = load.draw_tasks(rng);
    let service_ms = (0..tasks)
        .map(|_| scaled_ms(load.draw_service_ms(rng), options.time_scale))
        .collect();
    PlannedJob {
        at_us: micros(at_s),
        class,
        service_ms,
        draw: rng.random(),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "service times are at most a few thousand"
)]
fn scaled_ms(service_ms: u32, scale: f64) -> u32 {
    ((f64::from(service_ms) * scale).round() as u32).max(1)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a run lasts minutes"
)]
fn micros(at_s: f64) -> u64 {
    (at_s * 1e6) as u64
}
