//! Order of queued tasks, and isolation between classes and upstreams.

use onyxshed_policy::PolicyOptions;

use crate::fixture::{at_ms, executor, policy, starts, target, task, work};

#[test]
fn earliest_deadline_goes_first() {
    let late = target("late", "desk", 9_000, false);
    let soon = target("soon", "desk", 1_000, false);
    let executors = [executor("x1", "desk", 1)];
    let targets = [late.clone(), soon.clone()];
    let mut policy = policy(PolicyOptions::default(), &targets, &executors);
    policy.enqueue(at_ms(0), work(task(1, 0), &late, at_ms(0)));
    policy.enqueue(at_ms(0), work(task(2, 0), &soon, at_ms(0)));
    assert_eq!(starts(&mut policy, at_ms(0))[0].0, task(2, 0));
}

/// A class floods its upstream with tasks whose deadlines are all earlier than those of another
/// class. If only deadlines counted, the other class would wait for all of them; it must get its
/// fair share instead.
#[test]
fn flooding_class_leaves_the_fair_share_of_another() {
    let flood = target("flood", "desk", 1_000, false);
    let other = target("other", "desk", 3_000, false);
    let executors = [executor("x1", "desk", 8)];
    let targets = [flood.clone(), other.clone()];
    let mut policy = policy(PolicyOptions::default(), &targets, &executors);
    for index in 0..40 {
        policy.enqueue(at_ms(0), work(task(1, index), &flood, at_ms(0)));
        policy.enqueue(at_ms(0), work(task(2, index), &other, at_ms(0)));
    }
    let started = starts(&mut policy, at_ms(0));
    let of_other = started.iter().filter(|(id, _)| *id >= task(2, 0)).count();
    assert_eq!((started.len(), of_other), (8, 4));
}

/// One upstream is full and has a long queue. A task of another upstream must still start
/// immediately.
#[test]
fn full_upstream_does_not_block_another() {
    let a = target("a", "alpha", 1_000, false);
    let b = target("b", "beta", 9_000, false);
    let executors = [executor("xa", "alpha", 1), executor("xb", "beta", 1)];
    let mut policy = policy(
        PolicyOptions::default(),
        &[a.clone(), b.clone()],
        &executors,
    );
    for index in 0..50 {
        policy.enqueue(at_ms(0), work(task(1, index), &a, at_ms(0)));
    }
    assert_eq!(starts(&mut policy, at_ms(0)).len(), 1);
    policy.enqueue(at_ms(1), work(task(2, 0), &b, at_ms(1)));
    assert_eq!(starts(&mut policy, at_ms(1)), [(task(2, 0), "xb".into())]);
}
