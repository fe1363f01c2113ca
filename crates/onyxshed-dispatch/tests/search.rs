//! Random search over orders of events: three hosts, one log, executors that record every start.
//!
//! Every message may be late, overtaken or lost, hosts freeze and crash, appends take effect without
//! an answer, clocks differ, the log goes down. After every step the world checks what must always
//! hold. `ONYXSHED_SEARCH_SEEDS=100000 cargo test --release -p onyxshed-dispatch --test search`
//! searches further; a seed that shows a fault is added to `KEPT`.

mod search {
    pub mod executors;
    pub mod host;
    pub mod world;
}

use search::world::{World, WorldOptions};

/// Seeds searched when nothing else is asked.
const SEEDS: u64 = 1_000;

/// Steps in one search.
const STEPS: usize = 400;

/// Seeds that showed a fault once.
const KEPT: &[u64] = &[90, 337, 474, 816];

fn seeds() -> u64 {
    std::env::var("ONYXSHED_SEARCH_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SEEDS)
}

fn search(options: &WorldOptions) {
    for seed in KEPT.iter().copied().chain(0..seeds()) {
        let mut world = World::new(seed, options.clone());
        for _ in 0..STEPS {
            world.step();
        }
        world.settle();
    }
}

// Callers send copies of one submission to several hosts while messages are late, lost and
// overtaken. A caller may see "not run" or "unknown" and never a lie: an executor's record shows at
// most one start of each task, none at all behind "not run", and every result behind "complete".
#[test]
fn late_and_lost_messages_never_start_a_task_twice() {
    search(&WorldOptions {
        faults: false,
        ..WorldOptions::default()
    });
}

// The same while hosts crash and come back as new incarnations, freeze for seconds in the middle of
// a claim or a start and thaw, and the log is down or loses answers to appends that took effect.
#[test]
fn crashes_freezes_and_outages_never_start_a_task_twice() {
    search(&WorldOptions::default());
}

// The same with ids bound to one incarnation, which start without any claim: only the host they
// name may start them, so a copy at another host is passed on or its outcome is unknown.
#[test]
fn bound_ids_never_start_a_task_twice() {
    search(&WorldOptions {
        bound: true,
        ..WorldOptions::default()
    });
}
