//! A route of the proxy: a listening address whose connections are forwarded to a target.

use onyxshed_kernel::Notifier;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_net::{TcpListener, TcpStream};

use super::mode::{Direction, Mode};
use super::pump::pump;

/// The address, the target and the mode of one route.
#[derive(Debug)]
pub struct Route {
    address: SocketAddr,
    target: Cell<SocketAddr>,
    mode: Cell<Mode>,
    stall_count: Cell<u64>,
    hold_count: Cell<u64>,
    connections: Cell<u64>,
    changed: Notifier,
}

/// One connection through a route, shared by the pumps of both directions.
#[derive(Debug)]
pub struct Link {
    pub(super) route: Rc<Route>,
    stall_count_at_open: u64,
    hold_count_at_open: u64,
    pub(super) forwarded_down_bytes: Cell<u64>,
    pub(super) closed: Notifier,
    pub(super) is_closed: Cell<bool>,
    lossy_directions: RefCell<Vec<Direction>>,
}

impl Route {
    /// Creates a route that forwards everything.
    pub fn new(address: SocketAddr, target: SocketAddr) -> Self {
        Route {
            address,
            target: Cell::new(target),
            mode: Cell::default(),
            stall_count: Cell::default(),
            hold_count: Cell::default(),
            connections: Cell::default(),
            changed: Notifier::default(),
        }
    }

    /// Returns the address that the route listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.set(target);
    }

    /// Sets the mode of new and open connections.
    pub fn set_mode(&self, mode: Mode) {
        match mode {
            Mode::StallExisting => {
                self.stall_count.set(self.stall_count.get() + 1);
                self.mode.set(Mode::Pass);
            }
            Mode::HoldExisting => {
                self.hold_count.set(self.hold_count.get() + 1);
                self.mode.set(mode);
            }
            mode => self.mode.set(mode),
        }
        self.changed.notify();
    }

    /// Returns the mode in force. It is `Pass` after [`Mode::StallExisting`], which affects only
    /// the connections that are open when it is set.
    pub fn mode(&self) -> Mode {
        self.mode.get()
    }

    /// Returns the number of connections accepted since the route was created, including those that
    /// were closed immediately.
    pub fn connections(&self) -> u64 {
        self.connections.get()
    }

    /// Returns the notifier that wakes the pumps of the route's connections after each change of
    /// the mode.
    pub(super) fn changed(&self) -> &Notifier {
        &self.changed
    }

    /// Accepts connections and forwards each of them to the target, until the future is dropped. In
    /// [`Mode::Cut`], new connections are closed immediately.
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
            stall_count_at_open: route.stall_count.get(),
            hold_count_at_open: route.hold_count.get(),
            route,
            forwarded_down_bytes: Cell::default(),
            closed: Notifier::default(),
            is_closed: Cell::default(),
            lossy_directions: RefCell::default(),
        }
    }

    async fn serve(self: Rc<Self>, client_stream: TcpStream, executor: Rc<LocalExecutor<'static>>) {
        let Ok(target_stream) = TcpStream::connect(self.route.target.get()).await else {
            return;
        };
        if client_stream
            .set_nodelay(true)
            .and(target_stream.set_nodelay(true))
            .is_err()
        {
            return;
        }
        let up = pump(
            self.clone(),
            Direction::Up,
            client_stream.clone(),
            target_stream.clone(),
        );
        executor.spawn(up).detach();
        executor
            .spawn(pump(self, Direction::Down, target_stream, client_stream))
            .detach();
    }

    /// Returns whether nothing more is forwarded in this direction: the connection was stalled, or bytes were
    /// discarded, after which the rest of the stream would be garbled.
    pub(super) fn is_stalled(&self, direction: Direction) -> bool {
        self.stall_count_at_open < self.route.stall_count.get()
            || self.lossy_directions.borrow().contains(&direction)
    }

    /// Returns whether the connection was open when [`Mode::HoldExisting`] was last set.
    pub(super) fn is_held(&self) -> bool {
        self.hold_count_at_open < self.route.hold_count.get()
    }

    /// Records that bytes of a direction were discarded.
    pub(super) fn record_lost_bytes(&self, direction: Direction) {
        self.lossy_directions.borrow_mut().push(direction);
    }

    /// Marks the connection as closed and wakes the pumps of both directions.
    pub(super) fn close(&self) {
        self.is_closed.set(true);
        self.closed.notify();
    }
}
