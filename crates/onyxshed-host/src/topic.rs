//! Follows a keyed topic of the platform's store with long reads.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use onyxshed_adapter::store::{KeyedRecord, Records};
use onyxshed_adapter::{Error, Store};
use onyxshed_core::Millis;

use crate::store_watch::{ANSWER_TIMEOUT, StoreWatch};

/// Status of a topic that nothing was ever written to.
const NO_SUCH_TOPIC: u16 = 404;

/// What is done with a topic's records.
pub trait TopicReader {
    /// Takes in the newest record of each key; called first, and again after a call has failed.
    fn apply_snapshot(&self, newest: Records);

    /// Takes in a record that was written since.
    fn apply_record(&self, record: KeyedRecord);
}

/// How a topic is followed.
#[derive(Debug, Clone, Copy)]
pub struct TopicOptions {
    /// Its name.
    pub name: &'static str,
    /// How long a read waits at the store for a change.
    pub wait: Millis,
    /// Time between two looks at a topic that does not exist; none if it has to exist.
    pub absent_period: Option<Duration>,
}

/// Passes a topic's records to a reader for as long as the process lives.
pub async fn follow(
    topic: TopicOptions,
    address: SocketAddr,
    watch: StoreWatch,
    reader: Rc<dyn TopicReader>,
) -> Infallible {
    let mut store = Store::new(address);
    loop {
        if let Err(error) = follow_once(topic, &mut store, &watch, &*reader).await {
            watch.pause_before_reread(&error).await;
        }
    }
}

/// Reads the newest state and every change from there on until a call fails, or pauses if there is no topic.
async fn follow_once(
    topic: TopicOptions,
    store: &mut Store,
    watch: &StoreWatch,
    reader: &dyn TopicReader,
) -> onyxshed_adapter::Result<()> {
    let Some(newest) = store.newest_if_any(topic.name, ANSWER_TIMEOUT).await? else {
        let status = NO_SUCH_TOPIC;
        let pause = topic.absent_period.ok_or(Error::Status { status })?;
        watch.record_answer();
        Timer::after(pause).await;
        return Ok(());
    };
    let mut next = newest.next;
    reader.apply_snapshot(newest);
    let timeout = ANSWER_TIMEOUT + Duration::from(topic.wait);
    loop {
        watch.record_answer();
        let read = store
            .read_keyed(topic.name, next, topic.wait, timeout)
            .await?;
        next = read.next;
        read.records
            .into_iter()
            .for_each(|record| reader.apply_record(record));
    }
}
