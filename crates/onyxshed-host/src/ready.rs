//! The readiness endpoint, which the balancer polls to decide whether to send new callers to this
//! host.

use std::net::SocketAddr;
use std::rc::Rc;

use onyxshed_core::ResultCode;
use onyxshed_http::server::IN_CONNECTION_BYTES;
use onyxshed_http::{Call, Handler, ListenerLimits, Reply, Server, ServerOptions};
use onyxshed_kernel::{Kernel, LocalFuture, Result, Service, ServiceName};
use onyxshed_process::listen;
use onyxshed_telemetry::refusals;

use crate::links::Links;
use crate::manifest::ManifestHolder;
use crate::names::{LINKS, MANIFEST, READY};

/// HTTP status of a host that accepts callers.
const STATUS_READY: u16 = 200;

/// HTTP status of a host that does not accept callers.
const STATUS_NOT_READY: u16 = 503;

/// Service that answers the balancer's readiness checks.
pub struct ReadyService {
    address: SocketAddr,
    limits: ListenerLimits,
}

impl ReadyService {
    /// Creates the service, which listens on `address`.
    pub fn new(address: SocketAddr, limits: ListenerLimits) -> Self {
        ReadyService { address, limits }
    }

    async fn open(&self, kernel: &Kernel) -> Result<()> {
        let readiness = kernel.readiness().clone();
        let manifest: Rc<ManifestHolder> = kernel.find(MANIFEST)?;
        let links: Rc<Links> = kernel.find(LINKS)?;
        let handler: Handler = Rc::new(move |_call: Call| {
            let is_ready =
                readiness.is_ready() && manifest.get().is_some() && !links.should_divert_callers();
            let status = if is_ready {
                STATUS_READY
            } else {
                STATUS_NOT_READY
            };
            Box::pin(async move { Reply::bytes(status, Vec::new()) })
        });
        let reject = Rc::new(|_code: ResultCode| Reply::bytes(STATUS_NOT_READY, Vec::new()));
        let options = self.limits.apply(ServerOptions {
            body_max_bytes: IN_CONNECTION_BYTES,
            ..ServerOptions::default()
        });
        let server = Server::new(options, handler, reject)
            .report_refusals(refusals::reporter(kernel, "ready"));
        let (listener, _) = listen(
            kernel,
            READY,
            "ready",
            self.address,
            self.limits.listen_options(),
        )
        .await?;
        kernel
            .spawn(server.run(listener, kernel.executor()))
            .detach();
        Ok(())
    }
}

impl Service for ReadyService {
    fn name(&self) -> ServiceName {
        READY
    }

    fn dependencies(&self) -> &[ServiceName] {
        &[MANIFEST, LINKS]
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(self.open(kernel))
    }
}
