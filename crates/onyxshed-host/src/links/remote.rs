//! A link to the owner of a pool on another host.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::{FutureExt, future};
use onyxshed_core::{Event, EventKind, Millis, Mono};
use onyxshed_http::client::with_timeout;
use onyxshed_kernel::Notifier;
use onyxshed_pool::{
    ConnectionNumber, ExecutorId, FencingToken, JobEnd, JobId, JobRequest, NotRunReason, PoolId,
    Session, SubmissionNumber, UnknownReason, ZoneAnswer,
};
use onyxshed_proto::pool_capnp::{pool_load, pool_port};
use onyxshed_proto::{pool, rpc};
use smol_str::format_smolstr;

use super::heartbeat_schedule::{HEARTBEAT_PERIOD, HeartbeatSchedule};
use super::{Links, NamedUpdate, topic_message};
use crate::boot_clock;

/// Age of the owner's last answer up to which the session of a link is used without a renewal: half
/// of the time after which an owner ends the session of an unresponsive host.
const SESSION_FRESH_MAX: Millis = Millis(300);

/// Time without an answer after which the link goes down. Callers of its jobs are answered then and
/// resubmit them 1,300 ms later, when the owner has stopped their runs; see
/// [`onyxshed_pool::PoolOptions::peer_timeout_ms`].
const ANSWER_TIMEOUT: Duration = Duration::from_millis(450);

/// Timeout for opening a connection to an owner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval at which a link whose host no longer owns the pool checks for outstanding replies.
const REPLY_POLL: Duration = Duration::from_millis(5);

/// Pause before a link that went down is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(100);

/// Pause before the next heartbeat to an owner that the store lists but that does not know of its
/// ownership yet. It has joined the pool's group and starts within one call to the store (4 ms).
const OWNER_START_PAUSE: Duration = Duration::from_millis(20);

/// How long heartbeats are sent to a host that does not know of its ownership yet before the link
/// is opened again.
const OWNER_START_TIMEOUT: Duration = Duration::from_millis(500);

/// The owner's clock in an answer, and when the answer arrived here.
#[derive(Debug, Clone, Copy)]
struct OwnerStamp {
    stamp_us: u64,
    received_at: Mono,
}

/// A connection to an owner.
struct Channel {
    client: pool_port::Client,
    number: ConnectionNumber,
    /// From the last answer to a heartbeat; `None` before the first.
    last_stamp: Cell<Option<OwnerStamp>>,
    /// Closed when the link goes down, which ends every job that waits on it.
    lost: Receiver<()>,
}

/// An open connection on which the owner has answered.
struct OpenConnection {
    channel: Rc<Channel>,
    session: Session,
}

/// A link to an owner on another host, which reconnects until it is closed.
pub struct RemoteLink {
    links: Rc<Links>,
    pool: PoolId,
    address: SocketAddr,
    connection: RefCell<Option<Rc<OpenConnection>>>,
    is_closed: Cell<bool>,
    /// Number of jobs and handovers that wait on the link.
    waiters: Cell<usize>,
    heartbeats: RefCell<HeartbeatSchedule>,
    /// Notified when a job is submitted on an idle link.
    used: Notifier,
    last_answer_at: Cell<Mono>,
    /// Whether the first connection has succeeded or failed.
    is_first_attempt_done: Cell<bool>,
    first_attempt_done: Notifier,
}

impl RemoteLink {
    /// Opens a link, which reconnects in the background until it is closed.
    pub fn open(links: Rc<Links>, pool: PoolId, address: SocketAddr) -> Rc<Self> {
        let link = Rc::new(RemoteLink {
            links,
            pool,
            address,
            connection: RefCell::default(),
            is_closed: Cell::new(false),
            waiters: Cell::new(0),
            heartbeats: RefCell::default(),
            used: Notifier::default(),
            last_answer_at: Cell::new(Mono(0)),
            is_first_attempt_done: Cell::new(false),
            first_attempt_done: Notifier::default(),
        });
        link.links.kernel.spawn(link.clone().maintain()).detach();
        link
    }

    /// Returns the address to which the link connects; it never changes.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the owner answers.
    pub fn is_up(&self) -> bool {
        self.connection.borrow().is_some()
    }

    /// Closes the link permanently. The connection stays open, and replies are delivered on it,
    /// until the last waiting job or handover has ended or the owner stops answering.
    pub fn close(&self) {
        self.is_closed.set(true);
    }

    /// Reconnects the link until it is closed.
    async fn maintain(self: Rc<Self>) {
        while !self.is_closed.get() {
            let failure = self.run_connection().await;
            self.mark_first_attempt_done();
            if let Some(reason) = failure {
                self.mark_down(reason);
            }
            Timer::after(REOPEN_PAUSE).await;
        }
    }

    /// Opens a connection and sends heartbeats on it until it fails or the link is closed. Returns
    /// why the connection ended, or `None` if it could not be opened.
    async fn run_connection(self: &Rc<Self>) -> Option<&'static str> {
        let executor = self.links.kernel.executor();
        let connect = rpc::connect::<pool_port::Client>(self.address, &executor);
        let connection = with_timeout(CONNECT_TIMEOUT, connect).await?.ok()?;
        // Dropped when this function returns, which closes `lost` and ends the jobs that wait on
        // it.
        let (_lost_sender, lost): (Sender<()>, _) = async_channel::bounded(1);
        let channel = Rc::new(Channel {
            client: connection.client.clone(),
            number: self.links.next_connection(),
            last_stamp: Cell::new(None),
            lost,
        });
        let start_deadline = Instant::now() + OWNER_START_TIMEOUT;
        loop {
            let answer = self.heartbeat(&channel).or(self.repeat_heartbeat(&channel));
            let answer = with_timeout(ANSWER_TIMEOUT, answer).await;
            self.mark_first_attempt_done();
            match answer {
                None => return Some("no answer in time"),
                Some(Err(_)) => return Some("the connection broke"),
                Some(Ok(None)) if !self.is_up() && Instant::now() < start_deadline => {
                    Timer::after(OWNER_START_PAUSE).await;
                    continue;
                }
                Some(Ok(None)) => {
                    self.mark_down("the host no longer owns the pool");
                    self.wait_for_replies().await;
                    return None;
                }
                Some(Ok(Some(session))) => self.apply_session(&channel, session),
            }
            if self.is_closed.get() && self.waiters.get() == 0 {
                return Some("another host owns the pool");
            }
            self.wait_for_next_heartbeat().await;
        }
    }

    /// Sends further heartbeats while the answer to one is outstanding. Never returns.
    ///
    /// Otherwise the owner would hear from this host only once in a round trip, and end its jobs on links
    /// whose answers still arrive in time.
    async fn repeat_heartbeat(
        self: &Rc<Self>,
        channel: &Rc<Channel>,
    ) -> capnp::Result<Option<Session>> {
        loop {
            Timer::after(HEARTBEAT_PERIOD).await;
            let (link, channel) = (self.clone(), channel.clone());
            let repeated = async move {
                // A connection that has been given up gets no heartbeat.
                if channel.lost.is_closed() {
                    return;
                }
                let answer = with_timeout(ANSWER_TIMEOUT, link.heartbeat(&channel)).await;
                // The heartbeat that is repeated reports a failure of the connection.
                if let Some(Ok(Some(session))) = answer {
                    link.apply_session(&channel, session);
                }
            };
            self.links.kernel.spawn(repeated).detach();
        }
    }

    /// Waits until the owner has replied to the jobs that it has received, for at most
    /// [`ANSWER_TIMEOUT`].
    async fn wait_for_replies(&self) {
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        while self.waiters.get() > 0 && Instant::now() < deadline {
            Timer::after(REPLY_POLL).await;
        }
    }

    fn mark_first_attempt_done(&self) {
        if !self.is_first_attempt_done.replace(true) {
            self.first_attempt_done.notify();
        }
    }

    /// Waits until the first connection has succeeded or failed.
    pub async fn wait_for_first_attempt(&self) {
        let attempted = self.first_attempt_done.subscribe();
        if !self.is_first_attempt_done.get() {
            attempted.wait().await;
        }
    }

    /// Waits until the next heartbeat is due, which a job on an idle link moves forward.
    async fn wait_for_next_heartbeat(&self) {
        let answered_at = boot_clock::now();
        self.heartbeats.borrow_mut().record_heartbeat(answered_at);
        loop {
            let used = self.used.subscribe();
            let now = boot_clock::now();
            let remaining = self.next_heartbeat_at(now).since(now);
            if remaining.0 == 0 {
                return;
            }
            let due = async {
                Timer::after(remaining.into()).await;
            };
            used.wait().or(due).await;
        }
    }

    fn next_heartbeat_at(&self, now: Mono) -> Mono {
        let is_waited_on = self.waiters.get() > 0;
        let idle_period = self.links.idle_heartbeat_period();
        let schedule = self.heartbeats.borrow();
        schedule.next_at(now, is_waited_on, idle_period)
    }

    /// Renews the session before a job is submitted if the last answer is older than
    /// [`SESSION_FRESH_MAX`]. Returns whether the session is valid.
    async fn renew_session(&self, connection: &OpenConnection) -> bool {
        let elapsed = boot_clock::now().since(self.last_answer_at.get());
        if elapsed < SESSION_FRESH_MAX.into() {
            return true;
        }
        let channel = &connection.channel;
        match with_timeout(ANSWER_TIMEOUT, self.heartbeat(channel)).await {
            Some(Ok(Some(session))) => {
                self.apply_session(channel, session);
                true
            }
            _ => false,
        }
    }

    /// Records an answer of the owner, and marks the link as up. If the owner has started a new
    /// session for this host, later jobs are submitted in that session.
    fn apply_session(&self, channel: &Rc<Channel>, session: Session) {
        // A renewal may be answered after its connection has failed.
        if channel.lost.is_closed() {
            return;
        }
        let was_up = self.is_up();
        self.last_answer_at.set(boot_clock::now());
        let is_same = self
            .connection
            .borrow()
            .as_ref()
            .is_some_and(|connection| connection.session == session);
        if !is_same {
            *self.connection.borrow_mut() = Some(Rc::new(OpenConnection {
                channel: channel.clone(),
                session,
            }));
        }
        if !was_up {
            self.links.record_owner(&self.pool);
            self.log_event(EventKind::PoolLinkUp, "");
        }
    }

    /// Sends a heartbeat. Returns the session of this host, or `None` if the host at this address
    /// does not own the pool.
    async fn heartbeat(&self, channel: &Channel) -> capnp::Result<Option<Session>> {
        let mut request = channel.client.heartbeat_request();
        let mut params = request.get();
        params.set_life(self.links.engine.incarnation().0);
        params.set_connection(channel.number.0);
        if let Some(last) = channel.last_stamp.get() {
            params.set_stamp_us(last.stamp_us);
            params.set_held_us(boot_clock::now().since(last.received_at).0);
        }
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
        channel.last_stamp.set(Some(OwnerStamp {
            stamp_us: reply.get_stamp_us(),
            received_at: boot_clock::now(),
        }));
        let evacuations = pool::read_evacuations(reply.get_evacuations()?)?;
        self.links.evacuations.apply(evacuations, "an owner");
        self.update_load(reply.get_load()?)?;
        if reply.has_transfer() && !self.is_closed.get() {
            let transfer = pool::read_transfer(reply.get_transfer()?)?;
            self.links.record_transfer(self.pool.clone(), transfer);
        }
        Ok(Some(Session(reply.get_session())))
    }

    /// Applies the load report of the pool, unless the link is closed because the pool has another
    /// owner.
    fn update_load(&self, load: pool_load::Reader<'_>) -> capnp::Result<()> {
        let load = pool::read_load(load)?;
        if !self.is_closed.get() {
            self.links.update_load(&self.pool, load);
        }
        Ok(())
    }

    /// Keeps the connection open, even after the link is closed, until the guard is dropped.
    pub fn keep_open(self: &Rc<Self>) -> WaiterGuard {
        WaiterGuard::new(self.clone())
    }

    /// Requests the release of the pool as its next owner, with fencing token `next`. Returns the
    /// executors that the previous owner still uses, or `None` if the link is down, no readable
    /// answer arrives in time, or the previous owner no longer owns the pool.
    pub async fn release(&self, next: FencingToken) -> Option<BTreeSet<ExecutorId>> {
        let client = self.client()?;
        let mut request = client.release_request();
        let mut params = request.get();
        params.set_pool(format_smolstr!("{}", self.pool).as_str());
        params.set_token(next.0);
        let reply = with_timeout(ANSWER_TIMEOUT, request.send().promise).await?;
        let reply = reply.ok()?;
        let reply = reply.get().ok()?;
        let executors = pool::read_held_executors(reply).ok()?;
        reply.get_is_owner().then_some(executors)
    }

    /// Asks the owner what it knows of topics beyond this host's positions; it answers when a topic goes
    /// on, at the latest after `wait`. Returns `None` if the link is down, no readable answer arrives in
    /// time, or the host owns no pool.
    pub async fn follow_topics(
        &self,
        positions: &[(&'static str, u64)],
        wait: Millis,
    ) -> Option<Vec<NamedUpdate>> {
        let client = self.client()?;
        let mut request = client.follow_topics_request();
        let mut params = request.get();
        params.set_wait_ms(wait.0);
        let mut list = params.init_positions(pool::length(positions).ok()?);
        for (index, (name, next)) in (0..).zip(positions) {
            let mut entry = list.reborrow().get(index);
            entry.set_topic(*name);
            entry.set_next(*next);
        }
        let timeout = ANSWER_TIMEOUT + Duration::from(wait);
        // A failed call is not logged: the link's heartbeats report why the owner does not answer.
        let reply = with_timeout(timeout, request.send().promise).await?.ok()?;
        let reply = reply.get().ok().filter(|reply| reply.get_is_owner())?;
        topic_message::read_updates(reply.get_updates().ok()?).ok()
    }

    /// Asks the owner of a zone's first pool what has changed in the zone's executors after a version
    /// that the reader `token` counted. Returns `None` if the link is down, no readable answer arrives
    /// in time, or the host does not read the zone.
    pub async fn zone_executors(
        &self,
        zone: &str,
        (token, version): (FencingToken, u64),
    ) -> Option<ZoneAnswer> {
        let client = self.client()?;
        let mut request = client.zone_executors_request();
        let mut params = request.get();
        params.set_zone(zone);
        params.set_token(token.0);
        params.set_version(version);
        // A failed call is not logged: the link's heartbeats report why the owner does not answer.
        let reply = with_timeout(ANSWER_TIMEOUT, request.send().promise).await?;
        let reply = reply.ok()?;
        let reply = reply.get().ok().filter(|reply| reply.get_is_reader())?;
        let executors = reply.get_executors().ok()?;
        Some(ZoneAnswer {
            token: FencingToken(reply.get_token()),
            age: Millis(executors.get_age_ms()),
            changes: pool::read_zone_changes(executors).ok()?,
        })
    }

    fn client(&self) -> Option<pool_port::Client> {
        let connection = self.connection.borrow();
        connection
            .as_ref()
            .map(|connection| connection.channel.client.clone())
    }

    /// Marks the link as down, if it was up, and logs the reason.
    fn mark_down(&self, reason: &'static str) {
        if self.connection.borrow_mut().take().is_some() {
            if !self.is_closed.get() {
                self.links.selector.borrow_mut().remove_pool(&self.pool);
                self.links.engine.forget_report(&self.pool);
                self.links.owner_changed.notify();
            }
            let waiting = self.waiters.get();
            let detail = format_smolstr!("{reason}, {waiting} jobs and handovers wait on it");
            self.log_event(EventKind::PoolLinkDown, &detail);
        }
    }

    fn log_event(&self, kind: EventKind, reason: &str) {
        let event = Event::new(kind).party(format_smolstr!("{}", self.address));
        let detail = format_smolstr!("pool {} {reason}", self.pool);
        self.links.kernel.emit(event.detail(detail));
    }

    /// Submits a job to the owner and waits for its end. Returns `NotRun` if the link is down or
    /// its session cannot be renewed. Closing `cancelled` cancels the job, whose end is still waited
    /// for; dropping the future cancels it as well.
    pub async fn run(self: Rc<Self>, job: JobRequest, cancelled: &Receiver<()>) -> JobEnd {
        let not_owner = JobEnd::NotRun(NotRunReason::NotOwner, Millis(0));
        let Some(last_known) = self.connection.borrow().clone() else {
            return not_owner;
        };
        if self.heartbeats.borrow_mut().record_use(boot_clock::now()) {
            self.used.notify();
        }
        if !self.renew_session(&last_known).await {
            return not_owner;
        }
        let Some(connection) = self.connection.borrow().clone() else {
            return not_owner;
        };
        let _waiter = WaiterGuard::new(self.clone());
        let guard = RemoteCancelGuard {
            link: self.clone(),
            client: connection.channel.client.clone(),
            job: Some((job.submission, job.job)),
        };
        let lost = async {
            // Completes when the link goes down, which closes the channel.
            let _ = connection.channel.lost.recv().await;
            None
        };
        let cancel = async {
            // Completes when the channel is closed; no value is ever sent.
            let _ = cancelled.recv().await;
            guard.cancel();
            future::pending().await
        };
        let end = async { Some(self.call(&connection, &job).await) }
            .or(lost)
            .or(cancel)
            .await;
        match end {
            // The owner is not told why this host cancels a job.
            Some(Ok(JobEnd::Unknown(UnknownReason::Cancelled))) => {
                guard.disarm();
                JobEnd::Unknown(UnknownReason::EntryStopped)
            }
            Some(Ok(end)) => {
                guard.disarm();
                end
            }
            // The request may have reached the owner, so the job may run.
            Some(Err(_)) | None => JobEnd::Unknown(UnknownReason::OwnerChanged),
        }
    }

    async fn call(&self, connection: &OpenConnection, job: &JobRequest) -> capnp::Result<JobEnd> {
        let mut request = connection.channel.client.run_request();
        let mut params = request.get();
        params.set_life(self.links.engine.incarnation().0);
        params.set_pool(format_smolstr!("{}", self.pool).as_str());
        params.set_session(connection.session.0);
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

/// Guard that counts a job or a handover that waits on a link. While a guard exists, the connection
/// stays open even if the pool has another owner.
pub struct WaiterGuard(Rc<RemoteLink>);

impl WaiterGuard {
    fn new(link: Rc<RemoteLink>) -> Self {
        link.waiters.set(link.waiters.get() + 1);
        WaiterGuard(link)
    }
}

impl Drop for WaiterGuard {
    fn drop(&mut self) {
        self.0.waiters.set(self.0.waiters.get() - 1);
    }
}

/// Guard that cancels a job at the owner if the guard is dropped before the job ends: when the
/// caller disconnects or the outcome becomes unknown.
struct RemoteCancelGuard {
    link: Rc<RemoteLink>,
    client: pool_port::Client,
    job: Option<(SubmissionNumber, JobId)>,
}

impl RemoteCancelGuard {
    fn disarm(mut self) {
        self.job = None;
    }

    fn cancel(&self) {
        let Some((submission, job)) = self.job else {
            return;
        };
        let link = self.link.clone();
        // A link that has reconnected reaches the owner even if the old connection does not.
        let client = link.client().unwrap_or_else(|| self.client.clone());
        let cancel = async move {
            // If this fails, the owner cancels the job when it considers this host unresponsive.
            let _ = with_timeout(ANSWER_TIMEOUT, link.cancel(&client, submission, job)).await;
        };
        self.link.links.kernel.spawn(cancel).detach();
    }
}

impl Drop for RemoteCancelGuard {
    fn drop(&mut self) {
        self.cancel();
    }
}
