//! The executors of a soak: their processes, their speed and what they recorded.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use http_types::Method;
use onyxshed_http::client::call_once;
use onyxshed_proof::Result;
use onyxshed_proof::process::Process;
use onyxshed_standins::fleet::executor::RunRecord;
use smol_str::{SmolStr, format_smolstr};

use super::{CALL_TIMEOUT, Executor, ExecutorClocks, Fleet};

/// How long an executor may take to take a new speed; one that stands still does not answer.
const SPEED_TIMEOUT: Duration = Duration::from_millis(200);

impl Fleet {
    /// Sets how many times faster than an ordinary one an executor works; nothing if it does not run.
    pub async fn set_executor_speed(&self, id: &SmolStr, speed: f64) -> Result<()> {
        let Some(address) = self.executors.get(id).and_then(|found| found.address) else {
            return Ok(());
        };
        let body = serde_json::to_vec(&speed).expect("a number");
        let path = "control/speed";
        // One that stands still finds it in its socket when it goes on; one that is killed starts again at
        // its ordinary speed.
        let _ = call_once(address, Method::Post, path, body, SPEED_TIMEOUT).await;
        Ok(())
    }

    pub(super) async fn add_executor(
        &mut self,
        zone: usize,
        index: usize,
        clocks: ExecutorClocks,
    ) -> Result<()> {
        let id = format_smolstr!("x-{zone}-{index}");
        // Opened with no target yet; the executor is told where it will be reached.
        let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
        let advertised = self.route(&format!("executor-{id}"), nowhere).await?;
        let store = self.store.address("store")?;
        let speed = [0.7, 1.0, 1.6][index % 3];
        let (ahead_ms, slow_millis) = clocks.of(index);
        let arguments: Vec<String> = [
            format!("--store={store}"),
            format!("--advertised={advertised}"),
            format!("--id={id}"),
            format!("--zone=z{zone}"),
            format!("--speed={speed}"),
            format!("--clock-ahead-ms={ahead_ms}"),
            format!("--clock-slow-millis={slow_millis}"),
        ]
        .into();
        let executor = Executor {
            process: None,
            arguments,
            address: None,
        };
        self.executors.insert(id.clone(), executor);
        self.start_executor(&id).await
    }

    /// Starts an executor that does not run.
    pub async fn start_executor(&mut self, id: &SmolStr) -> Result<()> {
        let folder = self.folder.path().to_owned();
        let Some(executor) = self.executors.get_mut(id) else {
            return Ok(());
        };
        let mut process =
            Process::start("standin-fleet-executor", id, &executor.arguments, &folder)?;
        process.wait_ready()?;
        let address = process.address("executor")?;
        executor.address = Some(address);
        executor.process = Some(process);
        self.route(&format!("executor-{id}"), address).await?;
        Ok(())
    }

    /// Kills an executor, after its records were read.
    pub async fn kill_executor(&mut self, id: &SmolStr) -> Result<()> {
        self.read_records(id).await;
        if let Some(executor) = self.executors.get_mut(id)
            && let Some(mut process) = executor.process.take()
        {
            process.kill()?;
            executor.address = None;
        }
        Ok(())
    }

    /// Freezes an executor, or lets it go on.
    pub fn freeze_executor(&self, id: &SmolStr, is_frozen: bool) -> Result<()> {
        let executor = self.executors.get(id);
        match executor.and_then(|executor| executor.process.as_ref()) {
            Some(process) if is_frozen => process.freeze(),
            Some(process) => process.thaw(),
            None => Ok(()),
        }
    }

    async fn read_records(&mut self, id: &SmolStr) {
        let Some(address) = self.executors.get(id).and_then(|found| found.address) else {
            return;
        };
        let path = "control/runs";
        let reply = call_once(address, Method::Get, path, Vec::new(), CALL_TIMEOUT).await;
        let records: Vec<RunRecord> = reply
            .ok()
            .and_then(|reply| serde_json::from_slice(&reply.body).ok())
            .unwrap_or_default();
        self.past
            .extend(records.into_iter().map(|record| (id.clone(), record)));
    }

    /// Reads the records of every executor, those killed since included.
    pub async fn all_records(&mut self) -> Vec<(SmolStr, RunRecord)> {
        let ids: Vec<SmolStr> = self.executors.keys().cloned().collect();
        for id in ids {
            self.read_records(&id).await;
        }
        std::mem::take(&mut self.past)
    }
}
