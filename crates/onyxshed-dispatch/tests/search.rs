//! Randomized search over orders of events, with three hosts, one log and executors that record
//! every start.
//!
//! Messages may be delayed, reordered or lost, hosts freeze and crash, appends succeed without a
//! reply, clocks differ, and the log becomes unreachable. After every step the simulation checks
//! its invariants. A longer search is run with
//! `ONYXSHED_SEARCH_SEEDS=100000 cargo test --release -p onyxshed-dispatch --test search`; a seed
//! that reveals a fault is added to `REGRESSION_SEEDS`.

mod search {
    pub mod executors;
    pub mod host;
    pub mod simulation;
}

use search::simulation::{Simulation, SimulationOptions};

/// Number of seeds searched by default.
const DEFAULT_SEEDS: u64 = 1_000;

/// Number of random steps per seed.
const STEPS_PER_SEED: usize = 400;

/// Seeds that revealed a fault in the past.
const REGRESSION_SEEDS: &[u64] = &[90, 337, 474, 816];

fn seed_count() -> u64 {
    std::env::var("ONYXSHED_SEARCH_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SEEDS)
}

fn search(options: &SimulationOptions) {
    for seed in REGRESSION_SEEDS.iter().copied().chain(0..seed_count()) {
        let mut simulation = Simulation::new(seed, options.clone());
        for _ in 0..STEPS_PER_SEED {
            simulation.step();
        }
        simulation.run_to_completion();
    }
}

// Callers send copies of one submission to several hosts while messages are delayed, lost and
// reordered. A caller may get "not run" or "unknown", but the answer must match the executors'
// records: at most one start of each task, no start after "not run", and every result in
// "complete".
#[test]
fn late_and_lost_messages_never_start_a_task_twice() {
    search(&SimulationOptions {
        has_faults: false,
        ..SimulationOptions::default()
    });
}

// As above, while hosts crash and restart as new incarnations, freeze for seconds during a claim or
// a start, and the log is unreachable or loses the replies to appends that succeeded.
#[test]
fn crashes_freezes_and_outages_never_start_a_task_twice() {
    search(&SimulationOptions::default());
}

// As above, with ids bound to one incarnation, which start without a claim: only the host that the
// id names may start the tasks, so a copy at another host is forwarded or its outcome is unknown.
#[test]
fn bound_ids_never_start_a_task_twice() {
    search(&SimulationOptions {
        are_ids_bound_to_host: true,
        ..SimulationOptions::default()
    });
}

// As above, while drains expire with jobs and forwards in progress: every request is answered by
// then, and "not run" is answered only if no task has started.
#[test]
fn expired_drains_answer_every_request_truthfully() {
    search(&SimulationOptions {
        do_drains_expire: true,
        ..SimulationOptions::default()
    });
}
