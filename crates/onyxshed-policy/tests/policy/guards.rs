//! Breakers, blame, budgets and hedges, one at a time.

use onyxshed_core::{Micros, ResultCode, TaskId};
use onyxshed_policy::{
    Admission, AttemptOutcome, BreakerReason, NextStep, PlacementKind, Policy, PolicyDecision,
    PolicyOptions, RetryStep,
};
use rstest::rstest;

use crate::fixture::{at_ms, at_us, end, executor, policy, starts, target, task, work};

/// Runs jobs one after another, each over in `service_ms`, so that times are learned.
fn warm_up(policy: &mut Policy, target: &onyxshed_core::ClassTarget, jobs: u64, service_ms: u64) {
    for job in 0..jobs {
        let now = at_us(1_000 + job);
        let id = task(1_000_000 + job, 0);
        policy.enqueue(now, work(id, target, now));
        let (id, name) = starts(policy, now).pop().expect("a start");
        let mut finished = end(id, &name, AttemptOutcome::Finished);
        finished.service_us = Some(Micros(service_ms * 1_000));
        policy.apply_attempt_end(now, &finished);
    }
}

fn start_one(policy: &mut Policy, ms: u64) -> Option<(TaskId, String)> {
    match policy.next(at_ms(ms)) {
        NextStep::Start { task, executor, .. } => Some((task, executor.to_string())),
        _ => None,
    }
}

#[rstest]
#[case("least_finish", Some(PlacementKind::LeastFinish))]
#[case("round_robin", Some(PlacementKind::RoundRobin))]
#[case("least_outstanding", Some(PlacementKind::LeastOutstanding))]
#[case("fastest", None)]
fn placements_are_found_by_name(#[case] name: &str, #[case] kind: Option<PlacementKind>) {
    assert_eq!(name.parse().ok(), kind);
    assert!(kind.is_none_or(|kind| kind.to_string() == name));
}

/// The only executor can't be reached. Three starts come back unsent and the breaker opens; after
/// the pause exactly one task goes there, and only when that one has finished do the others follow.
#[test]
fn a_dead_executor_is_tried_with_one_task() {
    let once = target("once", "desk", 60_000, false);
    let executors = [executor("x1", "desk", 4)];
    let mut policy = policy(
        PolicyOptions::default(),
        std::slice::from_ref(&once),
        &executors,
    );
    for index in 0..8 {
        policy.enqueue(at_ms(0), work(task(1, index), &once, at_ms(0)));
    }
    for (id, name) in starts(&mut policy, at_ms(0)) {
        policy.apply_attempt_end(at_ms(1), &end(id, &name, AttemptOutcome::Unsent));
    }
    let reason = BreakerReason::Dead;
    let executor = executors[0].name.clone();
    assert_eq!(
        policy.drain_decisions(),
        [PolicyDecision::BreakerOpened {
            executor: executor.clone(),
            reason
        }]
    );
    assert_eq!(starts(&mut policy, at_ms(100)), []);
    let probe = starts(&mut policy, at_ms(3_000));
    assert_eq!(probe.len(), 1);
    assert_eq!(starts(&mut policy, at_ms(9_000)), []);
    policy.apply_attempt_end(
        at_ms(9_000),
        &end(probe[0].0, "x1", AttemptOutcome::Finished),
    );
    assert_eq!(
        policy.drain_decisions(),
        [PolicyDecision::BreakerClosed { executor }]
    );
    assert_eq!(
        starts(&mut policy, at_ms(9_000)).len(),
        1,
        "the limit grows from one task"
    );
}

/// An executor fails everything at once while the class runs well elsewhere. Tasks of a class that
/// may run twice are there to try it, so a class that may not is kept away from the tries.
#[test]
fn tries_use_work_that_may_run_twice() {
    let once = target("once", "desk", 60_000, false);
    let twice = target("twice", "desk", 60_000, true);
    let executors = [executor("x1", "desk", 1), executor("x2", "desk", 2)];
    let targets = [once.clone(), twice.clone()];
    let mut policy = policy(PolicyOptions::default(), &targets, &executors);
    let mut job = 0;
    let mut is_open = false;
    while !is_open && job < 100 {
        job += 1;
        policy.enqueue(at_ms(job), work(task(job, 0), &twice, at_ms(job)));
        while let Some((id, name)) = start_one(&mut policy, job) {
            let verdict = if name == "x1" {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::Finished
            };
            let mut ended = end(id, &name, verdict);
            ended.service_us = Some(Micros(4_000_000));
            policy.apply_attempt_end(at_ms(job), &ended);
        }
        is_open = policy
            .drain_decisions()
            .iter()
            .any(|note| matches!(note, PolicyDecision::BreakerOpened { .. }));
    }
    assert!(is_open, "the breaker of x1");
    let later = job + 5_000;
    policy.enqueue(at_ms(later), work(task(900, 0), &twice, at_ms(later)));
    let first = start_one(&mut policy, later).expect("a start");
    assert_eq!(first.1, "x1", "work that may run twice tries x1");
    policy.apply_attempt_end(at_ms(later), &end(first.0, "x1", AttemptOutcome::Failed));
    let second = start_one(&mut policy, later).expect("a start");
    assert_eq!(second.1, "x2");
    policy.enqueue(
        at_ms(later + 9_000),
        work(task(901, 0), &once, at_ms(later + 9_000)),
    );
    let third = start_one(&mut policy, later + 9_000).expect("a start");
    assert_eq!(third.1, "x2", "work that may not is not put at risk");
}

/// One job fails on three executors that run other jobs of its class well. It is told that it never
/// runs, after three attempts and not after as many as there are executors.
#[test]
fn a_job_that_can_never_run() {
    let twice = target("twice", "desk", 60_000, true);
    let executors = ["x1", "x2", "x3", "x4", "x5"].map(|name| executor(name, "desk", 1));
    let mut policy = policy(
        PolicyOptions::default(),
        std::slice::from_ref(&twice),
        &executors,
    );
    warm_up(&mut policy, &twice, 40, 100);
    policy.enqueue(at_ms(100), work(task(1, 0), &twice, at_ms(100)));
    let mut steps = Vec::new();
    while let Some((id, name)) = start_one(&mut policy, 100) {
        steps.push(policy.apply_attempt_end(at_ms(100), &end(id, &name, AttemptOutcome::Failed)));
    }
    let never = RetryStep::GiveUp(ResultCode::NeverRuns);
    assert_eq!(steps, [RetryStep::Queued, RetryStep::Queued, never]);
    let notes = policy.drain_decisions();
    assert!(
        matches!(notes.as_slice(), [PolicyDecision::JobUnrunnable { .. }]),
        "{notes:?}"
    );
}

/// Nothing finishes any more: refused starts are tried again only as long as the budget lasts, then
/// each task gets its answer at once instead of another message.
#[test]
fn refused_starts_stop_when_the_budget_is_spent() {
    let once = target("once", "desk", 60_000, false);
    let executors = [executor("x1", "desk", 8), executor("x2", "desk", 8)];
    let mut policy = policy(
        PolicyOptions::default(),
        std::slice::from_ref(&once),
        &executors,
    );
    for index in 0..200 {
        policy.enqueue(at_ms(0), work(task(1, index), &once, at_ms(0)));
    }
    let mut refused = 0;
    for ms in 0..30_000 {
        for (id, name) in starts(&mut policy, at_ms(ms)) {
            refused += 1;
            policy.apply_attempt_end(at_ms(ms), &end(id, &name, AttemptOutcome::Refused));
        }
    }
    assert_eq!(policy.queued_tasks(), 0);
    assert!(
        refused <= 300,
        "{refused} starts for 200 tasks and a budget of 100"
    );
    assert_eq!(policy.wasted_messages().refusals, refused);
}

/// A task takes far longer than its class usually does. A class that may run twice and whose
/// deadline comes near gets a copy elsewhere; the first answer ends both, and the policy names the
/// copy to stop. A loose target gets none until then, a class that may not run twice never.
#[rstest]
#[case::tight(true, 600, Some(200..600))]
#[case::loose(true, 20_000, Some(19_000..20_000))]
#[case::once(false, 600, None)]
fn copies_of_late_tasks(
    #[case] may_run_twice: bool,
    #[case] within_ms: u64,
    #[case] expected: Option<std::ops::Range<u64>>,
) {
    let class = target("lock", "desk", within_ms, may_run_twice);
    let executors = [executor("x1", "desk", 8), executor("x2", "desk", 8)];
    let mut policy = policy(
        PolicyOptions::default(),
        std::slice::from_ref(&class),
        &executors,
    );
    warm_up(&mut policy, &class, 40, 100);
    let id = task(1, 0);
    policy.enqueue(at_ms(100), work(id, &class, at_ms(100)));
    let first = start_one(&mut policy, 100).expect("a start");
    let hedge = (100..100 + within_ms).find_map(|ms| Some((ms, start_one(&mut policy, ms)?)));
    assert_eq!(hedge.is_some(), expected.is_some());
    if let (Some((ms, (hedged, name))), Some(range)) = (hedge, expected) {
        assert!(range.contains(&(ms - 100)), "after {} ms", ms - 100);
        assert_eq!(hedged, id);
        assert_ne!(name, first.1);
        policy.apply_attempt_end(at_ms(ms + 1), &end(id, &name, AttemptOutcome::Finished));
        let left: Vec<String> = policy
            .copies_of(id)
            .iter()
            .map(ToString::to_string)
            .collect();
        assert_eq!(left, [first.1]);
    }
}

/// The executor says with an answer that it is leaving, before any host list does: nothing new may
/// go there.
#[test]
fn a_draining_report_counts_at_once() {
    let once = target("once", "desk", 60_000, false);
    let executors = [executor("x1", "desk", 8)];
    let mut policy = policy(
        PolicyOptions::default(),
        std::slice::from_ref(&once),
        &executors,
    );
    policy.enqueue(at_ms(0), work(task(1, 0), &once, at_ms(0)));
    starts(&mut policy, at_ms(0));
    let mut finished = end(task(1, 0), "x1", AttemptOutcome::Finished);
    finished.load = Some(onyxshed_wire::upstream::LoadReport {
        is_draining: true,
        ..Default::default()
    });
    policy.apply_attempt_end(at_ms(10), &finished);
    policy.enqueue(at_ms(10), work(task(2, 0), &once, at_ms(10)));
    assert_eq!(starts(&mut policy, at_ms(2_000)), []);
}

/// Every executor is dead and every breaker open, so the capacity is nil; by it, any job looks too
/// late. One must be taken in and started all the same when a try is due, or nothing would ever find
/// out that the executors are well again.
#[test]
fn nil_capacity_judges_no_job() {
    let class = target("lock", "desk", 2_000, false);
    let executors = ["x1", "x2", "x3"].map(|name| executor(name, "desk", 4));
    let mut policy = policy(
        PolicyOptions::default(),
        std::slice::from_ref(&class),
        &executors,
    );
    warm_up(&mut policy, &class, 40, 100);
    for ms in 100..2_000 {
        let now = at_ms(ms);
        policy.enqueue(now, work(task(ms, 0), &class, now));
        for (id, name) in starts(&mut policy, now) {
            policy.apply_attempt_end(now, &end(id, &name, AttemptOutcome::Unsent));
        }
        policy.expired(now);
    }
    let waiting: Vec<TaskId> = (100..2_000).map(|job| task(job, 0)).collect();
    for id in waiting {
        policy.withdraw(id);
    }
    let started = (2_000..3_000).find_map(|ms| {
        let now = at_ms(ms);
        let deadline = now.mono + class.finish_within_ms;
        if policy.admit(now, &class.class, 1, deadline) == Admission::Accept {
            policy.enqueue(now, work(task(ms, 0), &class, now));
        }
        starts(&mut policy, now).pop()
    });
    assert!(started.is_some(), "no try within a second");
}

/// A rack of eight dies and nobody says so. Its executors share their fate, so one try a pause speaks
/// for all of them; the first that goes well brings the others back at once.
#[test]
fn a_dead_rack_is_tried_with_one_task() {
    let class = target("lock", "desk", 2_000, true);
    let names: Vec<String> = (0..16).map(|index| format!("x{index:02}")).collect();
    let executors = names.iter().map(|name| {
        let mut info = executor(name, "desk", 8);
        info.rack = if name.as_str() < "x08" {
            "dead"
        } else {
            "well"
        }
        .into();
        info
    });
    let executors: Vec<_> = executors.collect();
    let mut policy = policy(
        PolicyOptions::default(),
        std::slice::from_ref(&class),
        &executors,
    );
    warm_up(&mut policy, &class, 40, 100);
    let mut wasted = 0;
    let run = |policy: &mut Policy, ms: u64, is_dead: bool| {
        let now = at_ms(ms);
        policy.enqueue(now, work(task(ms, 0), &class, now));
        let on_rack = starts(policy, now).into_iter().map(|(id, name)| {
            let is_lost = is_dead && name.as_str() < "x08";
            let verdict = if is_lost {
                AttemptOutcome::Unsent
            } else {
                AttemptOutcome::Finished
            };
            policy.apply_attempt_end(now, &end(id, &name, verdict));
            usize::from(name.as_str() < "x08")
        });
        on_rack.sum::<usize>()
    };
    for ms in 100..30_100 {
        wasted += run(&mut policy, ms, true);
    }
    assert!(wasted <= 30, "{wasted} starts on a dead rack in 30 s");
    let healed = (30_100..40_000)
        .map(|ms| run(&mut policy, ms, false))
        .sum::<usize>();
    assert!(healed > 100, "{healed} starts on the healed rack in 10 s");
}
