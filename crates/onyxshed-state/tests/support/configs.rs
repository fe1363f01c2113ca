//! Changes and a log for the configuration tests.

use onyxshed_core::{ChangeId, ClassTarget, Millis, Offset, Revision, UnixMs};
use onyxshed_wire::platform::Record;
use onyxshed_wire::record::{ChangeBody, ConfigChange, ConfigRecord};
use ulid::Ulid;

pub const RETENTION_MS: u64 = 1_800_000;

/// Returns a change that sets a class's target.
pub fn put(number: u64, based_on: u64, class: &str, finish_within_ms: u64) -> ConfigChange {
    ConfigChange {
        change_id: ChangeId(Ulid(number.into())),
        based_on: Revision(based_on),
        body: ChangeBody::Put(ClassTarget {
            class: class.parse().expect("the name is valid"),
            upstream: "orders".parse().expect("the name is valid"),
            finish_within_ms: Millis(finish_within_ms),
            may_run_twice: false,
        }),
    }
}

/// A log whose oldest records can expire.
#[derive(Default)]
pub struct Log {
    pub records: Vec<Record>,
    pub oldest: u64,
}

impl Log {
    pub fn append(&mut self, at_ms: u64, record: &ConfigRecord) -> Offset {
        let offset = self.next();
        self.records.push(Record {
            offset,
            at_ms: UnixMs(at_ms),
            data: record.encode(),
        });
        offset
    }

    pub fn next(&self) -> Offset {
        Offset(self.records.len() as u64)
    }
}
