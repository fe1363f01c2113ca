//! Ends of attempts: results, failures, lost connections and stops.

use onyxshed_core::{Event, EventKind, Now, ResultCode, TaskId};
use onyxshed_policy::{AttemptEnd, AttemptOutcome, RetryStep};
use onyxshed_wire::upstream::TaskState;

use super::{Attempt, Dispatch};
use crate::input::{AttemptReport, StopReport};
use crate::job::AbortCodes;
use crate::output::{AttemptId, Output};

impl Dispatch {
    pub(super) fn apply_attempt_end(&mut self, now: Now, id: AttemptId, report: AttemptReport) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if report.outcome == AttemptOutcome::Lost {
            // Once a stop is under way, its reply decides the attempt's outcome.
            if !std::mem::replace(&mut attempt.is_resolving, true) {
                let attempt = attempt.clone();
                self.resolve_lost_attempt(id, &attempt, &report);
            }
            return;
        }
        self.finish_attempt(now, id, report);
    }

    /// Sends a stop over another connection to determine the state of a task whose attempt was
    /// lost.
    ///
    /// The stop is also a fence: an executor that replies "refused" guarantees that a start still
    /// in transit will not run, which proves that the task has not started.
    pub(super) fn resolve_lost_attempt(
        &mut self,
        id: AttemptId,
        attempt: &Attempt,
        report: &AttemptReport,
    ) {
        self.emit(attempt_event(EventKind::TaskLost, attempt).detail(report.detail.clone()));
        self.outputs.push(Output::Stop {
            attempt: id,
            task: attempt.task,
            executor: attempt.executor.clone(),
        });
    }

    pub(super) fn apply_stop_end(&mut self, now: Now, id: AttemptId, stop: Option<StopReport>) {
        let is_resolving = self
            .attempts
            .get(&id)
            .is_some_and(|attempt| attempt.is_resolving);
        if !is_resolving {
            return;
        }
        let (outcome, body) = match stop {
            None => (AttemptOutcome::Lost, Vec::new()),
            Some(stop) => (outcome_of_stop(stop.state), stop.body),
        };
        let report = AttemptReport {
            outcome,
            body,
            service_us: None,
            load: None,
            detail: "stop".into(),
        };
        self.finish_attempt(now, id, report);
    }

    /// Removes an attempt that has ended, reports its end to the policy, and stores the result or
    /// applies the policy's decision on a retry.
    fn finish_attempt(&mut self, now: Now, id: AttemptId, report: AttemptReport) {
        let Some(attempt) = self.attempts.remove(&id) else {
            return;
        };
        self.queries.remove(&(attempt.query_at, id));
        let task = attempt.task;
        self.emit_attempt_end(&attempt, &report);
        let step = self.policy.apply_attempt_end(
            now,
            &AttemptEnd {
                task,
                executor: attempt.executor.clone(),
                outcome: report.outcome,
                service_us: report.service_us,
                load: report.load,
            },
        );
        let Some(job) = self.running_mut(task.submission) else {
            self.drop_late_end(&attempt, step);
            return;
        };
        job.attempts.remove(&id);
        match report.outcome {
            AttemptOutcome::Finished
            | AttemptOutcome::Failed
            | AttemptOutcome::Lapsed
            | AttemptOutcome::Stopped => {
                job.evidence.has_run = true;
            }
            AttemptOutcome::Lost => job.evidence.may_have_run = true,
            AttemptOutcome::Refused | AttemptOutcome::Unsent => {}
        }
        match report.outcome {
            AttemptOutcome::Finished => self.record_result(now, task, report.body),
            _ => self.apply_retry_step(now, task, step, &report),
        }
    }

    fn record_result(&mut self, now: Now, task: TaskId, body: Vec<u8>) {
        if body.len() as u64 > self.options.result_max_bytes.0 {
            return self.end_job(now, task.submission, ResultCode::ResultTooLarge, "".into());
        }
        let Some(job) = self.running_mut(task.submission) else {
            return;
        };
        job.record_result(task.index, body);
        if job.is_complete() {
            self.end_job(now, task.submission, ResultCode::Complete, "".into());
            return;
        }
        self.stop_other_attempts(task);
    }

    /// Stops the remaining attempts of a task that has its result.
    fn stop_other_attempts(&mut self, task: TaskId) {
        let Some(job) = self.running_mut(task.submission) else {
            return;
        };
        let others: Vec<AttemptId> = job.attempts.iter().copied().collect();
        for other in others {
            if self
                .attempts
                .get(&other)
                .is_some_and(|attempt| attempt.task == task)
            {
                self.stop_attempt(other);
            }
        }
    }

    fn apply_retry_step(
        &mut self,
        now: Now,
        task: TaskId,
        step: RetryStep,
        report: &AttemptReport,
    ) {
        let has_result = self
            .running_mut(task.submission)
            .is_some_and(|job| job.has_result(task.index));
        match step {
            RetryStep::Queued if has_result => {
                self.policy.withdraw(task);
            }
            RetryStep::GiveUp(code) if !has_result => {
                let detail = smol_str::format_smolstr!("task {}: {}", task.index, report.detail);
                self.abort(
                    now,
                    task.submission,
                    AbortCodes::for_task_end(code),
                    &detail,
                );
            }
            RetryStep::Queued => self.emit(
                Event::new(EventKind::TaskRetried)
                    .submission(task.submission)
                    .task(task.index)
                    .detail(smol_str::format_smolstr!("{:?}", report.outcome)),
            ),
            RetryStep::Wait | RetryStep::GiveUp(_) => {}
        }
    }

    /// Drops the end of an attempt whose job has already ended, and withdraws its task if the
    /// policy has queued it again.
    fn drop_late_end(&mut self, attempt: &Attempt, step: RetryStep) {
        if step == RetryStep::Queued {
            self.policy.withdraw(attempt.task);
        }
        self.emit(attempt_event(EventKind::AnswerDropped, attempt).detail("the job is over"));
    }

    fn emit_attempt_end(&mut self, attempt: &Attempt, report: &AttemptReport) {
        let kind = match report.outcome {
            AttemptOutcome::Refused | AttemptOutcome::Unsent => EventKind::TaskRefused,
            AttemptOutcome::Lost => EventKind::TaskLost,
            _ => EventKind::TaskFinished,
        };
        let detail = match report.detail.is_empty() {
            true => smol_str::format_smolstr!("{:?}", report.outcome),
            false => smol_str::format_smolstr!("{:?}: {}", report.outcome, report.detail),
        };
        self.emit(attempt_event(kind, attempt).detail(detail));
    }
}

/// Creates an event with the submission, task index, class and executor of an attempt.
pub(super) fn attempt_event(kind: EventKind, attempt: &Attempt) -> Event {
    Event::new(kind)
        .submission(attempt.task.submission)
        .task(attempt.task.index)
        .class(&attempt.class)
        .party(attempt.executor.as_str())
}

/// Returns the outcome of an attempt whose task was in the given state after a stop.
fn outcome_of_stop(state: TaskState) -> AttemptOutcome {
    match state {
        TaskState::Finished => AttemptOutcome::Finished,
        TaskState::Failed => AttemptOutcome::Failed,
        TaskState::Refused => AttemptOutcome::Refused,
        TaskState::Stopped => AttemptOutcome::Stopped,
        TaskState::Lapsed => AttemptOutcome::Lapsed,
    }
}
