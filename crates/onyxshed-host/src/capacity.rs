//! The limits of the host's machine, divided among its clients.

use onyxshed_adapter::HostSettings;
use onyxshed_core::Bytes;
use onyxshed_http::{CapacityPlan, MachineLimits};
use rustix::process::{Resource, getrlimit};

/// Bytes in a megabyte of the settings.
const MEGABYTE: u64 = 1_000_000;

/// Divides the limits of the machine that the settings describe.
pub fn plan(settings: &HostSettings) -> CapacityPlan {
    CapacityPlan::new(MachineLimits {
        memory: Bytes(settings.memory_mb.saturating_mul(MEGABYTE)),
        descriptors_max: settings.descriptors_max.unwrap_or_else(process_limit),
    })
}

/// Returns the operating system's limit on the descriptors of this process.
fn process_limit() -> u64 {
    getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX)
}
