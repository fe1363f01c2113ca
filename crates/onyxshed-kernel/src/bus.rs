//! The event bus: one place that log, metrics and time line are fed from.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use onyxshed_core::Event;

use crate::clock::Clock;

/// What takes in events; it must return at once.
pub type Subscriber = Rc<dyn Fn(&Event)>;

/// Stamps events and hands them to every subscriber; clones are the same bus.
#[derive(Clone)]
pub struct Bus {
    clock: Clock,
    subscribers: Rc<RefCell<Vec<Subscriber>>>,
}

impl Bus {
    /// Makes a bus that stamps with the given clock.
    pub fn new(clock: Clock) -> Self {
        Bus {
            clock,
            subscribers: Rc::default(),
        }
    }

    /// Adds a subscriber, which gets every event from now on.
    pub fn subscribe(&self, subscriber: Subscriber) {
        self.subscribers.borrow_mut().push(subscriber);
    }

    /// Stamps an event and delivers it.
    pub fn emit(&self, mut event: Event) {
        event.hlc = self.clock.stamp();
        let count = self.subscribers.borrow().len();
        for index in 0..count {
            // Not borrowed during the call, so that a subscriber may emit or subscribe itself.
            let subscriber = self.subscribers.borrow()[index].clone();
            subscriber(&event);
        }
    }
}

impl fmt::Debug for Bus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.subscribers.borrow().len();
        f.debug_struct("Bus").field("subscribers", &count).finish()
    }
}
