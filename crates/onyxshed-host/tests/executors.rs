//! Entries of executors that a read of the store returns.

use onyxshed_adapter::store::KeyedRecord;
use onyxshed_host::executors::newest_entries;
use serde_json::{Value, json};

fn entry(state: &str) -> Value {
    json!({
        "service": "desk", "address": "10.0.0.1:80", "zone": "a", "state": state,
        "capacity": {"cpu": 64_000, "mem_mb": 128}, "labels": ["a", "r1-2"],
    })
}

fn record(key: &str, offset: u64, value: Option<&Value>) -> KeyedRecord {
    KeyedRecord {
        key: key.into(),
        value: value.map(|value| value.to_string().into_bytes()),
        offset,
    }
}

/// Guards against: an executor that drains gets tasks, because the read also returns an older entry, or a record of
/// another writer under its id.
#[test]
fn newest_readable_entry_of_each_executor_counts() {
    let records = [
        record("e1", 0, Some(&entry("ready"))),
        record("e2", 1, Some(&entry("ready"))),
        record("e1", 2, Some(&entry("draining"))),
        record("e1", 3, Some(&json!({"state": 7}))),
        record("e2", 4, None),
    ];
    let (entries, unreadable) = newest_entries(&records);
    let states = entries.values().map(|entry| {
        let entry = entry.as_ref();
        entry.map(|entry| entry.is_draining)
    });
    assert_eq!(states.collect::<Vec<_>>(), [Some(true), None]);
    let ids: Vec<&str> = unreadable.iter().map(|(id, _)| id.as_str()).collect();
    assert_eq!(ids, ["e1"]);
}
