//! Plays a load on one pool in virtual time and sums up what callers got, class by class.
//!
//! The pool is one zone of the users' smaller deployments: 16 executors of three speeds and two
//! sizes. The classes are theirs: many short tasks, a few long ones, pairs of middling ones, with
//! estimates off by half either way.

use onyxshed_core::{Millis, Mono};
use onyxshed_pool::{JobEnd, JobRequest, PolicySwitches, Room};
use onyxshed_standins::fleet::RunBook;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::fixture::{job, room};
use crate::world::{Call, Fault, Patience, Trouble, World};

/// Jobs begin here, when every executor has been taken over.
const BEGIN_MS: u64 = 2_000;

/// How long jobs come.
const LENGTH_MS: u64 = 12_000;

struct Class {
    share: f64,
    tasks: u64,
    work_ms: u64,
}

const CLASSES: [Class; 3] = [
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

fn executors() -> Vec<RunBook> {
    (0..16)
        .map(|index| {
            let capacity = Room {
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
fn some_job(rng: &mut SmallRng, number: u64) -> (usize, JobRequest, Vec<u64>) {
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
        class: ["short", "long", "pairs"][class].into(),
        ..job(number, tasks, (mean_ms * spread(rng)) as u64 + 1)
    };
    (class, request, true_ms)
}

/// Some executors turn slow for a while.
#[derive(Debug, Clone, Copy)]
pub struct SlowSpell {
    /// Every so many executors, one.
    pub one_in: usize,
    /// How many times longer everything takes there.
    pub factor: f64,
    /// When it begins, from the first job on.
    pub from: Millis,
    /// How long it lasts.
    pub lasts: Millis,
}

/// What is played.
#[derive(Debug, Clone)]
pub struct Load {
    pub jobs_per_s: u64,
    pub trouble: Trouble,
    pub patience: Patience,
    /// How long callers wait.
    pub deadline: Millis,
    pub slow: Option<SlowSpell>,
    pub policy: PolicySwitches,
}

impl Load {
    /// Jobs whose callers wait for long, with nothing wrong.
    pub fn calm(jobs_per_s: u64) -> Self {
        Load {
            jobs_per_s,
            trouble: Trouble::default(),
            patience: Patience::LONG,
            deadline: Millis(8_000),
            slow: None,
            policy: PolicySwitches::default(),
        }
    }

    /// Jobs as hosts of the users' deployments get them: callers wait for 2.5 s.
    pub fn of_hosts(jobs_per_s: u64) -> Self {
        Load {
            patience: Patience::OF_HOSTS,
            deadline: Millis(2_500),
            ..Load::calm(jobs_per_s)
        }
    }
}

/// Plays a load to its end.
pub fn played(load: &Load, seed: u64) -> World {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut world = World::with_policy(seed, executors(), 2, load.policy.clone());
    world.trouble = load.trouble;
    world.patience = load.patience;
    for number in 0..load.jobs_per_s * LENGTH_MS / 1_000 {
        let at_ms = BEGIN_MS + rng.random_range(0..LENGTH_MS);
        let (class, mut request, true_ms) = some_job(&mut rng, number);
        request.time_left = load.deadline;
        world.plan_call(Mono(at_ms * 1_000), class, request, true_ms);
    }
    if let Some(slow) = load.slow {
        plan_slow_spell(&mut world, slow);
    }
    world.play(Mono((BEGIN_MS + LENGTH_MS + 20_000) * 1_000));
    world.check_answers();
    world
}

fn plan_slow_spell(world: &mut World, slow: SlowSpell) {
    let begins_at = Mono((BEGIN_MS + slow.from.0) * 1_000);
    let chosen: Vec<_> = world
        .executors
        .iter()
        .step_by(slow.one_in)
        .map(|(id, executor)| (id.clone(), executor.speed))
        .collect();
    for (id, speed) in chosen {
        let slowed = Fault::SetSpeed(id.clone(), speed / slow.factor);
        world.plan(begins_at, slowed);
        world.plan(begins_at + slow.lasts, Fault::SetSpeed(id, speed));
    }
}

/// What callers of one class got.
#[derive(Debug, Clone, Copy, Default)]
pub struct Served {
    pub asked: u32,
    /// Whole within the objective.
    pub in_time: u32,
    /// Whole within three objectives.
    pub late: u32,
    /// Whole after that.
    pub too_late: u32,
    /// Not run, and told so.
    pub refused: u32,
    /// Told so after more than half of the objective.
    pub refused_late: u32,
    /// Anything else.
    pub lost: u32,
}

impl Served {
    /// Gets the share of jobs served, those served late for a fifth.
    pub fn share(&self) -> f64 {
        (f64::from(self.in_time) + 0.2 * f64::from(self.late)) / f64::from(self.asked.max(1))
    }

    /// Adds what others got.
    pub fn add(&mut self, other: &Served) {
        self.asked += other.asked;
        self.in_time += other.in_time;
        self.late += other.late;
        self.too_late += other.too_late;
        self.refused += other.refused;
        self.refused_late += other.refused_late;
        self.lost += other.lost;
    }
}

/// Sums up what callers of each class got, of the jobs sent within a span from the first on.
pub fn served(world: &World, from: Millis, until: Millis) -> [Served; 3] {
    let mut classes = [Served::default(); 3];
    let span = (BEGIN_MS + from.0) * 1_000..(BEGIN_MS + until.0) * 1_000;
    for call in world.calls.values() {
        if !span.contains(&call.sent_first.0) {
            continue;
        }
        let objective_ms = objective_ms(call);
        let class = &mut classes[call.class];
        class.asked += 1;
        let Some((at, end)) = call.ended else {
            continue;
        };
        let took_ms = at.since(call.sent_first).as_millis().0;
        match end {
            JobEnd::Completed if took_ms <= objective_ms => class.in_time += 1,
            JobEnd::Completed if took_ms <= 3 * objective_ms => class.late += 1,
            JobEnd::Completed => class.too_late += 1,
            JobEnd::NotRun(..) => {
                class.refused += 1;
                class.refused_late += u32::from(took_ms > objective_ms / 2);
            }
            JobEnd::Failed | JobEnd::Unknown(_) => class.lost += 1,
        }
    }
    classes
}

/// Gets the time within which a job should end, by the true times of its tasks.
pub fn objective_ms(call: &Call) -> u64 {
    let longest_ms = call.true_ms.iter().max().copied().unwrap_or_default();
    longest_ms * 16 / 10 + 60
}

/// Sums up some seeds of a load, of the jobs sent within a span.
pub fn served_in(load: &Load, seeds: u64, from: Millis, until: Millis) -> [Served; 3] {
    let mut sum = [Served::default(); 3];
    for seed in 0..seeds {
        let world = played(load, seed);
        for (sum, one) in sum.iter_mut().zip(served(&world, from, until)) {
            sum.add(&one);
        }
    }
    println!("{sum:?}");
    sum
}
