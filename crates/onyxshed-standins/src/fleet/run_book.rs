//! What runs on an executor of the users' platform: leases, fences, runs and ends.
//!
//! Time is handed in, so the same book serves a process on real time and a search on virtual time.

use std::collections::BTreeMap;

use onyxshed_core::{Micros, Mono, UnixMs};
use onyxshed_pool::{
    ExecutorLists, ExecutorReport, FinishedRun, HoldOrder, Percent, RefuseReason, Resources,
    RunEnd, RunNumber, RunningRun, StartAnswer, StartOrder, StopAnswer, StopOrder, TaskId,
};

/// Longest lease that an executor grants.
const LEASE_MAX_MS: u64 = 1_000;

/// One run at work.
#[derive(Debug, Clone, Copy)]
pub struct BookedRun {
    /// Which run of its task.
    pub number: RunNumber,
    /// What it takes.
    pub demand: Resources,
    /// How long it takes on an ordinary executor.
    work: Micros,
    /// How much of that was done at `counted_at`.
    done: Micros,
    /// When the work done was counted last.
    counted_at: Mono,
    /// Whether it stands still for ever.
    is_stuck: bool,
}

impl BookedRun {
    /// Gets the work done by a time, at a speed since it was counted last.
    fn done_at(&self, now: Mono, speed: f64) -> Micros {
        let since = scaled(now.since(self.counted_at), speed);
        Micros(self.done.0.saturating_add(since.0).min(self.work.0))
    }

    /// Gets the share of the work done by a time.
    fn percent_at(&self, now: Mono, speed: f64) -> Percent {
        match self.is_stuck {
            true => Percent::new(0),
            false => Percent::new(self.done_at(now, speed).0 * 100 / self.work.0.max(1)),
        }
    }
}

/// Stretches a span by a factor.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss
)]
fn scaled(span: Micros, factor: f64) -> Micros {
    Micros((span.0 as f64 * factor) as u64)
}

/// The executor.
#[derive(Debug)]
pub struct RunBook {
    /// Room when nothing runs.
    pub capacity: Resources,
    /// How many times faster than an ordinary executor it is.
    pub speed: f64,
    /// When this life of it began, as it says.
    pub born: u64,
    /// How far its clock is ahead, in milliseconds.
    pub ahead_ms: u64,
    /// By how many thousandths its clock is slow.
    pub slow_millis: u64,
    /// Whether it can be reached.
    pub is_up: bool,
    /// Whether all that it runs fails.
    pub fails_all: bool,
    /// Whether nothing that it starts ever ends.
    pub is_stuck: bool,
    /// Runs at work.
    pub runs: BTreeMap<TaskId, BookedRun>,
    token: u64,
    lease_end_ms: u64,
    barred: BTreeMap<TaskId, u32>,
    ends: Vec<FinishedRun>,
    last_end: u64,
}

impl RunBook {
    /// Makes an idle executor.
    pub fn new(capacity: Resources, speed: f64, ahead_ms: u64, slow_millis: u64) -> Self {
        RunBook {
            capacity,
            speed,
            born: 1,
            ahead_ms,
            slow_millis,
            is_up: true,
            fails_all: false,
            is_stuck: false,
            runs: BTreeMap::new(),
            token: 0,
            lease_end_ms: 0,
            barred: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
        }
    }

    /// Reads its clock.
    pub fn clock_ms(&self, now: Mono) -> u64 {
        let ms = now.0 / 1_000;
        self.ahead_ms + ms - ms * self.slow_millis / 1_000
    }

    /// Gets when the lease ends, in true time.
    pub fn lapses_at(&self) -> Mono {
        let ms = self.lease_end_ms.saturating_sub(self.ahead_ms);
        Mono((ms * 1_000 / (1_000 - self.slow_millis) + 1) * 1_000)
    }

    /// Tells whether the lease has ended.
    pub fn is_lapsed(&self, now: Mono) -> bool {
        self.clock_ms(now) >= self.lease_end_ms
    }

    fn renew(&mut self, now: Mono, end: UnixMs) {
        let most = self.clock_ms(now) + LEASE_MAX_MS;
        self.lease_end_ms = self.lease_end_ms.max(end.0.min(most));
    }

    /// Crashes and starts anew.
    pub fn restart(&mut self) {
        let born = self.born + 1;
        *self = RunBook {
            born,
            ..RunBook::new(self.capacity, self.speed, self.ahead_ms, self.slow_millis)
        };
    }

    fn free(&self) -> Resources {
        let mut free = self.capacity;
        for run in self.runs.values() {
            free -= run.demand;
        }
        free
    }

    /// Sets how fast it is from now on, also for what runs.
    pub fn set_speed(&mut self, now: Mono, speed: f64) {
        for run in self.runs.values_mut() {
            run.done = run.done_at(now, self.speed);
            run.counted_at = now;
        }
        self.speed = speed;
    }

    /// Gets when a run will have ended at the present speed; none where nothing ever ends.
    pub fn ends_at(&self, task: TaskId) -> Option<Mono> {
        let run = self.runs.get(&task)?;
        let left = Micros(run.work.0 - run.done.0);
        (!run.is_stuck).then(|| run.counted_at + scaled(left, 1.0 / self.speed))
    }

    /// Takes an order to start a task that takes some time on an ordinary executor; tells whether a run
    /// began by it.
    pub fn start(
        &mut self,
        now: Mono,
        order: &StartOrder,
        demand: Resources,
        work: Micros,
    ) -> (StartAnswer, bool) {
        let refused = |reason| (StartAnswer::Refused(reason), false);
        if order.token.0 < self.token {
            return refused(RefuseReason::Fenced);
        }
        self.token = order.token.0;
        if order.expires.0 <= self.clock_ms(now) {
            return refused(RefuseReason::Expired);
        }
        let barred = self.barred.get(&order.task).copied().unwrap_or(0);
        let held = self.runs.get(&order.task);
        if held.is_some_and(|run| run.number == order.run) {
            self.renew(now, order.expires);
            let clock = Some(UnixMs(self.clock_ms(now)));
            return (StartAnswer::Started { clock }, false);
        }
        self.renew(now, order.expires);
        if order.run.0 <= barred {
            return refused(RefuseReason::Ended);
        }
        if !self.free().can_fit(demand) {
            return refused(RefuseReason::NoRoom);
        }
        let run = BookedRun {
            number: order.run,
            demand,
            work,
            done: Micros(0),
            counted_at: now,
            is_stuck: self.is_stuck,
        };
        self.runs.insert(order.task, run);
        let clock = Some(UnixMs(self.clock_ms(now)));
        (StartAnswer::Started { clock }, true)
    }

    /// Takes an order to stop.
    pub fn stop(&mut self, order: &StopOrder) -> StopAnswer {
        if order.token.0 < self.token {
            return StopAnswer::Fenced;
        }
        self.token = order.token.0;
        let barred = self.barred.entry(order.task).or_default();
        *barred = (*barred).max(order.run.0);
        let is_there = self
            .runs
            .get(&order.task)
            .is_some_and(|run| run.number <= order.run);
        if is_there {
            self.end(order.task, RunEnd::Stopped);
        }
        StopAnswer::Accepted
    }

    /// Ends a run and lists its end.
    pub fn end(&mut self, task: TaskId, end: RunEnd) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        let barred = self.barred.entry(task).or_default();
        *barred = (*barred).max(run.number.0);
        self.last_end += 1;
        self.ends.push(FinishedRun {
            number: self.last_end,
            task,
            run: run.number,
            end,
        });
    }

    /// Ends everything, as when the lease has ended.
    pub fn lapse(&mut self) {
        let tasks: Vec<TaskId> = self.runs.keys().copied().collect();
        for task in tasks {
            self.end(task, RunEnd::Stopped);
        }
    }

    /// Takes a hold; an error holds the refusal.
    pub fn hold(&mut self, now: Mono, order: &HoldOrder) -> Result<(), ExecutorReport> {
        if order.token.0 < self.token {
            return Err(ExecutorReport::Fenced);
        }
        self.token = order.token.0;
        if let Some(end) = order.expires {
            self.renew(now, end);
        }
        self.ends.retain(|end| end.number > order.last_seen);
        Ok(())
    }

    /// Tells whether an end is listed.
    pub fn has_ends(&self) -> bool {
        !self.ends.is_empty()
    }

    /// Makes the report.
    pub fn report(&self, now: Mono) -> ExecutorReport {
        let running = self.runs.iter().map(|(task, run)| RunningRun {
            task: *task,
            run: run.number,
            progress: Some(run.percent_at(now, self.speed)),
        });
        ExecutorReport::Lists(ExecutorLists {
            clock: UnixMs(self.clock_ms(now)),
            started_at: Some(UnixMs(self.born)),
            running: running.collect(),
            finished: self.ends.clone(),
            listed_to: self.last_end,
        })
    }
}
