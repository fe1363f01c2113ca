//! The limits of the host's machine, divided among its clients.

use onyxshed_adapter::HostSettings;
use onyxshed_core::{Bytes, Event, EventKind};
use onyxshed_http::{CapacityPlan, MachineLimits};
use onyxshed_kernel::Kernel;
use rustix::process::{Resource, getrlimit};
use smol_str::format_smolstr;

/// Bytes in a megabyte of the settings.
const MEGABYTE: u64 = 1_000_000;

/// Divides the limits of the machine that the settings describe, and logs the result.
pub fn divide(kernel: &Kernel, settings: &HostSettings) -> CapacityPlan {
    let limits = MachineLimits {
        memory: Bytes(settings.memory_mb.saturating_mul(MEGABYTE)),
        descriptors_max: settings.descriptors_max.unwrap_or_else(process_limit),
    };
    let plan = CapacityPlan::new(limits);
    let kind = match plan.fits(limits) {
        true => EventKind::LimitsInForce,
        false => EventKind::MachineTooSmall,
    };
    let MachineLimits {
        memory,
        descriptors_max,
    } = limits;
    let detail = format_smolstr!("of {memory} and {descriptors_max} descriptors: {plan}");
    kernel.emit(Event::new(kind).detail(detail));
    plan
}

/// Returns the operating system's limit on the descriptors of this process.
fn process_limit() -> u64 {
    getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX)
}
