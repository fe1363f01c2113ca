//! A notifier, by which a service wakes any number of tasks that wait for a change.

use std::cell::RefCell;

use async_channel::{Receiver, Sender};

/// Wakes all subscribed tasks at each notification. A subscription is for a single notification.
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
    /// Wakes every current subscriber.
    pub fn notify(&self) {
        self.current.replace(async_channel::bounded(1));
    }

    /// Subscribes to the next notification after this call, which ends [`Subscription::wait`].
    pub fn subscribe(&self) -> Subscription {
        Subscription(self.current.borrow().1.clone())
    }
}

/// A subscription to the next notification of a [`Notifier`].
#[derive(Debug, Clone)]
pub struct Subscription(Receiver<()>);

impl Subscription {
    /// Waits for the notification; returns immediately if it has already happened.
    pub async fn wait(&self) {
        let _ = self.0.recv().await;
    }
}
