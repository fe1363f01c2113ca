//! Handles the end of an attempt: updates the estimates, breakers and limits, and decides whether
//! the task is retried.

use onyxshed_core::{Micros, Millis, Mono, Now, ResultCode};

use super::Policy;
use crate::class::Class;
use crate::decision::PolicyDecision;
use crate::executor::Executor;
use crate::executor::breaker::{Breaker, BreakerReason, Signal};
use crate::faults::{ClassChange, JobFault};
use crate::fleet::ExecutorKey;
use crate::queue::Ticket;
use crate::running::Attempt;
use crate::span::{as_us, to_micros};
use crate::work::{AttemptEnd, AttemptOutcome, RetryStep};

/// Mean backoff after the first start of a task that was refused or not sent; it doubles with every
/// further such start.
const BACKOFF_FIRST: Millis = Millis(4);

/// Maximum number of times that the backoff doubles: up to half a second before jitter.
const BACKOFF_DOUBLINGS_MAX: u32 = 7;

/// Number of refused or unsent starts of a task after which the task fails.
const FAILED_STARTS_MAX: u32 = 16;

/// Suspicion added by a finished task or probe whose service time shows that the executor is slow.
/// One such task is enough to open the breaker.
const SLOW_WEIGHT: f64 = 10.0;

impl Policy {
    /// Records the end of an attempt and decides whether its task is retried.
    ///
    /// For [`AttemptOutcome::Finished`] the returned step has no meaning. Other copies of a
    /// finished task may still run; [`Policy::executors_running`] returns their executors, so that
    /// the dispatch can stop them.
    pub fn apply_attempt_end(&mut self, now: Now, end: &AttemptEnd) -> RetryStep {
        let now = now.mono;
        let key = self.fleet.key(&end.executor);
        let attempt = key.and_then(|key| self.running.get_mut(&end.task)?.remove_attempt(key));
        let (Some(key), Some(attempt)) = (key, attempt) else {
            return RetryStep::GiveUp(default_code(end.outcome));
        };
        self.record_outcome(now, end, attempt);
        let step = self.decide_retry(now, end, key);
        self.mark_upstream_ready(key);
        if let Some(id) = self.fleet.remove_if_idle(key) {
            self.classes
                .values_mut()
                .for_each(|class| class.faults.forget(id));
        }
        step
    }

    /// Records the result of an attempt in the state of its executor, breaker, class and job.
    fn record_outcome(&mut self, now: Mono, end: &AttemptEnd, attempt: Attempt) {
        let key = attempt.key;
        let has_responded = !matches!(end.outcome, AttemptOutcome::Unsent | AttemptOutcome::Lost);
        if let Some(executor) = self.fleet.get_mut(key) {
            executor.record_end(now, has_responded);
        }
        if let Some(load) = &end.load {
            self.apply_load_report(now, key, load);
        }
        self.count_wasted(end, attempt);
        let signal = match end.outcome {
            AttemptOutcome::Finished => self.record_finished_task(now, end, attempt),
            AttemptOutcome::Failed => self.record_failed_task(end, key, BreakerReason::Failing),
            AttemptOutcome::Lapsed => self.record_failed_task(end, key, BreakerReason::Lapsing),
            AttemptOutcome::Refused => self.record_refused_task(end, key),
            AttemptOutcome::Unsent | AttemptOutcome::Lost => Signal::NoResponse,
            AttemptOutcome::Stopped => Signal::Neutral,
        };
        let draw = self.draw();
        let breaker = self
            .fleet
            .get_mut(key)
            .map(|executor| &mut executor.breaker);
        let change = breaker.and_then(|b| b.record_end(now, signal, attempt.is_probe, draw));
        self.record_breaker_change(now, key, change);
        if signal == Signal::NoResponse {
            self.trip_in_dead_rack(now, key);
        }
    }

    fn count_wasted(&mut self, end: &AttemptEnd, attempt: Attempt) {
        match end.outcome {
            AttemptOutcome::Refused => self.wasted_messages.refusals += 1,
            AttemptOutcome::Unsent => self.wasted_messages.unsent += 1,
            AttemptOutcome::Stopped => self.wasted_messages.stopped += 1,
            AttemptOutcome::Finished
            | AttemptOutcome::Failed
            | AttemptOutcome::Lapsed
            | AttemptOutcome::Lost => {}
        }
        let has_failed = end.outcome != AttemptOutcome::Finished;
        self.wasted_messages.failed_probes += u64::from(attempt.is_probe && has_failed);
        let ticket = self.running.get(&end.task).map(|running| &running.ticket);
        let class = ticket.and_then(|ticket| self.classes.get_mut(&ticket.work.class));
        if let Some(class) = class {
            class.in_flight = class.in_flight.saturating_sub(1);
        }
    }

    fn record_finished_task(&mut self, now: Mono, end: &AttemptEnd, attempt: Attempt) -> Signal {
        let running = self.running.get(&end.task);
        let name = running.map(|running| running.ticket.work.class.clone());
        let class = name.as_ref().and_then(|name| self.classes.get_mut(name));
        let executor = self.fleet.get_mut(attempt.key);
        let (Some(class), Some(executor)) = (class, executor) else {
            return Signal::Success;
        };
        let ratio = observe_service_time(now, class, executor, end.service_us);
        let cleared = class.faults.record_finished(executor.id);
        if let Some(upstream) = self.upstreams.get_mut(&executor.info.upstream) {
            let slowdown = executor.speed.slowdown(now);
            upstream.record_finished(end.service_us.map(|service| as_us(service) / slowdown));
        }
        let signal = speed_signal(executor, attempt, ratio);
        if let (Some(ClassChange::Runnable), Some(class)) = (cleared, name) {
            self.decisions.push(PolicyDecision::ClassRunnable { class });
        }
        signal
    }

    fn record_failed_task(
        &mut self,
        end: &AttemptEnd,
        key: ExecutorKey,
        reason: BreakerReason,
    ) -> Signal {
        let job = end.task.submission;
        let (Some(executor), Some(running)) = (self.fleet.get(key), self.running.get(&end.task))
        else {
            return Signal::Neutral;
        };
        let name = running.ticket.work.class.clone();
        let Some(class) = self.classes.get_mut(&name) else {
            return Signal::Neutral;
        };
        // Tasks of one job tend to fail for the same reason. If each failure counted, a single bad
        // job would open the executor's breaker.
        let was_suspect = self.job_faults.has_failed(job);
        let fault = self.job_faults.record_failure(job, executor.id);
        if fault == JobFault::Repeated {
            return Signal::Failure {
                weight: 0.0,
                reason,
            };
        }
        let weight = if was_suspect {
            0.0
        } else {
            class.faults.executor_fault_weight(executor.id)
        };
        if class.faults.record_failure(executor.id, job) == Some(ClassChange::Unrunnable) {
            self.decisions.push(PolicyDecision::ClassUnrunnable {
                class: name.clone(),
            });
        }
        if fault == JobFault::Unrunnable {
            self.decisions.push(PolicyDecision::JobUnrunnable {
                submission: job,
                class: name,
            });
        }
        Signal::Failure { weight, reason }
    }

    fn record_refused_task(&mut self, end: &AttemptEnd, key: ExecutorKey) -> Signal {
        if let Some(executor) = self.fleet.get_mut(key) {
            // A refusal without a load report is the reply to a stop and says nothing about the
            // load.
            let is_explained = end.load.is_none_or(|load| {
                load.is_draining || load.running + load.queued >= executor.info.slots
            });
            if let Some(load) = &end.load {
                executor.peer_load.record_refusal(load);
            }
            if !is_explained {
                executor.limit.record_refusal();
            }
        }
        Signal::Responded
    }

    fn decide_retry(&mut self, now: Mono, end: &AttemptEnd, key: ExecutorKey) -> RetryStep {
        let executor_id = self.fleet.get(key).map(|executor| executor.id);
        let code = self.attempt_result_code(now, end, key);
        let Some(running) = self.running.get_mut(&end.task) else {
            return RetryStep::GiveUp(code);
        };
        let can_have_started = !matches!(
            end.outcome,
            AttemptOutcome::Refused | AttemptOutcome::Unsent
        );
        if can_have_started {
            running.ticket.started_code = Some(code);
            running.ticket.failed_on.extend(executor_id);
        }
        if end.outcome == AttemptOutcome::Finished {
            running.is_over = true;
        }
        if !running.attempts.is_empty() {
            return RetryStep::Wait;
        }
        let is_over = running.is_over || end.outcome == AttemptOutcome::Stopped;
        self.cancel_hedge(end.task);
        let Some(running) = self.running.remove(&end.task) else {
            return RetryStep::GiveUp(code);
        };
        if is_over {
            return RetryStep::GiveUp(running.ticket.started_code.unwrap_or(code));
        }
        if can_have_started {
            self.retry(now, running.ticket, code)
        } else {
            self.requeue_unstarted(now, running.ticket, end.outcome, key)
        }
    }

    /// Requeues a task whose last start was refused or not sent, after a backoff. Gives up if no
    /// time is left, after `FAILED_STARTS_MAX` such starts, or if a refused task gets no retry
    /// token.
    fn requeue_unstarted(
        &mut self,
        now: Mono,
        mut ticket: Ticket,
        outcome: AttemptOutcome,
        key: ExecutorKey,
    ) -> RetryStep {
        ticket.failed_starts += 1;
        ticket.last_failed_start = Some(key);
        let at = now + self.backoff(ticket.failed_starts);
        let is_in_time = at + self.min_service_time(now, &ticket) < ticket.work.deadline;
        let code = match (outcome, is_in_time) {
            (AttemptOutcome::Unsent, _) => ResultCode::NoUpstream,
            (_, false) => ResultCode::ExpiredInQueue,
            (_, true) => ResultCode::RefusedByUpstream,
        };
        let code = ticket.started_code.unwrap_or(code);
        let can_retry = is_in_time && ticket.failed_starts < FAILED_STARTS_MAX;
        if !can_retry || (outcome == AttemptOutcome::Refused && !self.take_retry_token(&ticket)) {
            return RetryStep::GiveUp(code);
        }
        self.queue_ticket(ticket, Some(at));
        RetryStep::Queued
    }

    /// Requeues a task that ran or may have run. Gives up unless the task may run twice, is not
    /// marked unrunnable, has time left, has an executor on which it has not failed, and gets a
    /// retry token.
    fn retry(&mut self, now: Mono, ticket: Ticket, code: ResultCode) -> RetryStep {
        let is_in_time = now + self.min_service_time(now, &ticket) < ticket.work.deadline;
        let can_retry = ticket.work.may_run_twice && is_in_time && code != ResultCode::NeverRuns;
        if !can_retry || !self.has_untried_executor(now, &ticket) || !self.take_retry_token(&ticket)
        {
            return RetryStep::GiveUp(code);
        }
        self.wasted_messages.retries += 1;
        self.queue_ticket(ticket, None);
        RetryStep::Queued
    }

    fn attempt_result_code(&self, now: Mono, end: &AttemptEnd, key: ExecutorKey) -> ResultCode {
        let executor = self.fleet.get(key);
        let is_unresponsive = executor.is_some_and(|executor| {
            executor.is_unresponsive(now)
                || executor.breaker.reason() == Some(BreakerReason::Silent)
        });
        let class = self.running.get(&end.task).map(|r| &r.ticket.work.class);
        let class = class.and_then(|name| self.classes.get(name));
        let is_unrunnable = class.is_some_and(|class| class.faults.is_unrunnable())
            || self.job_faults.is_unrunnable(end.task.submission);
        match end.outcome {
            AttemptOutcome::Lost if is_unresponsive => ResultCode::UpstreamSilent,
            AttemptOutcome::Failed if is_unrunnable => ResultCode::NeverRuns,
            outcome => default_code(outcome),
        }
    }

    fn backoff(&mut self, failed_starts: u32) -> Micros {
        let doublings = (failed_starts - 1).min(BACKOFF_DOUBLINGS_MAX);
        let wait_us = Micros::from(BACKOFF_FIRST).0 << doublings;
        to_micros(wait_us as f64 * (0.5 + self.draw()))
    }

    fn take_retry_token(&mut self, ticket: &Ticket) -> bool {
        if !self.placement.kind().is_guarded() {
            return true;
        }
        let class = self.classes.get(&ticket.work.class);
        let upstream = class.and_then(|class| self.upstreams.get_mut(&class.target.upstream));
        upstream.is_some_and(|upstream| upstream.retries.try_take())
    }

    /// Returns the minimum time that the task needs on the fastest usable executor; zero without an
    /// estimate.
    fn min_service_time(&self, now: Mono, ticket: &Ticket) -> Micros {
        let class = self.classes.get(&ticket.work.class);
        let upstream = class.and_then(|class| self.upstreams.get(&class.target.upstream));
        match (class, upstream) {
            (Some(class), Some(upstream)) => {
                class.min_useful_time(now, upstream.capacity.fastest_slowdown(), false)
            }
            _ => Micros(0),
        }
    }

    fn has_untried_executor(&self, now: Mono, ticket: &Ticket) -> bool {
        let class = self.classes.get(&ticket.work.class);
        let upstream = class.and_then(|class| self.upstreams.get(&class.target.upstream));
        let members = upstream.map(|upstream| upstream.members.as_slice());
        members.into_iter().flatten().any(|key| {
            self.fleet.get(*key).is_some_and(|executor| {
                executor.is_schedulable(now) && !ticket.failed_on.contains(&executor.id)
            })
        })
    }
}

/// Records a service time in the estimate of the class and in the speed and the limit of the
/// executor. Returns its ratio to the median of the class, or `None` without a service time or a
/// learned median.
fn observe_service_time(
    now: Mono,
    class: &mut Class,
    executor: &mut Executor,
    service: Option<Micros>,
) -> Option<f64> {
    let service = service?;
    let ratio = class.estimate.ratio(service);
    if let Some(ratio) = ratio {
        executor.speed.observe(now, ratio);
    }
    let slowdown = executor.speed.slowdown(now);
    class.estimate.observe(now, service, slowdown);
    let (slots, in_flight) = (executor.info.slots, executor.in_flight);
    let slowdown_increase = executor.speed.slowdown_increase();
    executor
        .limit
        .record_finished(slots, in_flight, slowdown_increase);
    ratio
}

/// Returns the signal of a finished task: a success, unless the executor is slow, or was probed and
/// is still slow.
fn speed_signal(executor: &mut Executor, attempt: Attempt, ratio: Option<f64>) -> Signal {
    let slow = Signal::Failure {
        weight: SLOW_WEIGHT,
        reason: BreakerReason::Slow,
    };
    if attempt.is_probe {
        let samples = executor.speed.samples();
        let is_slow = ratio.is_some_and(|ratio| Breaker::is_slow(ratio, samples.max(4)));
        if !is_slow {
            executor.speed.reset();
        }
        return if is_slow { slow } else { Signal::Success };
    }
    let recent = executor.speed.recent_slowdown();
    if Breaker::is_slow(recent, executor.speed.samples()) {
        slow
    } else {
        Signal::Success
    }
}

/// Returns the result code that follows from the outcome alone, regardless of the state of the
/// executor, the class and the job.
fn default_code(outcome: AttemptOutcome) -> ResultCode {
    match outcome {
        AttemptOutcome::Finished => ResultCode::Complete,
        AttemptOutcome::Failed => ResultCode::TaskFailed,
        AttemptOutcome::Refused => ResultCode::RefusedByUpstream,
        AttemptOutcome::Lapsed => ResultCode::LeaseLapsed,
        AttemptOutcome::Stopped => ResultCode::Cancelled,
        AttemptOutcome::Unsent => ResultCode::NoUpstream,
        AttemptOutcome::Lost => ResultCode::ConnectionLost,
    }
}
