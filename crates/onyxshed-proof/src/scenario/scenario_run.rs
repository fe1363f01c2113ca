//! The state of a running scenario: the cluster, the jobs and the results of their requests.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use async_executor::LocalExecutor;
use http_types::Method;
use onyxshed_core::{ClassName, Incarnation, Millis, Outcome, SubmissionId};
use onyxshed_standins::upstream::Payload;
use onyxshed_wire::caller::{Answer, CopyMark, JOBS_PATH, Submission};
use smol_str::{SmolStr, format_smolstr};
use ulid::Ulid;

use crate::caller::{self, TimedCallResult};
use crate::cluster::{Cluster, ClusterOptions, Topology};
use crate::error::{Error, Result};
use crate::truth::{Exchange, JobFacts, Starts, check};

use super::language::{Content, Jobs};

/// A request that was sent for a job.
#[derive(Debug)]
pub struct Request {
    /// Name of the entry host that received the request.
    pub host: SmolStr,
    /// Whether the request carried the job's own content. Answers to different content say nothing
    /// about the job.
    pub is_own: bool,
    /// The time of the request, and its result.
    pub exchange: Rc<RefCell<Exchange>>,
}

/// A job that a scenario has created, and the requests that were sent for it.
#[derive(Debug)]
pub struct Job {
    /// The submission that callers of the job send.
    pub submission: Submission,
    /// The expected result of each task.
    pub results: Vec<Vec<u8>>,
    /// All requests that were sent for the job.
    pub requests: Vec<Request>,
}

impl Job {
    /// Returns the requests that were sent for the job; if a host is given, those to that host.
    pub fn requests_to(&self, host: Option<&SmolStr>) -> impl Iterator<Item = &Request> {
        let is_meant = move |request: &&Request| host.is_none_or(|host| *host == request.host);
        self.requests.iter().filter(is_meant)
    }

    /// Returns the mark for the next copy of the submission that the protocol for callers requires:
    /// `First` if there was no request, `Unmarked` if all earlier requests were answered "not run",
    /// and `Again` otherwise.
    pub fn next_copy_mark(&self) -> CopyMark {
        let is_not_run = |request: &Request| {
            let exchange = request.exchange.borrow();
            let result = exchange.result.as_ref();
            result.and_then(|timed_result| timed_result.result.outcome()) == Some(Outcome::NotRun)
        };
        match self.requests.iter().all(is_not_run) {
            true if self.requests.is_empty() => CopyMark::First,
            true => CopyMark::Unmarked,
            false => CopyMark::Again,
        }
    }
}

/// The state of a running scenario.
pub struct ScenarioRun {
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) options: ClusterOptions,
    pub(super) jobs: BTreeMap<SmolStr, Job>,
    pub(super) may_run_twice: BTreeMap<ClassName, bool>,
    bound_incarnations: BTreeMap<SmolStr, Incarnation>,
    cluster: Option<Cluster>,
}

impl ScenarioRun {
    /// Creates the state of a scenario whose cluster is not started.
    pub fn new(executor: Rc<LocalExecutor<'static>>) -> Self {
        ScenarioRun {
            executor,
            options: ClusterOptions::default(),
            jobs: BTreeMap::new(),
            may_run_twice: BTreeMap::new(),
            bound_incarnations: BTreeMap::new(),
            cluster: None,
        }
    }

    /// Starts the cluster with the options that `given` statements have set.
    pub async fn start(&mut self, topology: &Topology) -> Result<()> {
        self.cluster = Some(Cluster::start(topology, self.options.clone()).await?);
        Ok(())
    }

    /// Returns the cluster that [`ScenarioRun::start`] has started.
    ///
    /// # Errors
    ///
    /// Fails if the cluster is not started.
    pub fn cluster(&mut self) -> Result<&mut Cluster> {
        let missing = || Error::unmet("the cluster is not started; `start` must come first");
        self.cluster.as_mut().ok_or_else(missing)
    }

    /// Returns the last lines of every process's log, or an empty text if the cluster is not
    /// started.
    pub fn logs(&self) -> String {
        self.cluster.as_ref().map(Cluster::logs).unwrap_or_default()
    }

    /// Returns the names of the jobs that a statement applies to. Named jobs need not have been
    /// submitted.
    pub fn job_names(&self, jobs: &Jobs) -> Vec<SmolStr> {
        match jobs {
            Jobs::Named(names) => names.clone(),
            Jobs::Every => self.jobs.keys().cloned().collect(),
        }
    }

    /// Returns the job with this name. Fails if it was not submitted.
    pub fn job(&self, name: &SmolStr) -> Result<&Job> {
        let missing = || Error::unmet(format_smolstr!("{name} was not submitted"));
        self.jobs.get(name).ok_or_else(missing)
    }

    /// Returns the selected jobs with their names.
    ///
    /// # Errors
    ///
    /// Fails if one of them was not submitted.
    pub fn jobs(&self, jobs: &Jobs) -> Result<Vec<(SmolStr, &Job)>> {
        let names = self.job_names(jobs).into_iter();
        names
            .map(|name| self.job(&name).map(|job| (name.clone(), job)))
            .collect()
    }

    /// Fetches the incarnation of an entry host, and binds the id of the job `name`, which is
    /// submitted later, to that incarnation.
    pub async fn bind(&mut self, name: SmolStr, host: &str) -> Result<()> {
        let address = self.cluster()?.host(host)?.caller_address()?;
        let path = format!("{JOBS_PATH}/{}", SubmissionId::unbound(Ulid::generate()));
        let reply = onyxshed_http::client::call_once(
            address,
            Method::Get,
            &path,
            Vec::new(),
            crate::remote::WAIT_TIMEOUT,
        )
        .await
        .map_err(|error| Error::call("fetch an incarnation", error))?;
        let answer = Answer::decode(&reply.body).map_err(|error| Error::call("bind", error))?;
        let bind_to = answer.bind_to;
        let incarnation =
            bind_to.ok_or_else(|| Error::call("bind", "the answer contains no incarnation"))?;
        self.bound_incarnations.insert(name, incarnation);
        Ok(())
    }

    /// Returns the submission to send for the job `name`. New content creates the job, and replaces
    /// an earlier job of that name.
    pub fn submission(&mut self, name: &SmolStr, content: &Content) -> Result<Submission> {
        match content {
            Content::Same => Ok(self.job(name)?.submission.clone()),
            Content::Other => {
                let mut submission = self.job(name)?.submission.clone();
                submission.tasks[0].push(b' ');
                Ok(submission)
            }
            Content::New {
                class,
                tasks,
                service,
                failing,
                deadline,
            } => {
                let id = SubmissionId {
                    ulid: Ulid::generate(),
                    bound_to: self.bound_incarnations.get(name).copied(),
                };
                let job = make_job(id, class, *tasks, *service, *failing, *deadline);
                let submission = job.submission.clone();
                self.jobs.insert(name.clone(), job);
                Ok(submission)
            }
        }
    }

    /// Spawns a request and adds it to the requests of the job `name`; its result is stored there
    /// once it is received.
    pub fn send_request<F>(
        &mut self,
        name: &SmolStr,
        host: SmolStr,
        is_own: bool,
        request: F,
    ) -> Result<()>
    where
        F: Future<Output = TimedCallResult> + 'static,
    {
        let exchange = Rc::new(RefCell::new(Exchange {
            sent_at_ms: caller::now_ms(),
            result: None,
        }));
        let missing = || Error::unmet(format_smolstr!("{name} was not submitted"));
        let job = self.jobs.get_mut(name).ok_or_else(missing)?;
        job.requests.push(Request {
            host,
            is_own,
            exchange: exchange.clone(),
        });
        let store_result = async move {
            let result = request.await;
            exchange.borrow_mut().result = Some(result);
        };
        self.executor.spawn(store_result).detach();
        Ok(())
    }

    /// Returns the task starts that all executors have recorded. Fails if the cluster is not
    /// started.
    pub fn starts(&mut self) -> Result<Starts> {
        Ok(Starts::new(self.cluster()?.starts()))
    }

    /// Checks the answers of every job against the recorded starts, if the cluster was started.
    pub fn check_invariants(&mut self) -> Result<()> {
        if self.cluster.is_none() {
            return Ok(());
        }
        let starts = self.starts()?;
        self.jobs
            .values()
            .try_for_each(|job| check(&self.facts(job), &starts))
    }

    /// Describes every job with the times and results of its requests, to be shown when a scenario
    /// fails.
    pub fn describe_jobs(&self) -> String {
        let mut text = String::new();
        for (name, job) in &self.jobs {
            text += &format!("{name} {}\n", job.submission.submission);
            for request in &job.requests {
                let exchange = request.exchange.borrow();
                let result = match &exchange.result {
                    Some(timed_result) => {
                        format!("{} {}", timed_result.received_at_ms, timed_result.result)
                    }
                    None => "no answer yet".to_owned(),
                };
                text += &format!("  {} {} -> {result}\n", request.host, exchange.sent_at_ms);
            }
        }
        text
    }

    fn facts(&self, job: &Job) -> JobFacts {
        let class = &job.submission.class;
        let own = job.requests.iter().filter(|request| request.is_own);
        JobFacts {
            id: job.submission.submission,
            may_run_twice: self.may_run_twice.get(class).copied().unwrap_or(false),
            results: job.results.clone(),
            exchanges: own
                .map(|request| request.exchange.borrow().clone())
                .collect(),
        }
    }
}

fn make_job(
    id: SubmissionId,
    class: &ClassName,
    tasks: usize,
    service: Millis,
    failing: Option<usize>,
    deadline: Option<Millis>,
) -> Job {
    let mut payloads = Vec::new();
    let mut results = Vec::new();
    for number in 1..=tasks {
        let echo = format!("result {number} of {id}");
        let payload = Payload {
            service_ms: Some(service.0),
            fail: failing == Some(number),
            echo: Some(echo.clone()),
            result_bytes: None,
        };
        payloads.push(serde_json::to_vec(&payload).expect("a payload can be serialized as JSON"));
        results.push(echo.into_bytes());
    }
    let submission = Submission {
        submission: id,
        class: class.clone(),
        deadline_ms: deadline,
        copy: CopyMark::First,
        tasks: payloads,
    };
    Job {
        submission,
        results,
        requests: Vec::new(),
    }
}
