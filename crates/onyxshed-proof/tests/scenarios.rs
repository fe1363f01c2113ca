//! Runs every scenario file with real processes.

use std::path::PathBuf;
use std::sync::{Condvar, Mutex, PoisonError};

use onyxshed_proof::scenario::{parse, play};
use rstest::rstest;

/// Limit of scenarios that run at the same time, so that the machine stays responsive.
const MAX_CONCURRENT: usize = 4;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// Permission to run a scenario, released when it is dropped.
struct Slot;

impl Slot {
    fn acquire() -> Self {
        let running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
        let mut running = ENDED
            .wait_while(running, |running| *running >= MAX_CONCURRENT)
            .unwrap_or_else(PoisonError::into_inner);
        *running += 1;
        Slot
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}

#[rstest]
fn scenario_passes(#[files("scenarios/*.scenario")] file: PathBuf) {
    let text = std::fs::read_to_string(&file).unwrap();
    let script = parse(&text).unwrap_or_else(|error| panic!("{}: {error}", file.display()));
    let _slot = Slot::acquire();
    if let Err(failure) = play(&script) {
        panic!("{}: {failure}", file.display());
    }
}
