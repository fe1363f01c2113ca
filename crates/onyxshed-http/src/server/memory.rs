//! The memory that the requests of a server share: bodies, until their requests have been answered,
//! and replies, until their peers have read them.

use std::cell::Cell;
use std::rc::Rc;

use async_channel::{Receiver, Sender};

use super::{ServerOptions, ServerStats};
use crate::bounded::BodySize;

/// Bodies up to this size have a limit on memory that larger ones do not use.
pub const SMALL_BODY_BYTES: u64 = 64 << 10;

/// A body or a reply up to this size counts as part of its connection. The largest job fits, so that no
/// other body takes the memory of an ordinary one.
pub const IN_CONNECTION_BYTES: u64 = 8 << 10;

/// Memory in use, and its limit.
#[derive(Debug)]
struct Account {
    max: u64,
    used: Cell<u64>,
}

impl Account {
    fn new(max: u64) -> Self {
        Account {
            max,
            used: Cell::new(0),
        }
    }

    /// Replaces a reservation of `held` bytes by one of `wanted`. Returns false, without effect, if the
    /// limit would be exceeded.
    fn try_replace(&self, held: u64, wanted: u64) -> bool {
        let others = self.used.get() - held;
        let has_room = others.saturating_add(wanted) <= self.max;
        if has_room {
            self.used.set(others + wanted);
        }
        has_room
    }

    fn release(&self, held: u64) {
        self.used.set(self.used.get() - held);
    }
}

/// The memory of a server's bodies and replies.
#[derive(Debug)]
pub(super) struct RequestMemory {
    stats: Rc<ServerStats>,
    large_bodies: Account,
    small_bodies: Account,
    replies: Account,
    release_sender: Sender<()>,
    release_receiver: Receiver<()>,
}

impl RequestMemory {
    pub(super) fn new(options: &ServerOptions, stats: Rc<ServerStats>) -> Rc<Self> {
        let (release_sender, release_receiver) = async_channel::bounded(1);
        Rc::new(RequestMemory {
            stats,
            large_bodies: Account::new(options.bodies_max_bytes),
            small_bodies: Account::new(options.small_bodies_max_bytes),
            replies: Account::new(options.replies_max_bytes),
            release_sender,
            release_receiver,
        })
    }

    /// Creates the share of a body, whose length its peer may have announced.
    pub(super) fn body_share(self: &Rc<Self>, announced: Option<u64>) -> BodyShare {
        BodyShare {
            memory: self.clone(),
            is_announced_large: announced.is_some_and(|len| len > SMALL_BODY_BYTES),
            held: 0,
            received: 0,
        }
    }

    /// Reserves the memory of a reply; returns `None` if there is not enough.
    pub(super) fn reply_share(self: &Rc<Self>, bytes: usize) -> Option<ReplyShare> {
        let held = charged(bytes as u64);
        self.replies.try_replace(0, held).then(|| ReplyShare {
            memory: self.clone(),
            held,
        })
    }

    /// Waits until a body is released.
    pub(super) async fn released(&self) {
        // Cannot fail: the sender is never closed.
        let _ = self.release_receiver.recv().await;
    }

    fn account(&self, size: BodySize) -> &Account {
        match size {
            BodySize::Small => &self.small_bodies,
            BodySize::Large => &self.large_bodies,
        }
    }
}

fn charged(bytes: u64) -> u64 {
    match bytes <= IN_CONNECTION_BYTES {
        true => 0,
        false => bytes,
    }
}

/// One body's share of the memory for bodies, released on drop.
#[derive(Debug)]
pub(super) struct BodyShare {
    memory: Rc<RequestMemory>,
    is_announced_large: bool,
    held: u64,
    received: u64,
}

impl BodyShare {
    /// Grows the share to `wanted` bytes. Returns false, without effect, if all bodies of its size would
    /// exceed their limit.
    pub(super) fn try_grow(&mut self, wanted: u64) -> bool {
        let wanted = charged(wanted);
        let (from, to) = (self.size(), self.size_of(wanted));
        if from == to {
            let has_room = self.memory.account(to).try_replace(self.held, wanted);
            self.held = if has_room { wanted } else { self.held };
            return has_room;
        }
        let has_room = self.memory.account(to).try_replace(0, wanted);
        if has_room {
            self.memory.account(from).release(self.held);
            self.held = wanted;
        }
        has_room
    }

    /// Records how many bytes of the body have arrived.
    pub(super) fn record_received(&mut self, received: u64) {
        let gauge = &self.memory.stats.body_bytes;
        let counted = |bytes: u64| if bytes > SMALL_BODY_BYTES { bytes } else { 0 };
        gauge.set(gauge.get() - counted(self.received) + counted(received));
        self.received = received;
    }

    /// Returns the size by which the share is limited.
    pub(super) fn size(&self) -> BodySize {
        self.size_of(self.held)
    }

    /// Returns the size by which a share of `bytes` is limited.
    pub(super) fn size_of(&self, bytes: u64) -> BodySize {
        match bytes <= SMALL_BODY_BYTES && !self.is_announced_large {
            true => BodySize::Small,
            false => BodySize::Large,
        }
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.record_received(0);
        self.memory.account(self.size()).release(self.held);
        // Full if a release has not been noticed yet.
        let _ = self.memory.release_sender.try_send(());
    }
}

/// One reply's share of the memory for replies, released on drop.
#[derive(Debug)]
pub(super) struct ReplyShare {
    memory: Rc<RequestMemory>,
    held: u64,
}

impl Drop for ReplyShare {
    fn drop(&mut self) {
        self.memory.replies.release(self.held);
    }
}
