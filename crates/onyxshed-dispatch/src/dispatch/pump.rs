//! Work done after every input: sending queries, starting tasks, appending claims, removing expired
//! entries, and setting the time of the next tick.

use onyxshed_core::{
    Event, EventKind, ExecutorName, Micros, Millis, Mono, Now, SubmissionId, TaskId, UnixMs,
};
use onyxshed_policy::{AttemptEnd, AttemptOutcome, ExpiredTask, NextStep, QueuedTask};
use onyxshed_state::BatchStep;

use super::{Attempt, Dispatch};
use crate::job::{AbortCodes, Job};
use crate::output::{AttemptId, Output};

impl Dispatch {
    /// Performs all work that is due, and sets the time of the next tick.
    pub(super) fn pump(&mut self, now: Now) {
        self.send_due_queries(now);
        let next_start_at = self.start_tasks(now);
        let next_append_at = self.append_claims(now);
        self.remove_expired(now);
        let next_query_at = self.queries.first().map(|(at, _)| *at);
        self.wake_at = [
            next_start_at,
            next_append_at,
            next_query_at,
            self.jobs.next_due_at(),
        ]
        .into_iter()
        .flatten()
        .min();
    }

    /// Starts the tasks that the policy selects; returns the time at which to call the policy again.
    fn start_tasks(&mut self, now: Now) -> Option<Mono> {
        loop {
            match self.policy.next(now) {
                NextStep::Start {
                    task,
                    executor,
                    is_hedge,
                } => {
                    if !self.start_attempt(now, task, executor.clone(), is_hedge) {
                        self.release_unsent_start(now, task, executor);
                    }
                }
                NextStep::WaitUntil(at) => return Some(at),
                NextStep::Idle => return None,
            }
        }
    }

    /// Returns whether the tasks of a job may be started at `now`: its id is within the horizon
    /// and, if the job is claimed, the claim is still valid.
    fn may_start(&self, now: Now, id: SubmissionId) -> bool {
        match self.jobs.get(id) {
            Some(Job::Running(job)) if job.is_claimed => self.book.may_start(now, id),
            _ => self.book.is_within_horizon(now, id),
        }
    }

    /// Releases the slot of a start that was not sent.
    ///
    /// The policy has already reserved the slot. If it stayed reserved, the executor would lose the
    /// slot permanently and appear unresponsive.
    fn release_unsent_start(&mut self, now: Now, task: TaskId, executor: ExecutorName) {
        let end = AttemptEnd {
            task,
            executor,
            outcome: AttemptOutcome::Stopped,
            service_us: None,
            load: None,
        };
        self.policy.apply_attempt_end(now, &end);
    }

    /// Sends a start. Returns `false` if it must not be sent because the id is too old, or if the
    /// job is not running.
    fn start_attempt(
        &mut self,
        now: Now,
        task: TaskId,
        executor: ExecutorName,
        is_hedge: bool,
    ) -> bool {
        // A host that was frozen past the horizon must not start the task, because other hosts have
        // forgotten its claim by now. The age of the id shows this, whatever delayed the host.
        if !self.may_start(now, task.submission) {
            self.abort(
                now,
                task.submission,
                AbortCodes::TIMED_OUT,
                "the id is past the horizon",
            );
            return false;
        }
        self.last_attempt += 1;
        let attempt = AttemptId(self.last_attempt);
        let lease_slack_ms = self.options.lease_slack_ms;
        let Some(job) = self.running_mut(task.submission) else {
            return false;
        };
        let Some(payload) = job.payloads.get(usize::from(task.index)).cloned() else {
            return false;
        };
        job.attempts.insert(attempt);
        let class = job.head.class.clone();
        let lease_ms = Micros(job.head.final_deadline.since(now.mono).0).as_millis();
        let output = Output::Start {
            attempt,
            task,
            executor: executor.clone(),
            class: class.clone(),
            payload,
            lease_ms: Millis(lease_ms.0 + lease_slack_ms.0),
            needs_proven_connection: !job.head.may_run_twice,
        };
        let kind = if is_hedge {
            EventKind::TaskHedged
        } else {
            EventKind::TaskStarted
        };
        self.emit(
            Event::new(kind)
                .submission(task.submission)
                .task(task.index)
                .class(&class)
                .party(executor.as_str()),
        );
        let query_interval_us = self.query_delay_us(&class);
        let query_at = now.mono + query_interval_us;
        self.queries.insert((query_at, attempt));
        let is_resolving = false;
        let record = Attempt {
            task,
            class,
            executor,
            is_resolving,
            query_at,
            query_interval_us,
        };
        self.attempts.insert(attempt, record);
        self.outputs.push(output);
        true
    }

    /// Appends the claims that are due. Returns the time at which to ask the claim book again;
    /// `None` if a batch is appended now or no time is known.
    fn append_claims(&mut self, now: Now) -> Option<Mono> {
        match self.book.next_batch(now) {
            BatchStep::Append(batch) => {
                let count = batch.claims.len();
                let detail = smol_str::format_smolstr!("batch {}: {count} claims", batch.batch);
                self.emit(
                    Event::new(EventKind::ClaimAppended)
                        .party("platform")
                        .detail(detail),
                );
                self.outputs.push(Output::Append(batch));
                None
            }
            BatchStep::WaitUntil(at) => Some(at),
            BatchStep::Idle => None,
        }
    }

    /// Handles queued tasks that expired. If a task of the job has started, the expired task is
    /// queued again until the final deadline; otherwise the job is aborted.
    pub(super) fn handle_expired_tasks(&mut self, now: Now) {
        for ExpiredTask { task, deadline, .. } in self.policy.take_expired(now) {
            match self.jobs.get(task.submission) {
                // A task queued until the final deadline would only expire again.
                Some(Job::Running(job))
                    if !job.is_unstarted() && deadline < job.head.final_deadline =>
                {
                    let queued_task = QueuedTask {
                        task,
                        class: job.head.class.clone(),
                        deadline: job.head.final_deadline,
                        may_run_twice: job.head.may_run_twice,
                    };
                    self.policy.enqueue(now, queued_task);
                }
                _ => self.abort(now, task.submission, AbortCodes::TIMED_OUT, ""),
            }
        }
    }

    /// Removes claims and ended jobs whose ids are too old to be accepted.
    fn remove_expired(&mut self, now: Now) {
        self.book.expire(now);
        let claims = &self.options.claims;
        let retention_ms = claims.horizon_ms.0 + 2 * claims.skew_ms.0;
        self.jobs
            .remove_older_than(UnixMs(now.wall.0.saturating_sub(retention_ms)));
    }
}
