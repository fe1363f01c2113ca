//! Readiness of the process to receive work, as `GET /readyz` reports it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

use smol_str::SmolStr;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Starting,
    Running,
    Draining,
}

#[derive(Debug)]
struct State {
    phase: Cell<Phase>,
    not_ready_reasons: RefCell<BTreeSet<&'static str>>,
}

/// Readiness of the process: it is ready once every service runs, no reason blocks it, and no drain
/// has begun. Clones share one state.
#[derive(Debug, Clone)]
pub struct Readiness {
    state: Rc<State>,
}

impl Readiness {
    /// Creates the readiness of a process that is starting.
    pub fn new() -> Self {
        let state = State {
            phase: Cell::new(Phase::Starting),
            not_ready_reasons: RefCell::default(),
        };
        Readiness {
            state: Rc::new(state),
        }
    }

    /// Returns whether the process is ready to receive work.
    pub fn is_ready(&self) -> bool {
        self.not_ready_reason().is_none()
    }

    /// Returns whether the process is draining or stopping.
    pub fn is_draining(&self) -> bool {
        self.state.phase.get() == Phase::Draining
    }

    /// Returns the reason why the process is not ready, or `None` if it is. Of several reasons that
    /// services have set, it returns the first in alphabetical order.
    pub fn not_ready_reason(&self) -> Option<SmolStr> {
        match self.state.phase.get() {
            Phase::Starting => Some(SmolStr::new_static("starting")),
            Phase::Draining => Some(SmolStr::new_static("draining")),
            Phase::Running => {
                let not_ready_reasons = self.state.not_ready_reasons.borrow();
                not_ready_reasons.first().copied().map(SmolStr::new_static)
            }
        }
    }

    /// Makes the process not ready for a reason, such as a configuration that has not been received
    /// yet.
    pub fn set_not_ready(&self, reason: &'static str) {
        self.state.not_ready_reasons.borrow_mut().insert(reason);
    }

    /// Removes a reason set with [`Readiness::set_not_ready`].
    pub fn clear_not_ready(&self, reason: &'static str) {
        self.state.not_ready_reasons.borrow_mut().remove(reason);
    }

    pub(crate) fn set_running(&self) {
        self.state.phase.set(Phase::Running);
    }

    pub(crate) fn set_draining(&self) {
        self.state.phase.set(Phase::Draining);
    }
}

impl Default for Readiness {
    fn default() -> Self {
        Readiness::new()
    }
}
