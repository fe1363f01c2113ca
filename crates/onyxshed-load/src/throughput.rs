//! Closed-loop load: as many jobs as one entry host takes, with what each costs it.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use hdrhistogram::Histogram;
use http_types::Method;
use onyxshed_core::{Incarnation, ResultCode, SubmissionId};
use onyxshed_http::{ClientOptions, Connection};
use onyxshed_wire::caller::{Answer, CopyMark, JOBS_PATH, Submission};
use serde::Serialize;
use smol_str::SmolStr;

use crate::error::Result;
use crate::process::read_usage;
use crate::report::Percentiles;
use crate::run::{class_name, new_ulid, payload};
use crate::tally::{float, histogram};

/// What to send.
#[derive(Debug, Clone)]
pub struct ThroughputOptions {
    /// The entry host.
    pub entry: SocketAddr,
    /// Its process id.
    pub pid: u32,
    /// The class of the jobs.
    pub class: SmolStr,
    /// Callers, each with one job at a time.
    pub callers: u32,
    /// Tasks in each job, which run in no time.
    pub tasks: u16,
    /// How long to send.
    pub span: Duration,
    /// Whether ids are bound, so that no claim is needed.
    pub may_bind: bool,
}

/// What it took.
#[derive(Debug, Clone, Serialize)]
pub struct Throughput {
    /// Callers.
    pub callers: u32,
    /// Tasks in each job.
    pub tasks_per_job: u16,
    /// Whether ids were bound.
    pub is_bound: bool,
    /// Jobs answered complete, a second.
    pub jobs_per_s: f64,
    /// Tasks in them, a second.
    pub tasks_per_s: f64,
    /// Jobs answered otherwise or not at all.
    pub other: u64,
    /// Processor time of the entry process, in percent of one core.
    pub entry_core_percent: f64,
    /// Processor time of the entry process for each task, in microseconds.
    pub entry_us_per_task: f64,
    /// Its resident memory at the end, in KiB.
    pub entry_resident_kib: u64,
    /// Response times of complete jobs, in milliseconds.
    pub took_ms: Percentiles,
}

struct Counts {
    complete: u64,
    other: u64,
    took_us: Histogram<u64>,
    bound_to: Option<Incarnation>,
}

const TIMEOUT: Duration = Duration::from_secs(10);

/// Tries to load one entry host for a while.
pub async fn measure_throughput(
    executor: &LocalExecutor<'static>,
    options: Rc<ThroughputOptions>,
) -> Result<Throughput> {
    let counts = Rc::new(RefCell::new(Counts {
        complete: 0,
        other: 0,
        took_us: histogram(),
        bound_to: None,
    }));
    let before = read_usage(options.pid)?;
    let started_at = Instant::now();
    let callers: Vec<_> = (0..options.callers)
        .map(|_| executor.spawn(run_caller(options.clone(), counts.clone(), started_at)))
        .collect();
    for caller in callers {
        caller.await;
    }
    let took_s = started_at.elapsed().as_secs_f64();
    let after = read_usage(options.pid)?;
    let counts = counts.borrow();
    let processor_ms = float(after.processor_ms - before.processor_ms);
    let tasks = float(counts.complete) * f64::from(options.tasks);
    Ok(Throughput {
        callers: options.callers,
        tasks_per_job: options.tasks,
        is_bound: options.may_bind,
        jobs_per_s: float(counts.complete) / took_s,
        tasks_per_s: tasks / took_s,
        other: counts.other,
        entry_core_percent: processor_ms / took_s / 10.0,
        entry_us_per_task: processor_ms * 1_000.0 / tasks.max(1.0),
        entry_resident_kib: after.resident_kib,
        took_ms: Percentiles::of(&counts.took_us, 1_000.0),
    })
}

/// One caller: a job, its answer, the next job.
async fn run_caller(
    options: Rc<ThroughputOptions>,
    counts: Rc<RefCell<Counts>>,
    started_at: Instant,
) {
    let opened = Connection::open(options.entry, ClientOptions::default()).await;
    let Ok(mut connection) = opened else {
        counts.borrow_mut().other += 1;
        return;
    };
    while started_at.elapsed() < options.span {
        let bound_to = counts.borrow().bound_to;
        let body = encode_job(&options, bound_to);
        let sent_at = Instant::now();
        let reply = connection
            .call(Method::Post, JOBS_PATH, &[], body, TIMEOUT)
            .await;
        let Ok(reply) = reply else {
            counts.borrow_mut().other += 1;
            return;
        };
        let answer = Answer::decode(&reply.body).ok();
        let mut counts = counts.borrow_mut();
        if options.may_bind {
            counts.bound_to = answer.as_ref().and_then(|answer| answer.bind_to);
        }
        match answer.and_then(|answer| answer.code) {
            Some(ResultCode::Complete) => {
                counts.complete += 1;
                let took_us = u64::try_from(sent_at.elapsed().as_micros()).unwrap_or(u64::MAX);
                counts.took_us.saturating_record(took_us);
            }
            _ => counts.other += 1,
        }
    }
}

fn encode_job(options: &ThroughputOptions, bound_to: Option<Incarnation>) -> Vec<u8> {
    let job = Submission {
        submission: SubmissionId {
            ulid: new_ulid(rand::random()),
            bound_to,
        },
        class: class_name(&options.class),
        deadline_ms: None,
        copy: CopyMark::First,
        tasks: (0..options.tasks).map(|_| payload(0)).collect(),
    };
    serde_json::to_vec(&job).expect("submissions hold only what JSON can write")
}
