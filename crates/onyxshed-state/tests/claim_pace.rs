//! Tests of the load that claims put on the log: appends per second, bytes per record, and claims
//! waiting.

#[path = "support/claims.rs"]
mod claims;

use claims::{CONTENT, at, host, id, take_batch};
use onyxshed_core::{Incarnation, Now, Offset, RatePerS, SubmissionId};
use onyxshed_state::{BatchStep, ClaimBook, ClaimOptions};
use onyxshed_wire::platform::RECORD_MAX_BYTES;
use onyxshed_wire::record::{
    CLAIM_MAX_BYTES, CLAIM_RECORD_OVERHEAD_BYTES, Claim, ClaimBatch, ClaimRecord, RELEASE_BYTES,
};
use proptest::prelude::*;
use rstest::rstest;
use ulid::Ulid;

/// Batches appended by all hosts within one second, the claims in them, and the longest time from a
/// submission to the append of its claim.
#[derive(Debug)]
struct Second {
    appends: u32,
    claims: usize,
    longest_wait_ms: u64,
}

/// Runs `hosts` hosts for two seconds, each with `per_s` submissions per second, and returns the
/// measurements of the last second.
fn run_two_seconds(hosts: usize, per_s: u64) -> Second {
    let options = ClaimOptions::default();
    let mut books: Vec<ClaimBook> = (1..=hosts as u64)
        .map(|n| host(n, options.clone()))
        .collect();
    let mut second = Second {
        appends: 0,
        claims: 0,
        longest_wait_ms: 0,
    };
    for book in &mut books {
        book.set_live_hosts(hosts);
    }
    for ms in 0..2_000 {
        for (index, book) in (0..).zip(&mut books) {
            for n in (ms * per_s / 1_000)..((ms + 1) * per_s / 1_000) {
                let ulid = Ulid::from_parts(at(ms).wall.0, u128::from(n << 8 | index));
                book.request_start(at(ms), SubmissionId::unbound(ulid), CONTENT);
            }
            let Some(batch) = send(book, at(ms)) else {
                continue;
            };
            if ms >= 1_000 {
                second.appends += 1;
                second.claims += batch.claims.len();
                let oldest = batch.claims.iter().map(|c| c.submission.time()).min();
                let wait_ms = oldest.map_or(0, |time| at(ms).wall.since(time).0);
                second.longest_wait_ms = second.longest_wait_ms.max(wait_ms);
            }
        }
    }
    second
}

fn send(book: &mut ClaimBook, now: Now) -> Option<ClaimBatch> {
    let BatchStep::Append(batch) = book.next_batch(now) else {
        return None;
    };
    book.apply_append_result(now, batch.batch, Ok(Offset(0)));
    Some(batch)
}

/// The load grows by factors of 4 and 16. All hosts together stay within the log's budget; claims
/// wait until their host's share allows the next append, and are then appended in one batch.
#[rstest]
#[case::light(8, 20)]
#[case::load_1x(8, 100)]
#[case::load_4x(8, 400)]
#[case::load_16x(8, 1_600)]
#[case::more_hosts(32, 400)]
fn appends_stay_within_log_budget(#[case] hosts: usize, #[case] per_s: u64) {
    let RatePerS(total) = ClaimOptions::default().log_appends_per_s;
    let second = run_two_seconds(hosts, per_s);
    println!("{hosts} hosts, {per_s} submissions/s each: {second:?}");
    assert!(second.appends <= total, "{second:?}");
    assert!(second.longest_wait_ms <= 200, "{second:?}");
}

/// While tokens are available, a claim is sent without a wait.
#[test]
fn claim_within_budget_is_sent_at_once() {
    assert_eq!(run_two_seconds(8, 20).longest_wait_ms, 0);
}

/// A partition makes each host count only itself. The limit per host then bounds the total.
#[test]
fn host_that_counts_only_itself_stays_within_cap() {
    let mut book = host(1, ClaimOptions::default());
    book.set_live_hosts(1);
    let sent = (0..1_000).filter(|ms| {
        book.request_start(at(*ms), id(*ms), CONTENT);
        send(&mut book, at(*ms)).is_some()
    });
    assert!(sent.count() <= 30);
}

/// Thousands of claims wait and `batch_max` is too high. The batch still fits the log's maximum
/// record size.
#[test]
fn batches_fit_a_record() {
    let options = ClaimOptions {
        batch_max: 100_000,
        ..ClaimOptions::default()
    };
    let mut book = host(1, options);
    for ms in 0..2_000 {
        book.request_start(at(ms), id(ms), CONTENT);
    }
    let batch = take_batch(&mut book, at(2_000));
    let bytes = ClaimRecord::ClaimsV1(batch.clone()).encode().len();
    assert!(bytes <= RECORD_MAX_BYTES, "{bytes}");
    assert_eq!(batch.claims.len(), 797);
    println!("{} claims take {bytes} bytes", batch.claims.len());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::with_cases(256)
    })]

    /// The size constants that batches are built with are upper bounds of the encoded size.
    #[test]
    fn encoded_size_is_within_size_constants(
        by: u64, batch: u64, claims in prop::collection::vec(any::<(u128, u64, bool)>(), 0..20),
    ) {
        let unbound = |n: u128| SubmissionId::unbound(Ulid(n));
        let releases: Vec<_> = claims.iter().map(|c| unbound(c.0)).collect();
        let to_claim = |(n, content, is_takeover): &(u128, u64, bool)| Claim {
            submission: unbound(*n),
            content: onyxshed_wire::ContentHash(*content),
            replaces: is_takeover.then_some(Incarnation(*content)),
        };
        let record = ClaimRecord::ClaimsV1(ClaimBatch {
            by: Incarnation(by),
            batch,
            claims: claims.iter().map(to_claim).collect(),
            releases,
        });
        let bound = CLAIM_RECORD_OVERHEAD_BYTES + claims.len() * (CLAIM_MAX_BYTES + RELEASE_BYTES);
        prop_assert!(record.encode().len() <= bound);
        prop_assert_eq!(ClaimRecord::decode(&record.encode()).expect("it decodes"), record);
    }
}
