//! Handover of a pool while both owners are running.

use std::collections::BTreeSet;

use onyxshed_core::Millis;
use onyxshed_pool::{
    ExecutorId, FencingToken, JobEnd, JobId, NotRunReason, Pool, PoolOptions, RunEnd, StartAnswer,
};

use crate::fixture::{Harness, OWN, at_ms, facts, id, job};

/// Token of the owner that the store elected after this one.
const NEXT: FencingToken = FencingToken(100);

fn release(desk: &mut Harness, ms: u64) -> Vec<ExecutorId> {
    let (actions, held) = desk.pool.release(at_ms(ms), NEXT);
    desk.actions.extend(actions);
    held
}

/// When an owner is stopped, running jobs end there and are answered. Queued jobs end as not run, so that
/// their entry hosts submit them to the next owner. Idle executors are released at once, the others when
/// their last run has ended.
#[test]
fn what_has_begun_ends_and_what_waits_is_handed_back() {
    let mut desk = Harness::with_executors(&[("a", 64), ("b", 64)]);
    let (busy, order) = desk.submit_and_start(0, job(1, 1, 900));
    assert_eq!(release(&mut desk, 10), vec![id(&busy)]);
    desk.submit(20, job(2, 1, 100));
    let not_run = JobEnd::NotRun(NotRunReason::NotOwner, Millis(100));
    assert_eq!(desk.take_ends(), vec![(JobId(2), not_run)]);
    desk.report(30, &busy, &[], &[(1, order.task, 1, RunEnd::Done)]);
    assert_eq!(desk.take_ends(), vec![(JobId(1), JobEnd::Completed)]);
    assert_eq!(release(&mut desk, 40), Vec::new());
}

/// The pool is full at the handover: queued jobs end as not run, which guarantees that none of their tasks
/// ran.
#[test]
fn jobs_that_have_not_begun_are_not_run() {
    let mut desk = Harness::with_executors(&[("a", 32)]);
    desk.submit_and_start(0, job(1, 1, 900));
    desk.submit(1, job(2, 1, 100));
    release(&mut desk, 10);
    let not_run = JobEnd::NotRun(NotRunReason::NotOwner, Millis(0));
    assert_eq!(desk.take_ends(), vec![(JobId(2), not_run)]);
}

/// At the handover, a job has more tasks than fit on the executors. The executors must stay until its last
/// task has started, or the job would wait forever.
#[test]
fn a_job_that_has_begun_keeps_its_room() {
    let mut desk = Harness::with_executors(&[("a", 32)]);
    let (_, first) = desk.submit_and_start(0, job(1, 2, 100));
    assert_eq!(release(&mut desk, 10), vec![id("a")]);
    desk.report(100, "a", &[], &[(1, first.task, 1, RunEnd::Done)]);
    assert_eq!(release(&mut desk, 110), vec![id("a")]);
    let (_, second) = desk.take_starts().pop().expect("the second task");
    desk.answer_start(120, "a", &second, &StartAnswer::Started { clock: None });
    desk.report(200, "a", &[], &[(2, second.task, 1, RunEnd::Done)]);
    assert_eq!(desk.take_ends(), vec![(JobId(1), JobEnd::Completed)]);
    assert_eq!(release(&mut desk, 210), Vec::new());
}

/// An executor that was released answers that this owner's token is fenced off. This owner must not step
/// down because of it, as it still runs jobs on other executors.
#[test]
fn a_refusal_of_an_executor_handed_over_changes_nothing() {
    let mut desk = Harness::with_executors(&[("a", 64), ("b", 64)]);
    let (busy, _) = desk.submit_and_start(0, job(1, 1, 900));
    release(&mut desk, 10);
    let other = if busy == "a" { "b" } else { "a" };
    let fenced = onyxshed_pool::HoldAnswer::Report(onyxshed_pool::ExecutorReport::Fenced);
    desk.answer_hold(20, other, fenced);
    assert_eq!(desk.take_ends(), Vec::new());
    assert_eq!(desk.pool.job_count(), 1);
}

/// The next owner must send no order to an executor that the previous owner still uses, because the higher
/// token would fence the previous owner off and its runs would be lost. A released executor is used at
/// once.
#[test]
fn the_next_owner_waits_until_an_executor_is_let_go() {
    let pool = Pool::new(at_ms(0), FencingToken(8), OWN, PoolOptions::default());
    let mut desk = Harness {
        pool,
        actions: Vec::new(),
    };
    desk.pool.await_predecessor();
    for name in ["a", "b"] {
        let actions = desk.pool.list_executor(at_ms(0), id(name), facts(64));
        desk.actions.extend(actions);
    }
    assert_eq!(desk.take_holds().len(), 0);
    let held =
        |names: &[&str]| -> BTreeSet<ExecutorId> { names.iter().map(|name| id(name)).collect() };
    let actions = desk
        .pool
        .apply_predecessor_executors(at_ms(10), held(&["b"]));
    desk.actions.extend(actions);
    let asked: Vec<String> = desk
        .take_holds()
        .into_iter()
        .map(|(name, _)| name)
        .collect();
    assert_eq!(asked, vec!["a"]);
    desk.report(15, "a", &[], &[]);
    desk.submit(16, job(1, 1, 100));
    assert_eq!(desk.take_starts().len(), 1);
    let actions = desk.pool.apply_predecessor_executors(at_ms(30), held(&[]));
    desk.actions.extend(actions);
    let asked: Vec<String> = desk
        .take_holds()
        .into_iter()
        .map(|(name, _)| name)
        .collect();
    assert!(asked.contains(&"b".to_owned()));
}
