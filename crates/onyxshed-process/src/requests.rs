//! Serves HTTP requests with the same drain and rejection behavior in every process.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

use onyxshed_core::{Event, EventKind, ResultCode};
use onyxshed_http::{Call, Handler, Reply, Server, ServerOptions, ServerStats};
use onyxshed_kernel::{Kernel, Result, ServiceName};
use smol_str::format_smolstr;

use crate::listen::listen;

/// Serves HTTP requests on an address until the process exits. Returns the counters of the address.
///
/// While the process drains, each reply closes its connection, so that the peer reconnects to
/// another host. Requests that the server itself rejects are answered by `reject` and reported by
/// an event.
pub async fn serve_requests<Pending>(
    kernel: &Kernel,
    service: ServiceName,
    name: &'static str,
    address: SocketAddr,
    options: ServerOptions,
    handle: impl Fn(Call) -> Pending + 'static,
    reject: impl Fn(ResultCode) -> Reply + 'static,
) -> Result<Rc<ServerStats>>
where
    Pending: Future<Output = Reply> + 'static,
{
    let readiness = kernel.readiness().clone();
    let handler: Handler = Rc::new(move |call| {
        let readiness = readiness.clone();
        let pending = handle(call);
        Box::pin(async move {
            let reply = pending.await;
            match readiness.is_draining() {
                true => reply.connection_close(),
                false => reply,
            }
        })
    });
    let reporter = kernel.clone();
    let reject = Rc::new(move |code: ResultCode| {
        let event = Event::new(EventKind::RequestRejected);
        reporter.emit(event.detail(format_smolstr!("{code}")));
        reject(code)
    });
    let server = Server::new(options, handler, reject);
    let stats = server.stats();
    let (listener, _) = listen(kernel, service, name, address).await?;
    kernel
        .spawn(server.run(listener, kernel.executor()))
        .detach();
    Ok(stats)
}
