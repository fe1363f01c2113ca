//! What the queueing model is made of: faults, streams of jobs, executors, tallies.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "model counts are small"
)]

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use onyxshed_core::{ClassTarget, TaskId};
use onyxshed_policy::ExecutorInfo;

/// What is wrong with an executor.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// It takes so many times as long.
    Slow(f64),
    /// It fails everything at once.
    FailsAll,
    /// It takes tasks and never answers.
    Silent,
    /// Connections to it are refused.
    Dead,
}

/// A stream of jobs of one class.
#[derive(Debug, Clone)]
pub struct Stream {
    pub target: ClassTarget,
    pub per_s: f64,
    /// Median service time on an executor of speed 1.
    pub median_ms: f64,
    /// Whether its tasks fail wherever they run.
    pub never_runs: bool,
    /// Tasks of each job.
    pub tasks: u16,
    /// When it comes, in milliseconds.
    pub from_ms: u64,
    pub until_ms: u64,
}

impl Stream {
    pub fn new(target: ClassTarget, per_s: f64, median_ms: f64, until_ms: u64) -> Self {
        Stream {
            target,
            per_s,
            median_ms,
            never_runs: false,
            tasks: 1,
            from_ms: 0,
            until_ms,
        }
    }
}

/// An executor of the model.
#[derive(Debug, Clone)]
pub struct Exec {
    pub info: ExecutorInfo,
    pub speed: f64,
    pub fault: Fault,
    /// When the fault begins and ends, in milliseconds.
    pub fault_ms: (u64, u64),
    pub running: BTreeMap<(usize, TaskId), u64>,
    pub queue: VecDeque<(usize, TaskId)>,
    /// Tasks that may wait here before more are refused.
    pub queue_max: usize,
    pub starts_us: Vec<u64>,
}

impl Exec {
    pub fn new(info: ExecutorInfo, speed: f64) -> Self {
        Exec {
            info,
            speed,
            fault: Fault::None,
            fault_ms: (0, u64::MAX),
            running: BTreeMap::new(),
            queue: VecDeque::new(),
            queue_max: 16,
            starts_us: Vec::new(),
        }
    }

    pub fn faulty(mut self, fault: Fault, from_ms: u64, until_ms: u64) -> Self {
        self.fault = fault;
        self.fault_ms = (from_ms, until_ms);
        self
    }

    pub fn fault_at(&self, us: u64) -> Fault {
        let (from_ms, until_ms) = self.fault_ms;
        let is_on = (from_ms..until_ms).contains(&(us / 1_000));
        if is_on { self.fault } else { Fault::None }
    }
}

/// A job that is under way.
#[derive(Debug)]
pub struct Job {
    pub stream: usize,
    pub host: usize,
    pub arrived_us: u64,
    /// Service time of each task on an executor of speed 1.
    pub services_us: Vec<f64>,
    pub is_done: Vec<bool>,
}

/// What became of one stream's jobs.
#[derive(Default, Clone)]
pub struct Tally {
    pub offered: u64,
    pub refused: u64,
    pub hits: u64,
    pub late: u64,
    pub failed: u64,
    pub ratios: Vec<f64>,
}

impl fmt::Debug for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Tally {
            offered,
            refused,
            hits,
            late,
            failed,
            ..
        } = self;
        write!(
            f,
            "offered {offered} refused {refused} hits {hits} late {late} failed {failed}"
        )
    }
}

impl Tally {
    pub fn hit_share(&self) -> f64 {
        self.hits as f64 / self.offered.max(1) as f64
    }

    pub fn mean_ratio(&self) -> f64 {
        self.ratios.iter().sum::<f64>() / self.ratios.len() as f64
    }

    pub fn ratio(&mut self, q: f64) -> f64 {
        self.ratios.sort_by(f64::total_cmp);
        let index = (self.ratios.len() as f64 * q) as usize;
        self.ratios.get(index).copied().unwrap_or(f64::NAN)
    }
}
