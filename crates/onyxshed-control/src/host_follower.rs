//! Polls the platform's list of hosts, which lags behind the hosts' actual state.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use onyxshed_kernel::{Kernel, LocalFuture, Result, Service, ServiceName};
use onyxshed_platform::{PlatformClient, PlatformOptions};
use onyxshed_policy::ExecutorInfo;
use onyxshed_proto::ExecutorEntry;
use onyxshed_wire::platform::{ExecutorHost, HostList, HostState};

use crate::names::{HOST_FOLLOWER, PEERS, SHARED_STATE};
use crate::peers::Peers;
use crate::shared_state::SharedState;

/// How often the list is read. A draining executor must be known within 2 s, and each read takes 122
/// bytes per executor (docs/CAPACITY.md).
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// The service that reads the list every second. It applies the list to the member table and passes
/// the executors of `zone` to the shared state.
pub struct HostFollower {
    platform_address: SocketAddr,
    zone: onyxshed_core::ZoneName,
    options: PlatformOptions,
}

impl HostFollower {
    /// Creates the service for a host of `zone`.
    pub fn new(
        platform_address: SocketAddr,
        zone: onyxshed_core::ZoneName,
        options: PlatformOptions,
    ) -> Self {
        HostFollower {
            platform_address,
            zone,
            options,
        }
    }
}

impl Service for HostFollower {
    fn name(&self) -> ServiceName {
        HOST_FOLLOWER
    }

    fn dependencies(&self) -> &[ServiceName] {
        &[SHARED_STATE, PEERS]
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            let shared_state: Rc<SharedState> = kernel.find(SHARED_STATE)?;
            let peers: Rc<Peers> = kernel.find(PEERS)?;
            let zone = self.zone.clone();
            let mut client = PlatformClient::new(self.platform_address, self.options);
            let follow = async move {
                loop {
                    if let Ok(list) = client.hosts().await {
                        peers.apply_host_list(&list);
                        shared_state.set_executors(executors_of(&list, &zone));
                    }
                    Timer::after(READ_INTERVAL).await;
                }
            };
            kernel.spawn(follow).detach();
            Ok(())
        })
    }
}

/// Returns the executors of the host's own zone; each zone has its own upstreams.
fn executors_of(list: &HostList, zone: &onyxshed_core::ZoneName) -> Vec<ExecutorEntry> {
    let own_zone = list
        .executors
        .iter()
        .filter(|executor| executor.zone == *zone);
    own_zone.map(entry_of).collect()
}

fn entry_of(host: &ExecutorHost) -> ExecutorEntry {
    let info = ExecutorInfo {
        name: host.name.clone(),
        upstream: host.upstream.clone(),
        zone: host.zone.clone(),
        rack: host.rack.clone(),
        slots: host.slots,
        is_draining: host.state == HostState::Leaving,
    };
    ExecutorEntry {
        info,
        address: host.address,
    }
}
