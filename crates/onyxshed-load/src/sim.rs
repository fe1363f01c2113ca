//! The decision core under planned load in virtual time, policies side by side.
//!
//! A focused fake stands at the core's interface: executors with slots, a queue and a speed, and
//! fixed delays between them and the entry hosts of one zone. Nothing else of a cluster is imitated:
//! no log, no claims, no sockets. Every policy of one row sees the same arrivals and faults.

pub mod chooser;
pub mod executor;
pub mod scenario;
pub mod summary;
pub mod world;

use crate::mix::Mix;
use crate::plan::{PlanOptions, plan};

use chooser::PolicyKind;
use scenario::Scenario;
use summary::{Cell, Summary};
use world::{RunResult, Simulation, ZoneOptions};

/// What to run.
#[derive(Debug, Clone)]
pub struct SimOptions {
    /// Whose work it is.
    pub mix: Mix,
    /// Seeds; each gives one run a scenario and policy.
    pub seeds: Vec<u64>,
    /// Scenarios.
    pub scenarios: Vec<Scenario>,
    /// How long jobs arrive, in seconds; faults last the middle third.
    pub span_s: f64,
    /// The zone.
    pub zone: ZoneOptions,
}

/// Runs every scenario with every policy and seed.
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

/// Makes one run; gets how many jobs were planned and what became of them.
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
