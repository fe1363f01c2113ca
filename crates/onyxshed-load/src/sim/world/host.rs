//! The entry hosts: what the thin shell around the policy does with its steps.

use std::collections::BTreeMap;

use onyxshed_core::{ClassTarget, Millis, Mono, Now, ResultCode, UpstreamName};
use onyxshed_policy::{Admission, AttemptEnd, AttemptOutcome, NextStep, QueuedTask, RetryStep};
use onyxshed_wire::upstream::LoadReport;

use super::World;
use super::parts::{Attempt, Event, Host, job_of, service_of, task_id};
use crate::run::class_name;
use crate::sim::chooser::{Chooser, Rival};

const REPEATS_MAX: u32 = 2;

impl World {
    pub(super) fn start_hosts(&mut self, rival: Rival, seed: u64, upstream: &UpstreamName) {
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
        for place in 0..u64::from(count) {
            let mut chooser = Chooser::new(rival, seed * 1_000 + place, count);
            if let Chooser::Policy(policy) = &mut chooser {
                policy.set_classes(Now::default(), &classes);
            }
            chooser.set_executors(Now::default(), &self.infos);
            chooser.set_sharers(Now::default(), count);
            self.hosts.push(Host {
                chooser,
                is_alive: true,
                wakes_at: None,
            });
        }
    }

    /// A job reaches an entry host: the one its draw names, or the next that lives.
    pub(super) fn arrive(&mut self, job: usize) {
        let now = self.now();
        let count = self.hosts.len();
        let draw = self.jobs[job].planned.draw >> 8;
        let first = usize::try_from(draw).unwrap_or_default();
        let turn = usize::try_from(self.jobs[job].tries).unwrap_or_default();
        let mut hosts = (0..count).map(|step| (first + turn + step) % count);
        let Some(host) = hosts.find(|host| self.hosts[*host].is_alive) else {
            return self.record(job, None);
        };
        let load = self.mix.classes()[self.jobs[job].planned.class];
        let deadline = now.mono + Millis(load.finish_within_ms.into());
        let class = class_name(load.class);
        let tasks = self.jobs[job].planned.service_ms.len();
        let chooser = &mut self.hosts[host].chooser;
        match chooser.admit(now, &class, tasks, deadline) {
            Admission::Accept => self.take_in(job, host, deadline),
            Admission::Refuse {
                code,
                retry_after_ms,
            } => self.refused(job, code, retry_after_ms),
        }
    }

    fn take_in(&mut self, job: usize, host: usize, deadline: Mono) {
        let now = self.now();
        let load = self.mix.classes()[self.jobs[job].planned.class];
        let taken = &mut self.jobs[job];
        taken.host = host;
        taken.is_running = true;
        taken.deadline = deadline;
        let at_us = taken.planned.at_us;
        for index in 0..taken.planned.service_ms.len() {
            let work = QueuedTask {
                task: task_id(job, at_us, index),
                class: class_name(load.class),
                deadline,
                may_run_twice: load.may_run_twice,
            };
            self.hosts[host].chooser.enqueue(now, work);
        }
        self.at(deadline.0, Event::Deadline { job });
        self.pump(host);
    }

    /// The caller is told "not run" and comes back when told, a bounded number of times.
    fn refused(&mut self, job: usize, code: ResultCode, wait: Millis) {
        self.wasted().refusals += 1;
        if self.jobs[job].tries >= REPEATS_MAX {
            return self.record(job, Some(code));
        }
        self.jobs[job].tries += 1;
        self.wasted().repeats += 1;
        let back_us = wait.0 * 1_000 + 2 * self.options.caller_us;
        self.after(back_us, Event::Arrive { job });
    }

    /// Starts whatever the policy wants started.
    pub(super) fn pump(&mut self, host: usize) {
        let now = self.now();
        for expired in self.hosts[host].chooser.expired(now) {
            self.expired(job_of(&expired.task), expired.code);
        }
        loop {
            match self.hosts[host].chooser.next(now) {
                NextStep::Start {
                    task,
                    executor,
                    is_hedge,
                } => {
                    let attempt = self.attempts.len();
                    let job = job_of(&task);
                    self.attempts.push(Attempt {
                        host,
                        job,
                        task,
                        executor: self.places[&executor],
                        is_open: true,
                        verdict: AttemptOutcome::Lost,
                        service_us: 0,
                    });
                    self.wasted().hedges += u64::from(is_hedge);
                    self.jobs[job].has_started = true;
                    self.jobs[job].attempts.push(attempt);
                    self.after(self.options.upstream_us, Event::Reach { attempt });
                }
                NextStep::WaitUntil(at) => return self.wake_at(host, at),
                NextStep::Idle => return,
            }
        }
    }

    fn wake_at(&mut self, host: usize, at: Mono) {
        let at = Mono(at.0.max(self.now_us + 1));
        let is_sooner = self.hosts[host].wakes_at.is_none_or(|known| at < known);
        if is_sooner {
            self.hosts[host].wakes_at = Some(at);
            self.at(at.0, Event::Wake { host });
        }
    }

    pub(super) fn wake(&mut self, host: usize) {
        if self.hosts[host].wakes_at == Some(Mono(self.now_us)) {
            self.hosts[host].wakes_at = None;
            self.pump(host);
        }
    }

    /// An attempt's end is known to its entry host.
    pub(super) fn answer(&mut self, attempt: usize) {
        let ended = &mut self.attempts[attempt];
        let (host, job) = (ended.host, ended.job);
        if !std::mem::take(&mut ended.is_open) || !self.hosts[host].is_alive {
            return;
        }
        let verdict = self.attempts[attempt].verdict;
        let end = self.attempt_end(attempt);
        let now = self.now();
        let step = self.hosts[host].chooser.ended(now, &end);
        let is_current = self.jobs[job].host == host && !self.jobs[job].is_over;
        self.count_end(verdict);
        match (verdict, step) {
            (AttemptOutcome::Finished, _) if is_current => self.task_done(attempt),
            (AttemptOutcome::Finished, _) => {}
            // A job that has ended meanwhile gets no further start.
            (_, RetryStep::Queued) if !is_current => {
                let task = self.attempts[attempt].task;
                self.hosts[host].chooser.withdraw(task);
            }
            (_, RetryStep::Queued) => self.wasted().retries += 1,
            (_, RetryStep::GiveUp(code)) if is_current => self.finish(job, code),
            _ => {}
        }
        self.pump(host);
    }

    /// Counts an attempt that served no answer.
    fn count_end(&mut self, verdict: AttemptOutcome) {
        match verdict {
            AttemptOutcome::Finished | AttemptOutcome::Stopped => {}
            AttemptOutcome::Refused => self.wasted().executor_refusals += 1,
            _ => self.wasted().lost_starts += 1,
        }
    }

    fn attempt_end(&self, attempt: usize) -> AttemptEnd {
        let ended = &self.attempts[attempt];
        let executor = &self.executors[ended.executor];
        let has_answered = !matches!(ended.verdict, AttemptOutcome::Lost | AttemptOutcome::Unsent);
        let load = LoadReport {
            running: u32::try_from(executor.running.len()).unwrap_or(u32::MAX),
            queued: u32::try_from(executor.queue.len()).unwrap_or(u32::MAX),
            is_draining: false,
        };
        AttemptEnd {
            task: ended.task,
            executor: self.infos[ended.executor].name.clone(),
            outcome: ended.verdict,
            service_us: service_of(ended),
            load: has_answered.then_some(load),
        }
    }

    fn task_done(&mut self, attempt: usize) {
        let Attempt { job, task, .. } = self.attempts[attempt];
        let index = usize::from(task.index);
        if std::mem::replace(&mut self.jobs[job].done[index], true) {
            return;
        }
        self.jobs[job].left -= 1;
        let copies = self.jobs[job].attempts.clone();
        let is_copy = |other: &usize| self.attempts[*other].task == task;
        let copies: Vec<_> = copies.into_iter().filter(is_copy).collect();
        self.stop_all(&copies);
        if self.jobs[job].left == 0 {
            self.record(job, Some(ResultCode::Complete));
        }
    }

    /// Ends a job before it is complete: its answer goes out at once, what waits is withdrawn and
    /// what runs is stopped.
    pub(super) fn finish(&mut self, job: usize, code: ResultCode) {
        self.record(job, Some(code));
        self.abandon(job);
    }

    pub(super) fn abandon(&mut self, job: usize) {
        let host = self.jobs[job].host;
        let at_us = self.jobs[job].planned.at_us;
        for index in 0..self.jobs[job].done.len() {
            let task = task_id(job, at_us, index);
            self.hosts[host].chooser.withdraw(task);
        }
        let attempts = self.jobs[job].attempts.clone();
        self.stop_all(&attempts);
    }

    fn stop_all(&mut self, attempts: &[usize]) {
        for attempt in attempts {
            if self.attempts[*attempt].is_open {
                self.wasted().stops += 1;
                let attempt = *attempt;
                self.after(self.options.upstream_us, Event::Stop { attempt });
            }
        }
    }

    /// The policy has given up a waiting task, and its job with it.
    fn expired(&mut self, job: usize, code: ResultCode) {
        if self.jobs[job].is_over || !self.jobs[job].is_running {
            return;
        }
        let code = match self.jobs[job].has_started {
            true => ResultCode::DeadlinePassed,
            false => code,
        };
        self.finish(job, code);
    }

    pub(super) fn deadline(&mut self, job: usize) {
        let due = &self.jobs[job];
        if due.is_over || !due.is_running || self.now_us < due.deadline.0 {
            return;
        }
        let code = match due.has_started {
            true => ResultCode::DeadlinePassed,
            false => ResultCode::ExpiredInQueue,
        };
        self.finish(job, code);
        self.pump(self.jobs[job].host);
    }
}
