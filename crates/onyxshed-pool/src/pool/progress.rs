//! How far runs are, and which of them begin anew elsewhere.
//!
//! Answers executors that turn slow: the end of a run tells of it only when its job is late. An
//! executor's report tells how much of each run is done, so that the executor is known to be slow
//! while the run is at work. Such a run is stopped if a fresh run elsewhere serves the caller better;
//! its task waits again once the executor lists the run as ended.

use onyxshed_core::{Micros, Millis, Mono};

use super::Pool;
use crate::executor::{Run, RunState};
use crate::id::{ExecutorId, Percent, RunNumber, TaskId};
use crate::message::{Decision, RunningRun};

/// Shortest time at work after which a run's progress says anything: executors round it down.
const PROGRESS_AFTER: Micros = Micros(40_000);

/// Times that a task may be moved off a slow executor.
const MOVES_MAX: u32 = 2;

/// Time until a run that is stopped is known to have ended.
const MOVE_TIME: Millis = Millis(60);

/// A run at work, and the earliest time at which it ends.
struct Forecast {
    task: TaskId,
    run: RunNumber,
    ends_at: Mono,
}

impl Pool {
    /// Takes in how far an executor's runs are, and moves those that end too late there.
    pub(super) fn observe_progress(&mut self, now: Mono, id: &ExecutorId, running: &[RunningRun]) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        let mut forecasts = Vec::new();
        for row in running {
            let Some(run) = executor.runs.get(&row.task) else {
                continue;
            };
            let least = row.progress.and_then(|done| least_run_time(now, run, done));
            let Some(least) = least.filter(|_| is_at_work(run, row)) else {
                continue;
            };
            executor
                .slowdown
                .observe_unfinished(now, least, run.estimate);
            forecasts.push(Forecast {
                task: row.task,
                run: row.run,
                ends_at: run.ordered_at + least,
            });
        }
        if !executor.slowdown.is_slow(now) {
            return;
        }
        for forecast in forecasts {
            if self.is_better_elsewhere(now, &forecast) {
                self.move_run(now, id, &forecast);
            }
        }
    }

    /// Tells whether the caller of a run's job is served better if the run begins anew elsewhere.
    fn is_better_elsewhere(&self, now: Mono, forecast: &Forecast) -> bool {
        let task = forecast.task;
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        if job.tasks[usize::from(task.index)].stuck >= MOVES_MAX {
            return false;
        }
        let anew_ends_at = now + MOVE_TIME + job.estimate();
        let meets = |limit: Mono| anew_ends_at <= limit && forecast.ends_at > limit;
        let useful_until = job.useful_until(self.options.late_factor);
        let is_better = meets(job.target_at()) || meets(useful_until);
        is_better && self.has_sound_place(now, job.request.demand.cpu_millis)
    }

    fn has_sound_place(&self, now: Mono, cpu_millis: u32) -> bool {
        let places = self.places(now, cpu_millis);
        places.iter().any(|place| !place.is_slow)
    }

    fn move_run(&mut self, now: Mono, id: &ExecutorId, forecast: &Forecast) {
        let task = forecast.task;
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.tasks[usize::from(task.index)].stuck += 1;
        }
        self.log(Decision::RunMoved {
            task,
            run: forecast.run,
            executor: id.clone(),
            remaining: forecast.ends_at.since(now),
        });
        self.stop_run(id, task);
    }
}

/// Gets the least time that a run takes in all, by what is done of it; none where it is too early to
/// tell.
fn least_run_time(now: Mono, run: &Run, done: Percent) -> Option<Micros> {
    let at_work = now.since(run.ordered_at);
    let done_at_most = u64::from(done.get()) + 1;
    (at_work >= PROGRESS_AFTER).then(|| Micros(at_work.0 * 100 / done_at_most))
}

fn is_at_work(run: &Run, row: &RunningRun) -> bool {
    run.number == row.run && matches!(run.state, RunState::AtWork { .. })
}
