//! Serves HTTP requests with the same drain and rejection behavior in every process.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use onyxshed_core::{Event, EventKind, ResultCode};
use onyxshed_http::server::LimitsSource;
use onyxshed_http::{Call, Handler, ListenerLimits, Reply, Server, ServerOptions};
use onyxshed_kernel::{Kernel, Result, ServiceName};
use onyxshed_telemetry::refusals;
use smol_str::format_smolstr;

use crate::listen::listen;

/// The HTTP server of one address of a process.
pub struct RequestServer {
    kernel: Kernel,
    name: &'static str,
    server: Server,
}

impl RequestServer {
    /// Shuts the address down; see [`Server::shut_down`]. Logs what is still open afterwards.
    pub async fn shut_down(&self, receive_deadline: Instant) {
        self.server.shut_down(receive_deadline).await;
        self.emit(EventKind::RequestsDrained);
    }

    /// Logs the requests that the end of the process leaves without a reply, if there are any.
    pub fn record_cut_off(&self) {
        if self.server.stats().in_flight.get() > 0 {
            self.emit(EventKind::RequestsCutOff);
        }
    }

    fn emit(&self, kind: EventKind) {
        let stats = self.server.stats();
        let connections = stats.connections.get();
        let requests = stats.in_flight.get();
        let closed = stats.idle_refused.get();
        let detail = format_smolstr!(
            "{connections} connections open, {requests} requests in flight, {closed} idle closed"
        );
        let event = Event::new(kind).party(self.name);
        self.kernel.emit(event.detail(detail));
    }
}

/// Address and limits of a listener for HTTP requests.
#[derive(Clone)]
pub struct RequestListener {
    /// Name of the listener, as the ready line and events show it.
    pub name: &'static str,
    /// Address on which the process listens.
    pub address: SocketAddr,
    /// Limits on connections.
    pub limits: ListenerLimits,
    /// Limits on each connection and on bodies.
    pub server: ServerOptions,
    /// Source of the limits on each request.
    pub request_limits: LimitsSource,
}

/// Serves HTTP requests on an address until the process exits.
///
/// While the process drains, each reply closes its connection, so that the peer reconnects to
/// another host. Requests that the server itself rejects are answered by `reject` and reported by
/// an event.
pub async fn serve_requests<Pending>(
    kernel: &Kernel,
    service: ServiceName,
    listener: RequestListener,
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
    let idle_refusal = reject(ResultCode::Draining);
    let RequestListener { name, limits, .. } = listener;
    let reporter = refusals::reporter(kernel, name);
    let options = limits.apply(listener.server);
    let server = Server::new(options, handler, Rc::new(reject))
        .with_limits(listener.request_limits)
        .report_refusals(reporter)
        .refuse_idle_with(idle_refusal);
    let (listener, _) = listen(
        kernel,
        service,
        name,
        listener.address,
        limits.listen_options(),
    )
    .await?;
    kernel
        .spawn(server.clone().run(listener, kernel.executor()))
        .detach();
    Ok(RequestServer {
        kernel: kernel.clone(),
        name,
        server,
    })
}
