//! The RPC interface that entry hosts call on the owner of a pool.

use std::rc::Rc;

use capnp::capability::Rc as ServerRc;
use onyxshed_core::Millis;
use onyxshed_pool::{
    FencingToken, JobEnd, JobId, NotRunReason, PeerIncarnation, PoolId, Session, SubmissionNumber,
    UnknownReason,
};
use onyxshed_proto::pool;
use onyxshed_proto::pool_capnp::pool_port;
use smol_str::SmolStr;

use super::Links;
use crate::engine::Engine;
use crate::evacuations::ZoneEvacuations;
use crate::manifest::ManifestHolder;
use crate::shard_layouts::ShardLayouts;

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
        let offer = match params.has_offer() {
            true => Some(pool::read_offer(params.get_offer()?)?),
            false => None,
        };
        let evacuations = pool::read_evacuations(params.get_evacuations()?)?;
        self.deployment
            .evacuations
            .apply(evacuations, "an entry host");
        let session = self.engine.record_peer_contact(peer, offer);
        let mut results = results.get();
        let records = self.deployment.evacuations.records();
        let list = results.reborrow().init_evacuations(pool::length(&records)?);
        pool::write_evacuations(&records, list);
        if let (Some(session), Some(load)) = (session, self.engine.load()) {
            results.set_is_owner(true);
            results.set_session(session.0);
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

    async fn peer_state(
        self: ServerRc<Self>,
        _params: pool_port::PeerStateParams,
        mut results: pool_port::PeerStateResults,
    ) -> capnp::Result<()> {
        let state = self.deployment.to_peer_state();
        pool::write_peer_state(&state, results.get().init_state())
    }
}
