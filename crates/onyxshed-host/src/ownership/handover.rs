//! The handover of a pool's executors, as run by the new owner.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use onyxshed_core::Millis;
use onyxshed_pool::FencingToken;

use crate::boot_clock;
use crate::engine::Engine;
use crate::links::{RemoteLink, WaiterGuard};

/// Interval at which a new owner sends release requests to the previous owner, and at which the
/// previous owner checks whether it has finished: a tenth of the run time of a short task.
pub(super) const HANDOVER_POLL: Duration = Duration::from_millis(20);

/// Maximum time for which a new owner leaves executors to the previous owner: tasks end within one
/// or two seconds, and the platform kills a stopping host after about six.
const HANDOVER_MAX: Millis = Millis(4_000);

/// Takes over a pool's executors as the previous owner releases them, until the previous owner
/// holds none, stops answering or [`HANDOVER_MAX`] has elapsed.
pub(super) async fn follow_release(
    engine: Rc<Engine>,
    last_owner: Rc<RemoteLink>,
    _waiter: WaiterGuard,
    token: FencingToken,
) {
    let deadline = boot_clock::now() + HANDOVER_MAX;
    while engine.token() == Some(token) && boot_clock::now() < deadline {
        match last_owner.release(token).await {
            None => break,
            Some(executors) if executors.is_empty() => break,
            Some(executors) => engine.apply_predecessor_executors(token, executors),
        }
        Timer::after(HANDOVER_POLL).await;
    }
    engine.apply_predecessor_executors(token, BTreeSet::new());
}
