//! Tests of the state of overload: when it is entered and left, and that it does not flap.

use onyxshed_core::Micros;
use onyxshed_pool::{
    Action, Decision, JobWait, LoadSample, OverloadDetector, OverloadMode, OverloadState,
    PoolOptions,
};
use rstest::rstest;

use crate::fixture::{Harness, at_ms, job};

const ROOM: u64 = 100_000;

/// Returns a sample with load in percent of the room.
fn offered(percent: u64) -> LoadSample {
    LoadSample {
        offered_cpu_millis: ROOM * percent / 100,
        room_cpu_millis: ROOM,
        least_slack: Some(Micros(96_000)),
        ..LoadSample::default()
    }
}

fn waited(percent: u64, free_percent: u64) -> LoadSample {
    LoadSample {
        free_cpu_millis: ROOM * free_percent / 100,
        longest_wait: Some(JobWait {
            waited: Micros(960 * percent),
            slack: Micros(96_000),
        }),
        ..offered(50)
    }
}

fn late(lateness_ms: u64) -> LoadSample {
    LoadSample {
        tick_lateness: Micros(lateness_ms * 1_000),
        ..offered(50)
    }
}

/// Passes one sample a tick to the detector, and returns the states that were entered.
fn observe(
    detector: &mut OverloadDetector,
    from_ms: u64,
    samples: impl IntoIterator<Item = LoadSample>,
) -> Vec<OverloadState> {
    let times = (0..).map(|tick| at_ms(from_ms + 20 * tick));
    let changes = times.zip(samples);
    changes
        .filter_map(|(now, sample)| detector.observe(now, &sample))
        .map(|change| change.to)
        .collect()
}

#[rstest]
#[case::more_than_the_room(offered(101), 2, OverloadState::Overloaded)]
#[case::more_than_the_room_once(offered(101), 1, OverloadState::Normal)]
#[case::the_room(offered(100), 100, OverloadState::Normal)]
#[case::half_of_the_slack_waited(waited(50, 10), 2, OverloadState::Overloaded)]
#[case::less_than_half_waited(waited(49, 10), 100, OverloadState::Normal)]
#[case::waited_while_others_are_free(waited(90, 60), 100, OverloadState::Normal)]
#[case::no_room(LoadSample { room_cpu_millis: 0, ..offered(200) }, 100, OverloadState::Normal)]
#[case::late_ticks(late(48), 2, OverloadState::Saturated)]
#[case::one_late_tick(late(300), 1, OverloadState::Normal)]
#[case::ticks_late_by_less(late(47), 100, OverloadState::Normal)]
fn entering(#[case] sample: LoadSample, #[case] ticks: usize, #[case] state: OverloadState) {
    let mut detector = OverloadDetector::default();
    observe(&mut detector, 0, std::iter::repeat_n(sample, ticks));
    assert_eq!(detector.state(), state);
}

#[rstest]
#[case::load_is_over(offered(20), Some(540))]
#[case::at_the_bound_for_leaving(offered(85), Some(540))]
#[case::above_the_bound_for_leaving(offered(86), None)]
#[case::jobs_still_wait(waited(13, 10), None)]
#[case::jobs_wait_briefly(waited(12, 10), Some(540))]
fn leaving(#[case] sample: LoadSample, #[case] left_at_ms: Option<u64>) {
    let mut detector = OverloadDetector::default();
    observe(&mut detector, 0, [offered(300); 2]);
    assert_eq!(detector.state(), OverloadState::Overloaded);
    let left = (2..500)
        .map(|tick| tick * 20)
        .find(|ms| detector.observe(at_ms(*ms), &sample).is_some());
    assert_eq!(left, left_at_ms);
}

#[test]
fn load_within_the_hysteresis_changes_nothing() {
    let between = || (0..500).map(|tick| offered(if tick % 2 == 0 { 99 } else { 86 }));
    let mut detector = OverloadDetector::default();
    assert!(observe(&mut detector, 0, between()).is_empty());
    observe(&mut detector, 10_000, [offered(120); 2]);
    assert!(observe(&mut detector, 11_000, between()).is_empty());
    assert_eq!(detector.state(), OverloadState::Overloaded);
}

#[test]
fn a_load_that_comes_and_goes_each_second_is_one_change_each() {
    let mut detector = OverloadDetector::default();
    let mut states = Vec::new();
    for second in 0..10 {
        let percent = if second % 2 == 0 { 300 } else { 30 };
        let from_ms = second * 1_000;
        states.extend(observe(&mut detector, from_ms, [offered(percent); 50]));
    }
    let expected = [OverloadState::Overloaded, OverloadState::Normal].repeat(5);
    assert_eq!(states, expected);
}

#[test]
fn a_saturated_host_becomes_overloaded_before_normal() {
    let mut detector = OverloadDetector::default();
    let mut states = observe(&mut detector, 0, [late(60); 3]);
    states.extend(observe(&mut detector, 60, [offered(50); 100]));
    let expected = [
        OverloadState::Saturated,
        OverloadState::Overloaded,
        OverloadState::Normal,
    ];
    assert_eq!(states, expected);
}

#[test]
fn lateness_counts_against_slacks_of_the_last_seconds_only() {
    let mut detector = OverloadDetector::default();
    observe(&mut detector, 0, [offered(50)]);
    let without_jobs = LoadSample {
        least_slack: None,
        ..late(60)
    };
    observe(&mut detector, 5_000, [without_jobs; 5]);
    assert_eq!(detector.state(), OverloadState::Normal);
}

fn options(overload: OverloadMode) -> PoolOptions {
    PoolOptions {
        overload,
        ..PoolOptions::default()
    }
}

#[rstest]
#[case::off(OverloadMode::Off, &[], OverloadState::Normal)]
#[case::shadow(OverloadMode::Shadow, &[OverloadState::Overloaded], OverloadState::Normal)]
#[case::on(OverloadMode::On, &[OverloadState::Overloaded], OverloadState::Overloaded)]
fn the_mode_decides_whether_a_pool_is_overloaded(
    #[case] mode: OverloadMode,
    #[case] logged: &[OverloadState],
    #[case] effective: OverloadState,
) {
    let mut harness = Harness::with_options(&[("x", 27)], options(mode));
    for ms in (0..400).step_by(20) {
        harness.submit(ms, job(ms + 1, 1, 60));
        harness.tick(ms + 20);
    }
    let changes = harness.actions.iter().filter_map(|action| match action {
        Action::Log(Decision::OverloadChanged { to, .. }) => Some(*to),
        _ => None,
    });
    assert_eq!(changes.collect::<Vec<_>>(), logged);
    assert_eq!(harness.pool.overload_state(), effective);
    assert_eq!(harness.pool.load(at_ms(400)).overload, effective);
}

#[test]
fn a_pause_of_the_owner_is_not_lateness_of_ticks() {
    let mut harness = Harness::with_options(&[("x", 64)], options(OverloadMode::On));
    harness.submit(0, job(1, 1, 60));
    for ms in [20, 40, 640, 1_240, 1_840, 1_860] {
        harness.tick(ms);
    }
    assert_eq!(harness.pool.overload_state(), OverloadState::Normal);
}
