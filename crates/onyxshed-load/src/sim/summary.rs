//! Summary of all runs: median and range over the seeds, as a table, JSON and plots.

use std::fmt;
use std::path::Path;

use serde::Serialize;
use smol_str::SmolStr;

use super::SimOptions;
use super::policies::PolicyKind;
use super::scenario::Scenario;
use super::simulation::RunResult;
use crate::error::Result;
use crate::plot::{Bars, Series};
use crate::report::write_json;
use crate::tally::{float, percent};

/// Results of all scenarios and policies.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// Name of the mix that the jobs were drawn from.
    pub mix: String,
    /// Seeds of the runs over which each [`Spread`] is taken.
    pub seeds: Vec<u64>,
    /// Time during which jobs arrived in each run, in seconds.
    pub span_s: f64,
    /// One cell for each scenario and policy.
    pub cells: Vec<Cell>,
}

/// Results of one scenario with one policy.
#[derive(Debug, Clone, Serialize)]
pub struct Cell {
    /// Name of the scenario, as [`Scenario::name`] returns it.
    pub scenario: String,
    /// Policy under which the scenario was run.
    pub rival: PolicyKind,
    /// Results by class.
    pub classes: Vec<ClassCell>,
    /// Wasted messages as a percentage of tasks.
    pub wasted_percent: Spread,
    /// Tasks per second that belonged to jobs complete within their target, in the middle third.
    pub goodput_per_s: Spread,
    /// Seconds from the end of the overload to the end of the last second in which less than 90% of
    /// the arriving jobs met their target; 0 if there was none, and `None` for a scenario without
    /// overload.
    pub recovery_s: Option<Spread>,
}

/// Results of one class in one cell.
#[derive(Debug, Clone, Serialize)]
pub struct ClassCell {
    /// Name of the class.
    pub class: &'static str,
    /// Percentage of jobs that were complete within the target.
    pub hit_percent: Spread,
    /// Median of the response time of complete jobs divided by the ideal.
    pub ratio_p50: Spread,
    /// 99th percentile of the response time of complete jobs divided by the ideal.
    pub ratio_p99: Spread,
}

/// Median and range of a value over the seeds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Spread {
    /// Median; for an even number of values, the greater of the two in the middle.
    pub median: f64,
    /// Smallest value.
    pub min: f64,
    /// Largest value.
    pub max: f64,
}

impl Spread {
    /// Returns the median and the range of `values`, which are all 0 if there are no values. For an
    /// even number of values, the median is the greater of the two in the middle.
    pub fn of(values: impl Iterator<Item = f64>) -> Self {
        let mut sorted: Vec<f64> = values.collect();
        sorted.sort_by(f64::total_cmp);
        let at = |place: usize| sorted.get(place).copied().unwrap_or_default();
        Spread {
            median: at(sorted.len() / 2),
            min: at(0),
            max: at(sorted.len().saturating_sub(1)),
        }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Spread { median, min, max } = self;
        f.pad(&format!("{median:.1} [{min:.1}-{max:.1}]"))
    }
}

impl Cell {
    /// Summarizes the runs of one scenario with one policy.
    pub fn of(
        options: &SimOptions,
        scenario: Scenario,
        policy: PolicyKind,
        runs: &[RunResult],
    ) -> Self {
        let span_s = options.span_s;
        let classes = options
            .mix
            .classes()
            .iter()
            .enumerate()
            .map(|(place, load)| {
                let tallies = runs.iter().map(move |run| &run.tally.classes[place]);
                ClassCell {
                    class: load.class,
                    hit_percent: Spread::of(tallies.clone().map(|class| class.hit_percent())),
                    ratio_p50: Spread::of(tallies.clone().map(|class| class.ratio_at(50.0))),
                    ratio_p99: Spread::of(tallies.map(|class| class.ratio_at(99.0))),
                }
            });
        let goodput = runs.iter().map(|run| {
            let good = run.tally.classes.iter().map(|class| class.good_tasks);
            float(good.sum()) / (span_s / 3.0)
        });
        let end_s = scenario.overload_end_s(span_s);
        Cell {
            scenario: scenario.name(),
            rival: policy,
            classes: classes.collect(),
            wasted_percent: Spread::of(runs.iter().map(|run| run.tally.wasted_percent())),
            goodput_per_s: Spread::of(goodput),
            recovery_s: end_s
                .map(|end_s| Spread::of(runs.iter().map(|run| recovery_s(run, end_s)))),
        }
    }

    fn worst(&self, value: fn(&ClassCell) -> f64, pick: fn(f64, f64) -> f64) -> f64 {
        let values = self.classes.iter().map(value);
        values.reduce(pick).unwrap_or_default()
    }
}

fn recovery_s(run: &RunResult, end_s: f64) -> f64 {
    const RECOVERED_PERCENT: f64 = 90.0;
    let after = run.by_second.iter().rev();
    let bad = after
        .take_while(|(second, _)| float(**second) >= end_s)
        .find(|(_, (jobs, hits))| percent(*hits, *jobs) < RECOVERED_PERCENT);
    bad.map_or(0.0, |(second, _)| float(*second) + 1.0 - end_s)
}

impl Summary {
    /// Returns a summary without cells.
    pub fn new(options: &SimOptions) -> Self {
        Summary {
            mix: options.mix.to_string(),
            seeds: options.seeds.clone(),
            span_s: options.span_s,
            cells: Vec::new(),
        }
    }

    /// Writes the summary as JSON, and its plots, into a folder.
    pub fn write(&self, folder: &Path) -> Result<()> {
        write_json(&folder.join(format!("policy-{}.json", self.mix)), self)?;
        let draw = |name: &str, bars: Bars| {
            bars.draw(&folder.join(format!("policy-{name}-{}.svg", self.mix)))
        };
        draw("ratio", self.ratio_bars())?;
        draw("missed", self.missed_bars())?;
        draw("wasted", self.wasted_bars())
    }

    fn ratio_bars(&self) -> Bars {
        self.bars(
            "Worst class's p99 of response time over ideal",
            "ratio",
            1.0,
            |cell| cell.worst(|class| class.ratio_p99.median, f64::max),
        )
    }

    fn missed_bars(&self) -> Bars {
        self.bars("Worst class's missed deadlines", "% of jobs", 0.1, |cell| {
            100.0 - cell.worst(|class| class.hit_percent.median, f64::min)
        })
    }

    fn wasted_bars(&self) -> Bars {
        self.bars("Wasted messages", "% of tasks", 0.1, |cell| {
            cell.wasted_percent.median
        })
    }

    fn bars(&self, title: &str, unit: &'static str, floor: f64, value: fn(&Cell) -> f64) -> Bars {
        let cells_of = |policy| self.cells.iter().filter(move |cell| cell.rival == policy);
        Bars {
            title: format!("{title}, {}", self.mix).into(),
            unit,
            floor,
            groups: cells_of(PolicyKind::Onyxshed)
                .map(|cell| SmolStr::from(&cell.scenario))
                .collect(),
            series: PolicyKind::ALL
                .map(|policy| Series {
                    name: policy.name().into(),
                    values: cells_of(policy).map(value).collect(),
                })
                .into(),
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Summary {
            mix, seeds, span_s, ..
        } = self;
        writeln!(
            f,
            "mix {mix}, seeds {seeds:?}, {span_s} s of arrivals a run"
        )?;
        writeln!(
            f,
            "median [least-greatest] over the seeds; a hit is a job complete in time; the middle third counts"
        )?;
        write!(
            f,
            "{:<12} {:<13} {:<14} {:<20} {:<17} {:<17} {:<18} {:<20} recovery s",
            "scenario",
            "policy",
            "class",
            "hits %",
            "ratio p50",
            "ratio p99",
            "wasted %",
            "goodput/s"
        )?;
        self.cells.iter().try_for_each(|cell| write!(f, "{cell}"))
    }
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (place, class) in self.classes.iter().enumerate() {
            let (scenario, policy) = match place {
                0 => (self.scenario.as_str(), self.rival.name()),
                _ => ("", ""),
            };
            write!(
                f,
                "\n{scenario:<12} {policy:<13} {:<14} {:<20} {:<17} {:<17}",
                class.class, class.hit_percent, class.ratio_p50, class.ratio_p99
            )?;
            if place == 0 {
                write!(f, " {:<18} {:<20}", self.wasted_percent, self.goodput_per_s)?;
                self.recovery_s.iter().try_for_each(|s| write!(f, " {s}"))?;
            }
        }
        Ok(())
    }
}
