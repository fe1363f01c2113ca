//! A queueing model in virtual time: entry hosts with one policy each, executors with slots, a
//! queue and faults, a network with a fixed delay, and callers whose arrivals do not depend on the
//! responses.

#![expect(
    clippy::cast_possible_truncation,
    reason = "model times and counts are small"
)]

use std::collections::BTreeMap;

use onyxshed_core::{Micros, ResultCode, SubmissionId, TaskId};
use onyxshed_policy::{
    Admission, AttemptEnd, AttemptOutcome, ExecutorInfo, NextStep, PlacementKind, Policy,
    PolicyOptions, RetryStep,
};
use onyxshed_wire::upstream::LoadReport;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::fixture::{at_us, task, work};
use crate::parts::{Fault, Job, ModelExecutor, Stream, Tally};

/// One-way delay between entry host and executor, in microseconds.
const NET_US: u64 = 300;

/// Time after which an attempt without a response counts as lost, in microseconds.
const LOST_AFTER_US: u64 = 3_000_000;

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Deliver(usize, usize, TaskId),
    Stop(usize, usize, TaskId),
    Done(usize, usize, TaskId, u64, bool),
    Reply(usize, Box<AttemptEnd>),
    Wake(usize),
}

/// The model with its entry hosts, executors, callers and pending events.
pub struct Model {
    pub policies: Vec<Policy>,
    pub tallies: Vec<Tally>,
    /// Number of start and stop messages sent.
    pub sent: u64,
    pub answered: u64,
    /// Number of starts that had to wait for a slot at their executor.
    pub queued_at_executor: u64,
    /// Fraction of the jobs that are sent to the first entry host; the others are sent to a random
    /// host.
    pub skew: f64,
    streams: Vec<Stream>,
    execs: Vec<ModelExecutor>,
    jobs: BTreeMap<SubmissionId, Job>,
    events: BTreeMap<(u64, u64), Event>,
    wakeups: Vec<Option<u64>>,
    last_event: u64,
    last_job: u64,
    fastest: f64,
    rng: SmallRng,
}

impl Model {
    pub fn new(
        kind: PlacementKind,
        hosts: u32,
        seed: u64,
        streams: Vec<Stream>,
        execs: Vec<ModelExecutor>,
    ) -> Self {
        let infos: Vec<ExecutorInfo> = execs.iter().map(|exec| exec.info.clone()).collect();
        let classes = streams
            .iter()
            .map(|stream| (stream.target.class.clone(), stream.target.clone()))
            .collect();
        let policies = (0..hosts).map(|host| {
            let options = PolicyOptions {
                placement: kind,
                ..PolicyOptions::default()
            };
            let mut policy = Policy::new(options, seed + u64::from(host));
            policy.set_classes(at_us(0), &classes);
            policy.set_executors(at_us(0), &infos);
            policy.set_zone_hosts(at_us(0), hosts);
            policy
        });
        let mut model = Model {
            policies: policies.collect(),
            tallies: vec![Tally::default(); streams.len()],
            sent: 0,
            answered: 0,
            queued_at_executor: 0,
            skew: 0.0,
            wakeups: vec![None; hosts as usize],
            fastest: execs.iter().map(|exec| exec.speed).fold(0.0, f64::max),
            streams,
            execs,
            jobs: BTreeMap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            last_job: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for stream in 0..model.streams.len() {
            let from_us = model.streams[stream].from_ms * 1_000;
            model.schedule(from_us, Event::Arrive(stream));
        }
        model
    }

    /// Processes events in order of time until none is left.
    pub fn run(&mut self) {
        while let Some(((us, _), event)) = self.events.pop_first() {
            self.handle(us, event);
        }
    }

    /// Returns the number of messages that did not contribute to an answer, divided by the number
    /// of answered tasks.
    pub fn wasted_share(&self) -> f64 {
        (self.sent - self.answered) as f64 / self.answered.max(1) as f64
    }

    /// Returns how many tasks the executor has started since `since_ms`.
    pub fn starts_on(&self, exec: usize, since_ms: u64) -> usize {
        let starts = self.execs[exec].starts_us.iter();
        starts.filter(|us| **us >= since_ms * 1_000).count()
    }

    fn schedule(&mut self, us: u64, event: Event) {
        self.last_event += 1;
        self.events.insert((us, self.last_event), event);
    }

    fn handle(&mut self, us: u64, event: Event) {
        match event {
            Event::Arrive(stream) => self.arrive(us, stream),
            Event::Deliver(exec, host, task) => self.deliver(us, exec, host, task),
            Event::Stop(exec, host, task) => self.stop(us, exec, host, task),
            Event::Done(exec, host, task, started_us, is_ok) => {
                if self.execs[exec].running.get(&(host, task)) == Some(&started_us) {
                    let outcome = if is_ok {
                        AttemptOutcome::Finished
                    } else {
                        AttemptOutcome::Failed
                    };
                    self.end(us, exec, host, task, outcome, us - started_us);
                }
            }
            Event::Reply(host, end) => self.reply(us, host, &end),
            Event::Wake(host) => {
                if self.wakeups[host] == Some(us) {
                    self.wakeups[host] = None;
                    self.run_policy(us, host);
                }
            }
        }
    }

    fn arrive(&mut self, us: u64, index: usize) {
        let stream = self.streams[index].clone();
        if us >= stream.until_ms * 1_000 {
            return;
        }
        let gap_us = -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() / stream.per_s * 1e6;
        self.schedule(us + gap_us as u64 + 1, Event::Arrive(index));
        let services_us = (0..stream.tasks)
            .map(|_| self.draw_service_us(&stream))
            .collect();
        let host = self.draw_host();
        self.last_job += 1;
        let first = task(self.last_job, 0);
        let now = at_us(us);
        self.tallies[index].offered += 1;
        let deadline = now.mono + stream.target.finish_within_ms;
        let (class, count) = (&stream.target.class, usize::from(stream.tasks));
        if self.policies[host].admit(now, class, count, deadline) != Admission::Accept {
            self.tallies[index].refused += 1;
            return;
        }
        let job = Job {
            stream: index,
            host,
            arrived_us: us,
            services_us,
            is_done: vec![false; count],
        };
        self.jobs.insert(first.submission, job);
        for index in 0..stream.tasks {
            let id = TaskId { index, ..first };
            self.policies[host].enqueue(now, work(id, &stream.target, now));
        }
        self.run_policy(us, host);
    }

    fn draw_service_us(&mut self, stream: &Stream) -> f64 {
        // A sum of uniform samples approximates a normal distribution.
        let normal: f64 = (0..4).map(|_| self.rng.random_range(-0.5..0.5)).sum();
        stream.median_ms * 1_000.0 * (normal * 0.9).exp()
    }

    fn draw_host(&mut self) -> usize {
        let is_skewed = self.skew > 0.0 && self.rng.random_bool(self.skew);
        if is_skewed {
            0
        } else {
            self.rng.random_range(0..self.policies.len())
        }
    }

    fn run_policy(&mut self, us: u64, host: usize) {
        let now = at_us(us);
        for task in self.policies[host].take_expired_ids(now) {
            self.fail_job(us, task);
        }
        loop {
            match self.policies[host].next(now) {
                NextStep::Start { task, executor, .. } => {
                    let exec = self.exec_of(&executor.to_string());
                    self.sent += 1;
                    self.schedule(us + NET_US, Event::Deliver(exec, host, task));
                }
                NextStep::WaitUntil(wake_us) => {
                    let wake_us = wake_us.0.max(us + 1);
                    if self.wakeups[host].is_none_or(|wakeup| wakeup > wake_us || wakeup <= us) {
                        self.wakeups[host] = Some(wake_us);
                        self.schedule(wake_us, Event::Wake(host));
                    }
                    return;
                }
                NextStep::Idle => return,
            }
        }
    }

    fn exec_of(&self, name: &str) -> usize {
        let found = self.execs.iter().position(|e| e.info.name.as_str() == name);
        found.expect("the policy must start tasks only on known executors")
    }

    fn deliver(&mut self, us: u64, exec: usize, host: usize, task: TaskId) {
        match self.execs[exec].fault_at(us) {
            Fault::Dead => {
                self.end_without_response(us, exec, host, task, AttemptOutcome::Unsent, 0)
            }
            Fault::Silent => {
                self.end_without_response(
                    us,
                    exec,
                    host,
                    task,
                    AttemptOutcome::Lost,
                    LOST_AFTER_US,
                );
            }
            _ if self.execs[exec].running.len() < self.execs[exec].info.slots as usize => {
                self.start_task(us, exec, host, task);
            }
            _ if self.execs[exec].queue.len() < self.execs[exec].queue_max => {
                self.queued_at_executor += 1;
                self.execs[exec].queue.push_back((host, task));
            }
            _ => self.send_end(us, exec, host, task, AttemptOutcome::Refused, None),
        }
    }

    fn start_task(&mut self, us: u64, exec: usize, host: usize, task: TaskId) {
        let fault = self.execs[exec].fault_at(us);
        self.execs[exec].starts_us.push(us);
        let job = self.jobs.get(&task.submission);
        let service_us = job.map_or(0.0, |job| job.services_us[usize::from(task.index)]);
        let service_us = service_us / self.execs[exec].speed;
        let never_runs = job.is_some_and(|job| self.streams[job.stream].never_runs);
        let (service_us, is_ok) = match fault {
            Fault::Slow(factor) => (service_us * factor, !never_runs),
            Fault::FailsAll => (1_000.0, false),
            _ => (service_us, !never_runs),
        };
        self.execs[exec].running.insert((host, task), us);
        let done_us = us + service_us as u64 + 1;
        self.schedule(done_us, Event::Done(exec, host, task, us, is_ok));
    }

    fn end(
        &mut self,
        us: u64,
        exec: usize,
        host: usize,
        task: TaskId,
        outcome: AttemptOutcome,
        ran_us: u64,
    ) {
        self.execs[exec].running.remove(&(host, task));
        if let Some((next_host, next)) = self.execs[exec].queue.pop_front() {
            self.start_task(us, exec, next_host, next);
        }
        self.send_end(us, exec, host, task, outcome, Some(Micros(ran_us)));
    }

    fn stop(&mut self, us: u64, exec: usize, host: usize, task: TaskId) {
        let before = self.execs[exec].queue.len();
        self.execs[exec]
            .queue
            .retain(|queued| *queued != (host, task));
        if self.execs[exec].running.contains_key(&(host, task)) {
            self.end(us, exec, host, task, AttemptOutcome::Stopped, 0);
        } else if self.execs[exec].queue.len() < before {
            self.send_end(us, exec, host, task, AttemptOutcome::Stopped, None);
        }
    }

    fn send_end(
        &mut self,
        us: u64,
        exec: usize,
        host: usize,
        task: TaskId,
        outcome: AttemptOutcome,
        service_us: Option<Micros>,
    ) {
        let load = LoadReport {
            running: self.execs[exec].running.len() as u32,
            queued: self.execs[exec].queue.len() as u32,
            is_draining: false,
        };
        let end = AttemptEnd {
            task,
            executor: self.execs[exec].info.name.clone(),
            outcome,
            service_us,
            load: Some(load),
        };
        self.schedule(us + NET_US, Event::Reply(host, Box::new(end)));
    }

    fn end_without_response(
        &mut self,
        us: u64,
        exec: usize,
        host: usize,
        task: TaskId,
        outcome: AttemptOutcome,
        after_us: u64,
    ) {
        let end = AttemptEnd {
            task,
            executor: self.execs[exec].info.name.clone(),
            outcome,
            service_us: None,
            load: None,
        };
        self.schedule(us + NET_US + after_us, Event::Reply(host, Box::new(end)));
    }

    fn reply(&mut self, us: u64, host: usize, end: &AttemptEnd) {
        let now = at_us(us);
        let step = self.policies[host].apply_attempt_end(now, end);
        if end.outcome == AttemptOutcome::Finished {
            self.finish(us, host, end.task);
        } else if let RetryStep::GiveUp(code) = step {
            // A caller that learns that a task failed has received an answer too.
            let is_answer = matches!(code, ResultCode::TaskFailed | ResultCode::NeverRuns);
            let is_running = self.jobs.contains_key(&end.task.submission);
            self.answered += u64::from(is_answer && is_running);
            self.fail_job(us, end.task);
        }
        self.run_policy(us, host);
    }

    fn finish(&mut self, us: u64, host: usize, id: TaskId) {
        self.stop_copies(us, host, id);
        let Some(job) = self.jobs.get_mut(&id.submission) else {
            return;
        };
        job.is_done[usize::from(id.index)] = true;
        if job.is_done.iter().all(|is_done| *is_done)
            && let Some(job) = self.jobs.remove(&id.submission)
        {
            self.complete(us, &job);
        }
    }

    fn stop_copies(&mut self, us: u64, host: usize, id: TaskId) {
        for copy in self.policies[host].executors_running(id) {
            let exec = self.exec_of(&copy.to_string());
            self.sent += 1;
            self.schedule(us + NET_US, Event::Stop(exec, host, id));
        }
    }

    fn complete(&mut self, us: u64, job: &Job) {
        self.answered += job.services_us.len() as u64;
        let stream = &self.streams[job.stream];
        let response_us = us - job.arrived_us;
        let longest_us = job.services_us.iter().copied().fold(0.0, f64::max);
        let ideal_us = longest_us / self.fastest + 2.0 * NET_US as f64;
        let tally = &mut self.tallies[job.stream];
        tally.ratios.push(response_us as f64 / ideal_us);
        if response_us <= Micros::from(stream.target.finish_within_ms).0 {
            tally.hits += 1;
        } else {
            tally.late += 1;
        }
    }

    /// Ends a failed job: its queued tasks are withdrawn and its running tasks are stopped.
    fn fail_job(&mut self, us: u64, id: TaskId) {
        let Some(job) = self.jobs.remove(&id.submission) else {
            return;
        };
        self.tallies[job.stream].failed += 1;
        for (index, is_done) in (0_u16..).zip(&job.is_done) {
            let id = TaskId { index, ..id };
            if !is_done && !self.policies[job.host].withdraw(id) {
                self.stop_copies(us, job.host, id);
            }
        }
    }
}
