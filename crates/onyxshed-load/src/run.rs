//! `onyxshed-load run`: open-loop load on entry hosts over HTTP.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use async_executor::LocalExecutor;
use async_io::Timer;
use onyxshed_core::{ClassName, SubmissionId};
use onyxshed_wire::caller::{CopyMark, Submission};
use ulid::Ulid;

use crate::caller::{CallerOptions, Callers};
use crate::mix::Mix;
use crate::plan::{PlanOptions, PlannedJob, plan};
use crate::report::Report;
use crate::tally::{JobEnd, Tally};

/// Options of [`run`].
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Addresses of the entry hosts; jobs are spread evenly over them.
    pub entries: Vec<SocketAddr>,
    /// Options of the plan from which the arrivals are drawn.
    pub plan: PlanOptions,
    /// Retry, binding and timeout rules of the callers.
    pub caller: CallerOptions,
    /// Shortest possible network time of one job, in microseconds, which is part of the ideal
    /// response time.
    pub network_us: u64,
}

struct Runner {
    mix: Mix,
    callers: Callers,
    tally: RefCell<Tally>,
    network_us: u64,
    lag_max_us: Cell<u64>,
    started_at: Instant,
}

/// Sends every planned job at its time, waits until the last job has ended, and returns the report.
pub async fn run(executor: &LocalExecutor<'static>, options: &RunOptions) -> Report {
    let jobs = plan(&options.plan);
    let runner = Rc::new(Runner {
        mix: options.plan.mix,
        callers: Callers::new(&options.entries, options.caller),
        tally: RefCell::new(Tally::new(options.plan.mix)),
        network_us: options.network_us,
        lag_max_us: Cell::new(0),
        started_at: Instant::now(),
    });
    let mut pending = Vec::with_capacity(jobs.len());
    for job in jobs {
        let planned_at = runner.started_at + Duration::from_micros(job.at_us);
        if planned_at > Instant::now() {
            Timer::at(planned_at).await;
        }
        let runner = runner.clone();
        pending.push(executor.spawn(async move { runner.submit_job(job).await }));
    }
    for job in pending {
        job.await;
    }
    let mut tally = runner.tally.borrow_mut();
    tally.wasted = runner.callers.wasted();
    let plan = &options.plan;
    Report::new(&tally, plan.seed, plan.span_s, runner.lag_max_us.get())
}

impl Runner {
    /// Submits one job at its planned arrival and records its end.
    async fn submit_job(&self, job: PlannedJob) {
        let lag_us = self.now_us().saturating_sub(job.at_us);
        self.lag_max_us.set(self.lag_max_us.get().max(lag_us));
        let load = &self.mix.classes()[job.class];
        let target = Duration::from_millis(load.finish_within_ms.into());
        let submission = self.build_submission(&job);
        let answer = self.callers.submit(job.draw, &submission, target).await;
        self.tally.borrow_mut().record(&JobEnd {
            class: job.class,
            tasks: job.service_ms.len() as u64,
            code: answer.and_then(|answer| answer.code),
            took_us: self.now_us().saturating_sub(job.at_us),
            ideal_us: u64::from(job.longest_ms()) * 1_000 + self.network_us,
            finish_within_us: u64::from(load.finish_within_ms) * 1_000,
        });
    }

    fn build_submission(&self, job: &PlannedJob) -> Submission {
        let load = &self.mix.classes()[job.class];
        let id = SubmissionId::unbound(new_ulid(job.draw));
        Submission {
            submission: self.callers.bind_id(job.draw, id),
            class: class_name(load.class),
            deadline_ms: None,
            copy: CopyMark::First,
            tasks: job.service_ms.iter().map(|ms| payload(*ms)).collect(),
        }
    }

    fn now_us(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or(u64::MAX)
    }
}

/// Returns a new ULID with the current time. Part of it is drawn anew at each call, so that two
/// runs with the same seed do not share ids.
pub fn new_ulid(draw: u64) -> Ulid {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let now_ms = u64::try_from(since_epoch.as_millis()).unwrap_or_default();
    let random = (u128::from(draw) << 64) | u128::from(rand::random::<u64>());
    Ulid::from_parts(now_ms, random)
}

/// Returns the payload that makes a stand-in executor run a task for `service_ms` milliseconds.
pub fn payload(service_ms: u32) -> Vec<u8> {
    format!("{{\"service_ms\":{service_ms},\"echo\":\"x\"}}").into_bytes()
}

/// Parses the name of a class. Panics if the name is not valid.
pub fn class_name(class: &str) -> ClassName {
    class.parse().expect("the mixes' names are valid")
}
