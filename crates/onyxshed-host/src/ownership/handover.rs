//! A new owner's side of a handover.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use onyxshed_core::Millis;
use onyxshed_pool::FencingToken;

use crate::boot_clock;
use crate::engine::Engine;
use crate::links::{RemoteLink, WaiterGuard};

/// Time between two questions of a new owner to the last one, and between two looks of that one for
/// its end: a tenth of a short task's time.
pub(super) const HANDOVER_POLL: Duration = Duration::from_millis(20);

/// Longest time for which a new owner leaves executors to the last one: tasks end within a second
/// or two, and the platform kills a stopping host after some six.
const HANDOVER_MAX: Millis = Millis(4_000);

/// Takes a pool's executors over from its last owner as that one lets go of them, until it holds
/// none, answers no longer or has had its time.
pub(super) async fn follow_release(
    engine: Rc<Engine>,
    last_owner: Rc<RemoteLink>,
    _open: WaiterGuard,
    token: FencingToken,
) {
    let over_at = boot_clock::now() + HANDOVER_MAX;
    while engine.token() == Some(token) && boot_clock::now() < over_at {
        match last_owner.release(token).await {
            None => break,
            Some(held) if held.is_empty() => break,
            Some(held) => engine.apply_predecessor_executors(token, held),
        }
        Timer::after(HANDOVER_POLL).await;
    }
    engine.apply_predecessor_executors(token, BTreeSet::new());
}
