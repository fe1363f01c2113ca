//! Invariants of the policy under random sequences of events.

use std::collections::BTreeMap;

use onyxshed_core::{ClassTarget, TaskId};
use onyxshed_policy::{AttemptOutcome, ExecutorInfo, NextStep, Policy, PolicyOptions, RetryStep};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::fixture::{at_ms, end, executor, policy, target, task, work};

const SLOTS_PER_EXECUTOR: u32 = 2;

#[derive(Debug, Clone)]
enum Op {
    Enqueue {
        may_run_twice: bool,
    },
    End {
        pick: usize,
        outcome: AttemptOutcome,
    },
    Withdraw {
        pick: usize,
    },
    ToggleDraining {
        pick: usize,
    },
    Advance {
        ms: u64,
    },
}

fn outcome() -> impl Strategy<Value = AttemptOutcome> {
    prop_oneof![
        4 => Just(AttemptOutcome::Finished),
        1 => Just(AttemptOutcome::Failed),
        2 => Just(AttemptOutcome::Refused),
        1 => Just(AttemptOutcome::Lapsed),
        1 => Just(AttemptOutcome::Unsent),
        1 => Just(AttemptOutcome::Lost),
    ]
}

fn op() -> impl Strategy<Value = Op> {
    let pick = 0..1_000_usize;
    prop_oneof![
        4 => any::<bool>().prop_map(|may_run_twice| Op::Enqueue { may_run_twice }),
        5 => (pick.clone(), outcome()).prop_map(|(pick, outcome)| Op::End { pick, outcome }),
        1 => pick.clone().prop_map(|pick| Op::Withdraw { pick }),
        1 => pick.prop_map(|pick| Op::ToggleDraining { pick }),
        3 => (1..400_u64).prop_map(|ms| Op::Advance { ms }),
    ]
}

/// State of a task as observed from outside the policy.
#[derive(Debug, PartialEq)]
enum TaskState {
    Waiting,
    Running,
    Over,
}

struct Simulation {
    policy: Policy,
    targets: [ClassTarget; 2],
    executors: Vec<ExecutorInfo>,
    now_ms: u64,
    last_job: u64,
    states: BTreeMap<TaskId, (TaskState, bool)>,
    attempts: Vec<(TaskId, String)>,
}

impl Simulation {
    fn new() -> Self {
        let targets = [
            target("once", "desk", 2_000, false),
            target("twice", "desk", 800, true),
        ];
        let executors = ["x1", "x2", "x3"]
            .map(|name| executor(name, "desk", SLOTS_PER_EXECUTOR))
            .to_vec();
        Simulation {
            policy: policy(PolicyOptions::default(), &targets, &executors),
            targets,
            executors,
            now_ms: 1,
            last_job: 0,
            states: BTreeMap::new(),
            attempts: Vec::new(),
        }
    }

    fn apply(&mut self, op: &Op) {
        let now = at_ms(self.now_ms);
        match op {
            Op::Enqueue { may_run_twice } => {
                self.last_job += 1;
                let id = task(self.last_job, 0);
                let target = &self.targets[usize::from(*may_run_twice)];
                self.policy.enqueue(now, work(id, target, now));
                self.states.insert(id, (TaskState::Waiting, *may_run_twice));
            }
            Op::End { pick, outcome } => self.end(*pick, *outcome),
            Op::Withdraw { pick } => {
                let count = self.states.len().max(1);
                if let Some((id, (state, _))) = self.states.iter_mut().nth(pick % count) {
                    let was_waiting = self.policy.withdraw(*id);
                    assert_eq!(was_waiting, *state == TaskState::Waiting, "{id}");
                    *state = TaskState::Over;
                }
            }
            Op::ToggleDraining { pick } => {
                let index = pick % self.executors.len();
                self.executors[index].is_draining ^= true;
                self.policy.set_executors(now, &self.executors);
            }
            Op::Advance { ms } => self.now_ms += ms,
        }
        self.expire_tasks();
        self.start_tasks();
    }

    fn expire_tasks(&mut self) {
        for id in self.policy.take_expired_ids(at_ms(self.now_ms)) {
            let (state, _) = self
                .states
                .get_mut(&id)
                .expect("the policy must name only enqueued tasks");
            assert_eq!(
                *state,
                TaskState::Waiting,
                "{id} expired without being queued"
            );
            *state = TaskState::Over;
        }
    }

    fn end(&mut self, pick: usize, outcome: AttemptOutcome) {
        if self.attempts.is_empty() {
            return;
        }
        let (id, executor) = self.attempts.swap_remove(pick % self.attempts.len());
        let step = self
            .policy
            .apply_attempt_end(at_ms(self.now_ms), &end(id, &executor, outcome));
        let has_other_copies = self.attempts.iter().any(|(other, _)| *other == id);
        assert_eq!(
            self.policy.executors_running(id).is_empty(),
            !has_other_copies,
            "{id}"
        );
        let (state, may_run_twice) = self
            .states
            .get_mut(&id)
            .expect("the policy must name only enqueued tasks");
        let was_not_started = matches!(outcome, AttemptOutcome::Refused | AttemptOutcome::Unsent);
        match step {
            _ if outcome == AttemptOutcome::Finished => *state = TaskState::Over,
            RetryStep::Queued => {
                assert_eq!(
                    *state,
                    TaskState::Running,
                    "{id} was requeued without running"
                );
                assert!(
                    was_not_started || *may_run_twice,
                    "{id} was retried but may not run twice"
                );
                *state = TaskState::Waiting;
            }
            RetryStep::Wait => assert!(
                has_other_copies,
                "{id} waits for another copy, but none runs"
            ),
            RetryStep::GiveUp(_) => *state = TaskState::Over,
        }
    }

    fn start_tasks(&mut self) {
        for _ in 0..1_000 {
            let NextStep::Start {
                task: id,
                executor,
                is_hedge,
            } = self.policy.next(at_ms(self.now_ms))
            else {
                return;
            };
            let name = executor.to_string();
            let (state, may_run_twice) = self
                .states
                .get_mut(&id)
                .expect("the policy must name only enqueued tasks");
            if is_hedge {
                assert!(
                    *may_run_twice && *state == TaskState::Running,
                    "{id} was hedged but may not run twice or does not run"
                );
                let is_elsewhere = |(other, at): &(TaskId, String)| *other != id || *at != name;
                assert!(
                    self.attempts.iter().all(is_elsewhere),
                    "{id} was started twice on {name}"
                );
            } else {
                assert_eq!(
                    *state,
                    TaskState::Waiting,
                    "{id} was started without being queued"
                );
                *state = TaskState::Running;
            }
            self.attempts.push((id, name.clone()));
            let in_flight = self.attempts.iter().filter(|(_, at)| *at == name).count();
            assert!(
                in_flight <= SLOTS_PER_EXECUTOR as usize,
                "{name} has {in_flight} attempts in flight"
            );
            let info = self.executors.iter().find(|info| info.name == executor);
            assert!(
                info.is_some_and(|info| !info.is_draining),
                "{name} got a task while draining"
            );
        }
        panic!("the policy starts tasks without end");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(5), ..ProptestConfig::default() })]

    #[test]
    fn invariants_hold_for_random_events(ops in proptest::collection::vec(op(), 1..120)) {
        let mut simulation = Simulation::new();
        for op in &ops {
            simulation.apply(op);
        }
        // Tasks that `next` dropped from the queue are reported only when the expired tasks are
        // taken.
        simulation.expire_tasks();
        let waiting = simulation
            .states
            .values()
            .filter(|(state, _)| *state == TaskState::Waiting)
            .count();
        prop_assert_eq!(simulation.policy.queued_tasks(), waiting);
    }
}
