//! The RPC interface that entry hosts call on the owner of a pool.

use std::rc::Rc;

use async_io::Timer;
use capnp::capability::Rc as ServerRc;
use futures_lite::FutureExt;
use onyxshed_core::{Millis, Mono};
use onyxshed_pool::{
    ConnectionNumber, FencingToken, Heartbeat, JobEnd, JobId, NotRunReason, PeerConnection,
    PeerIncarnation, PoolId, Session, SubmissionNumber, UnknownReason,
};
use onyxshed_proto::pool;
use onyxshed_proto::pool_capnp::pool_port;
use smol_str::SmolStr;

use super::{Links, NamedUpdate, TopicPosition, topic_message};
use crate::boot_clock;
use crate::engine::Engine;
use crate::evacuations::ZoneEvacuations;
use crate::manifest::ManifestHolder;
use crate::shard_layouts::ShardLayouts;
use crate::topic::Topics;

/// Longest time for which a peer's call waits for a change of a topic.
const FOLLOW_WAIT_MAX: Millis = Millis(2_000);

/// RPC server for entry hosts and other peers.
pub struct Port {
    engine: Rc<Engine>,
    /// Member name of this host in the groups of pools.
    member: SmolStr,
    deployment: DeploymentState,
}

/// State of the deployment as known to this host, which peers fetch that start while the store is
/// unavailable.
pub struct DeploymentState {
    /// Links to the owners of pools.
    pub links: Rc<Links>,
    /// The newest manifest that this host knows.
    pub manifest: Rc<ManifestHolder>,
    /// The shard layouts that this host knows.
    pub shard_layouts: Rc<ShardLayouts>,
    /// The evacuations of zones that this host knows.
    pub evacuations: Rc<ZoneEvacuations>,
    /// The topics of the store that this host follows.
    pub topics: Rc<Topics>,
}

impl DeploymentState {
    fn to_peer_state(&self) -> pool::PeerState {
        pool::PeerState {
            manifest: self.manifest.text(),
            owners: self.links.owners(),
            shard_layouts: self.shard_layouts.known(),
            evacuations: self.evacuations.records(),
        }
    }
}

impl Port {
    /// Creates the server of a host that joins groups as `member`.
    pub fn new(engine: Rc<Engine>, member: SmolStr, deployment: DeploymentState) -> Self {
        Port {
            engine,
            member,
            deployment,
        }
    }

    /// Returns what this host knows beyond a peer's positions, and whether any topic goes on there.
    fn topic_updates(&self, positions: &[TopicPosition]) -> (Vec<NamedUpdate>, bool) {
        let mut goes_on = false;
        let mut updates = Vec::new();
        for (name, position) in positions {
            let update = self.deployment.topics.update_since(name, *position);
            goes_on |= update
                .as_ref()
                .is_some_and(|update| update.next > *position);
            updates.extend(update.map(|update| (name.clone(), update)));
        }
        (updates, goes_on)
    }

    /// Waits until a topic goes on behind a peer's positions, for at most `wait`.
    async fn wait_for_updates(
        &self,
        positions: &[TopicPosition],
        wait: Millis,
    ) -> Vec<NamedUpdate> {
        let deadline = boot_clock::now() + wait;
        loop {
            let advanced = self.deployment.topics.advanced().subscribe();
            let (updates, goes_on) = self.topic_updates(positions);
            let remaining = deadline.since(boot_clock::now());
            if goes_on || remaining.0 == 0 {
                return updates;
            }
            let expiry = async {
                Timer::after(remaining.into()).await;
            };
            advanced.wait().or(expiry).await;
        }
    }

    fn owns(&self, pool: &str) -> bool {
        let requested: Option<PoolId> = pool.parse().ok();
        requested.is_some() && requested == self.engine.owned_pool()
    }
}

/// Cancels a job if the connection of its entry host closes before the job's end.
struct CancelGuard {
    engine: Rc<Engine>,
    job: Option<(PeerIncarnation, SubmissionNumber, JobId)>,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if let Some((peer, submission, job)) = self.job {
            self.engine
                .cancel(peer, submission, job, UnknownReason::PeerSilent);
        }
    }
}

/// Returns the time on this host's clock before which a heartbeat was certainly not sent, if it proves one.
fn read_earliest_sending(params: pool_port::heartbeat_params::Reader<'_>) -> Option<Mono> {
    match (params.get_connection(), params.get_stamp_us()) {
        // A host of an earlier version numbers no connections and returns no stamps.
        (0, _) => Some(boot_clock::now()),
        (_, 0) => None,
        (_, stamp_us) => Some(Mono(stamp_us.saturating_add(params.get_held_us()))),
    }
}

fn read_heartbeat(params: pool_port::heartbeat_params::Reader<'_>) -> capnp::Result<Heartbeat> {
    let offer = match params.has_offer() {
        true => Some(pool::read_offer(params.get_offer()?)?),
        false => None,
    };
    Ok(Heartbeat {
        connection: PeerConnection {
            peer: PeerIncarnation(params.get_life()),
            number: ConnectionNumber(params.get_connection()),
        },
        sent_no_earlier_than: read_earliest_sending(params),
        offer,
    })
}

impl pool_port::Server for Port {
    async fn heartbeat(
        self: ServerRc<Self>,
        params: pool_port::HeartbeatParams,
        mut results: pool_port::HeartbeatResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        if !self.owns(params.get_pool()?.to_str()?) {
            return Ok(());
        }
        let peer = PeerIncarnation(params.get_life());
        let heartbeat = read_heartbeat(params)?;
        let evacuations = pool::read_evacuations(params.get_evacuations()?)?;
        self.deployment
            .evacuations
            .apply(evacuations, "an entry host");
        let session = self.engine.record_peer_contact(&heartbeat);
        let mut results = results.get();
        let records = self.deployment.evacuations.records();
        let list = results.reborrow().init_evacuations(pool::length(&records)?);
        pool::write_evacuations(&records, list);
        if let (Some(session), Some(load)) = (session, self.engine.load()) {
            results.set_is_owner(true);
            results.set_session(session.0);
            results.set_stamp_us(boot_clock::now().0);
            pool::write_load(&load, results.reborrow().init_load())?;
        }
        if let Some(transfer) = self.engine.transfer_ownership(peer, &self.member) {
            pool::write_transfer(&transfer, results.init_transfer())?;
        }
        Ok(())
    }

    async fn run(
        self: ServerRc<Self>,
        params: pool_port::RunParams,
        mut results: pool_port::RunResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let peer = PeerIncarnation(params.get_life());
        let job = pool::read_job(peer, params.get_job()?)?;
        let end = if self.owns(params.get_pool()?.to_str()?) {
            let mut guard = CancelGuard {
                engine: self.engine.clone(),
                job: Some((peer, job.submission, job.job)),
            };
            let session = Session(params.get_session());
            let receiver = self.engine.submit(session, job);
            let end = receiver.recv().await;
            guard.job = None;
            end.unwrap_or(JobEnd::Unknown(UnknownReason::OwnerChanged))
        } else {
            JobEnd::NotRun(NotRunReason::NotOwner, Millis(0))
        };
        let mut results = results.get();
        pool::write_end(&end, results.reborrow().init_end());
        if let Some(load) = self.engine.load() {
            pool::write_load(&load, results.init_load())?;
        }
        Ok(())
    }

    async fn cancel(
        self: ServerRc<Self>,
        params: pool_port::CancelParams,
        _results: pool_port::CancelResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        self.engine.cancel(
            PeerIncarnation(params.get_life()),
            SubmissionNumber(params.get_submission()),
            JobId(params.get_job()),
            UnknownReason::Cancelled,
        );
        Ok(())
    }

    async fn release(
        self: ServerRc<Self>,
        params: pool_port::ReleaseParams,
        mut results: pool_port::ReleaseResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        if !self.owns(params.get_pool()?.to_str()?) {
            return Ok(());
        }
        let Some(executors) = self.engine.release(FencingToken(params.get_token())) else {
            return Ok(());
        };
        let mut results = results.get();
        results.set_is_owner(true);
        pool::write_held_executors(&executors, results)
    }

    async fn follow_topics(
        self: ServerRc<Self>,
        params: pool_port::FollowTopicsParams,
        mut results: pool_port::FollowTopicsResults,
    ) -> capnp::Result<()> {
        if self.engine.owned_pool().is_none() {
            return Ok(());
        }
        let params = params.get()?;
        let positions = pool::read_positions(params.get_positions()?)?;
        let wait = Millis(params.get_wait_ms()).min(FOLLOW_WAIT_MAX);
        let updates = self.wait_for_updates(&positions, wait).await;
        let mut results = results.get();
        results.set_is_owner(self.engine.owned_pool().is_some());
        let list = results.init_updates(pool::length(&updates)?);
        topic_message::write_updates(&updates, list)
    }

    async fn zone_executors(
        self: ServerRc<Self>,
        params: pool_port::ZoneExecutorsParams,
        mut results: pool_port::ZoneExecutorsResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let zone = params.get_zone()?.to_str()?;
        let known = (FencingToken(params.get_token()), params.get_version());
        let owner = self.engine.token();
        let Some(answer) = self.engine.zone_reader().answer(zone, owner, known) else {
            return Ok(());
        };
        let mut results = results.get();
        results.set_is_reader(true);
        results.set_token(answer.token.0);
        let mut executors = results.init_executors();
        executors.set_age_ms(answer.age.0);
        pool::write_zone_changes(&answer.changes, executors)
    }

    async fn peer_state(
        self: ServerRc<Self>,
        _params: pool_port::PeerStateParams,
        mut results: pool_port::PeerStateResults,
    ) -> capnp::Result<()> {
        let state = self.deployment.to_peer_state();
        pool::write_peer_state(&state, results.get().init_state())
    }
}
