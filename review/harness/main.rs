//! Runs the cases of the review that are scripts: `harness CASE FOLDER`. Writes `FOLDER/record.txt`,
//! and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment the disruption is left out.

mod cancel;
mod executor;
mod fleet;
mod http;
mod kinds;
mod manifest;
mod proxy;

use std::fs::File;
use std::io::Write;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Mutex;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A start that an executor carried out.
#[derive(Clone)]
pub struct Start {
    pub at: Instant,
    pub executor: String,
    pub kind: &'static str,
    /// Whether the executor had answered a hold of this life before.
    pub has_reported: bool,
    pub task: String,
    /// Second word of the spec: the label that the job requires.
    pub requires: Option<String>,
}

/// What was sent, answered and run, as written to `record.txt`.
pub struct Record {
    began_at: Instant,
    file: Mutex<File>,
    starts: Mutex<Vec<Start>>,
}

impl Record {
    fn create(folder: &Path) -> Self {
        Record {
            began_at: Instant::now(),
            file: Mutex::new(
                File::create(folder.join("record.txt")).expect("a file for the record"),
            ),
            starts: Mutex::default(),
        }
    }

    /// Writes a line with the time since the start of the script, in milliseconds.
    pub fn write(&self, text: &str) {
        let ms = self.began_at.elapsed().as_millis();
        let mut file = self.file.lock().expect("no thread panics with the lock");
        let _ = writeln!(file, "{ms:>6} {text}");
    }

    #[allow(clippy::too_many_arguments)]
    pub fn start(
        &self,
        executor: &str,
        life: u32,
        kind: &'static str,
        has_reported: bool,
        task: &str,
        run: u64,
        requires: Option<&str>,
    ) {
        let required = requires.unwrap_or("-");
        self.write(&format!(
            "start {task} run {run} on {executor} life {life} kind {kind}, requires {required}"
        ));
        let start = Start {
            at: Instant::now(),
            executor: executor.into(),
            kind,
            has_reported,
            task: task.into(),
            requires: requires.map(String::from),
        };
        self.starts
            .lock()
            .expect("no thread panics with the lock")
            .push(start);
    }

    pub fn starts(&self) -> Vec<Start> {
        self.starts
            .lock()
            .expect("no thread panics with the lock")
            .clone()
    }
}

/// Writes a line to standard output, which nobody may read.
pub fn say(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| u64::try_from(elapsed.as_millis()).unwrap_or(0))
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: harness CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = std::sync::Arc::new(Record::create(Path::new(folder)));
    record.write(&format!("case {case}, disruption: {has_trouble}"));
    let run = match case.as_str() {
        "cancel" => cancel::run,
        "kinds" => kinds::run,
        "manifest" => manifest::run,
        _ => {
            eprintln!("no such case");
            return ExitCode::from(2);
        }
    };
    let outcome = catch_unwind(AssertUnwindSafe(|| run(&record, has_trouble)));
    let Ok(is_broken) = outcome else {
        record.write("the case could not run");
        return ExitCode::from(2);
    };
    let verdict = if is_broken {
        "the rule was broken"
    } else {
        "the rule held"
    };
    record.write(verdict);
    say(verdict);
    ExitCode::from(u8::from(is_broken))
}
