//! Tests of the configuration fold: races, lost records, peers, and the operator's command.

#[path = "support/configs.rs"]
mod configs;

use configs::{Log, RETENTION_MS, put};
use onyxshed_core::{ChangeId, ClassName, Offset, Revision, UnixMs};
use onyxshed_state::config::{AppendStep, ProposalStatus};
use onyxshed_state::{
    AppendFailure, ChangeOutcome, Config, ConfigFold, Error, FoldOutcome, Handover, Proposal,
    RepublishStep,
};
use onyxshed_wire::platform::RECORD_MAX_BYTES;
use onyxshed_wire::record::{ChangeBody, ConfigChange, ConfigRecord};
use rstest::rstest;
use ulid::Ulid;

fn change(change: ConfigChange) -> ConfigRecord {
    ConfigRecord::ChangeV1(change)
}

/// Returns a log with `count` accepted changes, a second apart.
fn log_of(count: u64) -> Log {
    let mut log = Log::default();
    for n in 0..count {
        log.append(n * 1_000, &change(put(n, n, &format!("class-{n}"), 100)));
    }
    log
}

/// Applies to `fold` every record that the log still has and that the fold has not read.
fn apply_log(log: &Log, fold: &mut ConfigFold, now_ms: u64) {
    fold.skip_to(Offset(log.oldest), UnixMs(now_ms));
    for record in &log.records[usize::try_from(log.oldest).expect("small")..] {
        fold.apply_record(record);
    }
}

fn fold_of(log: &Log) -> ConfigFold {
    let mut fold = ConfigFold::default();
    apply_log(log, &mut fold, 0);
    fold
}

/// Publishes the configuration of `fold` at `now_ms` and returns the number of records.
fn publish(log: &mut Log, fold: &mut ConfigFold, now_ms: u64) -> usize {
    match fold.republish(UnixMs(now_ms), 1) {
        RepublishStep::Publish(records) => {
            for record in &records {
                assert!(record.encode().len() <= RECORD_MAX_BYTES);
                log.append(now_ms, record);
            }
            records.len()
        }
        other => panic!("nothing is published: {other:?}"),
    }
}

fn revision(fold: &ConfigFold) -> u64 {
    fold.config().revision.0
}

/// Changes race, are repeated and violate rules. The order of the log decides, so every reader
/// reaches the same result for each record.
#[test]
fn log_order_decides_races() {
    let remove = |number, class: &str| ConfigChange {
        body: ChangeBody::Remove(class.parse().expect("the name is valid")),
        ..put(number, 1, class, 0)
    };
    let records = [
        ("first", change(put(1, 0, "locks", 500)).encode()),
        ("raced", change(put(2, 0, "prices", 900)).encode()),
        ("first again", change(put(1, 0, "locks", 500)).encode()),
        ("first, new base", change(put(1, 1, "locks", 500)).encode()),
        ("out of range", change(put(3, 1, "prices", 0)).encode()),
        ("no such class", change(remove(4, "prices")).encode()),
        ("unreadable", "{}".to_owned()),
        ("removed", change(remove(5, "locks")).encode()),
    ];
    let mut fold = ConfigFold::default();
    let mut effects = String::new();
    for (offset, (name, data)) in (0..).zip(&records) {
        effects += &format!("{name}: {:?}\n", fold.apply(Offset(offset), data));
    }
    insta::assert_snapshot!(effects, @r"
    first: Accepted(Revision(1))
    raced: Raced { based_on: Revision(0), found: Revision(1) }
    first again: Nothing
    first, new base: Nothing
    out of range: Ignored
    no such class: Ignored
    unreadable: Ignored
    removed: Accepted(Revision(2))
    ");
    let outcomes: Vec<ChangeOutcome> = (1..=6)
        .map(|n| fold.find_change(ChangeId(Ulid(n))))
        .collect();
    insta::assert_snapshot!(format!("{outcomes:?}"), @"[Accepted(Revision(1)), Raced { based_on: Revision(0), found: Revision(1) }, Invalid, Invalid, Accepted(Revision(2)), NotSeen]");
    assert_eq!(
        fold.apply(Offset(0), &records[0].1),
        FoldOutcome::Nothing,
        "a record read twice"
    );
}

/// A change is appended after a snapshot was built and before that snapshot is appended. A host
/// that starts after the first records expired reads the change before the snapshot, and must still
/// apply it.
#[test]
fn late_start_applies_change_before_older_snapshot() {
    let mut log = log_of(2);
    let mut publisher = fold_of(&log);
    log.append(5_000, &change(put(10, 2, "between", 100)));
    log.append(5_001, &change(put(11, 2, "raced", 100)));
    publish(&mut log, &mut publisher, RETENTION_MS);
    log.append(6_000, &change(put(12, 3, "after", 100)));
    log.oldest = 2;
    let late = fold_of(&log);
    assert!(late.is_complete());
    assert_eq!(late.config(), fold_of(&Log { oldest: 0, ..log }).config());
    assert_eq!(revision(&late), 4);
}

/// As above, but the accepted change has expired too, and only a change that was rejected in its
/// favour is left. Taken alone, the rejected change looks valid. The snapshot comes into force, but
/// no change is decided on top of it.
#[test]
fn raced_change_is_not_accepted_when_accepted_one_expired() {
    let mut log = log_of(2);
    let mut publisher = fold_of(&log);
    log.append(5_000, &change(put(10, 2, "winner", 100)));
    log.append(5_001, &change(put(11, 2, "loser", 100)));
    publish(&mut log, &mut publisher, RETENTION_MS);
    log.oldest = 3;
    let mut late = fold_of(&log);
    assert_eq!((late.is_complete(), revision(&late)), (false, 2));
    let loser: ClassName = "loser".parse().expect("the name is valid");
    assert!(!late.config().classes.contains_key(&loser));
    log.oldest = 0;
    late.adopt_handover(fold_of(&log).handover());
    assert_eq!((late.is_complete(), revision(&late)), (true, 3));
    let outcome = late.find_change(ChangeId(Ulid(11)));
    assert!(
        matches!(outcome, ChangeOutcome::Raced { .. }),
        "{outcome:?}"
    );
}

/// A wrong or an old snapshot is appended. A host that has read the log ignores it, and counts it
/// if it is wrong. The host moves neither to another configuration of the same revision nor to a
/// lower revision.
#[rstest]
#[case::other_content(2, 200, 1)]
#[case::ahead_of_the_log(7, 100, 1)]
#[case::old(1, 100, 0)]
#[case::right(2, 100, 0)]
fn wrong_snapshot_is_ignored(#[case] count: u64, #[case] span_ms: u64, #[case] wrong: u64) {
    let mut other_log = Log::default();
    for n in 0..count {
        other_log.append(0, &change(put(n, n, &format!("class-{n}"), span_ms)));
    }
    let mut publisher = fold_of(&other_log);
    publish(&mut other_log, &mut publisher, RETENTION_MS);
    let snapshot = &other_log
        .records
        .last()
        .expect("a snapshot was published")
        .data;
    let mut fold = fold_of(&log_of(2));
    let before = fold.config().clone();
    fold.apply(Offset(2), snapshot);
    fold.apply(Offset(3), &snapshot.replace("class-0", "class-x"));
    assert_eq!((fold.config(), fold.is_complete()), (&before, true));
    assert_eq!(fold.counts().contradictions, wrong);
}

/// An outage outlasts the retention, so records expire before this host reads them. Its
/// configuration stays in force, it decides no change, and a peer or a snapshot makes its fold
/// complete again.
#[rstest]
#[case::by_a_peer(true)]
#[case::by_a_snapshot(false)]
fn gap_keeps_configuration_in_force(#[case] is_completed_by_peer: bool) {
    let mut log = log_of(3);
    let mut fold_with_gap = fold_of(&log);
    let mut other = fold_with_gap.clone();
    log.append(4_000, &change(put(10, 3, "unread", 100)));
    log.append(4_001, &change(put(11, 4, "kept", 100)));
    log.oldest = 4;
    apply_log(&log, &mut fold_with_gap, 5_000);
    assert_eq!(
        (fold_with_gap.is_complete(), revision(&fold_with_gap)),
        (false, 3)
    );
    let draft = put(12, 3, "more", 100);
    assert_eq!(
        Proposal::prepare(draft, &fold_with_gap),
        Err(Error::Incomplete)
    );
    for record in &log.records {
        other.apply_record(record);
    }
    if is_completed_by_peer {
        assert_eq!(
            fold_with_gap.adopt_handover(other.handover()),
            FoldOutcome::Accepted(Revision(5))
        );
    } else {
        publish(&mut log, &mut other, RETENTION_MS);
        apply_log(&log, &mut fold_with_gap, 6_000);
    }
    assert_eq!(
        (fold_with_gap.is_complete(), revision(&fold_with_gap)),
        (true, 5)
    );
    assert_eq!(fold_with_gap.config(), other.config());
}

/// A host that lost records reads a snapshot that ends after the gap but has a lower revision than
/// the one in force on the host. Such a snapshot must be wrong; the host keeps its configuration.
#[test]
fn snapshot_after_gap_does_not_lower_revision() {
    let mut log = log_of(3);
    let mut fold_with_gap = fold_of(&log);
    let mut wrong_publisher = fold_of(&log_of(1));
    for offset in 1..5 {
        wrong_publisher.apply(Offset(offset), "unreadable");
    }
    log.append(0, &change(put(10, 3, "unread", 100)));
    log.append(0, &change(put(11, 4, "unread", 100)));
    log.oldest = 5;
    publish(&mut log, &mut wrong_publisher, RETENTION_MS);
    apply_log(&log, &mut fold_with_gap, 5_000);
    assert_eq!(
        (fold_with_gap.is_complete(), revision(&fold_with_gap)),
        (false, 3)
    );
    assert_eq!(fold_with_gap.counts().contradictions, 1);
}

/// A change was appended, the answer was lost, and the records expired before they were read. The
/// change stays undecided, and is not appended again, until a complete fold decides it. Once the
/// change ids of that time are forgotten, it stays undecided permanently.
#[test]
fn change_in_lost_records_stays_undecided() {
    let mut log = log_of(2);
    let mut fold = fold_of(&log);
    let ready = Proposal::prepare(put(900, 2, "locks", 100), &fold).expect("the change is valid");
    log.append(0, &change(ready.change().clone()));
    let AppendStep::Sent(sent) = ready.apply_append_result(Err(AppendFailure::AnswerLost)) else {
        panic!("a change with a lost answer may be in the log");
    };
    let mut other = fold.clone();
    apply_log(&log, &mut other, 0);
    fold.skip_to(log.next(), UnixMs(0));
    let ProposalStatus::Undecided(sent) = sent.resolve(&fold, log.next()) else {
        panic!("decided on a partial fold");
    };
    let status = sent.clone().resolve(&other, log.next());
    assert_eq!(status, ProposalStatus::Accepted(Revision(3)));
    for n in 3..300 {
        log.append(0, &change(put(n, n, "prices", 100)));
    }
    log.append(0, &change(sent.change().clone()));
    apply_log(&log, &mut other, 0);
    assert!(matches!(
        sent.resolve(&other, log.next()),
        ProposalStatus::Undecided(_)
    ));
}

/// A partial fold reads more changes than its backlog holds and drops the oldest. The fold of a
/// peer that ends among the dropped changes can't be continued, because the dropped ones would be
/// missing.
#[rstest]
#[case::ends_among_the_dropped(50, false)]
#[case::ends_among_the_kept(200, true)]
fn dropped_backlog_changes_count_as_lost(#[case] read_by_peer: u64, #[case] is_contiguous: bool) {
    let log = log_of(4_200);
    let peer = fold_of(&log_of(read_by_peer));
    let mut late = ConfigFold::default();
    late.skip_to(Offset(10), UnixMs(0));
    for record in &log.records[10..] {
        late.apply_record(record);
    }
    late.adopt_handover(peer.handover());
    let expected = if is_contiguous { 4_200 } else { 50 };
    assert_eq!(
        (late.is_complete(), revision(&late)),
        (is_contiguous, expected)
    );
}

/// A host starts while the platform's log is down. It receives the configuration from peers, moves
/// only to higher revisions, and continues from the log when the log is available again.
#[test]
fn host_started_in_outage_adopts_from_peers() {
    let log = log_of(3);
    let peer = fold_of(&log);
    let mut started = ConfigFold::default();
    assert_eq!(
        started.adopt(peer.config().clone()),
        FoldOutcome::Accepted(Revision(3))
    );
    let older = fold_of(&log_of(2)).config().clone();
    assert_eq!(started.adopt(older), FoldOutcome::Nothing);
    assert_eq!(started.adopt(Config::default()), FoldOutcome::Nothing);
    assert_eq!(started.config(), peer.config());
    for (count, record) in (1..).zip(&log.records) {
        started.apply_record(record);
        assert_eq!(revision(&started), 3, "after {count} records");
    }
    assert_eq!(started.folded_config(), peer.config());
    let json = serde_json::to_string(&peer.handover()).expect("a handover serializes to JSON");
    let decoded: Handover = serde_json::from_str(&json).expect("an encoded value decodes");
    assert_eq!(decoded, peer.handover());
}

/// Two processes are due to publish. The snapshot of the first postpones that of the second, and
/// the next publication is due well before the required records expire.
#[test]
fn configuration_is_republished_once_before_expiry() {
    let mut log = log_of(2);
    let (mut a, mut b) = (fold_of(&log), fold_of(&log));
    let due = |fold: &mut ConfigFold, now: u64, seed| match fold.republish(UnixMs(now), seed) {
        RepublishStep::WaitUntil(due) => due.0,
        other => panic!("{other:?}"),
    };
    let (first, second) = (due(&mut a, 0, 1), due(&mut b, 0, 2));
    let window = RETENTION_MS / 2..RETENTION_MS * 5 / 8;
    assert!(window.contains(&first) && window.contains(&second) && first != second);
    assert_eq!(publish(&mut log, &mut a, first.max(second)), 1);
    for fold in [&mut a, &mut b] {
        apply_log(&log, fold, first);
        assert!(due(fold, first.max(second), 2) >= first.max(second) + RETENTION_MS / 2);
    }
    let mut unread = fold_of(&log_of(2));
    publish(&mut log, &mut unread, first);
    let again = due(&mut unread, first + 1, 1);
    assert_eq!(
        again,
        first + RETENTION_MS / 16,
        "not read back: tried again later"
    );
    assert_eq!(
        ConfigFold::default().republish(UnixMs(0), 1),
        RepublishStep::Nothing
    );
}

/// Every host lost records in an outage longer than the retention; the hosts have revisions 2 and 3
/// of one history in memory. No fold is complete, so after three quarters of the retention both
/// publish. All hosts, whichever snapshot they read first, reach the higher revision and accept
/// changes again.
#[rstest]
#[case::lower_first([2, 3])]
#[case::higher_first([3, 2])]
fn partial_folds_are_published_when_none_is_complete(#[case] revisions: [u64; 2]) {
    let mut log = log_of(4);
    let mut folds = revisions.map(|count| fold_of(&log_of(count)));
    log.oldest = 4;
    for fold in &mut folds {
        apply_log(&log, fold, 10_000);
        let complete_due = 10_000 + RETENTION_MS * 5 / 8;
        let step = fold.republish(UnixMs(complete_due), 1);
        assert!(
            matches!(step, RepublishStep::WaitUntil(_)),
            "a complete fold is published first"
        );
    }
    for fold in &mut folds {
        publish(&mut log, fold, 10_000 + RETENTION_MS);
    }
    log.append(0, &change(put(20, 3, "on-top", 100)));
    let [mut a, mut b] = folds;
    for fold in [&mut a, &mut b] {
        apply_log(&log, fold, 20_000);
    }
    let late = fold_of(&log);
    for fold in [&a, &b, &late] {
        assert_eq!((fold.is_complete(), revision(fold)), (true, 4));
        assert_eq!(fold.config(), late.config());
        assert!(!fold.handover().is_complete, "the fold is based on memory");
    }
}

/// One process has read every record, has a higher revision than the others, and is frozen for so
/// long that the others continue from the configurations in memory. When it runs again, its history
/// supersedes theirs, even if they have accepted as many changes, and all processes agree again.
#[rstest]
#[case::others_are_behind(0)]
#[case::others_caught_up(2)]
fn tentative_fold_is_superseded_by_complete_history(#[case] changes_since: u64) {
    let mut log = log_of(4);
    let mut frozen = fold_of(&log);
    let mut other = fold_of(&log_of(2));
    log.oldest = 4;
    apply_log(&log, &mut other, 10_000);
    publish(&mut log, &mut other, 10_000 + RETENTION_MS);
    apply_log(&log, &mut other, 0);
    assert_eq!(
        (other.is_complete(), other.handover().is_complete),
        (true, false)
    );
    for n in 0..changes_since {
        log.append(0, &change(put(50 + n, 2 + n, "tentative", 100)));
    }
    apply_log(&log, &mut other, 0);
    assert_eq!(revision(&other), 2 + changes_since);
    apply_log(&log, &mut frozen, 0);
    let mut by_peer = other.clone();
    by_peer.adopt_handover(frozen.handover());
    publish(&mut log, &mut frozen, RETENTION_MS * 3);
    apply_log(&log, &mut other, 0);
    for fold in [&other, &by_peer] {
        assert_eq!((fold.config(), fold.is_complete()), (frozen.config(), true));
    }
}

/// As above, but the others' history has a higher revision than that of the frozen process, through
/// a change that is only valid in their history. Then the frozen process adopts theirs, so that no
/// revision is lowered.
#[test]
fn complete_history_is_superseded_by_higher_revision() {
    let mut log = log_of(4);
    let mut frozen = fold_of(&log);
    let mut other = fold_of(&log_of(2));
    log.oldest = 4;
    apply_log(&log, &mut other, 10_000);
    publish(&mut log, &mut other, 10_000 + RETENTION_MS);
    for n in 2..4 {
        log.append(0, &change(put(50 + n, n, "tentative", 100)));
    }
    let body = ChangeBody::Remove("tentative".parse().expect("the name is valid"));
    log.append(
        0,
        &change(ConfigChange {
            body,
            ..put(60, 4, "tentative", 100)
        }),
    );
    apply_log(&log, &mut other, 0);
    publish(&mut log, &mut other, RETENTION_MS * 4);
    apply_log(&log, &mut frozen, 0);
    assert_eq!((revision(&frozen), frozen.config()), (5, other.config()));
}

/// After two losses of records in a row, two processes have different configurations of the same
/// revision in memory. Both publish, and all processes reach the same configuration, whichever they
/// had or read first.
#[test]
fn tentative_folds_of_one_revision_converge() {
    let mut log = log_of(4);
    let mut folds = [100, 200].map(|span_ms| {
        let mut own = Log::default();
        own.append(0, &change(put(1, 0, "locks", span_ms)));
        fold_of(&own)
    });
    log.oldest = 4;
    folds.iter_mut().for_each(|fold| apply_log(&log, fold, 0));
    for fold in &mut folds {
        publish(&mut log, fold, RETENTION_MS);
    }
    folds.iter_mut().for_each(|fold| apply_log(&log, fold, 0));
    assert_eq!(folds[0].config(), folds[1].config());
    assert_eq!(fold_of(&log).config(), folds[0].config());
}

/// A history that another history supersedes has decided a change that is in the log after the end
/// of the other history's fold and before its snapshot. How the other history decided that change
/// is unknown to this fold, so the fold is partial until it receives a handover from a peer.
#[test]
fn change_between_histories_makes_fold_partial() {
    let mut log = log_of(3);
    let mut winner = fold_of(&log);
    let mut other = fold_of(&log_of(1));
    log.oldest = 3;
    apply_log(&log, &mut other, 0);
    publish(&mut log, &mut other, RETENTION_MS);
    apply_log(&log, &mut winner, 0);
    log.append(0, &change(put(50, 3, "between", 100)));
    publish(&mut log, &mut winner, RETENTION_MS * 3);
    apply_log(&log, &mut other, 0);
    assert_eq!((other.is_complete(), revision(&other)), (false, 3));
    apply_log(&log, &mut winner, 0);
    other.adopt_handover(winner.handover());
    assert_eq!(
        (other.is_complete(), other.config()),
        (true, winner.config())
    );
}

/// A snapshot claims to account for records that come after it. A fold that accepted it would skip
/// those records.
#[test]
fn snapshot_ahead_of_its_offset_is_ignored() {
    let mut other_log = log_of(2);
    let mut publisher = fold_of(&other_log);
    publish(&mut other_log, &mut publisher, RETENTION_MS);
    let data = other_log.records[2]
        .data
        .replace(r#""folded_to":2"#, r#""folded_to":9"#);
    let mut late = ConfigFold::default();
    late.skip_to(Offset(2), UnixMs(0));
    late.apply(Offset(2), &data);
    assert_eq!((late.is_complete(), late.next()), (false, Offset(3)));
}

/// Every process was replaced while the log had lost every record, so no process has a
/// configuration. After at least three quarters of the retention the processes start from an empty
/// configuration instead of rejecting all changes permanently.
#[test]
fn fleet_without_records_accepts_changes_again() {
    let mut log = log_of(4);
    log.oldest = 4;
    let mut started = fold_of(&log);
    assert_eq!(
        Proposal::prepare(put(9, 0, "locks", 100), &started),
        Err(Error::Incomplete)
    );
    publish(&mut log, &mut started, RETENTION_MS);
    log.append(0, &change(put(9, 0, "locks", 100)));
    apply_log(&log, &mut started, 0);
    assert_eq!((revision(&started), revision(&fold_of(&log))), (1, 1));
}

/// The configuration is larger than a record and is published in parts. The parts of two publishers
/// are interleaved in the log, and a reader that starts late assembles them. Without the first part
/// the snapshot stays incomplete.
#[test]
fn large_configuration_is_split_into_parts() {
    let mut log = log_of(2_000);
    let mut publishers = [fold_of(&log), fold_of(&log)];
    let mut parts = Log::default();
    let count = publish(&mut parts, &mut publishers[0], RETENTION_MS * 2);
    assert_eq!(count, 3);
    let start = log.next().0;
    for record in &parts.records {
        for _ in &publishers {
            let record: ConfigRecord =
                ConfigRecord::decode(&record.data).expect("an encoded value decodes");
            log.append(RETENTION_MS, &record);
        }
    }
    log.oldest = start;
    let late = fold_of(&log);
    assert!(late.is_complete());
    assert_eq!(late.config(), publishers[1].config());
    log.oldest = start + 2;
    assert!(!fold_of(&log).is_complete(), "the first part expired");
}

/// A change that every fold would ignore is rejected before anything is appended.
#[rstest]
#[case::invalid(put(9, 2, "locks", 0))]
#[case::stale(put(9, 1, "locks", 100))]
fn invalid_change_is_rejected_before_append(#[case] draft: ConfigChange) {
    let rejection =
        Proposal::prepare(draft, &fold_of(&log_of(2))).expect_err("the change is rejected");
    let code = rejection.code().number();
    assert!([5008, 5009].contains(&code), "{rejection}");
}

/// The answer to an append is lost. The change stays undecided until the log has been read to its
/// end; then it is reported as accepted, or the same change is appended again. Both copies may
/// reach the log, and together create one revision.
#[rstest]
#[case::took_effect(true)]
#[case::lost_for_good(false)]
fn change_with_lost_answer_is_looked_up(#[case] was_appended: bool) {
    let mut log = log_of(2);
    let mut fold = fold_of(&log);
    let ready = Proposal::prepare(put(9, 2, "locks", 100), &fold).expect("the change is valid");
    let record = ConfigRecord::decode(&ready.record()).expect("an encoded value decodes");
    if was_appended {
        log.append(0, &record);
    }
    log.append(0, &change(put(10, 3, "other", 100)));
    let sent = match ready.apply_append_result(Err(AppendFailure::AnswerLost)) {
        AppendStep::Sent(sent) => sent,
        other => panic!("{other:?}"),
    };
    let ProposalStatus::Undecided(sent) = sent.resolve(&fold, log.next()) else {
        panic!("decided before the log was read");
    };
    apply_log(&log, &mut fold, 0);
    match sent.resolve(&fold, log.next()) {
        ProposalStatus::Accepted(revision) => {
            assert_eq!((was_appended, revision), (true, Revision(3)))
        }
        ProposalStatus::Repeat(ready) => {
            assert!(!was_appended && ready.record() == record.encode());
            for _ in 0..2 {
                log.append(0, &record);
            }
            apply_log(&log, &mut fold, 0);
            assert_eq!(revision(&fold), 3);
        }
        other => panic!("{other:?}"),
    }
}

/// Two operators base a change on the same revision, and both appends are answered. The second
/// change is reported as raced, and only once its record was read back.
#[test]
fn second_of_two_changes_is_reported_raced() {
    let mut log = log_of(1);
    let mut fold = fold_of(&log);
    let sent = [20, 21].map(|number| {
        let ready = Proposal::prepare(put(number, 1, "locks", number), &fold).expect("valid");
        let offset = log.append(0, &change(ready.change().clone()));
        match ready.apply_append_result(Ok(offset)) {
            AppendStep::Sent(sent) => sent,
            other => panic!("{other:?}"),
        }
    });
    apply_log(&log, &mut fold, 0);
    let statuses = sent.map(|sent| sent.resolve(&fold, log.next()));
    insta::assert_snapshot!(format!("{statuses:?}"), @"[Accepted(Revision(2)), Raced { based_on: Revision(1), found: Revision(2) }]");
}
