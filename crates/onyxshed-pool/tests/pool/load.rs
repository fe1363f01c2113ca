//! Plays loads on one pool and checks what callers get, class by class.
//!
//! The pool is one zone of the users' smaller deployments: 16 executors of three speeds and two
//! sizes. The classes are theirs: many short tasks, a few long ones, pairs of middling ones, with
//! estimates off by half either way.

use onyxshed_core::{Millis, Mono};
use onyxshed_pool::{JobEnd, JobRequest, Resources};
use onyxshed_standins::fleet::RunBook;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::fixture::{job, room};
use crate::world::{Patience, Trouble, World};

/// Jobs begin here, when every executor has been taken over.
const BEGIN_MS: u64 = 2_000;

/// How long jobs come.
const LENGTH_MS: u64 = 12_000;

pub struct Class {
    pub share: f64,
    pub tasks: u64,
    pub work_ms: u64,
}

pub const CLASSES: [Class; 3] = [
    Class {
        share: 0.24,
        tasks: 8,
        work_ms: 60,
    },
    Class {
        share: 0.05,
        tasks: 4,
        work_ms: 900,
    },
    Class {
        share: 0.71,
        tasks: 2,
        work_ms: 200,
    },
];

pub fn executors() -> Vec<RunBook> {
    (0..16)
        .map(|index| {
            let capacity = Resources {
                memory_mb: 100_000,
                ..room(if index % 3 == 2 { 96 } else { 64 })
            };
            let speed = [0.6, 1.0, 1.6][index / 2 % 3];
            RunBook::new(capacity, speed, 0, 0)
        })
        .collect()
}

/// Draws a factor around 1, off by half either way.
fn spread(rng: &mut SmallRng) -> f64 {
    let log: f64 = (0..4).map(|_| rng.random_range(-0.4..0.4)).sum();
    log.exp()
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss
)]
pub fn some_job(rng: &mut SmallRng, number: u64) -> (usize, JobRequest, Vec<u64>) {
    let draw: f64 = rng.random();
    let class = match draw {
        draw if draw < CLASSES[0].share => 0,
        draw if draw < CLASSES[0].share + CLASSES[1].share => 1,
        _ => 2,
    };
    let kind = &CLASSES[class];
    let tasks = (kind.tasks as f64 * spread(rng)).round().clamp(1.0, 32.0) as u16;
    let mean_ms = kind.work_ms as f64 * spread(rng);
    let true_ms = (0..tasks)
        .map(|_| (mean_ms * rng.random_range(0.8..1.2)) as u64 + 1)
        .collect();
    let request = JobRequest {
        time_left: Millis(8_000),
        ..job(number, tasks, (mean_ms * spread(rng)) as u64 + 1)
    };
    (class, request, true_ms)
}

/// What is played.
#[derive(Debug, Clone, Copy)]
struct Load {
    jobs_per_s: u64,
    trouble: Trouble,
    patience: Patience,
    /// How long callers wait.
    deadline: Millis,
}

impl Load {
    /// Jobs whose callers wait for long, with nothing wrong.
    fn calm(jobs_per_s: u64) -> Self {
        Load {
            jobs_per_s,
            trouble: Trouble::default(),
            patience: Patience::LONG,
            deadline: Millis(8_000),
        }
    }
}

/// Plays a load to its end.
fn played(load: Load, seed: u64) -> World {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world = World::new(seed, executors(), 2);
    world.trouble = load.trouble;
    world.patience = load.patience;
    for number in 0..load.jobs_per_s * LENGTH_MS / 1_000 {
        let at_ms = BEGIN_MS + rng.random_range(0..LENGTH_MS);
        let (class, mut request, true_ms) = some_job(&mut rng, number);
        request.time_left = load.deadline;
        world.plan_call(Mono(at_ms * 1_000), class, request, true_ms);
    }
    world.play(Mono((BEGIN_MS + LENGTH_MS + 20_000) * 1_000));
    world.check_answers();
    world
}

/// Shares of each class's jobs that ended within their objective.
fn shares_in_time(load: Load, seed: u64) -> [f64; 3] {
    let world = played(load, seed);
    let mut counts = [(0_u32, 0_u32); 3];
    for call in world.calls.values() {
        let longest_ms = call.true_ms.iter().max().copied().unwrap_or_default();
        let objective_ms = longest_ms * 16 / 10 + 60;
        let (asked, in_time) = &mut counts[call.class];
        *asked += 1;
        if let Some((at, JobEnd::Completed)) = call.ended
            && at.since(call.sent_first).as_millis() <= Millis(objective_ms)
        {
            *in_time += 1;
        }
    }
    counts.map(|(asked, in_time)| f64::from(in_time) / f64::from(asked.max(1)))
}

/// Shares of each class's jobs that were refused after they had waited for over a span.
fn shares_held(load: Load, span: Millis, seed: u64) -> [f64; 3] {
    let world = played(load, seed);
    let mut counts = [(0_u32, 0_u32); 3];
    for call in world.calls.values() {
        let (asked, held) = &mut counts[call.class];
        *asked += 1;
        if let Some((at, JobEnd::NotRun(..))) = call.ended
            && call.sends == 1
            && at.since(call.sent_first).as_millis() > span
        {
            *held += 1;
        }
    }
    counts.map(|(asked, held)| f64::from(held) / f64::from(asked.max(1)))
}

/// Shares of each class in the mean of three seeds, with nothing wrong.
fn mean_shares(jobs_per_s: u64) -> [f64; 3] {
    mean_of(3, |seed| shares_in_time(Load::calm(jobs_per_s), seed))
}

/// Gets the mean of some seeds, class by class.
fn mean_of(seeds: u32, shares: impl Fn(u64) -> [f64; 3]) -> [f64; 3] {
    let mut sum = [0.0; 3];
    for seed in 0..seeds {
        for (class, share) in shares(seed.into()).iter().enumerate() {
            sum[class] += share / f64::from(seeds);
        }
    }
    println!("{sum:.3?}");
    sum
}

/// At 45% of what the pool can do, nearly every job is in time: 1.00, 0.91 and 1.00 by class.
/// Long tasks miss their objective where their estimate was far too low.
#[test]
fn at_half_load_nearly_all_is_in_time() {
    let [short, long, pairs] = mean_shares(25);
    assert!(short > 0.97 && long > 0.85 && pairs > 0.97);
}

/// At 70%, about the users' ordinary load: 0.93, 0.84 and 0.99.
#[test]
fn at_ordinary_load_most_is_in_time() {
    let [short, long, pairs] = mean_shares(38);
    assert!(short > 0.87 && long > 0.80 && pairs > 0.94);
}

/// At 1.4 times what the pool can do, every class is served: 0.51, 0.32 and 0.86. With late jobs
/// behind all others, and judged by their callers' estimates alone, it was 0.47, 0.31 and 0.82; where
/// whatever had begun went first even when it was late already, 0.18, 0.32 and 0.52.
#[test]
fn overload_starves_no_class() {
    let [short, long, pairs] = mean_shares(76);
    assert!(short > 0.48 && long > 0.22 && pairs > 0.78);
}

/// Three orders in a hundred get no answer and are carried out seconds later. Callers of short jobs
/// hear too late, because each of eight tasks may wait for its order to be sent again: sent again
/// after 100 ms, and reports after 120, serves 0.63, 0.91 and 0.95 of the classes in time, after 40
/// and 50 ms it is 0.75, 0.92 and 0.98 (mean of ten seeds).
#[test]
fn orders_without_answers_are_sent_again_in_time() {
    let trouble = Trouble {
        applied_late: 0.03,
        until: Mono(60_000_000),
        ..Trouble::default()
    };
    let before = Load {
        trouble,
        ..Load::calm(25)
    };
    let after = Load {
        patience: Patience::OF_HOSTS,
        ..before
    };
    let [short_before, ..] = mean_of(10, |seed| shares_in_time(before, seed));
    let [short, long, pairs] = mean_of(10, |seed| shares_in_time(after, seed));
    assert!(short > short_before + 0.08);
    assert!(short > 0.68 && long > 0.87 && pairs > 0.94);
}

/// A burst of twice what the pool can do, from callers that wait for 2.5 s. Jobs that the others go
/// before all the time were held for three targets before they were refused: 0.47 of the long ones and
/// 0.13 of the pairs waited for over 900 ms in vain; now 0.08 and none.
#[test]
fn jobs_that_wait_in_vain_are_refused_soon() {
    let load = Load {
        patience: Patience::OF_HOSTS,
        deadline: Millis(2_500),
        ..Load::calm(110)
    };
    let [short, long, pairs] = mean_of(4, |seed| shares_held(load, Millis(900), seed));
    assert!(short < 0.02 && long < 0.20 && pairs < 0.02);
    let [short, _, pairs] = mean_of(4, |seed| shares_in_time(load, seed));
    assert!(short > 0.48 && pairs > 0.74);
}
