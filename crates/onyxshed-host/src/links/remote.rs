//! A link to an owner on another host.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use onyxshed_core::{Event, EventKind, Millis, Mono};
use onyxshed_http::client::within;
use onyxshed_kernel::Change;
use onyxshed_pool::{
    ExecutorId, FencingToken, JobEnd, JobId, JobRequest, NotRunReason, PoolId, Session,
    SubmissionNumber, UnknownReason,
};
use onyxshed_proto::pool_capnp::{pool_load, pool_port};
use onyxshed_proto::{pool, rpc};
use smol_str::format_smolstr;

use super::Links;
use crate::boot_clock;

/// Time between two heartbeats: a quarter of the silence after which owners give a host up.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(150);

/// Time since its last job for which a link is heard at the full rate.
const IDLE_AFTER: Millis = Millis(2_000);

/// Time since its last answer for which a link's session is trusted: half of the silence after
/// which an owner ends it.
const SESSION_FRESH_MAX: Millis = Millis(300);

/// How long an owner may take to answer before the link is given up: less than the silence after
/// which it gives this host up, so that a job is stopped there no later than its caller sends it
/// again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(450);

/// Longest time to open a connection to an owner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause before a link that was given up is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(100);

/// Pause before an owner that the store names, and that does not know it yet, is asked again; it has
/// joined the pool's group and begins within a call of the store (4 ms).
const OWNER_START_PAUSE: Duration = Duration::from_millis(20);

/// How long an owner may take to begin before its link is opened anew.
const OWNER_START_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection on which the owner has answered.
struct OpenConnection {
    client: pool_port::Client,
    session: Session,
    /// Closed when the link is given up, which ends every job that waits on it.
    lost: Receiver<()>,
}

/// A link.
pub struct RemoteLink {
    links: Rc<Links>,
    pool: PoolId,
    address: SocketAddr,
    connection: RefCell<Option<Rc<OpenConnection>>>,
    is_closed: Cell<bool>,
    /// Jobs that wait on the link, and when the last one was handed over.
    waiters: Cell<usize>,
    last_used_at: Cell<Mono>,
    last_answer_at: Cell<Mono>,
    /// Whether the first connection has shown if the owner answers, and what tells so.
    is_first_attempt_done: Cell<bool>,
    first_attempt_done: Change,
}

impl RemoteLink {
    /// Opens a link that keeps itself up until it is closed.
    pub fn open(links: Rc<Links>, pool: PoolId, address: SocketAddr) -> Rc<Self> {
        let link = Rc::new(RemoteLink {
            links,
            pool,
            address,
            connection: RefCell::default(),
            is_closed: Cell::new(false),
            waiters: Cell::new(0),
            last_used_at: Cell::new(Mono(0)),
            last_answer_at: Cell::new(Mono(0)),
            is_first_attempt_done: Cell::new(false),
            first_attempt_done: Change::default(),
        });
        link.links.kernel.spawn(link.clone().maintain()).detach();
        link
    }

    /// Gets the owner's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Tells whether the owner answers.
    pub fn is_up(&self) -> bool {
        self.connection.borrow().is_some()
    }

    /// Closes the link for good. Jobs handed over go on and bring their answers as long as the
    /// owner answers them.
    pub fn close(&self) {
        self.is_closed.set(true);
    }

    async fn maintain(self: Rc<Self>) {
        while !self.is_closed.get() {
            let ended = self.run_connection().await;
            self.mark_first_attempt_done();
            if let Some(why) = ended {
                self.mark_down(why);
            }
            Timer::after(REOPEN_PAUSE).await;
        }
    }

    /// Keeps one connection until it fails; tells why it was given up, if it was up.
    async fn run_connection(self: &Rc<Self>) -> Option<&'static str> {
        let executor = self.links.kernel.executor();
        let connect = rpc::connect::<pool_port::Client>(self.address, &executor);
        let client = within(CONNECT_TIMEOUT, connect).await?.ok()?;
        // Held as long as the connection is good; dropping it ends the jobs that wait.
        let (_alive, lost): (Sender<()>, _) = async_channel::bounded(1);
        let begin_by = Instant::now() + OWNER_START_TIMEOUT;
        loop {
            let answer = within(ANSWER_TIMEOUT, self.heartbeat(&client)).await;
            self.mark_first_attempt_done();
            match answer {
                None => return Some("no answer in time"),
                Some(Err(_)) => return Some("the connection broke"),
                Some(Ok(None)) if !self.is_up() && Instant::now() < begin_by => {
                    Timer::after(OWNER_START_PAUSE).await;
                    continue;
                }
                Some(Ok(None)) => return Some("the host owns the pool no longer"),
                Some(Ok(Some(session))) => self.apply_session(&client, session, &lost),
            }
            if self.is_closed.get() && self.waiters.get() == 0 {
                return Some("another host owns the pool");
            }
            Timer::after(self.heartbeat_pause()).await;
        }
    }

    fn mark_first_attempt_done(&self) {
        if !self.is_first_attempt_done.replace(true) {
            self.first_attempt_done.notify();
        }
    }

    /// Waits until the first connection has shown whether the owner answers.
    pub async fn wait_for_first_attempt(&self) {
        let tried = self.first_attempt_done.waiting();
        if !self.is_first_attempt_done.get() {
            tried.wait().await;
        }
    }

    /// Gets the time until the next heartbeat: seldom on a link that is not used.
    fn heartbeat_pause(&self) -> Duration {
        let unused = boot_clock::now().since(self.last_used_at.get());
        if self.waiters.get() > 0 || unused < IDLE_AFTER.into() {
            HEARTBEAT_PERIOD
        } else {
            self.links.idle_heartbeat_period()
        }
    }

    /// Renews the session of a link that was heard seldom, before a job is handed over on it.
    async fn renew_session(&self, open: &OpenConnection) -> bool {
        let quiet = boot_clock::now().since(self.last_answer_at.get());
        if quiet < SESSION_FRESH_MAX.into() {
            return true;
        }
        match within(ANSWER_TIMEOUT, self.heartbeat(&open.client)).await {
            Some(Ok(Some(session))) => {
                self.apply_session(&open.client, session, &open.lost);
                true
            }
            _ => false,
        }
    }

    fn apply_session(&self, client: &pool_port::Client, session: Session, lost: &Receiver<()>) {
        // A renewal may be answered after its connection was given up.
        if lost.is_closed() {
            return;
        }
        let was_up = self.is_up();
        self.last_answer_at.set(boot_clock::now());
        let is_same = self
            .connection
            .borrow()
            .as_ref()
            .is_some_and(|open| open.session == session);
        if !is_same {
            *self.connection.borrow_mut() = Some(Rc::new(OpenConnection {
                client: client.clone(),
                session,
                lost: lost.clone(),
            }));
        }
        if !was_up {
            self.links.record_owner(&self.pool);
            self.log_event(EventKind::PoolLinkUp, "");
        }
    }

    async fn heartbeat(&self, client: &pool_port::Client) -> capnp::Result<Option<Session>> {
        let mut request = client.heartbeat_request();
        let mut params = request.get();
        params.set_life(self.links.engine.incarnation().0);
        params.set_pool(format_smolstr!("{}", self.pool).as_str());
        let records = self.links.evacuations.records();
        let list = params.reborrow().init_evacuations(pool::length(&records)?);
        pool::write_evacuations(&records, list);
        if let Some(offer) = self.links.successor_offer(&self.pool) {
            pool::write_offer(offer, params.init_offer());
        }
        let reply = request.send().promise.await?;
        let reply = reply.get()?;
        if !reply.get_is_owner() {
            return Ok(None);
        }
        let told = pool::read_evacuations(reply.get_evacuations()?)?;
        self.links.evacuations.apply(told, "an owner");
        self.update_load(reply.get_load()?)?;
        if reply.has_transfer() && !self.is_closed.get() {
            let transfer = pool::read_transfer(reply.get_transfer()?)?;
            self.links.record_transfer(self.pool.clone(), transfer);
        }
        Ok(Some(Session(reply.get_session())))
    }

    /// Takes in the sum of the pool, unless the pool is another owner's by now.
    fn update_load(&self, load: pool_load::Reader<'_>) -> capnp::Result<()> {
        let load = pool::read_load(load)?;
        if !self.is_closed.get() {
            self.links.update_load(&self.pool, load);
        }
        Ok(())
    }

    /// Keeps the link up, also when it is closed, until the guard is dropped.
    pub fn keep_open(self: &Rc<Self>) -> WaiterGuard {
        WaiterGuard::on(self.clone())
    }

    /// Asks the owner to let go of the pool, as its next owner; gets which executors it still uses,
    /// none if it does not answer or owns the pool no longer.
    pub async fn release(&self, next: FencingToken) -> Option<BTreeSet<ExecutorId>> {
        let client = self
            .connection
            .borrow()
            .as_ref()
            .map(|open| open.client.clone())?;
        let mut request = client.release_request();
        let mut params = request.get();
        params.set_pool(format_smolstr!("{}", self.pool).as_str());
        params.set_token(next.0);
        let reply = within(ANSWER_TIMEOUT, request.send().promise).await?;
        let reply = reply.ok()?;
        let reply = reply.get().ok()?;
        let held = pool::read_executors(reply).ok()?;
        reply.get_is_owner().then_some(held)
    }

    fn mark_down(&self, why: &'static str) {
        if self.connection.borrow_mut().take().is_some() {
            if !self.is_closed.get() {
                self.links.selector.borrow_mut().remove_pool(&self.pool);
                self.links.owner_changed.notify();
            }
            self.log_event(EventKind::PoolLinkDown, why);
        }
    }

    fn log_event(&self, kind: EventKind, why: &str) {
        let event = Event::new(kind).party(format_smolstr!("{}", self.address));
        let detail = format_smolstr!("pool {} {why}", self.pool);
        self.links.kernel.emit(event.detail(detail));
    }

    /// Hands a job over and waits for its end. Dropping the future gives the job up.
    pub async fn run(self: Rc<Self>, job: JobRequest) -> JobEnd {
        let not_owner = JobEnd::NotRun(NotRunReason::NotOwner, Millis(0));
        let Some(known) = self.connection.borrow().clone() else {
            return not_owner;
        };
        self.last_used_at.set(boot_clock::now());
        if !self.renew_session(&known).await {
            return not_owner;
        }
        let Some(open) = self.connection.borrow().clone() else {
            return not_owner;
        };
        let _waiting = WaiterGuard::on(self.clone());
        let guard = RemoteCancelGuard {
            link: self.clone(),
            client: open.client.clone(),
            job: Some((job.submission, job.job)),
        };
        let lost = async {
            // Ends when the link is given up, which closes the channel.
            let _ = open.lost.recv().await;
            None
        };
        let end = async { Some(self.call(&open, &job).await) }.or(lost).await;
        match end {
            Some(Ok(end)) => {
                guard.disarm();
                end
            }
            // The order may have reached the owner: the job may run.
            Some(Err(_)) | None => JobEnd::Unknown(UnknownReason::OwnerChanged),
        }
    }

    async fn call(&self, open: &OpenConnection, job: &JobRequest) -> capnp::Result<JobEnd> {
        let mut request = open.client.run_request();
        let mut params = request.get();
        params.set_life(self.links.engine.incarnation().0);
        params.set_pool(format_smolstr!("{}", self.pool).as_str());
        params.set_session(open.session.0);
        pool::write_job(job, params.init_job());
        let reply = request.send().promise.await?;
        let reply = reply.get()?;
        if reply.has_load() {
            self.update_load(reply.get_load()?)?;
        }
        pool::read_end(reply.get_end()?)
    }

    async fn cancel(
        &self,
        client: &pool_port::Client,
        submission: SubmissionNumber,
        job: JobId,
    ) -> capnp::Result<()> {
        let mut request = client.cancel_request();
        let mut params = request.get();
        params.set_life(self.links.engine.incarnation().0);
        params.set_pool(format_smolstr!("{}", self.pool).as_str());
        params.set_job(job.0);
        params.set_submission(submission.0);
        request.send().promise.await?;
        Ok(())
    }
}

/// Counts a job, or a handover, that waits on a link: the link stays up for it even when the pool
/// is another owner's.
pub struct WaiterGuard(Rc<RemoteLink>);

impl WaiterGuard {
    fn on(link: Rc<RemoteLink>) -> Self {
        link.waiters.set(link.waiters.get() + 1);
        WaiterGuard(link)
    }
}

impl Drop for WaiterGuard {
    fn drop(&mut self) {
        self.0.waiters.set(self.0.waiters.get() - 1);
    }
}

/// Gives a job up at its owner if its caller leaves or its fate becomes unknown.
struct RemoteCancelGuard {
    link: Rc<RemoteLink>,
    client: pool_port::Client,
    job: Option<(SubmissionNumber, JobId)>,
}

impl RemoteCancelGuard {
    fn disarm(mut self) {
        self.job = None;
    }
}

impl Drop for RemoteCancelGuard {
    fn drop(&mut self) {
        let Some((submission, job)) = self.job else {
            return;
        };
        let link = self.link.clone();
        // A link that is open anew reaches the owner where the old connection may not.
        let fresh = link
            .connection
            .borrow()
            .as_ref()
            .map(|open| open.client.clone());
        let client = fresh.unwrap_or_else(|| self.client.clone());
        let cancel = async move {
            // Where this fails the owner learns it from this host's silence.
            let _ = within(ANSWER_TIMEOUT, link.cancel(&client, submission, job)).await;
        };
        self.link.links.kernel.spawn(cancel).detach();
    }
}
