//! Handling of the executors' answers to start and stop orders.

use onyxshed_core::{Millis, Mono};

use super::Pool;
use crate::executor::RunState;
use crate::id::{ExecutorId, JobId, RunNumber, TaskId};
use crate::message::{Action, Decision, RefuseReason, StartAnswer, StartOrder, StopAnswer};

/// How long an executor gets no further task after it refused a task for lack of resources or could
/// not be reached. A full executor ends its next run within about that time.
const FULL_BACKOFF: Millis = Millis(15);

/// Next step for a run after the answer to its start order.
enum RunStep {
    /// The run stays as it is: it executes or has ended, or the answer is obsolete.
    Keep,
    /// The run does not execute and never will, for the given reason: the task is requeued.
    Requeue(&'static str),
    /// The state of the run is unknown: the same order is sent again, which has no effect if the executor
    /// already has the run.
    Resend,
    /// The state of the run is unknown: no further start order is sent, and the run is stopped.
    Stop,
    /// The executor refused the run for an unknown reason: this counts as a failed run.
    Failed,
}

impl Pool {
    /// Applies the answer to the start order of the run `number` of a task: the run is confirmed,
    /// ordered again or stopped, or its task is requeued.
    pub fn apply_start_answer(
        &mut self,
        now: Mono,
        id: &ExecutorId,
        task: TaskId,
        number: RunNumber,
        answer: &StartAnswer,
    ) -> Vec<Action> {
        let has_opened = self.start_window.count_answered();
        self.apply_elapsed_time(now);
        if self.has_released(id) {
            return self.take_actions();
        }
        if *answer == StartAnswer::Refused(RefuseReason::Fenced) {
            return self.step_down_fenced();
        }
        if *answer == StartAnswer::OtherIncarnation {
            self.apply_replacement(now, id);
            return self.take_actions();
        }
        match self.step_after_start(now, id, task, number, answer) {
            RunStep::Keep => {}
            RunStep::Requeue(reason) => self.discard_run(id, task, number, reason),
            RunStep::Resend => self.resend_start(now, id, task, number),
            RunStep::Stop => self.stop_run(id, task),
            RunStep::Failed => self.apply_run_failed(now, id, task, number),
        }
        if has_opened {
            self.place(now);
        } else if !self.requeued.is_empty() {
            self.place_after_report(now, id);
        }
        self.take_actions()
    }

    fn step_after_start(
        &mut self,
        now: Mono,
        id: &ExecutorId,
        task: TaskId,
        number: RunNumber,
        answer: &StartAnswer,
    ) -> RunStep {
        let orders_max = self.options.start_orders_max;
        let Some(mut executor) = self.executors.get_mut(id) else {
            return RunStep::Keep;
        };
        if let StartAnswer::Started { clock: Some(clock) } = answer
            && executor.is_ordered_from_current(task, number)
        {
            executor.observe_clock(now, *clock);
        }
        let is_unresponsive = executor.is_unresponsive;
        let incarnation = executor.started_at;
        let Some(run) = executor.runs.get_mut(&task) else {
            return RunStep::Keep;
        };
        let RunState::Ordered { orders_sent } = run.state else {
            return RunStep::Keep;
        };
        if run.number != number {
            return RunStep::Keep;
        }
        let has_restarted = run.incarnation != incarnation;
        match answer {
            StartAnswer::Started { .. } => {
                run.state = RunState::Running { since: now };
                RunStep::Keep
            }
            // A resubmitted job may reuse run numbers of its earlier submission. The only order for this
            // run was refused, so it never started; the task's next run has a higher number.
            StartAnswer::Refused(RefuseReason::Ended) if orders_sent == 1 => {
                RunStep::Requeue("run number already used on the executor")
            }
            // The run has already ended; its end is in the next report.
            StartAnswer::Refused(RefuseReason::Ended) => {
                run.state = RunState::Running { since: now };
                RunStep::Keep
            }
            StartAnswer::Refused(reason) if orders_sent > 1 => match reason {
                // An earlier order for this run may have been executed, or may still be.
                RefuseReason::Other => RunStep::Failed,
                _ => RunStep::Stop,
            },
            StartAnswer::Refused(RefuseReason::NoRoom) => {
                executor.full_until = now + FULL_BACKOFF;
                RunStep::Requeue("executor lacks free resources")
            }
            StartAnswer::Refused(RefuseReason::Unhealthy) => {
                executor.health.record_failure(now, &self.options);
                RunStep::Requeue("executor is unhealthy")
            }
            StartAnswer::Refused(RefuseReason::Expired) => {
                RunStep::Requeue("lease expired before the order arrived")
            }
            StartAnswer::Refused(_) => RunStep::Failed,
            StartAnswer::NotSent if orders_sent == 1 => {
                executor.full_until = now + FULL_BACKOFF;
                RunStep::Requeue("executor is unreachable")
            }
            // The task was placed by the properties of an earlier incarnation.
            StartAnswer::NotSent | StartAnswer::Unknown if has_restarted => RunStep::Stop,
            StartAnswer::NotSent | StartAnswer::Unknown
                if orders_sent < orders_max && !is_unresponsive =>
            {
                RunStep::Resend
            }
            StartAnswer::NotSent | StartAnswer::Unknown => RunStep::Stop,
            StartAnswer::OtherIncarnation => RunStep::Keep,
        }
    }

    /// Resends the start order of a run with a new lease. If the executor already has the run, the
    /// order only extends the lease. The run is stopped if its job has ended or no lease can be
    /// given.
    fn resend_start(&mut self, now: Mono, id: &ExecutorId, task: TaskId, number: RunNumber) {
        let Some(job) = self.jobs.get(&task.job) else {
            return self.stop_run(id, task);
        };
        let spec = job.request.spec.clone();
        let Some(mut executor) = self.executors.get_mut(id) else {
            return;
        };
        let expires = executor.grant_lease(now, &self.options);
        let Some(run) = executor.runs.get_mut(&task) else {
            return;
        };
        if let RunState::Ordered { orders_sent } = &mut run.state {
            *orders_sent += 1;
        }
        drop(executor);
        let Some(expires) = expires else {
            return self.stop_run(id, task);
        };
        let order = StartOrder {
            task,
            run: number,
            spec,
            expires,
            token: self.token,
        };
        self.push_start(id, order);
    }

    /// Sends an order to stop a run. The run remains tracked until a report shows that it has ended
    /// or its lease has expired.
    pub(super) fn stop_run(&mut self, id: &ExecutorId, task: TaskId) {
        let Some(mut executor) = self.executors.get_mut(id) else {
            return;
        };
        let Some(run) = executor.runs.get_mut(&task) else {
            return;
        };
        run.state = RunState::Stopping { accepted_at: None };
        let number = run.number;
        drop(executor);
        self.send_stop(id, task, number);
    }

    /// Applies the answer to the stop order of the run `number` of a task. A run whose stop order
    /// was accepted stays tracked until a later report does not list it.
    pub fn apply_stop_answer(
        &mut self,
        now: Mono,
        id: &ExecutorId,
        task: TaskId,
        number: RunNumber,
        answer: StopAnswer,
    ) -> Vec<Action> {
        self.apply_elapsed_time(now);
        if self.has_released(id) {
            return self.take_actions();
        }
        match answer {
            StopAnswer::Fenced => return self.step_down_fenced(),
            StopAnswer::OtherIncarnation => self.apply_replacement(now, id),
            StopAnswer::Accepted => self.record_stop_accepted(now, id, task, number),
            // The order is sent again after the executor's next report.
            StopAnswer::Unknown => {}
        }
        self.take_actions()
    }

    /// Returns whether an executor has been released to the next owner.
    ///
    /// No run of this owner executes on a released executor. If a late answer from it is a refusal,
    /// this owner must not step down, because it would lose its jobs on other executors.
    fn has_released(&self, id: &ExecutorId) -> bool {
        self.is_releasing() && !self.executors.contains_key(id)
    }

    fn record_stop_accepted(
        &mut self,
        now: Mono,
        id: &ExecutorId,
        task: TaskId,
        number: RunNumber,
    ) {
        let Some(mut executor) = self.executors.get_mut(id) else {
            return;
        };
        if let Some(run) = executor.runs.get_mut(&task)
            && run.number == number
            && let RunState::Stopping { accepted_at } = &mut run.state
        {
            accepted_at.get_or_insert(now);
        }
    }

    /// Removes a run that does not execute and never will, and requeues its task.
    pub(super) fn discard_run(
        &mut self,
        id: &ExecutorId,
        task: TaskId,
        number: RunNumber,
        reason: &'static str,
    ) {
        self.remove_run(id, task);
        self.requeue_run(task, number, id, reason);
    }

    /// Steps down because an executor has seen a higher token: another host owns the pool.
    pub(super) fn step_down_fenced(&mut self) -> Vec<Action> {
        if self.has_stepped_down {
            return self.take_actions();
        }
        let mut actions = self.step_down();
        actions.push(Action::StepDown);
        actions
    }

    /// Records a failed run of a job in an executor's health and logs if the executor is avoided
    /// for it.
    pub(super) fn record_run_failure(&mut self, now: Mono, id: &ExecutorId, job: JobId) {
        let Some(mut executor) = self.executors.get_mut(id) else {
            return;
        };
        let span = executor.health.record_run_failure(now, job, &self.options);
        drop(executor);
        if let Some(span) = span {
            self.log(Decision::ExecutorAvoided(id.clone(), span));
        }
    }

    /// Records a failure that is attributed to the executor whatever its job is, such as a stuck
    /// run, in the executor's health.
    pub(super) fn record_failure(&mut self, now: Mono, id: &ExecutorId) {
        let Some(mut executor) = self.executors.get_mut(id) else {
            return;
        };
        let span = executor.health.record_failure(now, &self.options);
        drop(executor);
        self.log(Decision::ExecutorAvoided(id.clone(), span));
    }
}
