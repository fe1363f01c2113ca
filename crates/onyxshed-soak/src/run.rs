//! One soak from its seed to its report.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_executor::LocalExecutor;
use async_io::Timer;
use onyxshed_proof::Result;
use onyxshed_standins::faults::Mode;
use onyxshed_standins::fleet::store::StoreFaults;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;

use crate::callers::{self, Book, Heard};
use crate::checks::{self, EvacuationSpans};
use crate::faults::{Fault, FaultMix, Planned, plan};
use crate::fleet::{Fleet, FleetOptions, GRACE, unmet};

/// Time for everything to settle after the last fault, before the calm jobs are sent.
const SETTLE: Duration = Duration::from_millis(6_000);

/// Share of the calm jobs that must be served once the faults are over, in hundredths.
const CALM_SERVED_PERCENT: usize = 90;

/// What is soaked, and for how long.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// Draws the faults and the jobs.
    pub seed: u64,
    /// The processes.
    pub fleet: FleetOptions,
    /// Callers at a time.
    pub callers: usize,
    /// How long faults strike.
    pub length: Duration,
    /// Which faults strike.
    pub mix: FaultMix,
}

impl SoakOptions {
    /// Makes the usual soak of a seed.
    pub fn of_seed(seed: u64) -> Self {
        SoakOptions {
            seed,
            fleet: FleetOptions::default(),
            callers: 8,
            length: Duration::from_secs(8),
            mix: FaultMix::All,
        }
    }
}

/// What one soak showed.
#[derive(Debug, Clone)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Jobs sent.
    pub jobs: usize,
    /// Of these, completed.
    pub completed: usize,
    /// Runs recorded by executors.
    pub runs: usize,
    /// The faults that struck.
    pub faults: Vec<Planned>,
    /// What did not hold; empty if everything did.
    pub broken: Vec<String>,
    /// Where the logs are, if something did not hold.
    pub logs: Option<String>,
}

/// Runs one soak on this thread.
pub fn soak(options: &SoakOptions) -> Result<Report> {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(run(options, executor.clone())))
}

async fn run(options: &SoakOptions, executor: Rc<LocalExecutor<'static>>) -> Result<Report> {
    let mut fleet = Fleet::start(&options.fleet).await?;
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let faults = plan(
        &mut rng,
        options.mix,
        options.length,
        &fleet.host_names(),
        &fleet.executor_ids(),
    );
    let until = Instant::now() + options.length + SETTLE / 2;
    let troubled = send(options, &fleet, &executor, options.seed, until);
    let mut strikes = Strikes::default();
    strikes.strike_all(&mut fleet, &faults).await?;
    let troubled_sent = troubled.finish().await;
    fleet.wait_ready().await?;
    Timer::after(SETTLE).await;
    let until = Instant::now() + Duration::from_millis(1_500);
    let calm = send(options, &fleet, &executor, options.seed ^ 1, until);
    let calm_sent = calm.finish().await;
    let records = fleet.all_records().await;
    let all: Vec<callers::Sent> = troubled_sent.iter().chain(&calm_sent).cloned().collect();
    let mut broken = checks::broken(&all, &records, &strikes.killed_ms);
    broken.extend(checks::evacuated(&records, &strikes.evacuations));
    if options.mix == FaultMix::Planned {
        broken.extend(checks::cut_off(&troubled_sent));
    }
    let served = calm_sent
        .iter()
        .filter(|sent| matches!(sent.heard[0], Heard::Completed | Heard::Failed));
    let served = served.count();
    if served * 100 < calm_sent.len() * CALM_SERVED_PERCENT {
        let found = format!("{served} of {} jobs served", calm_sent.len());
        broken.push(format!("after the faults the system serves again: {found}"));
    }
    let completed = all
        .iter()
        .filter(|sent| sent.heard.last() == Some(&Heard::Completed));
    let logs = (!broken.is_empty()).then(|| fleet.keep_folder());
    Ok(Report {
        seed: options.seed,
        jobs: all.len(),
        completed: completed.count(),
        runs: records
            .iter()
            .filter(|(_, record)| record.what == "start")
            .count(),
        faults,
        broken,
        logs,
    })
}

/// Callers at work.
struct Sending {
    book: Book,
    tasks: Vec<async_executor::Task<()>>,
}

impl Sending {
    async fn finish(self) -> Vec<callers::Sent> {
        for task in self.tasks {
            task.await;
        }
        self.book.take()
    }
}

fn send(
    options: &SoakOptions,
    fleet: &Fleet,
    executor: &LocalExecutor<'static>,
    seed: u64,
    until: Instant,
) -> Sending {
    let book = Book::default();
    let hosts = fleet.caller_addresses();
    let tasks = (0..options.callers)
        .map(|index| {
            let seed = seed.wrapping_mul(1_000).wrapping_add(index as u64);
            executor.spawn(callers::call(hosts.clone(), seed, until, book.clone()))
        })
        .collect();
    Sending { book, tasks }
}

/// What is to be put right, and when.
#[derive(Default)]
struct Strikes {
    repairs: Vec<(Instant, Repair)>,
    killed_ms: BTreeMap<SmolStr, Vec<u64>>,
    evacuations: EvacuationSpans,
}

enum Repair {
    StartHost(SmolStr),
    ThawHost(SmolStr),
    /// The host, the process that was asked to stop, and when it is killed.
    RestartStopped(SmolStr, u32, Instant),
    StartExecutor(SmolStr),
    ThawExecutor(SmolStr),
    SpeedOf(SmolStr),
    Restore(SmolStr),
    Route(SmolStr),
    Store,
}

impl Strikes {
    /// Lets every fault strike at its time, and puts it right at its end.
    async fn strike_all(&mut self, fleet: &mut Fleet, faults: &[Planned]) -> Result<()> {
        let begun = Instant::now();
        let mut version = 1;
        for planned in faults {
            self.repair_until(fleet, begun + planned.at).await?;
            version += 1;
            self.strike(fleet, &planned.fault, version).await?;
        }
        while let Some(at) = self.repairs.iter().map(|(at, _)| *at).min() {
            self.repair_until(fleet, at + Duration::from_millis(1))
                .await?;
        }
        Ok(())
    }

    async fn repair_until(&mut self, fleet: &mut Fleet, until: Instant) -> Result<()> {
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

    fn later(&mut self, span: Duration, repair: Repair) {
        self.repairs.push((Instant::now() + span, repair));
    }

    async fn strike(&mut self, fleet: &mut Fleet, fault: &Fault, version: u64) -> Result<()> {
        match fault {
            Fault::KillHost(name, span) => {
                fleet.signal_host(name, |process| process.kill())?;
                self.later(*span, Repair::StartHost(name.clone()));
            }
            Fault::FreezeHost(name, span) => {
                fleet.signal_host(name, |process| process.freeze())?;
                self.later(*span, Repair::ThawHost(name.clone()));
            }
            Fault::StopHost(name) => {
                let mut stopped = None;
                fleet.signal_host(name, |process| {
                    stopped = Some(process.id());
                    process.ask_to_stop()
                })?;
                let kill_at = Instant::now() + GRACE;
                // One that does not run is started again by whatever ended it.
                if let Some(process) = stopped {
                    let repair = Repair::RestartStopped(name.clone(), process, kill_at);
                    self.later(Duration::from_millis(500), repair);
                }
            }
            Fault::HangUp(name) => fleet.signal_host(name, |process| process.hang_up())?,
            Fault::KillExecutor(id, span) => {
                fleet.kill_executor(id).await?;
                self.killed_ms.entry(id.clone()).or_default().push(now_ms());
                self.later(*span, Repair::StartExecutor(id.clone()));
            }
            Fault::FreezeExecutor(id, span) => {
                fleet.freeze_executor(id, true)?;
                self.later(*span, Repair::ThawExecutor(id.clone()));
            }
            Fault::SlowExecutor(id, times, span) => {
                fleet.set_executor_speed(id, 1.0 / times).await?;
                self.later(*span, Repair::SpeedOf(id.clone()));
            }
            Fault::Route(route, mode, span) => {
                fleet.set_mode(route, *mode).await?;
                self.later(*span, Repair::Route(route.clone()));
            }
            Fault::Store(faults, span) => {
                fleet.set_store_faults(faults).await?;
                self.later(*span, Repair::Store);
            }
            Fault::Command(what) => fleet.command_store(what).await?,
            Fault::Manifest => fleet.put_manifest(version, 60 + version).await?,
            Fault::Evacuate(zone, span) => {
                fleet.set_evacuated(zone, true).await?;
                self.evacuations.begin(zone, now_ms());
                self.later(*span, Repair::Restore(zone.clone()));
            }
        }
        Ok(())
    }

    async fn repair(&mut self, fleet: &mut Fleet, repair: Repair) -> Result<()> {
        match repair {
            Repair::StartHost(name) => fleet.start_host(&name),
            Repair::ThawHost(name) => fleet.signal_host(&name, |process| process.thaw()),
            Repair::RestartStopped(name, process, kill_at) => {
                self.restart(fleet, name, process, kill_at)
            }
            Repair::StartExecutor(id) => fleet.start_executor(&id).await,
            Repair::ThawExecutor(id) => fleet.freeze_executor(&id, false),
            Repair::SpeedOf(id) => fleet.set_executor_speed(&id, 1.0).await,
            Repair::Restore(zone) => {
                self.evacuations.end(&zone, now_ms());
                fleet.set_evacuated(&zone, false).await
            }
            Repair::Route(route) => fleet.set_mode(&route, Mode::Pass).await,
            Repair::Store => fleet.set_store_faults(&StoreFaults::default()).await,
        }
    }

    /// Starts a host again once the process that was asked to stop has ended. Another process that runs
    /// there by now was started for an earlier stop, and is left alone.
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
                self.later(Duration::from_millis(200), again);
                return Ok(());
            }
            Some(_) => fleet.signal_host(&name, |process| process.kill())?,
            None => {}
        }
        fleet.start_host(&name)
    }
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since.map(|span| span.as_millis()).unwrap_or_default();
    u64::try_from(ms).unwrap_or(u64::MAX)
}

/// Turns what did not hold into an error.
pub fn must_hold(report: &Report) -> Result<()> {
    match report.broken.first() {
        None => Ok(()),
        Some(first) => {
            let found = format!(
                "{first} (and {} more); faults {:#?}; logs in {:?}",
                report.broken.len() - 1,
                report.faults,
                report.logs
            );
            Err(unmet("a promise", &found))
        }
    }
}
