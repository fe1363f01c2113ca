//! The course of one soak: draws the faults from the seed, injects them while callers submit jobs, checks
//! that jobs are served afterwards, and reports what was violated.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use onyxshed_proof::Result;
use onyxshed_standins::faults::Mode;
use onyxshed_standins::fleet::store::StoreFaults;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;

use crate::callers::{self, Answer, CallerOptions, SubmittedJobs};
use crate::checks::{self, EvacuationSpans, now_ms};
use crate::direct_callers::{DirectCaller, Habit, draw_habits};
use crate::faults::{Fault, FaultMix, Planned, draw_plan};
use crate::fleet::{Fleet, FleetOptions, MachineLimits, STOP_GRACE, unmet};
use crate::footprint::Watch;
use crate::unruly_clients::run_unruly_client;

/// How long the hosts can recover after the last fault, before callers submit the jobs of the phase
/// without faults.
const RECOVERY_TIME: Duration = Duration::from_millis(6_000);

/// The smallest percentage of the jobs submitted after the faults whose first answer has to be
/// [`Answer::Completed`] or [`Answer::Failed`].
const SERVED_MIN_PERCENT: usize = 90;

/// The options of one soak.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// The seed from which the plan of faults and the jobs are drawn.
    pub seed: u64,
    /// The processes to start.
    pub fleet: FleetOptions,
    /// The number of callers that submit jobs concurrently.
    pub callers: usize,
    /// How long these callers wait, and which jobs they submit. Callers without the proxy, which a mix of
    /// planned work has, wait as long as their own habits tell.
    pub caller: CallerOptions,
    /// The time from the start of the plan within which all faults begin; each lasts for its own
    /// duration.
    pub length: Duration,
    /// The kinds of faults that the plan draws from.
    pub mix: FaultMix,
    /// The number of clients that send what no caller may send, while faults are injected.
    pub unruly_clients: usize,
    /// Whether the folder of settings and logs is kept although no promise was broken.
    pub keeps_logs: bool,
}

impl SoakOptions {
    /// Returns the default options with a seed.
    pub fn with_seed(seed: u64) -> Self {
        SoakOptions {
            seed,
            fleet: FleetOptions::default(),
            callers: 8,
            caller: CallerOptions::default(),
            length: Duration::from_secs(8),
            mix: FaultMix::All,
            unruly_clients: 0,
            keeps_logs: false,
        }
    }
}

impl SoakOptions {
    /// Returns the options of a soak with clients that send what no caller may send, to hosts on small machines.
    pub fn with_unruly_clients(seed: u64) -> Self {
        let mut options = SoakOptions::with_seed(seed);
        options.fleet.limits = MachineLimits {
            memory_mb: 64,
            max_fds: 400,
        };
        options.unruly_clients = 200;
        options
    }

    /// Returns the options of a soak of [`FaultMix::Starved`] with a seed: callers that wait for a short time, and
    /// places enough for their jobs.
    pub fn starved(seed: u64) -> Self {
        let mut options = SoakOptions::with_seed(seed);
        options.fleet.hosts = 3;
        options.fleet.executors = 4;
        options.fleet.places = 8;
        options.caller = CallerOptions::hurried();
        options.mix = FaultMix::Starved;
        options
    }
}

/// The results of one soak.
#[derive(Debug, Clone)]
pub struct Report {
    /// The seed from which the plan of faults and the jobs were drawn.
    pub seed: u64,
    /// The number of jobs submitted; a job that was submitted again counts once.
    pub jobs: usize,
    /// The number of jobs answered as completed.
    pub completed: usize,
    /// The number of starts of runs that executors recorded.
    pub runs: usize,
    /// The faults that were injected.
    pub faults: Vec<Planned>,
    /// The promises that were broken, one line for each violation.
    pub violations: Vec<String>,
    /// The runs that were in progress when their caller sent the job again, one line for each.
    pub runs_at_resend: Vec<String>,
    /// The folder of the settings and logs; `None` if it was removed, since there are no violations.
    pub logs: Option<String>,
}

/// Runs one soak on the current thread. Promises that were broken are listed in the report; an
/// error means that a process could not be controlled or a host did not become ready.
pub fn soak(options: &SoakOptions) -> Result<Report> {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(run(options, executor.clone())))
}

async fn run(options: &SoakOptions, executor: Rc<LocalExecutor<'static>>) -> Result<Report> {
    let mut fleet = Fleet::start(&options.fleet).await?;
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let faults = draw_plan(
        &mut rng,
        options.mix,
        options.length,
        &fleet.host_names(),
        &fleet.executor_ids(),
    );
    let until = Instant::now() + options.length + RECOVERY_TIME / 2;
    let callers_during_faults = match options.mix.is_planned_work() {
        true => {
            let habits = draw_habits(&mut rng, options.mix, options.callers);
            spawn_direct_callers(&fleet, &executor, &habits, options.seed, until)
        }
        false => {
            let caller = &options.caller;
            spawn_callers(options, caller, &fleet, &executor, options.seed, until)
        }
    };
    let unruly_clients = spawn_unruly_clients(options, &fleet, &executor, until);
    let mut injector = FaultInjector::default();
    injector.inject_all(&mut fleet, &faults).await?;
    let jobs_during_faults = callers_during_faults.finish().await;
    for client in unruly_clients {
        client.await;
    }
    fleet.wait_ready().await?;
    let footprints = Watch::of_fleet(&fleet);
    Timer::after(RECOVERY_TIME).await;
    let until = Instant::now() + Duration::from_millis(1_500);
    let seed = options.seed ^ 1;
    let callers_after_faults = match options.mix.is_planned_work() {
        true => {
            let habits = vec![Habit::Steady; options.callers];
            spawn_direct_callers(&fleet, &executor, &habits, seed, until)
        }
        false => {
            let caller = options.caller.served_soon();
            spawn_callers(options, &caller, &fleet, &executor, seed, until)
        }
    };
    let jobs_after_faults = callers_after_faults.finish().await;
    let records = fleet.take_records().await;
    let all_jobs: Vec<callers::SubmittedJob> = jobs_during_faults
        .iter()
        .chain(&jobs_after_faults)
        .cloned()
        .collect();
    let owners = fleet.owners();
    let mut violations = checks::find_violations(&all_jobs, &records, &injector.killed_ms, &owners);
    let runs_at_resend =
        checks::find_runs_at_resend(&all_jobs, &records, &injector.killed_ms, &owners);
    violations.extend(checks::find_starts_in_evacuated_zones(
        &records,
        &injector.evacuations,
    ));
    violations.extend(footprints.find_violations(options.fleet.limits));
    if options.mix.is_planned_work() {
        violations.extend(checks::find_cut_off_requests(&all_jobs));
    }
    let served = jobs_after_faults
        .iter()
        .filter(|job| matches!(job.answers[0], Answer::Completed | Answer::Failed));
    let served = served.count();
    if served * 100 < jobs_after_faults.len() * SERVED_MIN_PERCENT {
        let found = format!("{served} of {} jobs were", jobs_after_faults.len());
        violations.push(format!(
            "{SERVED_MIN_PERCENT}% of jobs must be served after the faults: {found}"
        ));
    }
    let completed = all_jobs
        .iter()
        .filter(|job| job.answers.last() == Some(&Answer::Completed));
    let logs = (options.keeps_logs || !violations.is_empty()).then(|| fleet.keep_folder());
    Ok(Report {
        seed: options.seed,
        jobs: all_jobs.len(),
        completed: completed.count(),
        runs: records
            .iter()
            .filter(|(_, record)| record.event == "start")
            .count(),
        faults,
        violations,
        runs_at_resend,
        logs,
    })
}

/// The running callers of one phase of a soak, and the jobs that they have finished.
struct CallerGroup {
    jobs: SubmittedJobs,
    tasks: Vec<async_executor::Task<()>>,
}

impl CallerGroup {
    async fn finish(self) -> Vec<callers::SubmittedJob> {
        for task in self.tasks {
            task.await;
        }
        self.jobs.take()
    }
}

/// Starts callers that connect through the proxy.
fn spawn_callers(
    options: &SoakOptions,
    caller: &CallerOptions,
    fleet: &Fleet,
    executor: &LocalExecutor<'static>,
    seed: u64,
    until: Instant,
) -> CallerGroup {
    let jobs = SubmittedJobs::default();
    let hosts = fleet.caller_addresses();
    let tasks = (0..options.callers)
        .map(|index| {
            let seed = caller_seed(seed, index);
            executor.spawn(callers::run_caller(
                hosts.clone(),
                caller.clone(),
                seed,
                until,
                jobs.clone(),
            ))
        })
        .collect();
    CallerGroup { jobs, tasks }
}

/// Starts one caller for each habit.
fn spawn_direct_callers(
    fleet: &Fleet,
    executor: &LocalExecutor<'static>,
    habits: &[Habit],
    seed: u64,
    until: Instant,
) -> CallerGroup {
    let jobs = SubmittedJobs::default();
    let hosts = fleet.direct_caller_addresses();
    let callers = habits.iter().enumerate();
    let tasks = callers
        .map(|(index, habit)| {
            let caller = DirectCaller::new(hosts.clone(), *habit, caller_seed(seed, index));
            executor.spawn(caller.run(until, jobs.clone()))
        })
        .collect();
    CallerGroup { jobs, tasks }
}

fn spawn_unruly_clients(
    options: &SoakOptions,
    fleet: &Fleet,
    executor: &LocalExecutor<'static>,
    until: Instant,
) -> Vec<async_executor::Task<()>> {
    let hosts = fleet.direct_caller_addresses();
    let clients = 0..options.unruly_clients;
    let spawn = |index| {
        // Distinct from the seeds of callers, whose indexes begin at 0.
        let seed = caller_seed(options.seed, options.callers + index);
        executor.spawn(run_unruly_client(hosts.clone(), seed, until))
    };
    clients.map(spawn).collect()
}

/// Returns the seed of one caller of a group.
fn caller_seed(group_seed: u64, index: usize) -> u64 {
    group_seed.wrapping_mul(1_000).wrapping_add(index as u64)
}

/// Injects the planned faults, and records kills and evacuations for the checks.
#[derive(Default)]
struct FaultInjector {
    /// The pending repairs, with the times at which they are due.
    repairs: Vec<(Instant, Repair)>,
    /// The times at which each executor was killed, in milliseconds since the Unix epoch.
    killed_ms: BTreeMap<SmolStr, Vec<u64>>,
    evacuations: EvacuationSpans,
}

/// A host whose process is stopped and continued in turn.
struct StarvedHost {
    name: SmolStr,
    stopped: Duration,
    running: Duration,
    until: Instant,
    is_stopped: bool,
}

/// An action that ends a fault.
enum Repair {
    StartHost(SmolStr),
    ThawHost(SmolStr),
    /// Stops a starved host again, or lets it run until its next stop.
    StarveHost(StarvedHost),
    /// Starts a host again once its process has ended: the host, the id of the process that was
    /// asked to stop, and the time at which this process is killed if it still runs.
    RestartStopped(SmolStr, u32, Instant),
    StartExecutor(SmolStr),
    ThawExecutor(SmolStr),
    ResetSpeed(SmolStr),
    RestoreZone(SmolStr),
    ResetRoute(SmolStr),
    ResetStore,
}

impl FaultInjector {
    /// Injects every fault at its time, and repairs it at its end.
    async fn inject_all(&mut self, fleet: &mut Fleet, faults: &[Planned]) -> Result<()> {
        let started_at = Instant::now();
        let mut version = 1;
        for planned in faults {
            self.run_repairs_until(fleet, started_at + planned.at)
                .await?;
            version += 1;
            self.inject(fleet, &planned.fault, version).await?;
        }
        while let Some(at) = self.repairs.iter().map(|(at, _)| *at).min() {
            self.run_repairs_until(fleet, at + Duration::from_millis(1))
                .await?;
        }
        Ok(())
    }

    async fn run_repairs_until(&mut self, fleet: &mut Fleet, until: Instant) -> Result<()> {
        loop {
            self.repairs.sort_by_key(|(at, _)| *at);
            match self.repairs.first() {
                Some((at, _)) if *at <= until => {
                    let (at, repair) = self.repairs.remove(0);
                    Timer::at(at).await;
                    self.repair(fleet, repair).await?;
                }
                _ => break,
            }
        }
        Timer::at(until).await;
        Ok(())
    }

    fn schedule_repair(&mut self, span: Duration, repair: Repair) {
        self.repairs.push((Instant::now() + span, repair));
    }

    async fn inject(&mut self, fleet: &mut Fleet, fault: &Fault, version: u64) -> Result<()> {
        match fault {
            Fault::KillHost(name, span) => {
                fleet.signal_host(name, |process| process.kill())?;
                self.schedule_repair(*span, Repair::StartHost(name.clone()));
            }
            Fault::FreezeHost(name, span) => {
                fleet.signal_host(name, |process| process.freeze())?;
                self.schedule_repair(*span, Repair::ThawHost(name.clone()));
            }
            Fault::StarveHost(name, stopped, running, span) => {
                let starved = StarvedHost {
                    name: name.clone(),
                    stopped: *stopped,
                    running: *running,
                    until: Instant::now() + *span,
                    is_stopped: false,
                };
                self.starve(fleet, starved)?;
            }
            Fault::StopHost(name) => {
                let mut stopped = None;
                fleet.signal_host(name, |process| {
                    stopped = Some(process.id());
                    process.request_stop()
                })?;
                let kill_at = Instant::now() + STOP_GRACE;
                // A host that is not running is started again by the repair of the fault that ended it.
                if let Some(process) = stopped {
                    let repair = Repair::RestartStopped(name.clone(), process, kill_at);
                    self.schedule_repair(Duration::from_millis(500), repair);
                }
            }
            Fault::HangUp(name) => fleet.signal_host(name, |process| process.request_reload())?,
            Fault::KillExecutor(id, span) => {
                fleet.kill_executor(id).await?;
                self.killed_ms.entry(id.clone()).or_default().push(now_ms());
                self.schedule_repair(*span, Repair::StartExecutor(id.clone()));
            }
            Fault::FreezeExecutor(id, span) => {
                fleet.set_executor_frozen(id, true)?;
                self.schedule_repair(*span, Repair::ThawExecutor(id.clone()));
            }
            Fault::SlowExecutor(id, factor, span) => {
                fleet.set_executor_speed(id, 1.0 / factor).await?;
                self.schedule_repair(*span, Repair::ResetSpeed(id.clone()));
            }
            Fault::Route(route, mode, span) => {
                fleet.set_mode(route, *mode).await?;
                self.schedule_repair(*span, Repair::ResetRoute(route.clone()));
            }
            Fault::Store(faults, span) => {
                fleet.set_store_faults(faults).await?;
                self.schedule_repair(*span, Repair::ResetStore);
            }
            Fault::Command(command) => fleet.command_store(command).await?,
            Fault::Manifest => fleet.put_manifest(version, 60 + version).await?,
            Fault::Evacuate(zone, span) => {
                fleet.set_evacuated(zone, true).await?;
                self.evacuations.begin(zone, now_ms());
                self.schedule_repair(*span, Repair::RestoreZone(zone.clone()));
            }
        }
        Ok(())
    }

    async fn repair(&mut self, fleet: &mut Fleet, repair: Repair) -> Result<()> {
        match repair {
            Repair::StartHost(name) => fleet.start_host(&name),
            Repair::ThawHost(name) => fleet.signal_host(&name, |process| process.thaw()),
            Repair::StarveHost(host) => self.starve(fleet, host),
            Repair::RestartStopped(name, process, kill_at) => {
                self.restart(fleet, name, process, kill_at)
            }
            Repair::StartExecutor(id) => fleet.start_executor(&id).await,
            Repair::ThawExecutor(id) => fleet.set_executor_frozen(&id, false),
            Repair::ResetSpeed(id) => fleet.set_executor_speed(&id, 1.0).await,
            Repair::RestoreZone(zone) => {
                self.evacuations.end(&zone, now_ms());
                fleet.set_evacuated(&zone, false).await
            }
            Repair::ResetRoute(route) => fleet.set_mode(&route, Mode::Pass).await,
            Repair::ResetStore => fleet.set_store_faults(&StoreFaults::default()).await,
        }
    }

    /// Stops a starved host that runs, and continues one that is stopped, until the end of the fault.
    fn starve(&mut self, fleet: &mut Fleet, mut host: StarvedHost) -> Result<()> {
        let span = match host.is_stopped {
            true => {
                fleet.signal_host(&host.name, |process| process.thaw())?;
                host.running
            }
            false if Instant::now() >= host.until => return Ok(()),
            false => {
                fleet.signal_host(&host.name, |process| process.freeze())?;
                host.stopped
            }
        };
        host.is_stopped = !host.is_stopped;
        self.schedule_repair(span, Repair::StarveHost(host));
        Ok(())
    }

    /// Starts a host again once the process that was asked to stop has ended, and kills that process after
    /// its grace. Another process that is running by then was started for an earlier stop and is not touched.
    fn restart(
        &mut self,
        fleet: &mut Fleet,
        name: SmolStr,
        stopped: u32,
        kill_at: Instant,
    ) -> Result<()> {
        let mut running = None;
        fleet.signal_host(&name, |process| {
            running = Some(process.id());
            Ok(())
        })?;
        match running {
            Some(process) if process != stopped => return Ok(()),
            Some(_) if Instant::now() < kill_at => {
                let again = Repair::RestartStopped(name, stopped, kill_at);
                self.schedule_repair(Duration::from_millis(200), again);
                return Ok(());
            }
            Some(_) => fleet.signal_host(&name, |process| process.kill())?,
            None => {}
        }
        fleet.start_host(&name)
    }
}

/// Returns an error with the first violation of a report, if there is one, and the faults and logs.
pub fn require_no_violations(report: &Report) -> Result<()> {
    match report.violations.first() {
        None => Ok(()),
        Some(first) => {
            let found = format!(
                "{first} (and {} more); faults {:#?}; logs in {:?}",
                report.violations.len() - 1,
                report.faults,
                report.logs
            );
            Err(unmet("a promise was broken", &found))
        }
    }
}
