//! Closed-loop load: measures the greatest throughput of one entry host, and the processor time
//! that each task costs it.

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

/// Options of [`measure_throughput`].
#[derive(Debug, Clone)]
pub struct ThroughputOptions {
    /// Address of the entry host.
    pub entry: SocketAddr,
    /// Process id of the entry process.
    pub pid: u32,
    /// Class of the jobs.
    pub class: SmolStr,
    /// Number of callers, each with one job at a time.
    pub callers: u32,
    /// Number of tasks in each job; their service time is 0.
    pub tasks: u16,
    /// Time after which no caller sends another job.
    pub span: Duration,
    /// Whether ids are bound, so that no claim is needed.
    pub may_bind: bool,
}

/// Throughput of an entry host in a closed loop, with its processor time and memory.
#[derive(Debug, Clone, Serialize)]
pub struct Throughput {
    /// Number of callers, each with one job at a time.
    pub callers: u32,
    /// Number of tasks in each job.
    pub tasks_per_job: u16,
    /// Whether ids were bound.
    pub is_bound: bool,
    /// Jobs per second that were answered as complete.
    pub jobs_per_s: f64,
    /// Tasks per second in those jobs.
    pub tasks_per_s: f64,
    /// Number of jobs with another answer or none.
    pub other: u64,
    /// Processor time of the entry process, as a percentage of one core.
    pub entry_core_percent: f64,
    /// Processor time of the entry process per task, in microseconds.
    pub entry_us_per_task: f64,
    /// Resident memory of the entry process at the end, in KiB.
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

/// Runs the callers until `span` has passed and their last jobs have ended. Fails if the memory and
/// processor time of the entry process can't be read.
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

/// Runs one caller, which sends the next job when it has the answer to the one before.
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
    serde_json::to_vec(&job).expect("submissions are serializable as JSON")
}
