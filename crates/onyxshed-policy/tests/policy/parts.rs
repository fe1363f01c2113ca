//! Parts of the queueing model in `model.rs`: faults, streams of jobs, executors and result counts.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "model counts are small"
)]

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use onyxshed_core::{ClassTarget, TaskId};
use onyxshed_policy::ExecutorInfo;

/// Fault that an executor of the model has during [`ModelExecutor::fault_ms`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// Tasks take longer by this factor.
    Slow(f64),
    /// Every task fails immediately.
    FailsAll,
    /// The executor accepts tasks and never responds.
    Silent,
    /// The executor refuses connections.
    Dead,
}

/// A stream of jobs of one class.
#[derive(Debug, Clone)]
pub struct Stream {
    pub target: ClassTarget,
    pub per_s: f64,
    /// Median service time on an executor of speed 1.
    pub median_ms: f64,
    /// Whether its tasks fail on every executor.
    pub never_runs: bool,
    /// Number of tasks of each job.
    pub tasks: u16,
    /// Start and end of the stream, in milliseconds.
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
pub struct ModelExecutor {
    pub info: ExecutorInfo,
    pub speed: f64,
    pub fault: Fault,
    /// Start and end of the fault, in milliseconds.
    pub fault_ms: (u64, u64),
    pub running: BTreeMap<(usize, TaskId), u64>,
    pub queue: VecDeque<(usize, TaskId)>,
    /// Maximum number of tasks that wait at the executor; it refuses more.
    pub queue_max: usize,
    pub starts_us: Vec<u64>,
}

impl ModelExecutor {
    pub fn new(info: ExecutorInfo, speed: f64) -> Self {
        ModelExecutor {
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

    pub fn with_fault(mut self, fault: Fault, from_ms: u64, until_ms: u64) -> Self {
        self.fault = fault;
        self.fault_ms = (from_ms, until_ms);
        self
    }

    pub fn fault_at(&self, us: u64) -> Fault {
        let (from_ms, until_ms) = self.fault_ms;
        let is_active = (from_ms..until_ms).contains(&(us / 1_000));
        if is_active { self.fault } else { Fault::None }
    }
}

/// A job that was admitted and has not ended.
#[derive(Debug)]
pub struct Job {
    pub stream: usize,
    pub host: usize,
    pub arrived_us: u64,
    /// Service time of each task on an executor of speed 1.
    pub services_us: Vec<f64>,
    pub is_done: Vec<bool>,
}

/// Counts of one stream's jobs by their results.
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
