//! The ways in which a submission could start twice, one test each.

#[path = "support/claims.rs"]
mod claims;

use claims::{CONTENT, at, host, id, take_batch};
use onyxshed_core::{Incarnation, Millis, Now, Offset, SubmissionId};
use onyxshed_state::{
    AppendFailure, BatchStep, ClaimBook, ClaimOptions, ClaimOutcome, ClaimStep, SettledClaim,
};
use onyxshed_wire::ContentHash;
use onyxshed_wire::record::{ClaimBatch, ClaimRecord};
use rstest::rstest;

/// A log that takes appends in order.
#[derive(Default)]
struct Log(Vec<String>);

impl Log {
    fn append(&mut self, batch: ClaimBatch) -> Offset {
        self.0.push(ClaimRecord::ClaimsV1(batch).encode());
        Offset(self.0.len() as u64 - 1)
    }

    /// Reads everything that the host has not read.
    fn read(&self, book: &mut ClaimBook, now: Now) -> Vec<SettledClaim> {
        let mut settled = Vec::new();
        for (offset, data) in (0..).zip(&self.0) {
            settled.extend(book.apply_record(now, Offset(offset), data));
        }
        book.mark_caught_up(Offset(self.0.len() as u64));
        settled
    }

    /// Sends the host's next batch and tells it that it was appended.
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

/// Has `book` claim `id` and win it.
fn win(log: &mut Log, book: &mut ClaimBook, now: Now, id: SubmissionId) {
    assert_eq!(book.request_start(now, id, CONTENT), ClaimStep::Wait);
    log.send(book, now);
    assert_eq!(verdicts(&log.read(book, now)), [ClaimOutcome::Won]);
}

fn verdicts(settled: &[SettledClaim]) -> Vec<ClaimOutcome> {
    settled.iter().map(|settled| settled.outcome).collect()
}

/// The caller sends to both hosts at once, which both append before either has read. Both records
/// stand in the log; each host decides only when it reads its own back, and by then has read the
/// other's if that came first.
#[test]
fn two_claims_in_one_interval_have_one_winner() {
    let (mut log, mut a, mut b) = hosts();
    for book in [&mut a, &mut b] {
        assert_eq!(book.request_start(at(0), id(0), CONTENT), ClaimStep::Wait);
        log.send(book, at(0));
    }
    assert!(!a.may_start(at(0), id(0)), "appended is not yet claimed");
    assert_eq!(
        verdicts(&log.read(&mut b, at(1))),
        [ClaimOutcome::HeldBy(A)]
    );
    assert_eq!(verdicts(&log.read(&mut a, at(1))), [ClaimOutcome::Won]);
    assert!(a.may_start(at(1), id(0)) && !b.may_start(at(1), id(0)));
}

/// Two copies reach one host before its batch goes out. The batch holds one claim; both copies wait
/// for the same verdict, and a copy with other content is turned away.
#[test]
fn two_consults_make_one_claim() {
    let (_, mut a, _) = hosts();
    assert_eq!(a.request_start(at(0), id(0), CONTENT), ClaimStep::Wait);
    assert_eq!(a.request_start(at(0), id(0), CONTENT), ClaimStep::Wait);
    let other = a.request_start(at(0), id(0), ContentHash(8));
    assert_eq!(other, ClaimStep::OtherContent);
    assert_eq!(take_batch(&mut a, at(0)).claims.len(), 1);
}

/// The append takes effect and its answer is lost. The job waits for the read-back and wins if that
/// comes within its patience.
#[test]
fn lost_answer_is_read_back() {
    let (mut log, mut a, _) = hosts();
    a.request_start(at(0), id(0), CONTENT);
    let batch = take_batch(&mut a, at(0));
    log.append(batch);
    assert!(
        a.apply_append_result(at(10), 1, Err(AppendFailure::AnswerLost))
            .is_empty()
    );
    assert_eq!(verdicts(&log.read(&mut a, at(20))), [ClaimOutcome::Won]);
}

/// The answer is lost and the claim turns up after the job was told "not run". The claim is this
/// host's in the table, but must not start the job; a resubmission may start it, once. If none
/// comes, the claim is released and another host may have it.
#[rstest]
#[case::resubmitted_here(true)]
#[case::resubmitted_elsewhere(false)]
fn late_claim_starts_no_job_that_was_given_up(#[case] is_here: bool) {
    let (mut log, mut a, mut b) = hosts();
    a.request_start(at(0), id(0), CONTENT);
    let batch = take_batch(&mut a, at(0));
    a.apply_append_result(at(10), 1, Err(AppendFailure::AnswerLost));
    assert_eq!(verdicts(&a.tick(at(2_000))), [ClaimOutcome::Failed]);
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

/// The log refuses the append. The claim goes out again while the job waits; when the log can't be
/// reached at all, every waiting job is told at once, and no new one is made to wait.
#[test]
fn refused_append_is_retried_until_the_log_is_lost() {
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
    assert_eq!(verdicts(&a.mark_log_unreachable()), [ClaimOutcome::Failed]);
    assert_eq!(
        a.request_start(at(70), id(1), CONTENT),
        ClaimStep::Unavailable
    );
    log.read(&mut a, at(80));
    assert_eq!(a.request_start(at(80), id(1), CONTENT), ClaimStep::Wait);
}

/// The holder is frozen between its claim and its first start and thaws past the horizon. Others
/// have forgotten the claim or soon will, so the thawed holder must not start on it.
#[rstest]
#[case::at_the_horizon(HORIZON_MS, true)]
#[case::past_it(HORIZON_MS + 1, false)]
fn frozen_holder_does_not_start_past_the_horizon(#[case] thawed_ms: u64, #[case] may: bool) {
    let (mut log, mut a, _) = hosts();
    win(&mut log, &mut a, at(0), id(0));
    assert_eq!(a.may_start(at(thawed_ms), id(0)), may);
}

/// A process thaws past the horizon and looks at ids before any event has brought it the new time.
/// It must judge them by the time it is handed, not by the time it remembers.
#[test]
fn thawed_process_judges_by_the_new_time() {
    let (_, a, _) = hosts();
    let (before, after) = (at(HORIZON_MS), at(HORIZON_MS + 1));
    assert_eq!(a.peek(before, id(0), None), ClaimStep::Wait);
    assert!(a.is_within_horizon(before, id(0)));
    assert_eq!(a.peek(after, id(0), None), ClaimStep::TooOld);
    assert!(!a.is_within_horizon(after, id(0)));
}

/// So many claims wait that there is no room for one more. It is refused at once, and a look ahead
/// says the same as the consult would: else its caller would wait for a verdict that never comes.
#[test]
fn full_queue_refuses_at_once() {
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

/// Clocks differ by up to a skew. When the first host forgets a claim, every other host's clock has
/// passed the horizon, so nobody still accepts the id.
#[test]
fn no_clock_accepts_what_another_has_forgotten() {
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

/// The wall clock steps back after a claim was forgotten. Judged by the stepped clock the id would
/// be young again, and free.
#[test]
fn clock_that_steps_back_reopens_nothing() {
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

/// Ids beyond the horizon, and ids whose time lies further ahead than clocks differ, are refused.
#[rstest]
#[case::oldest(0, HORIZON_MS, ClaimStep::Wait)]
#[case::too_old(0, HORIZON_MS + 1, ClaimStep::TooOld)]
#[case::ahead_by_a_skew(SKEW_MS, 0, ClaimStep::Wait)]
#[case::from_the_future(SKEW_MS + 1, 0, ClaimStep::FromFuture)]
fn age_of_ids(#[case] id_ms: u64, #[case] now_ms: u64, #[case] step: ClaimStep) {
    let (_, mut a, _) = hosts();
    assert_eq!(a.request_start(at(now_ms), id(id_ms), CONTENT), step);
}

/// A host wins, refuses the job for want of room ("not run"), and says so in the log. The caller's
/// resubmission reaches another host, which must be able to claim it rather than wait for a job
/// that does not exist. The first host does not start it again without a new claim.
#[test]
fn refused_job_is_released() {
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
        verdicts(&log.read(&mut a, at(304))),
        [ClaimOutcome::HeldBy(B)]
    );
}

/// A release is under way when the submission comes back, and is claimed again in a later batch.
/// The release's answer was lost and it reaches the log after the new claim, on which the job has
/// started. Every reader ignores it; else another host could start the job too.
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

/// Two claims of one host stand in the log, because the first one's answer was lost. It wins by the
/// first, gives the job up and sends a release before it has read the second. Reading that must not
/// make it the holder again: the release comes after it, and another host claims then.
#[test]
fn claim_read_after_its_release_was_sent_is_no_new_claim() {
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

/// The append of a release is refused. It goes out again with a later batch, and the submission can
/// be claimed by others after that.
#[test]
fn refused_release_goes_out_again() {
    let (mut log, mut a, mut b) = hosts();
    win(&mut log, &mut a, at(0), id(0));
    a.release(at(10), id(0));
    let refused = take_batch(&mut a, at(300));
    a.apply_append_result(at(310), refused.batch, Err(AppendFailure::NotAppended));
    log.send(&mut a, at(900));
    log.read(&mut b, at(910));
    win(&mut log, &mut b, at(910), id(0));
}

/// A reader gets old records again, as after an answer that was out of date. They change nothing,
/// and reading goes on where it was.
#[test]
fn record_read_twice_changes_nothing() {
    let (mut log, mut a, _) = hosts();
    win(&mut log, &mut a, at(0), id(0));
    win(&mut log, &mut a, at(100), id(1));
    assert!(a.apply_record(at(200), Offset(0), &log.0[0]).is_empty());
    assert_eq!((a.next(), a.counts().stale_batches), (Offset(2), 0));
}

/// Only the holder's release counts: a host that lost the race has nothing to give up.
#[test]
fn release_of_another_host_counts_for_nothing() {
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

/// The holder's host dies and its class may run twice. Two hosts take the submission over; the log
/// lets the first one, and the dead host's claim no longer counts even if it was merely frozen.
#[test]
fn one_host_takes_over() {
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
    assert_eq!(verdicts(&log.read(&mut b, at(30))), [ClaimOutcome::Won]);
    assert_eq!(
        verdicts(&log.read(&mut c, at(30))),
        [ClaimOutcome::HeldBy(B)]
    );
    log.read(&mut a, at(40));
    assert!(
        !a.may_start(at(40), id(0)),
        "the frozen holder was replaced"
    );
    assert_eq!(c.take_over(at(40), id(0), CONTENT, A), ClaimStep::HeldBy(B));
}

/// The holder dies after the first of several tasks. Its claim stays in the log, so no other host
/// starts the rest: the outcome is unknown, not doubled. Its next life is another holder.
#[test]
fn claim_outlives_its_dead_holder() {
    let (mut log, mut a, _) = hosts();
    win(&mut log, &mut a, at(0), id(0));
    drop(a);
    let mut reborn = host(9, ClaimOptions::default());
    log.read(&mut reborn, at(100));
    assert_eq!(
        reborn.request_start(at(100), id(0), CONTENT),
        ClaimStep::HeldBy(A)
    );
}

/// A resubmission comes after the job's answer was dropped. It must not start a second time, with a
/// claim or bound to this host; given up unstarted, it may.
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
            "needs no log"
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

/// The same id comes with other content to another host: refused there from the log alone.
#[test]
fn other_content_is_refused_everywhere() {
    let (mut log, mut a, mut b) = hosts();
    b.request_start(at(0), id(0), ContentHash(8));
    win(&mut log, &mut a, at(0), id(0));
    assert_eq!(
        verdicts(&log.read(&mut b, at(1))),
        [ClaimOutcome::OtherContent]
    );
}

/// A host starts, or comes back from an outage. Until it has read the log to its end it claims
/// nothing, so no caller waits behind the backlog.
#[test]
fn nothing_is_claimed_before_the_log_was_read() {
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
/// their ids are refused by age, even if someone set the horizon longer than the log keeps.
#[test]
fn ids_of_lost_records_are_refused() {
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

/// More claims come than the book has room for. It forgets the oldest and from then on refuses ids
/// as old as those, rather than hold a forgotten submission to be free.
#[test]
fn full_book_refuses_what_it_forgot() {
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
