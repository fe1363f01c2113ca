//! Jobs that the pool gives up before their first run is known to execute.

use onyxshed_core::{Millis, Mono};
use onyxshed_pool::{
    Action, FencingToken, HoldAnswer, JobEnd, JobRequest, RefuseReason, StartAnswer,
    SubmissionNumber, UnknownReason,
};
use rstest::rstest;

use crate::fixture::{Harness, OWN, at_ms, job};

/// The time at which the pool gives the job up.
const DROPPED_AT_MS: u64 = 40;

/// What is known of the first start order.
#[derive(Debug, Clone)]
enum FirstOrder {
    InFlight,
    Answered(StartAnswer),
}

/// Why the pool gives the job up.
#[derive(Debug, Clone, Copy)]
enum Cause {
    Cancelled,
    Closed,
    Released,
    Evacuated,
    TimeOver,
    ExecutorLost,
    Replaced,
}

fn drop_job(harness: &mut Harness, cause: Cause) {
    let now: Mono = at_ms(DROPPED_AT_MS);
    let pool = &mut harness.pool;
    let actions: Vec<Action> = match cause {
        Cause::Cancelled => {
            let reason = UnknownReason::Cancelled;
            pool.cancel(now, OWN, SubmissionNumber(1), job(1, 1, 100).job, reason)
        }
        Cause::Closed => pool.close(),
        Cause::Released => pool.release(now, FencingToken(8)).0,
        Cause::Evacuated => pool.set_evacuated(now, true),
        Cause::TimeOver | Cause::ExecutorLost => Vec::new(),
        Cause::Replaced => pool.step_down(),
    };
    harness.actions.extend(actions);
    if matches!(cause, Cause::ExecutorLost) {
        harness.answer_hold(DROPPED_AT_MS, "a", HoldAnswer::Unknown);
    }
    harness.advance(DROPPED_AT_MS, 2_000);
}

/// Guards against runs at two pools: a job of which a run was ordered must not be passed on to another pool.
#[rstest]
fn job_with_an_ordered_run_does_not_end_as_not_run(
    #[values(
        FirstOrder::InFlight,
        FirstOrder::Answered(StartAnswer::Unknown),
        FirstOrder::Answered(StartAnswer::NotSent),
        FirstOrder::Answered(StartAnswer::Refused(RefuseReason::Expired)),
        FirstOrder::Answered(StartAnswer::Refused(RefuseReason::NoRoom)),
        FirstOrder::Answered(StartAnswer::Refused(RefuseReason::Ended))
    )]
    first_order: FirstOrder,
    #[values(
        Cause::Cancelled,
        Cause::Closed,
        Cause::Released,
        Cause::Evacuated,
        Cause::TimeOver,
        Cause::ExecutorLost,
        Cause::Replaced
    )]
    cause: Cause,
) {
    let mut harness = Harness::with_executors(&[("a", 32)]);
    let request = JobRequest {
        time_left: Millis(600),
        ..job(1, 1, 100)
    };
    harness.submit(0, request);
    let (name, order) = harness.take_starts().pop().expect("a start order");
    if let FirstOrder::Answered(answer) = first_order {
        harness.answer_start(20, &name, &order, &answer);
    }
    drop_job(&mut harness, cause);
    let ends = harness.take_ends();
    let is_unknown = matches!(ends[..], [(_, JobEnd::Unknown(_))]);
    assert!(is_unknown, "{ends:?}");
}
