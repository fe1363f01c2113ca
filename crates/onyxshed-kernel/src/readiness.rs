//! Whether the process should be sent work.

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
    withheld: RefCell<BTreeSet<&'static str>>,
}

/// False until every service runs, false from the first moment of a drain; clones share one state.
#[derive(Debug, Clone)]
pub struct Readiness {
    state: Rc<State>,
}

impl Readiness {
    /// Makes a flag for a process that is starting.
    pub fn new() -> Self {
        let state = State {
            phase: Cell::new(Phase::Starting),
            withheld: RefCell::default(),
        };
        Readiness {
            state: Rc::new(state),
        }
    }

    /// Tells whether the process should be sent work.
    pub fn is_ready(&self) -> bool {
        self.why_not().is_none()
    }

    /// Tells whether the process is stopping.
    pub fn is_draining(&self) -> bool {
        self.state.phase.get() == Phase::Draining
    }

    /// Gets why the process should not be sent work, none if it should.
    pub fn why_not(&self) -> Option<SmolStr> {
        match self.state.phase.get() {
            Phase::Starting => Some(SmolStr::new_static("starting")),
            Phase::Draining => Some(SmolStr::new_static("draining")),
            Phase::Running => {
                let withheld = self.state.withheld.borrow();
                withheld.first().copied().map(SmolStr::new_static)
            }
        }
    }

    /// Holds readiness back for a reason, such as a configuration that has not come yet.
    pub fn set_not_ready(&self, reason: &'static str) {
        self.state.withheld.borrow_mut().insert(reason);
    }

    /// Drops a reason given before.
    pub fn clear_not_ready(&self, reason: &'static str) {
        self.state.withheld.borrow_mut().remove(reason);
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
