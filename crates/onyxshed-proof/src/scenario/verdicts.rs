//! Waits for conditions and judges expectations.

use std::time::Instant;

use onyxshed_core::Revision;
use onyxshed_http::SendState;
use onyxshed_standins::platform::Counts;
use onyxshed_wire::admin::{STATUS_PATH, Status};
use smol_str::{SmolStr, format_smolstr};

use crate::caller::Heard;
use crate::cluster::Part;
use crate::error::{Error, Result};
use crate::remote::{Look, WAIT_CEILING, get, pause};
use crate::truth::Starts;

use super::language::{Condition, Expectation, Hearing, Jobs, Publication, Times, Where};
use super::steps::target_of;
use super::world::World;

impl World {
    /// Waits until something is so.
    pub(super) async fn wait(&mut self, condition: &Condition) -> Result<()> {
        let give_up_at = Instant::now() + WAIT_CEILING;
        loop {
            match self.look(condition).await? {
                Look::Holds => return Ok(()),
                Look::NotYet(seen) if Instant::now() > give_up_at => {
                    let what = format_smolstr!("{condition:?}; last seen: {seen}");
                    return Err(Error::InVain { what });
                }
                Look::NotYet(_) => pause().await,
            }
        }
    }

    async fn look(&mut self, condition: &Condition) -> Result<Look> {
        match condition {
            Condition::Started(count, jobs) => {
                let found = self.count_starts(jobs)?;
                Ok(Look::when(found >= *count, || {
                    format_smolstr!("{found} started")
                }))
            }
            Condition::Answered(jobs, from) => self.look_answered(jobs, from.as_ref()),
            Condition::InForce(revision, place) => self.look_in_force(*revision, place).await,
            Condition::Ended(host) => {
                let process = self.cluster()?.host(host)?.part(Part::Entry)?;
                let has_ended = process.ended()?.is_some();
                Ok(Look::when(has_ended, || "it still runs".into()))
            }
            Condition::ReadsLog(place) => self.look_claims_read(place).await,
            Condition::KnowsExecutors(place) => self.look_executors(place).await,
            Condition::KnowsPeers(place) => self.look_peers(place).await,
            Condition::Appended(count, stream) => {
                let found = self.appended(stream).await?;
                Ok(Look::when(found >= *count, || {
                    format_smolstr!("{found} taken")
                }))
            }
        }
    }

    fn look_answered(&self, jobs: &Jobs, from: Option<&SmolStr>) -> Result<Look> {
        for (name, job) in self.jobs(jobs)? {
            let mut copies = job.copies_from(from);
            let open = copies.find(|copy| copy.exchange.borrow().heard.is_none());
            if let Some(copy) = open {
                return Ok(Look::NotYet(format_smolstr!(
                    "{name} awaits its answer from {}",
                    copy.host
                )));
            }
        }
        Ok(Look::Holds)
    }

    async fn look_in_force(&mut self, least: Revision, place: &Where) -> Result<Look> {
        for (host, found) in self.revisions(place).await? {
            if found.is_none_or(|found| found < least) {
                return Ok(Look::NotYet(format_smolstr!("{host} has {found:?}")));
            }
        }
        Ok(Look::Holds)
    }

    async fn look_claims_read(&mut self, place: &Where) -> Result<Look> {
        for (host, status) in self.statuses(place).await? {
            if status.details["is_log_read"] != true {
                return Ok(Look::NotYet(format_smolstr!("{host} can't read them")));
            }
        }
        Ok(Look::Holds)
    }

    async fn look_executors(&mut self, place: &Where) -> Result<Look> {
        for (host, status) in self.statuses(place).await? {
            if status.details["executors"].as_u64().unwrap_or_default() == 0 {
                return Ok(Look::NotYet(format_smolstr!("{host} knows none")));
            }
        }
        Ok(Look::Holds)
    }

    async fn look_peers(&mut self, place: &Where) -> Result<Look> {
        let hosts = &self.cluster()?.hosts;
        let running = hosts.values().filter(|unit| unit.entry.is_some()).count() as u64;
        for (host, status) in self.statuses(place).await? {
            let found = status.details["live_peers"].as_u64().unwrap_or_default();
            if found + 1 < running {
                return Ok(Look::NotYet(format_smolstr!("{host} knows {found}")));
            }
        }
        Ok(Look::Holds)
    }

    /// Judges an expectation; answers are waited for, everything else must hold now.
    pub(super) async fn expect(&mut self, expectation: &Expectation) -> Result<()> {
        match expectation {
            Expectation::EveryTask(jobs, times) => self.every_task(jobs, *times),
            Expectation::NoTask(jobs) => {
                let found = self.count_starts(jobs)?;
                holds(found == 0, || format_smolstr!("{found} tasks started"))
            }
            Expectation::SomeTask(jobs) => {
                let found = self.count_starts(jobs)?;
                holds(found > 0, || "no task started".into())
            }
            Expectation::Answers(jobs, from, allowed) => {
                let is_allowed = |heard: &Heard| is_one_of(heard, allowed);
                self.every_answer(jobs, from.as_ref(), is_allowed).await
            }
            Expectation::Codes(jobs, from, allowed) => {
                let is_allowed = |heard: &Heard| has_code(heard, allowed);
                self.every_answer(jobs, from.as_ref(), is_allowed).await
            }
            Expectation::SomeAnswer(jobs, allowed) => {
                let answers = self.answers(jobs, None).await?;
                let is_found = answers.iter().any(|(_, heard)| is_one_of(heard, allowed));
                holds(is_found, || {
                    let heard = answers
                        .iter()
                        .map(|(name, heard)| format!("{name}: {heard}"));
                    heard.collect::<Vec<_>>().join("; ").into()
                })
            }
            Expectation::Target(publication, place) => self.target(publication, place).await,
            Expectation::Revision(revision, place) => self.revision(*revision, place).await,
            Expectation::ExitCode(host, code) => self.exit_code(host, *code),
            Expectation::NoNewStart(name) => {
                let found = self.new_starts(name)?;
                holds(found == 0, || format_smolstr!("{found} tasks started"))
            }
            Expectation::NewStart(name) => {
                let found = self.new_starts(name)?;
                holds(found > 0, || "no task started".into())
            }
            Expectation::AppendsAtMost(most, stream) => {
                let found = self.appended(stream).await?;
                holds(found <= *most, || format_smolstr!("{found} appends"))
            }
        }
    }

    fn every_task(&mut self, jobs: &Jobs, times: Times) -> Result<()> {
        let starts = self.starts()?;
        for (name, job) in self.jobs(jobs)? {
            for index in 0..job.results.len() {
                let found = starts.count(job.submission.submission, index);
                let is_met = match times {
                    Times::AtMostOnce => found <= 1,
                    Times::ExactlyOnce => found == 1,
                };
                holds(is_met, || {
                    format_smolstr!("task {} of {name} started {found} times", index + 1)
                })?;
            }
        }
        Ok(())
    }

    async fn every_answer(
        &mut self,
        jobs: &Jobs,
        from: Option<&SmolStr>,
        is_allowed: impl Fn(&Heard) -> bool,
    ) -> Result<()> {
        let answers = self.answers(jobs, from).await?;
        holds(!answers.is_empty(), || "nothing was asked".into())?;
        for (name, heard) in &answers {
            holds(is_allowed(heard), || {
                format_smolstr!("{name} heard {heard}")
            })?;
        }
        Ok(())
    }

    /// Waits for all answers and gets them.
    async fn answers(
        &mut self,
        jobs: &Jobs,
        from: Option<&SmolStr>,
    ) -> Result<Vec<(SmolStr, Heard)>> {
        self.wait(&Condition::Answered(jobs.clone(), from.cloned()))
            .await?;
        let mut answers = Vec::new();
        for (name, job) in self.jobs(jobs)? {
            for copy in job.copies_from(from) {
                if let Some(heard_at) = &copy.exchange.borrow().heard {
                    answers.push((name.clone(), heard_at.heard.clone()));
                }
            }
        }
        Ok(answers)
    }

    async fn target(&mut self, publication: &Publication, place: &Where) -> Result<()> {
        let wanted = target_of(publication)?;
        let fold = self.cluster()?.log_config().await?;
        let found = fold.config().classes.get(&wanted.class);
        holds(found == Some(&wanted), || {
            format_smolstr!("the log makes it {found:?}")
        })?;
        self.revision(fold.config().revision, place).await
    }

    async fn revision(&mut self, wanted: Revision, place: &Where) -> Result<()> {
        for (host, found) in self.revisions(place).await? {
            holds(found == Some(wanted), || {
                format_smolstr!("{host} has revision {found:?}")
            })?;
        }
        Ok(())
    }

    /// Gets the revision in force at each entry process that runs.
    async fn revisions(&mut self, place: &Where) -> Result<Vec<(SmolStr, Option<Revision>)>> {
        let statuses = self.statuses(place).await?;
        let revision_of = |(host, status): (SmolStr, Status)| (host, status.config_revision);
        Ok(statuses.into_iter().map(revision_of).collect())
    }

    /// Gets the status of each entry process that runs.
    async fn statuses(&mut self, place: &Where) -> Result<Vec<(SmolStr, Status)>> {
        let cluster = self.cluster()?;
        let hosts = match place {
            Where::At(host) => vec![host.clone()],
            Where::Everywhere => cluster.host_names(),
        };
        let mut statuses = Vec::new();
        for host in hosts {
            let unit = cluster.host(&host)?;
            if unit.entry.is_some() {
                let address = unit.admin_address(Part::Entry)?;
                statuses.push((host, get(address, STATUS_PATH).await?));
            }
        }
        Ok(statuses)
    }

    fn exit_code(&mut self, host: &str, wanted: i32) -> Result<()> {
        let process = self.cluster()?.host(host)?.part(Part::Entry)?;
        let ended = process.ended()?;
        let code = ended.and_then(|status| status.code());
        holds(code == Some(wanted), || {
            format_smolstr!("it ended with {ended:?}")
        })
    }

    fn new_starts(&mut self, name: &str) -> Result<usize> {
        let unit = self.cluster()?.executor(name)?;
        Ok(unit.starts().len() - unit.noted_starts)
    }

    fn count_starts(&mut self, jobs: &Jobs) -> Result<usize> {
        let starts: Starts = self.starts()?;
        let jobs = self.jobs(jobs)?;
        let started = jobs
            .iter()
            .map(|(_, job)| starts.of(job.submission.submission).count());
        Ok(started.sum())
    }

    /// Gets how many appends to a stream the platform has taken.
    async fn appended(&mut self, stream: &str) -> Result<u64> {
        let address = self.cluster()?.platform_address()?;
        let counts: Counts = get(address, "/control/counts").await?;
        Ok(counts.appended.get(stream).copied().unwrap_or_default())
    }
}

fn holds(is_met: bool, found: impl FnOnce() -> SmolStr) -> Result<()> {
    match is_met {
        true => Ok(()),
        false => Err(Error::unmet(found())),
    }
}

fn is_one_of(heard: &Heard, allowed: &[Hearing]) -> bool {
    allowed.iter().any(|hearing| match hearing {
        Hearing::Outcome(outcome) => heard.outcome() == Some(*outcome),
        Hearing::Lost => matches!(heard, Heard::Lost(_)),
        Hearing::Unreached => {
            matches!(heard, Heard::Lost(error) if error.sent == SendState::NotSent)
        }
    })
}

fn has_code(heard: &Heard, allowed: &[u16]) -> bool {
    match heard {
        Heard::Answer(_, answer) => answer
            .code
            .is_some_and(|code| allowed.contains(&code.number())),
        Heard::Garbage(..) | Heard::Lost(_) => false,
    }
}
