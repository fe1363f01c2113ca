//! Encoding and decoding of the executors that one owner of a zone reads for the others.

use onyxshed_pool::{ExecutorId, ZoneChanges};

use super::transfer::{read_executor, write_executor};
use super::{length, text};
use crate::pool_capnp::zone_executors;

/// Writes what has changed in a zone's executors.
pub fn write_zone_changes(
    changes: &ZoneChanges,
    mut to: zone_executors::Builder<'_>,
) -> capnp::Result<()> {
    to.set_version(changes.version);
    to.set_is_complete(changes.is_complete);
    let mut unlisted = to.reborrow().init_unlisted(length(&changes.unlisted)?);
    for (index, id) in (0..).zip(&changes.unlisted) {
        unlisted.set(index, id.0.as_str());
    }
    let mut listed = to.init_listed(length(&changes.listed)?);
    for (index, (id, facts)) in (0..).zip(&changes.listed) {
        write_executor(id, facts, listed.reborrow().get(index))?;
    }
    Ok(())
}

/// Reads what has changed in a zone's executors.
pub fn read_zone_changes(from: zone_executors::Reader<'_>) -> capnp::Result<ZoneChanges> {
    let listed = from.get_listed()?;
    let unlisted = from.get_unlisted()?;
    Ok(ZoneChanges {
        version: from.get_version(),
        listed: listed
            .iter()
            .map(read_executor)
            .collect::<capnp::Result<_>>()?,
        unlisted: unlisted
            .iter()
            .map(|id| Ok(ExecutorId(text(id?)?)))
            .collect::<capnp::Result<_>>()?,
        is_complete: from.get_is_complete(),
    })
}
