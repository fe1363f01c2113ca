//! Owner records: each new owner of a pool writes its member name into the store.
//!
//! The pool's group shows the current holder of its partition. If it shows none, the last owner may
//! still be serving, since its membership expires while the store is unavailable. A host that has
//! just started has no link to that owner and finds its address in the record.

use std::time::Duration;

use onyxshed_adapter::Store;
use onyxshed_adapter::store::{KeyedRecord, Records};
use onyxshed_core::Millis;
use onyxshed_pool::PoolId;
use smol_str::{SmolStr, format_smolstr};

use crate::directory::Directory;
use crate::store_calls::StorePurpose;
use crate::store_watch::ANSWER_TIMEOUT;
use crate::topic::{TopicOptions, TopicReader};

/// Topic of the owner records, with the pool as key.
const TOPIC: &str = "keyed.onyxshed.owners";

/// How long the record of a new owner may stay unknown.
const UNKNOWN_MAX: Millis = Millis(10_000);

/// Interval between two reads while the topic does not exist.
const ABSENT_TOPIC_PERIOD: Duration = Duration::from_millis(1_000);

/// Writes the owner record of a pool, with the member name of its new owner in the pool's group.
pub async fn write(store: &mut Store, pool: &PoolId, member: &str) -> onyxshed_adapter::Result<()> {
    let key = format_smolstr!("{pool}");
    let value = member.as_bytes();
    store
        .append_keyed(TOPIC, None, &key, value, ANSWER_TIMEOUT)
        .await
        .map(drop)
}

/// Reads the member name of a pool's last owner. Returns `None` if the pool has no owner record.
pub async fn read(store: &mut Store, pool: &PoolId) -> onyxshed_adapter::Result<Option<SmolStr>> {
    let Some(newest) = store.read_newest_if_exists(TOPIC, ANSWER_TIMEOUT).await? else {
        return Ok(None);
    };
    let key = format_smolstr!("{pool}");
    let mut records = newest.records.into_iter();
    let record = records.find(|record| record.key == key);
    Ok(record.and_then(member_of))
}

/// Returns the member name in an owner record, or `None` if the record is empty or not valid UTF-8.
fn member_of(record: KeyedRecord) -> Option<SmolStr> {
    let bytes = record.value?;
    String::from_utf8(bytes).ok().map(SmolStr::from)
}

/// Options with which every host follows the owner records.
pub const TOPIC_OPTIONS: TopicOptions = TopicOptions {
    name: TOPIC,
    purpose: StorePurpose::OwnerRecords,
    unknown_max: UNKNOWN_MAX,
    absent_period: Some(ABSENT_TOPIC_PERIOD),
};

/// Passes the records of owners to the directory. The snapshot may name owners that no longer exist.
impl TopicReader for Directory {
    fn apply_snapshot(&self, newest: Records) {
        for (pool, member) in newest.records.into_iter().filter_map(owner_of) {
            self.observe_past_owner(&pool, member);
        }
    }

    fn apply_record(&self, record: KeyedRecord) {
        if let Some((pool, member)) = owner_of(record) {
            self.observe_owner_record(&pool, member);
        }
    }
}

/// Returns the pool and the member name of an owner record, or `None` if it is malformed.
fn owner_of(record: KeyedRecord) -> Option<(PoolId, SmolStr)> {
    let pool = record.key.parse().ok()?;
    Some((pool, member_of(record)?))
}
