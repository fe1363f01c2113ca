//! Planned arrivals of an open loop, drawn from a seed before the run starts.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::mix::Mix;

/// A period of the run with a different arrival rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Burst {
    /// Start of the period, in seconds from the start of the run.
    pub from_s: f64,
    /// End of the period, in seconds from the start of the run.
    pub to_s: f64,
    /// Arrival rate in the period, as a multiple of the rate outside bursts.
    pub factor: f64,
}

/// Options of [`plan`].
#[derive(Debug, Clone, PartialEq)]
pub struct PlanOptions {
    /// The mix that classes, job sizes and service times are drawn from.
    pub mix: Mix,
    /// Mean arrival rate outside bursts, in jobs per second.
    pub jobs_per_s: f64,
    /// Time during which jobs arrive, in seconds.
    pub span_s: f64,
    /// Periods with a different rate, in order and without overlap.
    pub bursts: Vec<Burst>,
    /// Factor that every service time is multiplied by.
    pub time_scale: f64,
    /// Seed of the random numbers; equal options and seeds result in the same jobs.
    pub seed: u64,
}

/// A job with its planned arrival.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedJob {
    /// Planned arrival, in microseconds from the start of the run.
    pub at_us: u64,
    /// Index of the job's class in [`Mix::classes`].
    pub class: usize,
    /// Service time of each task on an executor of the fastest kind, in milliseconds.
    pub service_ms: Vec<u32>,
    /// Random number that selects the entry host.
    pub draw: u64,
}

impl PlannedJob {
    /// Returns the longest service time of the job's tasks, in milliseconds.
    pub fn longest_ms(&self) -> u32 {
        self.service_ms.iter().copied().max().unwrap_or_default()
    }
}

/// Draws the jobs of a run, in order of arrival.
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

/// Draws the time of the next arrival, or returns `None` after the end of the run. The exponential
/// distribution is memoryless, so the interval is drawn anew where the rate changes.
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

/// Returns the arrival rate at a time, and the time at which that rate ends.
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
