//! The faults of a soak, and the plan of them that is drawn from its seed.

use std::time::Duration;

use onyxshed_standins::faults::Mode;
use onyxshed_standins::fleet::store::StoreFaults;
use rand::RngExt;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use smol_str::{SmolStr, format_smolstr};

use crate::fleet::zone_of;

/// A fault that is injected, and for how long; or a planned action of operators.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// Kills a host and starts it again after the duration.
    KillHost(SmolStr, Duration),
    /// Freezes the process of a host for the duration.
    FreezeHost(SmolStr, Duration),
    /// Lets the process of a host run only for the second duration between stops of the first duration, until
    /// the third one is over.
    StarveHost(SmolStr, Duration, Duration, Duration),
    /// Asks a host to stop and starts it again once it has ended.
    StopHost(SmolStr),
    /// Signals a host to reload its settings.
    HangUp(SmolStr),
    /// Kills an executor and starts it again after the duration.
    KillExecutor(SmolStr, Duration),
    /// Freezes the process of an executor for the duration.
    FreezeExecutor(SmolStr, Duration),
    /// Divides the speed of an executor by the factor for the duration, for runs in progress as well.
    SlowExecutor(SmolStr, f64, Duration),
    /// Sets the mode of the proxy's routes that match the name for the duration.
    Route(SmolStr, Mode, Duration),
    /// Injects faults into the store for the duration.
    Store(StoreFaults, Duration),
    /// Sends a command to the store: `forget` drops its records, `revoke` takes all partitions from their
    /// holders.
    Command(&'static str),
    /// Publishes a new version of the manifest.
    Manifest,
    /// Evacuates a zone as operators do, and restores it after the duration.
    Evacuate(SmolStr, Duration),
}

/// A fault and the time at which it is injected.
#[derive(Debug, Clone, PartialEq)]
pub struct Planned {
    /// The time from the start of the plan.
    pub at: Duration,
    /// The fault to inject.
    pub fault: Fault,
}

/// The kinds of faults that a soak draws.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultMix {
    /// All kinds except slow executors and evacuations.
    All,
    /// Slow executors, and in one draw of three any kind of [`FaultMix::All`].
    Slow,
    /// Planned work only: stops, reloads and new manifests.
    Planned,
    /// Rolling stops of several hosts, which overlap, with further signals and new manifests during the stops.
    Stops,
    /// Starved and frozen hosts, and links that are slow or go silent; in one draw of ten any kind of
    /// [`FaultMix::All`].
    Starved,
    /// Evacuations of zones, together with kills and planned work. The store and the links have no faults, so
    /// that every host learns of an evacuation in time.
    Evacuations,
}

impl FaultMix {
    /// Returns whether the mix contains planned work only, which must cut off no request.
    pub fn is_planned_work(self) -> bool {
        matches!(self, FaultMix::Planned | FaultMix::Stops)
    }
}

/// The number of hosts for which [`FaultMix::Starved`] draws 4 to 11 groups of faults.
const HOSTS_PER_DRAW: usize = 6;

/// Draws a plan of faults, which may overlap, ordered by time: 4 to 11 faults, or more for
/// [`FaultMix::Stops`] and [`FaultMix::Starved`].
pub fn draw_plan(
    rng: &mut SmallRng,
    mix: FaultMix,
    length: Duration,
    hosts: &[SmolStr],
    executors: &[SmolStr],
) -> Vec<Planned> {
    let mut plan = match mix {
        FaultMix::All => draw_faults(rng, length, |rng| draw_any(rng, hosts, executors)),
        FaultMix::Starved => draw_starved_groups(rng, length, hosts, executors),
        FaultMix::Slow => draw_faults(rng, length, |rng| draw_slow(rng, hosts, executors)),
        FaultMix::Planned => draw_faults(rng, length, |rng| draw_planned(rng, hosts)),
        FaultMix::Stops => draw_rolling_stops(rng, length, hosts),
        FaultMix::Evacuations => {
            draw_faults(rng, length, |rng| draw_evacuation(rng, hosts, executors))
        }
    };
    plan.sort_by_key(|planned| planned.at);
    plan
}

/// Draws 4 to 11 faults with `draw`, at times within `length`.
fn draw_faults(
    rng: &mut SmallRng,
    length: Duration,
    draw: impl Fn(&mut SmallRng) -> Fault,
) -> Vec<Planned> {
    let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    let count = rng.random_range(4..12);
    (0..count)
        .map(|_| Planned {
            at: Duration::from_millis(rng.random_range(0..length_ms)),
            fault: draw(rng),
        })
        .collect()
}

/// The longest time after SIGTERM at which something else happens to the stopping host; a host serves for longer
/// than that before it ends.
const DURING_STOP_MAX_MS: u64 = 2_000;

/// Draws one or two series of stops, each of which goes round all hosts until `length` is over. Within a series the
/// stops of neighbours overlap, and two series may stop a host at the same time.
fn draw_rolling_stops(rng: &mut SmallRng, length: Duration, hosts: &[SmolStr]) -> Vec<Planned> {
    let mut plan = Vec::new();
    for _ in 0..rng.random_range(1..3) {
        let mut hosts = hosts.to_vec();
        hosts.shuffle(rng);
        let mut at = Duration::from_millis(rng.random_range(0..1_500));
        for host in hosts.iter().cycle() {
            if at >= length {
                break;
            }
            plan.extend(draw_stop(rng, at, host));
            at += Duration::from_millis(rng.random_range(200..1_500));
        }
    }
    plan.retain(|planned| planned.at < length);
    plan
}

/// Draws the stop of one host and what happens during it.
fn draw_stop(rng: &mut SmallRng, at: Duration, host: &SmolStr) -> Vec<Planned> {
    let mut faults = vec![Planned {
        at,
        fault: Fault::StopHost(host.clone()),
    }];
    let during = [
        Fault::StopHost(host.clone()),
        Fault::HangUp(host.clone()),
        Fault::Manifest,
    ];
    for fault in during {
        let after = Duration::from_millis(rng.random_range(100..DURING_STOP_MAX_MS));
        if rng.random_range(0..3) == 0 {
            let at = at + after;
            faults.push(Planned { at, fault });
        }
    }
    faults
}

fn draw_name(rng: &mut SmallRng, names: &[SmolStr]) -> SmolStr {
    names[rng.random_range(0..names.len())].clone()
}

fn draw_duration(rng: &mut SmallRng) -> Duration {
    Duration::from_millis(rng.random_range(100..3_500))
}

fn draw_planned(rng: &mut SmallRng, hosts: &[SmolStr]) -> Fault {
    match rng.random_range(0..4) {
        0 => Fault::HangUp(draw_name(rng, hosts)),
        1 => Fault::Manifest,
        _ => Fault::StopHost(draw_name(rng, hosts)),
    }
}

fn draw_evacuation(rng: &mut SmallRng, hosts: &[SmolStr], executors: &[SmolStr]) -> Fault {
    match rng.random_range(0..5) {
        0 => Fault::KillHost(draw_name(rng, hosts), draw_duration(rng)),
        1 => Fault::KillExecutor(draw_name(rng, executors), draw_duration(rng)),
        2 => draw_planned(rng, hosts),
        _ => {
            let mut zones: Vec<SmolStr> = hosts.iter().filter_map(|host| zone_of(host)).collect();
            zones.dedup();
            let zone = draw_name(rng, &zones);
            Fault::Evacuate(zone, Duration::from_millis(rng.random_range(500..6_000)))
        }
    }
}

fn draw_slow(rng: &mut SmallRng, hosts: &[SmolStr], executors: &[SmolStr]) -> Fault {
    match rng.random_range(0..3) {
        0 => draw_any(rng, hosts, executors),
        _ => {
            let factor = rng.random_range(2.0..10.0);
            Fault::SlowExecutor(draw_name(rng, executors), factor, draw_duration(rng))
        }
    }
}

/// Draws 4 to 11 groups of faults for every six hosts. A group comes to one host, or to all hosts of a zone.
fn draw_starved_groups(
    rng: &mut SmallRng,
    length: Duration,
    hosts: &[SmolStr],
    executors: &[SmolStr],
) -> Vec<Planned> {
    let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    let count = hosts.len().div_ceil(HOSTS_PER_DRAW) * rng.random_range(4..12);
    let mut plan = Vec::new();
    for _ in 0..count {
        let at = Duration::from_millis(rng.random_range(0..length_ms));
        match rng.random_range(0..10) {
            0..=3 => {
                let host = draw_name(rng, hosts);
                plan.extend(draw_starvation(rng, at, &host));
            }
            4 => {
                let zone = zone_of(&draw_name(rng, hosts));
                let neighbours = hosts.iter().filter(|host| zone_of(host) == zone);
                for host in neighbours {
                    plan.extend(draw_starvation(rng, at, host));
                }
            }
            5 => {
                let span = Duration::from_millis(rng.random_range(1_000..4_500));
                let fault = Fault::FreezeHost(draw_name(rng, hosts), span);
                plan.push(Planned { at, fault });
            }
            6..=8 => {
                let (route, mode) = (draw_route(rng, hosts, executors), draw_delay(rng));
                let fault = Fault::Route(route, mode, draw_duration(rng));
                plan.push(Planned { at, fault });
            }
            _ => {
                let fault = draw_any(rng, hosts, executors);
                plan.push(Planned { at, fault });
            }
        }
    }
    plan
}

/// Draws a time for which a host is starved, and one to four faults of the links to it during that time.
fn draw_starvation(rng: &mut SmallRng, at: Duration, host: &SmolStr) -> Vec<Planned> {
    // A host takes a gap of 400 ms between its own ticks for a pause.
    let stopped = Duration::from_millis(rng.random_range(60..380));
    let running = Duration::from_millis([1, 2, 4, 8, 16, 32][rng.random_range(0..6)]);
    let span_ms = rng.random_range(1_500..6_000);
    let span = Duration::from_millis(span_ms);
    let mut faults = vec![Planned {
        at,
        fault: Fault::StarveHost(host.clone(), stopped, running, span),
    }];
    for _ in 0..rng.random_range(1..5) {
        let mode = match rng.random_range(0..3) {
            0 => draw_delay(rng),
            _ => Mode::StallExisting,
        };
        let route = format_smolstr!("peer-{host}");
        let fault = Fault::Route(route, mode, draw_duration(rng));
        let at = at + Duration::from_millis(rng.random_range(0..span_ms));
        faults.push(Planned { at, fault });
    }
    faults
}

/// Draws a delay of up to 2.5 s in one direction or in both.
fn draw_delay(rng: &mut SmallRng) -> Mode {
    let delay_ms = rng.random_range(200..2_500);
    match rng.random_range(0..3) {
        0 => Mode::Delay { delay_ms },
        1 => Mode::DelayUp { delay_ms },
        _ => Mode::DelayDown { delay_ms },
    }
}

fn draw_any(rng: &mut SmallRng, hosts: &[SmolStr], executors: &[SmolStr]) -> Fault {
    match rng.random_range(0..14) {
        0 => Fault::KillHost(draw_name(rng, hosts), draw_duration(rng)),
        1 => Fault::FreezeHost(draw_name(rng, hosts), draw_duration(rng)),
        2 => Fault::StopHost(draw_name(rng, hosts)),
        3 => Fault::HangUp(draw_name(rng, hosts)),
        4 => Fault::KillExecutor(draw_name(rng, executors), draw_duration(rng)),
        5 => Fault::FreezeExecutor(draw_name(rng, executors), draw_duration(rng)),
        6 => Fault::Store(draw_store_faults(rng), draw_duration(rng)),
        7 => Fault::Command(["forget", "revoke"][rng.random_range(0..2)]),
        8 => Fault::Manifest,
        _ => {
            let (route, mode) = (draw_route(rng, hosts, executors), draw_mode(rng));
            Fault::Route(route, mode, draw_duration(rng))
        }
    }
}

fn draw_route(rng: &mut SmallRng, hosts: &[SmolStr], executors: &[SmolStr]) -> SmolStr {
    match rng.random_range(0..6) {
        0 => SmolStr::new_static("store-*"),
        1 => format_smolstr!("store-{}", draw_name(rng, hosts)),
        2 => format_smolstr!("peer-{}", draw_name(rng, hosts)),
        3 => SmolStr::new_static("peer-*"),
        4 => format_smolstr!("callers-{}", draw_name(rng, hosts)),
        _ => format_smolstr!("executor-{}", draw_name(rng, executors)),
    }
}

fn draw_mode(rng: &mut SmallRng) -> Mode {
    match rng.random_range(0..8) {
        0 => Mode::Cut,
        1 => Mode::Hold,
        2 => Mode::BlackholeUp,
        3 => Mode::BlackholeDown,
        4 => Mode::BlackholeBoth,
        5 => Mode::Delay {
            delay_ms: rng.random_range(5..300),
        },
        6 => Mode::DropAnswer,
        _ => Mode::StallExisting,
    }
}

fn draw_store_faults(rng: &mut SmallRng) -> StoreFaults {
    match rng.random_range(0..3) {
        0 => StoreFaults {
            is_busy: true,
            ..StoreFaults::default()
        },
        1 => StoreFaults {
            delay_ms: rng.random_range(50..400),
            ..StoreFaults::default()
        },
        _ => StoreFaults {
            lost_answers: 0.4,
            ..StoreFaults::default()
        },
    }
}
