//! `onyxshed-load direct`: runs one task at a time, alternately by a direct call to an executor and
//! through an entry host, so that the time which the entry host adds is measured under the same
//! conditions.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_io::Timer;
use hdrhistogram::Histogram;
use http_types::Method;
use onyxshed_core::{Incarnation, ResultCode, SubmissionId, TaskId};
use onyxshed_http::{CallError, ClientOptions, Connection};
use onyxshed_wire::caller::{Answer, CopyMark, JOBS_PATH, Submission};
use onyxshed_wire::upstream::{
    ATTEMPT_HEADER, CLASS_HEADER, LEASE_HEADER, STARTER_HEADER, STATE_HEADER, TaskState, task_path,
};
use serde::Serialize;
use smol_str::SmolStr;

use crate::error::{Error, Result};
use crate::report::Percentiles;
use crate::run::{class_name, new_ulid, payload};
use crate::tally::histogram;

/// Options of [`compare`].
#[derive(Debug, Clone)]
pub struct DirectOptions {
    /// Address of the executor to call.
    pub executor: SocketAddr,
    /// Address of the entry host to compare with. Without it, only the executor is measured.
    pub entry: Option<SocketAddr>,
    /// Name of the published class with which the tasks are submitted and started.
    pub class: SmolStr,
    /// Number of tasks on each path.
    pub count: u32,
    /// Run time of each task, in milliseconds.
    pub service_ms: u32,
    /// Pause between two tasks, which keeps claims from waiting for the entry host's append budget.
    pub pause: Duration,
    /// Whether ids are bound to the entry host's incarnation, so that they need no claim.
    pub may_bind: bool,
}

/// Response times on both paths, in microseconds.
#[derive(Debug, Clone, Serialize)]
pub struct DirectReport {
    /// Response times of direct calls to the executor.
    pub direct_us: Percentiles,
    /// Response times through the entry host; `None` if there is none.
    pub entry_us: Option<Percentiles>,
    /// `entry_us` minus `direct_us`, percentile by percentile; `None` if there is no entry host.
    pub added_us: Option<Percentiles>,
    /// Number of calls whose task did not finish.
    pub failed: u64,
}

const TIMEOUT: Duration = Duration::from_secs(10);
const LEASE_MS: &str = "10000";

struct Comparison {
    options: DirectOptions,
    executor: Connection,
    entry: Option<Connection>,
    bound_to: Option<Incarnation>,
    failed: u64,
}

/// Runs the comparison, one task at a time. Fails if a call fails or the executor finishes no task.
pub async fn compare(options: DirectOptions) -> Result<DirectReport> {
    let executor = connect(options.executor).await?;
    let entry = match options.entry {
        Some(address) => Some(connect(address).await?),
        None => None,
    };
    let mut comparison = Comparison {
        options,
        executor,
        entry,
        bound_to: None,
        failed: 0,
    };
    comparison.run().await
}

async fn connect(address: SocketAddr) -> Result<Connection> {
    Connection::open(address, ClientOptions::default())
        .await
        .map_err(|error| call_error(address, &error))
}

fn call_error(address: SocketAddr, error: &CallError) -> Error {
    Error::unreachable(address, &error.reason)
}

impl Comparison {
    async fn run(&mut self) -> Result<DirectReport> {
        let (mut direct_times, mut entry_times) = (histogram(), histogram());
        for draw in 0..u64::from(self.options.count) {
            self.measure_executor(draw, &mut direct_times).await?;
            self.measure_entry(draw, &mut entry_times).await?;
            if !self.options.pause.is_zero() {
                Timer::after(self.options.pause).await;
            }
        }
        if direct_times.is_empty() {
            let reason = "the executor finished none of the tasks";
            return Err(Error::unreachable(self.options.executor, reason));
        }
        let direct_us = Percentiles::of(&direct_times, 1.0);
        let entry_us = self
            .entry
            .is_some()
            .then(|| Percentiles::of(&entry_times, 1.0));
        Ok(DirectReport {
            direct_us,
            entry_us,
            added_us: entry_us.map(|entry| entry.subtract(&direct_us)),
            failed: self.failed,
        })
    }

    async fn measure_executor(&mut self, draw: u64, times: &mut Histogram<u64>) -> Result<()> {
        let task = TaskId {
            submission: SubmissionId::unbound(new_ulid(draw)),
            index: 0,
        };
        let headers = [
            (LEASE_HEADER, SmolStr::new_static(LEASE_MS)),
            (CLASS_HEADER, self.options.class.clone()),
            (STARTER_HEADER, SmolStr::new_static("0000000000000001")),
            (ATTEMPT_HEADER, SmolStr::new_static("1")),
        ];
        let body = payload(self.options.service_ms);
        let started_at = Instant::now();
        let reply = self
            .executor
            .call(Method::Post, &task_path(&task), &headers, body, TIMEOUT)
            .await
            .map_err(|error| call_error(self.options.executor, &error))?;
        match reply.header_value(STATE_HEADER) == Some(TaskState::Finished.as_str()) {
            true => times.saturating_record(elapsed_us(started_at)),
            false => self.failed += 1,
        }
        Ok(())
    }

    async fn measure_entry(&mut self, draw: u64, times: &mut Histogram<u64>) -> Result<()> {
        let (Some(entry), Some(address)) = (&mut self.entry, self.options.entry) else {
            return Ok(());
        };
        let job = Submission {
            submission: SubmissionId {
                ulid: new_ulid(draw),
                bound_to: self.bound_to,
            },
            class: class_name(&self.options.class),
            deadline_ms: None,
            copy: CopyMark::First,
            tasks: vec![payload(self.options.service_ms)],
        };
        let body = serde_json::to_vec(&job).expect("submissions are serializable as JSON");
        let started_at = Instant::now();
        let reply = entry
            .call(Method::Post, JOBS_PATH, &[], body, TIMEOUT)
            .await
            .map_err(|error| call_error(address, &error))?;
        let took_us = elapsed_us(started_at);
        let answer = Answer::decode(&reply.body).ok();
        if self.options.may_bind {
            self.bound_to = answer.as_ref().and_then(|answer| answer.bind_to);
        }
        match answer.and_then(|answer| answer.code) {
            Some(ResultCode::Complete) => times.saturating_record(took_us),
            _ => self.failed += 1,
        }
        Ok(())
    }
}

impl Percentiles {
    /// Returns the difference of each percentile, which is not the percentile of the differences.
    fn subtract(&self, other: &Percentiles) -> Percentiles {
        Percentiles {
            p50: self.p50 - other.p50,
            p90: self.p90 - other.p90,
            p99: self.p99 - other.p99,
            p999: self.p999 - other.p999,
            max: self.max - other.max,
        }
    }
}

fn elapsed_us(started_at: Instant) -> u64 {
    u64::try_from(started_at.elapsed().as_micros()).unwrap_or(u64::MAX)
}
