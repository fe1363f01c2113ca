//! Executes the statements `wait until` and `expect` of a scenario.

use std::time::Instant;

use onyxshed_core::Revision;
use onyxshed_http::SendState;
use onyxshed_standins::platform::Counts;
use onyxshed_wire::admin::{STATUS_PATH, Status};
use smol_str::{SmolStr, format_smolstr};

use crate::caller::CallResult;
use crate::cluster::ProcessKind;
use crate::error::{Error, Result};
use crate::remote::{WAIT_TIMEOUT, WaitState, get, pause};
use crate::truth::Starts;

use super::language::{
    AnswerKind, Condition, Expectation, HostScope, Jobs, Publication, StartCount,
};
use super::scenario_run::ScenarioRun;
use super::steps::class_target;

impl ScenarioRun {
    /// Waits until a condition is met, for at most [`WAIT_TIMEOUT`]. The error contains the state
    /// that was observed last.
    pub(super) async fn wait(&mut self, condition: &Condition) -> Result<()> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            match self.check_condition(condition).await? {
                WaitState::Holds => return Ok(()),
                WaitState::NotYet(observed) if Instant::now() > deadline => {
                    let condition = format_smolstr!("{condition:?}; last seen: {observed}");
                    return Err(Error::TimedOut { condition });
                }
                WaitState::NotYet(_) => pause().await,
            }
        }
    }

    async fn check_condition(&mut self, condition: &Condition) -> Result<WaitState> {
        match condition {
            Condition::Started(count, jobs) => {
                let found = self.count_starts(jobs)?;
                Ok(WaitState::from_condition(found >= *count, || {
                    format_smolstr!("{found} tasks started")
                }))
            }
            Condition::Answered(jobs, from) => self.check_answered(jobs, from.as_ref()),
            Condition::InForce(revision, scope) => self.check_in_force(*revision, scope).await,
            Condition::Ended(host) => {
                let process = self.cluster()?.host(host)?.process(ProcessKind::Entry)?;
                let has_ended = process.exit_status()?.is_some();
                Ok(WaitState::from_condition(has_ended, || {
                    "the process still runs".into()
                }))
            }
            Condition::ReadsLog(scope) => self.check_log_read(scope).await,
            Condition::KnowsExecutors(scope) => self.check_known_executors(scope).await,
            Condition::KnowsPeers(scope) => self.check_known_peers(scope).await,
            Condition::Appended(count, stream) => {
                let found = self.append_count(stream).await?;
                Ok(WaitState::from_condition(found >= *count, || {
                    format_smolstr!("{found} appends accepted")
                }))
            }
        }
    }

    fn check_answered(&self, jobs: &Jobs, from: Option<&SmolStr>) -> Result<WaitState> {
        for (name, job) in self.jobs(jobs)? {
            let mut requests = job.requests_to(from);
            let unanswered = requests.find(|request| request.exchange.borrow().result.is_none());
            if let Some(request) = unanswered {
                return Ok(WaitState::NotYet(format_smolstr!(
                    "{name} has no answer from {}",
                    request.host
                )));
            }
        }
        Ok(WaitState::Holds)
    }

    async fn check_in_force(&mut self, minimum: Revision, scope: &HostScope) -> Result<WaitState> {
        for (host, found) in self.revisions(scope).await? {
            if found.is_none_or(|found| found < minimum) {
                return Ok(WaitState::NotYet(format_smolstr!(
                    "{host} has revision {found:?}"
                )));
            }
        }
        Ok(WaitState::Holds)
    }

    async fn check_log_read(&mut self, scope: &HostScope) -> Result<WaitState> {
        for (host, status) in self.statuses(scope).await? {
            if status.details["is_log_read"] != true {
                return Ok(WaitState::NotYet(format_smolstr!(
                    "{host} has not read the claims in the log"
                )));
            }
        }
        Ok(WaitState::Holds)
    }

    async fn check_known_executors(&mut self, scope: &HostScope) -> Result<WaitState> {
        for (host, status) in self.statuses(scope).await? {
            if status.details["executors"].as_u64().unwrap_or_default() == 0 {
                return Ok(WaitState::NotYet(format_smolstr!(
                    "{host} knows no executor"
                )));
            }
        }
        Ok(WaitState::Holds)
    }

    async fn check_known_peers(&mut self, scope: &HostScope) -> Result<WaitState> {
        let hosts = &self.cluster()?.hosts;
        let running = hosts.values().filter(|unit| unit.entry.is_some()).count() as u64;
        for (host, status) in self.statuses(scope).await? {
            let found = status.details["live_peers"].as_u64().unwrap_or_default();
            if found + 1 < running {
                return Ok(WaitState::NotYet(format_smolstr!(
                    "{host} knows {found} live peers"
                )));
            }
        }
        Ok(WaitState::Holds)
    }

    /// Checks an expectation. An expectation about answers waits until all of them were received; all
    /// others must be met immediately.
    pub(super) async fn expect(&mut self, expectation: &Expectation) -> Result<()> {
        match expectation {
            Expectation::EveryTask(jobs, times) => self.expect_every_task(jobs, *times),
            Expectation::NoTask(jobs) => {
                let found = self.count_starts(jobs)?;
                ensure(found == 0, || format_smolstr!("{found} tasks started"))
            }
            Expectation::SomeTask(jobs) => {
                let found = self.count_starts(jobs)?;
                ensure(found > 0, || "no task started".into())
            }
            Expectation::Answers(jobs, from, allowed) => {
                let is_allowed = |result: &CallResult| matches_any(result, allowed);
                self.expect_every_answer(jobs, from.as_ref(), is_allowed)
                    .await
            }
            Expectation::Codes(jobs, from, allowed) => {
                let is_allowed = |result: &CallResult| has_code(result, allowed);
                self.expect_every_answer(jobs, from.as_ref(), is_allowed)
                    .await
            }
            Expectation::SomeAnswer(jobs, allowed) => {
                let answers = self.answers(jobs, None).await?;
                let is_found = answers
                    .iter()
                    .any(|(_, result)| matches_any(result, allowed));
                ensure(is_found, || {
                    let results = answers
                        .iter()
                        .map(|(name, result)| format!("{name}: {result}"));
                    results.collect::<Vec<_>>().join("; ").into()
                })
            }
            Expectation::Target(publication, scope) => self.expect_target(publication, scope).await,
            Expectation::Revision(revision, scope) => self.expect_revision(*revision, scope).await,
            Expectation::ExitCode(host, code) => self.expect_exit_code(host, *code),
            Expectation::NoNewStart(name) => {
                let found = self.new_starts(name)?;
                ensure(found == 0, || format_smolstr!("{found} tasks started"))
            }
            Expectation::NewStart(name) => {
                let found = self.new_starts(name)?;
                ensure(found > 0, || "no task started".into())
            }
            Expectation::AppendsAtMost(maximum, stream) => {
                let found = self.append_count(stream).await?;
                ensure(found <= *maximum, || {
                    format_smolstr!("{found} appends accepted")
                })
            }
        }
    }

    fn expect_every_task(&mut self, jobs: &Jobs, times: StartCount) -> Result<()> {
        let starts = self.starts()?;
        for (name, job) in self.jobs(jobs)? {
            for index in 0..job.results.len() {
                let found = starts.count(job.submission.submission, index);
                let is_met = match times {
                    StartCount::AtMostOnce => found <= 1,
                    StartCount::ExactlyOnce => found == 1,
                };
                ensure(is_met, || {
                    format_smolstr!("task {} of {name} started {found} times", index + 1)
                })?;
            }
        }
        Ok(())
    }

    async fn expect_every_answer(
        &mut self,
        jobs: &Jobs,
        from: Option<&SmolStr>,
        is_allowed: impl Fn(&CallResult) -> bool,
    ) -> Result<()> {
        let answers = self.answers(jobs, from).await?;
        ensure(!answers.is_empty(), || {
            "no request was sent for the jobs".into()
        })?;
        for (name, result) in &answers {
            ensure(is_allowed(result), || {
                format_smolstr!("the result of {name} is {result}")
            })?;
        }
        Ok(())
    }

    /// Waits until all requests for the jobs have a result, and returns the results with the names of
    /// the jobs.
    async fn answers(
        &mut self,
        jobs: &Jobs,
        from: Option<&SmolStr>,
    ) -> Result<Vec<(SmolStr, CallResult)>> {
        self.wait(&Condition::Answered(jobs.clone(), from.cloned()))
            .await?;
        let mut answers = Vec::new();
        for (name, job) in self.jobs(jobs)? {
            for request in job.requests_to(from) {
                if let Some(timed_result) = &request.exchange.borrow().result {
                    answers.push((name.clone(), timed_result.result.clone()));
                }
            }
        }
        Ok(answers)
    }

    async fn expect_target(&mut self, publication: &Publication, scope: &HostScope) -> Result<()> {
        let expected = class_target(publication)?;
        let fold = self.cluster()?.read_config().await?;
        let found = fold.config().classes.get(&expected.class);
        ensure(found == Some(&expected), || {
            format_smolstr!("the class target in the log is {found:?}")
        })?;
        self.expect_revision(fold.config().revision, scope).await
    }

    async fn expect_revision(&mut self, expected: Revision, scope: &HostScope) -> Result<()> {
        for (host, found) in self.revisions(scope).await? {
            ensure(found == Some(expected), || {
                format_smolstr!("{host} has revision {found:?}")
            })?;
        }
        Ok(())
    }

    /// Returns the host and the revision in force of each entry process in the scope that was not
    /// killed; the revision is `None` if the process has no configuration.
    async fn revisions(&mut self, scope: &HostScope) -> Result<Vec<(SmolStr, Option<Revision>)>> {
        let statuses = self.statuses(scope).await?;
        let revision_of = |(host, status): (SmolStr, Status)| (host, status.config_revision);
        Ok(statuses.into_iter().map(revision_of).collect())
    }

    /// Returns the host and the status of each entry process in the scope that was not killed.
    async fn statuses(&mut self, scope: &HostScope) -> Result<Vec<(SmolStr, Status)>> {
        let cluster = self.cluster()?;
        let hosts = match scope {
            HostScope::At(host) => vec![host.clone()],
            HostScope::Everywhere => cluster.host_names(),
        };
        let mut statuses = Vec::new();
        for host in hosts {
            let unit = cluster.host(&host)?;
            if unit.entry.is_some() {
                let address = unit.admin_address(ProcessKind::Entry)?;
                statuses.push((host, get(address, STATUS_PATH).await?));
            }
        }
        Ok(statuses)
    }

    fn expect_exit_code(&mut self, host: &str, expected: i32) -> Result<()> {
        let process = self.cluster()?.host(host)?.process(ProcessKind::Entry)?;
        let ended = process.exit_status()?;
        let code = ended.and_then(|status| status.code());
        ensure(code == Some(expected), || {
            format_smolstr!("the entry process ended with {ended:?}")
        })
    }

    fn new_starts(&mut self, name: &str) -> Result<usize> {
        let unit = self.cluster()?.executor(name)?;
        Ok(unit.starts().len() - unit.noted_start_count)
    }

    fn count_starts(&mut self, jobs: &Jobs) -> Result<usize> {
        let starts: Starts = self.starts()?;
        let jobs = self.jobs(jobs)?;
        let started = jobs
            .iter()
            .map(|(_, job)| starts.of_submission(job.submission.submission).count());
        Ok(started.sum())
    }

    /// Returns how many appends to a stream the platform has accepted.
    async fn append_count(&mut self, stream: &str) -> Result<u64> {
        let address = self.cluster()?.platform_address()?;
        let counts: Counts = get(address, "/control/counts").await?;
        Ok(counts.appended.get(stream).copied().unwrap_or_default())
    }
}

fn ensure(is_met: bool, found: impl FnOnce() -> SmolStr) -> Result<()> {
    match is_met {
        true => Ok(()),
        false => Err(Error::unmet(found())),
    }
}

fn matches_any(result: &CallResult, allowed: &[AnswerKind]) -> bool {
    allowed.iter().any(|kind| match kind {
        AnswerKind::Outcome(outcome) => result.outcome() == Some(*outcome),
        AnswerKind::Lost => matches!(result, CallResult::Lost(_)),
        AnswerKind::Unreached => {
            matches!(result, CallResult::Lost(error) if error.sent == SendState::NotSent)
        }
    })
}

fn has_code(result: &CallResult, allowed: &[u16]) -> bool {
    match result {
        CallResult::Answer(_, answer) => answer
            .code
            .is_some_and(|code| allowed.contains(&code.number())),
        CallResult::Unreadable(..) | CallResult::Lost(_) => false,
    }
}
