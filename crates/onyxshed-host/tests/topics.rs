//! What hosts know of the store's topics, and how owners pass it on.

use onyxshed_adapter::store::{KeyedRecord, Records};
use onyxshed_core::{Millis, Mono};
use onyxshed_host::topic::{TopicLog, TopicUpdate};

/// How long a change may stay unknown.
const UNKNOWN_MAX: Millis = Millis(3_800);

fn at(millis: u64) -> Mono {
    Mono(millis * 1_000)
}

fn record(key: &str, offset: u64) -> KeyedRecord {
    KeyedRecord {
        key: key.into(),
        value: Some(vec![b'v'; 10]),
        offset,
    }
}

/// Returns a log that has read the topic up to the offset `next` at the start.
fn log_at(next: u64) -> TopicLog {
    let mut log = TopicLog::default();
    let newest = Records {
        records: vec![record("a", 0)],
        next,
    };
    log.begin(at(0), &newest);
    log
}

fn offsets(records: &[KeyedRecord]) -> Vec<u64> {
    records.iter().map(|record| record.offset).collect()
}

/// Guards against: a record is applied again after a newer one, because it came from the store and from an owner.
#[test]
fn records_are_applied_once() {
    let mut owner = log_at(5);
    let mut host = log_at(5);
    owner.advance(
        vec![record("a", 5), record("b", 6), record("a", 7)],
        8,
        at(100),
    );
    let update = owner.update_since(at(150), 5).expect("the owner knows");
    assert_eq!(update.age, Millis(50));
    assert_eq!(offsets(&host.apply_update(at(151), update)), [6, 7]);
    assert_eq!(host.position(), Some(8));
    let late = host.advance(vec![record("a", 5), record("b", 6)], 7, at(160));
    assert_eq!(offsets(&late), [0; 0]);
    let overlapping = host.advance(vec![record("a", 7), record("a", 8)], 9, at(170));
    assert_eq!(offsets(&overlapping), [8]);
}

/// Guards against: a host relies on an owner that is itself cut off from the store, and misses a manifest.
#[test]
fn host_reads_the_store_when_its_owner_is_out_of_date() {
    let owner = log_at(5);
    let mut host = log_at(5);
    for now in [1_000, 2_000, 3_000] {
        let update = owner.update_since(at(now), 5).expect("the owner knows");
        host.apply_update(at(now), update);
    }
    assert_eq!(host.read_due(UNKNOWN_MAX), Some(at(3_800)));
    let mut owner = owner;
    owner.advance(Vec::new(), 5, at(3_500));
    let update = owner.update_since(at(3_600), 5).expect("the owner knows");
    host.apply_update(at(3_600), update);
    assert_eq!(host.read_due(UNKNOWN_MAX), Some(at(7_300)));
}

/// Guards against: a host takes a position from an owner that has not read as far, and loses what it knows.
#[test]
fn owner_that_knows_less_confirms_nothing() {
    let mut host = log_at(9);
    let update = log_at(5)
        .update_since(at(2_000), 9)
        .expect("nothing is missing");
    assert_eq!(host.apply_update(at(2_000), update), Vec::new());
    assert_eq!(host.position(), Some(9));
    assert_eq!(host.read_due(UNKNOWN_MAX), Some(at(3_800)));
}

/// Guards against: a removed key stays with hosts whose owner has read the topic only after the removal.
#[test]
fn owner_passes_on_only_what_it_knows_completely() {
    let mut owner = log_at(5);
    let older = owner.update_since(at(0), 4).expect("the topic was read");
    assert_eq!((older.next, older.records.len()), (5, 0));
    let mut host = log_at(4);
    host.apply_update(at(0), older);
    assert_eq!(
        host.read_due(UNKNOWN_MAX),
        None,
        "the host reads the store at once"
    );
    let removal = KeyedRecord {
        value: None,
        ..record("a", 5)
    };
    owner.advance(vec![removal.clone()], 6, at(10));
    let update = owner.update_since(at(10), 5).expect("the owner knows");
    assert_eq!(update.records, vec![removal]);
}

/// Guards against: owners on small hosts spend their links on large manifests instead of jobs.
#[test]
fn large_records_are_read_from_the_store_at_once() {
    let mut owner = log_at(5);
    let large = KeyedRecord {
        value: Some(vec![0; 200_000]),
        ..record("a", 5)
    };
    owner.advance(vec![large], 6, at(100));
    let update = owner.update_since(at(100), 5).expect("the owner knows");
    let omitted = TopicUpdate {
        next: 6,
        age: Millis(0),
        records: Vec::new(),
    };
    assert_eq!(update, omitted);
    let mut host = log_at(5);
    assert_eq!(host.apply_update(at(101), update), Vec::new());
    assert_eq!(host.read_due(UNKNOWN_MAX), None);
}

/// Guards against: a host that starts before the first record of a topic skips it.
#[test]
fn first_record_of_a_topic_is_applied() {
    let mut host = TopicLog::default();
    host.begin_empty(at(0));
    let mut owner = TopicLog::default();
    owner.begin_empty(at(0));
    owner.advance(vec![record("a", 0)], 1, at(5));
    let update = owner.update_since(at(5), 0).expect("the owner knows");
    assert_eq!(offsets(&host.apply_update(at(5), update)), [0]);
}
