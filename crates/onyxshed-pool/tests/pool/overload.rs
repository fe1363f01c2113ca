//! Loads beyond what a pool can do: what is served by class, beside a scheduler that knows the true
//! run times.

mod clairvoyant;

use std::sync::OnceLock;

use onyxshed_core::{Micros, Millis, Mono};
use onyxshed_pool::{ClassId, JobEnd, OverloadMode, PoolOptions};
use onyxshed_standins::fleet::ExecutorModel;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

use crate::load::{executors_of, random_job};
use crate::simulation::{Call, Simulation, Timeouts};
use clairvoyant::Order;

/// When the overload begins, after a second at ordinary load.
const BEGIN_MS: u64 = 3_000;

/// Duration of the overload.
const LENGTH_MS: u64 = 6_000;

/// Duration of the ordinary load after the overload.
const AFTER_MS: u64 = 3_000;

/// Load before and after the overload, as a share of the room.
const ORDINARY_LOAD: f64 = 0.35;

/// Processor that each task needs, in cores.
const TASK_CORES: u64 = 27;

/// Offered loads, as multiples of the room.
const LOADS: [f64; 5] = [1.0, 1.5, 2.0, 3.0, 5.0];

/// Number of seeds.
const SEEDS: u32 = 3;

/// Share of a group's jobs in time, and the number of its jobs.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    in_time: u32,
    jobs: u32,
}

impl Share {
    fn of<'a>(calls: impl Iterator<Item = &'a Call>, is_in_time: impl Fn(&Call) -> bool) -> Share {
        let mut share = Share::default();
        for call in calls {
            share.jobs += 1;
            share.in_time += u32::from(is_in_time(call));
        }
        share
    }

    fn value(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.jobs.max(1))
    }
}

/// A load, played for a seed.
struct Play {
    simulation: Simulation,
    executors: usize,
}

/// Returns the processor that tasks of `TASK_CORES` can use on an executor of speed 1, in cores.
fn usable_cores(executor: &ExecutorModel) -> u64 {
    u64::from(executor.capacity.cpu_millis) / 1_000 / TASK_CORES * TASK_CORES
}

/// Returns the jobs per second that make up the whole room of a pool.
#[allow(clippy::cast_precision_loss)]
fn jobs_per_s_of_room(executors: usize) -> f64 {
    let room: f64 = executors_of(executors)
        .iter()
        .map(|executor| usable_cores(executor) as f64 * executor.speed)
        .sum();
    let mut rng = SmallRng::seed_from_u64(9);
    let draws = 4_000;
    let total_ms: u64 = (0..draws)
        .map(|number| random_job(&mut rng, number).2.iter().sum::<u64>())
        .sum();
    room * 1_000.0 * draws as f64 / (total_ms * TASK_CORES) as f64
}

fn target(call: &Call) -> Micros {
    let longest_ms = call.true_ms.iter().max().copied().unwrap_or_default();
    Millis(longest_ms * 16 / 10 + 60).into()
}

fn is_in_time(call: &Call) -> bool {
    matches!(call.ended, Some((at, JobEnd::Completed)) if at.since(call.first_sent_at) <= target(call))
}

fn work(call: &Call) -> u64 {
    call.true_ms.iter().sum()
}

impl Play {
    fn new(executors: usize, load: f64, seed: u64, mode: OverloadMode) -> Play {
        let options = PoolOptions {
            overload: mode,
            ..PoolOptions::default()
        };
        let models = executors_of(executors);
        let mut simulation = Simulation::with_options(seed, models, 2, options);
        simulation.timeouts = Timeouts::HOST;
        simulation.checks_indexes = executors <= 16;
        let mut play = Play {
            simulation,
            executors,
        };
        let mut rng = SmallRng::seed_from_u64(seed);
        play.offer(&mut rng, ORDINARY_LOAD, BEGIN_MS - 1_000, 1_000);
        play.offer(&mut rng, load, BEGIN_MS, LENGTH_MS);
        play.offer(&mut rng, ORDINARY_LOAD, BEGIN_MS + LENGTH_MS, AFTER_MS);
        play
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn offer(&mut self, rng: &mut SmallRng, load: f64, begin_ms: u64, length_ms: u64) {
        let jobs = jobs_per_s_of_room(self.executors) * load * length_ms as f64 / 1_000.0;
        for _ in 0..jobs as u64 {
            let at_ms = begin_ms + rng.random_range(0..length_ms);
            let number = self.simulation.calls.len() as u64;
            let (class, mut request, true_ms) = random_job(rng, number);
            if load <= ORDINARY_LOAD {
                // Wrong estimates make jobs late at any load.
                request.estimate = Millis(true_ms.iter().max().copied().unwrap_or_default());
            }
            request.class = ClassId(["many", "long", "pairs"][class].into());
            request.time_left = Millis(8_000);
            let at = Mono(at_ms * 1_000);
            self.simulation.schedule_call(at, class, request, true_ms);
        }
    }

    fn run(mut self) -> Play {
        let end_ms = BEGIN_MS + LENGTH_MS + AFTER_MS + 12_000;
        self.simulation.run_until(Mono(end_ms * 1_000));
        self.simulation.check_answers();
        self
    }

    fn calls_between(&self, from_ms: u64, to_ms: u64) -> impl Iterator<Item = &Call> {
        let range = Mono(from_ms * 1_000)..Mono(to_ms * 1_000);
        let calls = self.simulation.calls.values();
        calls.filter(move |call| range.contains(&call.first_sent_at))
    }

    /// Returns the calls of a class that arrive in the overload, without its first second.
    fn overloaded_calls(&self, class: usize) -> impl Iterator<Item = &Call> {
        let calls = self.calls_between(BEGIN_MS + 1_000, BEGIN_MS + LENGTH_MS);
        calls.filter(move |call| call.class == class)
    }

    fn shares(&self, is_in_time: impl Fn(&Call) -> bool) -> [f64; 3] {
        [0, 1, 2].map(|class| Share::of(self.overloaded_calls(class), &is_in_time).value())
    }

    /// Returns the share in time of the largest tenth of a class by work.
    fn share_of_largest(&self, class: usize) -> f64 {
        let mut calls: Vec<&Call> = self.overloaded_calls(class).collect();
        calls.sort_by_key(|call| std::cmp::Reverse(work(call)));
        let tenth = calls.len().div_ceil(10);
        Share::of(calls.into_iter().take(tenth), is_in_time).value()
    }

    /// Returns the mean share over classes by each order of the clairvoyant scheduler.
    fn known(&self) -> [f64; 3] {
        let orders = [Order::LeastWork, Order::EarliestDeadline, Order::EqualParts];
        orders.map(|order| {
            let models = executors_of(self.executors);
            let served = clairvoyant::served(order, &models, &self.simulation.calls);
            mean(self.shares(|call| served.contains(&call.request.job)))
        })
    }

    /// Returns the share in time of the jobs that arrive from a second after the overload.
    fn share_after(&self) -> f64 {
        let end_ms = BEGIN_MS + LENGTH_MS;
        let calls = self.calls_between(end_ms + 1_000, end_ms + AFTER_MS);
        Share::of(calls, is_in_time).value()
    }
}

/// What is served at one load, as the mean over [`SEEDS`].
#[derive(Debug, Clone, Copy, Default)]
struct Row {
    /// Share in time by class.
    shares: [f64; 3],
    /// Share in time of the largest tenth of each class.
    largest: [f64; 3],
    /// Mean share over classes by each order of the clairvoyant scheduler.
    known: [f64; 3],
    /// Share in time from a second after the overload.
    after: f64,
}

impl Row {
    fn of(executors: usize, load: f64) -> Row {
        let mut row = Row::default();
        for seed in 0..SEEDS {
            let play = Play::new(executors, load, seed.into(), OverloadMode::On).run();
            let (shares, known) = (play.shares(is_in_time), play.known());
            for index in 0..3 {
                row.shares[index] += shares[index] / f64::from(SEEDS);
                row.largest[index] += play.share_of_largest(index) / f64::from(SEEDS);
                row.known[index] += known[index] / f64::from(SEEDS);
            }
            row.after += play.share_after() / f64::from(SEEDS);
        }
        row
    }

    fn best_known(&self) -> f64 {
        self.known.into_iter().fold(0.0, f64::max)
    }
}

fn mean(shares: [f64; 3]) -> f64 {
    shares.iter().sum::<f64>() / 3.0
}

/// Returns what is served by a pool at each of [`LOADS`].
fn rows(executors: usize) -> &'static [Row] {
    static SMALL: OnceLock<Vec<Row>> = OnceLock::new();
    static LARGE: OnceLock<Vec<Row>> = OnceLock::new();
    let rows = if executors == 16 { &SMALL } else { &LARGE };
    rows.get_or_init(|| {
        let rows: Vec<Row> = LOADS.map(|load| Row::of(executors, load)).into();
        for (load, row) in LOADS.iter().zip(&rows) {
            println!("{executors} executors, load {load}: {row:.3?}");
        }
        rows
    })
}

#[rstest]
fn serves_nine_tenths_of_the_best_known_order(
    #[values(16, 117)] executors: usize,
    #[values(0, 1, 2, 3, 4)] load: usize,
) {
    let row = rows(executors)[load];
    assert!(mean(row.shares) >= 0.9 * row.best_known(), "{row:.3?}");
}

#[rstest]
fn serves_no_less_at_a_higher_load(#[values(16, 117)] executors: usize) {
    // What is served is the share times what is offered.
    let served: Vec<f64> = rows(executors)
        .iter()
        .zip(LOADS)
        .map(|(row, load)| mean(row.shares) * load)
        .collect();
    for pair in served.windows(2) {
        assert!(pair[1] >= pair[0] - 0.02, "{served:.3?}");
    }
}

#[rstest]
fn serves_the_largest_tenth_half_as_well(
    #[values(16, 117)] executors: usize,
    #[values(0, 1, 2, 3, 4)] load: usize,
) {
    let row = rows(executors)[load];
    for (largest, share) in row.largest.into_iter().zip(row.shares) {
        assert!(largest >= 0.5 * share, "{row:.3?}");
    }
}

#[rstest]
fn all_are_in_time_a_second_after(
    #[values(16, 117)] executors: usize,
    #[values(0, 1, 2, 3, 4)] load: usize,
) {
    let row = rows(executors)[load];
    assert!(row.after >= 1.0, "{row:.3?}");
}
