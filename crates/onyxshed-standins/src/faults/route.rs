//! One route: an address whose connections lead to a target.

use onyxshed_kernel::Notifier;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_net::{TcpListener, TcpStream};

use super::mode::{Direction, Mode};
use super::pump::pump;

/// One route.
#[derive(Debug)]
pub struct Route {
    address: SocketAddr,
    to: Cell<SocketAddr>,
    mode: Cell<Mode>,
    stalls: Cell<u64>,
    connections: Cell<u64>,
    changed: Notifier,
}

/// One connection through a route.
#[derive(Debug)]
pub struct Link {
    pub(super) route: Rc<Route>,
    opened_after_stalls: u64,
    pub(super) down_bytes: Cell<u64>,
    pub(super) closed: Notifier,
    pub(super) is_closed: Cell<bool>,
    has_lost_bytes: RefCell<Vec<Direction>>,
}

impl Route {
    /// Makes a route that passes everything.
    pub fn new(address: SocketAddr, to: SocketAddr) -> Self {
        Route {
            address,
            to: Cell::new(to),
            mode: Cell::default(),
            stalls: Cell::default(),
            connections: Cell::default(),
            changed: Notifier::default(),
        }
    }

    /// Gets where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets where new connections lead.
    pub fn set_target(&self, to: SocketAddr) {
        self.to.set(to);
    }

    /// Sets the mode, for open connections too.
    pub fn set_mode(&self, mode: Mode) {
        match mode {
            Mode::StallExisting => {
                self.stalls.set(self.stalls.get() + 1);
                self.mode.set(Mode::Pass);
            }
            mode => self.mode.set(mode),
        }
        self.changed.notify();
    }

    /// Gets the mode.
    pub fn mode(&self) -> Mode {
        self.mode.get()
    }

    /// Gets how many connections came so far.
    pub fn connections(&self) -> u64 {
        self.connections.get()
    }

    /// Gets what wakes when the mode changes.
    pub(super) fn changed(&self) -> &Notifier {
        &self.changed
    }

    /// Serves until dropped.
    pub async fn run(self: Rc<Self>, listener: TcpListener, executor: Rc<LocalExecutor<'static>>) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            self.connections.set(self.connections.get() + 1);
            if self.mode.get() != Mode::Cut {
                let link = Rc::new(Link::new(self.clone()));
                executor
                    .spawn(link.serve(stream, executor.clone()))
                    .detach();
            }
        }
    }
}

impl Link {
    fn new(route: Rc<Route>) -> Self {
        Link {
            opened_after_stalls: route.stalls.get(),
            route,
            down_bytes: Cell::default(),
            closed: Notifier::default(),
            is_closed: Cell::default(),
            has_lost_bytes: RefCell::default(),
        }
    }

    async fn serve(self: Rc<Self>, near: TcpStream, executor: Rc<LocalExecutor<'static>>) {
        let Ok(far) = TcpStream::connect(self.route.to.get()).await else {
            return;
        };
        if near.set_nodelay(true).and(far.set_nodelay(true)).is_err() {
            return;
        }
        let up = pump(self.clone(), Direction::Up, near.clone(), far.clone());
        executor.spawn(up).detach();
        executor
            .spawn(pump(self, Direction::Down, far, near))
            .detach();
    }

    /// Tells whether the connection fell silent for good in this direction: by a stall, or because
    /// bytes vanished, after which passing the rest would garble the stream.
    pub(super) fn is_dead(&self, direction: Direction) -> bool {
        self.opened_after_stalls < self.route.stalls.get()
            || self.has_lost_bytes.borrow().contains(&direction)
    }

    /// Notes that bytes vanished.
    pub(super) fn lose_bytes(&self, direction: Direction) {
        self.has_lost_bytes.borrow_mut().push(direction);
    }

    /// Closes both directions.
    pub(super) fn close(&self) {
        self.is_closed.set(true);
        self.closed.notify();
    }
}
