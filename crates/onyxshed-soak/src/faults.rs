//! What goes wrong in a soak, drawn from its seed.

use std::time::Duration;

use onyxshed_standins::faults::Mode;
use onyxshed_standins::fleet::store::StoreFaults;
use rand::RngExt;
use rand::rngs::SmallRng;
use smol_str::{SmolStr, format_smolstr};

use crate::fleet::zone_of;

/// One thing that goes wrong, or is put right.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// A host is killed; it starts again after the span.
    KillHost(SmolStr, Duration),
    /// A host stands still for the span.
    FreezeHost(SmolStr, Duration),
    /// A host is asked to stop, and starts again once it has.
    StopHost(SmolStr),
    /// A host is told that its settings changed.
    HangUp(SmolStr),
    /// An executor is killed; it starts again after the span.
    KillExecutor(SmolStr, Duration),
    /// An executor stands still for the span.
    FreezeExecutor(SmolStr, Duration),
    /// An executor takes so many times as long for the span, also for what runs there.
    SlowExecutor(SmolStr, f64, Duration),
    /// Connections of the routes named misbehave for the span.
    Route(SmolStr, Mode, Duration),
    /// The store misbehaves for the span.
    Store(StoreFaults, Duration),
    /// The store does something once: forgets its history, takes all partitions away.
    Command(&'static str),
    /// The manifest changes.
    Manifest,
    /// Operators evacuate a zone, and restore it after the span.
    Evacuate(SmolStr, Duration),
}

/// A fault and when it strikes, from the start of the faults.
#[derive(Debug, Clone, PartialEq)]
pub struct Planned {
    /// When.
    pub at: Duration,
    /// What.
    pub fault: Fault,
}

/// Which faults a soak draws.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultMix {
    /// All kinds but slow executors.
    All,
    /// Slow executors, and now and then any other kind.
    Slow,
    /// Planned work alone: stops, reloads and new manifests.
    Planned,
    /// Evacuations of zones, and kills and planned work beside them; the store and the links stay sound, so that
    /// every host hears of an evacuation in time.
    Evacuations,
}

/// Draws a plan: faults in series, and overlapping.
pub fn plan(
    rng: &mut SmallRng,
    mix: FaultMix,
    length: Duration,
    hosts: &[SmolStr],
    executors: &[SmolStr],
) -> Vec<Planned> {
    let length_ms = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    let count = rng.random_range(4..12);
    let mut plan: Vec<Planned> = (0..count)
        .map(|_| Planned {
            at: Duration::from_millis(rng.random_range(0..length_ms)),
            fault: match mix {
                FaultMix::All => draw(rng, hosts, executors),
                FaultMix::Slow => draw_slow(rng, hosts, executors),
                FaultMix::Planned => draw_planned(rng, hosts),
                FaultMix::Evacuations => draw_evacuation(rng, hosts, executors),
            },
        })
        .collect();
    plan.sort_by_key(|planned| planned.at);
    plan
}

fn one_of(rng: &mut SmallRng, names: &[SmolStr]) -> SmolStr {
    names[rng.random_range(0..names.len())].clone()
}

fn span(rng: &mut SmallRng) -> Duration {
    Duration::from_millis(rng.random_range(100..3_500))
}

fn draw_planned(rng: &mut SmallRng, hosts: &[SmolStr]) -> Fault {
    match rng.random_range(0..4) {
        0 => Fault::HangUp(one_of(rng, hosts)),
        1 => Fault::Manifest,
        _ => Fault::StopHost(one_of(rng, hosts)),
    }
}

fn draw_evacuation(rng: &mut SmallRng, hosts: &[SmolStr], executors: &[SmolStr]) -> Fault {
    match rng.random_range(0..5) {
        0 => Fault::KillHost(one_of(rng, hosts), span(rng)),
        1 => Fault::KillExecutor(one_of(rng, executors), span(rng)),
        2 => draw_planned(rng, hosts),
        _ => {
            let mut zones: Vec<SmolStr> = hosts.iter().filter_map(|host| zone_of(host)).collect();
            zones.dedup();
            let zone = one_of(rng, &zones);
            Fault::Evacuate(zone, Duration::from_millis(rng.random_range(500..6_000)))
        }
    }
}

fn draw_slow(rng: &mut SmallRng, hosts: &[SmolStr], executors: &[SmolStr]) -> Fault {
    match rng.random_range(0..3) {
        0 => draw(rng, hosts, executors),
        _ => {
            let times = rng.random_range(2.0..10.0);
            Fault::SlowExecutor(one_of(rng, executors), times, span(rng))
        }
    }
}

fn draw(rng: &mut SmallRng, hosts: &[SmolStr], executors: &[SmolStr]) -> Fault {
    match rng.random_range(0..14) {
        0 => Fault::KillHost(one_of(rng, hosts), span(rng)),
        1 => Fault::FreezeHost(one_of(rng, hosts), span(rng)),
        2 => Fault::StopHost(one_of(rng, hosts)),
        3 => Fault::HangUp(one_of(rng, hosts)),
        4 => Fault::KillExecutor(one_of(rng, executors), span(rng)),
        5 => Fault::FreezeExecutor(one_of(rng, executors), span(rng)),
        6 => Fault::Store(store_faults(rng), span(rng)),
        7 => Fault::Command(["forget", "revoke"][rng.random_range(0..2)]),
        8 => Fault::Manifest,
        _ => {
            let (route, mode) = (route(rng, hosts, executors), mode(rng));
            Fault::Route(route, mode, span(rng))
        }
    }
}

fn route(rng: &mut SmallRng, hosts: &[SmolStr], executors: &[SmolStr]) -> SmolStr {
    match rng.random_range(0..6) {
        0 => SmolStr::new_static("store-*"),
        1 => format_smolstr!("store-{}", one_of(rng, hosts)),
        2 => format_smolstr!("peer-{}", one_of(rng, hosts)),
        3 => SmolStr::new_static("peer-*"),
        4 => format_smolstr!("callers-{}", one_of(rng, hosts)),
        _ => format_smolstr!("executor-{}", one_of(rng, executors)),
    }
}

fn mode(rng: &mut SmallRng) -> Mode {
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

fn store_faults(rng: &mut SmallRng) -> StoreFaults {
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
