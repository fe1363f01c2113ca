//! Transfer of a pool by its stopping owner to a successor while the store is unavailable.

use std::net::SocketAddr;

use onyxshed_core::UnixMs;
use onyxshed_pool::{
    ExecutorFacts, FencingToken, Heartbeat, OwnershipTransfer, PeerIncarnation, PoolId,
    ShardLayout, SuccessorOffer,
};
use rstest::rstest;

use crate::fixture::{Harness, PEER, at_ms, facts, heartbeat_of, id};

const OTHER: PeerIncarnation = PeerIncarnation(3);

/// Member name of the owner in the pool's group in the store.
const MEMBER: &str = "10.0.0.1:7000/1";

fn offer(host: u8, cpu_millis: u32) -> SuccessorOffer {
    SuccessorOffer {
        address: address(host),
        cpu_millis,
    }
}

fn address(host: u8) -> SocketAddr {
    SocketAddr::new([10, 0, 0, host].into(), 7_000)
}

/// Processes a heartbeat and returns the transfer in its answer, if any.
fn heartbeat(
    harness: &mut Harness,
    ms: u64,
    incarnation: PeerIncarnation,
    offer: Option<SuccessorOffer>,
) -> Option<OwnershipTransfer> {
    let heartbeat = Heartbeat {
        offer,
        ..heartbeat_of(incarnation, 1, at_ms(ms))
    };
    let (actions, _) = harness.pool.record_peer_contact(at_ms(ms), &heartbeat);
    harness.actions.extend(actions);
    harness
        .pool
        .transfer_ownership(at_ms(ms), incarnation, vec![MEMBER.into()])
}

/// Creates a stopping owner with offers of two hosts, the second with a larger processor share.
fn stopping_owner() -> Harness {
    let mut harness = Harness::with_executors(&[("a", 64), ("b", 64)]);
    assert_eq!(heartbeat(&mut harness, 0, PEER, Some(offer(2, 90))), None);
    assert_eq!(heartbeat(&mut harness, 0, OTHER, Some(offer(3, 500))), None);
    harness.pool.begin_drain();
    harness.pool.set_successor_needed(true);
    harness
}

/// An owner is stopped while the store is unavailable, so no host can join the pool's group in the
/// store, and callers would be rejected until the store is back. The pool and its list of executors
/// are transferred to the host with the largest processor share, again with each heartbeat.
#[test]
fn best_host_becomes_successor() {
    let mut harness = stopping_owner();
    assert_eq!(heartbeat(&mut harness, 10, PEER, Some(offer(2, 90))), None);
    let transfer = heartbeat(&mut harness, 20, OTHER, Some(offer(3, 500)));
    let transfer = transfer.expect("an ownership transfer");
    let expected = ExecutorFacts {
        started_at: Some(UnixMs(1)),
        ..facts(64)
    };
    assert_eq!(
        transfer,
        OwnershipTransfer {
            token: FencingToken(8),
            past_members: vec![MEMBER.into()],
            executors: vec![(id("a"), expected.clone()), (id("b"), expected)],
        }
    );
    let again = heartbeat(&mut harness, 170, OTHER, Some(offer(3, 500)));
    assert_eq!(again, Some(transfer));
}

/// Only one host may get the token that follows the owner's. A host with a later offer gets nothing, however
/// large its processor share is.
#[test]
fn only_one_successor_is_selected() {
    let mut harness = stopping_owner();
    assert!(heartbeat(&mut harness, 20, OTHER, Some(offer(3, 500))).is_some());
    for ms in [700, 1_400] {
        assert_eq!(heartbeat(&mut harness, ms, PEER, Some(offer(2, 900))), None);
    }
}

/// If the best host is unresponsive or has withdrawn its offer, the next best is selected.
#[rstest]
#[case::unresponsive(700, false)]
#[case::withdrawn(30, true)]
fn unavailable_host_is_not_selected(#[case] ms: u64, #[case] withdraws: bool) {
    let mut harness = stopping_owner();
    if withdraws {
        assert_eq!(heartbeat(&mut harness, 20, OTHER, None), None);
    }
    assert!(heartbeat(&mut harness, ms, PEER, Some(offer(2, 90))).is_some());
}

/// The store answers again before a successor is selected. Another host can join the group as usual, so no
/// second owner may be selected.
#[test]
fn no_successor_is_selected_once_store_answers() {
    let mut harness = stopping_owner();
    harness.pool.set_successor_needed(false);
    let transfer = heartbeat(&mut harness, 20, OTHER, Some(offer(3, 500)));
    assert_eq!(transfer, None);
}

/// Entry hosts get the successor's address only once it is taking over the pool. Before that, the
/// successor would answer that it does not own the pool.
#[test]
fn successor_address_is_reported_once_it_takes_over() {
    let mut harness = stopping_owner();
    let transfer = heartbeat(&mut harness, 20, OTHER, Some(offer(3, 500)));
    let token = transfer.expect("an ownership transfer").token;
    assert_eq!(harness.pool.load(at_ms(30)).successor, None);
    harness.pool.release(at_ms(40), token);
    assert_eq!(harness.pool.load(at_ms(50)).successor, Some(address(3)));
}

/// The store has assigned the pool to a third host, whose token is higher than the successor's. Entry hosts
/// must not get the successor's address.
#[test]
fn owner_elected_by_store_is_not_reported_as_successor() {
    let mut harness = stopping_owner();
    assert!(heartbeat(&mut harness, 20, OTHER, Some(offer(3, 500))).is_some());
    harness.pool.release(at_ms(40), FencingToken(32));
    assert_eq!(harness.pool.load(at_ms(50)).successor, None);
}

/// While the store is unavailable, successors follow one another, and an executor must accept each of them
/// after the one before. The next owner elected by the store must have a higher token than all of them.
#[test]
fn successor_tokens_lie_between_tokens_of_elected_owners() {
    let pool = PoolId {
        zone: "a".into(),
        index: 3,
    };
    let layout = ShardLayout::default();
    let mut token = layout.token(&pool, 5);
    let mut successors = 0;
    while let Some(next) = token.successor() {
        assert!(next > token);
        token = next;
        successors += 1;
    }
    assert_eq!(successors, 15);
    assert!(token < layout.token(&pool, 6));
}

/// An owner that could not read the list of executors can't run any job. Its load report must say
/// that it needs to be replaced, or other hosts would leave the pool to it because it answers.
#[test]
fn owner_without_executor_list_needs_replacement() {
    let mut harness = Harness::with_executors(&[]);
    assert!(harness.pool.load(at_ms(1)).needs_replacement);
    harness.pool.mark_executors_read();
    assert!(!harness.pool.load(at_ms(2)).needs_replacement);
}
