//! Reads the configuration stream of the platform's log and folds its records into the
//! [`SharedState`].

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use onyxshed_core::{Event, EventKind, Millis};
use onyxshed_kernel::{Kernel, LocalFuture, Result, Service, ServiceName};
use onyxshed_platform::{PlatformClient, PlatformOptions};
use onyxshed_wire::platform::CONFIG_STREAM;

use crate::names::{CONFIG_FOLLOWER, SHARED_STATE};
use crate::shared_state::SharedState;

/// Longest time for which the platform holds a read open until a record is appended.
const READ_WAIT: Millis = Millis(1_000);

/// How long to wait after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The service that reads the configuration stream until the process ends.
pub struct ConfigFollower {
    platform_address: SocketAddr,
    options: PlatformOptions,
}

impl ConfigFollower {
    /// Creates the service; reading begins when it starts.
    pub fn new(platform_address: SocketAddr, options: PlatformOptions) -> Self {
        ConfigFollower {
            platform_address,
            options,
        }
    }
}

impl Service for ConfigFollower {
    fn name(&self) -> ServiceName {
        CONFIG_FOLLOWER
    }

    fn dependencies(&self) -> &[ServiceName] {
        &[SHARED_STATE]
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            let shared_state = kernel.find(SHARED_STATE)?;
            let client = PlatformClient::new(self.platform_address, self.options);
            kernel
                .spawn(follow(kernel.clone(), shared_state, client))
                .detach();
            Ok(())
        })
    }
}

async fn follow(kernel: Kernel, shared_state: Rc<SharedState>, mut client: PlatformClient) {
    let mut is_lost = false;
    loop {
        match client
            .read(CONFIG_STREAM, shared_state.next_config_offset(), READ_WAIT)
            .await
        {
            Ok(page) => {
                if std::mem::replace(&mut is_lost, false) {
                    kernel.emit(Event::new(EventKind::PlatformBack).party("platform"));
                }
                shared_state.apply_page(&page);
            }
            Err(error) => {
                if !std::mem::replace(&mut is_lost, true) {
                    let event = Event::new(EventKind::PlatformLost).party("platform");
                    kernel.emit(event.detail(error.to_string()));
                }
                Timer::after(READ_RETRY_DELAY).await;
            }
        }
    }
}
