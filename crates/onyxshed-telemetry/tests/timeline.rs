//! The bounds and filters of the time line.

use onyxshed_core::{Event, EventKind, Hlc, UnixMs};
use onyxshed_telemetry::{Filter, Timeline};
use proptest::prelude::*;
use rstest::rstest;

fn event(at_ms: u64, party: &str) -> Event {
    let mut event = Event::new(EventKind::TaskStarted)
        .class(&"sync".parse().expect("a name"))
        .party(party);
    event.hlc = Hlc {
        wall: UnixMs(at_ms),
        counter: 0,
    };
    event
}

fn ring() -> Timeline {
    let mut timeline = Timeline::new(4);
    for at_ms in 1..=5 {
        timeline.record(&event(at_ms, &format!("executor-{}", at_ms % 2)));
    }
    let id = "01JABCDEFGHJKMNPQRSTVWXYZ0-00c0ffee00c0ffee"
        .parse()
        .expect("an id");
    timeline.record(&event(6, "executor-9").submission(id));
    timeline
}

#[rstest]
#[case::all(Filter::default(), &[3, 4, 5, 6], false)]
#[case::newest(Filter { limit: 2, ..Filter::default() }, &[5, 6], true)]
#[case::since(Filter { since_ms: UnixMs(5), ..Filter::default() }, &[5, 6], false)]
#[case::party(Filter { party: Some("tor-0".into()), ..Filter::default() }, &[4], false)]
#[case::class(Filter { class: Some("push".parse().unwrap()), ..Filter::default() }, &[], false)]
#[case::unbound_finds_bound(Filter { submission: Some("01JABCDEFGHJKMNPQRSTVWXYZ0".parse().unwrap()), ..Filter::default() }, &[6], false)]
fn find_returns_the_newest_matching_events(
    #[case] filter: Filter,
    #[case] times: &[u64],
    #[case] is_cut: bool,
) {
    let timeline = ring();
    assert_eq!(timeline.dropped(), 2);
    let found = timeline.find(&filter);
    let found_times: Vec<u64> = found.events.iter().map(|event| event.hlc.wall.0).collect();
    assert_eq!((found_times.as_slice(), found.is_cut), (times, is_cut));
}

proptest! {
    #[test]
    fn memory_is_bounded_by_the_number_of_events(lengths in proptest::collection::vec(0_usize..2_000, 0..60)) {
        let mut timeline = Timeline::new(16);
        for length in &lengths {
            timeline.record(&event(1, "executor").detail("é".repeat(*length)));
        }
        let most = 16 * 2 * (size_of::<Event>() + 512) as u64;
        prop_assert!(timeline.memory_bytes() <= most);
        let kept = timeline.find(&Filter::default()).events.len() as u64;
        prop_assert_eq!(kept + timeline.dropped(), lengths.len() as u64);
    }
}

/// Guards against texts that callers choose, and with which the time line grows.
#[test]
fn texts_of_callers_are_truncated() {
    let long = "i".repeat(8_000);
    let mut timeline = Timeline::new(16);
    for at_ms in 0..16 {
        timeline.record(&event(at_ms, &long).request(&*long).job(&*long));
    }
    let texts_max_bytes = 3 * 256 + 16;
    let most = 16 * 2 * (size_of::<Event>() + texts_max_bytes) as u64;
    assert!(timeline.memory_bytes() <= most);
    let events = timeline.find(&Filter::default()).events;
    assert!(events.iter().all(|event| event.request.len() <= 256));
}
