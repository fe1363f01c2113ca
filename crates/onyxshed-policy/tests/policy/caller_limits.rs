//! Shares of callers and planned returns.

use std::collections::BTreeMap;

use onyxshed_core::{CallerId, ResultCode, Share, TaskId};
use onyxshed_policy::{Admission, AttemptOutcome, PolicyOptions};
use rstest::rstest;

use crate::fixture::{at_ms, class, end, executor, policy, starts, target, task, work};

/// The caller that sends far more than the others.
const EAGER: CallerId = CallerId(100);

/// Jobs asked and done of the other callers and of the eager one, and the waits of refused jobs.
#[derive(Default)]
struct Outcome {
    others: (u64, u64),
    eager: (u64, u64),
    waits_ms: Vec<u64>,
}

/// Plays 20 s: 8 callers ask for 5 jobs per second each, the eager one for 200; tasks take 100 ms on
/// 8 slots.
fn play(options: PolicyOptions) -> Outcome {
    let lock = target("lock", "desk", 500, false);
    let classes = std::slice::from_ref(&lock);
    let mut policy = policy(options, classes, &[executor("x1", "desk", 8)]);
    let mut running: Vec<(u64, TaskId)> = Vec::new();
    let mut callers = BTreeMap::new();
    let mut outcome = Outcome::default();
    for ms in (0..20_000).step_by(5) {
        let now = at_ms(ms);
        let (over, rest) = running.into_iter().partition(|(until, _)| *until <= ms);
        running = rest;
        let over: Vec<(u64, TaskId)> = over;
        for (_, id) in over {
            policy.apply_attempt_end(now, &end(id, "x1", AttemptOutcome::Finished));
            match callers[&id] {
                EAGER => outcome.eager.1 += 1,
                _ => outcome.others.1 += 1,
            }
        }
        let other = (ms % 25 == 0).then(|| CallerId(1 + ms / 25 % 8));
        for (index, caller) in [Some(EAGER), other].into_iter().flatten().enumerate() {
            match caller {
                EAGER => outcome.eager.0 += 1,
                _ => outcome.others.0 += 1,
            }
            let deadline = now.mono + lock.finish_within_ms;
            match policy.admit_from(now, caller, &class("lock"), 1, deadline) {
                Admission::Accept => {
                    let id = task(ms * 2 + index as u64, 0);
                    callers.insert(id, caller);
                    policy.enqueue(now, work(id, &lock, now));
                }
                Admission::Refuse {
                    code,
                    retry_after_ms,
                } => {
                    assert!(matches!(
                        code,
                        ResultCode::Overloaded | ResultCode::DeadlineOutOfReach
                    ));
                    outcome.waits_ms.push(retry_after_ms.0);
                }
            }
        }
        policy.take_expired_ids(now);
        let started = starts(&mut policy, now).into_iter();
        running.extend(started.map(|(id, _)| (ms + 100, id)));
    }
    outcome
}

#[rstest]
#[case::off(false)]
#[case::on(true)]
fn eager_caller_takes_nothing_from_others_with_shares(#[case] has_caller_shares: bool) {
    let outcome = play(PolicyOptions {
        has_caller_shares,
        plans_returns: has_caller_shares,
        ..PolicyOptions::default()
    });
    let (asked, done) = outcome.others;
    let others = Share::of(done, asked);
    assert_eq!(
        others >= Share::from_millis(950),
        has_caller_shares,
        "{others}"
    );
    assert!(outcome.eager.1 + done > 1_580, "the slots are kept busy");
    assert!(outcome.waits_ms.iter().all(|wait| *wait <= 10_000));
}
