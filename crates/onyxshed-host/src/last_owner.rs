//! Who owned a pool last, as the owners write it into the store.
//!
//! The store's books show who holds a pool's partition now. When they show nobody, the last owner
//! may serve on all the same: its membership lapsed while the store was away. A host that has just
//! started has never heard it, and finds it here.

use onyxshed_adapter::Store;
use onyxshed_pool::PoolId;
use smol_str::{SmolStr, format_smolstr};

use crate::store_watch::ANSWER_TIMEOUT;

/// Topic of this system's own records, by pool.
const TOPIC: &str = "keyed.onyxshed.owners";

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
    let value = record.and_then(|record| record.value);
    Ok(value.and_then(|bytes| String::from_utf8(bytes).ok().map(SmolStr::from)))
}
