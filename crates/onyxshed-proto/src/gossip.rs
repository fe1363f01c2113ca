//! Encoding and decoding of the gossip between control processes: heartbeats of entry hosts.

use onyxshed_core::{Hlc, Incarnation, Revision, UnixMs};
use onyxshed_state::member::Gossip;
use onyxshed_state::{Heartbeat, LoadDigest};

use crate::error::Result;
use crate::onyxshed_capnp::{gossip, heartbeat};
use crate::text::{check_length, parse};

/// Writes a gossip message with the sender's clock stamp.
pub fn write(from: &Gossip, hlc: Hlc, mut builder: gossip::Builder<'_>) {
    write_heartbeat(&from.from, builder.reborrow().init_from());
    let count = u32::try_from(from.others.len()).unwrap_or(u32::MAX);
    let mut others = builder.reborrow().init_others(count);
    for (index, heartbeat) in (0..count).zip(&from.others) {
        write_heartbeat(heartbeat, others.reborrow().get(index));
    }
    builder.set_has_gone(from.gone.is_some());
    builder.set_gone(from.gone.map_or(0, |gone| gone.0));
    builder.set_hlc(hlc.to_string().as_str());
}

/// Reads a gossip message and the sender's clock stamp. Returns an error if any value is invalid.
pub fn read(reader: gossip::Reader<'_>) -> Result<(Gossip, Hlc)> {
    let list = reader.get_others()?;
    check_length("others", list.len())?;
    let others = list.iter().map(read_heartbeat).collect::<Result<_>>()?;
    let gone = Incarnation(reader.get_gone());
    let message = Gossip {
        from: read_heartbeat(reader.get_from()?)?,
        others,
        gone: reader.get_has_gone().then_some(gone),
    };
    Ok((message, parse("hlc", reader.get_hlc())?))
}

fn write_heartbeat(from: &Heartbeat, mut builder: heartbeat::Builder<'_>) {
    builder.set_host(from.host.as_str());
    builder.set_zone(from.zone.as_str());
    builder.set_incarnation(from.incarnation.0);
    builder.set_started_at_ms(from.started_at_ms.0);
    builder.set_control_address(from.control_address.to_string().as_str());
    builder.set_peer_address(from.peer_address.to_string().as_str());
    builder.set_counter(from.counter);
    builder.set_running_tasks(from.load.running_tasks);
    builder.set_queued_tasks(from.load.queued_tasks);
    builder.set_config_revision(from.config_revision.0);
    builder.set_is_draining(from.is_draining);
}

fn read_heartbeat(reader: heartbeat::Reader<'_>) -> Result<Heartbeat> {
    Ok(Heartbeat {
        host: parse("host", reader.get_host())?,
        zone: parse("zone", reader.get_zone())?,
        incarnation: Incarnation(reader.get_incarnation()),
        started_at_ms: UnixMs(reader.get_started_at_ms()),
        control_address: parse("controlAddress", reader.get_control_address())?,
        peer_address: parse("peerAddress", reader.get_peer_address())?,
        counter: reader.get_counter(),
        load: LoadDigest {
            running_tasks: reader.get_running_tasks(),
            queued_tasks: reader.get_queued_tasks(),
        },
        config_revision: Revision(reader.get_config_revision()),
        is_draining: reader.get_is_draining(),
    })
}
