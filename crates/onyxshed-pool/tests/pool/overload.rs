//! Loads beyond what a pool can do: what is served by class, beside a scheduler that knows the true
//! run times.

mod clairvoyant;

use std::collections::BTreeMap;

use onyxshed_core::{Micros, Millis, Mono};
use onyxshed_pool::{ClassId, JobEnd, JobId, OverloadMode, PoolOptions};
use onyxshed_standins::fleet::ExecutorModel;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

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
            request.class = ClassId(["many", "long", "pairs"][class].into());
            request.time_left = Millis(2_500);
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

    /// Returns the mean share over classes of the best known order.
    fn best_known(&self) -> (f64, [f64; 3]) {
        let orders = [Order::LeastWork, Order::EarliestDeadline, Order::EqualParts];
        let means = orders.map(|order| {
            let served =
                clairvoyant::served(order, &executors_of(self.executors), &self.simulation.calls);
            mean(self.shares(|call| served.contains(&call.request.job)))
        });
        (means.into_iter().fold(0.0, f64::max), means)
    }
}

fn mean(shares: [f64; 3]) -> f64 {
    shares.iter().sum::<f64>() / 3.0
}

#[test]
fn table() {
    let mode = match std::env::var("OVERLOAD").as_deref() {
        Ok("off") => OverloadMode::Off,
        _ => OverloadMode::On,
    };
    let pools: Vec<usize> = match std::env::var("POOLS").as_deref() {
        Ok("117") => vec![117],
        Ok("16") => vec![16],
        _ => vec![16, 117],
    };
    for executors in pools {
        for load in [1.0, 1.5, 2.0, 3.0, 5.0] {
            let seeds = 3;
            let mut shares = [0.0; 3];
            let mut largest = [0.0; 3];
            let mut best = [0.0; 3];
            let mut late = 0.0;
            let mut after = 0.0;
            let mut used = [0.0; 3];
            let mut rng0 = SmallRng::seed_from_u64(9);
            let mean_work: f64 = (0..4000)
                .map(|n| random_job(&mut rng0, n).2.iter().sum::<u64>() as f64)
                .sum::<f64>()
                / 4000.0;
            let mut kinds: BTreeMap<&str, usize> = BTreeMap::new();
            for seed in 0..seeds {
                let play = Play::new(executors, load, seed, mode).run();
                let own = play.shares(is_in_time);
                let (_, known) = play.best_known();
                for class in 0..3 {
                    shares[class] += own[class] / 3.0;
                    largest[class] += play.share_of_largest(class) / 3.0;
                    best[class] += known[class] / 3.0;
                }
                for class in 0..3 {
                    let all: f64 = play
                        .overloaded_calls(class)
                        .filter(|c| matches!(c.ended, Some((_, JobEnd::Completed))))
                        .map(|c| work(c) as f64)
                        .sum();
                    used[class] += all / mean_work / jobs_per_s_of_room(executors) / 5.0 / 3.0;
                    for call in play.overloaded_calls(class) {
                        let kind = match call.ended {
                            Some((_, JobEnd::Completed)) if is_in_time(call) => "intime",
                            Some((_, JobEnd::Completed)) => "late",
                            Some((_, JobEnd::NotRun(..))) => "notrun",
                            _ => "unknown",
                        };
                        *kinds.entry(kind).or_default() += 1;
                    }
                }
                let calls = play.calls_between(
                    BEGIN_MS + LENGTH_MS + 1_000,
                    BEGIN_MS + LENGTH_MS + AFTER_MS,
                );
                after += Share::of(calls, is_in_time).value() / 3.0;
            }
            println!(
                "{executors} {load} own {shares:.3?} mean {:.3} | largest {largest:.2?} | known {best:.3?} ratio {:.3} | after {after:.3} {kinds:?} used {used:.2?}",
                mean(shares),
                mean(shares) / best.iter().copied().fold(0.0, f64::max)
            );
            let _: (f64, Option<JobId>) = (late, None);
            late += 0.0;
            let _ = late;
        }
    }
}
