//! Algorithms that select the executor of a task.
//!
//! The default is compared in experiments with the two common baselines. Settings select an
//! algorithm by its [`PlacementKind::name`].

mod least_finish;
mod least_outstanding;
mod round_robin;

use std::fmt;
use std::str::FromStr;

use onyxshed_core::Error;
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::fleet::ExecutorKey;

/// Algorithm that selects the executor of a task, set in [`PolicyOptions`](crate::PolicyOptions).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PlacementKind {
    /// Least expected finish by learned speeds, with limits and breakers.
    #[default]
    LeastFinish,
    /// Each executor in turn that has a free slot; a baseline without learned limits and breakers.
    RoundRobin,
    /// Fewest attempts of this host in flight, among the executors that have a free slot; a baseline
    /// without learned limits and breakers.
    LeastOutstanding,
}

impl PlacementKind {
    /// Every placement, the default first.
    pub const ALL: [PlacementKind; 3] = [
        PlacementKind::LeastFinish,
        PlacementKind::RoundRobin,
        PlacementKind::LeastOutstanding,
    ];

    /// Returns the name used in settings and tables.
    pub fn name(self) -> &'static str {
        match self {
            PlacementKind::LeastFinish => "least_finish",
            PlacementKind::RoundRobin => "round_robin",
            PlacementKind::LeastOutstanding => "least_outstanding",
        }
    }

    /// Returns whether limits, breakers, shares, retry budgets and hedges apply.
    pub fn is_guarded(self) -> bool {
        self == PlacementKind::LeastFinish
    }
}

impl fmt::Display for PlacementKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.name())
    }
}

impl FromStr for PlacementKind {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let found = PlacementKind::ALL
            .into_iter()
            .find(|kind| kind.name() == text);
        found.ok_or_else(|| {
            Error::id(
                "placement",
                text,
                "least_finish, round_robin or least_outstanding",
            )
        })
    }
}

/// An executor with a free slot on which the task to be placed may start now.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Key of the executor in the fleet.
    pub key: ExecutorKey,
    /// Number of attempts of this host in flight on the executor.
    pub in_flight: u32,
    /// Number of tasks that the executor runs concurrently.
    pub slots: u32,
    /// Slowdown relative to the other executors; higher while the executor does not respond.
    pub slowdown: f64,
    /// Whether the task would probe an executor with an open breaker.
    pub is_probe: bool,
}

/// Executor on which a queued task starts, or why it does not start now.
#[derive(Debug, Clone, Copy)]
pub enum Choice {
    /// The task starts on this executor.
    Take(Candidate),
    /// The task waits: a faster executor is expected to be free soon enough.
    WaitForFaster,
    /// Every executor that could take the task is one that it must avoid, because an attempt of the
    /// task failed or was refused there.
    Avoided,
    /// No executor has a free slot for the task.
    Full,
}

/// Algorithm in use, with the executor that round robin selected last.
#[derive(Debug)]
pub struct Placement {
    kind: PlacementKind,
    last_key: Option<ExecutorKey>,
}

impl Placement {
    /// Creates a placement that uses the given algorithm.
    pub fn new(kind: PlacementKind) -> Self {
        Placement {
            kind,
            last_key: None,
        }
    }

    /// Returns the algorithm in use, which decides whether the guards apply
    /// ([`PlacementKind::is_guarded`]).
    pub fn kind(&self) -> PlacementKind {
        self.kind
    }

    /// Selects one of the candidates; `None` if there are none. The baselines get them in ascending
    /// order of their keys.
    pub fn choose(&mut self, candidates: &[Candidate], rng: &mut SmallRng) -> Option<Candidate> {
        match self.kind {
            PlacementKind::LeastFinish => least_finish::choose(candidates, rng),
            PlacementKind::LeastOutstanding => least_outstanding::choose(candidates, rng),
            PlacementKind::RoundRobin => round_robin::choose(candidates, &mut self.last_key),
        }
    }
}

/// Returns one of the equally good candidates, selected at random; `None` if there are none.
fn pick_random(equal: &[Candidate], rng: &mut SmallRng) -> Option<Candidate> {
    match equal {
        [] => None,
        [only] => Some(*only),
        _ => Some(equal[rng.random_range(0..equal.len())]),
    }
}

/// Returns the candidates for which `key` returns the least value.
fn least_by<K: PartialOrd>(
    candidates: &[Candidate],
    key: impl Fn(&Candidate) -> K,
) -> Vec<Candidate> {
    let mut equal: Vec<Candidate> = Vec::new();
    for candidate in candidates {
        match equal.first().map(&key) {
            Some(best) if best < key(candidate) => continue,
            Some(best) if best == key(candidate) => {}
            _ => equal.clear(),
        }
        equal.push(*candidate);
    }
    equal
}
