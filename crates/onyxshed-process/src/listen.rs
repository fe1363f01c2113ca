//! Opening an address that a service serves, and serving an interface on it.

use std::net::SocketAddr;
use std::rc::Rc;

use async_net::TcpListener;
use capnp::capability::Client;
use onyxshed_core::{Event, EventKind, ResultCode};
use onyxshed_http::Server;
use onyxshed_kernel::{Error, Kernel, Result, ServiceName};
use onyxshed_proto::rpc;
use smol_str::SmolStr;

/// Tries to listen on an address and names it in the ready line; port 0 takes a free one.
pub async fn listen(
    kernel: &Kernel,
    service: ServiceName,
    name: &'static str,
    address: SocketAddr,
) -> Result<(TcpListener, SocketAddr)> {
    let listener = Server::listen(address)
        .await
        .map_err(|error| Error::start(service, error.code(), error))?;
    let bound = listener
        .local_addr()
        .map_err(|error| Error::start(service, ResultCode::AddressInUse, error))?;
    kernel.announce(name, bound);
    Ok((listener, bound))
}

/// Serves an interface for as long as the process lives, to so many connections at a time, and tells
/// of those that it drops.
pub fn serve_rpc(
    kernel: &Kernel,
    listener: TcpListener,
    bootstrap: Client,
    connections_max: usize,
) {
    let teller = kernel.clone();
    let dropped: rpc::DropReporter = Rc::new(move |reason: SmolStr| {
        teller.emit(Event::new(EventKind::RequestRejected).detail(reason));
    });
    let serving = rpc::serve(
        listener,
        bootstrap,
        kernel.executor(),
        connections_max,
        dropped,
    );
    kernel.spawn(serving).detach();
}
