//! The division of a machine's memory and descriptors.

use onyxshed_core::Bytes;
use onyxshed_http::capacity::{CapacityPlan, MachineLimits, sockets_max};
use proptest::prelude::{ProptestConfig, prop_assert, proptest};

/// The smallest machine whose limits are kept.
const SMALLEST: MachineLimits = MachineLimits {
    memory: Bytes(40_000_000),
    descriptors_max: 264,
};

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_096))]

    /// Guards against limits that add up to more than the machine has.
    #[test]
    fn plan_keeps_within_the_machine(
        memory in SMALLEST.memory.0..1_000_000_000_000,
        descriptors_max in SMALLEST.descriptors_max..1_000_000,
    ) {
        let limits = MachineLimits { memory: Bytes(memory), descriptors_max };
        let plan = CapacityPlan::new(limits);
        prop_assert!(plan.fits(limits));
        prop_assert!(plan.committed_bytes() <= limits.memory, "{plan:?}");
        prop_assert!(plan.committed_sockets() <= sockets_max(limits), "{plan:?}");
        prop_assert!(plan.callers.connections_max >= 8, "{plan:?}");
        prop_assert!(plan.minor.connections_max >= 1, "{plan:?}");
    }
}

/// Guards against a change of the limits on the machines that the users have.
#[test]
fn limits_of_an_ordinary_machine() {
    let plan = CapacityPlan::new(MachineLimits {
        memory: Bytes(260_000_000),
        descriptors_max: 4_100,
    });
    insta::assert_debug_snapshot!(plan);
}

/// Guards against a machine whose limits are exceeded without notice.
#[test]
fn machine_that_is_too_small_is_told_apart() {
    let limits = MachineLimits {
        memory: Bytes(20_000_000),
        ..SMALLEST
    };
    assert!(!CapacityPlan::new(limits).fits(limits));
}
