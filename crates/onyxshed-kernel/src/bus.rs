//! The event bus, through which log, metrics and time line receive every event of the process.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use onyxshed_core::Event;

use crate::clock::Clock;

/// A callback that receives every event. It runs inside [`Bus::emit`], so it must not block.
pub type Subscriber = Rc<dyn Fn(&Event)>;

/// Stamps events and passes them to every subscriber. Clones share one bus.
#[derive(Clone)]
pub struct Bus {
    clock: Clock,
    subscribers: Rc<RefCell<Vec<Subscriber>>>,
}

impl Bus {
    /// Creates a bus that stamps events with the given clock.
    pub fn new(clock: Clock) -> Self {
        Bus {
            clock,
            subscribers: Rc::default(),
        }
    }

    /// Adds a subscriber, which receives every event emitted from now on.
    pub fn subscribe(&self, subscriber: Subscriber) {
        self.subscribers.borrow_mut().push(subscriber);
    }

    /// Stamps an event and passes it to every subscriber, in the order of subscription.
    pub fn emit(&self, mut event: Event) {
        event.hlc = self.clock.stamp();
        let count = self.subscribers.borrow().len();
        for index in 0..count {
            // Not borrowed during the call, so that a subscriber may itself emit or subscribe.
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
