//! `onyxshed-load bench`: real processes on this machine, and the bars they are held to.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use serde::Serialize;

use crate::caller::CallerOptions;
use crate::direct::{DirectOptions, DirectReport, direct};
use crate::error::Result;
use crate::idle::{IdleOptions, IdleReport, idle};
use crate::local::{HELD_CLASS, LocalOptions, LocalSet};
use crate::mix::Mix;
use crate::plan::PlanOptions;
use crate::report::Report;
use crate::run::{RunOptions, run};
use crate::throughput::{Throughput, ThroughputOptions, throughput};

/// Overhead, throughput, memory and start of one entry host.
#[derive(Debug, Clone, Serialize)]
pub struct Bars {
    /// From the entry process's start to its first ready answer, in milliseconds, over some starts.
    pub cold_start_ms: Vec<f64>,
    /// One task at a time, ids bound to the entry host.
    pub overhead_bound: DirectReport,
    /// One task at a time, each claimed in the platform's log first.
    pub overhead_claimed: DirectReport,
    /// As many jobs as one entry host takes.
    pub throughput: Vec<Throughput>,
    /// Requests in flight and what they cost.
    pub held: IdleReport,
}

/// One mix on one zone of real processes.
#[derive(Debug, Clone, Serialize)]
pub struct MixRun {
    /// Part of the executors' capacity that was offered.
    pub load: f64,
    /// What callers saw.
    pub report: Report,
}

const COLD_STARTS: usize = 5;
const BOUND_TASKS: u32 = 2_000;
const CLAIMED_TASKS: u32 = 200;
/// One entry host may append 30 times a second; at 20 tasks a second no claim waits for that.
const CLAIM_PAUSE: Duration = Duration::from_millis(50);
/// How long each closed loop runs.
pub(crate) const SPAN: Duration = Duration::from_secs(4);
const HELD: u32 = 10_000;

/// Tries to measure the bars of one entry host.
pub async fn bars(executor: &LocalExecutor<'static>, folder: PathBuf) -> Result<Bars> {
    let options = LocalOptions::small(folder.clone());
    let mut cold_start_ms = Vec::new();
    for _ in 0..COLD_STARTS {
        let set = LocalSet::start(&options).await?;
        cold_start_ms.push(set.entries[0].ready_after.as_secs_f64() * 1_000.0);
    }
    let set = LocalSet::start(&options).await?;
    let overhead_bound = overhead(&set, true).await?;
    let overhead_claimed = overhead(&set, false).await?;
    let mut all = Vec::new();
    for (callers, tasks, may_bind) in [
        (1, 1, true),
        (64, 1, true),
        (64, 1, false),
        (64, 20, true),
        (16, 200, true),
    ] {
        all.push(loaded(executor, &set, callers, tasks, may_bind).await?);
    }
    drop(set);
    Ok(Bars {
        cold_start_ms,
        overhead_bound,
        overhead_claimed,
        throughput: all,
        held: held(executor, folder, HELD, true).await?,
    })
}

async fn overhead(set: &LocalSet, may_bind: bool) -> Result<DirectReport> {
    let (count, pause) = match may_bind {
        true => (BOUND_TASKS, Duration::ZERO),
        false => (CLAIMED_TASKS, CLAIM_PAUSE),
    };
    let options = DirectOptions {
        executor: set.executors[0].address,
        entry: Some(set.entries[0].callers),
        class: HELD_CLASS.into(),
        count,
        pause,
        service_ms: 0,
        may_bind,
    };
    direct(options).await
}

/// Tries to load the set's first entry host in a closed loop.
pub async fn loaded(
    executor: &LocalExecutor<'static>,
    set: &LocalSet,
    callers: u32,
    tasks: u16,
    may_bind: bool,
) -> Result<Throughput> {
    let options = ThroughputOptions {
        entry: set.entries[0].callers,
        pid: set.entries[0].entry.id(),
        class: HELD_CLASS.into(),
        callers,
        tasks,
        span: SPAN,
        may_bind,
    };
    throughput(executor, Rc::new(options)).await
}

/// Tries to hold `count` requests in flight at a fresh entry host.
pub async fn held(
    executor: &LocalExecutor<'static>,
    folder: PathBuf,
    count: u32,
    awaits_answers: bool,
) -> Result<IdleReport> {
    const PROCESSES: usize = 8;
    const LISTED_EACH: u32 = 20;
    let options = LocalOptions {
        executors: PROCESSES,
        listed_each: LISTED_EACH,
        slots: 60,
        connections_per_executor: 60,
        ..LocalOptions::small(folder)
    };
    let set = LocalSet::start(&options).await?;
    let options = IdleOptions {
        address: set.entries[0].callers,
        pid: Some(set.entries[0].entry.id()),
        count,
        class: Some(HELD_CLASS.into()),
        service_ms: 12_000,
        hold: Duration::from_secs(6),
        awaits_answers,
    };
    idle(executor, Rc::new(options)).await
}

/// What to run a mix on.
#[derive(Debug, Clone)]
pub struct MixOptions {
    /// Folder of the binaries.
    pub folder: PathBuf,
    /// Whose work it is.
    pub mix: Mix,
    /// Part of the executors' capacity to offer.
    pub load: f64,
    /// How long jobs arrive, in seconds.
    pub span_s: f64,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Whether ids are bound.
    pub may_bind: bool,
}

/// Entry hosts and executors of one zone.
const ZONE_ENTRIES: usize = 3;
const ZONE_EXECUTORS: usize = 16;
const NETWORK_US: u64 = 200;

/// Tries to run a mix on one zone of real processes.
pub async fn mix(executor: &LocalExecutor<'static>, options: &MixOptions) -> Result<MixRun> {
    let zone = LocalOptions::zone(
        options.folder.clone(),
        options.mix,
        ZONE_ENTRIES,
        ZONE_EXECUTORS,
    );
    let set = LocalSet::start(&zone).await?;
    let speeds = (0..zone.executors).map(|place| zone.speeds[place % zone.speeds.len()]);
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
