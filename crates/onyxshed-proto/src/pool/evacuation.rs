//! Encoding and decoding of the evacuations of availability zones that hosts exchange.

use capnp::struct_list;
use onyxshed_pool::{EvacuationRecord, LogPosition};

use super::text;
use crate::pool_capnp::zone_evacuation;

/// Writes a host's evacuation records to a list, which must have been created with their number.
pub fn write_evacuations(
    records: &[EvacuationRecord],
    mut to: struct_list::Builder<'_, zone_evacuation::Owned>,
) {
    for (index, record) in (0..to.len()).zip(records) {
        let mut entry = to.reborrow().get(index);
        entry.set_zone(record.zone.as_str());
        entry.set_position(record.position.0);
        entry.set_is_evacuated(record.is_evacuated);
    }
}

/// Reads a host's evacuation records.
pub fn read_evacuations(
    from: struct_list::Reader<'_, zone_evacuation::Owned>,
) -> capnp::Result<Vec<EvacuationRecord>> {
    let entries = from.iter().map(|entry| {
        Ok(EvacuationRecord {
            zone: text(entry.get_zone()?)?,
            position: LogPosition(entry.get_position()),
            is_evacuated: entry.get_is_evacuated(),
        })
    });
    entries.collect()
}
