//! Serves HTTP requests with the same drain and rejection behavior in every process.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

use onyxshed_core::{Event, EventKind, ResultCode};
use onyxshed_http::{Call, Handler, Reply, Server, ServerOptions, ServerStats};
use onyxshed_kernel::{Kernel, Result, ServiceName};
use smol_str::format_smolstr;

use crate::listen::listen;

/// The HTTP server of one address of a process.
pub struct RequestServer {
    kernel: Kernel,
    name: &'static str,
    stats: Rc<ServerStats>,
}

impl RequestServer {
    /// Returns the number of requests whose reply has not been written yet.
    pub fn in_flight(&self) -> usize {
        self.stats.in_flight.get()
    }

    /// Logs that the address has drained, with the connections and requests that are still open.
    pub fn record_drained(&self) {
        self.emit(EventKind::RequestsDrained);
    }

    /// Logs the requests that the end of the process leaves without a reply, if there are any.
    pub fn record_cut_off(&self) {
        if self.in_flight() > 0 {
            self.emit(EventKind::RequestsCutOff);
        }
    }

    fn emit(&self, kind: EventKind) {
        let connections = self.stats.connections.get();
        let requests = self.in_flight();
        let detail =
            format_smolstr!("{connections} connections open, {requests} requests in flight");
        let event = Event::new(kind).party(self.name);
        self.kernel.emit(event.detail(detail));
    }
}

/// Serves HTTP requests on an address until the process exits.
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
) -> Result<RequestServer>
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
    Ok(RequestServer {
        kernel: kernel.clone(),
        name,
        stats,
    })
}
