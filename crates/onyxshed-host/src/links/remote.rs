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
pub const HEARTBEAT: Duration = Duration::from_millis(150);

/// Time since its last job for which a link is heard at the full rate.
const USED_WITHIN: Millis = Millis(2_000);

/// Time since its last answer for which a link's session is trusted: half of the silence after
/// which an owner ends it.
const FRESH_WITHIN: Millis = Millis(300);

/// How long an owner may take to answer before the link is given up: less than the silence after
/// which it gives this host up, so that a job is stopped there no later than its caller sends it
/// again.
const SILENCE: Duration = Duration::from_millis(450);

/// Longest time to open a connection to an owner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause before a link that was given up is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(100);

/// Pause before an owner that the store names, and that does not know it yet, is asked again; it has
/// joined the pool's group and begins within a call of the store (4 ms).
const BEGIN_PAUSE: Duration = Duration::from_millis(20);

/// How long an owner may take to begin before its link is opened anew.
const BEGIN_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection on which the owner has answered.
struct Open {
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
    open: RefCell<Option<Rc<Open>>>,
    is_closed: Cell<bool>,
    /// Jobs that wait on the link, and when the last one was handed over.
    waiting: Cell<usize>,
    used_at: Cell<Mono>,
    heard_at: Cell<Mono>,
    /// Whether the first connection has shown if the owner answers, and what tells so.
    is_tried: Cell<bool>,
    tried: Change,
}

impl RemoteLink {
    /// Opens a link that keeps itself up until it is closed.
    pub fn open(links: Rc<Links>, pool: PoolId, address: SocketAddr) -> Rc<Self> {
        let link = Rc::new(RemoteLink {
            links,
            pool,
            address,
            open: RefCell::default(),
            is_closed: Cell::new(false),
            waiting: Cell::new(0),
            used_at: Cell::new(Mono(0)),
            heard_at: Cell::new(Mono(0)),
            is_tried: Cell::new(false),
            tried: Change::default(),
        });
        link.links.kernel.spawn(link.clone().keep_up()).detach();
        link
    }

    /// Gets the owner's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Tells whether the owner answers.
    pub fn is_up(&self) -> bool {
        self.open.borrow().is_some()
    }

    /// Closes the link for good. Jobs handed over go on and bring their answers as long as the
    /// owner answers them.
    pub fn close(&self) {
        self.is_closed.set(true);
    }

    async fn keep_up(self: Rc<Self>) {
        while !self.is_closed.get() {
            let ended = self.one_connection().await;
            self.set_tried();
            if let Some(why) = ended {
                self.gave_up(why);
            }
            Timer::after(REOPEN_PAUSE).await;
        }
    }

    /// Keeps one connection until it fails; tells why it was given up, if it was up.
    async fn one_connection(self: &Rc<Self>) -> Option<&'static str> {
        let executor = self.links.kernel.executor();
        let connect = rpc::connect::<pool_port::Client>(self.address, &executor);
        let client = within(CONNECT_TIMEOUT, connect).await?.ok()?;
        // Held as long as the connection is good; dropping it ends the jobs that wait.
        let (_alive, lost): (Sender<()>, _) = async_channel::bounded(1);
        let begin_by = Instant::now() + BEGIN_TIMEOUT;
        loop {
            let answer = within(SILENCE, self.heartbeat(&client)).await;
            self.set_tried();
            match answer {
                None => return Some("no answer in time"),
                Some(Err(_)) => return Some("the connection broke"),
                Some(Ok(None)) if !self.is_up() && Instant::now() < begin_by => {
                    Timer::after(BEGIN_PAUSE).await;
                    continue;
                }
                Some(Ok(None)) => return Some("the host owns the pool no longer"),
                Some(Ok(Some(session))) => self.heard(&client, session, &lost),
            }
            if self.is_closed.get() && self.waiting.get() == 0 {
                return Some("another host owns the pool");
            }
            Timer::after(self.heartbeat_pause()).await;
        }
    }

    fn set_tried(&self) {
        if !self.is_tried.replace(true) {
            self.tried.notify();
        }
    }

    /// Waits until the first connection has shown whether the owner answers.
    pub async fn first_answer(&self) {
        let tried = self.tried.waiting();
        if !self.is_tried.get() {
            tried.wait().await;
        }
    }

    /// Gets the time until the next heartbeat: seldom on a link that is not used.
    fn heartbeat_pause(&self) -> Duration {
        let unused = boot_clock::now().since(self.used_at.get());
        if self.waiting.get() > 0 || unused < USED_WITHIN.into() {
            HEARTBEAT
        } else {
            self.links.idle_heartbeat()
        }
    }

    /// Renews the session of a link that was heard seldom, before a job is handed over on it.
    async fn renew(&self, open: &Open) -> bool {
        let quiet = boot_clock::now().since(self.heard_at.get());
        if quiet < FRESH_WITHIN.into() {
            return true;
        }
        match within(SILENCE, self.heartbeat(&open.client)).await {
            Some(Ok(Some(session))) => {
                self.heard(&open.client, session, &open.lost);
                true
            }
            _ => false,
        }
    }

    fn heard(&self, client: &pool_port::Client, session: Session, lost: &Receiver<()>) {
        // A renewal may be answered after its connection was given up.
        if lost.is_closed() {
            return;
        }
        let was_up = self.is_up();
        self.heard_at.set(boot_clock::now());
        let is_same = self
            .open
            .borrow()
            .as_ref()
            .is_some_and(|open| open.session == session);
        if !is_same {
            *self.open.borrow_mut() = Some(Rc::new(Open {
                client: client.clone(),
                session,
                lost: lost.clone(),
            }));
        }
        if !was_up {
            self.links.record_owner(&self.pool);
            self.tell(EventKind::PoolLinkUp, "");
        }
    }

    async fn heartbeat(&self, client: &pool_port::Client) -> capnp::Result<Option<Session>> {
        let mut request = client.heartbeat_request();
        let mut params = request.get();
        params.set_life(self.links.engine.own().0);
        params.set_pool(format_smolstr!("{}", self.pool).as_str());
        let records = self.links.evacuations.records();
        let list = params.reborrow().init_evacuations(pool::length(&records)?);
        pool::write_evacuations(&records, list);
        if let Some(offer) = self.links.offer_for(&self.pool) {
            pool::write_offer(offer, params.init_offer());
        }
        let reply = request.send().promise.await?;
        let reply = reply.get()?;
        if !reply.get_is_owner() {
            return Ok(None);
        }
        let told = pool::read_evacuations(reply.get_evacuations()?)?;
        self.links.evacuations.learn(told, "an owner");
        self.update_load(reply.get_load()?)?;
        if reply.has_transfer() && !self.is_closed.get() {
            let transfer = pool::read_transfer(reply.get_transfer()?)?;
            self.links.transferred(self.pool.clone(), transfer);
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
    pub fn keep_open(self: &Rc<Self>) -> Waiting {
        Waiting::on(self.clone())
    }

    /// Asks the owner to let go of the pool, as its next owner; gets which executors it still uses,
    /// none if it does not answer or owns the pool no longer.
    pub async fn release(&self, next: FencingToken) -> Option<BTreeSet<ExecutorId>> {
        let client = self
            .open
            .borrow()
            .as_ref()
            .map(|open| open.client.clone())?;
        let mut request = client.release_request();
        let mut params = request.get();
        params.set_pool(format_smolstr!("{}", self.pool).as_str());
        params.set_token(next.0);
        let reply = within(SILENCE, request.send().promise).await?;
        let reply = reply.ok()?;
        let reply = reply.get().ok()?;
        let held = pool::read_executors(reply).ok()?;
        reply.get_is_owner().then_some(held)
    }

    fn gave_up(&self, why: &'static str) {
        if self.open.borrow_mut().take().is_some() {
            if !self.is_closed.get() {
                self.links.chooser.borrow_mut().remove_pool(&self.pool);
                self.links.changed.notify();
            }
            self.tell(EventKind::PoolLinkDown, why);
        }
    }

    fn tell(&self, kind: EventKind, why: &str) {
        let event = Event::new(kind).party(format_smolstr!("{}", self.address));
        let detail = format_smolstr!("pool {} {why}", self.pool);
        self.links.kernel.emit(event.detail(detail));
    }

    /// Hands a job over and waits for its end. Dropping the future gives the job up.
    pub async fn run(self: Rc<Self>, job: JobRequest) -> JobEnd {
        let not_owner = JobEnd::NotRun(NotRunReason::NotOwner, Millis(0));
        let Some(known) = self.open.borrow().clone() else {
            return not_owner;
        };
        self.used_at.set(boot_clock::now());
        if !self.renew(&known).await {
            return not_owner;
        }
        let Some(open) = self.open.borrow().clone() else {
            return not_owner;
        };
        let _waiting = Waiting::on(self.clone());
        let guard = RemoteGuard {
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
                guard.settle();
                end
            }
            // The order may have reached the owner: the job may run.
            Some(Err(_)) | None => JobEnd::Unknown(UnknownReason::OwnerChanged),
        }
    }

    async fn call(&self, open: &Open, job: &JobRequest) -> capnp::Result<JobEnd> {
        let mut request = open.client.run_request();
        let mut params = request.get();
        params.set_life(self.links.engine.own().0);
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
        params.set_life(self.links.engine.own().0);
        params.set_pool(format_smolstr!("{}", self.pool).as_str());
        params.set_job(job.0);
        params.set_submission(submission.0);
        request.send().promise.await?;
        Ok(())
    }
}

/// Counts a job, or a handover, that waits on a link: the link stays up for it even when the pool
/// is another owner's.
pub struct Waiting(Rc<RemoteLink>);

impl Waiting {
    fn on(link: Rc<RemoteLink>) -> Self {
        link.waiting.set(link.waiting.get() + 1);
        Waiting(link)
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
    }
}

/// Gives a job up at its owner if its caller leaves or its fate becomes unknown.
struct RemoteGuard {
    link: Rc<RemoteLink>,
    client: pool_port::Client,
    job: Option<(SubmissionNumber, JobId)>,
}

impl RemoteGuard {
    fn settle(mut self) {
        self.job = None;
    }
}

impl Drop for RemoteGuard {
    fn drop(&mut self) {
        let Some((submission, job)) = self.job else {
            return;
        };
        let link = self.link.clone();
        // A link that is open anew reaches the owner where the old connection may not.
        let fresh = link.open.borrow().as_ref().map(|open| open.client.clone());
        let client = fresh.unwrap_or_else(|| self.client.clone());
        let cancel = async move {
            // Where this fails the owner learns it from this host's silence.
            let _ = within(SILENCE, link.cancel(&client, submission, job)).await;
        };
        self.link.links.kernel.spawn(cancel).detach();
    }
}
