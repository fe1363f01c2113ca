//! Jobs, executors, answers and a test harness for single decisions of a pool.

use onyxshed_core::{CallerId, Millis, Mono, UnixMs};
use onyxshed_pool::{
    Action, ClassId, ConnectionNumber, ExecutorFacts, ExecutorId, ExecutorLists, ExecutorReport,
    FencingToken, FinishedRun, Heartbeat, HoldAnswer, HoldOrder, JobEnd, JobId, JobRequest,
    PeerConnection, PeerIncarnation, Percent, Pool, PoolOptions, Resources, RunEnd, RunNumber,
    RunningRun, Session, StartAnswer, StartOrder, StopOrder, SubmissionNumber, TaskId,
};

/// Incarnation of the host that owns the pool under test; its jobs need no session.
pub const OWN: PeerIncarnation = PeerIncarnation(1);

/// Incarnation of another entry host.
pub const PEER: PeerIncarnation = PeerIncarnation(2);

/// How far the executors' clocks are ahead of the clock of the host under test.
pub const CLOCK_AHEAD_MS: u64 = 5_000;

/// Creates a heartbeat on an entry host's connection with the given number, sent at `sent_at`.
pub fn heartbeat_of(peer: PeerIncarnation, number: u64, sent_at: Mono) -> Heartbeat {
    Heartbeat {
        connection: PeerConnection {
            peer,
            number: ConnectionNumber(number),
        },
        sent_no_earlier_than: Some(sent_at),
        offer: None,
    }
}

pub fn at_ms(ms: u64) -> Mono {
    Mono(ms * 1_000)
}

pub fn id(name: &str) -> ExecutorId {
    ExecutorId(name.into())
}

pub fn resources(cores: u32) -> Resources {
    Resources {
        cpu_millis: cores * 1_000,
        memory_mb: 64,
        accelerators: 0,
    }
}

pub fn facts(cores: u32) -> ExecutorFacts {
    ExecutorFacts {
        address: "10.0.0.1:80".parse().expect("a socket address"),
        upstream: "desk".into(),
        capacity: Resources {
            memory_mb: 1_000_000,
            ..resources(cores)
        },
        labels: vec!["a".into()],
        rack: None,
        is_draining: false,
        started_at: Some(UnixMs(1)),
    }
}

pub fn job(number: u64, tasks: u16, estimate_ms: u64) -> JobRequest {
    JobRequest {
        peer: OWN,
        submission: SubmissionNumber(number),
        job: JobId(number),
        upstream: "desk".into(),
        spec: "spec".into(),
        tasks,
        demand: resources(27),
        estimate: Millis(estimate_ms),
        attempts_max: 2,
        stretch_millis: 1_600,
        objective: Millis(60),
        elapsed: Millis(0),
        time_left: Millis(10_000),
        label: None,
        data_rack: None,
        per_executor_max: None,
        class: ClassId("desk".into()),
        priority: 0,
        caller: CallerId::UNKNOWN,
        transfers: 0,
    }
}

/// Creates the report of an executor's incarnation with the given clock reading and start time.
fn executor_report(
    clock_ms: u64,
    started_at: u64,
    running: &[(TaskId, u32)],
    finished: &[(u64, TaskId, u32, RunEnd)],
) -> ExecutorReport {
    ExecutorReport::Lists(ExecutorLists {
        clock: UnixMs(clock_ms),
        started_at: Some(UnixMs(started_at)),
        running: running
            .iter()
            .map(|(task, run)| RunningRun {
                task: *task,
                run: RunNumber(*run),
                progress: None,
            })
            .collect(),
        finished: finished
            .iter()
            .map(|(number, task, run, end)| FinishedRun {
                number: *number,
                task: *task,
                run: RunNumber(*run),
                end: *end,
            })
            .collect(),
        listed_to: finished.iter().map(|row| row.0).max().unwrap_or_default(),
    })
}

/// A pool under test and the actions that it has returned and no `take_` method has removed.
pub struct Harness {
    pub pool: Pool,
    pub actions: Vec<Action>,
}

impl Harness {
    /// Creates a pool whose executors are all acquired at 0 ms.
    pub fn with_executors(executors: &[(&str, u32)]) -> Self {
        Harness::with_options(executors, PoolOptions::default())
    }

    /// Creates a pool with the given options, whose executors are all acquired at 0 ms.
    pub fn with_options(executors: &[(&str, u32)], options: PoolOptions) -> Self {
        let pool = Pool::new(at_ms(0), FencingToken(7), OWN, options);
        Harness::acquire_all(pool, executors)
    }

    /// Creates a pool of an owner with the given token, whose executors are all acquired at 0 ms.
    pub fn with_token(token: FencingToken, executors: &[(&str, u32)]) -> Self {
        let pool = Pool::new(at_ms(0), token, OWN, PoolOptions::default());
        Harness::acquire_all(pool, executors)
    }

    fn acquire_all(pool: Pool, executors: &[(&str, u32)]) -> Self {
        let mut harness = Harness {
            pool,
            actions: Vec::new(),
        };
        for (name, cores) in executors {
            harness.actions.extend(harness.pool.record_listed_executor(
                at_ms(0),
                id(name),
                facts(*cores),
            ));
            harness.report(0, name, &[], &[]);
        }
        harness.actions.clear();
        harness
    }

    pub fn submit(&mut self, ms: u64, job: JobRequest) {
        let actions = self.pool.submit(at_ms(ms), Session(0), job);
        self.actions.extend(actions);
    }

    pub fn tick(&mut self, ms: u64) {
        let actions = self.pool.tick(at_ms(ms));
        self.actions.extend(actions);
    }

    /// Advances the time with the regular ticks of a process that is not paused.
    pub fn advance(&mut self, from_ms: u64, to_ms: u64) {
        let mut ms = from_ms;
        while ms < to_ms {
            ms = (ms + 20).min(to_ms);
            self.tick(ms);
        }
    }

    pub fn report(
        &mut self,
        ms: u64,
        name: &str,
        running: &[(TaskId, u32)],
        finished: &[(u64, TaskId, u32, RunEnd)],
    ) {
        let report = executor_report(ms + CLOCK_AHEAD_MS, 1, running, finished);
        self.answer_hold(ms, name, HoldAnswer::Report(report));
    }

    /// Applies a report of executing runs and their progress in percent.
    pub fn report_progress(&mut self, ms: u64, name: &str, running: &[(TaskId, u32, u64)]) {
        let rows: Vec<(TaskId, u32)> = running.iter().map(|row| (row.0, row.1)).collect();
        let mut report = executor_report(ms + CLOCK_AHEAD_MS, 1, &rows, &[]);
        if let ExecutorReport::Lists(lists) = &mut report {
            for (row, reported) in lists.running.iter_mut().zip(running) {
                row.progress = Some(Percent::new(reported.2));
            }
        }
        self.answer_hold(ms, name, HoldAnswer::Report(report));
    }

    /// Applies a report of the executor's incarnation that started at the given time, without ended runs.
    pub fn report_of_incarnation(
        &mut self,
        started_at: u64,
        ms: u64,
        name: &str,
        running: &[(TaskId, u32)],
    ) {
        let report = executor_report(ms, started_at, running, &[]);
        self.answer_hold(ms, name, HoldAnswer::Report(report));
    }

    pub fn answer_hold(&mut self, ms: u64, name: &str, answer: HoldAnswer) {
        let actions = self
            .pool
            .apply_hold_answer(at_ms(ms), &id(name), at_ms(ms), answer);
        self.actions.extend(actions);
    }

    pub fn answer_start(&mut self, ms: u64, name: &str, order: &StartOrder, answer: &StartAnswer) {
        let actions =
            self.pool
                .apply_start_answer(at_ms(ms), &id(name), order.task, order.run, answer);
        self.actions.extend(actions);
    }

    /// Removes and returns the start orders, with the names of their executors.
    pub fn take_starts(&mut self) -> Vec<(String, StartOrder)> {
        self.take_matching(|action| match action {
            Action::Start(id, order) => Some((id.to_string(), order.clone())),
            _ => None,
        })
    }

    /// Removes and returns the stop orders, with the names of their executors.
    pub fn take_stops(&mut self) -> Vec<(String, StopOrder)> {
        self.take_matching(|action| match action {
            Action::Stop(id, order) => Some((id.to_string(), order.clone())),
            _ => None,
        })
    }

    /// Removes and returns the hold orders, with the names of their executors but without their
    /// pauses.
    pub fn take_holds(&mut self) -> Vec<(String, HoldOrder)> {
        self.take_matching(|action| match action {
            Action::Hold(id, order, _) => Some((id.to_string(), order.clone())),
            _ => None,
        })
    }

    /// Removes and returns the outcomes that the pool has reported for jobs.
    pub fn take_ends(&mut self) -> Vec<(JobId, JobEnd)> {
        self.take_matching(|action| match action {
            Action::End { job, end, .. } => Some((*job, *end)),
            _ => None,
        })
    }

    fn take_matching<T>(&mut self, select: impl Fn(&Action) -> Option<T>) -> Vec<T> {
        let mut matching = Vec::new();
        self.actions.retain(|action| match select(action) {
            Some(found) => {
                matching.push(found);
                false
            }
            None => true,
        });
        matching
    }

    /// Submits a job, and answers the last start order with "started". Returns that order and the
    /// name of its executor.
    pub fn submit_and_start(&mut self, ms: u64, job: JobRequest) -> (String, StartOrder) {
        self.submit(ms, job);
        let (name, order) = self.take_starts().pop().expect("a start order");
        self.answer_start(ms, &name, &order, &StartAnswer::Started { clock: None });
        (name, order)
    }
}
