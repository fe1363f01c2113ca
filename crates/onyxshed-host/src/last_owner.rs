//! Who owned a pool last, as the owners write it into the store.
//!
//! The store's books show who holds a pool's partition now. When they show nobody, the last owner
//! may serve on all the same: its membership lapsed while the store was away. A host that has just
//! started has never heard it, and finds it here.

use std::time::Duration;

use onyxshed_adapter::Store;
use onyxshed_adapter::store::{KeyedRecord, Records};
use onyxshed_core::Millis;
use onyxshed_pool::PoolId;
use smol_str::{SmolStr, format_smolstr};

use crate::directory::Directory;
use crate::store_watch::ANSWER_TIMEOUT;
use crate::topic::{TopicOptions, TopicReader};

/// Topic of this system's own records, by pool.
const TOPIC: &str = "keyed.onyxshed.owners";

/// How long a read waits at the store for the record of a new owner.
const LONG_POLL_WAIT: Millis = Millis(10_000);

/// Time between two reads while there is no record at all.
const ABSENT_TOPIC_PERIOD: Duration = Duration::from_millis(1_000);

/// Tries to write down who owns a pool from now on, by its member's name in the pool's group.
pub async fn write(store: &mut Store, pool: &PoolId, member: &str) -> onyxshed_adapter::Result<()> {
    let key = format_smolstr!("{pool}");
    let value = member.as_bytes();
    store
        .append_keyed(TOPIC, None, &key, value, ANSWER_TIMEOUT)
        .await
        .map(drop)
}

/// Tries to read who wrote itself down last; none if nobody ever did.
pub async fn read(store: &mut Store, pool: &PoolId) -> onyxshed_adapter::Result<Option<SmolStr>> {
    let Some(newest) = store.newest_if_any(TOPIC, ANSWER_TIMEOUT).await? else {
        return Ok(None);
    };
    let key = format_smolstr!("{pool}");
    let mut records = newest.records.into_iter();
    let record = records.find(|record| record.key == key);
    Ok(record.and_then(member_of))
}

/// Gets the name of the member that a record holds.
fn member_of(record: KeyedRecord) -> Option<SmolStr> {
    let bytes = record.value?;
    String::from_utf8(bytes).ok().map(SmolStr::from)
}

/// How the records of new owners are followed.
pub const TOPIC_OPTIONS: TopicOptions = TopicOptions {
    name: TOPIC,
    wait: LONG_POLL_WAIT,
    absent_period: Some(ABSENT_TOPIC_PERIOD),
};

/// Passes the records of new owners to the directory. Earlier ones may name owners that are gone.
impl TopicReader for Directory {
    fn apply_snapshot(&self, _newest: Records) {}

    fn apply_record(&self, record: KeyedRecord) {
        let pool: Option<PoolId> = record.key.parse().ok();
        if let (Some(pool), Some(member)) = (pool, member_of(record)) {
            self.observe_owner_record(&pool, member);
        }
    }
}
