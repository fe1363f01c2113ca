//! Simulation of the decision core in virtual time, which compares policies under planned load.
//!
//! The core runs against a small model: executors with slots, a queue and a speed, and fixed
//! network delays between the executors, the entry hosts of one zone and the callers. Nothing else
//! of a cluster is modelled: no log, no claims, no sockets. All policies see the same arrivals and
//! faults for a scenario and seed.

pub mod executor;
pub mod policies;
pub mod scenario;
pub mod simulation;
pub mod summary;

use crate::mix::Mix;
use crate::plan::{PlanOptions, plan};

use policies::PolicyKind;
use scenario::Scenario;
use simulation::{RunResult, Simulation, ZoneOptions};
use summary::{Cell, Summary};

/// Options of [`simulate`]: the scenarios, the seeds and the simulated zone.
#[derive(Debug, Clone)]
pub struct SimOptions {
    /// The mix that jobs are drawn from.
    pub mix: Mix,
    /// Seeds of the runs; every pair of a scenario and a policy runs once with each.
    pub seeds: Vec<u64>,
    /// The scenarios to run, each with every policy and seed.
    pub scenarios: Vec<Scenario>,
    /// Time during which jobs arrive, in seconds. Faults start after its first third; those that
    /// are temporary end after its second third.
    pub span_s: f64,
    /// Size and network delays of the zone.
    pub zone: ZoneOptions,
}

/// Runs every scenario with every policy and seed. The summary has one cell for each pair of a
/// scenario and a policy.
pub fn simulate(options: &SimOptions) -> Summary {
    let mut summary = Summary::new(options);
    for scenario in &options.scenarios {
        for policy in PolicyKind::ALL {
            let runs = options.seeds.iter();
            let results = runs.map(|seed| run_once(options, *scenario, policy, *seed).1);
            let cell = Cell::of(options, *scenario, policy, &results.collect::<Vec<_>>());
            summary.cells.push(cell);
        }
    }
    summary
}

/// Runs one scenario with one policy and seed. Returns the number of planned jobs and the results.
pub fn run_once(
    options: &SimOptions,
    scenario: Scenario,
    policy: PolicyKind,
    seed: u64,
) -> (usize, RunResult) {
    let capacity = options.zone.capacity_ms_per_s() / options.mix.mean_job_ms();
    let jobs = plan(&PlanOptions {
        mix: options.mix,
        jobs_per_s: capacity * scenario.load(),
        span_s: options.span_s,
        bursts: scenario.bursts(options.span_s),
        time_scale: 1.0,
        seed,
    });
    let planned = jobs.len();
    (
        planned,
        Simulation::new(options, scenario, policy, seed, jobs).run(),
    )
}
