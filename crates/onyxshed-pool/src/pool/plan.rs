//! A pool's work played forward.
//!
//! The tasks that wait are laid, in the order in which they go, where each is expected to end first,
//! counting when the runs that are at work will make room. What the plan starts now is started; what
//! it can't end in time is known at once, and its caller can be told. Nothing of a plan outlives the event
//! that it was made for, but what was started by it.

use std::cmp::Reverse;

use onyxshed_core::{Micros, Mono};

use crate::executor::{Executor, Executors, Run};
use crate::id::{ExecutorId, TaskId};
use crate::job::Job;
use crate::room::Room;
use crate::speed::scaled;

/// Part of the time that a run has taken, as a divisor, that it goes on for at least. One that should
/// have ended by now would else seem to make room at once, and tasks would wait for it again and again
/// beside executors that have room.
const OVERDUE_DIVISOR: u64 = 8;

/// An executor as the plan sees it.
#[derive(Clone)]
struct Lane {
    id: ExecutorId,
    slowdown: f64,
    /// Room from `ready_at` on.
    free: Room,
    ready_at: Mono,
    /// Room that comes free, the next last.
    releases: Vec<(Mono, Room)>,
    /// Whether it gets one task and then no other, since runs failed there.
    is_on_trial: bool,
    is_closed: bool,
}

/// A lane that a job's tasks may go to.
struct Choice {
    lane: usize,
    /// What a task is expected to take there.
    expected: Micros,
    /// How many more tasks of the job may go there.
    places_left: usize,
    /// Whether one was laid there by this plan.
    is_taken: bool,
}

/// Where a task goes.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Placement {
    pub executor: ExecutorId,
    pub starts_at: Mono,
    pub ends_at: Mono,
    /// What it is expected to take there.
    pub expected: Micros,
}

/// Where the tasks of a job go.
#[derive(Debug, Default)]
pub(super) struct JobPlan {
    pub placements: Vec<(u16, Placement)>,
    /// Whether every task that waits has a place.
    pub is_whole: bool,
}

impl JobPlan {
    /// Gets when the last of the tasks ends.
    pub fn ends_at(&self) -> Option<Mono> {
        let ends = self
            .placements
            .iter()
            .map(|(_, placement)| placement.ends_at);
        self.is_whole.then(|| ends.max()).flatten()
    }
}

/// The pool's executors over the time to come.
pub(super) struct Plan {
    now: Mono,
    lanes: Vec<Lane>,
    /// What the lanes were before the last job was laid.
    before: Vec<(usize, Lane)>,
}

impl Lane {
    /// Gets when the lane has room for a demand; none where it never has.
    fn room_at(&self, demand: Room) -> Option<Mono> {
        if self.is_closed {
            return None;
        }
        let mut free = self.free;
        if free.holds(demand) {
            return Some(self.ready_at);
        }
        for (at, room) in self.releases.iter().rev() {
            free += *room;
            if free.holds(demand) {
                return Some(self.ready_at.max(*at));
            }
        }
        None
    }

    /// Takes room from a time on, until another.
    fn take(&mut self, demand: Room, starts_at: Mono, ends_at: Mono) {
        while let Some((at, room)) = self.releases.last().copied()
            && at <= starts_at
        {
            self.free += room;
            self.releases.pop();
        }
        self.is_closed = self.is_on_trial;
        self.ready_at = self.ready_at.max(starts_at);
        self.free -= demand;
        let place = self.releases.partition_point(|(at, _)| *at > ends_at);
        self.releases.insert(place, (ends_at, demand));
    }
}

impl Plan {
    /// Begins with what runs now.
    pub fn new<'a>(
        now: Mono,
        executors: impl Iterator<Item = (&'a ExecutorId, &'a Executor)>,
        ends_of: impl Fn(&TaskId) -> Option<Mono>,
    ) -> Self {
        let lanes = executors.map(|(id, executor)| {
            let release = |(task, run): (&TaskId, &Run)| {
                let ends_at = ends_of(task).unwrap_or(run.ordered_at + run.expected);
                (room_from(now, run, ends_at), run.demand)
            };
            let mut releases: Vec<(Mono, Room)> = executor.runs.iter().map(release).collect();
            releases.sort_by_key(|(at, _)| Reverse(*at));
            Lane {
                id: id.clone(),
                slowdown: executor.slowdown.factor(now),
                free: executor.free,
                ready_at: now,
                releases,
                is_on_trial: executor.health.strikes > 0,
                is_closed: false,
            }
        });
        Plan {
            now,
            lanes: lanes.collect(),
            before: Vec::new(),
        }
    }

    /// Lays a job's waiting tasks, each where it is expected to end first; those that find no place are
    /// left out. `fit` tells how many times longer the tasks take on an executor, none where they may
    /// not run.
    pub fn lay(
        &mut self,
        job: &Job,
        executors: &Executors,
        fit: impl Fn(&Executor) -> Option<f64>,
    ) -> JobPlan {
        self.before.clear();
        let mut choices = self.choices(job, executors, fit);
        let mut plan = JobPlan {
            placements: Vec::new(),
            is_whole: true,
        };
        for index in job.waiting_tasks() {
            let failed_on = &job.tasks[usize::from(index)].failed_on;
            match self.best_of(job.request.demand, &choices, failed_on) {
                Some(best) => {
                    let placement = self.take(job.request.demand, &mut choices[best]);
                    plan.placements.push((index, placement));
                }
                None => plan.is_whole = false,
            }
        }
        plan
    }

    /// Gets the lanes that a job's tasks may go to.
    fn choices(
        &self,
        job: &Job,
        executors: &Executors,
        fit: impl Fn(&Executor) -> Option<f64>,
    ) -> Vec<Choice> {
        let most = job.request.per_executor_max.map_or(usize::MAX, usize::from);
        let choice = |(number, lane): (usize, &Lane)| {
            let executor = executors.get(&lane.id)?;
            Some(Choice {
                lane: number,
                expected: scaled(job.estimate(), lane.slowdown * fit(executor)?),
                places_left: most.saturating_sub(executor.tasks_of(job.request.job)),
                is_taken: false,
            })
        };
        self.lanes.iter().enumerate().filter_map(choice).collect()
    }

    /// Gets the choice on which a task is expected to end first, among equals the one with the least room
    /// left over.
    ///
    /// The wait for room counts twice: runs end later than expected as often as sooner, and a task that
    /// waits for one such run could have been at work elsewhere.
    fn best_of(&self, demand: Room, choices: &[Choice], failed_on: &[ExecutorId]) -> Option<usize> {
        let open = choices.iter().enumerate().filter(|(_, choice)| {
            choice.places_left > 0 && !failed_on.contains(&self.lanes[choice.lane].id)
        });
        let scored = open.filter_map(|(number, choice)| {
            let lane = &self.lanes[choice.lane];
            let starts_at = lane.room_at(demand)?;
            let doubt = starts_at.since(self.now);
            let room_left = lane.free.without(demand).cpu_millis;
            Some(((starts_at + choice.expected + doubt, room_left), number))
        });
        scored.min().map(|(_, number)| number)
    }

    fn take(&mut self, demand: Room, choice: &mut Choice) -> Placement {
        if !choice.is_taken {
            let lane = self.lanes[choice.lane].clone();
            self.before.push((choice.lane, lane));
        }
        choice.is_taken = true;
        choice.places_left -= 1;
        let lane = &mut self.lanes[choice.lane];
        let starts_at = lane.room_at(demand).unwrap_or(self.now);
        let ends_at = starts_at + choice.expected;
        lane.take(demand, starts_at, ends_at);
        Placement {
            executor: lane.id.clone(),
            starts_at,
            ends_at,
            expected: choice.expected,
        }
    }

    /// Takes back the job that was laid last.
    pub fn take_back(&mut self) {
        for (number, lane) in self.before.drain(..) {
            self.lanes[number] = lane;
        }
    }

    /// Tells whether a placement begins now.
    pub fn begins_now(&self, placement: &Placement) -> bool {
        placement.starts_at <= self.now
    }
}

/// Gets when a run makes room that was expected to end at a time.
fn room_from(now: Mono, run: &Run, ends_at: Mono) -> Mono {
    let spent = now.since(run.ordered_at);
    ends_at.max(now + Micros(spent.0 / OVERDUE_DIVISOR))
}
