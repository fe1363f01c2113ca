//! The logged summary of a job's outcome.

use onyxshed_core::Millis;
use onyxshed_pool::{JobEnd, JobSummary, NotRunReason, Resources, UnknownReason};

/// Every summary that an entry host logs must parse back to the same value.
#[test]
fn summary_round_trips() {
    let not_run = NotRunReason::ALL.map(|reason| JobEnd::NotRun(reason, Millis(120)));
    let unknown = UnknownReason::ALL.map(JobEnd::Unknown);
    let ends = not_run.into_iter().chain(unknown);
    for end in ends.chain([JobEnd::Completed, JobEnd::Failed]) {
        let summary = JobSummary {
            end,
            took: Millis(31),
            target: Millis(204),
            tasks: 8,
            estimate: Millis(90),
            demand: Resources {
                cpu_millis: 27_000,
                memory_mb: 64,
                accelerators: 1,
            },
            pool: "kigali-a/0".into(),
            manifest: 13,
        };
        assert_eq!(summary.to_string().parse(), Ok(summary));
    }
    assert!("the caller left after 3ms".parse::<JobSummary>().is_err());
}
