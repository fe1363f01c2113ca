//! Encoding and decoding of messages between entry hosts and owners of pools.

mod admission;
mod evacuation;
mod peer_state;
mod transfer;
mod zone_executors;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use capnp::struct_list;
use onyxshed_core::{CallerId, Millis};
use onyxshed_pool::{
    ClassId, ExecutorId, JobEnd, JobId, JobRequest, NotRunReason, PeerIncarnation, PoolLoad,
    Resources, SubmissionNumber, UnknownReason,
};
use smol_str::{SmolStr, format_smolstr};

use crate::pool_capnp::{PoolEndKind, pool_end, pool_job, pool_load, pool_port, topic_position};

pub use evacuation::{read_evacuations, write_evacuations};
pub use peer_state::{PeerState, read_peer_state, write_peer_state};
pub use transfer::{read_offer, read_transfer, write_offer, write_transfer};
pub use zone_executors::{read_zone_changes, write_zone_changes};

/// Writes the load of a pool as its owner computed it. The schema's names for `needs_replacement`
/// and `is_closed` are `isLeaving` and `isClosing`.
///
/// # Errors
///
/// Fails if the load lists more classes or callers than a message can contain.
pub fn write_load(load: &PoolLoad, mut to: pool_load::Builder<'_>) -> capnp::Result<()> {
    to.set_capacity_cpu_millis(load.capacity_cpu_millis);
    to.set_free_cpu_millis(load.free_cpu_millis);
    to.set_waiting_work(load.waiting_work);
    to.set_is_leaving(load.needs_replacement);
    to.set_is_closing(load.is_closed);
    if let Some(successor) = load.successor {
        to.set_successor(format_smolstr!("{successor}").as_str());
    }
    to.set_version(load.version);
    to.set_running_work(load.running_work);
    to.set_speed_millis(load.speed_millis);
    admission::write_admissions(load, to)
}

/// Reads the load of a pool as its owner computed it.
pub fn read_load(from: pool_load::Reader<'_>) -> capnp::Result<PoolLoad> {
    let successor = non_empty(text(from.get_successor()?)?);
    Ok(PoolLoad {
        capacity_cpu_millis: from.get_capacity_cpu_millis(),
        free_cpu_millis: from.get_free_cpu_millis(),
        waiting_work: from.get_waiting_work(),
        needs_replacement: from.get_is_leaving(),
        is_closed: from.get_is_closing(),
        successor: successor.as_deref().map(address).transpose()?,
        version: from.get_version(),
        running_work: from.get_running_work(),
        speed_millis: from.get_speed_millis(),
        overload: admission::read_state(from)?,
        admissions: admission::read_classes(from)?,
        limited_callers: admission::read_callers(from)?,
    })
}

/// Returns the length of a list as a `u32`, or an error if it is too large for one.
pub fn length<T>(list: &[T]) -> capnp::Result<u32> {
    u32::try_from(list.len()).map_err(|error| capnp::Error::failed(error.to_string()))
}

fn address(text: &str) -> capnp::Result<SocketAddr> {
    let parsed = text.parse();
    parsed.map_err(|_| capnp::Error::failed("an address can't be read".to_owned()))
}

/// Writes the reply to a release request: the ids of the executors that the pool's previous owner
/// still uses; empty if there are none.
pub fn write_held_executors(
    executors: &[ExecutorId],
    to: pool_port::release_results::Builder<'_>,
) -> capnp::Result<()> {
    let count = length(executors)?;
    let mut list = to.init_held(count);
    for (index, id) in (0..count).zip(executors) {
        list.set(index, id.0.as_str());
    }
    Ok(())
}

/// Reads the reply to a release request: the ids of the executors that the pool's previous owner
/// still uses; empty if there are none.
pub fn read_held_executors(
    from: pool_port::release_results::Reader<'_>,
) -> capnp::Result<BTreeSet<ExecutorId>> {
    let held = from.get_held()?;
    held.iter().map(|id| Ok(ExecutorId(text(id?)?))).collect()
}

/// Reads the topics that a host follows through an owner, with its position in each.
pub fn read_positions(
    from: struct_list::Reader<'_, topic_position::Owned>,
) -> capnp::Result<Vec<(SmolStr, u64)>> {
    from.iter()
        .map(|entry| Ok((text(entry.get_topic()?)?, entry.get_next())))
        .collect()
}

/// Writes a job that an entry host submits to an owner.
pub fn write_job(job: &JobRequest, mut to: pool_job::Builder<'_>) {
    to.set_job(job.job.0);
    to.set_submission(job.submission.0);
    to.set_upstream(job.upstream.as_str());
    to.set_spec(job.spec.as_str());
    to.set_tasks(job.tasks);
    to.set_cpu_millis(job.demand.cpu_millis);
    to.set_memory_mb(job.demand.memory_mb);
    to.set_accelerators(job.demand.accelerators);
    to.set_estimate_ms(job.estimate.0);
    to.set_attempts_max(job.attempts_max);
    to.set_stretch_millis(job.stretch_millis);
    to.set_objective_ms(job.objective.0);
    to.set_spent_ms(job.elapsed.0);
    to.set_time_left_ms(job.time_left.0);
    to.set_label(job.label.as_deref().unwrap_or_default());
    to.set_data_rack(job.data_rack.as_deref().unwrap_or_default());
    to.set_per_executor_max(job.per_executor_max.unwrap_or_default());
    to.set_class(job.class.0.as_str());
    to.set_priority(job.priority);
    to.set_caller(job.caller.0);
    to.set_transfers(job.transfers);
}

/// Reads a job that the entry host `peer` submits.
pub fn read_job(peer: PeerIncarnation, from: pool_job::Reader<'_>) -> capnp::Result<JobRequest> {
    let per_executor_max = from.get_per_executor_max();
    Ok(JobRequest {
        peer,
        submission: SubmissionNumber(from.get_submission()),
        job: JobId(from.get_job()),
        upstream: text(from.get_upstream()?)?,
        spec: text(from.get_spec()?)?,
        tasks: from.get_tasks(),
        demand: Resources {
            cpu_millis: from.get_cpu_millis(),
            memory_mb: from.get_memory_mb(),
            accelerators: from.get_accelerators(),
        },
        estimate: Millis(from.get_estimate_ms()),
        attempts_max: from.get_attempts_max(),
        stretch_millis: from.get_stretch_millis(),
        objective: Millis(from.get_objective_ms()),
        elapsed: Millis(from.get_spent_ms()),
        time_left: Millis(from.get_time_left_ms()),
        label: non_empty(text(from.get_label()?)?),
        data_rack: non_empty(text(from.get_data_rack()?)?),
        per_executor_max: (per_executor_max > 0).then_some(per_executor_max),
        class: ClassId(text(from.get_class()?)?),
        priority: from.get_priority(),
        caller: CallerId(from.get_caller()),
        transfers: from.get_transfers(),
    })
}

fn text(from: capnp::text::Reader<'_>) -> capnp::Result<SmolStr> {
    Ok(from.to_str()?.into())
}

fn non_empty(text: SmolStr) -> Option<SmolStr> {
    (!text.is_empty()).then_some(text)
}

/// Returns the number of a reason in messages: its index in `reasons`, the list of all reasons of
/// its kind, or 0 if the list does not contain it.
fn reason_number<T: PartialEq>(reasons: &[T], reason: &T) -> u8 {
    let found = reasons.iter().position(|known| known == reason);
    found
        .and_then(|index| u8::try_from(index).ok())
        .unwrap_or_default()
}

/// Writes how a job ended, with the number of the reason if it was not run or its end is unknown.
pub fn write_end(end: &JobEnd, mut to: pool_end::Builder<'_>) {
    match end {
        JobEnd::Completed => to.set_kind(PoolEndKind::Completed),
        JobEnd::Failed => to.set_kind(PoolEndKind::Failed),
        JobEnd::NotRun(reason, retry_after) => {
            to.set_kind(PoolEndKind::NotRun);
            to.set_reason(reason_number(&NotRunReason::ALL, reason));
            to.set_retry_after_ms(retry_after.0);
        }
        JobEnd::Unknown(reason) => {
            to.set_kind(PoolEndKind::Unknown);
            to.set_reason(reason_number(&UnknownReason::ALL, reason));
        }
    }
}

/// Reads how a job ended. Returns an error if the number of the reason is not known.
pub fn read_end(from: pool_end::Reader<'_>) -> capnp::Result<JobEnd> {
    let reason = usize::from(from.get_reason());
    let unknown_reason = || capnp::Error::failed("a reason is not known".to_owned());
    Ok(match from.get_kind()? {
        PoolEndKind::Completed => JobEnd::Completed,
        PoolEndKind::Failed => JobEnd::Failed,
        PoolEndKind::NotRun => {
            let reason = NotRunReason::ALL.get(reason).ok_or_else(unknown_reason)?;
            JobEnd::NotRun(*reason, Millis(from.get_retry_after_ms()))
        }
        PoolEndKind::Unknown => {
            let reason = UnknownReason::ALL.get(reason).ok_or_else(unknown_reason)?;
            JobEnd::Unknown(*reason)
        }
    })
}
