//! Handover of a pool while both owners are running.

use std::collections::BTreeSet;

use onyxshed_core::Millis;
use onyxshed_pool::{
    ExecutorId, FencingToken, JobEnd, JobId, NotRunReason, Pool, PoolOptions, RunEnd, StartAnswer,
};

use crate::fixture::{Harness, OWN, at_ms, facts, id, job};

/// Token of the owner that the store elected after this one.
const NEXT: FencingToken = FencingToken(100);

fn release(harness: &mut Harness, ms: u64) -> Vec<ExecutorId> {
    let (actions, held) = harness.pool.release(at_ms(ms), NEXT);
    harness.actions.extend(actions);
    held
}

/// When an owner is stopped, running jobs end there and are answered. Queued jobs end as not run,
/// so that their entry hosts submit them to the next owner. Idle executors are released
/// immediately, the others when their last run has ended.
#[test]
fn release_completes_started_jobs_and_returns_the_others() {
    let mut harness = Harness::with_executors(&[("a", 64), ("b", 64)]);
    let (busy, order) = harness.submit_and_start(0, job(1, 1, 900));
    assert_eq!(release(&mut harness, 10), vec![id(&busy)]);
    harness.submit(20, job(2, 1, 100));
    let not_run = JobEnd::NotRun(NotRunReason::NotOwner, Millis(100));
    assert_eq!(harness.take_ends(), vec![(JobId(2), not_run)]);
    harness.report(30, &busy, &[], &[(1, order.task, 1, RunEnd::Done)]);
    assert_eq!(harness.take_ends(), vec![(JobId(1), JobEnd::Completed)]);
    assert_eq!(release(&mut harness, 40), Vec::new());
}

/// The pool is full at the handover: queued jobs end as not run, which guarantees that none of their tasks
/// ran.
#[test]
fn release_ends_unstarted_jobs_as_not_run() {
    let mut harness = Harness::with_executors(&[("a", 32)]);
    harness.submit_and_start(0, job(1, 1, 900));
    harness.submit(1, job(2, 1, 100));
    release(&mut harness, 10);
    let not_run = JobEnd::NotRun(NotRunReason::NotOwner, Millis(0));
    assert_eq!(harness.take_ends(), vec![(JobId(2), not_run)]);
}

/// An owner stops without a successor: queued jobs must end as not run at once, not with its process. Started
/// jobs continue.
#[test]
fn closing_returns_unstarted_jobs_at_once() {
    let mut harness = Harness::with_executors(&[("a", 32)]);
    let (_, first) = harness.submit_and_start(0, job(1, 2, 100));
    harness.submit(1, job(2, 1, 900));
    let actions = harness.pool.close();
    harness.actions.extend(actions);
    let not_run = JobEnd::NotRun(NotRunReason::NotOwner, Millis(0));
    assert_eq!(harness.take_ends(), vec![(JobId(2), not_run)]);
    harness.report(100, "a", &[], &[(1, first.task, 1, RunEnd::Done)]);
    let (_, second) = harness
        .take_starts()
        .pop()
        .expect("a start order for the second task");
    harness.answer_start(101, "a", &second, &StartAnswer::Started { clock: None });
    harness.report(200, "a", &[], &[(2, second.task, 1, RunEnd::Done)]);
    assert_eq!(harness.take_ends(), vec![(JobId(1), JobEnd::Completed)]);
    assert_eq!(harness.pool.job_count(), 0);
}

/// At the handover, a job has more tasks than fit on the executors. The executors must stay until its last
/// task has started, or the job would wait forever.
#[test]
fn started_job_keeps_executor_until_last_task_starts() {
    let mut harness = Harness::with_executors(&[("a", 32)]);
    let (_, first) = harness.submit_and_start(0, job(1, 2, 100));
    assert_eq!(release(&mut harness, 10), vec![id("a")]);
    harness.report(100, "a", &[], &[(1, first.task, 1, RunEnd::Done)]);
    assert_eq!(release(&mut harness, 110), vec![id("a")]);
    let (_, second) = harness
        .take_starts()
        .pop()
        .expect("a start order for the second task");
    harness.answer_start(120, "a", &second, &StartAnswer::Started { clock: None });
    harness.report(200, "a", &[], &[(2, second.task, 1, RunEnd::Done)]);
    assert_eq!(harness.take_ends(), vec![(JobId(1), JobEnd::Completed)]);
    assert_eq!(release(&mut harness, 210), Vec::new());
}

/// An executor that was released answers that this owner's token is fenced off. This owner must not step
/// down because of it, as it still runs jobs on other executors.
#[test]
fn fenced_answer_of_released_executor_is_ignored() {
    let mut harness = Harness::with_executors(&[("a", 64), ("b", 64)]);
    let (busy, _) = harness.submit_and_start(0, job(1, 1, 900));
    release(&mut harness, 10);
    let other = if busy == "a" { "b" } else { "a" };
    let fenced = onyxshed_pool::HoldAnswer::Report(onyxshed_pool::ExecutorReport::Fenced);
    harness.answer_hold(20, other, fenced);
    assert_eq!(harness.take_ends(), Vec::new());
    assert_eq!(harness.pool.job_count(), 1);
}

/// The next owner must send no order to an executor that the previous owner still uses, because the
/// higher token would fence the previous owner off and its runs would be lost. The next owner
/// acquires a released executor immediately.
#[test]
fn next_owner_uses_executor_only_after_release() {
    let pool = Pool::new(at_ms(0), FencingToken(8), OWN, PoolOptions::default());
    let mut harness = Harness {
        pool,
        actions: Vec::new(),
    };
    harness.pool.await_predecessor();
    for name in ["a", "b"] {
        let actions = harness
            .pool
            .record_listed_executor(at_ms(0), id(name), facts(64));
        harness.actions.extend(actions);
    }
    assert_eq!(harness.take_holds().len(), 0);
    let held =
        |names: &[&str]| -> BTreeSet<ExecutorId> { names.iter().map(|name| id(name)).collect() };
    let actions = harness
        .pool
        .apply_predecessor_executors(at_ms(10), held(&["b"]));
    harness.actions.extend(actions);
    let hold_targets: Vec<String> = harness
        .take_holds()
        .into_iter()
        .map(|(name, _)| name)
        .collect();
    assert_eq!(hold_targets, vec!["a"]);
    harness.report(15, "a", &[], &[]);
    harness.submit(16, job(1, 1, 100));
    assert_eq!(harness.take_starts().len(), 1);
    let actions = harness
        .pool
        .apply_predecessor_executors(at_ms(30), held(&[]));
    harness.actions.extend(actions);
    let hold_targets: Vec<String> = harness
        .take_holds()
        .into_iter()
        .map(|(name, _)| name)
        .collect();
    assert!(hold_targets.contains(&"b".to_owned()));
}
