//! Detection of slow executors by the progress of their runs, and the move of runs to other
//! executors.
//!
//! The run time of a completed run shows too late that an executor has become slow: the job is
//! already late then. Reports contain the progress of each run, so a slow executor is detected
//! while the run executes. Such a run is stopped if a new run elsewhere serves the caller better;
//! its task is requeued once the executor lists the run as ended.

use onyxshed_core::{Micros, Millis, Mono};

use super::Pool;
use crate::executor::{Run, RunState};
use crate::id::{ExecutorId, Percent, RunNumber, TaskId};
use crate::message::{Decision, RunningRun};

/// Minimum age of a run before its progress is used. Executors round progress down to whole
/// percent, so the forecast for a younger run would be inaccurate.
const PROGRESS_MIN_AGE: Micros = Micros(40_000);

/// A task that has had this many stopped runs is not moved off a slow executor again.
const MOVES_MAX: u32 = 2;

/// Assumed time from a stop order until a report shows that the run has ended; the new run of the
/// task starts after it.
const STOP_CONFIRM_TIME: Millis = Millis(60);

/// An executing run and the earliest time at which it can end.
struct Forecast {
    task: TaskId,
    run: RunNumber,
    ends_at: Mono,
}

impl Pool {
    /// Updates an executor's slowdown by the progress of its runs, and moves the runs that would end too
    /// late there.
    pub(super) fn observe_progress(&mut self, now: Mono, id: &ExecutorId, running: &[RunningRun]) {
        let Some(mut executor) = self.executors.get_mut(id) else {
            return;
        };
        let mut forecasts = Vec::new();
        for reported in running {
            let Some(run) = executor.runs.get(&reported.task) else {
                continue;
            };
            let min_total = reported
                .progress
                .and_then(|progress| min_run_time(now, run, progress));
            let Some(min_total) = min_total.filter(|_| is_running(run, reported)) else {
                continue;
            };
            let estimate = run.estimate;
            forecasts.push(Forecast {
                task: reported.task,
                run: reported.run,
                ends_at: run.ordered_at + min_total,
            });
            executor
                .slowdown
                .observe_unfinished(now, min_total, estimate);
        }
        let is_slow = executor.slowdown.is_slow(now);
        drop(executor);
        if !is_slow {
            return;
        }
        for forecast in forecasts {
            if self.is_better_elsewhere(now, &forecast) {
                self.move_run(now, id, &forecast);
            }
        }
    }

    /// Returns whether the task should be moved to another executor. A new run there must end
    /// within the job's target, or while the job's answer is useful, and the current run must miss
    /// that limit. An executor that is not slow must be available, and fewer than `MOVES_MAX` runs
    /// of the task may have been stopped before.
    fn is_better_elsewhere(&self, now: Mono, forecast: &Forecast) -> bool {
        let task = forecast.task;
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        if job.tasks[usize::from(task.index)].stopped_runs >= MOVES_MAX {
            return false;
        }
        let restart_ends_at = now + STOP_CONFIRM_TIME + job.estimate();
        let only_restart_meets = |limit: Mono| restart_ends_at <= limit && forecast.ends_at > limit;
        let useful_until = job.useful_until(self.options.late_factor);
        let is_better = only_restart_meets(job.target_at()) || only_restart_meets(useful_until);
        is_better && self.has_full_speed_executor(now, job.request.demand.cpu_millis)
    }

    fn has_full_speed_executor(&self, now: Mono, cpu_millis: u32) -> bool {
        let available = self.available_executors(now, cpu_millis);
        available.iter().any(|candidate| !candidate.is_slow)
    }

    fn move_run(&mut self, now: Mono, id: &ExecutorId, forecast: &Forecast) {
        let task = forecast.task;
        if let Some(mut job) = self.jobs.get_mut(&task.job) {
            job.tasks[usize::from(task.index)].stopped_runs += 1;
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

/// Returns the least total time of a run according to its progress, or `None` if the run is too young
/// for its progress to count.
fn min_run_time(now: Mono, run: &Run, progress: Percent) -> Option<Micros> {
    let age = now.since(run.ordered_at);
    let progress_max = u64::from(progress.get()) + 1;
    (age >= PROGRESS_MIN_AGE).then(|| Micros(age.0 * 100 / progress_max))
}

fn is_running(run: &Run, reported: &RunningRun) -> bool {
    run.number == reported.run && matches!(run.state, RunState::Running { .. })
}
