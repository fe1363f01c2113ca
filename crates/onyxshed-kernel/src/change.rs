//! Wakes everyone who waits for a change.

use std::cell::RefCell;

use async_channel::{Receiver, Sender};

/// A change that many may wait for.
#[derive(Debug)]
pub struct Notifier {
    // Nothing is ever sent: dropping the sender wakes all receivers.
    current: RefCell<(Sender<()>, Receiver<()>)>,
}

impl Default for Notifier {
    fn default() -> Self {
        Notifier {
            current: RefCell::new(async_channel::bounded(1)),
        }
    }
}

impl Notifier {
    /// Wakes everyone who waits.
    pub fn notify(&self) {
        self.current.replace(async_channel::bounded(1));
    }

    /// Begins to wait: a change after this call ends [`Waiting::wait`].
    pub fn subscribe(&self) -> Waiting {
        Waiting(self.current.borrow().1.clone())
    }
}

/// One who waits for the next change.
#[derive(Debug, Clone)]
pub struct Waiting(Receiver<()>);

impl Waiting {
    /// Waits for the change.
    pub async fn wait(&self) {
        let _ = self.0.recv().await;
    }
}
