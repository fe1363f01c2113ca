//! The interface that entry hosts call at the owner of a pool.

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

/// Serves entry hosts.
pub struct Port {
    engine: Rc<Engine>,
    /// This host's name in the groups of pools.
    member: SmolStr,
    deployment: DeploymentState,
}

/// What this host knows of the deployment.
pub struct DeploymentState {
    /// Owners of pools.
    pub links: Rc<Links>,
    /// The operators' manifest.
    pub manifest: Rc<ManifestHolder>,
    /// How zones are divided.
    pub shard_layouts: Rc<ShardLayouts>,
    /// Which zones are evacuated.
    pub evacuations: Rc<ZoneEvacuations>,
}

impl DeploymentState {
    fn to_peer_state(&self) -> pool::PeerState {
        pool::PeerState {
            manifest: self.manifest.text(),
            owners: self.links.owners(),
            divisions: self.shard_layouts.known(),
            evacuations: self.evacuations.records(),
        }
    }
}

impl Port {
    /// Makes the interface of a host that joins groups under a name.
    pub fn new(engine: Rc<Engine>, member: SmolStr, known: DeploymentState) -> Self {
        Port {
            engine,
            member,
            deployment: known,
        }
    }

    fn owns(&self, pool: &str) -> bool {
        let asked: Option<PoolId> = pool.parse().ok();
        asked.is_some() && asked == self.engine.owned_pool()
    }
}

/// Gives a job up if its entry host's connection closes before its end.
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
        let life = PeerIncarnation(params.get_life());
        let offer = match params.has_offer() {
            true => Some(pool::read_offer(params.get_offer()?)?),
            false => None,
        };
        let told = pool::read_evacuations(params.get_evacuations()?)?;
        self.deployment.evacuations.apply(told, "an entry host");
        let session = self.engine.record_peer_contact(life, offer);
        let mut results = results.get();
        let records = self.deployment.evacuations.records();
        let list = results.reborrow().init_evacuations(pool::length(&records)?);
        pool::write_evacuations(&records, list);
        if let (Some(session), Some(load)) = (session, self.engine.load()) {
            results.set_is_owner(true);
            results.set_session(session.0);
            pool::write_load(&load, results.reborrow().init_load());
        }
        if let Some(transfer) = self.engine.transfer_ownership(life, &self.member) {
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
            pool::write_load(&load, results.init_load());
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
        let Some(held) = self.engine.release(FencingToken(params.get_token())) else {
            return Ok(());
        };
        let mut results = results.get();
        results.set_is_owner(true);
        pool::write_executors(&held, results)
    }

    async fn peer_state(
        self: ServerRc<Self>,
        _params: pool_port::PeerStateParams,
        mut results: pool_port::PeerStateResults,
    ) -> capnp::Result<()> {
        let known = self.deployment.to_peer_state();
        pool::write_peer_state(&known, results.get().init_state())
    }
}
