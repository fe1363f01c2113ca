//! What to start.

use std::path::PathBuf;

use onyxshed_core::{ClassTarget, Millis, UpstreamName};

use crate::mix::Mix;
use crate::run::class_name;

/// What to start.
#[derive(Debug, Clone)]
pub struct LocalOptions {
    /// Folder of the binaries.
    pub binaries: PathBuf,
    /// Entry hosts, each with its control process.
    pub entries: usize,
    /// Executor processes.
    pub executors: usize,
    /// Executors in the host list for each executor process; 1 but for measurements of size.
    pub listed_per_process: u32,
    /// Slots of each executor in the host list.
    pub slots: u32,
    /// Tasks that may wait on an executor process.
    pub executor_queue: u32,
    /// Speeds of the executors, in turn.
    pub speeds: Vec<f64>,
    /// The upstream of all executors.
    pub upstream: UpstreamName,
    /// The classes published.
    pub classes: Vec<ClassTarget>,
    /// Appends a second that the platform takes.
    pub appends_per_s: u32,
    /// Connections that an entry host holds open to one executor.
    pub connections_per_executor: u32,
}

/// Class of the tasks that are only held, which must not be late.
pub const BENCH_CLASS: &str = "held";
const BENCH_FINISH_WITHIN_MS: Millis = Millis(120_000);

impl LocalOptions {
    /// Makes one entry host before some immediate executors.
    pub fn small(binaries: PathBuf) -> Self {
        let upstream: UpstreamName = "desk".parse().expect("a valid name");
        LocalOptions {
            binaries,
            entries: 1,
            executors: 4,
            listed_per_process: 1,
            slots: 64,
            executor_queue: 64,
            speeds: vec![1.0],
            classes: vec![bench_target(&upstream)],
            upstream,
            appends_per_s: 500,
            connections_per_executor: 16,
        }
    }

    /// Makes one zone of a deployment: executors of speeds 1:2:4, the fastest running a task in
    /// the service time that it names.
    pub fn zone(binaries: PathBuf, mix: Mix, entries: usize, executors: usize) -> Self {
        let upstream: UpstreamName = mix.upstream().parse().expect("a valid name");
        let targets = mix.classes().iter().map(|load| ClassTarget {
            class: class_name(load.class),
            upstream: upstream.clone(),
            finish_within_ms: Millis(load.finish_within_ms.into()),
            may_run_twice: load.may_run_twice,
        });
        LocalOptions {
            entries,
            executors,
            slots: 8,
            executor_queue: 52,
            speeds: vec![0.25, 0.5, 1.0],
            classes: targets.collect(),
            upstream: upstream.clone(),
            ..Self::small(binaries)
        }
    }

    /// Gets how many executors the host list names.
    pub fn listed_executors(&self) -> usize {
        self.executors * usize::try_from(self.listed_per_process).unwrap_or(1)
    }
}

fn bench_target(upstream: &UpstreamName) -> ClassTarget {
    ClassTarget {
        class: class_name(BENCH_CLASS),
        upstream: upstream.clone(),
        finish_within_ms: BENCH_FINISH_WITHIN_MS,
        may_run_twice: false,
    }
}
