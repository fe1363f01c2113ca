//! Runs a scenario with real processes.

use std::fmt;
use std::rc::Rc;

use async_executor::LocalExecutor;

use super::language::{Line, Script};
use super::scenario_run::ScenarioRun;

/// Where and why a scenario failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// The statement that failed, or `at the end` if one of the checks of [`crate::truth`] failed.
    pub at: String,
    /// The error of the statement or the check, as text.
    pub reason: String,
    /// The jobs with the results of their requests, and the last lines of the logs.
    pub seen: String,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Failure { at, reason, seen } = self;
        write!(f, "{at}\n{reason}\n\n{seen}")
    }
}

impl std::error::Error for Failure {}

/// Executes all statements of a script, and then checks the answers of all jobs against the recorded
/// starts.
///
/// # Errors
///
/// Fails at the first statement or check that fails.
pub fn play(script: &Script) -> Result<(), Failure> {
    let executor = Rc::new(LocalExecutor::new());
    let mut scenario = ScenarioRun::new(executor.clone());
    let played = async_io::block_on(executor.run(play_lines(&mut scenario, script)));
    played.map_err(|(at, reason)| Failure {
        at,
        reason,
        seen: format!("{}\n{}", scenario.describe_jobs(), scenario.logs()),
    })
}

async fn play_lines(scenario: &mut ScenarioRun, script: &Script) -> Result<(), (String, String)> {
    for line in &script.lines {
        let at = |line: &Line| format!("line {}: {}", line.number, line.text);
        let played = scenario.play(&line.step).await;
        played.map_err(|error| (at(line), error.to_string()))?;
    }
    let checked = scenario.check_invariants();
    checked.map_err(|error| ("at the end".to_owned(), error.to_string()))
}
