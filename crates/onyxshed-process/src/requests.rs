//! Serving requests of callers, so that all processes stop and turn away alike.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

use onyxshed_core::{Event, EventKind, ResultCode};
use onyxshed_http::{Call, Handler, Reply, Server, ServerOptions, ServerStats};
use onyxshed_kernel::{Kernel, Result, ServiceName};
use smol_str::format_smolstr;

use crate::listen::listen;

/// Serves requests on an address for as long as the process lives, and gets the address's counts.
///
/// While the process is stopping each reply asks the peer to connect anew, so that it comes to
/// another host. What the server itself turns away is answered by `reject` and told of.
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
    let teller = kernel.clone();
    let reject = Rc::new(move |code: ResultCode| {
        let event = Event::new(EventKind::RequestRejected);
        teller.emit(event.detail(format_smolstr!("{code}")));
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
