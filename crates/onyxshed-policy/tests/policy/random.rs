//! Random orders of events against the rules that always hold.

use std::collections::BTreeMap;

use onyxshed_core::{ClassTarget, TaskId};
use onyxshed_policy::{AttemptOutcome, ExecutorInfo, NextStep, Policy, PolicyOptions, RetryStep};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::fixture::{at_ms, end, executor, policy, target, task, work};

const SLOTS: u32 = 2;

#[derive(Debug, Clone)]
enum Op {
    Enqueue {
        may_run_twice: bool,
    },
    End {
        pick: usize,
        verdict: AttemptOutcome,
    },
    Withdraw {
        pick: usize,
    },
    Leave {
        pick: usize,
    },
    Pass {
        ms: u64,
    },
}

fn verdict() -> impl Strategy<Value = AttemptOutcome> {
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
        5 => (pick.clone(), verdict()).prop_map(|(pick, verdict)| Op::End { pick, verdict }),
        1 => pick.clone().prop_map(|pick| Op::Withdraw { pick }),
        1 => pick.prop_map(|pick| Op::Leave { pick }),
        3 => (1..400_u64).prop_map(|ms| Op::Pass { ms }),
    ]
}

/// What a task may still do, as an observer outside the policy knows it.
#[derive(Debug, PartialEq)]
enum Fate {
    Waiting,
    Running,
    Over,
}

struct World {
    policy: Policy,
    targets: [ClassTarget; 2],
    executors: Vec<ExecutorInfo>,
    now_ms: u64,
    last: u64,
    fates: BTreeMap<TaskId, (Fate, bool)>,
    attempts: Vec<(TaskId, String)>,
}

impl World {
    fn new() -> Self {
        let targets = [
            target("once", "desk", 2_000, false),
            target("twice", "desk", 800, true),
        ];
        let executors = ["x1", "x2", "x3"]
            .map(|name| executor(name, "desk", SLOTS))
            .to_vec();
        World {
            policy: policy(PolicyOptions::default(), &targets, &executors),
            targets,
            executors,
            now_ms: 1,
            last: 0,
            fates: BTreeMap::new(),
            attempts: Vec::new(),
        }
    }

    fn apply(&mut self, op: &Op) {
        let now = at_ms(self.now_ms);
        match op {
            Op::Enqueue { may_run_twice } => {
                self.last += 1;
                let id = task(self.last, 0);
                let target = &self.targets[usize::from(*may_run_twice)];
                self.policy.enqueue(now, work(id, target, now));
                self.fates.insert(id, (Fate::Waiting, *may_run_twice));
            }
            Op::End { pick, verdict } => self.end(*pick, *verdict),
            Op::Withdraw { pick } => {
                let count = self.fates.len().max(1);
                if let Some((id, (fate, _))) = self.fates.iter_mut().nth(pick % count) {
                    let was_waiting = self.policy.withdraw(*id);
                    assert_eq!(was_waiting, *fate == Fate::Waiting, "{id}");
                    *fate = Fate::Over;
                }
            }
            Op::Leave { pick } => {
                let index = pick % self.executors.len();
                self.executors[index].is_draining ^= true;
                self.policy.set_executors(now, &self.executors);
            }
            Op::Pass { ms } => self.now_ms += ms,
        }
        self.settle();
        self.pump();
    }

    fn settle(&mut self) {
        for id in self.policy.expired(at_ms(self.now_ms)) {
            let (fate, _) = self.fates.get_mut(&id).expect("a known task");
            assert_eq!(*fate, Fate::Waiting, "{id} expired");
            *fate = Fate::Over;
        }
    }

    fn end(&mut self, pick: usize, verdict: AttemptOutcome) {
        if self.attempts.is_empty() {
            return;
        }
        let (id, executor) = self.attempts.swap_remove(pick % self.attempts.len());
        let step = self
            .policy
            .apply_attempt_end(at_ms(self.now_ms), &end(id, &executor, verdict));
        let has_copies = self.attempts.iter().any(|(other, _)| *other == id);
        assert_eq!(self.policy.copies_of(id).is_empty(), !has_copies, "{id}");
        let (fate, may_run_twice) = self.fates.get_mut(&id).expect("a known task");
        let is_unstarted = matches!(verdict, AttemptOutcome::Refused | AttemptOutcome::Unsent);
        match step {
            _ if verdict == AttemptOutcome::Finished => *fate = Fate::Over,
            RetryStep::Queued => {
                assert_eq!(*fate, Fate::Running, "{id} queued again");
                assert!(is_unstarted || *may_run_twice, "{id} may not run twice");
                *fate = Fate::Waiting;
            }
            RetryStep::Wait => assert!(has_copies, "{id} waits for nothing"),
            RetryStep::GiveUp(_) => *fate = Fate::Over,
        }
    }

    fn pump(&mut self) {
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
            let (fate, may_run_twice) = self.fates.get_mut(&id).expect("a known task");
            if is_hedge {
                assert!(*may_run_twice && *fate == Fate::Running, "{id} copied");
                let is_elsewhere = |(other, at): &(TaskId, String)| *other != id || *at != name;
                assert!(
                    self.attempts.iter().all(is_elsewhere),
                    "{id} twice on {name}"
                );
            } else {
                assert_eq!(*fate, Fate::Waiting, "{id} started");
                *fate = Fate::Running;
            }
            self.attempts.push((id, name.clone()));
            let there = self.attempts.iter().filter(|(_, at)| *at == name).count();
            assert!(there <= SLOTS as usize, "{name} has {there}");
            let info = self.executors.iter().find(|info| info.name == executor);
            assert!(
                info.is_some_and(|info| !info.is_draining),
                "{name} is leaving"
            );
        }
        panic!("starts without end");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, rng_seed: RngSeed::Fixed(5), ..ProptestConfig::default() })]

    #[test]
    fn rules_hold_in_any_order(ops in proptest::collection::vec(op(), 1..120)) {
        let mut world = World::new();
        for op in &ops {
            world.apply(op);
        }
        // What was given up while looking for work is told with the next call.
        world.settle();
        let waiting = world.fates.values().filter(|(fate, _)| *fate == Fate::Waiting).count();
        prop_assert_eq!(world.policy.queued_tasks(), waiting);
    }
}
