//! Encoding and decoding of what owners know of the store's topics.

use capnp::struct_list;
use onyxshed_adapter::store::KeyedRecord;
use onyxshed_core::Millis;
use onyxshed_proto::pool;
use onyxshed_proto::pool_capnp::{topic_record, topic_update};

use super::NamedUpdate;
use crate::topic::TopicUpdate;

/// Writes the updates of topics.
pub fn write_updates(
    updates: &[NamedUpdate],
    mut to: struct_list::Builder<'_, topic_update::Owned>,
) -> capnp::Result<()> {
    for (index, (name, update)) in (0..).zip(updates) {
        let mut entry = to.reborrow().get(index);
        entry.set_topic(name.as_str());
        entry.set_next(update.next);
        entry.set_age_ms(update.age.0);
        let mut records = entry.init_records(pool::length(&update.records)?);
        for (position, record) in (0..).zip(&update.records) {
            let mut item = records.reborrow().get(position);
            item.set_key(record.key.as_str());
            item.set_value(record.value.as_deref().unwrap_or_default());
            item.set_offset(record.offset);
        }
    }
    Ok(())
}

/// Reads the updates of topics.
pub fn read_updates(
    from: struct_list::Reader<'_, topic_update::Owned>,
) -> capnp::Result<Vec<NamedUpdate>> {
    let updates = from.iter().map(|entry| {
        let records = entry.get_records()?;
        let update = TopicUpdate {
            next: entry.get_next(),
            age: Millis(entry.get_age_ms()),
            records: records
                .iter()
                .map(read_record)
                .collect::<capnp::Result<_>>()?,
        };
        Ok((entry.get_topic()?.to_str()?.into(), update))
    });
    updates.collect()
}

fn read_record(from: topic_record::Reader<'_>) -> capnp::Result<KeyedRecord> {
    let value = from.get_value()?;
    Ok(KeyedRecord {
        key: from.get_key()?.to_str()?.into(),
        value: (!value.is_empty()).then(|| value.to_vec()),
        offset: from.get_offset(),
    })
}
