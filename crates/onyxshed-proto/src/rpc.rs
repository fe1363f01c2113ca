//! The interfaces over TCP: serving one and calling one.
//!
//! A message is bounded before it is read: one that claims more than its limit ends the connection,
//! so a garbled or hostile peer costs a connection and no memory.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use capnp::ErrorKind;
use capnp::capability::{Client, FromClientHook};
use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use smol_str::SmolStr;

/// Largest message between processes, in 8-byte words (8 MiB).
const MESSAGE_MAX_WORDS: usize = 1 << 20;

/// Deepest nesting in a message.
const NESTING_MAX: i32 = 16;

/// Most connections that one interface serves at a time, where nothing else is said: some four times
/// the peers of the largest deployment measured with the product's own processes (64 hosts).
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

/// Pause after a failed accept, so that a shortage of file descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Told, in words, why a connection was dropped.
pub type DropReporter = Rc<dyn Fn(SmolStr)>;

/// Serves `bootstrap` to every connection, `connections_max` at a time, until dropped.
///
/// Failure guarded against: a flood of connections that say nothing takes every place. Symptom: the
/// control process, or a peer, can't get through. The oldest connection makes room for a new one: a
/// process that is really there connects again within a heartbeat and so keeps its place.
pub async fn serve(
    listener: TcpListener,
    bootstrap: Client,
    executor: Rc<LocalExecutor<'static>>,
    connections_max: usize,
    dropped: DropReporter,
) {
    let mut open: VecDeque<Task<()>> = VecDeque::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        open.retain(|connection| !connection.is_finished());
        if open.len() >= connections_max {
            dropped(SmolStr::new_static("the oldest of too many connections"));
            open.pop_front();
        }
        let system = RpcSystem::new(network(stream, Side::Server), Some(bootstrap.clone()));
        open.push_back(executor.spawn(converse(system, dropped.clone())));
    }
}

/// Serves one connection to its end.
async fn converse(system: RpcSystem<Side>, dropped: DropReporter) {
    if let Err(error) = system.await
        && error.kind != ErrorKind::Disconnected
    {
        dropped(smol_str::format_smolstr!(
            "a message can't be read: {error}"
        ));
    }
}

/// Tries to connect to an interface; the connection lives as long as the client and its calls.
pub async fn connect<T: FromClientHook>(
    address: SocketAddr,
    executor: &Rc<LocalExecutor<'static>>,
) -> capnp::Result<T> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(capnp::Error::from)?;
    stream.set_nodelay(true).map_err(capnp::Error::from)?;
    let mut system = RpcSystem::new(network(stream, Side::Client), None);
    let client: T = system.bootstrap(Side::Server);
    executor
        .spawn(async move {
            let _ = system.await;
        })
        .detach();
    Ok(client)
}
