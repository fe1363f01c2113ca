//! Reports of runs, as text for a terminal and as JSON.

use std::fmt;
use std::fs;
use std::path::Path;

use serde::Serialize;
use snafu::ResultExt;

use crate::error::{Result, WriteSnafu};
use crate::tally::{ClassTally, RATIO_UNIT, Tally, Wasted, float};

/// Results of one run of a mix, as its callers measured them.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Name of the mix that the jobs were drawn from.
    pub mix: String,
    /// Seed of the plan; equal options and seeds result in the same planned jobs.
    pub seed: u64,
    /// Time during which jobs arrived, in seconds.
    pub span_s: f64,
    /// Results by class, in the order of [`crate::mix::Mix::classes`].
    pub classes: Vec<ClassReport>,
    /// Wasted messages by kind.
    pub wasted: Wasted,
    /// Wasted messages as a percentage of tasks.
    pub wasted_percent: f64,
    /// Tasks per second that belonged to jobs complete within their target.
    pub goodput_per_s: f64,
    /// Largest delay of a submission after its planned time, in microseconds. A delay close to the
    /// response times means that the load tool was short of processor time.
    pub sender_lag_max_us: u64,
}

/// Results of one class.
#[derive(Debug, Clone, Serialize)]
pub struct ClassReport {
    /// Name of the class.
    pub class: &'static str,
    /// Number of jobs that ended, with or without an answer.
    pub jobs: u64,
    /// Number of tasks in those jobs.
    pub tasks: u64,
    /// Percentage of jobs that were complete within the target.
    pub hit_percent: f64,
    /// Percentiles of the response time of complete jobs divided by the ideal.
    pub ratio: Percentiles,
    /// Percentiles of the response time of complete jobs, in milliseconds.
    pub took_ms: Percentiles,
    /// Number of jobs without an answer.
    pub unanswered: u64,
    /// Final answers by result code.
    pub codes: Vec<CodeCount>,
}

/// Number of final answers with one result code.
#[derive(Debug, Clone, Serialize)]
pub struct CodeCount {
    /// Number of the result code in the answers.
    pub code: u16,
    /// Number of jobs whose final answer has that code.
    pub jobs: u64,
}

/// Percentiles of measured values, in the unit that the name of the containing field states.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Value that half of the values don't exceed, to three significant digits.
    pub p50: f64,
    /// Value that 90% of the values don't exceed, to three significant digits.
    pub p90: f64,
    /// Value that 99% of the values don't exceed, to three significant digits.
    pub p99: f64,
    /// Value that 99.9% of the values don't exceed, to three significant digits.
    pub p999: f64,
    /// Largest value.
    pub max: f64,
}

impl Percentiles {
    /// Reads the percentiles of a histogram and divides each by `unit`; all are 0 if it is empty.
    pub fn of(histogram: &hdrhistogram::Histogram<u64>, unit: f64) -> Self {
        if histogram.is_empty() {
            return Percentiles::default();
        }
        let at = |percentile| float(histogram.value_at_percentile(percentile)) / unit;
        Percentiles {
            p50: at(50.0),
            p90: at(90.0),
            p99: at(99.0),
            p999: at(99.9),
            max: float(histogram.max()) / unit,
        }
    }
}

const US_PER_MS: f64 = 1_000.0;

impl Report {
    /// Builds the report from the counts of a run. `span_s` is the time during which jobs arrived.
    pub fn new(tally: &Tally, seed: u64, span_s: f64, sender_lag_max_us: u64) -> Self {
        let loads = tally.mix.classes().iter();
        let good: u64 = tally.classes.iter().map(|class| class.good_tasks).sum();
        Report {
            mix: tally.mix.to_string(),
            seed,
            span_s,
            classes: loads
                .zip(&tally.classes)
                .map(|(load, class)| ClassReport::new(load.class, class))
                .collect(),
            wasted: tally.wasted,
            wasted_percent: tally.wasted_percent(),
            goodput_per_s: float(good) / span_s,
            sender_lag_max_us,
        }
    }
}

impl ClassReport {
    fn new(class: &'static str, tally: &ClassTally) -> Self {
        let codes = tally.codes.iter();
        ClassReport {
            class,
            jobs: tally.jobs,
            tasks: tally.tasks,
            hit_percent: tally.hit_percent(),
            ratio: Percentiles::of(&tally.ratio, RATIO_UNIT),
            took_ms: Percentiles::of(&tally.took_us, US_PER_MS),
            unanswered: tally.unanswered,
            codes: codes
                .map(|(code, jobs)| CodeCount {
                    code: code.number(),
                    jobs: *jobs,
                })
                .collect(),
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Report {
            mix, seed, span_s, ..
        } = self;
        writeln!(f, "mix {mix}, seed {seed}, {span_s} s of arrivals")?;
        writeln!(
            f,
            "{:<14} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>9}  codes",
            "class", "jobs", "tasks", "hits", "r p50", "r p90", "r p99", "p99 ms"
        )?;
        for class in &self.classes {
            writeln!(f, "{class}")?;
        }
        writeln!(
            f,
            "goodput {:.1} tasks/s; sender's lag at most {:.1} ms",
            self.goodput_per_s,
            float(self.sender_lag_max_us) / US_PER_MS
        )?;
        write!(f, "wasted {:.2}% of tasks:", self.wasted_percent)?;
        for (kind, count) in self.wasted.kinds() {
            write!(f, " {kind} {count},")?;
        }
        Ok(())
    }
}

impl fmt::Display for ClassReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<14} {:>7} {:>7} {:>6.1}% {:>7.2} {:>7.2} {:>7.2} {:>9.1} ",
            self.class,
            self.jobs,
            self.tasks,
            self.hit_percent,
            self.ratio.p50,
            self.ratio.p90,
            self.ratio.p99,
            self.took_ms.p99
        )?;
        for count in &self.codes {
            write!(f, " {}:{}", count.code, count.jobs)?;
        }
        match self.unanswered {
            0 => Ok(()),
            unanswered => write!(f, " none:{unanswered}"),
        }
    }
}

/// Writes a value as indented JSON, and creates the file's folder where needed.
pub fn write_json(path: &Path, value: &impl Serialize) -> Result<()> {
    let text = serde_json::to_string_pretty(value).expect("reports are serializable as JSON");
    write_text(path, &(text + "\n"))
}

/// Writes a text file, and creates its folder where needed.
pub fn write_text(path: &Path, text: &str) -> Result<()> {
    if let Some(folder) = path.parent() {
        fs::create_dir_all(folder).context(WriteSnafu { path: folder })?;
    }
    fs::write(path, text).context(WriteSnafu { path })
}
