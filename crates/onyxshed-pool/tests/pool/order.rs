//! The order of the queue and the shedding of queued jobs.
//!
//! Each pool has one executor with resources for one task, so that each start shows the selected job.

use onyxshed_core::Millis;
use onyxshed_pool::{JobEnd, JobId, JobRequest, NotRunReason, RunEnd, StartOrder, TaskId};

use crate::fixture::{Harness, job};

fn harness_with_one_task_slot() -> Harness {
    Harness::with_executors(&[("a", 32)])
}

/// Completes the running task and returns the next start order, if any.
fn complete_and_take_next(
    harness: &mut Harness,
    ms: u64,
    number: u64,
    order: &StartOrder,
) -> Option<StartOrder> {
    let task = TaskId {
        job: order.task.job,
        index: order.task.index,
    };
    harness.report(ms, "a", &[], &[(number, task, order.run.0, RunEnd::Done)]);
    harness.take_starts().pop().map(|(_, order)| order)
}

/// By its caller's estimate of 20 ms, a job should end within 92 ms. Its first task takes 60 ms, from which
/// a target of 156 ms follows; the second task can still meet it and goes before a larger job. By the
/// caller's estimate alone, the job would be late and starve with half of its work done.
#[test]
fn target_follows_run_times_of_completed_tasks() {
    let mut harness = harness_with_one_task_slot();
    let (_, first) = harness.submit_and_start(0, job(1, 2, 20));
    harness.submit(1, job(2, 1, 100));
    let second = complete_and_take_next(&mut harness, 60, 1, &first).expect("a start order");
    assert_eq!(second.task.job, JobId(1));
}

/// A late job has one short task left, and a job that can be in time has ten times the work. A late answer
/// is worth a fifth, so the late job goes first.
#[test]
fn late_job_with_little_work_left_goes_first() {
    let mut harness = harness_with_one_task_slot();
    let (_, first) = harness.submit_and_start(0, job(1, 2, 50));
    harness.submit(110, job(2, 1, 600));
    let second = complete_and_take_next(&mut harness, 120, 1, &first).expect("a start order");
    assert_eq!(second.task.job, JobId(1));
}

/// A late job has one short task left, and a job that can be in time has less than five times the work. The
/// job that can be in time goes first.
#[test]
fn late_job_waits_for_job_that_can_be_in_time() {
    let mut harness = harness_with_one_task_slot();
    let (_, first) = harness.submit_and_start(0, job(1, 2, 50));
    harness.submit(110, job(2, 1, 200));
    let second = complete_and_take_next(&mut harness, 240, 1, &first).expect("a start order");
    assert_eq!(second.task.job, JobId(2));
}

/// The pool is full, and one of two queued jobs can no longer be in time while the other can. The late job
/// must end as not run at that time, not after three targets.
#[test]
fn late_job_is_shed_while_others_wait() {
    let mut harness = harness_with_one_task_slot();
    harness.submit_and_start(0, job(1, 1, 900));
    harness.submit(0, job(2, 1, 60));
    harness.advance(0, 60);
    harness.submit(60, job(3, 1, 200));
    assert_eq!(harness.take_ends(), vec![]);
    harness.advance(60, 100);
    let ends = harness.take_ends();
    let not_run = |end| matches!(end, JobEnd::NotRun(NotRunReason::NoTime, Millis(1..)));
    assert!(
        matches!(ends[..], [(JobId(2), end)] if not_run(end)),
        "{ends:?}"
    );
}

/// A late job without other queued jobs may still get its turn, so it waits while its answer is useful.
#[test]
fn late_job_waits_when_queue_is_empty() {
    let mut harness = harness_with_one_task_slot();
    let (_, first) = harness.submit_and_start(0, job(1, 1, 200));
    harness.submit(0, job(2, 1, 60));
    harness.advance(0, 300);
    assert_eq!(harness.take_ends(), vec![]);
    let second = complete_and_take_next(&mut harness, 300, 1, &first).expect("a start order");
    assert_eq!(second.task.job, JobId(2));
}

/// An owner sheds a job after 80 ms, and the entry host submits it to another pool, which is full as well.
/// The time with the first pool counts: the job is shed there as soon as it can only be late, not after
/// another 80 ms.
#[test]
fn time_with_other_pools_counts() {
    let mut harness = harness_with_one_task_slot();
    harness.submit_and_start(100, job(1, 1, 900));
    harness.submit(
        100,
        JobRequest {
            elapsed: Millis(80),
            ..job(2, 1, 60)
        },
    );
    harness.submit(100, job(3, 1, 200));
    harness.advance(100, 120);
    let ended: Vec<JobId> = harness
        .take_ends()
        .into_iter()
        .map(|(job, _)| job)
        .collect();
    assert_eq!(ended, vec![JobId(2)]);
}

/// A short job can only be late, while longer queued jobs can be in time. The short job is still next in
/// the queue and must not be shed, since its caller gets an answer a moment later.
#[test]
fn late_job_that_is_next_is_not_shed() {
    let mut harness = harness_with_one_task_slot();
    let (_, first) = harness.submit_and_start(0, job(1, 1, 200));
    harness.submit(0, job(2, 1, 35));
    harness.submit(0, job(3, 4, 900));
    harness.advance(0, 200);
    assert_eq!(harness.take_ends(), vec![]);
    let second = complete_and_take_next(&mut harness, 200, 1, &first).expect("a start order");
    assert_eq!(second.task.job, JobId(2));
}
