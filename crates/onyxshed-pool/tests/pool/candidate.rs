//! Decisions of a host about a vacant pool.

use onyxshed_core::Millis;
use onyxshed_pool::{
    Candidate, CandidateStep, LastOwner, PoolId, ShardLayout, takeover_order, wait_before_list,
};

use crate::fixture::at_ms;

/// The store drops the membership of an owner that still serves the pool. A host that has contact with
/// the owner must not take over, or every job of the pool would be lost. An owner that can't rejoin for
/// ten seconds is replaced.
#[test]
fn responsive_owner_keeps_vacant_pool_for_grace_period() {
    let mut candidate = Candidate::new(400);
    assert_eq!(
        candidate.evaluate_vacancy(at_ms(0), LastOwner::Active, None, 0.0),
        CandidateStep::Defer
    );
    assert_eq!(
        candidate.evaluate_vacancy(at_ms(9_900), LastOwner::Active, None, 0.0),
        CandidateStep::Defer
    );
    let join_now = CandidateStep::JoinAfter(Millis(0));
    assert_eq!(
        candidate.evaluate_vacancy(at_ms(10_000), LastOwner::Active, None, 0.0),
        join_now
    );
}

/// The last owner is gone and can't rejoin, so the host joins without a grace period.
#[test]
fn gone_owner_is_replaced_at_once() {
    let mut candidate = Candidate::new(400);
    let join_now = CandidateStep::JoinAfter(Millis(0));
    assert_eq!(
        candidate.evaluate_vacancy(at_ms(0), LastOwner::Gone, None, 0.0),
        join_now
    );
}

/// A host restarts while its zone is cut off from the store, so it knows no owner. When the store
/// answers again, the owner's membership has expired. A host that joined immediately would take the
/// pool from an owner that serves it, and every job would be lost.
#[test]
fn owner_has_time_to_rejoin_after_store_outage() {
    let mut candidate = Candidate::new(400);
    let back_at = Some(at_ms(5_000));
    let step = candidate.evaluate_vacancy(at_ms(5_480), LastOwner::Gone, back_at, 0.0);
    assert_eq!(step, CandidateStep::Defer);
    let step = candidate.evaluate_vacancy(at_ms(5_500), LastOwner::Gone, back_at, 0.0);
    assert_eq!(step, CandidateStep::JoinAfter(Millis(0)));
}

/// A host starts right after an outage of the store in which all memberships expired. It knows no owner
/// and sees a vacant pool. If it joined before the owner that still serves the pool rejoined, every job
/// would be lost.
#[test]
fn new_host_leaves_unknown_owner_time_to_rejoin() {
    let mut candidate = Candidate::new(400);
    let mut at = |ms| candidate.evaluate_vacancy(at_ms(ms), LastOwner::Unknown, None, 0.0);
    assert_eq!(at(0), CandidateStep::Defer);
    assert_eq!(at(1_199), CandidateStep::Defer);
    assert_eq!(at(1_200), CandidateStep::JoinAfter(Millis(0)));
}

#[test]
fn each_vacancy_restarts_grace_period() {
    let mut candidate = Candidate::new(400);
    candidate.evaluate_vacancy(at_ms(0), LastOwner::Active, None, 0.0);
    // The pool has an owner in between, so the host drops the candidate and its vacancy.
    let mut candidate = Candidate::new(400);
    assert_eq!(
        candidate.evaluate_vacancy(at_ms(10_000), LastOwner::Active, None, 0.0),
        CandidateStep::Defer
    );
}

/// An owner of a large pool needs several times the processor share of the smallest hosts, so these join
/// last.
#[test]
fn hosts_with_more_processor_join_first() {
    let pause = |cpu_millis, draw| {
        Candidate::new(cpu_millis).evaluate_vacancy(at_ms(0), LastOwner::Gone, None, draw)
    };
    assert_eq!(pause(500, 1.0), CandidateStep::JoinAfter(Millis(120)));
    assert_eq!(pause(250, 0.0), CandidateStep::JoinAfter(Millis(0)));
    assert_eq!(pause(90, 0.0), CandidateStep::JoinAfter(Millis(600)));
}

/// Guards against a burst of reads when a pool becomes vacant: every host of the zone would read the whole list
/// of executors although only the first to join needs it.
#[test]
fn hosts_that_join_late_read_the_list_late() {
    for pause_ms in [0, 60, 120] {
        assert_eq!(wait_before_list(Millis(pause_ms)), Millis(0));
    }
    // A host with a tenth of a core waits for 600 ms; the first hosts have joined by then.
    assert!(wait_before_list(Millis(600)) >= Millis(400));
}

/// Guards against pools of a zone that are taken over one after the other, because all hosts contend for the
/// same one first.
#[test]
fn hosts_of_a_zone_contend_for_different_pools() {
    let layout = ShardLayout {
        version: 1,
        pools: 4,
    };
    let pool = |index| PoolId {
        zone: "a".into(),
        index,
    };
    let vacant: Vec<PoolId> = (0..4).map(pool).collect();
    let mut first_choices = [0; 4];
    for host in 0..50 {
        let home = pool(layout.preferred_index(&format!("host-{host}")));
        let order = takeover_order(&home, &vacant);
        assert_eq!((order.len(), &order[0]), (4, &home));
        first_choices[order[0].index as usize] += 1;
    }
    assert!(
        first_choices.iter().all(|hosts| *hosts >= 5),
        "{first_choices:?}"
    );
    let rest = takeover_order(&pool(2), &[pool(0), pool(1), pool(3)]);
    assert_eq!(rest, [pool(3), pool(0), pool(1)]);
}
