//! Callers without the proxy, which go on using their open connections until the host's process is gone.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_io::Timer;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use smol_str::{SmolStr, format_smolstr};

use crate::callers::{
    Answer, DEADLINE_MS, JobSizes, NewJob, RESEND_DELAY, SENDS_MAX, SubmittedJob, SubmittedJobs,
    job_body, parse_answer,
};
use crate::checks::now_ms;
use crate::direct::{DirectConnection, JobRequest, Outcome, Writing};
use crate::faults::FaultMix;

/// The time between two bursts, in milliseconds.
const BURST_PERIOD_MS: u64 = 1_100;

/// The work of the task of a slow job.
const SLOW_JOB_MS: [u64; 3] = [900, 1_800, 2_600];

/// The deadline that a caller sends with a slow job.
const SLOW_JOB_DEADLINE_MS: u64 = 4_000;

/// The work of the task of a long job: on the fastest executor, which has speed 1.6, it takes longer than the
/// platform's grace of 6 s.
const LONG_JOB_MS: u64 = 10_000;

/// The estimate of the duration of a long job, short enough that the job is accepted.
const LONG_JOB_ESTIMATE_MS: u64 = 4_000;

/// The deadline that a caller sends with a long job.
const LONG_JOB_DEADLINE_MS: u64 = 7_500;

/// The time that a caller waits for an answer after the deadline that it sent.
const ANSWER_MARGIN_MS: u64 = 500;

/// When a caller submits jobs, and which.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Habit {
    /// Pauses of 5 to 80 ms between jobs.
    Steady,
    /// Pauses of 0 to 4 s between jobs, so that connections are idle during a whole stop.
    Pausing,
    /// A job each `BURST_PERIOD_MS`, at the same time as all callers with this habit: in between, a host may have no
    /// request in flight.
    Bursts,
    /// Jobs of 0.9 to 2.6 s to the same host until it accepts none any more. They keep the owner of their pool running
    /// when it stops.
    Slow,
    /// One job that takes longer than the platform's grace, then as [`Habit::Slow`].
    LongFirst,
    /// The next job immediately after each answer, to the same host until it accepts none any more.
    Persistent,
}

impl Habit {
    /// Returns whether a caller submits each job to the host of the previous one while that host accepts jobs.
    fn keeps_host(self) -> bool {
        matches!(self, Habit::Slow | Habit::LongFirst | Habit::Persistent)
    }
}

/// Draws the habits of the callers that submit jobs during the faults of a mix of planned work.
pub fn draw_habits(rng: &mut SmallRng, mix: FaultMix, callers: usize) -> Vec<Habit> {
    let counts = match mix {
        FaultMix::Stops => vec![
            (Habit::Pausing, callers),
            (Habit::Bursts, callers * 3),
            (Habit::Slow, callers.div_ceil(4)),
            (Habit::LongFirst, callers.div_ceil(8)),
            // Persistent callers keep their hosts busy until the end of the drain, which hides what happens to
            // hosts whose drain ends early.
            (
                Habit::Persistent,
                callers.div_ceil(4) * rng.random_range(0..2),
            ),
        ],
        _ => vec![(Habit::Steady, callers), (Habit::Pausing, callers)],
    };
    let habits = counts.into_iter();
    habits
        .flat_map(|(habit, count)| std::iter::repeat_n(habit, count))
        .collect()
}

/// A caller with a connection to each host, which it uses until the host closes it.
#[derive(Debug)]
pub struct DirectCaller {
    hosts: Vec<SocketAddr>,
    habit: Habit,
    rng: SmallRng,
    connections: BTreeMap<SocketAddr, DirectConnection>,
    /// How the requests for the current job were cut off.
    cut_off: Vec<SmolStr>,
}

impl DirectCaller {
    /// Creates a caller. The seed determines its jobs, its pauses and the hosts that it uses.
    pub fn new(mut hosts: Vec<SocketAddr>, habit: Habit, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        hosts.shuffle(&mut rng);
        DirectCaller {
            hosts,
            habit,
            rng,
            connections: BTreeMap::new(),
            cut_off: Vec::new(),
        }
    }

    /// Submits jobs one after another until the time `until`.
    pub async fn run(mut self, until: Instant, jobs: SubmittedJobs) {
        if self.habit == Habit::LongFirst {
            let job = self.submit_long_job().await;
            jobs.borrow_mut().push(job);
        }
        loop {
            self.pause(until).await;
            if Instant::now() >= until {
                return;
            }
            let new_job = self.draw_job();
            let job = self.submit_until_answered(new_job).await;
            jobs.borrow_mut().push(job);
        }
    }

    /// Waits until the next job is due.
    async fn pause(&mut self, until: Instant) {
        let pause_ms = match self.habit {
            Habit::Bursts => {
                let left_ms = until.saturating_duration_since(Instant::now()).as_millis();
                u64::try_from(left_ms).unwrap_or(u64::MAX) % BURST_PERIOD_MS + 1
            }
            Habit::Steady => self.rng.random_range(5..80),
            Habit::Pausing => self.rng.random_range(0..4_000),
            Habit::Slow | Habit::LongFirst => self.rng.random_range(0..400),
            Habit::Persistent => self.rng.random_range(0..5),
        };
        Timer::after(Duration::from_millis(pause_ms)).await;
    }

    /// Draws a job, and the deadline that is sent with it.
    fn draw_job(&mut self) -> (NewJob, u64) {
        match self.habit {
            Habit::Slow | Habit::LongFirst => {
                let ms = SLOW_JOB_MS[self.rng.random_range(0..SLOW_JOB_MS.len())];
                (self.new_job(ms, ms), SLOW_JOB_DEADLINE_MS)
            }
            _ => (NewJob::draw(&mut self.rng, JobSizes::Small), DEADLINE_MS),
        }
    }

    fn new_job(&mut self, ms: u64, estimate_ms: u64) -> NewJob {
        NewJob {
            id: format_smolstr!("{:016x}", self.rng.random::<u64>()),
            tasks: 1,
            body: job_body(&ms.to_string(), 1, estimate_ms),
        }
    }

    /// Draws the parts in which a request is written: one in four is written in two.
    fn draw_writing(&mut self) -> Writing {
        match self.rng.random_range(0..4) {
            0 => Writing::HeadFirst(Duration::from_millis(self.rng.random_range(10..300))),
            _ => Writing::Whole,
        }
    }

    /// Submits a job that takes longer than the grace, once, within the first second.
    async fn submit_long_job(&mut self) -> SubmittedJob {
        let pause = Duration::from_millis(self.rng.random_range(0..1_000));
        Timer::after(pause).await;
        let job = self.new_job(LONG_JOB_MS, LONG_JOB_ESTIMATE_MS);
        let request = self.request(&job, LONG_JOB_DEADLINE_MS);
        let (started_at, sent_ms) = (Instant::now(), now_ms());
        let answer = self.submit(&request).await;
        self.submitted(job, vec![(sent_ms, answer)], started_at)
    }

    fn request(&mut self, job: &NewJob, deadline_ms: u64) -> JobRequest {
        JobRequest {
            job: job.id.clone(),
            body: job.body.clone(),
            deadline_ms,
            writing: self.draw_writing(),
            timeout: Duration::from_millis(deadline_ms + ANSWER_MARGIN_MS),
        }
    }

    async fn submit_until_answered(&mut self, (job, deadline_ms): (NewJob, u64)) -> SubmittedJob {
        let started_at = Instant::now();
        let mut answers = Vec::new();
        for _ in 0..SENDS_MAX {
            let request = self.request(&job, deadline_ms);
            let sent_ms = now_ms();
            let answer = self.submit(&request).await;
            answers.push((sent_ms, answer));
            if answer != Answer::Unknown {
                break;
            }
            Timer::after(RESEND_DELAY).await;
        }
        self.submitted(job, answers, started_at)
    }

    fn submitted(
        &mut self,
        job: NewJob,
        answers: Vec<(u64, Answer)>,
        started_at: Instant,
    ) -> SubmittedJob {
        let (sent_ms, answers) = answers.into_iter().unzip();
        SubmittedJob {
            job: job.id,
            tasks: job.tasks,
            sent_ms,
            answers,
            cut_off: std::mem::take(&mut self.cut_off),
            elapsed: started_at.elapsed(),
        }
    }

    /// Submits a job once, to the first host that accepts the request: in a random order, or in the order of the
    /// previous job for a caller that keeps its host.
    async fn submit(&mut self, request: &JobRequest) -> Answer {
        if !self.habit.keeps_host() {
            self.hosts.shuffle(&mut self.rng);
        }
        for host in self.hosts.clone() {
            let Some(mut connection) = self.connect(host).await else {
                continue;
            };
            match connection.send(request).await {
                Outcome::Answered(reply) => {
                    if !reply.closes_connection {
                        self.connections.insert(host, connection);
                    }
                    return parse_answer(reply.status, &reply.body);
                }
                Outcome::NotSent => {}
                Outcome::CutOff(how) => {
                    self.cut_off.push(format_smolstr!("{host}, {how}"));
                    return Answer::Unknown;
                }
                Outcome::TimedOut => return Answer::Unknown,
            }
        }
        Answer::Unknown
    }

    /// Returns the connection to a host if it is open, or a new one; `None` if the host refuses it.
    async fn connect(&mut self, host: SocketAddr) -> Option<DirectConnection> {
        match self.connections.remove(&host) {
            Some(connection) if connection.is_open() => Some(connection),
            _ => DirectConnection::open(host).await,
        }
    }
}
