//! Appends this host's claims to the platform's log and follows the claims of all hosts.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use async_lock::Mutex;
use onyxshed_core::{Event, EventKind, Millis};
use onyxshed_dispatch::{Dispatch, Input};
use onyxshed_kernel::{Descriptor, Kernel, LocalFuture, Result, Service, ServiceName};
use onyxshed_platform::{PlatformClient, PlatformOptions};
use onyxshed_state::claim::AppendFailure;
use onyxshed_wire::platform::CLAIMS_STREAM;
use onyxshed_wire::record::{ClaimBatch, ClaimRecord};

use crate::engine::Engine;
use crate::names::{CLAIM_LOG, ENGINE};

/// Longest time for which the platform holds a read open until a record is appended.
const READ_WAIT: Millis = Millis(1_000);

/// How long to wait after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Handle to the platform's stream of claims. Appends the engine's claims, and passes the records
/// read from the stream to the engine.
pub struct ClaimLog {
    kernel: Kernel,
    engine: Rc<Engine>,
    platform_address: SocketAddr,
    options: PlatformOptions,
    appender: Mutex<PlatformClient>,
}

impl ClaimLog {
    /// Creates a handle without opening a connection.
    pub fn new(
        kernel: &Kernel,
        engine: Rc<Engine>,
        platform_address: SocketAddr,
        options: PlatformOptions,
    ) -> Rc<Self> {
        let appender = Mutex::new(PlatformClient::new(platform_address, options));
        Rc::new(ClaimLog {
            kernel: kernel.clone(),
            engine,
            platform_address,
            options,
            appender,
        })
    }

    /// Appends a batch of claims and reports the result to the engine.
    pub fn append(self: &Rc<Self>, batch: ClaimBatch) {
        let log = self.clone();
        let appending = async move {
            let batch_number = batch.batch;
            let record = ClaimRecord::ClaimsV1(batch).encode();
            let mut appender = log.appender.lock().await;
            let append_result = appender.append(CLAIMS_STREAM, record.into_bytes()).await;
            drop(appender);
            let result = append_result.map_err(|error| match error.may_have_taken_effect() {
                true => AppendFailure::AnswerLost,
                false => AppendFailure::NotAppended,
            });
            log.engine.handle_input(Input::AppendEnded {
                batch: batch_number,
                result,
            });
        };
        self.kernel.spawn(appending).detach();
    }

    /// Returns how long the platform may hold the next read open. This host can't claim a
    /// submission until it has read the stream to its end, so the first read after a start or an
    /// outage must not wait for a new record.
    fn read_wait(&self) -> Millis {
        match self.engine.inspect(Dispatch::is_log_read) {
            true => READ_WAIT,
            false => Millis(0),
        }
    }

    /// Reads the stream from the offset that the engine needs next and feeds the records to the
    /// engine, until the process ends. Emits an event when reads begin to fail, and another when
    /// they succeed again.
    async fn follow(self: Rc<Self>) {
        let mut client = PlatformClient::new(self.platform_address, self.options);
        let mut is_lost = false;
        loop {
            let from = self.engine.inspect(Dispatch::next_log_offset);
            match client.read(CLAIMS_STREAM, from, self.read_wait()).await {
                Ok(page) => {
                    if std::mem::replace(&mut is_lost, false) {
                        self.kernel
                            .emit(Event::new(EventKind::PlatformBack).party("platform"));
                    }
                    let (oldest, next, records) = (page.oldest, page.next, page.records);
                    self.engine.handle_input(Input::LogRead {
                        oldest,
                        next,
                        records,
                    });
                }
                Err(error) => {
                    if !std::mem::replace(&mut is_lost, true) {
                        let event = Event::new(EventKind::PlatformLost).party("platform");
                        self.kernel.emit(event.detail(error.to_string()));
                        self.engine.handle_input(Input::LogLost);
                    }
                    Timer::after(READ_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// The service that registers a [`ClaimLog`] with the kernel and follows the stream of claims.
pub struct ClaimLogService {
    log: Rc<ClaimLog>,
}

impl ClaimLogService {
    /// Creates the service, which reads the stream of claims while the process runs.
    pub fn new(log: Rc<ClaimLog>) -> Self {
        ClaimLogService { log }
    }
}

impl Service for ClaimLogService {
    fn name(&self) -> ServiceName {
        CLAIM_LOG
    }

    fn dependencies(&self) -> &[ServiceName] {
        &[ENGINE]
    }

    fn start<'a>(&'a self, kernel: &'a Kernel) -> LocalFuture<'a, Result<()>> {
        Box::pin(async move {
            let descriptor = Descriptor {
                name: CLAIM_LOG,
                summary: "claims in the platform's log",
            };
            kernel.register(descriptor, self.log.clone())?;
            kernel.spawn(self.log.clone().follow()).detach();
            Ok(())
        })
    }
}
