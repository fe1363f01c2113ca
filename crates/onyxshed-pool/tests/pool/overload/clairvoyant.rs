//! A list scheduler that knows the true run times, and the jobs that it ends in time.
//!
//! At each step it goes through the waiting jobs in an order, and lays the tasks of a job where they
//! end in time: on places that are free or will be. A job without such places for all of its tasks
//! waits, and is refused when it can't be in time any more.

use std::collections::{BTreeMap, BTreeSet};

use onyxshed_core::{Micros, Mono};
use onyxshed_pool::JobId;
use onyxshed_standins::fleet::ExecutorModel;

use super::{TASK_CORES, target, usable_cores, work};
use crate::simulation::Call;

const STEP: Micros = Micros(5_000);

/// The order in which waiting jobs are considered.
#[derive(Debug, Clone, Copy)]
pub enum Order {
    LeastWork,
    EarliestDeadline,
    /// The class of which least work was begun first, then arrival.
    EqualParts,
}

/// A place for one task at a time.
#[derive(Debug, Clone)]
struct Place {
    speed: f64,
    free_at: Mono,
}

/// Returns the jobs that end in time.
pub fn served(
    order: Order,
    executors: &[ExecutorModel],
    calls: &BTreeMap<JobId, Call>,
) -> BTreeSet<JobId> {
    let mut places: Vec<Place> = Vec::new();
    for executor in executors {
        let count = usable_cores(executor) / TASK_CORES;
        places.extend((0..count).map(|_| Place {
            speed: executor.speed,
            free_at: Mono(0),
        }));
    }
    // The slowest place that ends a task in time is taken.
    places.sort_by(|one, other| one.speed.total_cmp(&other.speed));
    let mut arriving: Vec<&Call> = calls.values().collect();
    arriving.sort_by_key(|call| call.first_sent_at);
    let mut arriving = arriving.into_iter().peekable();
    let mut waiting: Vec<&Call> = Vec::new();
    let mut begun = [0_u64; 3];
    let mut served = BTreeSet::new();
    let mut now = Mono(0);
    while arriving.peek().is_some() || !waiting.is_empty() {
        while let Some(call) = arriving.next_if(|call| call.first_sent_at <= now) {
            waiting.push(call);
        }
        waiting.retain(|call| !is_hopeless(now, call, &places));
        waiting.sort_by_key(|call| match order {
            Order::LeastWork => work(call),
            Order::EarliestDeadline => deadline(call).0,
            Order::EqualParts => call.first_sent_at.0,
        });
        loop {
            if places.iter().all(|place| place.free_at > now) {
                break;
            }
            if let Order::EqualParts = order {
                waiting.sort_by_key(|call| (begun[call.class], call.first_sent_at));
            }
            let found = waiting
                .iter()
                .position(|call| try_begin(now, call, &mut places));
            let Some(position) = found else {
                break;
            };
            let call = waiting.remove(position);
            begun[call.class] += work(call);
            served.insert(call.request.job);
        }
        now = now + STEP;
    }
    served
}

fn deadline(call: &Call) -> Mono {
    call.first_sent_at + target(call)
}

fn scaled(true_ms: u64, speed: f64) -> Micros {
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    Micros((true_ms as f64 * 1_000.0 / speed) as u64)
}

fn is_hopeless(now: Mono, call: &Call, places: &[Place]) -> bool {
    let fastest = places.last().map_or(1.0, |place| place.speed);
    let longest = call.true_ms.iter().max().copied().unwrap_or_default();
    now + scaled(longest, fastest) > deadline(call)
}

/// Lays the tasks of a job, longest first, and returns whether each has a place in time.
fn try_begin(now: Mono, call: &Call, places: &mut [Place]) -> bool {
    let mut tasks = call.true_ms.clone();
    tasks.sort_unstable_by(|one, other| other.cmp(one));
    let mut taken: Vec<(usize, Mono)> = Vec::new();
    for true_ms in tasks {
        let found = places.iter().enumerate().find_map(|(index, place)| {
            let ends_at = place.free_at.max(now) + scaled(true_ms, place.speed);
            let is_free = !taken.iter().any(|(other, _)| *other == index);
            (is_free && ends_at <= deadline(call)).then_some((index, ends_at))
        });
        let Some(found) = found else {
            return false;
        };
        taken.push(found);
    }
    for (index, ends_at) in taken {
        places[index].free_at = ends_at;
    }
    true
}
