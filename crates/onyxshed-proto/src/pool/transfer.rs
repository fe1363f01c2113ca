//! Encoding and decoding of the messages by which the ownership of a pool moves to a successor.

use onyxshed_core::UnixMs;
use onyxshed_pool::{
    ExecutorFacts, ExecutorId, FencingToken, OwnershipTransfer, Resources, SuccessorOffer,
};
use smol_str::format_smolstr;

use super::{address, length, non_empty, text};
use crate::pool_capnp::{ownership_transfer, pool_executor, successor_offer};

/// Writes the offer of a host that could own a pool.
pub fn write_offer(offer: SuccessorOffer, mut to: successor_offer::Builder<'_>) {
    to.set_address(format_smolstr!("{}", offer.address).as_str());
    to.set_cpu_millis(offer.cpu_millis);
}

/// Reads the offer of a host that could own a pool.
pub fn read_offer(from: successor_offer::Reader<'_>) -> capnp::Result<SuccessorOffer> {
    Ok(SuccessorOffer {
        address: address(&text(from.get_address()?)?)?,
        cpu_millis: from.get_cpu_millis(),
    })
}

/// Writes the state of a pool that its owner transfers to the successor.
pub fn write_transfer(
    transfer: &OwnershipTransfer,
    mut to: ownership_transfer::Builder<'_>,
) -> capnp::Result<()> {
    to.set_token(transfer.token.0);
    let mut members = to
        .reborrow()
        .init_past_members(length(&transfer.past_members)?);
    for (index, member) in (0..).zip(&transfer.past_members) {
        members.set(index, member.as_str());
    }
    let mut list = to.init_executors(length(&transfer.executors)?);
    for (index, (id, facts)) in (0..).zip(&transfer.executors) {
        write_executor(id, facts, list.reborrow().get(index))?;
    }
    Ok(())
}

/// Writes an executor and its facts.
pub fn write_executor(
    id: &ExecutorId,
    facts: &ExecutorFacts,
    mut to: pool_executor::Builder<'_>,
) -> capnp::Result<()> {
    to.set_id(id.0.as_str());
    to.set_address(format_smolstr!("{}", facts.address).as_str());
    to.set_upstream(facts.upstream.as_str());
    to.set_cpu_millis(facts.capacity.cpu_millis);
    to.set_memory_mb(facts.capacity.memory_mb);
    to.set_accelerators(facts.capacity.accelerators);
    to.set_rack(facts.rack.as_deref().unwrap_or_default());
    to.set_is_draining(facts.is_draining);
    to.set_born_ms(facts.started_at.map_or(0, |started_at| started_at.0));
    let mut labels = to.init_labels(length(&facts.labels)?);
    for (position, label) in (0..).zip(&facts.labels) {
        labels.set(position, label.as_str());
    }
    Ok(())
}

/// Reads the state of a pool that its owner transfers to the successor.
pub fn read_transfer(from: ownership_transfer::Reader<'_>) -> capnp::Result<OwnershipTransfer> {
    let executors = from.get_executors()?;
    let members = from.get_past_members()?;
    Ok(OwnershipTransfer {
        token: FencingToken(from.get_token()),
        past_members: members
            .iter()
            .map(|member| text(member?))
            .collect::<capnp::Result<_>>()?,
        executors: executors
            .iter()
            .map(read_executor)
            .collect::<capnp::Result<_>>()?,
    })
}

/// Reads an executor and its facts.
pub fn read_executor(
    from: pool_executor::Reader<'_>,
) -> capnp::Result<(ExecutorId, ExecutorFacts)> {
    Ok((ExecutorId(text(from.get_id()?)?), read_facts(from)?))
}

fn read_facts(from: pool_executor::Reader<'_>) -> capnp::Result<ExecutorFacts> {
    let labels = from.get_labels()?;
    let started_at_ms = from.get_born_ms();
    Ok(ExecutorFacts {
        address: address(&text(from.get_address()?)?)?,
        upstream: text(from.get_upstream()?)?,
        capacity: Resources {
            cpu_millis: from.get_cpu_millis(),
            memory_mb: from.get_memory_mb(),
            accelerators: from.get_accelerators(),
        },
        labels: labels
            .iter()
            .map(|label| text(label?))
            .collect::<capnp::Result<_>>()?,
        rack: non_empty(text(from.get_rack()?)?),
        is_draining: from.get_is_draining(),
        started_at: (started_at_ms > 0).then_some(UnixMs(started_at_ms)),
    })
}
