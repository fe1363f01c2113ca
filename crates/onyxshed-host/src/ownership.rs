//! Acquires and renews ownership of a pool, and hands it over.
//!
//! A pool is owned by the host that holds partition 0 of the pool's group in the store. A host
//! joins the group only while no member holds that partition, so that hosts which start or stop
//! cause no rebalancing. A host owns at most one pool. The store numbers the generations of a
//! group: the number increases with each change of the group. The fencing token of an owner is
//! derived from the version of the zone's shard layout and the generation in which the owner
//! acquired the partition, and is higher than the token of any earlier owner of the pool.
//!
//! While the store is unavailable the owner continues; no host takes over on a timeout of its own.
//! An owner that the store has replaced detects this from the store, or from the first executor
//! that refuses its token.

mod contender;
mod handover;
mod successor;

use std::net::SocketAddr;
use std::rc::Rc;

use onyxshed_core::Millis;
use onyxshed_kernel::{Kernel, LocalFuture, Result, Service, ServiceName};
use smol_str::SmolStr;

use crate::directory::{Directory, member_name};
use crate::engine::Engine;
use crate::last_owner;
use crate::links::Links;
use crate::names::{ENGINE, LINKS, OWNERSHIP, SHARD_LAYOUTS};
use crate::shard_layouts::ShardLayouts;
use crate::store_watch::StoreWatch;
use crate::topic::Topics;
use contender::Contender;

/// Settings with which this host joins the pools' groups.
#[derive(Debug, Clone)]
pub struct OwnershipOptions {
    /// Availability zone of this host.
    pub zone: SmolStr,
    /// Address at which peers reach this host; part of its member name.
    pub address: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Shortest time to live of a membership that the store accepts.
    pub ttl_min_ms: Millis,
    /// CPU share of this host, in thousandths of a core.
    pub cpu_millis: u32,
    /// Whether the deployment starts for the first time, so that no pool can have a previous owner.
    pub is_first_start: bool,
}

/// Service that acquires and keeps ownership of a pool of the host's zone.
pub struct OwnershipService {
    options: OwnershipOptions,
    shard_layouts: Rc<ShardLayouts>,
    engine: Rc<Engine>,
    links: Rc<Links>,
    topics: Rc<Topics>,
}

impl OwnershipService {
    /// Creates the service. From its start, it tries to own a pool until the process ends.
    pub fn new(
        options: OwnershipOptions,
        shard_layouts: Rc<ShardLayouts>,
        engine: Rc<Engine>,
        links: Rc<Links>,
        topics: Rc<Topics>,
    ) -> Self {
        OwnershipService {
            options,
            shard_layouts,
            engine,
            links,
            topics,
        }
    }
}

impl Service for OwnershipService {
    fn name(&self) -> ServiceName {
        OWNERSHIP
    }

    fn dependencies(&self) -> &[ServiceName] {
        &[ENGINE, LINKS, SHARD_LAYOUTS]
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            let options = &self.options;
            let directory = Directory::new(
                options.zone.clone(),
                member_name(options.address, self.engine.incarnation()),
                self.shard_layouts.clone(),
                self.engine.clone(),
                self.links.clone(),
                StoreWatch::new(kernel, "owners"),
            );
            kernel
                .spawn(directory.clone().follow(options.store))
                .detach();
            let record_watch = StoreWatch::new(kernel, "owner records");
            let topic_options = last_owner::TOPIC_OPTIONS;
            let follow = self.topics.clone().follow(
                topic_options,
                options.store,
                record_watch,
                directory.clone(),
            );
            kernel.spawn(follow).detach();
            let contender = Contender::new(kernel, self, directory);
            kernel.spawn(contender.run()).detach();
            Ok(())
        })
    }
}
