//! Where the next task goes.
//!
//! Three placements stand side by side so that experiments can compare them: the product's own,
//! and the two that operators would reach for. Each is found by its name in [`PlacementKind::ALL`].

mod least_finish;
mod least_outstanding;
mod round_robin;

use std::fmt;
use std::str::FromStr;

use onyxshed_core::Error;
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::fleet::Seat;

/// A way to choose an executor.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PlacementKind {
    /// Least expected finish by learned speeds, guarded by limits and breakers.
    #[default]
    LeastFinish,
    /// Each executor in turn, up to its slots; a baseline without guards.
    RoundRobin,
    /// Fewest attempts of this host; a baseline without guards.
    LeastOutstanding,
}

impl PlacementKind {
    /// Every placement, the default first.
    pub const ALL: [PlacementKind; 3] = [
        PlacementKind::LeastFinish,
        PlacementKind::RoundRobin,
        PlacementKind::LeastOutstanding,
    ];

    /// Gets the name that settings and tables use.
    pub fn name(self) -> &'static str {
        match self {
            PlacementKind::LeastFinish => "least_finish",
            PlacementKind::RoundRobin => "round_robin",
            PlacementKind::LeastOutstanding => "least_outstanding",
        }
    }

    /// Tells whether limits, breakers, shares and hedges apply.
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

/// An executor that could take the task now.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Where it is.
    pub seat: Seat,
    /// Attempts of ours there.
    pub in_flight: u32,
    /// Tasks it runs at the same time.
    pub slots: u32,
    /// How slow it is held to be.
    pub slowdown: f64,
    /// Whether the task would be a try of an executor under doubt.
    pub is_probe: bool,
}

/// What placing one task came to.
#[derive(Debug, Clone, Copy)]
pub enum Choice {
    /// It goes there.
    Take(Candidate),
    /// A faster executor will be free soon enough.
    Hold,
    /// Only executors that it must avoid could take it.
    Avoided,
    /// No executor can take it.
    Full,
}

/// State of the placement in force.
#[derive(Debug)]
pub struct Placement {
    kind: PlacementKind,
    turn: Option<Seat>,
}

impl Placement {
    /// Makes the state of one kind.
    pub fn new(kind: PlacementKind) -> Self {
        Placement { kind, turn: None }
    }

    /// Gets the kind.
    pub fn kind(&self) -> PlacementKind {
        self.kind
    }

    /// Chooses among executors that can take the task, in order of their seats.
    pub fn choose(&mut self, candidates: &[Candidate], rng: &mut SmallRng) -> Option<Candidate> {
        match self.kind {
            PlacementKind::LeastFinish => least_finish::choose(candidates, rng),
            PlacementKind::LeastOutstanding => least_outstanding::choose(candidates, rng),
            PlacementKind::RoundRobin => round_robin::choose(candidates, &mut self.turn),
        }
    }
}

/// Draws one of several candidates that are as good as each other.
fn draw(tied: &[Candidate], rng: &mut SmallRng) -> Option<Candidate> {
    match tied {
        [] => None,
        [only] => Some(*only),
        _ => Some(tied[rng.random_range(0..tied.len())]),
    }
}

/// Keeps the candidates with the least key.
fn least_by<K: PartialOrd>(
    candidates: &[Candidate],
    key: impl Fn(&Candidate) -> K,
) -> Vec<Candidate> {
    let mut tied: Vec<Candidate> = Vec::new();
    for candidate in candidates {
        match tied.first().map(&key) {
            Some(best) if best < key(candidate) => continue,
            Some(best) if best == key(candidate) => {}
            _ => tied.clear(),
        }
        tied.push(*candidate);
    }
    tied
}
