//! Serves the requests of callers, and of peers that forward callers' requests.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use http_types::Method;
use onyxshed_core::{CallerId, Millis, ResultCode, SubmissionId};
use onyxshed_dispatch::Input;
use onyxshed_http::{Call, CallerIdentity, ListenerLimits, Reply, ServerOptions};
use onyxshed_kernel::{Descriptor, Kernel, LocalFuture, Result, Service, ServiceName};
use onyxshed_process::{RequestListener, RequestServer, serve_requests};
use onyxshed_wire::caller::{Answer, FORWARDED_HEADER, JOBS_PATH, Submission};

use crate::engine::Engine;
use crate::measures;
use crate::names::{CALLERS, CLAIM_LOG, CONTROL_PORT, ENGINE, PEERS, UPSTREAMS};

/// The listener on which a request arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ListenerKind {
    /// The listener for callers; its requests never count as forwarded.
    Caller,
    /// The listener for peers, which may forward requests to this host.
    Peer,
}

/// The operation that a request's method and path select; `Invalid` contains the result code of the
/// answer.
enum Route {
    Submit,
    Fetch(SubmissionId),
    Cancel(SubmissionId),
    Invalid(ResultCode),
}

/// Addresses and limits of the two listeners.
#[derive(Debug, Clone)]
pub struct CallerOptions {
    /// Address of the listener for callers.
    pub caller_address: SocketAddr,
    /// Address of the listener for peers.
    pub peer_address: SocketAddr,
    /// What identifies a caller; `None` if callers are not told apart.
    pub identity: Option<CallerIdentity>,
    /// Limits on connections, which apply to each listener separately.
    pub limits: ListenerLimits,
    /// Limits on each connection and on bodies, which apply to each listener separately.
    pub server: ServerOptions,
}

/// The HTTP servers of both listeners.
struct Callers {
    caller: RequestServer,
    peer: RequestServer,
}

/// The service that accepts requests of callers and of peers, each on a listener of its own.
pub struct CallerService {
    engine: Rc<Engine>,
    options: CallerOptions,
}

impl CallerService {
    /// Creates the service; the listeners are opened when it starts.
    pub fn new(engine: Rc<Engine>, options: CallerOptions) -> Self {
        CallerService { engine, options }
    }

    /// Opens one listener and serves the requests that arrive on it.
    async fn open(
        &self,
        kernel: &Kernel,
        name: &'static str,
        address: SocketAddr,
        kind: ListenerKind,
    ) -> Result<RequestServer> {
        let engine = self.engine.clone();
        let identity = Rc::new(self.options.identity.clone());
        let handle = move |call| {
            let (engine, identity) = (engine.clone(), identity.clone());
            async move { handle(&engine, kind, identity.as_ref().as_ref(), call).await }
        };
        let reject = |code| reply_of(&rejection(code));
        let listener = RequestListener {
            name,
            address,
            limits: self.options.limits,
            server: self.options.server,
            request_limits: Rc::new(|| None),
        };
        serve_requests(kernel, CALLERS, listener, handle, reject).await
    }
}

impl Service for CallerService {
    fn name(&self) -> ServiceName {
        CALLERS
    }

    fn dependencies(&self) -> &[ServiceName] {
        &[ENGINE, UPSTREAMS, CLAIM_LOG, PEERS, CONTROL_PORT]
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            let options = &self.options;
            let caller = self
                .open(
                    kernel,
                    "caller",
                    options.caller_address,
                    ListenerKind::Caller,
                )
                .await?;
            let peer = self
                .open(kernel, "peer", options.peer_address, ListenerKind::Peer)
                .await?;
            let descriptor = Descriptor {
                name: CALLERS,
                summary: "requests of callers and peers",
            };
            kernel.register(descriptor, Rc::new(Callers { caller, peer }))
        })
    }

    /// Rejects new jobs from now on, for `DRAIN_GRACE` and until the last job has ended. Then takes no
    /// more requests of callers and peers.
    fn drain<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, ()> {
        Box::pin(async move {
            let answer_deadline = self.engine.begin_drain();
            Timer::after(DRAIN_GRACE).await;
            let Ok(callers) = kernel.find::<Callers>(CALLERS) else {
                return;
            };
            self.engine.wait_for_jobs().await;
            callers.caller.shut_down(answer_deadline).await;
            callers.peer.shut_down(answer_deadline).await;
        })
    }

    fn stop<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, ()> {
        Box::pin(async move {
            if let Ok(callers) = kernel.find::<Callers>(CALLERS) {
                callers.caller.record_cut_off();
                callers.peer.record_cut_off();
            }
        })
    }
}

/// How long a drain takes requests at least, in order to reject them. With less, load balancers that
/// have not noticed yet that readiness is false meet a closed address.
const DRAIN_GRACE: Duration = Duration::from_millis(500);

async fn handle(
    engine: &Engine,
    listener: ListenerKind,
    identity: Option<&CallerIdentity>,
    mut call: Call,
) -> Reply {
    let is_forwarded = listener == ListenerKind::Peer && call.header(FORWARDED_HEADER).is_some();
    let answer = match route(&call) {
        Route::Submit => {
            let identity = identity.filter(|_| listener == ListenerKind::Caller);
            let caller = identity.map_or(CallerId::UNKNOWN, |identity| identity.caller_of(&call));
            submit(engine, std::mem::take(&mut call.body), caller, is_forwarded).await
        }
        Route::Fetch(id) => {
            engine
                .request(|request| Input::Fetch {
                    request,
                    id,
                    is_forwarded,
                })
                .await
        }
        Route::Cancel(id) => {
            engine
                .request(|request| Input::Cancel {
                    request,
                    id,
                    is_forwarded,
                })
                .await
        }
        Route::Invalid(code) => Answer::ended(None, code, ""),
    };
    reply_of(&answer)
}

async fn submit(engine: &Engine, body: Vec<u8>, caller: CallerId, is_forwarded: bool) -> Answer {
    let decoded = Submission::decode(&body);
    // The job owns its payloads; the body would take the same memory again until the answer.
    drop(body);
    match decoded {
        Ok(submission) => {
            let (class, arrived_at) = (submission.class.clone(), Instant::now());
            let make_input = |request| Input::Submit {
                request,
                submission,
                caller,
                is_forwarded,
            };
            let answer = engine.request(make_input).await;
            measures::record_answer(&class, &answer, arrived_at.elapsed());
            answer
        }
        Err(error) => Answer::ended(None, error.code(), &error.to_string()),
    }
}

fn route(call: &Call) -> Route {
    let Some(rest) = call.path().strip_prefix(JOBS_PATH) else {
        return Route::Invalid(ResultCode::NoSuchPath);
    };
    if rest.is_empty() {
        return match call.method() {
            Method::Post => Route::Submit,
            _ => Route::Invalid(ResultCode::NoSuchPath),
        };
    }
    let id = rest.strip_prefix('/').and_then(|text| text.parse().ok());
    match (call.method(), id) {
        (Method::Get, Some(id)) => Route::Fetch(id),
        (Method::Delete, Some(id)) => Route::Cancel(id),
        (Method::Get | Method::Delete, None) => Route::Invalid(ResultCode::BadRequest),
        _ => Route::Invalid(ResultCode::NoSuchPath),
    }
}

/// Delay after which a caller may retry, sent if its request was rejected before it was read whole
/// because it arrived too slowly or the host has no capacity.
const RETRY_AFTER: Millis = Millis(1_000);

/// Creates the answer to a request that was rejected before it was read whole.
///
/// A request that a stopping process has not read may concern a job that runs, so it is not answered
/// with a code that denies this.
fn rejection(code: ResultCode) -> Answer {
    let code = match code {
        ResultCode::Draining => ResultCode::EarlierCopyOpen,
        code => code,
    };
    let answer = Answer::ended(None, code, "");
    match code {
        ResultCode::EarlierCopyOpen
        | ResultCode::TooSlow
        | ResultCode::TooManyConnections
        | ResultCode::EntryFull => answer.retry_after(RETRY_AFTER),
        _ => answer,
    }
}

fn reply_of(answer: &Answer) -> Reply {
    let reply = Reply::json(answer.http_status(), answer);
    match answer.retry_after_ms {
        Some(delay) => reply.retry_after_ms(delay.0),
        None => reply,
    }
}
