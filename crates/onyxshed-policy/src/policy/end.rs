//! What an attempt's end teaches, and what becomes of its task.

use onyxshed_core::{Micros, Millis, Mono, Now, ResultCode};

use super::Policy;
use crate::class::Class;
use crate::decision::PolicyDecision;
use crate::executor::Executor;
use crate::executor::breaker::{Breaker, BreakerReason, Sign};
use crate::faults::{ClassChange, JobFault};
use crate::fleet::Seat;
use crate::queue::Ticket;
use crate::running::Attempt;
use crate::span::{as_us, to_micros};
use crate::work::{AttemptEnd, AttemptOutcome, RetryStep};

/// Wait after the first refused start, in milliseconds.
const BACKOFF_FIRST: Millis = Millis(4);

/// Doublings of that wait; the longest is half a second.
const BACKOFF_DOUBLINGS_MAX: u32 = 7;

/// Refused or unsent starts of one task before it is given up.
const BOUNCES_MAX: u32 = 16;

/// Evidence against an executor that tries out slow again: enough to open the breaker.
const STILL_SLOW: f64 = 10.0;

impl Policy {
    /// Takes in an attempt's end and decides what becomes of its task.
    ///
    /// For [`Verdict::Finished`] the step has no meaning; other copies that still run are told by
    /// [`Policy::copies_of`].
    pub fn apply_attempt_end(&mut self, now: Now, end: &AttemptEnd) -> RetryStep {
        let now = now.mono;
        let seat = self.fleet.seat(&end.executor);
        let attempt = seat.and_then(|seat| self.running.get_mut(&end.task)?.remove(seat));
        let (Some(seat), Some(attempt)) = (seat, attempt) else {
            return RetryStep::GiveUp(plain_code(end.outcome));
        };
        self.learn(now, end, attempt);
        let step = self.decide(now, end, seat);
        self.wake_upstream_of(seat);
        if let Some(id) = self.fleet.remove_if_done(seat) {
            self.classes
                .values_mut()
                .for_each(|class| class.faults.forget(id));
        }
        step
    }

    /// Takes in what the end says of the executor, the class and the job.
    fn learn(&mut self, now: Mono, end: &AttemptEnd, attempt: Attempt) {
        let seat = attempt.seat;
        let was_heard = !matches!(end.outcome, AttemptOutcome::Unsent | AttemptOutcome::Lost);
        if let Some(executor) = self.fleet.get_mut(seat) {
            executor.ended(now, was_heard);
        }
        if let Some(load) = &end.load {
            self.take_report(now, seat, load);
        }
        self.count(end, attempt);
        let sign = match end.outcome {
            AttemptOutcome::Finished => self.learn_finished(now, end, attempt),
            AttemptOutcome::Failed => self.learn_failed(end, seat, BreakerReason::Failing),
            AttemptOutcome::Lapsed => self.learn_failed(end, seat, BreakerReason::Lapsing),
            AttemptOutcome::Refused => self.learn_refused(end, seat),
            AttemptOutcome::Unsent | AttemptOutcome::Lost => Sign::Unanswered,
            AttemptOutcome::Stopped => Sign::None,
        };
        let draw = self.draw();
        let breaker = self
            .fleet
            .get_mut(seat)
            .map(|executor| &mut executor.breaker);
        let change = breaker.and_then(|b| b.ended(now, sign, attempt.is_probe, draw));
        self.note_breaker(now, seat, change);
        if sign == Sign::Unanswered {
            self.distrust_rack(now, seat);
        }
    }

    fn count(&mut self, end: &AttemptEnd, attempt: Attempt) {
        match end.outcome {
            AttemptOutcome::Refused => self.waste.refusals += 1,
            AttemptOutcome::Unsent => self.waste.unsent += 1,
            AttemptOutcome::Stopped => self.waste.stopped += 1,
            AttemptOutcome::Finished
            | AttemptOutcome::Failed
            | AttemptOutcome::Lapsed
            | AttemptOutcome::Lost => {}
        }
        let has_failed = end.outcome != AttemptOutcome::Finished;
        self.waste.failed_probes += u64::from(attempt.is_probe && has_failed);
        let ticket = self.running.get(&end.task).map(|running| &running.ticket);
        let class = ticket.and_then(|ticket| self.classes.get_mut(&ticket.work.class));
        if let Some(class) = class {
            class.in_flight = class.in_flight.saturating_sub(1);
        }
    }

    fn learn_finished(&mut self, now: Mono, end: &AttemptEnd, attempt: Attempt) -> Sign {
        let running = self.running.get(&end.task);
        let name = running.map(|running| running.ticket.work.class.clone());
        let class = name.as_ref().and_then(|name| self.classes.get_mut(name));
        let executor = self.fleet.get_mut(attempt.seat);
        let (Some(class), Some(executor)) = (class, executor) else {
            return Sign::Good;
        };
        let ratio = learn_service(now, class, executor, end.service_us);
        let cleared = class.faults.finished(executor.id);
        if let Some(upstream) = self.upstreams.get_mut(&executor.info.upstream) {
            let slowdown = executor.speed.slowdown(now);
            upstream.finished(end.service_us.map(|service| as_us(service) / slowdown));
        }
        let sign = good_or_slow(executor, attempt, ratio);
        if let (Some(ClassChange::Cleared), Some(class)) = (cleared, name) {
            self.notes.push(PolicyDecision::ClassRunnable { class });
        }
        sign
    }

    fn learn_failed(&mut self, end: &AttemptEnd, seat: Seat, reason: BreakerReason) -> Sign {
        let job = end.task.submission;
        let (Some(executor), Some(running)) = (self.fleet.get(seat), self.running.get(&end.task))
        else {
            return Sign::None;
        };
        let name = running.ticket.work.class.clone();
        let Some(class) = self.classes.get_mut(&name) else {
            return Sign::None;
        };
        // A job's tasks fail alike: counted again, one bad job would condemn the executor.
        let was_suspect = self.jobs.has_failed(job);
        let fault = self.jobs.failed(job, executor.id);
        if fault == JobFault::Known {
            return Sign::Bad {
                weight: 0.0,
                reason,
            };
        }
        let weight = if was_suspect {
            0.0
        } else {
            class.faults.weight_against(executor.id)
        };
        if class.faults.failed(executor.id, job) == Some(ClassChange::Blamed) {
            self.notes.push(PolicyDecision::ClassUnrunnable {
                class: name.clone(),
            });
        }
        if fault == JobFault::Blamed {
            self.notes.push(PolicyDecision::JobUnrunnable {
                submission: job,
                class: name,
            });
        }
        Sign::Bad { weight, reason }
    }

    fn learn_refused(&mut self, end: &AttemptEnd, seat: Seat) -> Sign {
        if let Some(executor) = self.fleet.get_mut(seat) {
            // A refusal without a report came by way of a stop and says nothing of the load.
            let is_explained = end.load.is_none_or(|load| {
                load.is_draining || load.running + load.queued >= executor.info.slots
            });
            if let Some(load) = &end.load {
                executor.sharing.refused(load);
            }
            if !is_explained {
                executor.limit.refused();
            }
        }
        Sign::Answered
    }

    fn decide(&mut self, now: Mono, end: &AttemptEnd, seat: Seat) -> RetryStep {
        let executor_id = self.fleet.get(seat).map(|executor| executor.id);
        let code = self.attempt_code(now, end, seat);
        let Some(running) = self.running.get_mut(&end.task) else {
            return RetryStep::GiveUp(code);
        };
        let may_have_started = !matches!(
            end.outcome,
            AttemptOutcome::Refused | AttemptOutcome::Unsent
        );
        if may_have_started {
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
        self.forget_hedge(end.task);
        let Some(running) = self.running.remove(&end.task) else {
            return RetryStep::GiveUp(code);
        };
        if is_over {
            return RetryStep::GiveUp(running.ticket.started_code.unwrap_or(code));
        }
        if may_have_started {
            self.retry(now, running.ticket, code)
        } else {
            self.bounce(now, running.ticket, end.outcome, seat)
        }
    }

    /// Queues again a task that was provably not started.
    fn bounce(
        &mut self,
        now: Mono,
        mut ticket: Ticket,
        verdict: AttemptOutcome,
        seat: Seat,
    ) -> RetryStep {
        ticket.bounces += 1;
        ticket.bounced_at = Some(seat);
        let at = now + self.backoff(ticket.bounces);
        let is_in_time = at + self.least_time(now, &ticket) < ticket.work.deadline;
        let code = match (verdict, is_in_time) {
            (AttemptOutcome::Unsent, _) => ResultCode::NoUpstream,
            (_, false) => ResultCode::ExpiredInQueue,
            (_, true) => ResultCode::RefusedByUpstream,
        };
        let code = ticket.started_code.unwrap_or(code);
        let may_go_on = is_in_time && ticket.bounces < BOUNCES_MAX;
        if !may_go_on || (verdict == AttemptOutcome::Refused && !self.take_retry(&ticket)) {
            return RetryStep::GiveUp(code);
        }
        self.put(ticket, Some(at));
        RetryStep::Queued
    }

    /// Queues again a task that ran or may have run, if that is allowed and of use.
    fn retry(&mut self, now: Mono, ticket: Ticket, code: ResultCode) -> RetryStep {
        let is_in_time = now + self.least_time(now, &ticket) < ticket.work.deadline;
        let may_go_on = ticket.work.may_run_twice && is_in_time && code != ResultCode::NeverRuns;
        if !may_go_on || !self.has_other(now, &ticket) || !self.take_retry(&ticket) {
            return RetryStep::GiveUp(code);
        }
        self.waste.retries += 1;
        self.put(ticket, None);
        RetryStep::Queued
    }

    fn attempt_code(&self, now: Mono, end: &AttemptEnd, seat: Seat) -> ResultCode {
        let executor = self.fleet.get(seat);
        let is_silent = executor.is_some_and(|executor| {
            executor.is_quiet(now) || executor.breaker.reason() == Some(BreakerReason::Silent)
        });
        let class = self.running.get(&end.task).map(|r| &r.ticket.work.class);
        let class = class.and_then(|name| self.classes.get(name));
        let is_blamed = class.is_some_and(|class| class.faults.is_blamed())
            || self.jobs.is_blamed(end.task.submission);
        match end.outcome {
            AttemptOutcome::Lost if is_silent => ResultCode::UpstreamSilent,
            AttemptOutcome::Failed if is_blamed => ResultCode::NeverRuns,
            verdict => plain_code(verdict),
        }
    }

    fn backoff(&mut self, bounces: u32) -> Micros {
        let doublings = (bounces - 1).min(BACKOFF_DOUBLINGS_MAX);
        let wait_us = Micros::from(BACKOFF_FIRST).0 << doublings;
        to_micros(wait_us as f64 * (0.5 + self.draw()))
    }

    fn take_retry(&mut self, ticket: &Ticket) -> bool {
        if !self.placement.kind().is_guarded() {
            return true;
        }
        let class = self.classes.get(&ticket.work.class);
        let upstream = class.and_then(|class| self.upstreams.get_mut(&class.target.upstream));
        upstream.is_some_and(|upstream| upstream.retries.take())
    }

    /// Gets the least time that the task needs once it is started.
    fn least_time(&self, now: Mono, ticket: &Ticket) -> Micros {
        let class = self.classes.get(&ticket.work.class);
        let upstream = class.and_then(|class| self.upstreams.get(&class.target.upstream));
        match (class, upstream) {
            (Some(class), Some(upstream)) => class.floor(now, upstream.capacity.fastest(), false),
            _ => Micros(0),
        }
    }

    fn has_other(&self, now: Mono, ticket: &Ticket) -> bool {
        let class = self.classes.get(&ticket.work.class);
        let upstream = class.and_then(|class| self.upstreams.get(&class.target.upstream));
        let members = upstream.map(|upstream| upstream.members.as_slice());
        members.into_iter().flatten().any(|seat| {
            self.fleet.get(*seat).is_some_and(|executor| {
                executor.is_live(now) && !ticket.failed_on.contains(&executor.id)
            })
        })
    }
}

/// Takes in a service time; gives back how slow it was relative to the class's median.
fn learn_service(
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
    let worsening = executor.speed.worsening();
    executor.limit.finished(slots, in_flight, worsening);
    ratio
}

/// A finished task is a good sign, unless it tried out a slow executor that is slow still.
fn good_or_slow(executor: &mut Executor, attempt: Attempt, ratio: Option<f64>) -> Sign {
    let slow = Sign::Bad {
        weight: STILL_SLOW,
        reason: BreakerReason::Slow,
    };
    if attempt.is_probe {
        let samples = executor.speed.samples();
        let is_slow = ratio.is_some_and(|ratio| Breaker::is_slow(ratio, samples.max(4)));
        if !is_slow {
            executor.speed.reset();
        }
        return if is_slow { slow } else { Sign::Good };
    }
    let recent = executor.speed.recent_slowdown();
    if Breaker::is_slow(recent, executor.speed.samples()) {
        slow
    } else {
        Sign::Good
    }
}

/// Gets the code that an attempt's end stands for by itself.
fn plain_code(verdict: AttemptOutcome) -> ResultCode {
    match verdict {
        AttemptOutcome::Finished => ResultCode::Complete,
        AttemptOutcome::Failed => ResultCode::TaskFailed,
        AttemptOutcome::Refused => ResultCode::RefusedByUpstream,
        AttemptOutcome::Lapsed => ResultCode::LeaseLapsed,
        AttemptOutcome::Stopped => ResultCode::Cancelled,
        AttemptOutcome::Unsent => ResultCode::NoUpstream,
        AttemptOutcome::Lost => ResultCode::ConnectionLost,
    }
}
