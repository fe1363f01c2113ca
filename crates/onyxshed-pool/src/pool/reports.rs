//! Handling of the executors' reports, which are their answers to hold orders.

use onyxshed_core::{Millis, Mono};

use super::Pool;
use crate::executor::{IncarnationMatch, Phase, RunState};
use crate::id::{ExecutorId, RunNumber, TaskId};
use crate::job::{JobEnd, TaskState};
use crate::message::{
    Action, Decision, ExecutorLists, ExecutorReport, FinishedRun, HoldAnswer, RunEnd, RunningRun,
};
use crate::overload::OverloadMode;

/// Pause before the next hold order to an executor that did not answer.
const UNRESPONSIVE_PAUSE: Millis = Millis(50);

/// Pause after the first missing report. Usually only the answer was lost, and the executor gets no
/// tasks until its next report.
const FIRST_MISSED_PAUSE: Millis = Millis(5);

/// Pause between two hold orders to an executor that still runs tasks of an earlier owner.
const ACQUIRING_PAUSE: Millis = Millis(20);

impl Pool {
    /// Applies the answer to a hold order that was sent at `sent_at`.
    pub fn apply_hold_answer(
        &mut self,
        now: Mono,
        id: &ExecutorId,
        sent_at: Mono,
        answer: HoldAnswer,
    ) -> Vec<Action> {
        self.apply_elapsed_time(now);
        if self.has_stepped_down || !self.executors.contains_key(id) {
            return self.take_actions();
        }
        let has_entries = has_entries(&answer);
        let pause = match answer {
            HoldAnswer::Report(ExecutorReport::Fenced) => return self.step_down_fenced(),
            HoldAnswer::Report(ExecutorReport::OtherIncarnation) => {
                self.apply_replacement(now, id);
                UNRESPONSIVE_PAUSE
            }
            HoldAnswer::Report(ExecutorReport::Lists(lists)) => {
                self.apply_report(now, id, sent_at, &lists)
            }
            HoldAnswer::Unknown => match self.mark_unresponsive(id) {
                true => FIRST_MISSED_PAUSE,
                false => UNRESPONSIVE_PAUSE,
            },
        };
        self.place_after_report(now, id);
        if !self.park_if_idle(id, has_entries) {
            self.send_hold(now, id, pause);
        }
        self.take_actions()
    }

    fn apply_report(
        &mut self,
        now: Mono,
        id: &ExecutorId,
        sent_at: Mono,
        lists: &ExecutorLists,
    ) -> Millis {
        let started_at = lists.started_at;
        let Some(mut executor) = self.executors.get_mut(id) else {
            return Millis(0);
        };
        let incarnation = executor.match_incarnation(started_at);
        match incarnation {
            IncarnationMatch::Past => return Millis(0),
            IncarnationMatch::New => executor.record_restart(now, started_at),
            IncarnationMatch::Current => {}
        }
        executor.started_at = started_at.or(executor.started_at);
        executor.observe_clock(now, lists.clock);
        // Acknowledges every listed end, known or not. An end that stays listed would make the
        // executor answer each hold order immediately instead of waiting for the next end.
        executor.last_seen = executor.last_seen.max(lists.listed_to);
        executor.last_report_at = now;
        let was_unresponsive = std::mem::take(&mut executor.is_unresponsive);
        drop(executor);
        if was_unresponsive {
            self.log(Decision::ExecutorRecovered(id.clone()));
        }
        if incarnation == IncarnationMatch::New {
            self.log_restart(id);
        }
        for end in &lists.finished {
            self.apply_finished(now, id, *end);
        }
        self.reconcile(now, id, sent_at, &lists.running);
        self.observe_progress(now, id, &lists.running);
        self.stop_orphans(id, &lists.running);
        let Some(mut executor) = self.executors.get_mut(id) else {
            return Millis(0);
        };
        if executor.phase == Phase::Acquired {
            return Millis(0);
        }
        if !lists.running.is_empty() {
            return ACQUIRING_PAUSE;
        }
        executor.phase = Phase::Acquired;
        drop(executor);
        self.log(Decision::ExecutorAcquired(id.clone()));
        Millis(0)
    }

    /// Applies the end of a run. Ends of runs that this owner does not track are ignored.
    fn apply_finished(&mut self, now: Mono, id: &ExecutorId, end: FinishedRun) {
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        let is_tracked = executor
            .runs
            .get(&end.task)
            .is_some_and(|run| run.number == end.run);
        if !is_tracked {
            return;
        }
        match end.end {
            RunEnd::Done => self.apply_run_completed(now, id, end.task, end.run),
            RunEnd::Failed => self.apply_run_failed(now, id, end.task, end.run),
            RunEnd::Stopped => self.discard_run(id, end.task, end.run, "stopped or lapsed"),
        }
    }

    fn apply_run_completed(&mut self, now: Mono, id: &ExecutorId, task: TaskId, number: RunNumber) {
        let Some(run) = self.executors.remove_run(id, task) else {
            return;
        };
        let took = self.run_time(now, &run);
        let Some(mut executor) = self.executors.get_mut(id) else {
            return;
        };
        let was_stopping = matches!(run.state, RunState::Stopping { .. });
        if !was_stopping {
            executor.slowdown.observe(now, took, run.estimate);
        }
        executor.health = Default::default();
        executor.last_completed_at = now;
        drop(executor);
        self.forget_room(&run);
        let Some(mut job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if !job.is_current_run(task.index, number, id) {
            drop(job);
            return self.unblock_task(task);
        }
        if self.options.overload != OverloadMode::Off && job.log_ratio.1 == 0 {
            let class = &job.request.class;
            self.class_estimates.observe(now, class, took, run.expected);
        }
        job.observe_run_time(took, run.expected);
        job.tasks[usize::from(task.index)].state = TaskState::Done;
        job.done += 1;
        let is_completed = job.done == job.request.tasks;
        drop(job);
        if is_completed {
            self.end_job(task.job, JobEnd::Completed);
        } else {
            self.update_commitment(now, task.job);
        }
    }

    pub(super) fn apply_run_failed(
        &mut self,
        now: Mono,
        id: &ExecutorId,
        task: TaskId,
        number: RunNumber,
    ) {
        self.remove_run(id, task);
        self.record_run_failure(now, id, task.job);
        let Some(mut job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if !job.is_current_run(task.index, number, id) {
            drop(job);
            return self.unblock_task(task);
        }
        let failed_task = &mut job.tasks[usize::from(task.index)];
        failed_task.failed_on.push(id.clone());
        let failed_on = failed_task.failed_on.clone();
        let failures = u32::try_from(failed_on.len()).unwrap_or(u32::MAX);
        let is_job_failed = failures >= job.request.attempts_max;
        drop(job);
        self.requeue_run(task, number, id, "failed");
        // A task that fails on several executors is faulty itself, so its failures no longer count
        // against these executors.
        if failures > 1 {
            self.clear_failures(now, &failed_on);
        }
        if is_job_failed {
            self.end_job(task.job, JobEnd::Failed);
        }
    }

    fn clear_failures(&mut self, now: Mono, executors: &[ExecutorId]) {
        for id in executors {
            if let Some(mut executor) = self.executors.get_mut(id) {
                executor.health.clear_failure(now);
            }
        }
    }

    /// Reconciles the tracked runs of an executor with the runs that it reports as executing.
    fn reconcile(&mut self, now: Mono, id: &ExecutorId, sent_at: Mono, running: &[RunningRun]) {
        let Some(mut executor) = self.executors.get_mut(id) else {
            return;
        };
        let mut gone = Vec::new();
        let mut stops = Vec::new();
        for (task, run) in &mut executor.runs {
            let is_running = running
                .iter()
                .any(|reported| reported.task == *task && reported.run == run.number);
            match run.state {
                RunState::Ordered { .. } if is_running => {
                    run.state = RunState::Running { since: now };
                }
                // The run executed before the report was requested, but is reported neither as
                // executing nor as ended.
                RunState::Running { since } if !is_running && since < sent_at => {
                    gone.push((*task, run.number));
                }
                RunState::Stopping {
                    accepted_at: Some(at),
                } if !is_running && at < sent_at => {
                    gone.push((*task, run.number));
                }
                RunState::Stopping { accepted_at: None } => stops.push((*task, run.number)),
                _ => {}
            }
        }
        drop(executor);
        for (task, number) in gone {
            self.discard_run(id, task, number, "missing from the executor's report");
        }
        for (task, number) in stops {
            self.send_stop(id, task, number);
        }
    }

    /// Stops orphaned runs: those that this owner did not order or no longer tracks.
    fn stop_orphans(&mut self, id: &ExecutorId, running: &[RunningRun]) {
        let Some(executor) = self.executors.get(id) else {
            return;
        };
        let orphans: Vec<RunningRun> = running
            .iter()
            .filter(|reported| {
                let tracked = executor.runs.get(&reported.task);
                tracked.is_none_or(|run| run.number != reported.run)
            })
            .copied()
            .collect();
        for orphan in orphans {
            self.send_stop(id, orphan.task, orphan.run);
            self.log(Decision::OrphanStopped {
                task: orphan.task,
                run: orphan.run,
                executor: id.clone(),
            });
        }
    }

    /// Marks an executor that did not answer as unresponsive, and returns whether it was responsive
    /// before.
    fn mark_unresponsive(&mut self, id: &ExecutorId) -> bool {
        let Some(mut executor) = self.executors.get_mut(id) else {
            return false;
        };
        let is_change = !std::mem::replace(&mut executor.is_unresponsive, true);
        drop(executor);
        if is_change {
            self.log(Decision::ExecutorUnresponsive(id.clone()));
        }
        is_change
    }
}

/// Returns whether a report lists a run, executing or ended, that the next hold order has to renew or
/// acknowledge.
fn has_entries(answer: &HoldAnswer) -> bool {
    match answer {
        HoldAnswer::Report(ExecutorReport::Lists(lists)) => {
            !lists.running.is_empty() || !lists.finished.is_empty()
        }
        HoldAnswer::Report(_) | HoldAnswer::Unknown => false,
    }
}
