//! Encoding and decoding of what an overloaded pool admits.

use onyxshed_core::{CallerId, Millis, Share};
use onyxshed_pool::{CallerLimit, ClassAdmission, ClassId, OverloadState, PoolLoad};

use super::{length, text};
use crate::pool_capnp::{self, pool_load};

/// Writes the state of overload with the classes and callers that it limits.
pub(super) fn write_admissions(
    load: &PoolLoad,
    mut to: pool_load::Builder<'_>,
) -> capnp::Result<()> {
    to.set_overload(match load.overload {
        OverloadState::Normal => pool_capnp::OverloadState::Normal,
        OverloadState::Overloaded => pool_capnp::OverloadState::Overloaded,
        OverloadState::Saturated => pool_capnp::OverloadState::Saturated,
    });
    let class_count = length(&load.admissions)?;
    let mut classes = to.reborrow().init_admissions(class_count);
    for (index, admission) in (0..class_count).zip(&load.admissions) {
        let mut entry = classes.reborrow().get(index);
        entry.set_class(admission.class.0.as_str());
        entry.set_admitted_millis(admission.admitted.millis());
        entry.set_wait_ms(admission.wait.0);
    }
    let caller_count = length(&load.limited_callers)?;
    let mut callers = to.init_limited_callers(caller_count);
    for (index, limit) in (0..caller_count).zip(&load.limited_callers) {
        let mut entry = callers.reborrow().get(index);
        entry.set_caller(limit.caller.0);
        entry.set_admitted_millis(limit.admitted.millis());
    }
    Ok(())
}

/// Reads the state of overload.
pub(super) fn read_state(from: pool_load::Reader<'_>) -> capnp::Result<OverloadState> {
    Ok(match from.get_overload()? {
        pool_capnp::OverloadState::Normal => OverloadState::Normal,
        pool_capnp::OverloadState::Overloaded => OverloadState::Overloaded,
        pool_capnp::OverloadState::Saturated => OverloadState::Saturated,
    })
}

/// Reads what the pool admits of each class.
pub(super) fn read_classes(from: pool_load::Reader<'_>) -> capnp::Result<Vec<ClassAdmission>> {
    let classes = from.get_admissions()?;
    let mut admissions = Vec::new();
    for entry in classes {
        admissions.push(ClassAdmission {
            class: ClassId(text(entry.get_class()?)?),
            admitted: Share::from_millis(entry.get_admitted_millis().into()),
            wait: Millis(entry.get_wait_ms()),
        });
    }
    Ok(admissions)
}

/// Reads what the pool admits of the callers that have used more than their shares.
pub(super) fn read_callers(from: pool_load::Reader<'_>) -> capnp::Result<Vec<CallerLimit>> {
    let callers = from.get_limited_callers()?;
    let limits = callers.iter().map(|entry| CallerLimit {
        caller: CallerId(entry.get_caller()),
        admitted: Share::from_millis(entry.get_admitted_millis().into()),
    });
    Ok(limits.collect())
}
