//! State that a starting host fetches from peers while the store is unavailable.
//!
//! A host that starts while the store is down knows neither routes nor owners. The platform's
//! settings list up to three peers that may know them. Their state may be out of date: records from
//! the store replace it, and a manifest is never replaced by an older manifest.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use onyxshed_core::{Event, EventKind};
use onyxshed_http::client::with_timeout;
use onyxshed_kernel::{Kernel, LocalFuture, Result, Service, ServiceName};
use onyxshed_proto::pool::{self, PeerState};
use onyxshed_proto::pool_capnp::pool_port;
use onyxshed_proto::rpc;
use smol_str::format_smolstr;

use crate::evacuations::ZoneEvacuations;
use crate::links::Links;
use crate::manifest::ManifestHolder;
use crate::names::{LINKS, MANIFEST, PEER_STATE, SHARD_LAYOUTS};
use crate::shard_layouts::ShardLayouts;

/// How long a host waits for the manifest from the store before it queries its peers: the first
/// read needs two calls, and a host at its CPU limit reads the answers late.
const STORE_WAIT: Duration = Duration::from_millis(250);

/// Interval between two rounds of queries while the manifest is unknown.
const ROUND_PERIOD: Duration = Duration::from_millis(250);

/// Timeout of a query to one peer: covers a new connection across zones and a call to a host at its
/// CPU limit (75 ms).
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// Service that fetches the state of the deployment from peers at startup.
pub struct PeerStateService {
    own_address: SocketAddr,
    seeds: Vec<SocketAddr>,
    evacuations: Rc<ZoneEvacuations>,
}

impl PeerStateService {
    /// Creates the service of a host that peers reach at `own_address`, with the addresses of the
    /// peers to query.
    pub fn new(
        own_address: SocketAddr,
        seeds: Vec<SocketAddr>,
        evacuations: Rc<ZoneEvacuations>,
    ) -> Self {
        PeerStateService {
            own_address,
            seeds,
            evacuations,
        }
    }
}

impl Service for PeerStateService {
    fn name(&self) -> ServiceName {
        PEER_STATE
    }

    fn dependencies(&self) -> &[ServiceName] {
        &[MANIFEST, LINKS, SHARD_LAYOUTS]
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            let client = PeerStateClient {
                kernel: kernel.clone(),
                seeds: self.seeds.clone(),
                manifest: kernel.find(MANIFEST)?,
                links: kernel.find(LINKS)?,
                shard_layouts: kernel.find(SHARD_LAYOUTS)?,
                evacuations: self.evacuations.clone(),
            };
            let others = client
                .seeds
                .iter()
                .filter(|seed| **seed != self.own_address);
            if others.count() > 0 {
                kernel.spawn(client.fetch(self.own_address)).detach();
            }
            Ok(())
        })
    }
}

/// Client that queries peers for the state of the deployment.
struct PeerStateClient {
    kernel: Kernel,
    seeds: Vec<SocketAddr>,
    manifest: Rc<ManifestHolder>,
    links: Rc<Links>,
    shard_layouts: Rc<ShardLayouts>,
    evacuations: Rc<ZoneEvacuations>,
}

impl PeerStateClient {
    /// Queries the peers in turn until the manifest is known.
    async fn fetch(self, own_address: SocketAddr) {
        Timer::after(STORE_WAIT).await;
        while self.manifest.get().is_none() {
            for seed in self.seeds.iter().filter(|seed| **seed != own_address) {
                let answer = with_timeout(ANSWER_TIMEOUT, self.query(*seed)).await;
                // A peer that does not answer is skipped; a peer without a manifest does not end
                // the loop.
                if let Some(Ok(state)) = answer {
                    self.apply_state(*seed, &state);
                }
            }
            Timer::after(ROUND_PERIOD).await;
        }
    }

    async fn query(&self, seed: SocketAddr) -> capnp::Result<PeerState> {
        let executor = self.kernel.executor();
        let connection = rpc::connect::<pool_port::Client>(seed, &executor).await;
        let connection = connection.map_err(|error| capnp::Error::failed(error.to_string()))?;
        let reply = connection
            .client
            .peer_state_request()
            .send()
            .promise
            .await?;
        pool::read_peer_state(reply.get()?.get_state()?)
    }

    fn apply_state(&self, seed: SocketAddr, state: &PeerState) {
        let event = Event::new(EventKind::PeerStateLearned).party(format_smolstr!("{seed}"));
        let detail = format_smolstr!(
            "{} bytes of manifest, {} owners",
            state.manifest.len(),
            state.owners.len()
        );
        self.kernel.emit(event.detail(detail));
        for (zone, layout) in &state.shard_layouts {
            self.shard_layouts.apply(zone, *layout);
        }
        for (pool, owner) in &state.owners {
            self.links.apply_peer_owner(pool, *owner);
        }
        self.evacuations
            .apply(state.evacuations.iter().cloned(), "another host");
        if !state.manifest.is_empty() {
            self.manifest.apply(&state.manifest, "another host");
        }
    }
}
