//! The HTTP interface for callers: parses each request, submits its job to a pool and sends the
//! reply.

mod in_progress;
mod replies;

use std::cell::{Cell, OnceCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::{FutureExt, future};
use http_types::Method;
use onyxshed_adapter::job::{self, DEADLINE_HEADER, REQUEST_HEADER, SimpleJob, Submission};
use onyxshed_adapter::{Manifest, Route};
use onyxshed_core::{CallerId, Event, EventKind, Millis, Mono, ResultCode};
use onyxshed_http::client::with_timeout;
use onyxshed_http::server::RequestLimits;
use onyxshed_http::{Call, CallerIdentity, ListenerLimits, Reply, ServerOptions};
use onyxshed_kernel::{Descriptor, Kernel, LocalFuture, Result, Service, ServiceName};
use onyxshed_pool::{
    AfterEnd, ClassId, EntryDecision, JobEnd, JobId, JobRequest, JobSummary, NotRunReason, PoolId,
    SubmissionNumber, UnknownReason,
};
use onyxshed_process::{RequestListener, RequestServer, serve_requests};
use smol_str::{SmolStr, format_smolstr};

use crate::arrivals::ArrivalClock;
use crate::boot_clock;
use crate::links::Links;
use crate::manifest::ManifestHolder;
use crate::measures::{ArrivalMetrics, HostMetrics, SentAway};
use crate::names::{CALLERS, LINKS, MANIFEST};
use crate::refusal_metrics::RefusalMetrics;
use in_progress::JobsInProgress;
use replies::{job_reply, not_run_text, rejection_reply};

/// Shortest time for which a stopping host continues to take requests: the balancer polls readiness
/// once a second and stops sending callers after two failed polls.
const BALANCER_NOTICE_TIME: Duration = Duration::from_millis(2_200);

/// How long a stopping host waits for the ends of the jobs that it cancels when it can no longer wait
/// for them: an owner answers within a few milliseconds, and the replies have to be written after it.
const CANCELLED_ENDS_WAIT: Duration = Duration::from_millis(150);

/// Time limit of a request whose deadline header is missing or is not a number.
const TIME_LIMIT_DEFAULT: Millis = Millis(5_000);

/// Longest time limit of a request: a caller can't occupy memory for longer.
const TIME_LIMIT_MAX: Millis = Millis(60_000);

/// Time reserved before the caller's deadline so that the reply arrives in time: covers a network
/// round trip and a pause of a host at its CPU limit.
const DEADLINE_MARGIN: Millis = Millis(60);

/// How long after its start a host delays requests until it knows the manifest and can reach an
/// executor through an owner: after a power failure this takes 60 to 300 ms from the start.
const STARTUP_WAIT_MAX: Duration = Duration::from_millis(400);

/// Interval at which a starting host checks whether it knows the manifest and can reach an executor.
const STARTUP_POLL: Duration = Duration::from_millis(10);

/// Retry-after time while this host knows no manifest or no pool to submit a job to; about the time
/// until a new owner takes over.
const NO_POOL_RETRY_AFTER: Millis = Millis(2_000);

/// Retry-after time while this host is stopping: other hosts accept the request at once.
const STOPPING_RETRY_AFTER: Millis = Millis(0);

/// Retry-after time while a limit on connections or memory is met: a new connection may reach another
/// host, and requests that arrive slowly are given up after 2 s.
const LIMIT_RETRY_AFTER: Millis = Millis(1_000);

/// Retry-after time for a request that waited until its caller's time was over: only the wait stood in
/// its way.
const EXPIRED_RETRY_AFTER: Millis = Millis(0);

/// Retry-after time for a kind of job that is not supported; a sooner retry would be rejected as
/// well.
const UNSUPPORTED_RETRY_AFTER: Millis = Millis(60_000);

/// Address and limits of the callers' interface.
#[derive(Debug, Clone)]
pub struct CallerOptions {
    /// Address on which the host listens for callers, from the host's settings.
    pub address: SocketAddr,
    /// Limits on the connections of callers.
    pub limits: ListenerLimits,
    /// Limits of the HTTP server on each connection.
    pub server: ServerOptions,
    /// How long a stopping host waits for unfinished jobs, from the start of its drain.
    pub drain_timeout: Duration,
    /// What identifies a caller.
    pub identity: CallerIdentity,
}

/// Handler of callers' requests, with the state that all requests share.
pub struct Callers {
    kernel: Kernel,
    manifest: Rc<ManifestHolder>,
    links: Rc<Links>,
    /// The HTTP server; empty until it listens.
    server: OnceCell<RequestServer>,
    metrics: HostMetrics,
    arrival_metrics: ArrivalMetrics,
    in_progress: Rc<JobsInProgress>,
    refusal_metrics: RefusalMetrics,
    identity: CallerIdentity,
    arrivals: Rc<ArrivalClock>,
    /// Closed when this host can serve requests or [`STARTUP_WAIT_MAX`] has elapsed.
    startup_over: Receiver<()>,
    /// Closed when a stopping host can no longer wait for unfinished jobs.
    drain_expired: Receiver<()>,
    drain_expired_sender: Sender<()>,
    /// Time at which `drain_expired` is closed; `None` until the host is stopping.
    drain_deadline: Cell<Option<Instant>>,
}

/// Values of a submission that its log events contain.
struct SubmissionContext {
    request_id: SmolStr,
    route: SmolStr,
    manifest_version: u64,
    job: JobId,
    caller: CallerId,
    arrived: Mono,
}

impl SubmissionContext {
    /// Creates a log event with the request id, the job id and the route of the submission.
    fn event(&self, kind: EventKind) -> Event {
        Event::new(kind)
            .request(self.request_id.clone())
            .job(format_smolstr!("{}", self.job))
            .party(self.route.clone())
    }
}

/// Logs a submission whose caller disconnects before the reply. The HTTP server then drops the
/// request's future, so the event can only be logged when the guard is dropped.
struct DisconnectGuard {
    kernel: Kernel,
    event: Option<Event>,
    arrived: Mono,
}

impl DisconnectGuard {
    fn arm(kernel: &Kernel, context: &SubmissionContext) -> Self {
        let event = context.event(EventKind::PoolJobLost);
        DisconnectGuard {
            kernel: kernel.clone(),
            event: Some(event),
            arrived: context.arrived,
        }
    }

    fn disarm(mut self) {
        self.event = None;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(event) = self.event.take() {
            let elapsed = boot_clock::now().since(self.arrived).as_millis();
            let detail = format_smolstr!("the caller left after {elapsed}");
            self.kernel.emit(event.detail(detail));
        }
    }
}

impl Callers {
    async fn handle(&self, call: Call) -> Reply {
        let arrived = self.arrivals.earliest_arrival(boot_clock::now());
        self.wait_for_startup().await;
        let Some(manifest) = self.manifest.get() else {
            let retry = Some(NO_POOL_RETRY_AFTER);
            return self.reject_request(&call, 503, "no manifest is known yet", retry);
        };
        let host = call.header("host").unwrap_or_default();
        let Some(route) = manifest.route(host, call.path()) else {
            return self.reject_request(&call, 404, "no such route", None);
        };
        let rest = &call.path()[route.path_prefix.len()..];
        match (call.method(), rest.is_empty()) {
            (Method::Post, false) => self.submit(&call, arrived, &manifest, route).await,
            (Method::Get, true) => Reply::json(200, &job::pending_body(0)),
            // No result is stored: a job is known only to the caller that waits for its reply.
            (Method::Get | Method::Delete, false) => rejection_reply(410, "no such job", None),
            _ => rejection_reply(404, "no such method here", None),
        }
    }

    /// Waits until this host can serve requests, for at most [`STARTUP_WAIT_MAX`] after its start.
    ///
    /// After a power failure callers connect as soon as the process listens, shortly before it
    /// knows the manifest and can reach an executor. The wait counts towards the job's target time.
    async fn wait_for_startup(&self) {
        // Completes when the channel is closed; no value is ever sent.
        let _ = self.startup_over.recv().await;
    }

    async fn submit(
        &self,
        call: &Call,
        arrived: Mono,
        manifest: &Manifest,
        route: &Route,
    ) -> Reply {
        if call.body.len() as u64 > manifest.body_max_bytes {
            return self.reject_request(
                call,
                413,
                "the body is larger than the manifest allows",
                None,
            );
        }
        let request_id = SmolStr::new(call.header(REQUEST_HEADER).unwrap_or_default());
        let job = match job::parse_job_id(call.path(), &route.path_prefix) {
            Ok(job) => job,
            Err(error) => return self.reject_request(call, 400, &format_smolstr!("{error}"), None),
        };
        let context = SubmissionContext {
            request_id,
            route: route.name.clone(),
            manifest_version: manifest.version,
            job,
            caller: self.identity.caller_of(call),
            arrived,
        };
        if let Some(reply) = self.refuse_on_arrival(&context) {
            return reply;
        }
        let simple = match job::parse(&call.body) {
            Ok(Submission::Simple(simple)) if !route.needs_advice => simple,
            Ok(Submission::Simple(_)) => return self.reject_unsupported(&context, "advice"),
            Ok(Submission::Unsupported(kind)) => return self.reject_unsupported(&context, kind),
            Err(error) => return self.reject_request(call, 400, &format_smolstr!("{error}"), None),
        };
        let time_limit = self.limit_to_drain_deadline(requested_time_limit(call));
        let job = self.job_request(route, &context, simple, time_limit);
        if job_after_wait(&job, arrived).time_left.0 == 0 {
            return self.refuse_expired(&context, &job);
        }
        let _in_progress = self.in_progress.begin(context.job);
        let disconnect_guard = DisconnectGuard::arm(&self.kernel, &context);
        let elapsed = boot_clock::now().since(arrived);
        let timeout = Duration::from(job.time_left).saturating_sub(elapsed.into());
        let outcome = with_timeout(timeout, self.submit_to_pools(&job, arrived));
        let (end, pool) = match outcome.or(self.wait_for_drain_expiry()).await {
            Some(outcome) => outcome,
            None => (
                JobEnd::Unknown(UnknownReason::TimeOut),
                SmolStr::new_static("?"),
            ),
        };
        disconnect_guard.disarm();
        self.record_end(&context, &job, &end, &pool);
        self.reply(&end)
    }

    /// Refuses a request of a class of which every pool admits less than it is offered, by the levels that
    /// the pools report; returns `None` if the request is to be submitted.
    ///
    /// No pool has seen the request, so its job can't run because of it. Requests for a job that is
    /// in progress here are copies and are submitted.
    fn refuse_on_arrival(&self, context: &SubmissionContext) -> Option<Reply> {
        let class = ClassId(context.route.clone());
        let EntryDecision::Refuse {
            retry_after,
            reason,
            admitted,
        } = self.links.decide_arrival(&class, context.job)
        else {
            return None;
        };
        if self.in_progress.contains(context.job) {
            return None;
        }
        let end = JobEnd::NotRun(reason, retry_after);
        let elapsed = boot_clock::now().since(context.arrived);
        self.metrics.record_reply(&end, elapsed);
        self.arrival_metrics.record_refusal(reason);
        let event = context
            .event(EventKind::PoolJobRefused)
            .detail(format_smolstr!(
                "on arrival: {}; {admitted} of its class are let through, retry after {retry_after}",
                not_run_text(reason)
            ));
        self.kernel.emit(event);
        Some(self.reply(&end))
    }

    /// Refuses a job whose caller no longer waits for it. The outcome is unknown if an earlier request
    /// for the job is in progress here.
    fn refuse_expired(&self, context: &SubmissionContext, job: &JobRequest) -> Reply {
        let end = match self.in_progress.contains(context.job) {
            true => JobEnd::Unknown(UnknownReason::TimeOut),
            false => JobEnd::NotRun(NotRunReason::NoTime, EXPIRED_RETRY_AFTER),
        };
        self.record_end(context, job, &end, &SmolStr::new_static("none"));
        self.reply(&end)
    }

    /// Returns the reply to a job. A rejection closes the connection if another host may serve the
    /// caller, since the balancer only redirects new connections.
    fn reply(&self, end: &JobEnd) -> Reply {
        let reply = job_reply(end);
        match end {
            JobEnd::NotRun(..) if self.links.should_divert_callers() => reply.connection_close(),
            _ => reply,
        }
    }

    /// Waits until this host can serve requests or [`STARTUP_WAIT_MAX`] has elapsed, then drops the
    /// sender, which closes `startup_over`.
    async fn watch_startup(self: Rc<Self>, _startup_sender: Sender<()>) {
        let deadline = Instant::now() + STARTUP_WAIT_MAX;
        let can_serve = || self.manifest.get().is_some() && self.links.can_reach_executor();
        while !can_serve() && Instant::now() < deadline {
            Timer::after(STARTUP_POLL).await;
        }
    }

    /// Limits the time of a job to the remaining drain time of a stopping host, so that a job which
    /// cannot end by then is rejected instead of aborted.
    fn limit_to_drain_deadline(&self, time_limit: Millis) -> Millis {
        let Some(drain_deadline) = self.drain_deadline.get() else {
            return time_limit;
        };
        let remaining = drain_deadline
            .saturating_duration_since(Instant::now())
            .as_millis();
        time_limit.min(Millis(u64::try_from(remaining).unwrap_or(u64::MAX)))
    }

    /// Waits for the end of the drain and then for the ends of the jobs that are cancelled, and returns
    /// the outcome of a job whose end has not arrived by then.
    ///
    /// The platform kills a host that is still running at the end of its grace period. Callers that
    /// receive an unknown outcome before that resubmit their jobs.
    async fn wait_for_drain_expiry(&self) -> Option<(JobEnd, SmolStr)> {
        // Completes when the channel is closed; no value is ever sent.
        let _ = self.drain_expired.recv().await;
        Timer::after(CANCELLED_ENDS_WAIT).await;
        Some((
            JobEnd::Unknown(UnknownReason::EntryStopped),
            SmolStr::new_static("?"),
        ))
    }

    /// Rejects a request before a job is created from it, and logs the rejection.
    fn reject_request(
        &self,
        call: &Call,
        status: u16,
        reason: &str,
        retry_after: Option<Millis>,
    ) -> Reply {
        let event = Event::new(EventKind::PoolJobRefused)
            .request(call.header(REQUEST_HEADER).unwrap_or_default())
            .party(call.path())
            .detail(format_smolstr!("status {status}: {reason}"));
        self.kernel.emit(event);
        rejection_reply(status, reason, retry_after)
    }

    fn reject_unsupported(&self, context: &SubmissionContext, kind: &'static str) -> Reply {
        let event = context
            .event(EventKind::PoolJobRefused)
            .detail(format_smolstr!("not supported: {kind}"));
        self.kernel.emit(event);
        rejection_reply(503, kind, Some(UNSUPPORTED_RETRY_AFTER))
    }

    fn job_request(
        &self,
        route: &Route,
        context: &SubmissionContext,
        simple: SimpleJob,
        time_limit: Millis,
    ) -> JobRequest {
        JobRequest {
            peer: self.links.incarnation(),
            // Replaced by `submit_to_pools` for each pool to which the job is submitted.
            submission: SubmissionNumber(0),
            job: context.job,
            upstream: route.upstream.clone(),
            spec: simple.spec,
            tasks: simple.tasks,
            demand: simple.demand,
            estimate: simple.estimate_ms,
            attempts_max: route.attempts_max,
            stretch_millis: route.stretch_millis,
            objective: route.objective_ms,
            elapsed: Millis(0),
            time_left: Millis(time_limit.0.saturating_sub(DEADLINE_MARGIN.0)),
            label: simple.label,
            data_rack: simple.data_rack,
            per_executor_max: simple.per_executor_max,
            class: ClassId(route.name.clone()),
            priority: route.priority,
            caller: context.caller,
            transfers: 0,
        }
    }

    /// Submits a job to the pools in the order of [`Links::rank_pools`] until [`Links::after_end`] lets
    /// an end stand or the drain has ended, which also cancels the job. Returns the job's end and the
    /// pool that was tried last.
    async fn submit_to_pools(&self, job: &JobRequest, arrived: Mono) -> (JobEnd, SmolStr) {
        let mut last = (
            JobEnd::NotRun(self.links.no_pool_reason(), NO_POOL_RETRY_AFTER),
            SmolStr::new_static("none"),
        );
        let mut pools = VecDeque::from(self.links.rank_pools(job));
        if let Some(first) = pools.front()
            && *first != self.links.preferred_pool()
        {
            self.metrics.record_sent_away(SentAway::Chosen);
        }
        let mut transfers = job.transfers;
        while let Some(pool) = pools.pop_front() {
            let attempt = JobRequest {
                submission: self.links.next_submission(),
                transfers,
                ..job_after_wait(job, arrived)
            };
            let end = self.links.run(&pool, attempt, &self.drain_expired).await;
            last = (end, format_smolstr!("{pool}"));
            if self.drain_expired.is_closed() {
                break;
            }
            let waited = JobRequest {
                transfers,
                ..job_after_wait(job, arrived)
            };
            match self.links.after_end(&pool, &end, &waited) {
                AfterEnd::Answer => break,
                // Each refusal costs an owner a call, which an overloaded fleet has no time for.
                AfterEnd::TryNext if is_want_of_room(&end) => {
                    pools.retain(|next| self.links.may_admit(next));
                }
                AfterEnd::TryNext => {}
                AfterEnd::PassOn(next) => {
                    self.record_passed_on(job.job, &pool, &next, &end);
                    transfers += 1;
                    pools.retain(|other| *other != next);
                    pools.push_front(next);
                }
            }
        }
        last
    }

    fn record_passed_on(&self, job: JobId, from: &PoolId, to: &PoolId, end: &JobEnd) {
        self.metrics.record_sent_away(SentAway::Refused);
        let event = Event::new(EventKind::PoolJobPassedOn)
            .job(format_smolstr!("{job}"))
            .party(format_smolstr!("{to}"))
            .detail(format_smolstr!("pool {from}: {end}"));
        self.kernel.emit(event);
    }

    /// Waits until the balancer has noticed that this host is stopping and its pool is drained, at
    /// the latest until `drain_deadline`.
    ///
    /// Until then the host may be the only one in its zone that callers reach.
    async fn serve_until_drained(&self, drain_deadline: Instant) {
        let drained = async {
            Timer::after(BALANCER_NOTICE_TIME).await;
            self.links.drain_own_pool().await;
        };
        let expired = async {
            Timer::at(drain_deadline).await;
        };
        drained.or(expired).await;
    }

    /// Ends the jobs that are unfinished at `drain_deadline`.
    async fn expire_drain(&self, drain_deadline: Instant) {
        Timer::at(drain_deadline).await;
        self.drain_expired_sender.close();
        future::pending().await
    }

    fn record_end(
        &self,
        context: &SubmissionContext,
        job: &JobRequest,
        end: &JobEnd,
        pool: &SmolStr,
    ) {
        let kind = match end {
            JobEnd::Completed | JobEnd::Failed => EventKind::PoolJobAnswered,
            JobEnd::NotRun(..) => EventKind::PoolJobRefused,
            JobEnd::Unknown(_) => EventKind::PoolJobLost,
        };
        let elapsed = boot_clock::now().since(context.arrived);
        self.metrics.record_reply(end, elapsed);
        if let JobEnd::NotRun(reason, wait) = end {
            self.refusal_metrics.record(*reason, *wait);
        }
        let summary = JobSummary {
            end: *end,
            took: elapsed.as_millis(),
            target: job.target().as_millis(),
            tasks: job.tasks,
            estimate: job.estimate,
            demand: job.demand,
            pool: pool.clone(),
            manifest: context.manifest_version,
        };
        let event = context.event(kind).detail(format_smolstr!("{summary}"));
        self.kernel.emit(event);
    }
}

/// Returns a job with the time that has passed since it arrived.
fn job_after_wait(job: &JobRequest, arrived: Mono) -> JobRequest {
    let elapsed = boot_clock::now().since(arrived).as_millis();
    JobRequest {
        elapsed,
        time_left: Millis(job.time_left.0.saturating_sub(elapsed.0)),
        ..job.clone()
    }
}

fn is_want_of_room(end: &JobEnd) -> bool {
    matches!(end, JobEnd::NotRun(reason, _) if reason.is_want_of_room())
}

fn requested_time_limit(call: &Call) -> Millis {
    let header = call.header(DEADLINE_HEADER);
    header
        .and_then(|text| text.parse().ok())
        .map_or(TIME_LIMIT_DEFAULT, Millis)
        .min(TIME_LIMIT_MAX)
}

/// Returns when a caller may come back whose request the server itself has rejected.
fn retry_after(code: ResultCode) -> Option<Millis> {
    match code {
        ResultCode::Draining => Some(STOPPING_RETRY_AFTER),
        ResultCode::TooManyConnections | ResultCode::EntryFull | ResultCode::TooSlow => {
            Some(LIMIT_RETRY_AFTER)
        }
        _ => None,
    }
}

/// Returns the limits that a manifest sets for requests.
fn limits_of(manifest: &Manifest) -> RequestLimits {
    RequestLimits {
        head_max_bytes: manifest.head_max_bytes,
        body_max_bytes: manifest.body_max_bytes,
        head_timeout: manifest.head_timeout_ms.into(),
    }
}

/// Service that accepts requests of callers.
pub struct CallerService {
    options: CallerOptions,
}

impl CallerService {
    /// Creates the service, which listens on `options.address`.
    pub fn new(options: CallerOptions) -> Self {
        CallerService { options }
    }

    async fn open(&self, kernel: &Kernel) -> Result<()> {
        let (drain_expired_sender, drain_expired) = async_channel::bounded(1);
        let (startup_sender, startup_over) = async_channel::bounded(1);
        let callers = Rc::new(Callers {
            kernel: kernel.clone(),
            manifest: kernel.find(MANIFEST)?,
            links: kernel.find(LINKS)?,
            server: OnceCell::new(),
            metrics: HostMetrics::new(),
            arrival_metrics: ArrivalMetrics::new(),
            in_progress: Rc::default(),
            refusal_metrics: RefusalMetrics::new(),
            identity: self.options.identity.clone(),
            arrivals: Rc::new(ArrivalClock::new(boot_clock::now())),
            startup_over,
            drain_expired,
            drain_expired_sender,
            drain_deadline: Cell::new(None),
        });
        kernel
            .spawn(callers.clone().watch_startup(startup_sender))
            .detach();
        kernel.spawn(callers.arrivals.clone().run()).detach();
        let handler_state = callers.clone();
        let manifest = callers.manifest.clone();
        let handle = move |call| {
            let callers = handler_state.clone();
            async move { callers.handle(call).await }
        };
        let reject = |code: ResultCode| {
            let reason = format_smolstr!("{code}");
            rejection_reply(code.http_status(), &reason, retry_after(code))
        };
        let listener = RequestListener {
            name: "caller",
            address: self.options.address,
            limits: self.options.limits,
            server: self.options.server,
            request_limits: Rc::new(move || manifest.get().map(|manifest| limits_of(&manifest))),
        };
        let server = serve_requests(kernel, CALLERS, listener, handle, reject).await?;
        // Cannot fail: the cell is set only here.
        let _ = callers.server.set(server);
        let descriptor = Descriptor {
            name: CALLERS,
            summary: "requests of callers",
        };
        kernel.register(descriptor, callers)
    }
}

impl Service for CallerService {
    fn name(&self) -> ServiceName {
        CALLERS
    }

    fn dependencies(&self) -> &[ServiceName] {
        &[MANIFEST, LINKS]
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(self.open(kernel))
    }

    /// Continues to serve until the balancer has noticed that this host is not ready and its pool is
    /// drained, then takes no more requests and waits for the last reply.
    fn drain<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, ()> {
        Box::pin(async move {
            let Ok(callers) = kernel.find::<Callers>(CALLERS) else {
                return;
            };
            let drain_deadline = Instant::now() + self.options.drain_timeout;
            callers.drain_deadline.set(Some(drain_deadline));
            let Some(server) = callers.server.get() else {
                return;
            };
            callers.serve_until_drained(drain_deadline).await;
            let shut_down = server.shut_down(drain_deadline);
            shut_down.or(callers.expire_drain(drain_deadline)).await;
        })
    }

    fn stop<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, ()> {
        Box::pin(async move {
            let callers = kernel.find::<Callers>(CALLERS).ok();
            if let Some(server) = callers.as_ref().and_then(|callers| callers.server.get()) {
                server.record_cut_off();
            }
        })
    }
}
