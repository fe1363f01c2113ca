//! The HTTP service on a process's admin address: health, readiness, metrics, status, time line and
//! drain.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use http_types::Method;
use onyxshed_core::{Bytes, ResultCode, UnixMs};
use onyxshed_http::listen::listen;
use onyxshed_http::server::{PendingReply, RejectReply};
use onyxshed_http::{Call, Handler, ListenerLimits, Reply, Server, ServerOptions};
use onyxshed_kernel::{
    Descriptor, Error as KernelError, Kernel, LocalFuture, Result, Service, ServiceName,
    StopRequest,
};
use onyxshed_wire::admin::{
    DRAIN_PATH, HEALTH_PATH, METRICS_PATH, Problem, READY_PATH, STATUS_PATH, TIMELINE_PATH,
};
use smol_str::{SmolStr, format_smolstr};

use crate::refusals;
use crate::telemetry::Telemetry;
use crate::timeline::Filter;

/// How often the metrics that are not counted event by event are updated.
const UPKEEP_PERIOD: Duration = Duration::from_secs(5);

/// Limits of the admin server's connections, unless others are set.
const LIMITS: ListenerLimits = ListenerLimits {
    connections_max: 64,
    rejected_max: 64,
    backlog: 128,
};

/// Limits of the admin server: few connections, small requests.
const OPTIONS: ServerOptions = ServerOptions {
    connections_max: LIMITS.connections_max,
    rejected_max: LIMITS.rejected_max,
    head_max_bytes: 8 << 10,
    body_max_bytes: 4 << 10,
    bodies_max_bytes: 1 << 20,
    small_bodies_max_bytes: 1 << 20,
    replies_max_bytes: 64 << 20,
    idle_timeout: Duration::from_secs(30),
    head_timeout: Duration::from_secs(5),
    body_timeout: Duration::from_secs(5),
    reply_timeout: Duration::from_secs(10),
    cancels_on_disconnect: false,
};

/// Serves a process's telemetry on its admin address. Registers the [`Telemetry`] as its handle.
pub struct AdminService {
    telemetry: Rc<Telemetry>,
    address: SocketAddr,
    limits: ListenerLimits,
    reply_memory: Bytes,
    tasks: RefCell<Vec<Task<()>>>,
}

impl AdminService {
    /// Name under which the [`Telemetry`] is registered.
    pub const NAME: ServiceName = ServiceName::new("telemetry");

    /// Creates the service for an address; port 0 selects a free port.
    pub fn new(telemetry: Rc<Telemetry>, address: SocketAddr) -> Self {
        AdminService {
            telemetry,
            address,
            limits: LIMITS,
            reply_memory: Bytes(OPTIONS.replies_max_bytes),
            tasks: RefCell::default(),
        }
    }

    /// Replaces the limits on connections.
    pub fn with_limits(mut self, limits: ListenerLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Replaces the limit on the memory of replies that are being sent.
    pub fn with_reply_memory(mut self, reply_memory: Bytes) -> Self {
        self.reply_memory = reply_memory;
        self
    }

    async fn open(&self, kernel: &Kernel) -> Result<()> {
        let descriptor = Descriptor {
            name: Self::NAME,
            summary: "log, metrics, time line and the admin address",
        };
        kernel.register(descriptor, self.telemetry.clone())?;
        let listen_error =
            |error: onyxshed_http::Error| KernelError::start(Self::NAME, error.code(), error);
        let listener = listen(self.address, self.limits.listen_options())
            .await
            .map_err(listen_error)?;
        let address = listener
            .local_addr()
            .map_err(|error| KernelError::start(Self::NAME, ResultCode::AddressInUse, error))?;
        kernel.announce("admin", address);
        let options = self.limits.apply(ServerOptions {
            replies_max_bytes: self.reply_memory.0,
            ..OPTIONS
        });
        let server = Server::new(options, self.handler(kernel), rejection())
            .report_refusals(refusals::reporter(kernel, "admin"));
        let server_task = kernel.spawn(server.run(listener, kernel.executor()));
        let upkeep_task = kernel.spawn(run_upkeep(self.telemetry.clone()));
        self.tasks.borrow_mut().extend([server_task, upkeep_task]);
        Ok(())
    }

    fn handler(&self, kernel: &Kernel) -> Handler {
        let telemetry = self.telemetry.clone();
        let kernel = kernel.clone();
        Rc::new(move |call: Call| -> PendingReply {
            let reply = handle_call(&telemetry, &kernel, &call);
            Box::pin(async move { reply })
        })
    }
}

impl Service for AdminService {
    fn name(&self) -> ServiceName {
        Self::NAME
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(self.open(kernel))
    }

    fn stop<'a>(&'a self, _kernel: &'a Kernel) -> LocalFuture<'a, ()> {
        Box::pin(async {
            // Awaited, because the future of a dropped task, and with it the listener, exists until
            // the executor next runs the task.
            for task in self.tasks.take() {
                task.cancel().await;
            }
            self.telemetry.log().flush().await;
        })
    }
}

async fn run_upkeep(telemetry: Rc<Telemetry>) {
    loop {
        Timer::after(UPKEEP_PERIOD).await;
        telemetry.upkeep();
    }
}

fn rejection() -> RejectReply {
    Rc::new(|code| problem(code, ""))
}

fn handle_call(telemetry: &Telemetry, kernel: &Kernel, call: &Call) -> Reply {
    match (call.method(), call.path()) {
        (Method::Get, HEALTH_PATH) => Reply::bytes(200, "ok\n"),
        (Method::Get, READY_PATH) => readiness(kernel),
        (Method::Get, METRICS_PATH) => Reply::bytes(200, telemetry.render_metrics())
            .header("content-type", "text/plain; version=0.0.4"),
        (Method::Get, STATUS_PATH) => Reply::json(200, &telemetry.status()),
        (Method::Get, TIMELINE_PATH) => match parse_filter(call) {
            Ok(filter) => Reply::json(200, &telemetry.timeline(&filter)),
            Err(reason) => problem(ResultCode::BadRequest, &reason),
        },
        (Method::Post, DRAIN_PATH) => {
            kernel.request_stop(StopRequest::Drain);
            Reply::json(202, &telemetry.status())
        }
        _ => problem(ResultCode::NoSuchPath, call.path()),
    }
}

fn readiness(kernel: &Kernel) -> Reply {
    match kernel.readiness().not_ready_reason() {
        None => Reply::bytes(200, "ready\n"),
        Some(reason) => Reply::bytes(503, format!("not ready: {reason}\n")),
    }
}

fn problem(code: ResultCode, detail: &str) -> Reply {
    let text = match detail {
        "" => SmolStr::new_static(code.text()),
        detail => format_smolstr!("{} ({detail})", code.text()),
    };
    Reply::json(code.http_status(), &Problem { code, text })
}

/// Parses the query parameters of a time line request. Returns the reason as an error if one is
/// invalid.
fn parse_filter(call: &Call) -> std::result::Result<Filter, SmolStr> {
    let defaults = Filter::default();
    Ok(Filter {
        submission: query_value(call, "submission")?,
        class: query_value(call, "class")?,
        party: call.query("party"),
        since_ms: query_value(call, "since_ms")?.map_or(defaults.since_ms, UnixMs),
        limit: query_value(call, "limit")?.unwrap_or(defaults.limit),
    })
}

fn query_value<T: FromStr>(call: &Call, name: &str) -> std::result::Result<Option<T>, SmolStr>
where
    T::Err: std::fmt::Display,
{
    let parse = |text: SmolStr| {
        text.parse()
            .map_err(|error| format_smolstr!("{name}: {error}"))
    };
    call.query(name).map(parse).transpose()
}
