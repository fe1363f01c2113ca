//! The executors of a soak: their processes, their speed and their records of runs.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use http_types::Method;
use onyxshed_http::client::call_once;
use onyxshed_proof::Result;
use onyxshed_proof::process::Process;
use onyxshed_standins::fleet::executor::RunRecord;
use smol_str::{SmolStr, format_smolstr};

use super::{CALL_TIMEOUT, Executor, Fleet, FleetOptions};

/// The timeout of a change of an executor's speed, short because a frozen executor does not answer.
const SPEED_TIMEOUT: Duration = Duration::from_millis(200);

/// The CPU that each task of a caller's job requests, in thousandths of a core.
pub(crate) const TASK_CPU_MILLIS: u32 = 1_000;

impl Fleet {
    /// Sets the speed of an executor, by which the times in the specs of tasks are divided; no
    /// effect if it is not running.
    pub async fn set_executor_speed(&self, id: &SmolStr, speed: f64) -> Result<()> {
        let Some(address) = self.executors.get(id).and_then(|executor| executor.address) else {
            return Ok(());
        };
        let body = serde_json::to_vec(&speed).expect("a number serializes to JSON");
        let path = "control/speed";
        // An error is ignored: a frozen executor reads the request from its socket when it is
        // thawed, and a killed one starts again at the speed in its arguments.
        let _ = call_once(address, Method::Post, path, body, SPEED_TIMEOUT).await;
        Ok(())
    }

    pub(super) async fn add_executor(
        &mut self,
        zone: usize,
        index: usize,
        options: &FleetOptions,
    ) -> Result<()> {
        let id = format_smolstr!("x-{zone}-{index}");
        // The route is opened without a usable target, since the executor needs the address to register
        // before it starts.
        let placeholder = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
        let advertised = self
            .open_route(&format!("executor-{id}"), placeholder)
            .await?;
        let store = self.store.address("store")?;
        let speed = [0.7, 1.0, 1.6][index % 3];
        let (ahead_ms, slow_millis) = options.clocks.skew_of(index);
        let arguments: Vec<String> = [
            format!("--store={store}"),
            format!("--advertised={advertised}"),
            format!("--id={id}"),
            format!("--zone=z{zone}"),
            format!("--speed={speed}"),
            format!("--cpu-millis={}", options.places * TASK_CPU_MILLIS),
            format!("--places={}", options.places),
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

    /// Starts an executor, which must not be running, and sets the target of its route.
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
        self.open_route(&format!("executor-{id}"), address).await?;
        Ok(())
    }

    /// Reads the records of an executor and kills it.
    pub async fn kill_executor(&mut self, id: &SmolStr) -> Result<()> {
        self.collect_records(id).await;
        if let Some(executor) = self.executors.get_mut(id)
            && let Some(mut process) = executor.process.take()
        {
            process.kill()?;
            executor.address = None;
        }
        Ok(())
    }

    /// Freezes or thaws the process of an executor; no effect if it is not running.
    pub fn set_executor_frozen(&self, id: &SmolStr, is_frozen: bool) -> Result<()> {
        let executor = self.executors.get(id);
        match executor.and_then(|executor| executor.process.as_ref()) {
            Some(process) if is_frozen => process.freeze(),
            Some(process) => process.thaw(),
            None => Ok(()),
        }
    }

    async fn collect_records(&mut self, id: &SmolStr) {
        let Some(address) = self.executors.get(id).and_then(|executor| executor.address) else {
            return;
        };
        let path = "control/runs";
        let reply = call_once(address, Method::Get, path, Vec::new(), CALL_TIMEOUT).await;
        let records: Vec<RunRecord> = reply
            .ok()
            .and_then(|reply| serde_json::from_slice(&reply.body).ok())
            .unwrap_or_default();
        self.collected_records
            .extend(records.into_iter().map(|record| (id.clone(), record)));
    }

    /// Reads the records of all executors; returns them together with those of executors killed since the
    /// last call.
    pub async fn take_records(&mut self) -> Vec<(SmolStr, RunRecord)> {
        let ids: Vec<SmolStr> = self.executors.keys().cloned().collect();
        for id in ids {
            self.collect_records(&id).await;
        }
        std::mem::take(&mut self.collected_records)
    }
}
