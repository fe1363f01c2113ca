//! Which of the jobs that wait goes next, and which is refused.
//!
//! Each pool has one executor with room for one task, so that every start shows what was chosen.

use onyxshed_core::Millis;
use onyxshed_pool::{JobEnd, JobId, JobRequest, NotRunReason, RunEnd, StartOrder, TaskId};

use crate::fixture::{Desk, job};

fn one_place() -> Desk {
    Desk::with_executors(&[("a", 32)])
}

/// Ends the run under way, and gets the order that follows.
fn next(desk: &mut Desk, ms: u64, number: u64, order: &StartOrder) -> Option<StartOrder> {
    let task = TaskId {
        job: order.task.job,
        index: order.task.index,
    };
    desk.report(ms, "a", &[], &[(number, task, order.run.0, RunEnd::Done)]);
    desk.starts().pop().map(|(_, order)| order)
}

/// A caller thinks that its tasks take 20 ms, so its job should end within 92. The first one takes 60,
/// and the target that follows from that is 156 ms: the second task can still make it, and goes before
/// a larger job. Judged by the estimate it was late already and starved with half of its work done.
#[test]
fn a_job_is_judged_by_what_its_tasks_have_shown() {
    let mut desk = one_place();
    let (_, first) = desk.run_one(0, job(1, 2, 20));
    desk.submit(1, job(2, 1, 100));
    let second = next(&mut desk, 60, 1, &first).expect("a start");
    assert_eq!(second.task.job, JobId(1));
}

/// A job can only be late and has one short task left; another can be in time and has ten times the
/// work. An answer that is late is worth a fifth, so little work goes first.
#[test]
fn a_late_job_goes_on_if_little_is_left_of_it() {
    let mut desk = one_place();
    let (_, first) = desk.run_one(0, job(1, 2, 50));
    desk.submit(110, job(2, 1, 600));
    let second = next(&mut desk, 120, 1, &first).expect("a start");
    assert_eq!(second.task.job, JobId(1));
}

/// The same with a job of less than five times its work waiting: that one can be in time.
#[test]
fn a_late_job_waits_for_one_that_can_be_in_time() {
    let mut desk = one_place();
    let (_, first) = desk.run_one(0, job(1, 2, 50));
    desk.submit(110, job(2, 1, 200));
    let second = next(&mut desk, 240, 1, &first).expect("a start");
    assert_eq!(second.task.job, JobId(2));
}

/// The pool is full when two jobs come, and one can't be in time any more while the other can: it is
/// refused then, with the promise that it has not run, and not after three targets.
#[test]
fn a_job_that_can_only_be_late_is_refused_while_others_wait() {
    let mut desk = one_place();
    desk.run_one(0, job(1, 1, 900));
    desk.submit(0, job(2, 1, 60));
    desk.pass(0, 60);
    desk.submit(60, job(3, 1, 200));
    assert_eq!(desk.ends(), vec![]);
    desk.pass(60, 100);
    let ends = desk.ends();
    let not_run = |end| matches!(end, JobEnd::NotRun(NotRunReason::NoTime, Millis(1..)));
    assert!(
        matches!(ends[..], [(JobId(2), end)] if not_run(end)),
        "{ends:?}"
    );
}

/// The same without another job: its turn may come, so it waits as long as an answer is of use.
#[test]
fn a_job_that_can_only_be_late_waits_alone() {
    let mut desk = one_place();
    let (_, first) = desk.run_one(0, job(1, 1, 200));
    desk.submit(0, job(2, 1, 60));
    desk.pass(0, 300);
    assert_eq!(desk.ends(), vec![]);
    let second = next(&mut desk, 300, 1, &first).expect("a start");
    assert_eq!(second.task.job, JobId(2));
}

/// A pool's owner refuses a job after 80 ms of waiting, and its entry host hands it to another pool, which
/// is full as well. The caller has waited since the beginning: it is refused there as soon as it can only
/// be late, and not after as long again.
#[test]
fn the_time_spent_with_other_pools_counts() {
    let mut desk = one_place();
    desk.run_one(100, job(1, 1, 900));
    desk.submit(
        100,
        JobRequest {
            elapsed: Millis(80),
            ..job(2, 1, 60)
        },
    );
    desk.submit(100, job(3, 1, 200));
    desk.pass(100, 120);
    let ended: Vec<JobId> = desk.ends().into_iter().map(|(job, _)| job).collect();
    assert_eq!(ended, vec![JobId(2)]);
}

/// A short job can only be late, and long ones wait that can be in time. By the order of the queue the
/// short one is next all the same, so it is not refused: its caller has an answer a moment later.
#[test]
fn a_late_job_that_is_next_is_not_refused() {
    let mut desk = one_place();
    let (_, first) = desk.run_one(0, job(1, 1, 200));
    desk.submit(0, job(2, 1, 35));
    desk.submit(0, job(3, 4, 900));
    desk.pass(0, 200);
    assert_eq!(desk.ends(), vec![]);
    let second = next(&mut desk, 200, 1, &first).expect("a start");
    assert_eq!(second.task.job, JobId(2));
}
