//! Encoding and decoding of a handover: a configuration with its offset in the log, sent by one control
//! process to another.

use onyxshed_core::{Offset, UnixMs};
use onyxshed_state::Handover;

use crate::config;
use crate::error::Result;
use crate::onyxshed_capnp::handover;
use crate::text::{check_length, parse};

/// Writes a handover to a message.
pub fn write(from: &Handover, mut builder: handover::Builder<'_>) {
    config::write(&from.config, builder.reborrow().init_config());
    builder.set_folded_to(from.folded_to.0);
    let count = u32::try_from(from.recent_changes.len()).unwrap_or(u32::MAX);
    let mut changes = builder.reborrow().init_recent_changes(count);
    for (index, change) in (0..count).zip(&from.recent_changes) {
        changes.set(index, change.to_string().as_str());
    }
    builder.set_has_needed_since(from.needed_since.is_some());
    builder.set_needed_since_ms(from.needed_since.unwrap_or_default().0);
    builder.set_is_complete(from.is_complete);
}

/// Reads a handover from a message. Returns an error if any value in it is invalid.
pub fn read(reader: handover::Reader<'_>) -> Result<Handover> {
    let list = reader.get_recent_changes()?;
    check_length("recentChanges", list.len())?;
    let recent_changes = list
        .iter()
        .map(|change| parse("recentChanges", change))
        .collect::<Result<_>>()?;
    let needed_since = UnixMs(reader.get_needed_since_ms());
    Ok(Handover {
        config: config::read(reader.get_config()?)?,
        folded_to: Offset(reader.get_folded_to()),
        recent_changes,
        needed_since: reader.get_has_needed_since().then_some(needed_since),
        is_complete: reader.get_is_complete(),
    })
}
