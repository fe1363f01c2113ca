//! Tests of single calls of the public interface of the policy.

use onyxshed_core::{Millis, ResultCode};
use onyxshed_policy::{Admission, AttemptOutcome, NextStep, PolicyOptions, RetryStep};
use rstest::rstest;

use crate::fixture::{at_ms, class, end, executor, policy, starts, target, task, work};

fn code_of(admission: Admission) -> Option<ResultCode> {
    match admission {
        Admission::Accept => None,
        Admission::Refuse {
            code,
            retry_after_ms,
        } => {
            assert!(
                retry_after_ms > Millis(0),
                "a refusal must carry a retry-after time"
            );
            Some(code)
        }
    }
}

#[test]
fn admission_returns_the_code_of_a_refusal() {
    let sync = target("sync", "desk", 1_000, false);
    let away = target("away", "elsewhere", 1_000, false);
    let options = PolicyOptions {
        queue_max: 30,
        ..PolicyOptions::default()
    };
    let mut policy = policy(options, &[sync.clone(), away], &[executor("x1", "desk", 8)]);
    let now = at_ms(0);
    let deadline = now.mono + Millis(1_000);
    let mut admit = |name: &str, tasks| code_of(policy.admit(now, &class(name), tasks, deadline));
    assert_eq!(admit("sync", 20), None);
    assert_eq!(admit("sync", 31), Some(ResultCode::Overloaded));
    assert_eq!(admit("none", 1), Some(ResultCode::UnknownClass));
    assert_eq!(admit("away", 1), Some(ResultCode::NoUpstream));
    assert_eq!(
        code_of(policy.admit(now, &class("sync"), 1, now.mono)),
        Some(ResultCode::DeadlineOutOfReach)
    );
}

#[rstest]
#[case(AttemptOutcome::Refused, false, RetryStep::Queued)]
#[case(AttemptOutcome::Unsent, false, RetryStep::Queued)]
#[case(
    AttemptOutcome::Failed,
    false,
    RetryStep::GiveUp(ResultCode::TaskFailed)
)]
#[case(
    AttemptOutcome::Lost,
    false,
    RetryStep::GiveUp(ResultCode::ConnectionLost)
)]
#[case(
    AttemptOutcome::Lapsed,
    false,
    RetryStep::GiveUp(ResultCode::LeaseLapsed)
)]
#[case(
    AttemptOutcome::Stopped,
    true,
    RetryStep::GiveUp(ResultCode::Cancelled)
)]
#[case(AttemptOutcome::Failed, true, RetryStep::Queued)]
#[case(AttemptOutcome::Lost, true, RetryStep::Queued)]
#[case(AttemptOutcome::Lapsed, true, RetryStep::Queued)]
fn attempt_outcome_decides_the_retry_step(
    #[case] outcome: AttemptOutcome,
    #[case] may_run_twice: bool,
    #[case] expected: RetryStep,
) {
    let sync = target("sync", "desk", 1_000, may_run_twice);
    let executors = [executor("x1", "desk", 1), executor("x2", "desk", 1)];
    let mut policy = policy(
        PolicyOptions::default(),
        std::slice::from_ref(&sync),
        &executors,
    );
    policy.enqueue(at_ms(0), work(task(1, 0), &sync, at_ms(0)));
    let started = starts(&mut policy, at_ms(0));
    let step = policy.apply_attempt_end(at_ms(10), &end(task(1, 0), &started[0].1, outcome));
    assert_eq!(step, expected);
    if expected == RetryStep::Queued {
        let again = starts(&mut policy, at_ms(30));
        assert_eq!(again.len(), 1);
        assert_ne!(
            again[0].1, started[0].1,
            "the retry must use another executor"
        );
    }
}

/// A lost attempt may have started its task, so the task must not end as "not run", and must not be
/// started again if it may not run twice. Here it may run twice and is started on another executor,
/// which refuses it until the deadline; the result code must be that of the lost attempt.
#[test]
fn task_refused_after_a_lost_attempt_keeps_the_code_of_the_loss() {
    let sync = target("sync", "desk", 1_000, true);
    let executors = [executor("x1", "desk", 1), executor("x2", "desk", 1)];
    let mut policy = policy(
        PolicyOptions::default(),
        std::slice::from_ref(&sync),
        &executors,
    );
    let id = task(1, 0);
    policy.enqueue(at_ms(0), work(id, &sync, at_ms(0)));
    let first = starts(&mut policy, at_ms(0));
    policy.apply_attempt_end(at_ms(10), &end(id, &first[0].1, AttemptOutcome::Lost));
    let second = starts(&mut policy, at_ms(10));
    let step =
        policy.apply_attempt_end(at_ms(999), &end(id, &second[0].1, AttemptOutcome::Refused));
    assert_eq!(step, RetryStep::GiveUp(ResultCode::ConnectionLost));
}

#[test]
fn withdrawn_task_is_not_started_or_retried() {
    let sync = target("sync", "desk", 1_000, true);
    let executors = [executor("x1", "desk", 1)];
    let mut policy = policy(
        PolicyOptions::default(),
        std::slice::from_ref(&sync),
        &executors,
    );
    for index in 0..2 {
        policy.enqueue(at_ms(0), work(task(1, index), &sync, at_ms(0)));
    }
    assert_eq!(starts(&mut policy, at_ms(0)).len(), 1);
    assert!(policy.withdraw(task(1, 1)), "the task was queued");
    assert!(!policy.withdraw(task(1, 0)), "the task was running");
    let step = policy.apply_attempt_end(at_ms(5), &end(task(1, 0), "x1", AttemptOutcome::Refused));
    assert_eq!(step, RetryStep::GiveUp(ResultCode::RefusedByUpstream));
    assert_eq!(policy.next(at_ms(50)), NextStep::Idle);
}

#[test]
fn queued_tasks_expire_at_their_deadline() {
    let sync = target("sync", "desk", 1_000, false);
    let mut policy = policy(
        PolicyOptions::default(),
        std::slice::from_ref(&sync),
        &[executor("x1", "desk", 1)],
    );
    for index in 0..3 {
        policy.enqueue(at_ms(0), work(task(1, index), &sync, at_ms(0)));
    }
    starts(&mut policy, at_ms(0));
    assert!(policy.take_expired_ids(at_ms(999)).is_empty());
    assert_eq!(
        policy.take_expired_ids(at_ms(1_000)),
        [task(1, 1), task(1, 2)]
    );
    assert_eq!(policy.queued_tasks(), 0);
}
