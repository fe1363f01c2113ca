//! Opens the addresses that services listen on and serves RPC interfaces on them.

use std::net::SocketAddr;
use std::rc::Rc;

use async_net::TcpListener;
use capnp::capability::Client;
use onyxshed_core::{Event, EventKind, ResultCode};
use onyxshed_http::ListenOptions;
use onyxshed_kernel::{Error, Kernel, Result, ServiceName};
use onyxshed_proto::rpc::{self, ConnectionCount};
use smol_str::SmolStr;

/// Listens on an address and adds it to the ready line under `name`. Returns the listener and the
/// address it is bound to; port 0 selects a free port.
pub async fn listen(
    kernel: &Kernel,
    service: ServiceName,
    name: &'static str,
    address: SocketAddr,
    options: ListenOptions,
) -> Result<(TcpListener, SocketAddr)> {
    let listener = onyxshed_http::listen::listen(address, options)
        .await
        .map_err(|error| Error::start(service, error.code(), error))?;
    let bound = listener
        .local_addr()
        .map_err(|error| Error::start(service, ResultCode::AddressInUse, error))?;
    kernel.announce(name, bound);
    Ok((listener, bound))
}

/// Serves an RPC interface until the process exits, to at most `connections_max` connections at a
/// time, and returns their number. Emits an event for each connection that it drops.
pub fn serve_rpc(
    kernel: &Kernel,
    listener: TcpListener,
    bootstrap: Client,
    connections_max: usize,
) -> ConnectionCount {
    let reporter = kernel.clone();
    let on_dropped: rpc::DropReporter = Rc::new(move |reason: SmolStr| {
        reporter.emit(Event::new(EventKind::RequestRejected).detail(reason));
    });
    let connections = ConnectionCount::default();
    let serving = rpc::serve(
        listener,
        bootstrap,
        kernel.executor(),
        connections_max,
        connections.clone(),
        on_dropped,
    );
    kernel.spawn(serving).detach();
    connections
}
