//! How far runs are.
//!
//! Answers executors that turn slow: the end of a run tells of it only when its job is late. An
//! executor's report tells how much of each run is done, so that the executor is known to be slow
//! while the run is at work.

use onyxshed_core::{Micros, Mono};

use super::Pool;
use crate::executor::{Run, RunState};
use crate::id::{ExecutorId, Percent};
use crate::message::RunningRun;

/// Shortest time at work after which a run's progress says anything: executors round it down.
const PROGRESS_AFTER: Micros = Micros(40_000);

impl Pool {
    /// Takes in how far an executor's runs are.
    pub(super) fn observe_progress(&mut self, now: Mono, id: &ExecutorId, running: &[RunningRun]) {
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        for row in running {
            let Some(run) = executor.runs.get(&row.task) else {
                continue;
            };
            let least = row.done.and_then(|done| least_run_time(now, run, done));
            if let Some(least) = least.filter(|_| is_at_work(run, row)) {
                executor
                    .slowdown
                    .observe_unfinished(now, least, run.estimate);
            }
        }
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
