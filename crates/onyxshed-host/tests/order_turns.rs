//! Stop orders that wait for their turn.

use onyxshed_host::engine::order_turns::OrderTurns;
use onyxshed_pool::{ExecutorId, FencingToken, JobId, RunNumber, StopOrder, TaskId};

const EXECUTOR: ExecutorId = ExecutorId(smol_str::SmolStr::new_static("a"));

fn stop(run: u32) -> StopOrder {
    StopOrder {
        task: TaskId {
            job: JobId(1),
            index: 0,
        },
        run: RunNumber(run),
        token: FencingToken(1),
    }
}

/// Guards against stop orders that are sent again with each report while the first one waits.
#[test]
fn stop_that_waits_is_entered_once() {
    let turns = OrderTurns::new(1);
    let first = turns.enter_stop(&EXECUTOR, &stop(1)).expect("an entry");
    assert!(turns.enter_stop(&EXECUTOR, &stop(1)).is_none());
    assert!(turns.enter_stop(&EXECUTOR, &stop(2)).is_some());
    turns.leave_stop(&first);
    assert!(turns.enter_stop(&EXECUTOR, &stop(1)).is_some());
}
