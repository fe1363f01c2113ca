//! The division of a machine's memory and descriptors.

use onyxshed_core::Bytes;
use onyxshed_http::capacity::{CapacityPlan, MachineLimits, sockets_max};
use rstest::rstest;

/// The smallest machine whose limits are kept.
const SMALLEST: MachineLimits = MachineLimits {
    memory: Bytes(56_000_000),
    descriptors_max: 264,
};

/// Guards against limits that add up to more than the machine has.
#[test]
fn plan_keeps_within_the_machine() {
    let megabytes = (SMALLEST.memory.0 / 1_000_000..2_000).chain([4_000, 16_000, 1_000_000]);
    for megabyte in megabytes {
        for descriptors_max in [SMALLEST.descriptors_max, 400, 1_024, 3_075, 4_100, 65_536] {
            let limits = MachineLimits {
                memory: Bytes(megabyte * 1_000_000),
                descriptors_max,
            };
            let plan = CapacityPlan::new(limits);
            assert!(plan.fits(limits), "{limits:?} {plan:?}");
            assert!(plan.callers.connections_max >= 8, "{limits:?} {plan:?}");
            assert!(plan.minor.connections_max >= 1, "{limits:?} {plan:?}");
            let others = sockets_max(limits) - plan.committed_sockets();
            assert!(others >= sockets_max(limits) / 8, "{limits:?} {plan:?}");
        }
    }
}

/// Guards against a change of the limits on the machines that the users have.
#[rstest]
#[case::limits_of_an_ordinary_machine("limits_of_an_ordinary_machine", 260, 4_100)]
#[case::limits_of_the_smallest_machine("limits_of_the_smallest_machine", 120, 3_075)]
fn limits_are_as_documented(
    #[case] snapshot: &str,
    #[case] megabytes: u64,
    #[case] descriptors_max: u64,
) {
    let plan = CapacityPlan::new(MachineLimits {
        memory: Bytes(megabytes * 1_000_000),
        descriptors_max,
    });
    insta::assert_debug_snapshot!(snapshot, plan);
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
