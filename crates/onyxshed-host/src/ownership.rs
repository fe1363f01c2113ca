//! How this host comes to own a pool, and loses it.
//!
//! A pool belongs to the host that holds partition 0 of the pool's group in the store. A host joins
//! the group only while nobody holds that partition, so that hosts which come and go move nothing,
//! and owns one pool at most. The group's generation in which the partition was won makes the
//! owner's token: it is higher than any earlier owner's.
//!
//! While the store is away the owner goes on; nobody takes over on a timeout of its own. An owner
//! that the store has replaced learns it from the store or from the first executor that refuses its
//! token.

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
use crate::topic;
use contender::Contender;

/// Who this host is in the groups.
#[derive(Debug, Clone)]
pub struct OwnershipOptions {
    /// The host's zone.
    pub zone: SmolStr,
    /// Where this host serves other hosts.
    pub address: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Shortest time to live that the store grants.
    pub ttl_min_ms: Millis,
    /// This host's share of a core, in thousandths.
    pub cpu_millis: u32,
    /// The whole system starts for the first time.
    pub is_first_start: bool,
}

/// Ownership as a service.
pub struct OwnershipService {
    options: OwnershipOptions,
    shard_layouts: Rc<ShardLayouts>,
    engine: Rc<Engine>,
    links: Rc<Links>,
}

impl OwnershipService {
    /// Makes the service.
    pub fn new(
        options: OwnershipOptions,
        divisions: Rc<ShardLayouts>,
        engine: Rc<Engine>,
        links: Rc<Links>,
    ) -> Self {
        OwnershipService {
            options,
            shard_layouts: divisions,
            engine,
            links,
        }
    }
}

impl Service for OwnershipService {
    fn name(&self) -> ServiceName {
        OWNERSHIP
    }

    fn needs(&self) -> &[ServiceName] {
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
            let written = StoreWatch::new(kernel, "owners written down");
            let followed = last_owner::TOPIC_OPTIONS;
            let follow = topic::follow(followed, options.store, written, directory.clone());
            kernel.spawn(follow).detach();
            let contender = Contender::new(kernel, self, directory);
            kernel.spawn(contender.run()).detach();
            Ok(())
        })
    }
}
