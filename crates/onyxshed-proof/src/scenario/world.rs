//! What a running scenario knows: the cluster, the jobs and what was heard.

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

use crate::caller::{self, HeardAt};
use crate::cluster::{Cluster, Given, Topology};
use crate::error::{Error, Result};
use crate::truth::{Exchange, JobFacts, Starts, check};

use super::language::{Content, Jobs};

/// What is sent for a job, from where it was answered.
#[derive(Debug)]
pub struct Copy {
    /// The entry host asked.
    pub host: SmolStr,
    /// Whether it carried the job's own content; answers to other content prove nothing of the job.
    pub is_own: bool,
    /// When it was sent, and what was heard.
    pub exchange: Rc<RefCell<Exchange>>,
}

/// One job.
#[derive(Debug)]
pub struct Job {
    /// What its callers send.
    pub submission: Submission,
    /// The expected results.
    pub results: Vec<Vec<u8>>,
    /// Every request about it.
    pub copies: Vec<Copy>,
}

impl Job {
    /// Gets its copies, or those that were sent to one entry host.
    pub fn copies_from(&self, host: Option<&SmolStr>) -> impl Iterator<Item = &Copy> {
        let is_meant = move |copy: &&Copy| host.is_none_or(|host| *host == copy.host);
        self.copies.iter().filter(is_meant)
    }

    /// Gets what a truthful caller says of the copy it sends next.
    pub fn next_mark(&self) -> CopyMark {
        let is_settled = |copy: &Copy| {
            let exchange = copy.exchange.borrow();
            let heard = exchange.heard.as_ref();
            heard.and_then(|heard_at| heard_at.heard.outcome()) == Some(Outcome::NotRun)
        };
        match self.copies.iter().all(is_settled) {
            true if self.copies.is_empty() => CopyMark::First,
            true => CopyMark::Unmarked,
            false => CopyMark::Again,
        }
    }
}

/// The state of a running scenario.
pub struct World {
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) given: Given,
    pub(super) jobs: BTreeMap<SmolStr, Job>,
    pub(super) may_run_twice: BTreeMap<ClassName, bool>,
    bound: BTreeMap<SmolStr, Incarnation>,
    cluster: Option<Cluster>,
}

impl World {
    /// Makes a world in which nothing runs yet.
    pub fn new(executor: Rc<LocalExecutor<'static>>) -> Self {
        World {
            executor,
            given: Given::default(),
            jobs: BTreeMap::new(),
            may_run_twice: BTreeMap::new(),
            bound: BTreeMap::new(),
            cluster: None,
        }
    }

    /// Starts everything.
    pub async fn start(&mut self, topology: &Topology) -> Result<()> {
        self.cluster = Some(Cluster::start(topology, self.given.clone()).await?);
        Ok(())
    }

    /// Gets the cluster.
    pub fn cluster(&mut self) -> Result<&mut Cluster> {
        let missing = || Error::unmet("nothing runs yet: `start` comes first");
        self.cluster.as_mut().ok_or_else(missing)
    }

    /// Gets the end of every process's log.
    pub fn logs(&self) -> String {
        self.cluster.as_ref().map(Cluster::logs).unwrap_or_default()
    }

    /// Gets the names of jobs.
    pub fn names(&self, jobs: &Jobs) -> Vec<SmolStr> {
        match jobs {
            Jobs::Named(names) => names.clone(),
            Jobs::Every => self.jobs.keys().cloned().collect(),
        }
    }

    /// Gets a job that was submitted.
    pub fn job(&self, name: &SmolStr) -> Result<&Job> {
        let missing = || Error::unmet(format_smolstr!("{name} was not submitted"));
        self.jobs.get(name).ok_or_else(missing)
    }

    /// Gets the jobs that were submitted.
    pub fn jobs(&self, jobs: &Jobs) -> Result<Vec<(SmolStr, &Job)>> {
        let names = self.names(jobs).into_iter();
        names
            .map(|name| self.job(&name).map(|job| (name.clone(), job)))
            .collect()
    }

    /// Learns an entry host's incarnation and binds a job's id to it.
    pub async fn bind(&mut self, name: SmolStr, host: &str) -> Result<()> {
        let address = self.cluster()?.host(host)?.caller_address()?;
        let path = format!("{JOBS_PATH}/{}", SubmissionId::unbound(Ulid::generate()));
        let reply = onyxshed_http::client::call_once(
            address,
            Method::Get,
            &path,
            Vec::new(),
            crate::remote::WAIT_CEILING,
        )
        .await
        .map_err(|error| Error::call("learn an incarnation", error))?;
        let answer = Answer::decode(&reply.body).map_err(|error| Error::call("bind", error))?;
        let bind_to = answer.bind_to;
        let incarnation = bind_to.ok_or_else(|| Error::call("bind", "the answer names none"))?;
        self.bound.insert(name, incarnation);
        Ok(())
    }

    /// Makes a job unless it is there, and gets what to send for it.
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
                    bound_to: self.bound.get(name).copied(),
                };
                let job = make_job(id, class, *tasks, *service, *failing, *deadline);
                let submission = job.submission.clone();
                self.jobs.insert(name.clone(), job);
                Ok(submission)
            }
        }
    }

    /// Begins a request; what is heard is noted when it comes.
    pub fn ask<F>(&mut self, name: &SmolStr, host: SmolStr, is_own: bool, request: F) -> Result<()>
    where
        F: Future<Output = HeardAt> + 'static,
    {
        let exchange = Rc::new(RefCell::new(Exchange {
            sent_at_ms: caller::now_ms(),
            heard: None,
        }));
        let missing = || Error::unmet(format_smolstr!("{name} was not submitted"));
        let job = self.jobs.get_mut(name).ok_or_else(missing)?;
        job.copies.push(Copy {
            host,
            is_own,
            exchange: exchange.clone(),
        });
        let note = async move {
            let heard = request.await;
            exchange.borrow_mut().heard = Some(heard);
        };
        self.executor.spawn(note).detach();
        Ok(())
    }

    /// Gets every start on every executor.
    pub fn starts(&mut self) -> Result<Starts> {
        Ok(Starts::new(self.cluster()?.starts()))
    }

    /// Checks what must hold of every job.
    pub fn check_truth(&mut self) -> Result<()> {
        if self.cluster.is_none() {
            return Ok(());
        }
        let starts = self.starts()?;
        self.jobs
            .values()
            .try_for_each(|job| check(&self.facts(job), &starts))
    }

    /// Describes every job with what was heard.
    pub fn describe_jobs(&self) -> String {
        let mut text = String::new();
        for (name, job) in &self.jobs {
            text += &format!("{name} {}\n", job.submission.submission);
            for copy in &job.copies {
                let exchange = copy.exchange.borrow();
                let heard = match &exchange.heard {
                    Some(heard_at) => format!("{} {}", heard_at.at_ms, heard_at.heard),
                    None => "no answer yet".to_owned(),
                };
                text += &format!("  {} {} -> {heard}\n", copy.host, exchange.sent_at_ms);
            }
        }
        text
    }

    fn facts(&self, job: &Job) -> JobFacts {
        let class = &job.submission.class;
        let own = job.copies.iter().filter(|copy| copy.is_own);
        JobFacts {
            id: job.submission.submission,
            may_run_twice: self.may_run_twice.get(class).copied().unwrap_or(false),
            results: job.results.clone(),
            exchanges: own.map(|copy| copy.exchange.borrow().clone()).collect(),
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
        payloads.push(serde_json::to_vec(&payload).expect("a payload is plain JSON"));
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
        copies: Vec::new(),
    }
}
