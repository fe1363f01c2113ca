//! Heartbeats of links that are rarely used.

use std::time::Duration;

use onyxshed_core::Mono;
use onyxshed_host::links::{HEARTBEAT_PERIOD, HeartbeatSchedule};
use onyxshed_pool::PoolOptions;

/// Longest interval between two heartbeats of an idle link.
const IDLE_PERIOD: Duration = Duration::from_millis(1_000);

fn at(millis: u64) -> Mono {
    Mono(millis * 1_000)
}

/// Guards against: an owner gives up a job that comes on an idle link, because the link's next heartbeat comes after
/// the peer timeout.
#[test]
fn job_on_an_idle_link_makes_a_heartbeat_due() {
    let timeout = PoolOptions::default().peer_timeout_ms;
    for used_ms in (10_000..11_000).step_by(10) {
        let mut schedule = HeartbeatSchedule::default();
        schedule.record_heartbeat(at(10_000));
        assert!(schedule.record_use(at(used_ms)), "the link was idle");
        let due = schedule.next_at(at(used_ms), false, IDLE_PERIOD);
        let sent_at = due.max(at(used_ms));
        assert!(sent_at.since(at(used_ms)) <= timeout.into());
        assert!(due <= at(10_150));
    }
}

/// Guards against: heartbeats of all hosts on all links use up an owner's processor.
#[test]
fn idle_links_send_heartbeats_rarely() {
    let mut schedule = HeartbeatSchedule::default();
    schedule.record_use(at(1_000));
    schedule.record_heartbeat(at(2_500));
    assert_eq!(schedule.next_at(at(2_500), false, IDLE_PERIOD), at(2_650));
    schedule.record_heartbeat(at(4_000));
    assert_eq!(schedule.next_at(at(4_000), false, IDLE_PERIOD), at(5_000));
    assert_eq!(schedule.next_at(at(4_000), true, IDLE_PERIOD), at(4_150));
    assert_eq!(HEARTBEAT_PERIOD, Duration::from_millis(150));
}
