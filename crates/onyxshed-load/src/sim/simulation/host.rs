//! The simulated entry hosts, which carry out the steps that their policies decide.

use std::collections::BTreeMap;

use onyxshed_core::{ClassTarget, Millis, Mono, Now, ResultCode, UpstreamName};
use onyxshed_policy::{Admission, AttemptEnd, AttemptOutcome, NextStep, QueuedTask, RetryStep};
use onyxshed_wire::upstream::LoadReport;

use super::Simulation;
use super::parts::{Attempt, Event, Host, job_index, service_time, task_id};
use crate::run::class_name;
use crate::sim::policies::{HostPolicy, PolicyKind};

const REPEATS_MAX: u32 = 2;

impl Simulation {
    pub(super) fn start_hosts(
        &mut self,
        policy_kind: PolicyKind,
        seed: u64,
        upstream: &UpstreamName,
    ) {
        let classes = self.mix.classes().iter().map(|load| {
            let target = ClassTarget {
                class: class_name(load.class),
                upstream: upstream.clone(),
                finish_within_ms: Millis(load.finish_within_ms.into()),
                may_run_twice: load.may_run_twice,
            };
            (target.class.clone(), target)
        });
        let classes: BTreeMap<_, _> = classes.collect();
        let count = u32::try_from(self.options.hosts).unwrap_or(u32::MAX);
        for index in 0..u64::from(count) {
            let mut policy = HostPolicy::new(policy_kind, seed * 1_000 + index, count);
            if let HostPolicy::Policy(inner) = &mut policy {
                inner.set_classes(Now::default(), &classes);
            }
            policy.set_executors(Now::default(), &self.executor_infos);
            policy.set_zone_hosts(Now::default(), count);
            self.hosts.push(Host {
                policy,
                is_up: true,
                wake_at: None,
            });
        }
    }

    /// Delivers a job to the entry host that its draw and its number of repeats select, or to the
    /// next one that is up. Without such a host, the job ends unanswered.
    pub(super) fn deliver_job(&mut self, job: usize) {
        let now = self.now();
        let count = self.hosts.len();
        let draw = self.jobs[job].planned.draw >> 8;
        let first = usize::try_from(draw).unwrap_or_default();
        let offset = usize::try_from(self.jobs[job].repeats).unwrap_or_default();
        let mut hosts = (0..count).map(|step| (first + offset + step) % count);
        let Some(host) = hosts.find(|host| self.hosts[*host].is_up) else {
            return self.record_job_end(job, None);
        };
        let load = self.mix.classes()[self.jobs[job].planned.class];
        let deadline = now.mono + Millis(load.finish_within_ms.into());
        let class = class_name(load.class);
        let tasks = self.jobs[job].planned.service_ms.len();
        let policy = &mut self.hosts[host].policy;
        match policy.admit(now, &class, tasks, deadline) {
            Admission::Accept => self.accept_job(job, host, deadline),
            Admission::Refuse {
                code,
                retry_after_ms,
            } => self.refuse_job(job, code, retry_after_ms),
        }
    }

    fn accept_job(&mut self, job: usize, host: usize, deadline: Mono) {
        let now = self.now();
        let load = self.mix.classes()[self.jobs[job].planned.class];
        let accepted = &mut self.jobs[job];
        accepted.host = host;
        accepted.is_running = true;
        accepted.deadline = deadline;
        let at_us = accepted.planned.at_us;
        for index in 0..accepted.planned.service_ms.len() {
            let queued = QueuedTask {
                task: task_id(job, at_us, index),
                class: class_name(load.class),
                deadline,
                may_run_twice: load.may_run_twice,
            };
            self.hosts[host].policy.enqueue(now, queued);
        }
        self.schedule_at(deadline.0, Event::Deadline { job });
        self.dispatch(host);
    }

    /// Handles the refusal of a job. Its caller sends it again after the wait in the answer, up to
    /// [`REPEATS_MAX`] times.
    fn refuse_job(&mut self, job: usize, code: ResultCode, wait: Millis) {
        self.wasted().refusals += 1;
        if self.jobs[job].repeats >= REPEATS_MAX {
            return self.record_job_end(job, Some(code));
        }
        self.jobs[job].repeats += 1;
        self.wasted().repeats += 1;
        let delay_us = wait.0 * 1_000 + 2 * self.options.caller_us;
        self.schedule_after(delay_us, Event::JobArrival { job });
    }

    /// Ends the jobs of expired tasks and starts every attempt that the policy decides.
    pub(super) fn dispatch(&mut self, host: usize) {
        let now = self.now();
        for expired in self.hosts[host].policy.take_expired(now) {
            self.expire_job(job_index(&expired.task), expired.code);
        }
        loop {
            match self.hosts[host].policy.next(now) {
                NextStep::Start {
                    task,
                    executor,
                    is_hedge,
                } => {
                    let attempt = self.attempts.len();
                    let job = job_index(&task);
                    self.attempts.push(Attempt {
                        host,
                        job,
                        task,
                        executor: self.executor_indexes[&executor],
                        is_pending: true,
                        outcome: AttemptOutcome::Lost,
                        service_us: 0,
                    });
                    self.wasted().hedges += u64::from(is_hedge);
                    self.jobs[job].has_started = true;
                    self.jobs[job].attempts.push(attempt);
                    self.schedule_after(self.options.upstream_us, Event::StartDelivery { attempt });
                }
                NextStep::WaitUntil(at) => return self.schedule_wake(host, at),
                NextStep::Idle => return,
            }
        }
    }

    fn schedule_wake(&mut self, host: usize, at: Mono) {
        let at = Mono(at.0.max(self.now_us + 1));
        let is_sooner = self.hosts[host]
            .wake_at
            .is_none_or(|scheduled| at < scheduled);
        if is_sooner {
            self.hosts[host].wake_at = Some(at);
            self.schedule_at(at.0, Event::Wake { host });
        }
    }

    pub(super) fn wake_host(&mut self, host: usize) {
        if self.hosts[host].wake_at == Some(Mono(self.now_us)) {
            self.hosts[host].wake_at = None;
            self.dispatch(host);
        }
    }

    /// Delivers the end of an attempt to its entry host.
    pub(super) fn deliver_answer(&mut self, attempt: usize) {
        let ended = &mut self.attempts[attempt];
        let (host, job) = (ended.host, ended.job);
        if !std::mem::take(&mut ended.is_pending) || !self.hosts[host].is_up {
            return;
        }
        let outcome = self.attempts[attempt].outcome;
        let end = self.attempt_end(attempt);
        let now = self.now();
        let step = self.hosts[host].policy.apply_attempt_end(now, &end);
        let is_current = self.jobs[job].host == host && !self.jobs[job].has_ended;
        self.count_wasted_attempt(outcome);
        match (outcome, step) {
            (AttemptOutcome::Finished, _) if is_current => self.finish_task(attempt),
            (AttemptOutcome::Finished, _) => {}
            // The job has already ended, so its task is not started again.
            (_, RetryStep::Queued) if !is_current => {
                let task = self.attempts[attempt].task;
                self.hosts[host].policy.withdraw(task);
            }
            (_, RetryStep::Queued) => self.wasted().retries += 1,
            (_, RetryStep::GiveUp(code)) if is_current => self.end_job(job, code),
            _ => {}
        }
        self.dispatch(host);
    }

    /// Counts an attempt that contributed to no answer.
    fn count_wasted_attempt(&mut self, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Finished | AttemptOutcome::Stopped => {}
            AttemptOutcome::Refused => self.wasted().executor_refusals += 1,
            _ => self.wasted().lost_starts += 1,
        }
    }

    fn attempt_end(&self, attempt: usize) -> AttemptEnd {
        let ended = &self.attempts[attempt];
        let executor = &self.executors[ended.executor];
        let has_answered = !matches!(ended.outcome, AttemptOutcome::Lost | AttemptOutcome::Unsent);
        let load = LoadReport {
            running: u32::try_from(executor.running.len()).unwrap_or(u32::MAX),
            queued: u32::try_from(executor.queue.len()).unwrap_or(u32::MAX),
            is_draining: false,
        };
        AttemptEnd {
            task: ended.task,
            executor: self.executor_infos[ended.executor].name.clone(),
            outcome: ended.outcome,
            service_us: service_time(ended),
            load: has_answered.then_some(load),
        }
    }

    fn finish_task(&mut self, attempt: usize) {
        let Attempt { job, task, .. } = self.attempts[attempt];
        let index = usize::from(task.index);
        if std::mem::replace(&mut self.jobs[job].done_tasks[index], true) {
            return;
        }
        self.jobs[job].remaining -= 1;
        let copies = self.jobs[job].attempts.clone();
        let is_copy = |other: &usize| self.attempts[*other].task == task;
        let copies: Vec<_> = copies.into_iter().filter(is_copy).collect();
        self.stop_attempts(&copies);
        if self.jobs[job].remaining == 0 {
            self.record_job_end(job, Some(ResultCode::Complete));
        }
    }

    /// Ends a job before it is complete: its answer is sent immediately, its queued tasks are withdrawn
    /// and its running attempts are stopped.
    pub(super) fn end_job(&mut self, job: usize, code: ResultCode) {
        self.record_job_end(job, Some(code));
        self.withdraw_job(job);
    }

    pub(super) fn withdraw_job(&mut self, job: usize) {
        let host = self.jobs[job].host;
        let at_us = self.jobs[job].planned.at_us;
        for index in 0..self.jobs[job].done_tasks.len() {
            let task = task_id(job, at_us, index);
            self.hosts[host].policy.withdraw(task);
        }
        let attempts = self.jobs[job].attempts.clone();
        self.stop_attempts(&attempts);
    }

    fn stop_attempts(&mut self, attempts: &[usize]) {
        for attempt in attempts {
            if self.attempts[*attempt].is_pending {
                self.wasted().stops += 1;
                let attempt = *attempt;
                self.schedule_after(self.options.upstream_us, Event::StopDelivery { attempt });
            }
        }
    }

    /// Ends the job of a queued task that the policy has removed: with `code`, or with
    /// [`ResultCode::DeadlinePassed`] if an attempt at one of the job's tasks has been started.
    fn expire_job(&mut self, job: usize, code: ResultCode) {
        if self.jobs[job].has_ended || !self.jobs[job].is_running {
            return;
        }
        let code = match self.jobs[job].has_started {
            true => ResultCode::DeadlinePassed,
            false => code,
        };
        self.end_job(job, code);
    }

    pub(super) fn check_deadline(&mut self, job: usize) {
        let state = &self.jobs[job];
        if state.has_ended || !state.is_running || self.now_us < state.deadline.0 {
            return;
        }
        let code = match state.has_started {
            true => ResultCode::DeadlinePassed,
            false => ResultCode::ExpiredInQueue,
        };
        self.end_job(job, code);
        self.dispatch(self.jobs[job].host);
    }
}
