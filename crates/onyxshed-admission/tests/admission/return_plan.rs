//! Returns of refused callers to a load that comes and goes.

use std::collections::BTreeMap;

use onyxshed_admission::{LoadNow, RecentWork, Refusals, ReturnPlan};
use onyxshed_core::{CallerId, Micros, Millis, Mono};
use rstest::rstest;

/// Work that is done per millisecond.
const ROOM_PER_MS: u64 = 1_000;

/// Work of a job.
const JOB: u64 = 1_000;

fn at_ms(ms: u64) -> Mono {
    Mono(ms * 1_000)
}

/// How callers react to a refusal.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reaction {
    /// They return when they were told.
    Obeys,
    /// They return after 150 ms.
    Hurries,
    /// They do not return.
    Leaves,
}

#[derive(Clone, Copy)]
struct Caller {
    id: CallerId,
    refusals: Refusals,
    reaction: Reaction,
}

/// What came of the returns.
#[derive(Debug, Default)]
struct Returns {
    obeyed: u64,
    found_room: u64,
    /// Largest work that returned as told within a step.
    step_max: u64,
    wait_max: u64,
}

/// Plays 60 s of a load of 0.6 of the room, with bursts of twice the room of 2 s each 8 s.
///
/// Jobs are refused while more than 100 ms of work waits. Callers whose reaction is not `Obeys` are
/// one of each `others_each`.
fn play(unit_ms: u64, others_each: u64, others: Reaction) -> (Returns, ReturnPlan) {
    let mut plan = ReturnPlan::new(Millis(unit_ms));
    let mut returning: BTreeMap<u64, Vec<Caller>> = BTreeMap::new();
    let mut returned_in = BTreeMap::<u64, u64>::new();
    let mut offered = RecentWork::default();
    let mut returns = Returns::default();
    let (mut backlog, mut next_id, mut credit) = (0_u64, 0_u64, 0_u64);
    for ms in 0..60_000 {
        let now = at_ms(ms);
        backlog = backlog.saturating_sub(ROOM_PER_MS);
        credit += match ms % 8_000 < 2_000 {
            true => 2 * ROOM_PER_MS,
            false => ROOM_PER_MS * 6 / 10,
        };
        let mut arrivals = returning.remove(&ms).unwrap_or_default();
        for caller in &arrivals {
            if caller.reaction == Reaction::Obeys {
                returns.obeyed += 1;
                let in_step = returned_in.entry(ms / 100).or_default();
                *in_step += JOB;
                returns.step_max = returns.step_max.max(*in_step);
            }
        }
        while credit >= JOB {
            credit -= JOB;
            next_id += 1;
            arrivals.push(Caller {
                id: CallerId(next_id),
                refusals: Refusals::default(),
                reaction: match next_id % others_each {
                    0 => others,
                    _ => Reaction::Obeys,
                },
            });
        }
        for mut caller in arrivals {
            offered.record(now, JOB);
            let has_room = backlog <= 100 * ROOM_PER_MS;
            plan.record_arrival(now, caller.id, JOB, has_room);
            if has_room {
                backlog += JOB;
                if caller.refusals.count > 0 && caller.reaction == Reaction::Obeys {
                    returns.found_room += 1;
                }
                continue;
            }
            if caller.refusals.count == 0 {
                caller.refusals.since = now;
            }
            caller.refusals.count += 1;
            let load = load(&offered, now, backlog);
            let wait = plan.plan(now, caller.id, JOB, caller.refusals, load);
            returns.wait_max = returns.wait_max.max(wait.0);
            match caller.reaction {
                Reaction::Obeys => returning.entry(ms + wait.0).or_default().push(caller),
                Reaction::Hurries => returning.entry(ms + 150).or_default().push(caller),
                Reaction::Leaves => {}
            }
        }
        if ms % 20 == 0 {
            plan.record_load(now, load(&offered, now, backlog));
        }
    }
    (returns, plan)
}

fn load(offered: &RecentWork, now: Mono, backlog: u64) -> LoadNow {
    LoadNow {
        room_per_s: ROOM_PER_MS * 1_000,
        offered_per_s: offered.total(now),
        drained_in: Micros(backlog * 1_000 / ROOM_PER_MS),
    }
}

#[rstest]
#[case::exact_times(100)]
#[case::whole_seconds(1_000)]
fn callers_that_obey_find_room(#[case] unit_ms: u64) {
    for others in [Reaction::Hurries, Reaction::Leaves] {
        let (returns, _) = play(unit_ms, 5, others);
        assert!(returns.obeyed > 1_000, "{returns:?}");
        assert!(returns.found_room * 10 >= returns.obeyed * 9, "{returns:?}");
        assert!(returns.step_max <= 100 * ROOM_PER_MS, "{returns:?}");
        assert!(returns.wait_max <= 10_000, "{returns:?}");
    }
}

/// Fills the first half of the calendar by callers that were refused once.
fn filled_plan(now: Mono, load: LoadNow) -> ReturnPlan {
    let mut plan = ReturnPlan::new(Millis(100));
    for caller in 1..=350 {
        plan.plan(now, CallerId(caller), JOB, refused(now, 1), load);
    }
    plan
}

fn refused(since: Mono, count: u32) -> Refusals {
    Refusals { count, since }
}

/// Load that leaves a tenth of the room, with a backlog of 200 ms.
const NARROW: LoadNow = LoadNow {
    room_per_s: ROOM_PER_MS * 1_000,
    offered_per_s: ROOM_PER_MS * 900,
    drained_in: Micros(200_000),
};

#[test]
fn callers_refused_more_often_or_longer_ago_return_first() {
    let now = at_ms(5_000);
    let waits: Vec<Millis> = [(5_000, 1), (5_000, 2), (5_000, 3), (3_000, 1)]
        .iter()
        .map(|(since, count)| {
            let mut plan = filled_plan(now, NARROW);
            let refusals = refused(at_ms(*since), *count);
            plan.plan(now, CallerId(900), JOB, refusals, NARROW)
        })
        .collect();
    let waits = format!("{waits:?}");
    insta::assert_snapshot!(waits, @"[Millis(5200), Millis(200), Millis(200), Millis(200)]");
}

#[test]
fn nobody_returns_before_the_backlog_is_drained() {
    let mut plan = ReturnPlan::new(Millis(100));
    for (drained_ms, expected_ms) in [(0, 100), (230, 300), (60_000, 10_000)] {
        let load = LoadNow {
            drained_in: Millis(drained_ms).into(),
            ..NARROW
        };
        let now = at_ms(1_000);
        let wait = plan.plan(now, CallerId(1), JOB, Refusals::default(), load);
        assert_eq!(wait, Millis(expected_ms));
    }
}

#[test]
fn plan_stays_bounded_when_nobody_returns() {
    let (returns, plan) = play(100, 1, Reaction::Leaves);
    assert_eq!(returns.obeyed, 0);
    assert_eq!(plan.width_millis(), 2_000);
    let (steps, observed) = plan.size();
    assert!(steps <= 105 && observed <= steps * 32);
}

#[test]
fn clock_that_stands_still_spreads_returns() {
    let mut plan = ReturnPlan::new(Millis(100));
    let mut per_step = BTreeMap::<Millis, u64>::new();
    for caller in 0..2_000 {
        let wait = plan.plan(at_ms(0), CallerId(caller), JOB, Refusals::default(), NARROW);
        *per_step.entry(wait).or_default() += 1;
    }
    // Twice as much was refused as the steps take: the excess is spread evenly.
    assert_eq!(per_step.len(), 99);
    assert!(per_step.values().all(|jobs| *jobs <= 21), "{per_step:?}");
}
