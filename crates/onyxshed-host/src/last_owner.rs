//! Who owned a pool last, as the owners write it into the store.
//!
//! The store's books show who holds a pool's partition now. When they show nobody, the last owner
//! may serve on all the same: its membership lapsed while the store was away. A host that has just
//! started has never heard it, and finds it here.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use onyxshed_adapter::Store;
use onyxshed_adapter::store::KeyedRecord;
use onyxshed_core::Millis;
use onyxshed_pool::PoolId;
use smol_str::{SmolStr, format_smolstr};

use crate::directory::Directory;
use crate::store_watch::{ANSWER_TIMEOUT, StoreWatch};

/// Topic of this system's own records, by pool.
const TOPIC: &str = "keyed.onyxshed.owners";

/// How long a read waits at the store for the record of a new owner.
const WAIT: Millis = Millis(10_000);

/// Time between two reads while there is no record at all.
const EMPTY_PERIOD: Duration = Duration::from_millis(1_000);

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

/// Passes the records of new owners to the directory, for as long as the process lives.
pub async fn follow(directory: Rc<Directory>, address: SocketAddr, watch: StoreWatch) {
    let mut store = Store::new(address);
    loop {
        if let Err(error) = follow_once(&directory, &mut store, &watch).await {
            watch.before_reading_anew(&error).await;
        }
    }
}

/// Reads records from now on, until a call fails. Earlier ones may name owners that are gone.
async fn follow_once(
    directory: &Directory,
    store: &mut Store,
    watch: &StoreWatch,
) -> onyxshed_adapter::Result<()> {
    let Some(newest) = store.newest_if_any(TOPIC, ANSWER_TIMEOUT).await? else {
        watch.answered();
        Timer::after(EMPTY_PERIOD).await;
        return Ok(());
    };
    let mut next = newest.next;
    let timeout = ANSWER_TIMEOUT + Duration::from(WAIT);
    loop {
        watch.answered();
        let read = store.read_keyed(TOPIC, next, WAIT, timeout).await?;
        next = read.next;
        for record in read.records {
            let pool: Option<PoolId> = record.key.parse().ok();
            if let (Some(pool), Some(member)) = (pool, member_of(record)) {
                directory.observe_owner_record(&pool, member);
            }
        }
    }
}
