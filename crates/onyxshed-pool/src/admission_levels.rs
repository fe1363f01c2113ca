//! Levels of admission that a pool's owner learns: by class, the share of arriving jobs that it admits.
//!
//! Load answered: far more requests than the pool has room for, each of which would cost the owner a call.
//!
//! Entry hosts apply the levels where requests arrive ([`crate::LevelTable`]), so the owner sees only a
//! part of what is offered. The level is the share of what is offered for which the class has room, and a
//! quarter more: jobs arrive at random, and the owner has to have a choice. Where the class's room is not
//! known, the share that was admitted takes its place. An arriving job counts as the inverse of the share
//! that entry hosts let through, which the owner's host knows as an entry host itself. Steps of 100 ms with a refusal for want of room set a level, steps
//! without one raise it by a tenth of everything. A class for whose jobs executors have free room has no
//! level.

use std::collections::BTreeMap;

use onyxshed_core::{Millis, Mono, Share};

use crate::id::ClassId;
use crate::overload::ClassAdmission;
use crate::resources::Resources;

/// Time between two changes of a level: entry hosts whose jobs are refused learn of it within a few
/// milliseconds.
const STEP: Millis = Millis(100);

/// Number of steps over which a level is learned.
const STEPS: usize = 3;

/// Amount by which a level rises in a step without a refusal, in thousandths: everything is admitted a
/// second after the last refusal.
const RISE_MILLIS: u64 = 100;

/// Factor on the share that was admitted, in thousandths, where the class's room is not known.
const HEADROOM_MILLIS: u64 = 1_250;

/// Factor on the room of a class, in thousandths: the owner needs a choice of jobs that fit its places.
const ROOM_HEADROOM_MILLIS: u64 = 1_250;

/// Number of jobs that were offered within the window below which no level is lowered; fewer refusals
/// than that cost an owner little.
const OFFERED_MIN: u64 = 5;

/// Time without an arrival after which a class is forgotten.
const FORGET_AFTER: Millis = Millis(10_000);

/// What became of a job that arrived at the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// The job was admitted.
    Admitted,
    /// The job was refused for want of room.
    Refused,
}

/// Least share of a class's requests that entry hosts let through, so that a level can rise again.
pub(crate) const LET_THROUGH_MIN: Share = Share::from_millis(20);

/// Jobs that arrived within one step.
#[derive(Debug, Clone, Copy, Default)]
struct Step {
    /// Jobs offered at entry hosts, estimated from arrivals, in thousandths of a job.
    offered_millis: u64,
    arrived: u64,
    refused: u64,
}

/// Level of one class and the measures behind it.
#[derive(Debug)]
struct ClassLevel {
    admitted: Share,
    /// Share that entry hosts let through.
    applied: Share,
    /// The newest steps; the first is the current one.
    steps: [Step; STEPS],
    /// Demand of a task and number of tasks of the last arrived job.
    demand: Resources,
    tasks: u16,
    /// Whether executors have free room for such a job.
    has_room: bool,
    last_arrival_at: Mono,
}

impl ClassLevel {
    fn new(now: Mono) -> Self {
        ClassLevel {
            admitted: Share::ALL,
            applied: Share::ALL,
            steps: [Step::default(); STEPS],
            demand: Resources::default(),
            tasks: 1,
            has_room: false,
            last_arrival_at: now,
        }
    }

    /// `room_share` is the share of the arriving work for which the class has room, if it is known.
    fn end_step(&mut self, room_share: Option<Share>) {
        self.admitted = match (self.steps[0].refused, room_share) {
            (0, _) => Share::from_millis(u64::from(self.admitted.millis()) + RISE_MILLIS),
            (_, Some(room_share)) => self.by_room(room_share),
            (_, None) => self.measured(),
        };
        self.steps.rotate_right(1);
        self.steps[0] = Step::default();
    }

    /// Returns the level at which a quarter more work arrives than the class has room for.
    ///
    /// By what was admitted, a level would fall until hardly anything is refused: a pool with few places
    /// refuses many jobs of several tasks at any load.
    fn by_room(&self, room_share: Share) -> Share {
        let applied_millis = u64::from(self.applied.max(LET_THROUGH_MIN).millis());
        let room_millis = u64::from(room_share.millis());
        Share::from_millis(applied_millis * room_millis * ROOM_HEADROOM_MILLIS / 1_000_000)
    }

    /// Returns the level by what was admitted of what was offered.
    fn measured(&self) -> Share {
        let sum = |value: fn(&Step) -> u64| self.steps.iter().map(value).sum::<u64>();
        let offered_millis = sum(|step| step.offered_millis);
        if offered_millis < OFFERED_MIN * 1_000 {
            return self.admitted;
        }
        let admitted = sum(|step| step.arrived).saturating_sub(sum(|step| step.refused));
        Share::of(admitted * HEADROOM_MILLIS, offered_millis)
    }
}

/// Levels of all classes of a pool.
#[derive(Debug, Default)]
pub struct ClassLevels {
    classes: BTreeMap<ClassId, ClassLevel>,
    step_began_at: Mono,
}

impl ClassLevels {
    /// Records an arriving job of a class with `tasks` tasks that need `demand` each.
    pub fn record_arrival(
        &mut self,
        now: Mono,
        class: &ClassId,
        (tasks, demand): (u16, Resources),
        arrival: Arrival,
    ) {
        if !self.classes.contains_key(class) {
            self.classes.insert(class.clone(), ClassLevel::new(now));
        }
        let Some(level) = self.classes.get_mut(class) else {
            return;
        };
        let applied_millis = u64::from(level.applied.max(LET_THROUGH_MIN).millis());
        let step = &mut level.steps[0];
        step.arrived += 1;
        step.offered_millis += 1_000_000 / applied_millis;
        step.refused += u64::from(arrival == Arrival::Refused);
        (level.tasks, level.demand) = (tasks, demand);
        level.last_arrival_at = now;
    }

    /// Records that an admitted job of a class was refused for want of room before any of its tasks
    /// ran.
    pub fn record_shed(&mut self, class: &ClassId) {
        if let Some(level) = self.classes.get_mut(class) {
            level.steps[0].refused += 1;
        }
    }

    /// Sets the share of each class that entry hosts let through.
    pub fn set_applied(&mut self, applied: impl Fn(&ClassId) -> Share) {
        for (class, level) in &mut self.classes {
            level.applied = applied(class);
        }
    }

    /// Updates the levels. `is_overloaded` tells whether the pool is overloaded; if it is not, everything
    /// is admitted. `has_room` tells whether executors have free room for a job of the given number
    /// of tasks and demand, `room_share` the share of a class's arriving work for which it has room, if that
    /// is known. The owner calls this at each tick.
    pub fn update(
        &mut self,
        now: Mono,
        is_overloaded: bool,
        has_room: impl Fn(u16, Resources) -> bool,
        room_share: impl Fn(&ClassId) -> Option<Share>,
    ) {
        let is_step_over = now.since(self.step_began_at) >= STEP.into();
        if is_step_over {
            self.step_began_at = now;
            let is_known =
                |level: &ClassLevel| now.since(level.last_arrival_at) < FORGET_AFTER.into();
            self.classes.retain(|_, level| is_known(level));
        }
        for (class, level) in &mut self.classes {
            if is_step_over {
                level.end_step(room_share(class));
            }
            if !is_overloaded {
                level.admitted = Share::ALL;
            }
            level.has_room = level.admitted < Share::ALL && has_room(level.tasks, level.demand);
        }
    }

    /// Returns the classes of which less than everything is admitted and for whose jobs there is no free
    /// room, in the order of their names. `wait` is the expected wait of an admitted job.
    pub fn admissions(&self, wait: Millis) -> Vec<ClassAdmission> {
        let limited = self
            .classes
            .iter()
            .filter(|(_, level)| level.admitted < Share::ALL && !level.has_room);
        limited
            .map(|(class, level)| ClassAdmission {
                class: class.clone(),
                admitted: level.admitted,
                wait,
            })
            .collect()
    }
}
