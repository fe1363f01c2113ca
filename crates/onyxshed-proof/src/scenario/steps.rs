//! Executes the statements of a scenario, except for `wait until` and `expect`, which `checks`
//! executes.

use std::future::Future;
use std::time::{Duration, Instant};

use async_io::Timer;
use onyxshed_core::ClassTarget;
use onyxshed_standins::platform::state::Outage;
use onyxshed_standins::platform::{Faults, Truncation};
use onyxshed_standins::upstream::UpstreamFaults;
use onyxshed_wire::platform::HostState;
use smol_str::{SmolStr, format_smolstr};

use crate::caller::{self, ResubmitPolicy};
use crate::cluster::topology::UPSTREAM;
use crate::cluster::{Cluster, ProcessKind};
use crate::error::{Error, Result};
use crate::remote::WAIT_TIMEOUT;

use super::language::{
    Action, Content, ExecutorFault, PlatformFault, Publication, Receivers, Setting, Step, Submit,
    Target,
};
use super::scenario_run::ScenarioRun;

/// Time between two checks whether a process has reacted to SIGTERM.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl ScenarioRun {
    /// Executes one statement. Requests about jobs are only sent; later statements wait for their
    /// answers.
    pub async fn play(&mut self, step: &Step) -> Result<()> {
        match step {
            Step::Given(setting) => {
                self.apply_setting(*setting);
                Ok(())
            }
            Step::Start(topology) => self.start(topology).await,
            Step::Publish(publication) => self.publish(publication).await,
            Step::Append(publication) => {
                let target = class_target(publication)?;
                let based_on = publication.from.unwrap_or_default();
                self.cluster()?.append_change(target, based_on).await
            }
            Step::Bind(jobs, host) => {
                for name in self.job_names(jobs) {
                    self.bind(name, host).await?;
                }
                Ok(())
            }
            Step::Submit(submit) => self.submit(submit),
            Step::Cancel(jobs, host) => self.send_each(jobs, host, caller::cancel),
            Step::Fetch(jobs, host) => self.send_each(jobs, host, caller::fetch),
            Step::Wait(condition) => self.wait(condition).await,
            Step::Pass(time) => {
                Timer::after(Duration::from(*time)).await;
                Ok(())
            }
            Step::Signal(action, target) => self.signal(*action, target).await,
            Step::Network(mode, edge) => self.cluster()?.set_edge(edge, *mode).await,
            Step::Platform(fault) => {
                let faults = platform_faults(fault);
                self.cluster()?.set_platform_faults(&faults).await
            }
            Step::Executor(name, fault) => self.set_executor(name, *fault).await,
            Step::ListHost(host, is_listed) => {
                let cluster = self.cluster()?;
                cluster.host(host)?.is_listed = *is_listed;
                cluster.publish_hosts().await
            }
            Step::Note(name) => {
                let unit = self.cluster()?.executor(name)?;
                unit.noted_start_count = unit.starts().len();
                Ok(())
            }
            Step::Expect(expectation) => self.expect(expectation).await,
        }
    }

    fn apply_setting(&mut self, setting: Setting) {
        let options = &mut self.options;
        let mut set_entry_setting = |field: &str, value: u64| {
            options.entry_settings.insert(field.into(), value.into());
        };
        match setting {
            Setting::Horizon(time) => set_entry_setting("horizon_ms", time.0),
            Setting::Skew(time) => set_entry_setting("skew_ms", time.0),
            Setting::ClaimPatience(time) => set_entry_setting("claim_patience_ms", time.0),
            Setting::DrainTimeout(time) => set_entry_setting("drain_timeout_ms", time.0),
            Setting::Slots(slots) => options.slots = slots,
            Setting::Queue(tasks) => options.queue_max = tasks,
            Setting::Retention(time) => options.set_retention(time),
            Setting::HostListLag(time) => options.host_list_lag_ms = time,
            Setting::GoneAfter(time) => options.set_gone_after(time),
        }
    }

    async fn publish(&mut self, publication: &Publication) -> Result<()> {
        let target = class_target(publication)?;
        let class = target.class.clone();
        let cluster = self.cluster()?;
        let output = cluster.put_target(&target, publication.from).await?;
        let expected = publication.told.exit_code();
        if output.code != Some(expected) {
            let detail = format_smolstr!("expected exit code {expected}, found {output:?}");
            return Err(Error::unmet(detail));
        }
        let may_run_twice = publication.may_run_twice;
        self.may_run_twice.insert(class, may_run_twice);
        Ok(())
    }

    fn submit(&mut self, submit: &Submit) -> Result<()> {
        let is_own = submit.content != Content::Other;
        for (index, name) in self.job_names(&submit.jobs).into_iter().enumerate() {
            let submission = self.submission(&name, &submit.content)?;
            let hosts: &[SmolStr] = match &submit.to {
                Receivers::Each(hosts) => hosts,
                Receivers::InTurn(hosts) => &hosts[index % hosts.len()..][..1],
            };
            for host in hosts {
                let address = self.cluster()?.host(host)?.caller_address()?;
                let mut submission = submission.clone();
                submission.copy = self.job(&name)?.next_copy_mark();
                let resubmit_policy = match submit.is_persistent {
                    true => ResubmitPolicy::UntilRun,
                    false => ResubmitPolicy::Once,
                };
                let request = caller::submit(address, submission, resubmit_policy);
                self.send_request(&name, host.clone(), is_own, request)?;
            }
        }
        Ok(())
    }

    fn send_each<F>(
        &mut self,
        jobs: &super::language::Jobs,
        host: &SmolStr,
        request: fn(std::net::SocketAddr, onyxshed_core::SubmissionId) -> F,
    ) -> Result<()>
    where
        F: Future<Output = caller::TimedCallResult> + 'static,
    {
        let address = self.cluster()?.host(host)?.caller_address()?;
        for name in self.job_names(jobs) {
            let id = self.job(&name)?.submission.submission;
            self.send_request(&name, host.clone(), true, request(address, id))?;
        }
        Ok(())
    }

    async fn signal(&mut self, action: Action, target: &Target) -> Result<()> {
        let cluster = self.cluster()?;
        match target {
            Target::Executor(name) => signal_executor(cluster, action, name),
            Target::Part(process_kind, host) => {
                signal_processes(
                    cluster,
                    action,
                    &[*process_kind],
                    std::slice::from_ref(host),
                )
                .await
            }
            Target::Host(host) => {
                signal_processes(cluster, action, BOTH_PROCESSES, std::slice::from_ref(host)).await
            }
            Target::EveryHost => {
                let hosts = cluster.host_names();
                signal_processes(cluster, action, BOTH_PROCESSES, &hosts).await
            }
        }
    }

    async fn set_executor(&mut self, name: &str, fault: ExecutorFault) -> Result<()> {
        let cluster = self.cluster()?;
        let unit = cluster.executor(name)?;
        match fault {
            ExecutorFault::Drains => return unit.drain().await,
            ExecutorFault::ListedLeaving => unit.host.state = HostState::Leaving,
            ExecutorFault::Unlisted => unit.is_listed = false,
            fault => return unit.set_faults(&executor_faults(fault)).await,
        }
        cluster.publish_hosts().await
    }
}

/// Both processes of an entry host. The entry process comes first because the control process
/// connects to it.
const BOTH_PROCESSES: &[ProcessKind] = &[ProcessKind::Entry, ProcessKind::Control];

async fn signal_processes(
    cluster: &mut Cluster,
    action: Action,
    process_kinds: &[ProcessKind],
    hosts: &[SmolStr],
) -> Result<()> {
    if action == Action::Restart {
        for process_kind in process_kinds {
            cluster.restart(*process_kind, hosts).await?;
        }
        return cluster.publish_hosts().await;
    }
    for host in hosts {
        for process_kind in process_kinds {
            let process = cluster.host(host)?.process(*process_kind)?;
            match action {
                Action::Freeze => process.freeze()?,
                Action::Thaw => process.thaw()?,
                Action::Stop => process.request_stop()?,
                Action::Kill | Action::Restart => cluster.kill_process(*process_kind, host)?,
            }
        }
    }
    if action == Action::Stop {
        wait_until_stopping(cluster, process_kinds, hosts).await?;
    }
    Ok(())
}

/// Waits until processes drain or have exited. On a busy machine some time passes before a process
/// handles the signal, and requests that arrive before that are served as usual.
async fn wait_until_stopping(
    cluster: &mut Cluster,
    process_kinds: &[ProcessKind],
    hosts: &[SmolStr],
) -> Result<()> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    for host in hosts {
        for process_kind in process_kinds {
            while !cluster
                .host(host)?
                .process(*process_kind)?
                .is_stopping_or_ended()?
            {
                if Instant::now() >= deadline {
                    return Err(Error::unmet("a process did not react to SIGTERM in time"));
                }
                Timer::after(STOP_POLL_INTERVAL).await;
            }
        }
    }
    Ok(())
}

fn signal_executor(cluster: &mut Cluster, action: Action, name: &str) -> Result<()> {
    let process = &mut cluster.executor(name)?.process;
    match action {
        Action::Freeze => process.freeze(),
        Action::Thaw => process.thaw(),
        Action::Stop => process.request_stop(),
        Action::Kill => process.kill(),
        Action::Restart => Err(Error::unmet("executors can't be restarted")),
    }
}

/// Returns the class target that a publication describes, with [`UPSTREAM`] as its upstream.
pub(super) fn class_target(publication: &Publication) -> Result<ClassTarget> {
    let upstream = UPSTREAM.parse();
    Ok(ClassTarget {
        class: publication.class.clone(),
        upstream: upstream.map_err(|error| Error::unmet(format_smolstr!("{error}")))?,
        finish_within_ms: publication.within,
        may_run_twice: publication.may_run_twice,
    })
}

fn platform_faults(fault: &PlatformFault) -> Faults {
    let mut faults = Faults::default();
    match fault {
        PlatformFault::DownRefusing => faults.down = Some(Outage::Refuse),
        PlatformFault::DownHanging => faults.down = Some(Outage::Hang),
        PlatformFault::Back => {}
        PlatformFault::LosesAnswers(count) => faults.lose_append_answer = *count,
        PlatformFault::DropsAppends(count) => faults.drop_append = *count,
        PlatformFault::Slow(time) => faults.slow_ms = time.0,
        PlatformFault::Status(status) => faults.error_status = Some(*status),
        PlatformFault::OutOfDate => faults.stale_reads = true,
        PlatformFault::Forgets(stream, to) => {
            let (stream, to) = (stream.clone(), *to);
            faults.truncate = Some(Truncation { stream, to });
        }
    }
    faults
}

fn executor_faults(fault: ExecutorFault) -> UpstreamFaults {
    let mut faults = UpstreamFaults::default();
    match fault {
        ExecutorFault::Silent => faults.silent = true,
        ExecutorFault::FailsAll => faults.fail_all = true,
        ExecutorFault::RefusesAll => faults.refuse_all = true,
        ExecutorFault::Slows(times) => faults.slow_factor = f64::from(times),
        ExecutorFault::Late(time) => faults.late_ms = time.0,
        ExecutorFault::Foreign => faults.wrong_task_id = true,
        ExecutorFault::BreaksOff => faults.close_mid_body = true,
        ExecutorFault::Recovers
        | ExecutorFault::Drains
        | ExecutorFault::ListedLeaving
        | ExecutorFault::Unlisted => {}
    }
    faults
}
