//! Arrival times of requests around pauses of the process.

use onyxshed_core::Mono;
use onyxshed_host::arrivals::ArrivalClock;
use rstest::rstest;

const fn at_ms(ms: u64) -> Mono {
    Mono(ms * 1_000)
}

/// Returns a clock whose process was last known to run at 1,000 ms.
fn clock() -> ArrivalClock {
    let clock = ArrivalClock::new(at_ms(900));
    clock.record_running(at_ms(1_000));
    clock
}

/// Guards against requests that wait for a paused process and are given their whole time when it runs again.
#[rstest]
#[case::read_first(&[], 4_000)]
#[case::read_after_the_pause_is_noticed(&[4_000], 4_001)]
#[case::read_among_others(&[4_000, 4_100, 4_200], 4_250)]
fn request_read_after_a_pause_arrived_when_it_began(
    #[case] running_at_ms: &[u64],
    #[case] read_at_ms: u64,
) {
    let clock = clock();
    for ms in running_at_ms {
        clock.record_running(at_ms(*ms));
    }
    assert_eq!(clock.earliest_arrival(at_ms(read_at_ms)), at_ms(1_000));
}

#[rstest]
#[case::without_a_pause(&[], 1_100)]
#[case::late_but_not_paused(&[], 1_250)]
#[case::long_after_a_pause(&[4_000, 4_100, 4_200, 4_300, 4_400], 4_500)]
fn other_requests_arrive_when_they_are_read(
    #[case] running_at_ms: &[u64],
    #[case] read_at_ms: u64,
) {
    let clock = clock();
    for ms in running_at_ms {
        clock.record_running(at_ms(*ms));
    }
    assert_eq!(clock.earliest_arrival(at_ms(read_at_ms)), at_ms(read_at_ms));
}
