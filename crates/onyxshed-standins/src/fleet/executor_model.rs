//! The state of an executor of the users' platform: its lease, fencing token, runs and their ends.
//!
//! The caller passes the time, so that a process uses it on real time and a simulation on virtual time.

use std::collections::BTreeMap;

use onyxshed_core::{Micros, Mono, UnixMs};
use onyxshed_pool::{
    ExecutorLists, ExecutorReport, FencingToken, FinishedRun, HoldOrder, Percent, RefuseReason,
    Resources, RunEnd, RunNumber, RunningRun, StartAnswer, StartOrder, StopAnswer, StopOrder,
    TaskId,
};

/// The longest lease that an executor accepts, in milliseconds; longer ones are cut to it.
const LEASE_MAX_MS: u64 = 1_000;

/// One run in progress, whose work done is computed from the elapsed time and the speed.
#[derive(Debug, Clone, Copy)]
pub struct ActiveRun {
    /// The number of the run among those of its task.
    pub number: RunNumber,
    /// The fencing token of the owner that ordered the run.
    pub token: FencingToken,
    /// The resources that the run occupies.
    pub demand: Resources,
    /// The time that the run needs at speed 1.
    work: Micros,
    /// The part of `work` that was done at `updated_at`.
    work_done: Micros,
    /// The time when `work_done` was updated last.
    updated_at: Mono,
    /// Whether the run makes no progress and never ends.
    is_stuck: bool,
}

impl ActiveRun {
    /// Returns the work done at `now`, if the speed has been `speed` since `updated_at`.
    fn work_done_at(&self, now: Mono, speed: f64) -> Micros {
        let since = scaled(now.since(self.updated_at), speed);
        Micros(self.work_done.0.saturating_add(since.0).min(self.work.0))
    }

    /// Returns the percentage of the work that is done at `now`; 0 for a run that is stuck.
    fn percent_at(&self, now: Mono, speed: f64) -> Percent {
        match self.is_stuck {
            true => Percent::new(0),
            false => Percent::new(self.work_done_at(now, speed).0 * 100 / self.work.0.max(1)),
        }
    }
}

/// Multiplies a duration by a factor and rounds the result down.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss
)]
fn scaled(span: Micros, factor: f64) -> Micros {
    Micros((span.0 as f64 * factor) as u64)
}

/// The state of one executor.
#[derive(Debug)]
pub struct ExecutorModel {
    /// The resources of the executor, all of which are free when nothing runs.
    pub capacity: Resources,
    /// The factor by which the time that tasks take at speed 1 is divided.
    pub speed: f64,
    /// The start of this incarnation in milliseconds, as the executor reports it.
    pub started_at_ms: u64,
    /// The time by which the executor's clock is ahead, in milliseconds.
    pub ahead_ms: u64,
    /// The rate by which the executor's clock is slow, in thousandths.
    pub slow_millis: u64,
    /// Whether the executor can be reached; only simulations read and set it.
    pub is_up: bool,
    /// Whether every run fails; only simulations read and set it.
    pub fails_all: bool,
    /// Whether the runs that start while this is set make no progress and never end.
    pub is_stuck: bool,
    /// The runs in progress, by task.
    pub runs: BTreeMap<TaskId, ActiveRun>,
    /// The highest fencing token of the orders received; orders with a lower token are refused.
    token: u64,
    /// The end of the lease by the executor's clock.
    lease_end_ms: u64,
    /// The run number, by task, up to which no run is started any more, because that run has ended
    /// or was stopped.
    last_barred_runs: BTreeMap<TaskId, u32>,
    /// The ends of runs whose receipt the owner has not confirmed in a hold order.
    ends: Vec<FinishedRun>,
    /// The number of the newest end; ends are numbered from 1.
    last_end_number: u64,
}

impl ExecutorModel {
    /// Creates an idle executor that can be reached, has no fault and has received no orders.
    pub fn new(capacity: Resources, speed: f64, ahead_ms: u64, slow_millis: u64) -> Self {
        ExecutorModel {
            capacity,
            speed,
            started_at_ms: 1,
            ahead_ms,
            slow_millis,
            is_up: true,
            fails_all: false,
            is_stuck: false,
            runs: BTreeMap::new(),
            token: 0,
            lease_end_ms: 0,
            last_barred_runs: BTreeMap::new(),
            ends: Vec::new(),
            last_end_number: 0,
        }
    }

    /// Returns the time that the executor's clock shows at the true time `now`, in milliseconds.
    pub fn clock_ms(&self, now: Mono) -> u64 {
        let ms = now.0 / 1_000;
        self.ahead_ms + ms - ms * self.slow_millis / 1_000
    }

    /// Returns the true time, rounded up, at which the lease expires by the executor's clock.
    pub fn lease_expires_at(&self) -> Mono {
        let ms = self.lease_end_ms.saturating_sub(self.ahead_ms);
        Mono((ms * 1_000 / (1_000 - self.slow_millis) + 1) * 1_000)
    }

    /// Returns whether the lease has expired by the executor's clock.
    pub fn is_lease_expired(&self, now: Mono) -> bool {
        self.clock_ms(now) >= self.lease_end_ms
    }

    fn renew_lease(&mut self, now: Mono, end: UnixMs) {
        let latest_end_ms = self.clock_ms(now) + LEASE_MAX_MS;
        self.lease_end_ms = self.lease_end_ms.max(end.0.min(latest_end_ms));
    }

    /// Simulates a crash and a restart: runs, ends, fences and lease are lost, and `started_at_ms`
    /// increases by 1.
    pub fn restart(&mut self) {
        let started_at_ms = self.started_at_ms + 1;
        *self = ExecutorModel {
            started_at_ms,
            ..ExecutorModel::new(self.capacity, self.speed, self.ahead_ms, self.slow_millis)
        };
    }

    fn free_capacity(&self) -> Resources {
        let mut free = self.capacity;
        for run in self.runs.values() {
            free -= run.demand;
        }
        free
    }

    /// Sets the speed as of `now`, also for the rest of the runs in progress.
    pub fn set_speed(&mut self, now: Mono, speed: f64) {
        for run in self.runs.values_mut() {
            run.work_done = run.work_done_at(now, self.speed);
            run.updated_at = now;
        }
        self.speed = speed;
    }

    /// Returns the time at which a run ends at the present speed; `None` if the task has no run or the run
    /// never ends.
    pub fn ends_at(&self, task: TaskId) -> Option<Mono> {
        let run = self.runs.get(&task)?;
        let remaining = Micros(run.work.0 - run.work_done.0);
        (!run.is_stuck).then(|| run.updated_at + scaled(remaining, 1.0 / self.speed))
    }

    /// Handles an order to start a task that takes `work` at speed 1; returns the answer and whether a new
    /// run began.
    pub fn start(
        &mut self,
        now: Mono,
        order: &StartOrder,
        demand: Resources,
        work: Micros,
    ) -> (StartAnswer, bool) {
        let refuse = |reason| (StartAnswer::Refused(reason), false);
        if order.token.0 < self.token {
            return refuse(RefuseReason::Fenced);
        }
        self.token = order.token.0;
        if order.expires.0 <= self.clock_ms(now) {
            return refuse(RefuseReason::Expired);
        }
        let last_barred_run = self.last_barred_runs.get(&order.task).copied().unwrap_or(0);
        let running = self.runs.get(&order.task);
        if running.is_some_and(|run| run.number == order.run) {
            self.renew_lease(now, order.expires);
            let clock = Some(UnixMs(self.clock_ms(now)));
            return (StartAnswer::Started { clock }, false);
        }
        self.renew_lease(now, order.expires);
        if order.run.0 <= last_barred_run {
            return refuse(RefuseReason::Ended);
        }
        if !self.free_capacity().can_fit(demand) {
            return refuse(RefuseReason::NoRoom);
        }
        let run = ActiveRun {
            number: order.run,
            token: order.token,
            demand,
            work,
            work_done: Micros(0),
            updated_at: now,
            is_stuck: self.is_stuck,
        };
        self.runs.insert(order.task, run);
        let clock = Some(UnixMs(self.clock_ms(now)));
        (StartAnswer::Started { clock }, true)
    }

    /// Handles an order to stop a run; that run and earlier ones of its task are not started afterwards.
    pub fn stop(&mut self, order: &StopOrder) -> StopAnswer {
        if order.token.0 < self.token {
            return StopAnswer::Fenced;
        }
        self.token = order.token.0;
        let last_barred_run = self.last_barred_runs.entry(order.task).or_default();
        *last_barred_run = (*last_barred_run).max(order.run.0);
        let is_running = self
            .runs
            .get(&order.task)
            .is_some_and(|run| run.number <= order.run);
        if is_running {
            self.end(order.task, RunEnd::Stopped);
        }
        StopAnswer::Accepted
    }

    /// Removes the run of a task, if it has one, and adds the end to those that are reported to the
    /// owner.
    pub fn end(&mut self, task: TaskId, end: RunEnd) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        let last_barred_run = self.last_barred_runs.entry(task).or_default();
        *last_barred_run = (*last_barred_run).max(run.number.0);
        self.last_end_number += 1;
        self.ends.push(FinishedRun {
            number: self.last_end_number,
            task,
            run: run.number,
            end,
        });
    }

    /// Stops all runs, as an executor does when its lease has expired.
    pub fn stop_all_runs(&mut self) {
        let tasks: Vec<TaskId> = self.runs.keys().copied().collect();
        for task in tasks {
            self.end(task, RunEnd::Stopped);
        }
    }

    /// Handles a hold order: renews the lease and drops the ends that the owner has seen. The error is the
    /// report that refuses an order with an old fencing token.
    pub fn hold(&mut self, now: Mono, order: &HoldOrder) -> Result<(), ExecutorReport> {
        if order.token.0 < self.token {
            return Err(ExecutorReport::Fenced);
        }
        self.token = order.token.0;
        if let Some(end) = order.expires {
            self.renew_lease(now, end);
        }
        self.ends.retain(|end| end.number > order.last_seen);
        Ok(())
    }

    /// Returns whether the report has ends that the owner has not seen.
    pub fn has_ends(&self) -> bool {
        !self.ends.is_empty()
    }

    /// Returns a report of the runs in progress and of the ends that the owner has not seen.
    pub fn report(&self, now: Mono) -> ExecutorReport {
        let running = self.runs.iter().map(|(task, run)| RunningRun {
            task: *task,
            run: run.number,
            progress: Some(run.percent_at(now, self.speed)),
        });
        ExecutorReport::Lists(ExecutorLists {
            clock: UnixMs(self.clock_ms(now)),
            started_at: Some(UnixMs(self.started_at_ms)),
            running: running.collect(),
            finished: self.ends.clone(),
            listed_to: self.last_end_number,
        })
    }
}
