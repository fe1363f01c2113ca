//! Requests of callers.

mod replies;

use std::cell::{Cell, OnceCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use http_types::Method;
use onyxshed_adapter::job::{self, DEADLINE_HEADER, REQUEST_HEADER, SimpleJob, Submission};
use onyxshed_adapter::{Manifest, Route};
use onyxshed_core::{Event, EventKind, Millis, Mono, ResultCode};
use onyxshed_http::client::within;
use onyxshed_http::{Call, Reply, ServerOptions, ServerStats};
use onyxshed_kernel::{Descriptor, Kernel, LocalFuture, Result, Service, ServiceName};
use onyxshed_pool::{JobEnd, JobId, JobRequest, JobSummary, SubmissionNumber, UnknownReason};
use onyxshed_process::serve_requests;
use smol_str::{SmolStr, format_smolstr};

use crate::boot_clock;
use crate::links::Links;
use crate::manifest::ManifestHolder;
use crate::measures::HostMetrics;
use crate::names::{CALLERS, LINKS, MANIFEST};
use replies::{job_reply, rejection_reply};

/// How long a stopping host goes on serving before it looks for its end: the balancer asks for
/// readiness once a second and needs two misses.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_200);

/// How often a stopping host looks whether the last reply has been written.
const DRAIN_POLL: Duration = Duration::from_millis(10);

/// What a request without a deadline gets.
const DEADLINE_DEFAULT: Millis = Millis(5_000);

/// Kept free before the caller's deadline, so that the answer reaches it: the way there and back
/// and a standstill of a host at its processor limit.
const DEADLINE_MARGIN: Millis = Millis(60);

/// How long after its start a host lets requests wait for the manifest and an owner with executors: after
/// a loss of power both are known 60 to 300 ms after the start.
const STARTUP_WAIT_MAX: Duration = Duration::from_millis(400);

/// How often a host that has just started looks whether it knows them.
const STARTUP_POLL: Duration = Duration::from_millis(10);

/// When a caller is asked back while no owner of a pool is known; a new one takes about that long.
const NO_POOL_RETRY_AFTER: Millis = Millis(2_000);

/// When a caller is asked back whose kind of job is not built: it won't be soon.
const UNSUPPORTED_RETRY_AFTER: Millis = Millis(60_000);

/// Where callers are served, and within which limits.
#[derive(Debug, Clone, Copy)]
pub struct CallerOptions {
    /// Where callers connect.
    pub address: SocketAddr,
    /// Limits of the address.
    pub server: ServerOptions,
    /// How long a stopping host waits for the jobs under way.
    pub drain_timeout: Duration,
}

/// Handle to the callers' requests.
pub struct Callers {
    kernel: Kernel,
    manifest: Rc<ManifestHolder>,
    links: Rc<Links>,
    /// Counts of the address, from when it is served on.
    stats: OnceCell<Rc<ServerStats>>,
    metrics: HostMetrics,
    /// Closed when this host knows what it needs to serve, or had its time for that.
    startup_over: Receiver<()>,
    /// Closed when this host can wait no longer for the jobs under way.
    drain_expired: Receiver<()>,
    drain_expired_sender: Sender<()>,
    /// When that will be, once the host is stopping.
    drain_deadline: Cell<Option<Instant>>,
}

/// A submission as it was understood.
struct SubmissionContext {
    request_id: SmolStr,
    route: SmolStr,
    manifest_version: u64,
    job: JobId,
    arrived: Mono,
}

impl SubmissionContext {
    /// Makes an event about the submission.
    fn event(&self, kind: EventKind) -> Event {
        Event::new(kind)
            .request(self.request_id.clone())
            .job(format_smolstr!("{}", self.job))
            .party(self.route.clone())
    }
}

/// Writes the line of a submission whose caller left before its answer: the request's future is
/// dropped then, and nothing after it runs.
struct DisconnectGuard {
    kernel: Kernel,
    event: Option<Event>,
    arrived: Mono,
}

impl DisconnectGuard {
    fn arm(kernel: &Kernel, asked: &SubmissionContext) -> Self {
        let event = asked.event(EventKind::PoolJobLost);
        DisconnectGuard {
            kernel: kernel.clone(),
            event: Some(event),
            arrived: asked.arrived,
        }
    }

    fn disarm(mut self) {
        self.event = None;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(event) = self.event.take() {
            let took = boot_clock::now().since(self.arrived).as_millis();
            let detail = format_smolstr!("the caller left after {took}");
            self.kernel.emit(event.detail(detail));
        }
    }
}

impl Callers {
    async fn handle(&self, call: Call) -> Reply {
        let arrived = boot_clock::now();
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
            // Jobs that need not be stored are known to nobody but the caller that waits.
            (Method::Get | Method::Delete, false) => rejection_reply(410, "no such job", None),
            _ => rejection_reply(404, "no such method here", None),
        }
    }

    /// Waits until this host knows what it needs to serve, for a moment after its start at most.
    ///
    /// After a loss of power callers connect as soon as a process listens, a moment before it knows the
    /// manifest and an owner. The wait counts towards the job's target.
    async fn wait_for_startup(&self) {
        // Ends when the channel is closed; nothing is ever sent.
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
        let request = SmolStr::new(call.header(REQUEST_HEADER).unwrap_or_default());
        let job = match job::job_id(call.path(), &route.path_prefix) {
            Ok(job) => job,
            Err(error) => return self.reject_request(call, 400, &format_smolstr!("{error}"), None),
        };
        let asked = SubmissionContext {
            request_id: request,
            route: route.name.clone(),
            manifest_version: manifest.version,
            job,
            arrived,
        };
        let simple = match job::parse(&call.body) {
            Ok(Submission::Simple(simple)) if !route.needs_advice => simple,
            Ok(Submission::Simple(_)) => return self.reject_unsupported(&asked, "advice"),
            Ok(Submission::Unsupported(what)) => return self.reject_unsupported(&asked, what),
            Err(error) => return self.reject_request(call, 400, &format_smolstr!("{error}"), None),
        };
        let deadline = self.limit_to_drain_deadline(requested_time_limit(call));
        let job = self.job_request(route, &asked, simple, deadline);
        let leaving = DisconnectGuard::arm(&self.kernel, &asked);
        let spent = boot_clock::now().since(arrived);
        let give_up = Duration::from(job.time_left).saturating_sub(spent.into());
        let served = within(give_up, self.dispatch(&job, arrived));
        let (end, pool) = match served.or(self.wait_for_drain_expiry()).await {
            Some(served) => served,
            None => (
                JobEnd::Unknown(UnknownReason::TimeOut),
                SmolStr::new_static("?"),
            ),
        };
        leaving.disarm();
        self.record_end(&asked, &job, &end, &pool);
        self.reply(&end)
    }

    /// Makes the answer to a job. A refusal ends the connection if another host may serve the caller: the
    /// balancer moves new connections only.
    fn reply(&self, end: &JobEnd) -> Reply {
        let reply = job_reply(end);
        match end {
            JobEnd::NotRun(..) if self.links.should_send_callers_away() => reply.last(),
            _ => reply,
        }
    }

    /// Ends the start, by dropping its sender, when this host knows what it needs to serve.
    async fn watch_startup(self: Rc<Self>, _starting: Sender<()>) {
        let over_at = Instant::now() + STARTUP_WAIT_MAX;
        let knows_enough = || self.manifest.get().is_some() && self.links.can_reach_executor();
        while !knows_enough() && Instant::now() < over_at {
            Timer::after(STARTUP_POLL).await;
        }
    }

    /// Shortens a caller's deadline to what a stopping host can still wait, so that a job which
    /// can't end by then is refused and not cut off.
    fn limit_to_drain_deadline(&self, deadline: Millis) -> Millis {
        let Some(at) = self.drain_deadline.get() else {
            return deadline;
        };
        let left = at.saturating_duration_since(Instant::now()).as_millis();
        deadline.min(Millis(u64::try_from(left).unwrap_or(u64::MAX)))
    }

    /// Waits until this host can wait no longer.
    ///
    /// The platform kills a host that is still at work when its grace is over. Callers who are told before
    /// that their jobs' fate is unknown send them again.
    async fn wait_for_drain_expiry(&self) -> Option<(JobEnd, SmolStr)> {
        // Ends when the channel is closed; nothing is ever sent.
        let _ = self.drain_expired.recv().await;
        Some((
            JobEnd::Unknown(UnknownReason::EntryStopped),
            SmolStr::new_static("?"),
        ))
    }

    /// Refuses a request before it is a job, and writes its line.
    fn reject_request(
        &self,
        call: &Call,
        status: u16,
        why: &str,
        retry_after: Option<Millis>,
    ) -> Reply {
        let event = Event::new(EventKind::PoolJobRefused)
            .request(call.header(REQUEST_HEADER).unwrap_or_default())
            .party(call.path())
            .detail(format_smolstr!("status {status}: {why}"));
        self.kernel.emit(event);
        rejection_reply(status, why, retry_after)
    }

    fn reject_unsupported(&self, asked: &SubmissionContext, what: &'static str) -> Reply {
        let event = asked
            .event(EventKind::PoolJobRefused)
            .detail(format_smolstr!("not built: {what}"));
        self.kernel.emit(event);
        rejection_reply(503, what, Some(UNSUPPORTED_RETRY_AFTER))
    }

    fn job_request(
        &self,
        route: &Route,
        asked: &SubmissionContext,
        simple: SimpleJob,
        deadline: Millis,
    ) -> JobRequest {
        JobRequest {
            peer: self.links.incarnation(),
            // Each hand-over has a number of its own.
            submission: SubmissionNumber(0),
            job: asked.job,
            upstream: route.upstream.clone(),
            spec: simple.spec,
            tasks: simple.tasks,
            demand: simple.demand,
            estimate: simple.estimate_ms,
            attempts_max: route.attempts_max,
            stretch_millis: route.stretch_millis,
            objective: route.objective_ms,
            elapsed: Millis(0),
            time_left: Millis(deadline.0.saturating_sub(DEADLINE_MARGIN.0)),
            label: simple.label,
            data_rack: simple.data_rack,
            per_executor_max: simple.per_executor_max,
        }
    }

    /// Hands a job to the pool that serves it best; to the next one while it is not run.
    async fn dispatch(&self, job: &JobRequest, arrived: Mono) -> (JobEnd, SmolStr) {
        let mut last = (
            JobEnd::NotRun(self.links.no_pool_reason(), NO_POOL_RETRY_AFTER),
            SmolStr::new_static("none"),
        );
        for pool in self.links.rank_pools(job) {
            let mut job = job.clone();
            job.submission = self.links.next_submission();
            job.elapsed = boot_clock::now().since(arrived).as_millis();
            job.time_left = Millis(job.time_left.0.saturating_sub(job.elapsed.0));
            let end = self.links.run(&pool, job).await;
            last = (end, format_smolstr!("{pool}"));
            if !matches!(end, JobEnd::NotRun(..)) {
                break;
            }
        }
        last
    }

    /// Tells whether a request is being answered.
    fn is_busy(&self) -> bool {
        let stats = self.stats.get();
        stats.is_some_and(|stats| stats.busy.get() > 0)
    }

    fn record_end(
        &self,
        asked: &SubmissionContext,
        job: &JobRequest,
        end: &JobEnd,
        pool: &SmolStr,
    ) {
        let kind = match end {
            JobEnd::Completed | JobEnd::Failed => EventKind::PoolJobAnswered,
            JobEnd::NotRun(..) => EventKind::PoolJobRefused,
            JobEnd::Unknown(_) => EventKind::PoolJobLost,
        };
        let took = boot_clock::now().since(asked.arrived);
        self.metrics.record_reply(end, took);
        let summary = JobSummary {
            end: *end,
            took: took.as_millis(),
            target: job.target().as_millis(),
            tasks: job.tasks,
            estimate: job.estimate,
            demand: job.demand,
            pool: pool.clone(),
            manifest: asked.manifest_version,
        };
        let event = asked.event(kind).detail(format_smolstr!("{summary}"));
        self.kernel.emit(event);
    }
}

fn requested_time_limit(call: &Call) -> Millis {
    let told = call.header(DEADLINE_HEADER);
    told.and_then(|text| text.parse().ok())
        .map_or(DEADLINE_DEFAULT, Millis)
}

/// The callers' address as a service.
pub struct CallerService {
    options: CallerOptions,
}

impl CallerService {
    /// Makes the service.
    pub fn new(options: CallerOptions) -> Self {
        CallerService { options }
    }

    async fn open(&self, kernel: &Kernel) -> Result<()> {
        let (last_call_sender, last_call) = async_channel::bounded(1);
        let (starting, started) = async_channel::bounded(1);
        let callers = Rc::new(Callers {
            kernel: kernel.clone(),
            manifest: kernel.find(MANIFEST)?,
            links: kernel.find(LINKS)?,
            stats: OnceCell::new(),
            metrics: HostMetrics::new(),
            startup_over: started,
            drain_expired: last_call,
            drain_expired_sender: last_call_sender,
            drain_deadline: Cell::new(None),
        });
        kernel
            .spawn(callers.clone().watch_startup(starting))
            .detach();
        let served = callers.clone();
        let handle = move |call| {
            let callers = served.clone();
            async move { callers.handle(call).await }
        };
        let reject = |code: ResultCode| {
            rejection_reply(code.http_status(), &format_smolstr!("{code}"), None)
        };
        let CallerOptions {
            address, server, ..
        } = self.options;
        let stats =
            serve_requests(kernel, CALLERS, "caller", address, server, handle, reject).await?;
        // The cell is empty until here.
        let _ = callers.stats.set(stats);
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

    fn needs(&self) -> &[ServiceName] {
        &[MANIFEST, LINKS]
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(self.open(kernel))
    }

    /// Serves on until the balancer has noticed, then waits for the last reply.
    fn drain<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, ()> {
        Box::pin(async move {
            let Ok(callers) = kernel.find::<Callers>(CALLERS) else {
                return;
            };
            let last_call_at = Instant::now() + self.options.drain_timeout;
            callers.drain_deadline.set(Some(last_call_at));
            Timer::after(DRAIN_NOTICE).await;
            while callers.is_busy() {
                if Instant::now() >= last_call_at {
                    callers.drain_expired_sender.close();
                }
                Timer::after(DRAIN_POLL).await;
            }
        })
    }
}
