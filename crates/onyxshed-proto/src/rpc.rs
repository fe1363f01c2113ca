//! Serves and calls the RPC interfaces of the schemas over TCP.
//!
//! The size of a message is checked before it is read. A message that states a size above the limit ends
//! the connection, so that a faulty or hostile peer costs a connection but no memory.

use std::cell::Cell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use capnp::ErrorKind;
use capnp::capability::{Client, FromClientHook};
use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures_lite::FutureExt;
use smol_str::SmolStr;

/// Maximum size of a message between processes, in 8-byte words (8 MiB).
const MESSAGE_MAX_WORDS: usize = 1 << 20;

/// Maximum depth of nested structures in a message.
const NESTING_MAX: i32 = 16;

/// Default maximum number of connections that one interface serves at a time: about four times the
/// number of peers in the largest deployment that was measured with onyxshed's processes (64 hosts).
pub const CONNECTIONS_MAX: usize = 256;

fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options
        .traversal_limit_in_words(Some(MESSAGE_MAX_WORDS))
        .nesting_limit(NESTING_MAX);
    options
}

fn network(stream: TcpStream, side: Side) -> Box<VatNetwork<TcpStream>> {
    let writer = stream.clone();
    Box::new(VatNetwork::new(stream, writer, side, reader_options()))
}

/// Pause after a failed accept, which prevents a busy loop while file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Callback that receives a description of the reason why a connection was dropped.
pub type DropReporter = Rc<dyn Fn(SmolStr)>;

/// Number of connections that an interface has open. Clones share the number.
#[derive(Debug, Clone, Default)]
pub struct ConnectionCount(Rc<Cell<usize>>);

impl ConnectionCount {
    /// Returns the number.
    pub fn get(&self) -> usize {
        self.0.get()
    }

    fn enter(&self) -> CountGuard {
        self.0.set(self.0.get() + 1);
        CountGuard(self.clone())
    }
}

/// Counts one connection until dropped.
struct CountGuard(ConnectionCount);

impl Drop for CountGuard {
    fn drop(&mut self) {
        let count = &self.0.0;
        count.set(count.get() - 1);
    }
}

/// Serves `bootstrap` to every connection, up to `connections_max` at a time, until the future is
/// dropped.
///
/// At the limit, the oldest connection is closed for a new one. Otherwise, a flood of idle connections
/// could use up the limit and lock out the control process or a peer. A live process whose connection is
/// closed connects again within a heartbeat.
pub async fn serve(
    listener: TcpListener,
    bootstrap: Client,
    executor: Rc<LocalExecutor<'static>>,
    connections_max: usize,
    connections: ConnectionCount,
    report_drop: DropReporter,
) {
    let mut open: VecDeque<ServedConnection> = VecDeque::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        open.retain(|connection| !connection.served.is_finished());
        if open.len() >= connections_max {
            report_drop(SmolStr::new_static(
                "closed the oldest connection: too many connections",
            ));
            if let Some(oldest) = open.pop_front() {
                oldest.close();
            }
        }
        let system = RpcSystem::new(network(stream, Side::Server), Some(bootstrap.clone()));
        let (close_sender, close) = async_channel::bounded(1);
        let served = serve_connection(system, close, connections.enter(), report_drop.clone());
        open.push_back(ServedConnection {
            served: executor.spawn(served),
            close_sender,
        });
    }
}

/// A connection that is being served.
struct ServedConnection {
    served: Task<()>,
    close_sender: Sender<()>,
}

impl ServedConnection {
    /// Closes the connection, which cancels the calls in progress on it.
    fn close(self) {
        self.close_sender.close();
        self.served.detach();
    }
}

/// Serves one connection until it ends or `close` is closed.
async fn serve_connection(
    system: RpcSystem<Side>,
    close: Receiver<()>,
    _counted: CountGuard,
    report_drop: DropReporter,
) {
    let disconnector = system.get_disconnector();
    let closed = async {
        // Completes when the channel is closed; no value is ever sent.
        let _ = close.recv().await;
        // A system that is only dropped keeps the calls in progress.
        disconnector.await
    };
    if let Err(error) = system.or(closed).await
        && error.kind != ErrorKind::Disconnected
    {
        report_drop(smol_str::format_smolstr!("malformed message: {error}"));
    }
}

/// An open connection to an interface, which is closed when it is dropped.
pub struct Connection<T> {
    /// The client of the interface. Its calls that are in progress when the connection is closed fail.
    pub client: T,
    _system: Task<()>,
}

/// Connects to an interface.
pub async fn connect<T: FromClientHook>(
    address: SocketAddr,
    executor: &Rc<LocalExecutor<'static>>,
) -> capnp::Result<Connection<T>> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(capnp::Error::from)?;
    stream.set_nodelay(true).map_err(capnp::Error::from)?;
    let mut system = RpcSystem::new(network(stream, Side::Client), None);
    let client: T = system.bootstrap(Side::Server);
    let system = executor.spawn(async move {
        // Calls report the failure of their connection.
        let _ = system.await;
    });
    Ok(Connection {
        client,
        _system: system,
    })
}
