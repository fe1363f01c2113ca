//! What a host that has just started learns from others while the store is away.
//!
//! Hosts that start while the store is down know neither routes nor owners. The platform's settings name
//! up to three hosts that do. What they tell may be old: the store's word replaces it, and a manifest is
//! never replaced by an older one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use onyxshed_core::{Event, EventKind};
use onyxshed_http::client::within;
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

/// How long the store may take to tell the manifest before others are asked: a first read takes two
/// calls, and a host at its processor limit is late to read the answers.
const STORE_WAIT: Duration = Duration::from_millis(250);

/// Time between two rounds of questions, while neither the store nor another host has told the manifest.
const ROUND_PERIOD: Duration = Duration::from_millis(250);

/// How long one host may take to answer: a new connection over zones and a call, on a host at its
/// processor limit (75 ms).
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// Learning from others as a service.
pub struct PeerStateService {
    own_address: SocketAddr,
    seeds: Vec<SocketAddr>,
    evacuations: Rc<ZoneEvacuations>,
}

impl PeerStateService {
    /// Makes the service of a host that others reach at `own`, with the hosts that it may ask.
    pub fn new(own: SocketAddr, seeds: Vec<SocketAddr>, evacuations: Rc<ZoneEvacuations>) -> Self {
        PeerStateService {
            own_address: own,
            seeds,
            evacuations,
        }
    }
}

impl Service for PeerStateService {
    fn name(&self) -> ServiceName {
        PEER_STATE
    }

    fn needs(&self) -> &[ServiceName] {
        &[MANIFEST, LINKS, SHARD_LAYOUTS]
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            let newcomer = PeerStateClient {
                kernel: kernel.clone(),
                seeds: self.seeds.clone(),
                manifest: kernel.find(MANIFEST)?,
                links: kernel.find(LINKS)?,
                shard_layouts: kernel.find(SHARD_LAYOUTS)?,
                evacuations: self.evacuations.clone(),
            };
            let others = newcomer
                .seeds
                .iter()
                .filter(|seed| **seed != self.own_address);
            if others.count() > 0 {
                kernel.spawn(newcomer.fetch(self.own_address)).detach();
            }
            Ok(())
        })
    }
}

/// A host that has just started.
struct PeerStateClient {
    kernel: Kernel,
    seeds: Vec<SocketAddr>,
    manifest: Rc<ManifestHolder>,
    links: Rc<Links>,
    shard_layouts: Rc<ShardLayouts>,
    evacuations: Rc<ZoneEvacuations>,
}

impl PeerStateClient {
    /// Asks the other hosts in turn until the manifest is known.
    async fn fetch(self, own: SocketAddr) {
        Timer::after(STORE_WAIT).await;
        while self.manifest.get().is_none() {
            for seed in self.seeds.iter().filter(|seed| **seed != own) {
                let answer = within(ANSWER_TIMEOUT, self.query(*seed)).await;
                // One that is gone or knows nothing is no news: the next one is asked.
                if let Some(Ok(known)) = answer {
                    self.apply_state(*seed, &known);
                }
            }
            Timer::after(ROUND_PERIOD).await;
        }
    }

    async fn query(&self, seed: SocketAddr) -> capnp::Result<PeerState> {
        let executor = self.kernel.executor();
        let client = rpc::connect::<pool_port::Client>(seed, &executor).await;
        let client = client.map_err(|error| capnp::Error::failed(error.to_string()))?;
        let reply = client.peer_state_request().send().promise.await?;
        pool::read_peer_state(reply.get()?.get_state()?)
    }

    fn apply_state(&self, seed: SocketAddr, known: &PeerState) {
        let told = Event::new(EventKind::PeerStateLearned).party(format_smolstr!("{seed}"));
        let detail = format_smolstr!(
            "{} bytes of manifest, {} owners",
            known.manifest.len(),
            known.owners.len()
        );
        self.kernel.emit(told.detail(detail));
        for (zone, division) in &known.divisions {
            self.shard_layouts.apply(zone, *division);
        }
        for (pool, owner) in &known.owners {
            self.links.apply_peer_owner(pool, *owner);
        }
        self.evacuations
            .apply(known.evacuations.iter().cloned(), "another host");
        if !known.manifest.is_empty() {
            self.manifest.apply(&known.manifest, "another host");
        }
    }
}
