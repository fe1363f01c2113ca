//! The configuration in force: races, lost records, peers, and the operator's command.

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

/// Makes a log with `count` accepted changes, a second apart.
fn log_of(count: u64) -> Log {
    let mut log = Log::default();
    for n in 0..count {
        log.append(n * 1_000, &change(put(n, n, &format!("class-{n}"), 100)));
    }
    log
}

/// Has `fold` read what it has not read and what is still kept.
fn read(log: &Log, fold: &mut ConfigFold, now_ms: u64) {
    fold.skip_to(Offset(log.oldest), UnixMs(now_ms));
    for record in &log.records[usize::try_from(log.oldest).expect("small")..] {
        fold.apply_record(record);
    }
}

fn reader(log: &Log) -> ConfigFold {
    let mut fold = ConfigFold::default();
    read(log, &mut fold, 0);
    fold
}

/// Publishes what `fold` holds, as of `now_ms`.
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

/// Operators race, repeat themselves and break rules. Log order decides, and every reader comes to
/// the same verdict about each record.
#[test]
fn log_order_decides() {
    let remove = |number, class: &str| ConfigChange {
        body: ChangeBody::Remove(class.parse().expect("a name")),
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
    let mut told = String::new();
    for (offset, (name, data)) in (0..).zip(&records) {
        told += &format!("{name}: {:?}\n", fold.apply(Offset(offset), data));
    }
    insta::assert_snapshot!(told, @r"
    first: Accepted(Revision(1))
    raced: Raced { based_on: Revision(0), found: Revision(1) }
    first again: Nothing
    first, new base: Nothing
    out of range: Ignored
    no such class: Ignored
    unreadable: Ignored
    removed: Accepted(Revision(2))
    ");
    let fates: Vec<ChangeOutcome> = (1..=6)
        .map(|n| fold.find_change(ChangeId(Ulid(n))))
        .collect();
    insta::assert_snapshot!(format!("{fates:?}"), @"[Accepted(Revision(1)), Raced { based_on: Revision(0), found: Revision(1) }, Invalid, Invalid, Accepted(Revision(2)), NotSeen]");
    assert_eq!(
        fold.apply(Offset(0), &records[0].1),
        FoldOutcome::Nothing,
        "read twice"
    );
}

/// A change lands between the moment a snapshot was made and its append. A host that starts after
/// the first records expired finds the change before the snapshot, and must not lose it.
#[test]
fn late_start_from_a_snapshot_that_was_overtaken() {
    let mut log = log_of(2);
    let mut publisher = reader(&log);
    log.append(5_000, &change(put(10, 2, "between", 100)));
    log.append(5_001, &change(put(11, 2, "raced", 100)));
    publish(&mut log, &mut publisher, RETENTION_MS);
    log.append(6_000, &change(put(12, 3, "after", 100)));
    log.oldest = 2;
    let late = reader(&log);
    assert!(late.is_complete());
    assert_eq!(late.config(), reader(&Log { oldest: 0, ..log }).config());
    assert_eq!(revision(&late), 4);
}

/// As before, but the accepted change expired too and only the one that lost to it is left. Judged
/// alone the loser looks valid. The snapshot takes force, but no change is judged on it.
#[test]
fn loser_is_not_accepted_when_the_winner_was_lost() {
    let mut log = log_of(2);
    let mut publisher = reader(&log);
    log.append(5_000, &change(put(10, 2, "winner", 100)));
    log.append(5_001, &change(put(11, 2, "loser", 100)));
    publish(&mut log, &mut publisher, RETENTION_MS);
    log.oldest = 3;
    let mut late = reader(&log);
    assert_eq!((late.is_complete(), revision(&late)), (false, 2));
    let loser: ClassName = "loser".parse().expect("a name");
    assert!(!late.config().classes.contains_key(&loser));
    log.oldest = 0;
    late.adopt_handover(reader(&log).handover());
    assert_eq!((late.is_complete(), revision(&late)), (true, 3));
    let fate = late.find_change(ChangeId(Ulid(11)));
    assert!(matches!(fate, ChangeOutcome::Raced { .. }), "{fate:?}");
}

/// Someone appends a snapshot that is wrong, or old. Whoever has read the log knows better, counts
/// it and goes on; nobody moves to another configuration of the same revision, or to a lower one.
#[rstest]
#[case::other_content(2, 200, 1)]
#[case::ahead_of_the_log(7, 100, 1)]
#[case::old(1, 100, 0)]
#[case::right(2, 100, 0)]
fn wrong_snapshot_is_ignored(#[case] count: u64, #[case] span_ms: u64, #[case] wrong: u64) {
    let mut told = Log::default();
    for n in 0..count {
        told.append(0, &change(put(n, n, &format!("class-{n}"), span_ms)));
    }
    let mut teller = reader(&told);
    publish(&mut told, &mut teller, RETENTION_MS);
    let snapshot = &told.records.last().expect("it was published").data;
    let mut fold = reader(&log_of(2));
    let before = fold.config().clone();
    fold.apply(Offset(2), snapshot);
    fold.apply(Offset(3), &snapshot.replace("class-0", "class-x"));
    assert_eq!((fold.config(), fold.is_complete()), (&before, true));
    assert_eq!(fold.counts().contradictions, wrong);
}

/// An outage outlasts the retention: records expired before this host read them. What it holds
/// stays in force, it judges no change, and a peer or a snapshot brings it back.
#[rstest]
#[case::by_a_peer(true)]
#[case::by_a_snapshot(false)]
fn gap_keeps_what_is_in_force(#[case] is_by_peer: bool) {
    let mut log = log_of(3);
    let mut cut_off = reader(&log);
    let mut other = cut_off.clone();
    log.append(4_000, &change(put(10, 3, "unread", 100)));
    log.append(4_001, &change(put(11, 4, "kept", 100)));
    log.oldest = 4;
    read(&log, &mut cut_off, 5_000);
    assert_eq!((cut_off.is_complete(), revision(&cut_off)), (false, 3));
    let draft = put(12, 3, "more", 100);
    assert_eq!(Proposal::prepare(draft, &cut_off), Err(Error::Incomplete));
    for record in &log.records {
        other.apply_record(record);
    }
    if is_by_peer {
        assert_eq!(
            cut_off.adopt_handover(other.handover()),
            FoldOutcome::Accepted(Revision(5))
        );
    } else {
        publish(&mut log, &mut other, RETENTION_MS);
        read(&log, &mut cut_off, 6_000);
    }
    assert_eq!((cut_off.is_complete(), revision(&cut_off)), (true, 5));
    assert_eq!(cut_off.config(), other.config());
}

/// A host that lost records reads a snapshot that ends after the gap and yet knows less than the
/// host had in force before it. It can't be right; the host keeps what it has.
#[test]
fn snapshot_after_a_gap_does_not_go_back() {
    let mut log = log_of(3);
    let mut cut_off = reader(&log);
    let mut liar = reader(&log_of(1));
    for offset in 1..5 {
        liar.apply(Offset(offset), "unreadable");
    }
    log.append(0, &change(put(10, 3, "unread", 100)));
    log.append(0, &change(put(11, 4, "unread", 100)));
    log.oldest = 5;
    publish(&mut log, &mut liar, RETENTION_MS);
    read(&log, &mut cut_off, 5_000);
    assert_eq!((cut_off.is_complete(), revision(&cut_off)), (false, 3));
    assert_eq!(cut_off.counts().contradictions, 1);
}

/// The command's change was appended, its answer lost, and the records expired before they were
/// read. Nothing is said and nothing repeated until a complete fold tells; long after, when the ids
/// of that time are forgotten, nothing is said for good.
#[test]
fn nothing_is_said_about_lost_records() {
    let mut log = log_of(2);
    let mut fold = reader(&log);
    let ready = Proposal::prepare(put(900, 2, "locks", 100), &fold).expect("it is valid");
    log.append(0, &change(ready.change().clone()));
    let AppendStep::Sent(sent) = ready.apply_append_result(Err(AppendFailure::AnswerLost)) else {
        panic!("it may be in the log");
    };
    let mut other = fold.clone();
    read(&log, &mut other, 0);
    fold.skip_to(log.next(), UnixMs(0));
    let ProposalStatus::Undecided(sent) = sent.resolve(&fold, log.next()) else {
        panic!("judged on a partial fold");
    };
    let told = sent.clone().resolve(&other, log.next());
    assert_eq!(told, ProposalStatus::Accepted(Revision(3)));
    for n in 3..300 {
        log.append(0, &change(put(n, n, "prices", 100)));
    }
    log.append(0, &change(sent.change().clone()));
    read(&log, &mut other, 0);
    assert!(matches!(
        sent.resolve(&other, log.next()),
        ProposalStatus::Undecided(_)
    ));
}

/// A host without a basis reads more changes than it keeps, and drops the oldest. A peer's fold that
/// ends among the dropped ones no longer joins up: what was dropped would be missing for ever.
#[rstest]
#[case::ends_among_the_dropped(50, false)]
#[case::ends_among_the_kept(200, true)]
fn dropped_changes_count_as_lost(#[case] read_by_peer: u64, #[case] is_joined: bool) {
    let log = log_of(4_200);
    let peer = reader(&log_of(read_by_peer));
    let mut late = ConfigFold::default();
    late.skip_to(Offset(10), UnixMs(0));
    for record in &log.records[10..] {
        late.apply_record(record);
    }
    late.adopt_handover(peer.handover());
    let expected = if is_joined { 4_200 } else { 50 };
    assert_eq!((late.is_complete(), revision(&late)), (is_joined, expected));
}

/// A host is born while the platform's log is down. It learns the configuration from peers, moves
/// only to higher revisions, and goes on from the log when that is back.
#[test]
fn host_born_in_an_outage_learns_from_peers() {
    let log = log_of(3);
    let peer = reader(&log);
    let mut born = ConfigFold::default();
    assert_eq!(
        born.adopt(peer.config().clone()),
        FoldOutcome::Accepted(Revision(3))
    );
    let older = reader(&log_of(2)).config().clone();
    assert_eq!(born.adopt(older), FoldOutcome::Nothing);
    assert_eq!(born.adopt(Config::default()), FoldOutcome::Nothing);
    assert_eq!(born.config(), peer.config());
    for (read, record) in (1..).zip(&log.records) {
        born.apply_record(record);
        assert_eq!(revision(&born), 3, "after {read} records");
    }
    assert_eq!(born.folded_config(), peer.config());
    let json = serde_json::to_string(&peer.handover()).expect("it can be written");
    let told: Handover = serde_json::from_str(&json).expect("it was written");
    assert_eq!(told, peer.handover());
}

/// Two processes find the configuration due. The first one's snapshot makes the other wait for the
/// next time, well before the records it needs expire.
#[test]
fn republished_once_before_it_expires() {
    let mut log = log_of(2);
    let (mut a, mut b) = (reader(&log), reader(&log));
    let due = |fold: &mut ConfigFold, now: u64, seed| match fold.republish(UnixMs(now), seed) {
        RepublishStep::WaitUntil(due) => due.0,
        other => panic!("{other:?}"),
    };
    let (first, second) = (due(&mut a, 0, 1), due(&mut b, 0, 2));
    let window = RETENTION_MS / 2..RETENTION_MS * 5 / 8;
    assert!(window.contains(&first) && window.contains(&second) && first != second);
    assert_eq!(publish(&mut log, &mut a, first.max(second)), 1);
    for fold in [&mut a, &mut b] {
        read(&log, fold, first);
        assert!(due(fold, first.max(second), 2) >= first.max(second) + RETENTION_MS / 2);
    }
    let mut unread = reader(&log_of(2));
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

/// Every host lost records in an outage longer than the retention; they hold revisions 2 and 3 of
/// one history. Nobody has a complete fold, so after a long wait both publish what they hold. All,
/// whichever they read first, end at the higher one and accept changes again.
#[rstest]
#[case::lower_first([2, 3])]
#[case::higher_first([3, 2])]
fn memory_is_published_when_nobody_has_more(#[case] revisions: [u64; 2]) {
    let mut log = log_of(4);
    let mut folds = revisions.map(|count| reader(&log_of(count)));
    log.oldest = 4;
    for fold in &mut folds {
        read(&log, fold, 10_000);
        let complete_due = 10_000 + RETENTION_MS * 5 / 8;
        let step = fold.republish(UnixMs(complete_due), 1);
        assert!(
            matches!(step, RepublishStep::WaitUntil(_)),
            "a complete fold comes first"
        );
    }
    for fold in &mut folds {
        publish(&mut log, fold, 10_000 + RETENTION_MS);
    }
    log.append(0, &change(put(20, 3, "on-top", 100)));
    let [mut a, mut b] = folds;
    for fold in [&mut a, &mut b] {
        read(&log, fold, 20_000);
    }
    let late = reader(&log);
    for fold in [&a, &b, &late] {
        assert_eq!((fold.is_complete(), revision(fold)), (true, 4));
        assert_eq!(fold.config(), late.config());
        assert!(!fold.handover().is_complete, "it goes back to memory");
    }
}

/// One process has read everything, holds more than the others, and stops for so long that the others
/// go on from what they remember. When it runs again its history counts for more: the others give
/// theirs up, even one that has as many changes, and all agree again.
#[rstest]
#[case::others_are_behind(0)]
#[case::others_caught_up(2)]
fn memory_gives_way_to_what_was_never_lost(#[case] changes_since: u64) {
    let mut log = log_of(4);
    let mut sleeper = reader(&log);
    let mut other = reader(&log_of(2));
    log.oldest = 4;
    read(&log, &mut other, 10_000);
    publish(&mut log, &mut other, 10_000 + RETENTION_MS);
    read(&log, &mut other, 0);
    assert_eq!(
        (other.is_complete(), other.handover().is_complete),
        (true, false)
    );
    for n in 0..changes_since {
        log.append(0, &change(put(50 + n, 2 + n, "tentative", 100)));
    }
    read(&log, &mut other, 0);
    assert_eq!(revision(&other), 2 + changes_since);
    read(&log, &mut sleeper, 0);
    let mut by_peer = other.clone();
    by_peer.adopt_handover(sleeper.handover());
    publish(&mut log, &mut sleeper, RETENTION_MS * 3);
    read(&log, &mut other, 0);
    for fold in [&other, &by_peer] {
        assert_eq!(
            (fold.config(), fold.is_complete()),
            (sleeper.config(), true)
        );
    }
}

/// As before, but the others' history went further than that of the process that stopped, by a
/// change that is valid in theirs alone. Then it gives way, so that no revision goes down.
#[test]
fn what_was_never_lost_gives_way_to_a_higher_revision() {
    let mut log = log_of(4);
    let mut sleeper = reader(&log);
    let mut other = reader(&log_of(2));
    log.oldest = 4;
    read(&log, &mut other, 10_000);
    publish(&mut log, &mut other, 10_000 + RETENTION_MS);
    for n in 2..4 {
        log.append(0, &change(put(50 + n, n, "tentative", 100)));
    }
    let body = ChangeBody::Remove("tentative".parse().expect("a name"));
    log.append(
        0,
        &change(ConfigChange {
            body,
            ..put(60, 4, "tentative", 100)
        }),
    );
    read(&log, &mut other, 0);
    publish(&mut log, &mut other, RETENTION_MS * 4);
    read(&log, &mut sleeper, 0);
    assert_eq!((revision(&sleeper), sleeper.config()), (5, other.config()));
}

/// Two processes remember different configurations of one revision, after two losses in a row. Both
/// publish, and all come to hold the same one, whichever they remembered or read first.
#[test]
fn memories_of_one_revision_come_together() {
    let mut log = log_of(4);
    let mut folds = [100, 200].map(|span_ms| {
        let mut own = Log::default();
        own.append(0, &change(put(1, 0, "locks", span_ms)));
        reader(&own)
    });
    log.oldest = 4;
    folds.iter_mut().for_each(|fold| read(&log, fold, 0));
    for fold in &mut folds {
        publish(&mut log, fold, RETENTION_MS);
    }
    folds.iter_mut().for_each(|fold| read(&log, fold, 0));
    assert_eq!(folds[0].config(), folds[1].config());
    assert_eq!(reader(&log).config(), folds[0].config());
}

/// A history that gives way has judged a change that came before the winner's snapshot and after
/// the winner's fold. What the winner made of it is not known here: the fold is partial until told.
#[test]
fn change_between_two_histories_is_not_judged() {
    let mut log = log_of(3);
    let mut winner = reader(&log);
    let mut other = reader(&log_of(1));
    log.oldest = 3;
    read(&log, &mut other, 0);
    publish(&mut log, &mut other, RETENTION_MS);
    read(&log, &mut winner, 0);
    log.append(0, &change(put(50, 3, "between", 100)));
    publish(&mut log, &mut winner, RETENTION_MS * 3);
    read(&log, &mut other, 0);
    assert_eq!((other.is_complete(), revision(&other)), (false, 3));
    read(&log, &mut winner, 0);
    other.adopt_handover(winner.handover());
    assert_eq!(
        (other.is_complete(), other.config()),
        (true, winner.config())
    );
}

/// A snapshot claims to hold records that come after it. A fold that believed it would skip them.
#[test]
fn snapshot_of_the_future_is_ignored() {
    let mut told = log_of(2);
    let mut teller = reader(&told);
    publish(&mut told, &mut teller, RETENTION_MS);
    let data = told.records[2]
        .data
        .replace(r#""folded_to":2"#, r#""folded_to":9"#);
    let mut late = ConfigFold::default();
    late.skip_to(Offset(2), UnixMs(0));
    late.apply(Offset(2), &data);
    assert_eq!((late.is_complete(), late.next()), (false, Offset(3)));
}

/// Every process was replaced while the log had lost every record: nobody remembers anything. After
/// a long wait the fleet starts anew, rather than refuse changes for ever.
#[test]
fn fleet_that_lost_everything_starts_anew() {
    let mut log = log_of(4);
    log.oldest = 4;
    let mut born = reader(&log);
    assert_eq!(
        Proposal::prepare(put(9, 0, "locks", 100), &born),
        Err(Error::Incomplete)
    );
    publish(&mut log, &mut born, RETENTION_MS);
    log.append(0, &change(put(9, 0, "locks", 100)));
    read(&log, &mut born, 0);
    assert_eq!((revision(&born), revision(&reader(&log))), (1, 1));
}

/// The configuration is larger than a record. It goes out in parts, which two publishers interleave
/// and a late reader joins; a part from another revision does not fit.
#[test]
fn large_configuration_goes_out_in_parts() {
    let mut log = log_of(2_000);
    let mut publishers = [reader(&log), reader(&log)];
    let mut parts = Log::default();
    let count = publish(&mut parts, &mut publishers[0], RETENTION_MS * 2);
    assert_eq!(count, 3);
    let start = log.next().0;
    for record in &parts.records {
        for _ in &publishers {
            let record: ConfigRecord = ConfigRecord::decode(&record.data).expect("it was written");
            log.append(RETENTION_MS, &record);
        }
    }
    log.oldest = start;
    let late = reader(&log);
    assert!(late.is_complete());
    assert_eq!(late.config(), publishers[1].config());
    log.oldest = start + 2;
    assert!(!reader(&log).is_complete(), "the first part expired");
}

/// The operator's command refuses what every fold would ignore, before anything is appended.
#[rstest]
#[case::invalid(put(9, 2, "locks", 0))]
#[case::stale(put(9, 1, "locks", 100))]
fn command_refuses_before_the_append(#[case] draft: ConfigChange) {
    let refusal = Proposal::prepare(draft, &reader(&log_of(2))).expect_err("it is refused");
    let code = refusal.code().number();
    assert!([5008, 5009].contains(&code), "{refusal}");
}

/// The append's answer is lost. The command says nothing before it has read the log up to its end;
/// then it says what it found, or appends the same change again. Both copies may land, and make one
/// revision.
#[rstest]
#[case::took_effect(true)]
#[case::lost_for_good(false)]
fn lost_answer_is_looked_up(#[case] has_landed: bool) {
    let mut log = log_of(2);
    let mut fold = reader(&log);
    let ready = Proposal::prepare(put(9, 2, "locks", 100), &fold).expect("it is valid");
    let record = ConfigRecord::decode(&ready.record()).expect("it was written");
    if has_landed {
        log.append(0, &record);
    }
    log.append(0, &change(put(10, 3, "other", 100)));
    let sent = match ready.apply_append_result(Err(AppendFailure::AnswerLost)) {
        AppendStep::Sent(sent) => sent,
        other => panic!("{other:?}"),
    };
    let ProposalStatus::Undecided(sent) = sent.resolve(&fold, log.next()) else {
        panic!("judged before the log was read");
    };
    read(&log, &mut fold, 0);
    match sent.resolve(&fold, log.next()) {
        ProposalStatus::Accepted(revision) => {
            assert_eq!((has_landed, revision), (true, Revision(3)))
        }
        ProposalStatus::Repeat(ready) => {
            assert!(!has_landed && ready.record() == record.encode());
            for _ in 0..2 {
                log.append(0, &record);
            }
            read(&log, &mut fold, 0);
            assert_eq!(revision(&fold), 3);
        }
        other => panic!("{other:?}"),
    }
}

/// Two operators change the same revision. Both appends are answered; the second is told that it
/// lost, and only when its record was read back.
#[test]
fn loser_is_told() {
    let mut log = log_of(1);
    let mut fold = reader(&log);
    let sent = [20, 21].map(|number| {
        let ready = Proposal::prepare(put(number, 1, "locks", number), &fold).expect("valid");
        let offset = log.append(0, &change(ready.change().clone()));
        match ready.apply_append_result(Ok(offset)) {
            AppendStep::Sent(sent) => sent,
            other => panic!("{other:?}"),
        }
    });
    read(&log, &mut fold, 0);
    let verdicts = sent.map(|sent| sent.resolve(&fold, log.next()));
    insta::assert_snapshot!(format!("{verdicts:?}"), @"[Accepted(Revision(2)), Raced { based_on: Revision(1), found: Revision(2) }]");
}
