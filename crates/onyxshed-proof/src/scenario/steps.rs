//! Carries statements out.

use std::future::Future;
use std::time::{Duration, Instant};

use async_io::Timer;
use onyxshed_core::ClassTarget;
use onyxshed_standins::platform::state::Outage;
use onyxshed_standins::platform::{Faults, Truncation};
use onyxshed_standins::upstream::UpstreamFaults;
use onyxshed_wire::platform::HostState;
use smol_str::{SmolStr, format_smolstr};

use crate::caller::{self, Patience};
use crate::cluster::topology::UPSTREAM;
use crate::cluster::{Cluster, Part};
use crate::error::{Error, Result};
use crate::remote::WAIT_CEILING;

use super::language::{
    Action, Content, ExecutorFault, PlatformFault, Publication, Receivers, Setting, Step, Submit,
    Target,
};
use super::world::World;

/// Time between two looks whether a process has taken notice of a signal.
const HEARD_PAUSE: Duration = Duration::from_millis(5);

impl World {
    /// Carries out one statement.
    pub async fn play(&mut self, step: &Step) -> Result<()> {
        match step {
            Step::Given(setting) => {
                self.set(*setting);
                Ok(())
            }
            Step::Start(topology) => self.start(topology).await,
            Step::Publish(publication) => self.publish(publication).await,
            Step::Append(publication) => {
                let target = target_of(publication)?;
                let based_on = publication.from.unwrap_or_default();
                self.cluster()?.append_change(target, based_on).await
            }
            Step::Bind(jobs, host) => {
                for name in self.names(jobs) {
                    self.bind(name, host).await?;
                }
                Ok(())
            }
            Step::Submit(submit) => self.submit(submit),
            Step::Cancel(jobs, host) => self.ask_each(jobs, host, caller::cancel),
            Step::Fetch(jobs, host) => self.ask_each(jobs, host, caller::fetch),
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
                unit.noted_starts = unit.starts().len();
                Ok(())
            }
            Step::Expect(expectation) => self.expect(expectation).await,
        }
    }

    fn set(&mut self, setting: Setting) {
        let given = &mut self.given;
        let mut tell_entry = |field: &str, value: u64| {
            given.entry_settings.insert(field.into(), value.into());
        };
        match setting {
            Setting::Horizon(time) => tell_entry("horizon_ms", time.0),
            Setting::Skew(time) => tell_entry("skew_ms", time.0),
            Setting::ClaimPatience(time) => tell_entry("claim_patience_ms", time.0),
            Setting::DrainTimeout(time) => tell_entry("drain_timeout_ms", time.0),
            Setting::Slots(slots) => given.slots = slots,
            Setting::Queue(tasks) => given.queue_max = tasks,
            Setting::Retention(time) => given.set_retention(time),
            Setting::HostListLag(time) => given.host_list_lag_ms = time,
            Setting::GoneAfter(time) => given.set_gone_after(time),
        }
    }

    async fn publish(&mut self, publication: &Publication) -> Result<()> {
        let target = target_of(publication)?;
        let class = target.class.clone();
        let cluster = self.cluster()?;
        let end = cluster.put_target(&target, publication.from).await?;
        let wanted = publication.told.exit_code();
        if end.code != Some(wanted) {
            let what = format_smolstr!("expected exit code {wanted}, found {end:?}");
            return Err(Error::unmet(what));
        }
        let may_run_twice = publication.may_run_twice;
        self.may_run_twice.insert(class, may_run_twice);
        Ok(())
    }

    fn submit(&mut self, submit: &Submit) -> Result<()> {
        let is_own = submit.content != Content::Other;
        for (place, name) in self.names(&submit.jobs).into_iter().enumerate() {
            let submission = self.submission(&name, &submit.content)?;
            let hosts: &[SmolStr] = match &submit.to {
                Receivers::Each(hosts) => hosts,
                Receivers::InTurn(hosts) => &hosts[place % hosts.len()..][..1],
            };
            for host in hosts {
                let address = self.cluster()?.host(host)?.caller_address()?;
                let mut submission = submission.clone();
                submission.copy = self.job(&name)?.next_mark();
                let patience = match submit.is_persistent {
                    true => Patience::UntilRun,
                    false => Patience::Once,
                };
                let request = caller::submit(address, submission, patience);
                self.ask(&name, host.clone(), is_own, request)?;
            }
        }
        Ok(())
    }

    fn ask_each<F>(
        &mut self,
        jobs: &super::language::Jobs,
        host: &SmolStr,
        request: fn(std::net::SocketAddr, onyxshed_core::SubmissionId) -> F,
    ) -> Result<()>
    where
        F: Future<Output = caller::HeardAt> + 'static,
    {
        let address = self.cluster()?.host(host)?.caller_address()?;
        for name in self.names(jobs) {
            let id = self.job(&name)?.submission.submission;
            self.ask(&name, host.clone(), true, request(address, id))?;
        }
        Ok(())
    }

    async fn signal(&mut self, action: Action, target: &Target) -> Result<()> {
        let cluster = self.cluster()?;
        match target {
            Target::Executor(name) => signal_executor(cluster, action, name),
            Target::Part(part, host) => {
                signal_parts(cluster, action, &[*part], std::slice::from_ref(host)).await
            }
            Target::Host(host) => {
                signal_parts(cluster, action, BOTH, std::slice::from_ref(host)).await
            }
            Target::EveryHost => {
                let hosts = cluster.host_names();
                signal_parts(cluster, action, BOTH, &hosts).await
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

/// Entry first: its control process dials it.
const BOTH: &[Part] = &[Part::Entry, Part::Control];

async fn signal_parts(
    cluster: &mut Cluster,
    action: Action,
    parts: &[Part],
    hosts: &[SmolStr],
) -> Result<()> {
    if action == Action::Restart {
        for part in parts {
            cluster.restart(*part, hosts).await?;
        }
        return cluster.publish_hosts().await;
    }
    for host in hosts {
        for part in parts {
            let process = cluster.host(host)?.part(*part)?;
            match action {
                Action::Freeze => process.freeze()?,
                Action::Thaw => process.thaw()?,
                Action::Stop => process.ask_to_stop()?,
                Action::Kill | Action::Restart => cluster.kill_part(*part, host)?,
            }
        }
    }
    if action == Action::Stop {
        wait_until_heard(cluster, parts, hosts).await?;
    }
    Ok(())
}

/// Waits until processes have taken notice that they are to stop: a signal is on its way for a while
/// on a busy machine, and what comes before it is taken is served as if there were none.
async fn wait_until_heard(cluster: &mut Cluster, parts: &[Part], hosts: &[SmolStr]) -> Result<()> {
    let give_up_at = Instant::now() + WAIT_CEILING;
    for host in hosts {
        for part in parts {
            while !cluster.host(host)?.part(*part)?.has_heard_stop()? {
                if Instant::now() >= give_up_at {
                    return Err(Error::unmet("a process that was told to stop goes on"));
                }
                Timer::after(HEARD_PAUSE).await;
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
        Action::Stop => process.ask_to_stop(),
        Action::Kill => process.kill(),
        Action::Restart => Err(Error::unmet("an executor that died does not come back")),
    }
}

/// Makes the target that a publication stands for.
pub(super) fn target_of(publication: &Publication) -> Result<ClassTarget> {
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
