//! Failures that could start a submission twice, one test each.

#[path = "support/claims.rs"]
mod claims;

use claims::{CONTENT, at, host, id, take_batch};
use onyxshed_core::{Incarnation, Millis, Now, Offset, SubmissionId};
use onyxshed_state::{
    AppendFailure, BatchStep, ClaimBook, ClaimOptions, ClaimOutcome, ClaimResult, ClaimStep,
};
use onyxshed_wire::ContentHash;
use onyxshed_wire::record::{ClaimBatch, ClaimRecord};
use rstest::rstest;

/// A log that appends records in order.
#[derive(Default)]
struct Log(Vec<String>);

impl Log {
    fn append(&mut self, batch: ClaimBatch) -> Offset {
        self.0.push(ClaimRecord::ClaimsV1(batch).encode());
        Offset(self.0.len() as u64 - 1)
    }

    /// Applies every record that the host has not read, and marks it as caught up.
    fn read(&self, book: &mut ClaimBook, now: Now) -> Vec<ClaimResult> {
        let mut results = Vec::new();
        for (offset, data) in (0..).zip(&self.0) {
            results.extend(book.apply_record(now, Offset(offset), data));
        }
        book.mark_caught_up(Offset(self.0.len() as u64));
        results
    }

    /// Appends the host's next batch and reports success to the host.
    fn send(&mut self, book: &mut ClaimBook, now: Now) {
        let batch = take_batch(book, now);
        let number = batch.batch;
        let offset = self.append(batch);
        book.apply_append_result(now, number, Ok(offset));
    }
}

const A: Incarnation = Incarnation(1);
const B: Incarnation = Incarnation(2);
const HORIZON_MS: u64 = 600_000;
const SKEW_MS: u64 = 2_000;

fn hosts() -> (Log, ClaimBook, ClaimBook) {
    let options = ClaimOptions::default();
    (Log::default(), host(1, options.clone()), host(2, options))
}

/// Makes `book` claim `id` and win it.
fn win(log: &mut Log, book: &mut ClaimBook, now: Now, id: SubmissionId) {
    assert_eq!(book.request_start(now, id, CONTENT), ClaimStep::Wait);
    log.send(book, now);
    assert_eq!(outcomes(&log.read(book, now)), [ClaimOutcome::Won]);
}

fn outcomes(results: &[ClaimResult]) -> Vec<ClaimOutcome> {
    results.iter().map(|result| result.outcome).collect()
}

/// The caller sends a submission to two hosts at the same time, and both append a claim before
/// either has read the log. Each host decides only when it reads its own claim back. By then it has
/// read the other host's claim too if that claim is first in the log.
#[test]
fn two_claims_in_one_interval_have_one_winner() {
    let (mut log, mut a, mut b) = hosts();
    for book in [&mut a, &mut b] {
        assert_eq!(book.request_start(at(0), id(0), CONTENT), ClaimStep::Wait);
        log.send(book, at(0));
    }
    assert!(
        !a.may_start(at(0), id(0)),
        "an appended claim counts only once read back"
    );
    assert_eq!(
        outcomes(&log.read(&mut b, at(1))),
        [ClaimOutcome::HeldBy(A)]
    );
    assert_eq!(outcomes(&log.read(&mut a, at(1))), [ClaimOutcome::Won]);
    assert!(a.may_start(at(1), id(0)) && !b.may_start(at(1), id(0)));
}

/// Two copies of a submission reach one host before its batch is sent. The batch contains one
/// claim; both copies wait for its outcome, and a copy with other content is rejected.
#[test]
fn two_requests_make_one_claim() {
    let (_, mut a, _) = hosts();
    assert_eq!(a.request_start(at(0), id(0), CONTENT), ClaimStep::Wait);
    assert_eq!(a.request_start(at(0), id(0), CONTENT), ClaimStep::Wait);
    let other = a.request_start(at(0), id(0), ContentHash(8));
    assert_eq!(other, ClaimStep::OtherContent);
    assert_eq!(take_batch(&mut a, at(0)).claims.len(), 1);
}

/// The append takes effect and its answer is lost. The claim is won if it is read back before it
/// times out.
#[test]
fn claim_with_lost_answer_is_won_when_read_back() {
    let (mut log, mut a, _) = hosts();
    a.request_start(at(0), id(0), CONTENT);
    let batch = take_batch(&mut a, at(0));
    log.append(batch);
    assert!(
        a.apply_append_result(at(10), 1, Err(AppendFailure::AnswerLost))
            .is_empty()
    );
    assert_eq!(outcomes(&log.read(&mut a, at(20))), [ClaimOutcome::Won]);
}

/// The answer is lost and the claim is read back after the job was reported as not run. This host
/// then holds the claim, but the claim must not start the job; a resubmission may start it, once.
/// Without a resubmission the claim is released and another host may claim the submission.
#[rstest]
#[case::resubmitted_here(true)]
#[case::resubmitted_elsewhere(false)]
fn late_claim_does_not_start_abandoned_job(#[case] is_here: bool) {
    let (mut log, mut a, mut b) = hosts();
    a.request_start(at(0), id(0), CONTENT);
    let batch = take_batch(&mut a, at(0));
    a.apply_append_result(at(10), 1, Err(AppendFailure::AnswerLost));
    assert_eq!(outcomes(&a.tick(at(2_000))), [ClaimOutcome::Failed]);
    log.append(batch);
    assert!(log.read(&mut a, at(2_100)).is_empty());
    assert!(!a.may_start(at(2_100), id(0)));
    if is_here {
        assert_eq!(a.request_start(at(2_200), id(0), CONTENT), ClaimStep::Start);
        assert_eq!(
            a.next_batch(at(9_000)),
            BatchStep::Idle,
            "nothing to release"
        );
    } else {
        log.send(&mut a, at(2_400));
        log.read(&mut a, at(2_500));
        log.read(&mut b, at(2_500));
        win(&mut log, &mut b, at(2_500), id(0));
        log.read(&mut a, at(2_600));
        assert_eq!(
            a.request_start(at(2_600), id(0), CONTENT),
            ClaimStep::HeldBy(B)
        );
    }
}

/// The log rejects the append. The claim is sent again while the job waits. When the log becomes
/// unreachable, every pending claim fails immediately and no new claim is queued.
#[test]
fn rejected_append_is_retried_until_log_is_unreachable() {
    let (log, mut a, _) = hosts();
    a.request_start(at(0), id(0), CONTENT);
    take_batch(&mut a, at(0));
    assert!(
        a.apply_append_result(at(5), 1, Err(AppendFailure::NotAppended))
            .is_empty()
    );
    let retry = at(55).mono;
    assert_eq!(a.next_batch(at(5)), BatchStep::WaitUntil(retry));
    assert_eq!(take_batch(&mut a, at(55)).claims.len(), 1);
    assert!(
        a.apply_append_result(at(60), 2, Err(AppendFailure::NotAppended))
            .is_empty()
    );
    assert_eq!(outcomes(&a.mark_log_unreachable()), [ClaimOutcome::Failed]);
    assert_eq!(
        a.request_start(at(70), id(1), CONTENT),
        ClaimStep::Unavailable
    );
    log.read(&mut a, at(80));
    assert_eq!(a.request_start(at(80), id(1), CONTENT), ClaimStep::Wait);
}

/// The holder is frozen between its claim and its first start, and thaws past the horizon. Other
/// hosts have forgotten the claim or will soon forget it, so the holder must not start the
/// submission.
#[rstest]
#[case::at_the_horizon(HORIZON_MS, true)]
#[case::past_it(HORIZON_MS + 1, false)]
fn frozen_holder_does_not_start_past_horizon(#[case] age_ms: u64, #[case] may_start: bool) {
    let (mut log, mut a, _) = hosts();
    win(&mut log, &mut a, at(0), id(0));
    assert_eq!(a.may_start(at(age_ms), id(0)), may_start);
}

/// A process thaws past the horizon and checks ids before it has processed any event with the new
/// time. It must use the time passed in, not the latest time that it has stored.
#[test]
fn thawed_process_checks_ids_by_new_time() {
    let (_, a, _) = hosts();
    let (before, after) = (at(HORIZON_MS), at(HORIZON_MS + 1));
    assert_eq!(a.peek(before, id(0), None), ClaimStep::Wait);
    assert!(a.is_within_horizon(before, id(0)));
    assert_eq!(a.peek(after, id(0), None), ClaimStep::TooOld);
    assert!(!a.is_within_horizon(after, id(0)));
}

/// The queue of pending claims is full. A further claim is rejected immediately, and `peek` agrees
/// with `request_start`; otherwise the caller would wait for an outcome that is never returned.
#[test]
fn full_queue_rejects_at_once() {
    let options = ClaimOptions {
        claims_max: 1,
        ..ClaimOptions::default()
    };
    let mut a = host(1, options);
    assert_eq!(a.request_start(at(0), id(0), CONTENT), ClaimStep::Wait);
    assert_eq!(a.peek(at(0), id(1), Some(CONTENT)), ClaimStep::Unavailable);
    assert_eq!(
        a.request_start(at(0), id(1), CONTENT),
        ClaimStep::Unavailable
    );
    assert_eq!(a.peek(at(0), id(0), Some(CONTENT)), ClaimStep::Wait);
}

/// Clocks differ by up to a skew. When the first host forgets a claim, the clock of every other
/// host has passed the horizon, so no host accepts the id any more.
#[test]
fn forgotten_claim_is_too_old_on_every_clock() {
    let (mut log, mut a, mut b) = hosts();
    win(&mut log, &mut a, at(0), id(0));
    log.read(&mut b, at(0));
    let forgets_ms = HORIZON_MS + 2 * SKEW_MS + 1;
    b.tick(at(forgets_ms - 1));
    assert_eq!(b.counts().held, 1);
    b.tick(at(forgets_ms));
    assert_eq!(b.counts().held, 0);
    let slowest = at(forgets_ms - SKEW_MS);
    assert_eq!(a.request_start(slowest, id(0), CONTENT), ClaimStep::TooOld);
}

/// The wall clock steps back after a claim was forgotten. By the stepped-back clock the id is
/// recent enough to be accepted and looks unclaimed.
#[test]
fn stepped_back_clock_does_not_reopen_forgotten_id() {
    let (mut log, mut a, _) = hosts();
    win(&mut log, &mut a, at(0), id(0));
    a.tick(at(HORIZON_MS + 2 * SKEW_MS + 1));
    let back = Now {
        mono: at(700_000).mono,
        wall: at(10).wall,
    };
    assert_eq!(a.request_start(back, id(0), CONTENT), ClaimStep::TooOld);
    assert!(!a.may_start(back, id(0)));
    assert_eq!(
        a.clock_behind_ms(back),
        Millis(HORIZON_MS + 2 * SKEW_MS - 9)
    );
}

/// Ids older than the horizon, and ids whose time is further ahead than the skew, are rejected.
#[rstest]
#[case::oldest(0, HORIZON_MS, ClaimStep::Wait)]
#[case::too_old(0, HORIZON_MS + 1, ClaimStep::TooOld)]
#[case::ahead_by_a_skew(SKEW_MS, 0, ClaimStep::Wait)]
#[case::from_the_future(SKEW_MS + 1, 0, ClaimStep::FromFuture)]
fn ids_outside_accepted_age_are_rejected(
    #[case] id_ms: u64,
    #[case] now_ms: u64,
    #[case] step: ClaimStep,
) {
    let (_, mut a, _) = hosts();
    assert_eq!(a.request_start(at(now_ms), id(id_ms), CONTENT), step);
}

/// A host wins a claim, rejects the job for lack of capacity and releases the claim. The
/// resubmission reaches another host, which must be able to claim it rather than wait for a job
/// that does not exist. The first host does not start it again without a new claim.
#[test]
fn rejected_job_releases_claim() {
    let (mut log, mut a, mut b) = hosts();
    win(&mut log, &mut a, at(0), id(0));
    a.release(at(10), id(0));
    assert!(!a.may_start(at(10), id(0)));
    log.send(&mut a, at(300));
    assert_eq!(a.request_start(at(301), id(0), CONTENT), ClaimStep::Wait);
    log.read(&mut b, at(302));
    win(&mut log, &mut b, at(302), id(0));
    log.send(&mut a, at(303));
    assert_eq!(
        outcomes(&log.read(&mut a, at(304))),
        [ClaimOutcome::HeldBy(B)]
    );
}

/// A release is being appended when the submission arrives again and is claimed again in a later
/// batch. The release's answer was lost, and the release reaches the log after the new claim, on
/// which the job has started. Every reader ignores the late release; otherwise another host could
/// start the job too.
#[test]
fn late_release_does_not_undo_a_new_claim() {
    let (mut log, mut a, mut b) = hosts();
    win(&mut log, &mut a, at(0), id(0));
    a.release(at(10), id(0));
    let release = take_batch(&mut a, at(300));
    a.apply_append_result(at(310), release.batch, Err(AppendFailure::AnswerLost));
    win(&mut log, &mut a, at(320), id(0));
    log.append(release);
    log.read(&mut a, at(330));
    log.read(&mut b, at(330));
    assert!(a.may_start(at(330), id(0)));
    assert_eq!(
        b.request_start(at(330), id(0), CONTENT),
        ClaimStep::HeldBy(A)
    );
    assert_eq!(b.counts().stale_batches, 1);
}

/// The log contains two claims of one host, because the first one's answer was lost. The host wins by
/// the first, abandons the job and sends a release before it has read the second. Reading the
/// second must not make the host the holder again: the release follows it, and another host claims
/// after that.
#[test]
fn claim_read_after_release_was_sent_does_not_count() {
    let (mut log, mut a, mut b) = hosts();
    a.request_start(at(0), id(0), CONTENT);
    let first = take_batch(&mut a, at(0));
    log.append(first);
    a.apply_append_result(at(5), 1, Err(AppendFailure::AnswerLost));
    a.release(at(6), id(0));
    a.request_start(at(10), id(0), CONTENT);
    let second = take_batch(&mut a, at(100));
    a.apply_record(at(110), Offset(0), &log.0[0]);
    a.release(at(120), id(0));
    log.append(second);
    a.apply_append_result(at(130), 2, Ok(Offset(1)));
    log.send(&mut a, at(500));
    assert_eq!(a.request_start(at(510), id(0), CONTENT), ClaimStep::Wait);
    a.apply_record(at(520), Offset(1), &log.0[1]);
    assert!(!a.may_start(at(520), id(0)));
    log.read(&mut b, at(530));
    win(&mut log, &mut b, at(530), id(0));
    log.read(&mut a, at(540));
    assert_eq!(
        a.request_start(at(540), id(0), CONTENT),
        ClaimStep::HeldBy(B)
    );
}

/// The append of a release is rejected. The release is sent again in a later batch, after which
/// other hosts can claim the submission.
#[test]
fn rejected_release_is_sent_again() {
    let (mut log, mut a, mut b) = hosts();
    win(&mut log, &mut a, at(0), id(0));
    a.release(at(10), id(0));
    let rejected = take_batch(&mut a, at(300));
    a.apply_append_result(at(310), rejected.batch, Err(AppendFailure::NotAppended));
    log.send(&mut a, at(900));
    log.read(&mut b, at(910));
    win(&mut log, &mut b, at(910), id(0));
}

/// A reader receives old records again, for example in an answer that was out of date. They change
/// nothing, and reading continues at the same offset.
#[test]
fn record_read_twice_changes_nothing() {
    let (mut log, mut a, _) = hosts();
    win(&mut log, &mut a, at(0), id(0));
    win(&mut log, &mut a, at(100), id(1));
    assert!(a.apply_record(at(200), Offset(0), &log.0[0]).is_empty());
    assert_eq!((a.next(), a.counts().stale_batches), (Offset(2), 0));
}

/// Only the holder's release has an effect; a host whose claim was not the first has no claim to
/// release.
#[test]
fn release_by_non_holder_is_ignored() {
    let (mut log, mut a, mut b) = hosts();
    win(&mut log, &mut a, at(0), id(0));
    log.0.push(format!(
        r#"{{"claims_v1":{{"by":"{B}","batch":1,"claims":[],"releases":["{}"]}}}}"#,
        id(0)
    ));
    log.read(&mut b, at(10));
    assert_eq!(
        b.request_start(at(10), id(0), CONTENT),
        ClaimStep::HeldBy(A)
    );
}

/// The holder's host fails, and the class of the submission allows tasks to run twice. Two hosts
/// take the submission over; the host whose claim is first in the log wins. The former holder may
/// no longer start the submission, even if its host was only frozen.
#[test]
fn only_first_take_over_succeeds() {
    let (mut log, mut a, mut b) = hosts();
    let mut c = host(3, ClaimOptions::default());
    win(&mut log, &mut a, at(0), id(0));
    for book in [&mut b, &mut c] {
        log.read(book, at(10));
        assert_eq!(
            book.request_start(at(10), id(0), CONTENT),
            ClaimStep::HeldBy(A)
        );
        assert_eq!(book.take_over(at(10), id(0), CONTENT, A), ClaimStep::Wait);
    }
    log.send(&mut b, at(20));
    log.send(&mut c, at(20));
    assert_eq!(outcomes(&log.read(&mut b, at(30))), [ClaimOutcome::Won]);
    assert_eq!(
        outcomes(&log.read(&mut c, at(30))),
        [ClaimOutcome::HeldBy(B)]
    );
    log.read(&mut a, at(40));
    assert!(
        !a.may_start(at(40), id(0)),
        "the frozen holder was replaced"
    );
    assert_eq!(c.take_over(at(40), id(0), CONTENT, A), ClaimStep::HeldBy(B));
}

/// The holder fails after it has started the first of several tasks. Its claim stays in the log, so
/// no other host starts the remaining tasks: the result is unknown, but no task runs twice. The
/// next incarnation of the failed host is a different holder.
#[test]
fn claim_outlives_failed_holder() {
    let (mut log, mut a, _) = hosts();
    win(&mut log, &mut a, at(0), id(0));
    drop(a);
    let mut restarted = host(9, ClaimOptions::default());
    log.read(&mut restarted, at(100));
    assert_eq!(
        restarted.request_start(at(100), id(0), CONTENT),
        ClaimStep::HeldBy(A)
    );
}

/// A resubmission arrives after the job's answer was dropped. It must not be started a second time,
/// whether it was claimed or is bound to this host. After a release it may be started.
#[rstest]
#[case::claimed(id(0))]
#[case::bound(SubmissionId { bound_to: Some(A), ..id(0) })]
fn started_submission_does_not_start_again(#[case] id: SubmissionId) {
    let (mut log, mut a, mut b) = hosts();
    if id.bound_to.is_none() {
        win(&mut log, &mut a, at(0), id);
    } else {
        a.mark_log_unreachable();
        assert_eq!(
            a.request_start(at(0), id, CONTENT),
            ClaimStep::Start,
            "a bound id needs no log"
        );
    }
    assert_eq!(
        a.request_start(at(50), id, CONTENT),
        ClaimStep::AlreadyStarted
    );
    assert_eq!(
        a.request_start(at(50), id, ContentHash(8)),
        ClaimStep::OtherContent
    );
    log.read(&mut b, at(50));
    assert_eq!(b.request_start(at(50), id, CONTENT), ClaimStep::HeldBy(A));
    a.release(at(60), id);
    assert_eq!(a.request_start(at(70), id, CONTENT), ClaimStep::Start);
}

/// The same id arrives with other content at another host, which rejects it from the log alone.
#[test]
fn other_content_is_rejected_everywhere() {
    let (mut log, mut a, mut b) = hosts();
    b.request_start(at(0), id(0), ContentHash(8));
    win(&mut log, &mut a, at(0), id(0));
    assert_eq!(
        outcomes(&log.read(&mut b, at(1))),
        [ClaimOutcome::OtherContent]
    );
}

/// A host starts, or recovers from an outage. It queues no claims until it has read the log to its
/// end, so no caller waits for the backlog.
#[test]
fn no_claim_before_log_is_read_to_end() {
    let (mut log, mut a, _) = hosts();
    win(&mut log, &mut a, at(0), id(0));
    let mut late = ClaimBook::new(B, ClaimOptions::default());
    assert_eq!(
        late.request_start(at(10), id(0), CONTENT),
        ClaimStep::Unavailable
    );
    late.mark_caught_up(Offset(1));
    assert_eq!(
        late.request_start(at(10), id(0), CONTENT),
        ClaimStep::Unavailable
    );
    log.read(&mut late, at(20));
    assert_eq!(
        late.request_start(at(20), id(0), CONTENT),
        ClaimStep::HeldBy(A)
    );
}

/// Records expire before a host has read them. The claims in them are older than the retention, so
/// their ids are rejected by age, even if the horizon is configured longer than the retention.
#[test]
fn ids_of_lost_records_are_rejected() {
    let options = ClaimOptions {
        horizon_ms: Millis(5_000_000),
        ..ClaimOptions::default()
    };
    assert!(options.check().is_err());
    let mut late = ClaimBook::new(B, options);
    let now = at(2_000_000);
    late.skip_to(now, Offset(1));
    late.mark_caught_up(Offset(1));
    assert_eq!(late.request_start(now, id(0), CONTENT), ClaimStep::TooOld);
    assert_eq!(
        late.request_start(now, id(1_999_000), CONTENT),
        ClaimStep::Wait
    );
}

/// More claims are read than the book can store. It forgets the claims on the oldest ids and from
/// then on rejects ids that are at least as old, instead of treating a forgotten submission as
/// unclaimed.
#[test]
fn full_book_rejects_forgotten_ids() {
    let options = ClaimOptions {
        claims_max: 3,
        ..ClaimOptions::default()
    };
    let mut log = Log::default();
    let (mut a, mut b) = (host(1, ClaimOptions::default()), host(2, options));
    for ms in 0..5 {
        a.request_start(at(ms), id(ms), CONTENT);
    }
    log.send(&mut a, at(5));
    log.read(&mut b, at(6));
    assert_eq!((b.counts().held, b.counts().evicted), (3, 2));
    assert_eq!(b.request_start(at(6), id(1), CONTENT), ClaimStep::TooOld);
    assert_eq!(b.request_start(at(6), id(2), CONTENT), ClaimStep::HeldBy(A));
    assert_eq!(b.request_start(at(6), id(6), CONTENT), ClaimStep::Wait);
}
