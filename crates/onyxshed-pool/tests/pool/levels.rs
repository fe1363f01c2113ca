//! Tests of levels of admission: what an owner learns, and what entry hosts make of its reports.

use onyxshed_core::{Millis, Mono, Share};
use onyxshed_pool::{
    Arrival, ClassAdmission, ClassId, ClassLevels, EntryDecision, Evacuations, JobEnd, JobRequest,
    LevelTable, NotRunReason, OverloadMode, OverloadState, PoolId, PoolLoad, PoolOptions,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

use crate::fixture::{at_ms, resources};
use crate::load::{CLASSES, Class, executors, random_job};
use crate::simulation::Simulation;

fn class(name: &str) -> ClassId {
    ClassId(name.into())
}

fn pool(zone: &str) -> PoolId {
    PoolId {
        zone: zone.into(),
        index: 0,
    }
}

/// Creates the report of a full pool that admits `millis` thousandths of the class "short".
fn report(version: u64, millis: u64) -> PoolLoad {
    PoolLoad {
        capacity_cpu_millis: 100_000,
        version,
        overload: OverloadState::Overloaded,
        admissions: vec![ClassAdmission {
            class: class("short"),
            admitted: Share::from_millis(millis),
            wait: Millis(40),
        }],
        ..PoolLoad::default()
    }
}

/// Returns the number of `draws` evenly spread draws with which a request of the class passes.
fn passed(table: &LevelTable, ms: u64, name: &str) -> u32 {
    let draws = (0..1_000).map(|draw| f64::from(draw) / 1_000.0);
    let decisions =
        draws.map(|draw| table.decide(at_ms(ms), &class(name), &Evacuations::default(), draw));
    let submits = decisions.filter(|decision| *decision == EntryDecision::Submit);
    u32::try_from(submits.count()).expect("a small number")
}

fn table(reports: &[(&str, PoolLoad)]) -> LevelTable {
    let mut table = LevelTable::default();
    for (zone, load) in reports {
        table.update(at_ms(0), &pool(zone), load);
    }
    table
}

fn with_room(load: PoolLoad) -> PoolLoad {
    PoolLoad {
        free_cpu_millis: load.capacity_cpu_millis * 6 / 10,
        ..load
    }
}

fn saturated(load: PoolLoad) -> PoolLoad {
    PoolLoad {
        overload: OverloadState::Saturated,
        ..load
    }
}

#[rstest]
#[case::no_report(&[], 1_000)]
#[case::one_level(&[("a", report(1, 300))], 300)]
#[case::largest_level(&[("a", report(1, 300)), ("b", report(1, 450))], 450)]
#[case::a_pool_without_level(&[("a", report(1, 300)), ("b", PoolLoad::default())], 1_000)]
#[case::zero_is_probed(&[("a", report(1, 0))], 20)]
#[case::a_report_that_shows_room(&[("a", with_room(report(1, 0)))], 1_000)]
#[case::a_closed_pool(&[("a", report(1, 300)), ("b", PoolLoad { is_closed: true, ..PoolLoad::default() })], 300)]
#[case::half_of_a_saturated_pool(&[("a", saturated(report(1, 300)))], 150)]
fn the_best_pool_decides(#[case] reports: &[(&str, PoolLoad)], #[case] expected: u32) {
    assert_eq!(passed(&table(reports), 10, "short"), expected);
}

#[test]
fn other_classes_pass() {
    let reports = [("a", report(1, 0))];
    assert_eq!(passed(&table(&reports), 10, "long"), 1_000);
    let reports = reports.map(|(zone, load)| (zone, saturated(load)));
    assert_eq!(passed(&table(&reports), 10, "long"), 500);
}

#[test]
fn a_refusal_names_the_reason_and_when_to_return() {
    let refuse = |reason| EntryDecision::Refuse {
        retry_after: Millis(100),
        reason,
        admitted: Share::from_millis(300),
    };
    let none = Evacuations::default();
    let decide = |load| table(&[("a", load)]).decide(at_ms(10), &class("short"), &none, 0.999);
    assert_eq!(decide(report(1, 300)), refuse(NotRunReason::ClassShare));
    let host = refuse(NotRunReason::HostOverloaded);
    assert_eq!(decide(saturated(report(1, 600))), host);
}

/// The owner's own host refuses the least admitted class first, and others by their levels.
#[test]
fn a_saturated_owner_refuses_its_own_callers_first() {
    let mut load = saturated(report(1, 300));
    load.admissions.push(ClassAdmission {
        class: class("wide"),
        admitted: Share::from_millis(800),
        wait: Millis(40),
    });
    let mut table = table(&[("a", load)]);
    table.set_own_pool(Some(pool("a")));
    assert_eq!(passed(&table, 10, "short"), 20);
    assert_eq!(passed(&table, 10, "wide"), 400);
}

#[test]
fn a_stale_report_lapses() {
    let table = table(&[("a", report(1, 300))]);
    assert_eq!(passed(&table, 999, "short"), 300);
    assert_eq!(passed(&table, 1_000, "short"), 1_000);
}

/// The report of a frozen owner is the last one until it lapses, though its link is up.
#[test]
fn a_frozen_owner_does_not_refuse_for_others() {
    let mut table = table(&[("a", report(9, 0)), ("b", report(1, 0))]);
    for ms in (100..1_100).step_by(100) {
        table.update(at_ms(ms), &pool("b"), &report(1 + ms, 0));
    }
    assert_eq!(passed(&table, 900, "short"), 20);
    assert_eq!(passed(&table, 1_050, "short"), 1_000);
}

#[test]
fn an_outdated_report_is_ignored_until_the_last_one_lapses() {
    let mut table = table(&[("a", report(5, 300))]);
    table.update(at_ms(10), &pool("a"), &report(4, 900));
    assert_eq!(passed(&table, 10, "short"), 300);
    table.update(at_ms(1_500), &pool("a"), &report(1, 900));
    assert_eq!(passed(&table, 1_500, "short"), 900);
}

#[test]
fn the_versions_of_a_new_owner_start_anew() {
    let mut table = table(&[("a", report(500, 300))]);
    table.remove_pool(&pool("a"));
    table.update(at_ms(10), &pool("a"), &report(1, 700));
    assert_eq!(passed(&table, 10, "short"), 700);
}

/// A host that is cut off from the pool that admits most decides by those that it reaches.
#[test]
fn a_host_that_is_cut_off_decides_by_what_it_reaches() {
    let mut table = table(&[("a", report(1, 300)), ("b", report(1, 900))]);
    table.remove_pool(&pool("b"));
    assert_eq!(passed(&table, 10, "short"), 300);
    table.remove_pool(&pool("a"));
    assert_eq!(passed(&table, 10, "short"), 1_000);
}

/// Levels of a pool at which jobs of one class arrive at entry hosts at a constant rate.
struct Offered {
    levels: ClassLevels,
    passed: f64,
}

impl Offered {
    fn new() -> Self {
        Offered {
            levels: ClassLevels::default(),
            passed: 0.0,
        }
    }

    fn level(&self) -> u16 {
        let admissions = self.levels.admissions(Millis(0));
        admissions
            .first()
            .map_or(1_000, |level| level.admitted.millis())
    }

    /// Offers 10 jobs a tick of 20 ms, of which entry hosts pass on the level and the owner admits
    /// `capacity` a tick; returns the numbers of jobs that reached the owner and that it admitted.
    fn run(&mut self, from_ms: u64, to_ms: u64, capacity: u32) -> (u32, u32) {
        let (mut calls, mut admitted) = (0, 0);
        for ms in (from_ms..to_ms).step_by(20) {
            self.passed += 10.0 * f64::from(self.level().max(20)) / 1_000.0;
            let mut left = capacity;
            while self.passed >= 1.0 {
                self.passed -= 1.0;
                let arrival = match left {
                    0 => Arrival::Refused,
                    _ => Arrival::Admitted,
                };
                calls += 1;
                admitted += u32::from(arrival == Arrival::Admitted);
                left = left.saturating_sub(1);
                let size = (1, resources(1));
                self.levels
                    .record_arrival(at_ms(ms), &class("short"), size, arrival);
            }
            self.levels.update(at_ms(ms), true, |_, _| false, |_| None);
            let applied = Share::from_millis(self.level().max(20).into());
            self.levels.set_applied(|_| applied);
        }
        (calls, admitted)
    }
}

/// Three times the load: the owner is asked for a little more than it can serve.
#[test]
fn a_level_settles_at_what_is_admitted() {
    let mut offered = Offered::new();
    offered.run(0, 1_000, 3);
    let (calls, admitted) = offered.run(1_000, 11_000, 3);
    assert!((1_350..=1_500).contains(&admitted), "{admitted} admitted");
    assert!(calls < 1_950, "{calls} calls of 5,000");
}

#[test]
fn levels_relax_within_a_second_after_the_load() {
    let mut offered = Offered::new();
    offered.run(0, 3_000, 0);
    assert_eq!(offered.level(), 0);
    offered.run(3_000, 4_000, 10);
    assert!(offered.level() >= 900, "{}", offered.level());
    offered.run(4_000, 4_120, 10);
    assert_eq!(offered.level(), 1_000);
}

#[rstest]
#[case::free_room_for_the_class(true, true)]
#[case::not_overloaded(false, false)]
fn no_level_without_want_of_room(#[case] is_overloaded: bool, #[case] has_room: bool) {
    let mut offered = Offered::new();
    offered.run(0, 3_000, 3);
    assert!(offered.level() < 500);
    let room_for = |tasks, demand| has_room && tasks == 1 && demand == resources(1);
    offered
        .levels
        .update(at_ms(3_000), is_overloaded, room_for, |_| None);
    assert_eq!(offered.level(), 1_000);
}

/// What a simulation of an overload served, and the number of calls to the owner.
struct Served {
    in_time: f64,
    owner_calls: u32,
}

/// Simulates 250 jobs a second, about three times what the pool can do, whose sizes depend on their
/// class only: the queue is ordered by work, and of jobs of different sizes it would choose other ones.
fn simulate(seed: u64, applies_levels: bool) -> Served {
    const JOBS: u32 = 3_000;
    let options = PoolOptions {
        overload: OverloadMode::On,
        ..PoolOptions::default()
    };
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut simulation = Simulation::with_options(seed, executors(), 4, options);
    simulation.applies_levels = applies_levels;
    for number in 0..JOBS {
        let at = Mono(rng.random_range(2_000_000..14_000_000));
        let (index, request, _) = random_job(&mut rng, number.into());
        let Class { tasks, work_ms, .. } = CLASSES[index];
        let request = JobRequest {
            class: class(["short", "long", "pairs"][index]),
            tasks: u16::try_from(tasks).expect("a small number"),
            estimate: Millis(work_ms),
            time_left: Millis(2_500),
            ..request
        };
        let true_ms = (0..tasks).map(|_| work_ms).collect();
        simulation.schedule_call(at, index, request, true_ms);
    }
    simulation.run_until(at_ms(30_000));
    simulation.check_answers();
    let in_time = simulation.calls.values().filter(|call| {
        let objective = Millis(CLASSES[call.class].work_ms * 16 / 10 + 60);
        call.ended.is_some_and(|(at, end)| {
            end == JobEnd::Completed && at.since(call.first_sent_at).as_millis() <= objective
        })
    });
    let in_time = u32::try_from(in_time.count()).expect("a small number");
    Served {
        in_time: f64::from(in_time) / f64::from(JOBS),
        owner_calls: simulation.owner_calls,
    }
}

/// Refusals at entry hosts spare the owner calls, and as many jobs are served in time.
#[test]
fn levels_save_calls_and_serve_as_much() {
    for seed in 0..3 {
        let (without, with) = (simulate(seed, false), simulate(seed, true));
        println!(
            "seed {seed}: in time {:.3} and {:.3}, calls {} and {}",
            without.in_time, with.in_time, without.owner_calls, with.owner_calls
        );
        assert!(with.in_time > without.in_time - 0.02);
        assert!(with.owner_calls * 10 < without.owner_calls * 7);
    }
}
