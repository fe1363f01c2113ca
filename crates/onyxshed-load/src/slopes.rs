//! `onyxshed-load slopes`: measures how memory, processor time and appends of one process grow with
//! size.
//!
//! Each quantity is measured at several sizes against real processes and fitted with a straight
//! line. docs/CAPACITY.md extrapolates the slopes. The largest residual of each fit is reported
//! with it, so that a reader sees where the growth is not linear.

pub mod fit;
mod members;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use http_types::Method;
use onyxshed_wire::platform::{CLAIMS_STREAM, HOSTS_PATH};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::bench::{hold_requests, run_closed_loop};
use crate::error::{Error, Result};
use crate::local::{LocalOptions, LocalSet, call};
use crate::report::write_json;
use crate::tally::float;
use fit::{Fit, Slope};

/// Options of [`measure_slopes`].
#[derive(Debug, Clone)]
pub struct SlopeOptions {
    /// Folder that contains the binaries of the processes to start.
    pub binaries: PathBuf,
    /// If given, only experiments whose name contains this text are run.
    pub only: Option<SmolStr>,
}

/// An experiment, named after the size that it varies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Experiment {
    InFlight,
    Executors,
    Claims,
    JobSize,
    Members,
}

impl Experiment {
    const ALL: [Experiment; 5] = [
        Experiment::InFlight,
        Experiment::Executors,
        Experiment::Claims,
        Experiment::JobSize,
        Experiment::Members,
    ];

    fn name(self) -> &'static str {
        match self {
            Experiment::InFlight => "in-flight",
            Experiment::Executors => "executors",
            Experiment::Claims => "claims",
            Experiment::JobSize => "job-size",
            Experiment::Members => "members",
        }
    }
}

/// Runs the experiments that the options select and returns the measured points.
pub async fn measure_slopes(
    executor: &LocalExecutor<'static>,
    options: &SlopeOptions,
) -> Result<Vec<Slope>> {
    let is_selected = |experiment: &Experiment| {
        let only = options.only.as_deref();
        only.is_none_or(|only| experiment.name().contains(only))
    };
    let mut all = Vec::new();
    for experiment in Experiment::ALL.into_iter().filter(is_selected) {
        all.extend(match experiment {
            Experiment::InFlight => measure_in_flight(executor, &options.binaries).await?,
            Experiment::Executors => measure_executors(executor, &options.binaries).await?,
            Experiment::Claims => measure_claims(executor, &options.binaries).await?,
            Experiment::JobSize => measure_job_size(executor, &options.binaries).await?,
            Experiment::Members => members::measure_members(&options.binaries).await?,
        });
    }
    Ok(all)
}

/// Measures memory and processor time of an entry process against requests in flight.
async fn measure_in_flight(
    executor: &LocalExecutor<'static>,
    binaries: &Path,
) -> Result<Vec<Slope>> {
    let mut memory = Slope::new("in-flight-memory", "requests in flight", "entry MiB");
    let mut processor = Slope::new("in-flight-processor", "requests", "entry processor ms");
    for count in [100, 1_000, 2_500, 5_000, 9_000] {
        let report = hold_requests(executor, binaries.into(), count, false).await?;
        memory.add_point(count.into(), mib(report.held.resident_kib));
        let used_ms = report.held.processor_ms - report.before.processor_ms;
        processor.add_point(count.into(), float(used_ms));
    }
    Ok(vec![memory, processor])
}

/// Measures, against the number of executors: memory of both idle processes, processor time and
/// bytes read of the control process, and processor time of the entry process per task.
async fn measure_executors(
    executor: &LocalExecutor<'static>,
    binaries: &Path,
) -> Result<Vec<Slope>> {
    const PROCESSES: usize = 10;
    const IDLE: Duration = Duration::from_secs(3);
    let mut entry_memory = Slope::new("executors-entry-memory", "executors", "entry MiB");
    let mut control_memory = Slope::new("executors-control-memory", "executors", "control MiB");
    let mut control_core = Slope::new("executors-control-core", "executors", "control % of a core");
    let mut bytes = Slope::new(
        "executors-control-bytes",
        "executors",
        "control read bytes/s",
    );
    let mut task = Slope::new("executors-task", "executors", "entry us/task");
    for listed_per_process in [5, 20, 50, 100, 200] {
        let options = LocalOptions {
            executors: PROCESSES,
            listed_per_process,
            slots: 8,
            ..LocalOptions::small(binaries.into())
        };
        let set = LocalSet::start(&options).await?;
        let executor_count = options.listed_executors() as f64;
        let before = set.entries[0].control.usage()?;
        let lists_before = read_counts(&set).await?.host_lists;
        Timer::after(IDLE).await;
        let lists = read_counts(&set).await?.host_lists - lists_before;
        bytes.add_point(
            executor_count,
            read_list_bytes(&set).await? * float(lists) / IDLE.as_secs_f64(),
        );
        let control = set.entries[0].control.usage()?;
        let used_ms = float(control.processor_ms - before.processor_ms);
        entry_memory.add_point(
            executor_count,
            mib(set.entries[0].entry.usage()?.resident_kib),
        );
        control_memory.add_point(executor_count, mib(control.resident_kib));
        control_core.add_point(executor_count, used_ms / IDLE.as_secs_f64() / 10.0);
        let load = run_closed_loop(executor, &set, 32, 8, true).await?;
        task.add_point(executor_count, load.entry_us_per_task);
    }
    Ok(vec![
        entry_memory,
        control_memory,
        control_core,
        bytes,
        task,
    ])
}

/// Measures appends per second and response time against claims per second. Every job has a new id.
async fn measure_claims(executor: &LocalExecutor<'static>, binaries: &Path) -> Result<Vec<Slope>> {
    let mut appends = Slope::new("claims-appends", "claims a second", "appends a second");
    let mut delay = Slope::new("claims-delay", "claims a second", "job p50 ms");
    for callers in [1, 4, 16, 64, 256] {
        let set = LocalSet::start(&LocalOptions::small(binaries.into())).await?;
        let before = read_counts(&set).await?.claim_appends();
        let load = run_closed_loop(executor, &set, callers, 1, false).await?;
        let after = read_counts(&set).await?.claim_appends();
        let span_s = crate::bench::CLOSED_LOOP_SPAN.as_secs_f64();
        appends.add_point(load.jobs_per_s, float(after - before) / span_s);
        delay.add_point(load.jobs_per_s, load.took_ms.p50);
    }
    Ok(vec![appends, delay])
}

/// Measures processor time of the entry process per job against the job's number of tasks.
async fn measure_job_size(
    executor: &LocalExecutor<'static>,
    binaries: &Path,
) -> Result<Vec<Slope>> {
    let mut job = Slope::new("job-size-processor", "tasks in a job", "entry us/job");
    for tasks in [1, 10, 50, 150, 550] {
        let set = LocalSet::start(&LocalOptions::small(binaries.into())).await?;
        let load = run_closed_loop(executor, &set, 8, tasks, true).await?;
        let tasks = f64::from(tasks);
        job.add_point(tasks, load.entry_us_per_task * tasks);
    }
    Ok(vec![job])
}

/// Counters of the platform's stand-in since its start.
#[derive(Debug, Deserialize)]
struct PlatformCounts {
    appended: BTreeMap<SmolStr, u64>,
    host_lists: u64,
}

impl PlatformCounts {
    fn claim_appends(&self) -> u64 {
        self.appended
            .get(CLAIMS_STREAM)
            .copied()
            .unwrap_or_default()
    }
}

async fn read_counts(set: &LocalSet) -> Result<PlatformCounts> {
    let address = set.platform.address;
    let reply = call(address, Method::Get, "/control/counts", Vec::new()).await?;
    serde_json::from_slice(&reply.body).map_err(|error| Error::unreachable(address, error))
}

/// Returns the size of the host list as a control process reads it, in bytes.
async fn read_list_bytes(set: &LocalSet) -> Result<f64> {
    let list = call(set.platform.address, Method::Get, HOSTS_PATH, Vec::new()).await?;
    Ok(list.body.len() as f64)
}

fn mib(kib: u64) -> f64 {
    float(kib) / 1_024.0
}

/// Content of the file of one slope.
#[derive(Debug, Serialize)]
struct SlopeFile<'a> {
    name: &'a str,
    x_unit: &'a str,
    y_unit: &'a str,
    points: &'a [(f64, f64)],
    fit: Fit,
}

/// Writes the points and the fit of each slope as JSON, and its plot, into a folder.
pub fn write(slopes: &[Slope], folder: &Path) -> Result<()> {
    for slope in slopes {
        let file = SlopeFile {
            name: slope.name,
            x_unit: slope.x_unit,
            y_unit: slope.y_unit,
            points: &slope.points,
            fit: slope.fit(),
        };
        write_json(&folder.join(format!("{}.json", slope.name)), &file)?;
        slope
            .plot()
            .draw(&folder.join(format!("{}.svg", slope.name)))?;
    }
    Ok(())
}
