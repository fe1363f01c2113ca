//! Appends the configuration to its stream again before its records expire.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use onyxshed_core::{Event, EventKind};
use onyxshed_kernel::{Kernel, LocalFuture, Result, Service, ServiceName};
use onyxshed_platform::{PlatformClient, PlatformOptions};
use onyxshed_state::RepublishStep;
use onyxshed_wire::platform::CONFIG_STREAM;
use onyxshed_wire::record::ConfigRecord;

use crate::names::{REPUBLISHER, SHARED_STATE};
use crate::shared_state::SharedState;

/// How often to check whether the configuration must be appended again.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The service that checks every second whether the configuration is due to be appended again.
pub struct Republisher {
    platform_address: SocketAddr,
    options: PlatformOptions,
}

impl Republisher {
    /// Creates the service, which appends to the stream of the platform at `platform_address`.
    pub fn new(platform_address: SocketAddr, options: PlatformOptions) -> Self {
        Republisher {
            platform_address,
            options,
        }
    }
}

impl Service for Republisher {
    fn name(&self) -> ServiceName {
        REPUBLISHER
    }

    fn dependencies(&self) -> &[ServiceName] {
        &[SHARED_STATE]
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            let shared_state: Rc<SharedState> = kernel.find(SHARED_STATE)?;
            let client = PlatformClient::new(self.platform_address, self.options);
            kernel
                .spawn(republish_when_due(kernel.clone(), shared_state, client))
                .detach();
            Ok(())
        })
    }
}

async fn republish_when_due(
    kernel: Kernel,
    shared_state: Rc<SharedState>,
    mut client: PlatformClient,
) {
    let seed = rand::random();
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let now = kernel.clock().now().wall;
        if let RepublishStep::Publish(records) = shared_state.republish(now, seed)
            && publish(&mut client, &records).await
        {
            kernel.emit(Event::new(EventKind::ConfigRepublished).party("platform"));
        }
    }
}

/// Appends the records and returns whether all were appended. After a failure, a later check
/// appends them again; a record that is on the log twice has no further effect.
async fn publish(client: &mut PlatformClient, records: &[ConfigRecord]) -> bool {
    for record in records {
        if client
            .append(CONFIG_STREAM, record.encode().into_bytes())
            .await
            .is_err()
        {
            return false;
        }
    }
    true
}
