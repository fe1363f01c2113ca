//! The state of overload of the pool and the levels of admission, evaluated at each tick.

use onyxshed_core::{Micros, Millis, Mono, Share};

use super::Pool;
use super::evacuation::ZoneStatus;
use super::place::Feasibility;
use crate::admission_levels::Arrival;
use crate::executor::Run;
use crate::id::{ClassId, JobId};
use crate::job::{Job, JobEnd, JobRequest, NotRunReason};
use crate::message::Decision;
use crate::overload::{ClassAdmission, OverloadMode, OverloadState};
use crate::overload_detector::{JobWait, LoadSample, OverloadChange, TICK_PERIOD};
use crate::resources::Resources;
use crate::speed::as_f64;

impl Pool {
    /// Returns the state of overload by which the pool decides: always [`OverloadState::Normal`] unless
    /// [`crate::PoolOptions::overload`] is [`OverloadMode::On`].
    pub fn overload_state(&self) -> OverloadState {
        self.overload_state
    }

    /// Returns the state of overload that was detected, which has no effect in
    /// [`OverloadMode::Shadow`].
    pub fn detected_overload(&self) -> OverloadState {
        self.overload_detector.state()
    }

    /// Returns whether a job is queued or has runs here, which may still be executing.
    pub fn has_job(&self, job: JobId) -> bool {
        self.jobs.contains_key(&job) || self.has_runs_of(job)
    }

    /// Sets the share of each class's requests that entry hosts let through.
    pub fn set_let_through(&mut self, let_through: impl Fn(&ClassId) -> Share) {
        self.class_levels.set_applied(let_through);
    }

    /// Measures the load at a tick that comes `since_last_tick` after the one before, and enters the
    /// state that it shows.
    pub(super) fn observe_load(&mut self, now: Mono, since_last_tick: Micros) {
        if self.options.overload == OverloadMode::Off {
            return;
        }
        let sample = self.load_sample(now, since_last_tick);
        self.tick_lateness = sample.tick_lateness;
        if let Some(change) = self.overload_detector.observe(now, &sample) {
            self.apply_change(now, change);
        }
        self.update_levels(now);
    }

    fn apply_change(&mut self, now: Mono, change: OverloadChange) {
        self.log(Decision::OverloadChanged {
            from: change.from,
            to: change.to,
            sample: change.sample,
        });
        if self.options.overload == OverloadMode::On {
            self.set_overload_state(now, change.to);
        }
    }

    /// Returns how long a run took, without the time by which this host's own events are late.
    ///
    /// Otherwise executors would seem slow whenever the host lacks processor time, and an owner that has
    /// fallen behind would refuse what the executors could run.
    pub(super) fn run_time(&self, now: Mono, run: &Run) -> Micros {
        let took = now.since(run.ordered_at);
        let late = self.tick_lateness.min(Micros(took.0 / 2));
        Micros(took.0 - late.0)
    }

    fn load_sample(&self, now: Mono, since_last_tick: Micros) -> LoadSample {
        let (room_cpu_millis, free_cpu_millis) = self.usable_room(now);
        let mut sample = LoadSample {
            offered_cpu_millis: self.offered_load.cpu_millis(now),
            room_cpu_millis,
            free_cpu_millis,
            tick_lateness: Micros(
                since_last_tick
                    .0
                    .saturating_sub(Micros::from(TICK_PERIOD).0),
            ),
            ..LoadSample::default()
        };
        for job in self.jobs.values() {
            let slack = self.slack_of(job);
            sample.least_slack = Some(sample.least_slack.map_or(slack, |least| least.min(slack)));
            if !job.has_started && self.feasibility(now, job) == Feasibility::OnTarget {
                let wait = JobWait {
                    waited: now.since(job.arrived_at),
                    slack,
                };
                sample.longest_wait = Some(match sample.longest_wait {
                    Some(other) if other.used_millis() >= wait.used_millis() => other,
                    _ => wait,
                });
            }
        }
        sample
    }

    /// Returns the time that a job can wait from its arrival without missing its target.
    fn slack_of(&self, job: &Job) -> Micros {
        let run_time_us = job.estimate().0 + Micros::from(self.options.transit_ms).0;
        Micros(job.target().0.saturating_sub(run_time_us))
    }

    /// Returns the capacity of the usable executors at the speeds seen, and the part of it on which no
    /// run was ordered, in thousandths of a core.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn usable_room(&self, now: Mono) -> (u64, u64) {
        if self.zone_status != ZoneStatus::InService {
            return (0, 0);
        }
        let (mut room, mut free) = (0.0, 0.0);
        for executor in self.executors.values() {
            let factor = executor.slowdown.factor(now);
            if executor.is_usable(now, &self.options) {
                room += as_f64(executor.facts.capacity.cpu_millis.into()) / factor;
            }
            if executor.can_accept_tasks(now, &self.options) {
                free += as_f64(executor.free.cpu_millis.into()) / factor;
            }
        }
        (room as u64, free as u64)
    }

    /// Records a job that was admitted, or refused for want of room, in the levels of admission.
    pub(super) fn record_arrival(
        &mut self,
        now: Mono,
        request: &JobRequest,
        rejection: Option<&JobEnd>,
    ) {
        let arrival = match rejection {
            None => Arrival::Admitted,
            Some(end) if is_for_want_of_room(end) => Arrival::Refused,
            Some(_) => return,
        };
        if self.options.overload == OverloadMode::On {
            let size = (request.tasks, request.demand);
            self.class_levels
                .record_arrival(now, &request.class, size, arrival);
        }
    }

    /// Records the end of an admitted job in the levels of admission, if it was refused for want of room.
    pub(super) fn record_shed(&mut self, class: &ClassId, end: &JobEnd) {
        if is_for_want_of_room(end) {
            self.class_levels.record_shed(class);
        }
    }

    /// Returns what the pool admits of its classes; empty unless jobs are planned. Without plan, the queue is
    /// ordered by work, and of fewer jobs it would choose worse ones.
    pub(super) fn admissions(&self, wait: Millis) -> Vec<ClassAdmission> {
        match self.is_overloaded() {
            true => self.class_levels.admissions(wait),
            false => Vec::new(),
        }
    }

    /// Returns the number of the next load report; 0 if overload is not evaluated.
    pub(super) fn next_report_version(&self) -> u64 {
        if self.options.overload != OverloadMode::Off {
            self.report_version.set(self.report_version.get() + 1);
        }
        self.report_version.get()
    }

    fn update_levels(&mut self, now: Mono) {
        let is_overloaded = self.is_overloaded();
        let mut levels = std::mem::take(&mut self.class_levels);
        levels.update(
            now,
            is_overloaded,
            |tasks, demand| self.has_free_room(now, tasks, demand),
            |class| self.class_shares.room_share(now, class),
        );
        self.class_levels = levels;
    }

    /// Returns whether the executors that accept tasks have free room for `tasks` tasks.
    fn has_free_room(&self, now: Mono, tasks: u16, demand: Resources) -> bool {
        let accepting = self
            .executors
            .values()
            .filter(|executor| executor.can_accept_tasks(now, &self.options));
        let places: u32 = accepting
            .map(|executor| executor.free.count_of(demand))
            .fold(0, u32::saturating_add);
        places >= u32::from(tasks)
    }
}

/// Returns whether a job was refused because executors lack room for its class.
fn is_for_want_of_room(end: &JobEnd) -> bool {
    matches!(end, JobEnd::NotRun(reason, _)
        if reason.is_want_of_room() && *reason != NotRunReason::CallerShare)
}
