//! What the plan starts, keeps waiting and refuses, on pools of one or two executors.

use onyxshed_core::Millis;
use onyxshed_pool::{JobEnd, JobId, JobRequest, NotRunReason, RunEnd, TaskId, UnknownReason};

use crate::fixture::{Desk, job};

/// Lets an executor end runs that take so many times their estimate of 100 ms, until it is known for it.
fn show_slowdown(desk: &mut Desk, name: &str, times: u64) -> u64 {
    let mut ms = 0;
    for number in 1..=12 {
        let only_there = JobRequest {
            time_left: Millis(60_000),
            ..job(number, 1, 100)
        };
        let (place, order) = desk.run_one(ms, only_there);
        assert_eq!(place, name);
        ms += 100 * times;
        desk.report(ms, name, &[], &[(number, order.task, 1, RunEnd::Done)]);
    }
    desk.ends();
    ms
}

/// The executor with room takes eight times as long, the other one ends its run in 40 ms. A task that
/// went where there is room would end after 800 ms, and its job with it; it waits and ends after 140.
#[test]
fn a_task_waits_for_an_executor_that_ends_it_sooner() {
    let mut desk = Desk::with_executors(&[("slow", 32)]);
    let now = show_slowdown(&mut desk, "slow", 8);
    desk.add_executor(now, "sound", 32);
    let (sound, first) = desk.run_one(now, job(50, 1, 100));
    assert_eq!(sound, "sound");
    desk.submit(now + 60, job(51, 1, 100));
    assert_eq!(desk.starts(), vec![]);
    let done = [(1, first.task, 1, RunEnd::Done)];
    desk.report(now + 100, "sound", &[], &done);
    let (place, second) = desk.starts().pop().expect("a start");
    assert_eq!((place.as_str(), second.task.job), ("sound", JobId(51)));
}

/// The only executor is busy for 900 ms, and a job comes that is of no use after 468. That is known at
/// once: its caller is told that it has not run, and when to come back, and doesn't wait to hear it.
#[test]
fn what_can_only_be_in_vain_is_refused_at_its_arrival() {
    let mut desk = Desk::with_executors(&[("a", 32)]);
    desk.run_one(0, job(1, 1, 900));
    desk.submit(10, job(2, 1, 60));
    let ends = desk.ends();
    let is_refused = |end| matches!(end, JobEnd::NotRun(NotRunReason::NoTime, Millis(1..)));
    assert!(
        matches!(ends[..], [(JobId(2), end)] if is_refused(end)),
        "{ends:?}"
    );
}

/// One of a job's two tasks fails on the only executor, and may not run there again. Its answer can't be
/// of use after 468 ms: the caller hears then that its fate is unknown, and not at its deadline of ten
/// seconds, and the other task makes room.
#[test]
fn what_has_begun_in_vain_is_given_up_before_its_deadline() {
    let mut desk = Desk::with_executors(&[("a", 64)]);
    desk.submit(0, job(1, 2, 60));
    let failed = TaskId {
        job: JobId(1),
        index: 0,
    };
    let other = TaskId { index: 1, ..failed };
    desk.report(20, "a", &[(other, 1)], &[(1, failed, 1, RunEnd::Failed)]);
    desk.pass(20, 380);
    assert_eq!(desk.ends(), vec![]);
    desk.pass(380, 480);
    let given_up = JobEnd::Unknown(UnknownReason::OutOfTime);
    assert_eq!(desk.ends(), vec![(JobId(1), given_up)]);
    assert!(desk.stops().iter().any(|(_, stop)| stop.task == other));
}

/// Two classes wait for the same room. One holds all of the pool, and its next job is less work than the
/// other's: the other class goes first all the same.
#[test]
fn the_class_that_holds_less_goes_first() {
    let class = |name: &str, request: JobRequest| JobRequest {
        class: name.into(),
        ..request
    };
    let mut desk = Desk::with_executors(&[("a", 64)]);
    desk.submit(0, class("small", job(1, 2, 60)));
    desk.submit(1, class("small", job(2, 1, 60)));
    desk.submit(1, class("large", job(3, 1, 200)));
    let ended = desk.starts().pop().expect("a start").1.task;
    let left = TaskId {
        index: 1 - ended.index,
        ..ended
    };
    desk.report(60, "a", &[(left, 1)], &[(1, ended, 1, RunEnd::Done)]);
    let started: Vec<JobId> = desk
        .starts()
        .iter()
        .map(|(_, order)| order.task.job)
        .collect();
    assert_eq!(started.last(), Some(&JobId(3)));
}
