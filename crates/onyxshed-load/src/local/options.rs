//! Options of a set of local processes.

use std::path::PathBuf;

use onyxshed_core::{ClassTarget, Millis, UpstreamName};

use crate::mix::Mix;
use crate::run::class_name;

/// Numbers, sizes and configuration of the processes that [`super::LocalSet::start`] starts.
#[derive(Debug, Clone)]
pub struct LocalOptions {
    /// Folder that contains the binaries of the processes to start.
    pub binaries: PathBuf,
    /// Number of entry hosts, each with its control process.
    pub entries: usize,
    /// Number of executor processes; the host list can contain several executors for each.
    pub executors: usize,
    /// Number of executors in the host list per executor process. It is 1 except in measurements
    /// that depend on the number of executors.
    pub listed_per_process: u32,
    /// Number of slots of each executor in the host list.
    pub slots: u32,
    /// Maximum number of tasks in the queue of an executor process.
    pub executor_queue: u32,
    /// Speeds of the executor processes, as fractions of the fastest kind's speed. The list is
    /// repeated if it is shorter than the number of processes.
    pub speeds: Vec<f64>,
    /// Name of the upstream that all executors belong to.
    pub upstream: UpstreamName,
    /// The classes whose targets are published before the entry hosts start.
    pub classes: Vec<ClassTarget>,
    /// Number of appends per second that the platform's stand-in accepts.
    pub appends_per_s: u32,
    /// Maximum number of idle connections that an entry host keeps to one executor.
    pub connections_per_executor: u32,
}

/// Class of the tasks in measurements of one entry host. Its target of 120 s is so long that no
/// task is late.
pub const BENCH_CLASS: &str = "held";
const BENCH_FINISH_WITHIN_MS: Millis = Millis(120_000);

impl LocalOptions {
    /// Returns the options of one entry host with four executors of full speed.
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

    /// Returns the options of one zone of a deployment. The executors' speeds are 1:2:4; the
    /// fastest kind runs a task in exactly the service time that its payload names.
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

    /// Returns the number of executors in the host list.
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
