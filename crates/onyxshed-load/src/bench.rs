//! `onyxshed-load bench`: measurements of real processes on this machine: one entry host by itself,
//! or a mix on one zone.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use serde::Serialize;

use crate::caller::CallerOptions;
use crate::direct::{DirectOptions, DirectReport, compare};
use crate::error::Result;
use crate::idle::{IdleOptions, IdleReport, hold_connections};
use crate::local::{BENCH_CLASS, LocalOptions, LocalSet};
use crate::mix::Mix;
use crate::plan::PlanOptions;
use crate::report::Report;
use crate::run::{RunOptions, run};
use crate::throughput::{Throughput, ThroughputOptions, measure_throughput};

/// Start time, overhead, throughput and memory of one entry host.
#[derive(Debug, Clone, Serialize)]
pub struct EntryHostBench {
    /// Time from the start of the entry process to its first ready answer, in milliseconds, for
    /// each of several starts.
    pub cold_start_ms: Vec<f64>,
    /// Overhead of one task at a time, with ids bound to the entry host.
    pub overhead_bound: DirectReport,
    /// Overhead of one task at a time, each claimed in the platform's log first.
    pub overhead_claimed: DirectReport,
    /// Throughput of the entry host in closed loops, for several combinations of the number of
    /// callers, the job size and whether ids are bound.
    pub throughput: Vec<Throughput>,
    /// Memory and processor time of the entry process while it holds 10,000 requests in flight.
    pub held: IdleReport,
}

/// Result of [`run_mix`]: the offered load and what the callers measured.
#[derive(Debug, Clone, Serialize)]
pub struct MixRun {
    /// Offered load as a fraction of the executors' capacity.
    pub load: f64,
    /// The results as the callers saw them.
    pub report: Report,
}

const COLD_STARTS: usize = 5;
const BOUND_TASKS: u32 = 2_000;
const CLAIMED_TASKS: u32 = 200;
/// Pause between two tasks that need a claim. An entry host may append 30 times a second, so at 20
/// tasks a second no claim waits for its append budget.
const CLAIM_PAUSE: Duration = Duration::from_millis(50);
/// Time during which the callers of each closed loop send jobs.
pub(crate) const CLOSED_LOOP_SPAN: Duration = Duration::from_secs(4);
const HELD_REQUESTS: u32 = 10_000;

/// Measures the start time, overhead, throughput and memory of one entry host.
pub async fn bench_entry_host(
    executor: &LocalExecutor<'static>,
    binaries: PathBuf,
) -> Result<EntryHostBench> {
    let options = LocalOptions::small(binaries.clone());
    let mut cold_start_ms = Vec::new();
    for _ in 0..COLD_STARTS {
        let set = LocalSet::start(&options).await?;
        cold_start_ms.push(set.entries[0].time_to_ready.as_secs_f64() * 1_000.0);
    }
    let set = LocalSet::start(&options).await?;
    let overhead_bound = measure_overhead(&set, true).await?;
    let overhead_claimed = measure_overhead(&set, false).await?;
    let mut throughputs = Vec::new();
    for (callers, tasks, may_bind) in [
        (1, 1, true),
        (64, 1, true),
        (64, 1, false),
        (64, 20, true),
        (16, 200, true),
    ] {
        throughputs.push(run_closed_loop(executor, &set, callers, tasks, may_bind).await?);
    }
    drop(set);
    Ok(EntryHostBench {
        cold_start_ms,
        overhead_bound,
        overhead_claimed,
        throughput: throughputs,
        held: hold_requests(executor, binaries, HELD_REQUESTS, true).await?,
    })
}

async fn measure_overhead(set: &LocalSet, may_bind: bool) -> Result<DirectReport> {
    let (count, pause) = match may_bind {
        true => (BOUND_TASKS, Duration::ZERO),
        false => (CLAIMED_TASKS, CLAIM_PAUSE),
    };
    let options = DirectOptions {
        executor: set.executors[0].address,
        entry: Some(set.entries[0].callers),
        class: BENCH_CLASS.into(),
        count,
        pause,
        service_ms: 0,
        may_bind,
    };
    compare(options).await
}

/// Loads the first entry host of the set in a closed loop of `CLOSED_LOOP_SPAN`: each of `callers`
/// callers sends its next job, of `tasks` tasks, after the answer to the previous one.
pub async fn run_closed_loop(
    executor: &LocalExecutor<'static>,
    set: &LocalSet,
    callers: u32,
    tasks: u16,
    may_bind: bool,
) -> Result<Throughput> {
    let options = ThroughputOptions {
        entry: set.entries[0].callers,
        pid: set.entries[0].entry.id(),
        class: BENCH_CLASS.into(),
        callers,
        tasks,
        span: CLOSED_LOOP_SPAN,
        may_bind,
    };
    measure_throughput(executor, Rc::new(options)).await
}

/// Holds `count` requests in flight at a newly started entry host, and returns its memory and
/// processor time before and during the hold. The answers are awaited only if `awaits_answers` is
/// true.
pub async fn hold_requests(
    executor: &LocalExecutor<'static>,
    binaries: PathBuf,
    count: u32,
    awaits_answers: bool,
) -> Result<IdleReport> {
    const PROCESSES: usize = 8;
    const LISTED_PER_PROCESS: u32 = 20;
    let options = LocalOptions {
        executors: PROCESSES,
        listed_per_process: LISTED_PER_PROCESS,
        slots: 60,
        connections_per_executor: 60,
        ..LocalOptions::small(binaries)
    };
    let set = LocalSet::start(&options).await?;
    let options = IdleOptions {
        address: set.entries[0].callers,
        pid: Some(set.entries[0].entry.id()),
        count,
        class: Some(BENCH_CLASS.into()),
        service_ms: 12_000,
        hold: Duration::from_secs(6),
        awaits_answers,
    };
    hold_connections(executor, Rc::new(options)).await
}

/// Mix, load and duration of a run of [`run_mix`]; the size of the zone is fixed.
#[derive(Debug, Clone)]
pub struct MixOptions {
    /// Folder that contains the binaries of the processes to start.
    pub binaries: PathBuf,
    /// The mix that jobs are drawn from.
    pub mix: Mix,
    /// Load to offer, as a fraction of the executors' capacity.
    pub load: f64,
    /// Time during which jobs arrive, in seconds.
    pub span_s: f64,
    /// Seed of the plan; equal options and seeds result in the same planned jobs.
    pub seed: u64,
    /// Whether ids are bound to the entry host that they are sent to.
    pub may_bind: bool,
}

/// Number of entry hosts in the zone that [`run_mix`] starts.
const ZONE_ENTRIES: usize = 3;
const ZONE_EXECUTORS: usize = 16;
const NETWORK_US: u64 = 200;

/// Starts a zone of `ZONE_ENTRIES` entry hosts, sends it jobs of the mix at the offered load, and
/// returns what the callers measured.
pub async fn run_mix(executor: &LocalExecutor<'static>, options: &MixOptions) -> Result<MixRun> {
    let zone = LocalOptions::zone(
        options.binaries.clone(),
        options.mix,
        ZONE_ENTRIES,
        ZONE_EXECUTORS,
    );
    let set = LocalSet::start(&zone).await?;
    let speeds = (0..zone.executors).map(|index| zone.speeds[index % zone.speeds.len()]);
    let capacity_ms_per_s = speeds.sum::<f64>() * f64::from(zone.slots) * 1_000.0;
    let run_options = RunOptions {
        entries: set.callers(),
        plan: PlanOptions {
            mix: options.mix,
            jobs_per_s: options.load * capacity_ms_per_s / options.mix.mean_job_ms(),
            span_s: options.span_s,
            bursts: Vec::new(),
            time_scale: 1.0,
            seed: options.seed,
        },
        caller: CallerOptions {
            may_bind: options.may_bind,
            ..CallerOptions::default()
        },
        network_us: NETWORK_US,
    };
    Ok(MixRun {
        load: options.load,
        report: run(executor, &run_options).await,
    })
}
