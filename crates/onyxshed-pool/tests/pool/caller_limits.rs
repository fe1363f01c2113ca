//! Shares of callers and times to return in an overloaded pool.

use std::collections::BTreeMap;

use onyxshed_core::{CallerId, Millis, Share};
use onyxshed_pool::{
    Action, Decision, FencingToken, JobEnd, JobRequest, NotRunReason, OverloadMode, Pool,
    PoolOptions, RunEnd, StartAnswer, TaskId, UnknownReason,
};

use crate::fixture::{Harness, OWN, at_ms, facts, id, job};

/// The caller that sends far more than the others.
const EAGER: CallerId = CallerId(100);

/// Number of the other callers.
const OTHERS: u64 = 5;

/// A pool with an executor that has two places, and the runs that execute there.
struct Load {
    harness: Harness,
    /// Run time, which callers estimate as 100 ms.
    run_ms: u64,
    running: Vec<(u64, TaskId, u32)>,
    finished: Vec<(u64, TaskId, u32, RunEnd)>,
    callers: BTreeMap<u64, CallerId>,
    asked: BTreeMap<CallerId, u64>,
    ends: Vec<(CallerId, JobEnd)>,
}

impl Load {
    fn new(overload: OverloadMode) -> Self {
        let options = PoolOptions {
            overload,
            ..PoolOptions::default()
        };
        let mut harness = Harness {
            pool: Pool::new(at_ms(0), FencingToken(7), OWN, options),
            actions: Vec::new(),
        };
        harness.actions = harness
            .pool
            .record_listed_executor(at_ms(0), id("e"), facts(54));
        harness.report(0, "e", &[], &[]);
        Load {
            harness,
            run_ms: 100,
            running: Vec::new(),
            finished: Vec::new(),
            callers: BTreeMap::new(),
            asked: BTreeMap::new(),
            ends: Vec::new(),
        }
    }

    fn submit(&mut self, ms: u64, caller: CallerId) {
        let number = 1 + self.callers.len() as u64;
        self.callers.insert(number, caller);
        *self.asked.entry(caller).or_default() += 1;
        let request = JobRequest {
            caller,
            ..job(number, 1, 100)
        };
        self.harness.submit(ms, request);
        self.collect(ms);
    }

    /// Ends the runs that have taken `run_ms`, and ticks.
    fn step(&mut self, ms: u64) {
        let (ended, running): (Vec<_>, Vec<_>) =
            self.running.drain(..).partition(|run| run.0 <= ms);
        self.running = running;
        for (_, task, run) in ended {
            let number = 1 + self.finished.len() as u64;
            self.finished.push((number, task, run, RunEnd::Done));
        }
        let rows: Vec<(TaskId, u32)> = self.running.iter().map(|run| (run.1, run.2)).collect();
        self.harness.report(ms, "e", &rows, &self.finished);
        self.collect(ms);
        self.harness.tick(ms);
        self.collect(ms);
    }

    fn collect(&mut self, ms: u64) {
        for (name, order) in self.harness.take_starts() {
            self.running
                .push((ms + self.run_ms, order.task, order.run.0));
            let answer = StartAnswer::Started { clock: None };
            self.harness.answer_start(ms, &name, &order, &answer);
        }
        for (job, end) in self.harness.take_ends() {
            self.ends.push((self.callers[&job.0], end));
        }
    }

    /// Plays the time from `from_ms`: each of the others asks for 1.8 jobs per second, the eager caller
    /// for 50. By the estimates, the executor can run 20 per second.
    fn play(&mut self, from_ms: u64, to_ms: u64) {
        for ms in (from_ms..to_ms).step_by(10) {
            self.step(ms);
            if ms % 20 == 0 {
                self.submit(ms, EAGER);
            }
            if ms % 110 == 10 {
                self.submit(ms, CallerId(1 + ms / 110 % OTHERS));
            }
        }
    }

    /// Returns the share of a caller's jobs that completed.
    fn served(&self, caller: CallerId) -> Share {
        let ends = self.ends.iter();
        let completed = ends.filter(|end| **end == (caller, JobEnd::Completed));
        Share::of(completed.count() as u64, self.asked[&caller])
    }

    fn refusals(&self, caller: CallerId, reason: NotRunReason) -> Vec<Millis> {
        let ends = self.ends.iter().filter(|(of, _)| *of == caller);
        ends.filter_map(|(_, end)| match end {
            JobEnd::NotRun(found, wait) if *found == reason => Some(*wait),
            _ => None,
        })
        .collect()
    }

    /// Removes and returns the log lines on limited callers.
    fn decisions(&mut self) -> Vec<String> {
        let logged = self.harness.actions.drain(..);
        logged
            .filter_map(|action| match action {
                Action::Log(Decision::CallerLimited { caller, mode, .. }) => {
                    Some(format!("{caller} limited, {mode}"))
                }
                Action::Log(Decision::CallerWithinShare { caller, .. }) => {
                    Some(format!("{caller} within"))
                }
                _ => None,
            })
            .collect()
    }
}

fn others() -> impl Iterator<Item = CallerId> {
    (1..=OTHERS).map(CallerId)
}

#[test]
fn eager_caller_is_refused_and_the_others_are_served() {
    let mut on = Load::new(OverloadMode::On);
    let mut off = Load::new(OverloadMode::Off);
    for load in [&mut on, &mut off] {
        // The owner learns the load in the first second.
        load.play(0, 1_000);
        load.ends.clear();
        load.asked.clear();
        load.play(1_000, 20_000);
    }
    let served = |load: &Load| others().map(|caller| load.served(caller)).min();
    assert!(
        served(&on) >= Some(Share::from_millis(950)),
        "{:?}",
        served(&on)
    );
    assert!(served(&on) > served(&off));
    let waits = on.refusals(EAGER, NotRunReason::CallerShare);
    assert!(waits.len() > 500, "{}", waits.len());
    let is_allowed =
        |wait: &Millis| wait.0.is_multiple_of(1_000) && (1_000..=10_000).contains(&wait.0);
    assert!(waits.iter().all(is_allowed), "{waits:?}");
    let reported = on.harness.pool.load(at_ms(20_000)).limited_callers;
    assert_eq!(reported.len(), 1);
    assert_eq!(reported[0].caller, EAGER);
    assert!(reported[0].admitted < Share::from_millis(200));
    assert_eq!(off.refusals(EAGER, NotRunReason::CallerShare), []);
    assert_eq!(off.harness.pool.load(at_ms(20_000)).limited_callers, []);
}

#[test]
fn excess_is_logged_once_and_its_end_once() {
    for mode in [OverloadMode::On, OverloadMode::Shadow] {
        let mut load = Load::new(mode);
        load.play(0, 5_000);
        let name = EAGER.to_string();
        assert_eq!(load.decisions(), [format!("{name} limited, {mode}")]);
        for ms in (5_000..9_000).step_by(20) {
            load.step(ms);
        }
        assert_eq!(load.decisions(), [format!("{name} within")]);
        let is_refused = !load.refusals(EAGER, NotRunReason::CallerShare).is_empty();
        assert_eq!(is_refused, mode == OverloadMode::On);
    }
}

#[test]
fn nobody_is_refused_while_executors_have_places() {
    let mut load = Load::new(OverloadMode::On);
    // More is offered than the room by the estimates, but the runs are so short that places are free.
    load.run_ms = 20;
    load.play(0, 5_000);
    assert_eq!(load.refusals(EAGER, NotRunReason::CallerShare), []);
    assert_eq!(load.refusals(EAGER, NotRunReason::NoTime), []);
}

#[test]
fn job_whose_earlier_copy_may_run_is_not_refused() {
    let mut load = Load::new(OverloadMode::On);
    load.play(0, 5_000);
    let (_, task, _) = *load.running.last().expect("a run");
    let request = JobRequest {
        caller: EAGER,
        ..job(task.job.0, 1, 100)
    };
    let (now, pool) = (at_ms(5_000), &mut load.harness.pool);
    let reason = UnknownReason::Cancelled;
    pool.cancel(now, OWN, request.submission, task.job, reason);
    load.harness.submit(5_000, request);
    assert_eq!(load.harness.take_ends(), []);
}

#[test]
fn new_owner_has_everyone_within_the_share() {
    let mut load = Load::new(OverloadMode::On);
    load.play(0, 5_000);
    let mut next = Load::new(OverloadMode::On);
    for _ in 0..4 {
        next.submit(0, EAGER);
    }
    assert_eq!(next.refusals(EAGER, NotRunReason::CallerShare), []);
    assert_eq!(next.harness.pool.load(at_ms(0)).limited_callers, []);
}
