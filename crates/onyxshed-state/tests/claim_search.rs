//! Randomized test of hosts that share one log under every fault that the platform allows.
//!
//! A fixed seed makes every run the same. More cases, or another seed:
//! `PROPTEST_CASES=100000 PROPTEST_RNG_SEED=7 cargo test -p onyxshed-state --test claim_search`.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};

use onyxshed_core::{
    Incarnation, Micros, Millis, Mono, Now, Offset, RatePerS, SubmissionId, UnixMs,
};
use onyxshed_state::{
    AppendFailure, BatchStep, ClaimBook, ClaimOptions, ClaimOutcome, ClaimResult, ClaimStep,
};
use onyxshed_wire::ContentHash;
use onyxshed_wire::record::{ClaimBatch, ClaimRecord};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use rstest::rstest;
use ulid::Ulid;

const SKEW_MS: u64 = 40;
const START_MS: u64 = 1_000_000;
const CASES: u32 = 12_000;
const SEED: u64 = 4;

/// Number of hosts and of submissions in a run. With few submissions, hosts come into conflict
/// sooner.
#[derive(Debug, Clone, Copy)]
struct Shape {
    hosts: usize,
    ids: usize,
}

/// One step of a run. `host` and `id` are valid indexes into the hosts and ids of the simulation.
#[derive(Debug, Clone)]
enum Op {
    Submit {
        host: usize,
        id: usize,
        is_bound: bool,
    },
    TakeOver {
        host: usize,
        id: usize,
    },
    Send {
        host: usize,
        result: AppendResult,
    },
    Arrive {
        index: usize,
    },
    Read {
        host: usize,
        back: u64,
        count: u64,
    },
    StartTask {
        host: usize,
        id: usize,
    },
    Abandon {
        host: usize,
        id: usize,
    },
    Crash {
        host: usize,
    },
    LogUnreachable {
        host: usize,
    },
    StepClock {
        host: usize,
        skew_ms: u64,
    },
    Advance {
        ms: u64,
    },
}

/// Result of an append.
#[derive(Debug, Clone, Copy)]
enum AppendResult {
    Answered,
    Rejected,
    AnswerLost,
    /// The answer is lost, and the record reaches the log later or never.
    Late,
}

impl Op {
    /// Decodes a step from a random number, which is faster to generate than a nested strategy.
    fn decode(code: u32, shape: Shape) -> Op {
        let [kind, a, b, c] = code.to_le_bytes();
        let (host, id) = (usize::from(a) % shape.hosts, usize::from(b) % shape.ids);
        let index = usize::from(b);
        match kind % 64 {
            0..=9 => Op::Submit {
                host,
                id,
                is_bound: c % 16 == 0,
            },
            10..=14 => Op::TakeOver { host, id },
            15..=25 => Op::Send {
                host,
                result: AppendResult::decode(c),
            },
            26..=30 => Op::Arrive { index: index % 4 },
            31..=38 => Op::Read {
                host,
                back: u64::from(b % 3),
                count: u64::from(1 + c % 3),
            },
            39..=45 => Op::Read {
                host,
                back: 0,
                count: u64::MAX,
            },
            46..=51 => Op::StartTask { host, id },
            52..=56 => Op::Abandon { host, id },
            57 => Op::Crash { host },
            58 => Op::LogUnreachable { host },
            59 => Op::StepClock {
                host,
                skew_ms: u64::from(c) % (SKEW_MS + 1),
            },
            60 => Op::Advance {
                ms: u64::from(c) * 3,
            },
            _ => Op::Advance {
                ms: u64::from(c) % 20,
            },
        }
    }
}

impl AppendResult {
    fn decode(code: u8) -> AppendResult {
        match code % 9 {
            0..=3 => AppendResult::Answered,
            4 => AppendResult::Rejected,
            5..=6 => AppendResult::AnswerLost,
            _ => AppendResult::Late,
        }
    }
}

fn ops(shape: Shape) -> impl Strategy<Value = Vec<Op>> {
    let codes = prop::collection::vec(any::<u32>(), 40..160);
    codes.prop_map(move |codes| {
        codes
            .into_iter()
            .map(|code| Op::decode(code, shape))
            .collect()
    })
}

fn options() -> ClaimOptions {
    ClaimOptions {
        horizon_ms: Millis(1_000),
        skew_ms: Millis(SKEW_MS),
        retention_ms: Millis(2_100),
        log_appends_per_s: RatePerS(1_000),
        appends_per_s: RatePerS(500),
        read_back_timeout_ms: Millis(60),
        retry_ms: Millis(1),
        release_delay_ms: Millis(5),
        ..ClaimOptions::default()
    }
}

/// State of a job in the dispatcher. Abandoned jobs are removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Job {
    Waiting,
    Ready(u64),
}

struct Host {
    book: ClaimBook,
    incarnation: Incarnation,
    jobs: BTreeMap<SubmissionId, Job>,
    skew_ms: u64,
}

struct Simulation {
    ms: u64,
    log: Vec<(u64, String)>,
    late: Vec<ClaimBatch>,
    hosts: Vec<Host>,
    failed: BTreeSet<Incarnation>,
    ids: Vec<Ulid>,
    next_number: u64,
    /// For each submission, the jobs that started a task, with the incarnation on which each job
    /// ran.
    starts: BTreeMap<SubmissionId, BTreeMap<u64, Incarnation>>,
    /// For each submission, the failed holders that a take-over was to replace.
    replaced: BTreeMap<SubmissionId, BTreeSet<Incarnation>>,
    tally: Tally,
}

/// Number of times that the search has reached each case that it is meant to test.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    starts: u64,
    take_overs: u64,
    reclaims: u64,
    stale: u64,
    gaps: u64,
}

impl Simulation {
    fn new(shape: Shape) -> Self {
        let mut simulation = Simulation {
            ms: START_MS,
            log: Vec::new(),
            late: Vec::new(),
            hosts: Vec::new(),
            failed: BTreeSet::new(),
            ids: (0..shape.ids as u128)
                .map(|n| Ulid::from_parts(START_MS, n))
                .collect(),
            next_number: 0,
            starts: BTreeMap::new(),
            replaced: BTreeMap::new(),
            tally: Tally::default(),
        };
        for _ in 0..shape.hosts {
            let host = simulation.new_host(0);
            simulation.hosts.push(host);
        }
        simulation
    }

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn new_host(&mut self, skew_ms: u64) -> Host {
        let incarnation = Incarnation(self.number());
        Host {
            book: ClaimBook::new(incarnation, options()),
            incarnation,
            jobs: BTreeMap::new(),
            skew_ms,
        }
    }

    fn now(&self, host: usize) -> Now {
        Now {
            mono: Mono::default() + Micros(self.ms * 1_000),
            wall: UnixMs(self.ms + self.hosts[host].skew_ms),
        }
    }

    /// Returns whether the tasks of `id` may run twice: they may if the random part of the id is
    /// even.
    fn may_run_twice(&self, id: &SubmissionId) -> bool {
        id.ulid.random().is_multiple_of(2)
    }

    fn step(&mut self, op: &Op) {
        match *op {
            Op::Submit { host, id, is_bound } => self.submit(host, id, is_bound),
            Op::TakeOver { host, id } => self.take_over(host, id),
            Op::Send { host, result } => self.send(host, result),
            Op::Arrive { index } if index < self.late.len() => {
                let batch = self.late.remove(index);
                self.append(&batch);
            }
            Op::Arrive { .. } => {}
            Op::Read { host, back, count } => self.read(host, back, count),
            Op::StartTask { host, id } => self.start_task(host, id),
            Op::Abandon { host, id } => self.abandon(host, id),
            Op::Crash { host } => {
                self.failed.insert(self.hosts[host].incarnation);
                self.hosts[host] = self.new_host(self.hosts[host].skew_ms);
            }
            Op::LogUnreachable { host } => {
                let results = self.hosts[host].book.mark_log_unreachable();
                self.apply_claim_results(host, &results);
            }
            Op::StepClock { host, skew_ms } => self.hosts[host].skew_ms = skew_ms,
            Op::Advance { ms } => self.advance(ms),
        }
    }

    /// Advances the time, and replaces each id that is too old to be accepted with a new id.
    fn advance(&mut self, ms: u64) {
        self.ms += ms;
        let mut number = u128::from(self.number());
        for (index, ulid) in (0..).zip(&mut self.ids) {
            if ulid.timestamp_ms() + 1_500 < self.ms {
                number += 1;
                *ulid = Ulid::from_parts(self.ms, number * 16 + index);
            }
        }
    }

    fn submit(&mut self, host: usize, id: usize, is_bound: bool) {
        let bound_to = is_bound.then(|| self.hosts[host].incarnation);
        let id = SubmissionId {
            ulid: self.ids[id],
            bound_to,
        };
        let now = self.now(host);
        self.request_claim(host, id, |book| book.request_start(now, id, ContentHash(1)));
    }

    fn take_over(&mut self, host: usize, id: usize) {
        let id = SubmissionId::unbound(self.ids[id]);
        let holder = self.hosts[host].book.holder(id);
        let Some(gone) = holder.filter(|holder| self.failed.contains(holder)) else {
            return;
        };
        if self.may_run_twice(&id) {
            let now = self.now(host);
            self.tally.take_overs += 1;
            self.replaced.entry(id).or_default().insert(gone);
            self.request_claim(host, id, |book| {
                book.take_over(now, id, ContentHash(1), gone)
            });
        }
    }

    fn request_claim(
        &mut self,
        host: usize,
        id: SubmissionId,
        request: impl Fn(&mut ClaimBook) -> ClaimStep,
    ) {
        if self.hosts[host].jobs.contains_key(&id) {
            return;
        }
        let number = self.number();
        let host = &mut self.hosts[host];
        match request(&mut host.book) {
            ClaimStep::Start => host.jobs.insert(id, Job::Ready(number)),
            ClaimStep::Wait => host.jobs.insert(id, Job::Waiting),
            _ => None,
        };
    }

    fn send(&mut self, host: usize, result: AppendResult) {
        let now = self.now(host);
        let overdue = self.hosts[host].book.tick(now);
        self.apply_claim_results(host, &overdue);
        let BatchStep::Append(batch) = self.hosts[host].book.next_batch(now) else {
            return;
        };
        let append_result = match result {
            AppendResult::Answered => Ok(self.append(&batch)),
            AppendResult::Rejected => Err(AppendFailure::NotAppended),
            AppendResult::AnswerLost => {
                self.append(&batch);
                Err(AppendFailure::AnswerLost)
            }
            AppendResult::Late => {
                self.late.push(batch.clone());
                Err(AppendFailure::AnswerLost)
            }
        };
        let results = self.hosts[host]
            .book
            .apply_append_result(now, batch.batch, append_result);
        self.apply_claim_results(host, &results);
    }

    fn append(&mut self, batch: &ClaimBatch) -> Offset {
        let record = ClaimRecord::ClaimsV1(batch.clone()).encode();
        self.log.push((self.ms, record));
        Offset(self.log.len() as u64 - 1)
    }

    /// Reads up to `count` new records on a host, after reading the `back` records before them
    /// again. Expired records are not read.
    fn read(&mut self, host: usize, back: u64, count: u64) {
        let now = self.now(host);
        let oldest_ms = self.ms - options().retention_ms.0.min(self.ms);
        let oldest = self
            .log
            .iter()
            .take_while(|(at, _)| *at < oldest_ms)
            .count() as u64;
        self.hosts[host].book.skip_to(now, Offset(oldest));
        let next = self.hosts[host].book.next().0;
        let from = next.saturating_sub(back).max(oldest);
        let end = next.saturating_add(count).min(self.log.len() as u64);
        for offset in from..end {
            let (_, data) = &self.log[usize::try_from(offset).expect("small")];
            let results = self.hosts[host]
                .book
                .apply_record(now, Offset(offset), data);
            self.apply_claim_results(host, &results);
        }
        self.hosts[host]
            .book
            .mark_caught_up(Offset(self.log.len() as u64));
    }

    fn apply_claim_results(&mut self, host: usize, results: &[ClaimResult]) {
        for ClaimResult {
            submission,
            outcome,
        } in results
        {
            let number = self.number();
            let jobs = &mut self.hosts[host].jobs;
            assert_eq!(
                jobs.get(submission),
                Some(&Job::Waiting),
                "settled a claim that no job waits for"
            );
            match outcome {
                ClaimOutcome::Won => jobs.insert(*submission, Job::Ready(number)),
                _ => jobs.remove(submission),
            };
        }
    }

    fn start_task(&mut self, host: usize, id: usize) {
        let now = self.now(host);
        let ulid = self.ids[id];
        let is_this = |entry: &(&SubmissionId, &Job)| entry.0.ulid == ulid;
        let Host {
            book,
            jobs,
            incarnation,
            ..
        } = &self.hosts[host];
        for (id, job) in jobs.iter().filter(is_this) {
            if let Job::Ready(number) = job
                && book.may_start(now, *id)
            {
                self.starts
                    .entry(*id)
                    .or_default()
                    .insert(*number, *incarnation);
                self.tally.starts += 1;
            }
        }
    }

    /// Abandons a job of which no task was started.
    fn abandon(&mut self, host: usize, id: usize) {
        let id = SubmissionId::unbound(self.ids[id]);
        let now = self.now(host);
        let is_started =
            |number: &u64| self.starts.get(&id).is_some_and(|s| s.contains_key(number));
        let host = &mut self.hosts[host];
        match host.jobs.get(&id) {
            Some(Job::Ready(number)) if is_started(number) => return,
            Some(Job::Ready(_)) => self.tally.reclaims += 1,
            Some(Job::Waiting) => {}
            None => return,
        }
        host.book.release(now, id);
        host.jobs.remove(&id);
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for (id, jobs) in &self.starts {
            let was_replaced = |incarnation: &&Incarnation| {
                let replaced = self.replaced.get(id);
                replaced.is_some_and(|replaced| replaced.contains(*incarnation))
            };
            let hosts: BTreeSet<&Incarnation> = jobs.values().collect();
            let unreplaced = jobs
                .values()
                .filter(|incarnation| !was_replaced(incarnation))
                .count();
            let is_allowed = unreplaced <= 1 && hosts.len() == jobs.len();
            prop_assert!(is_allowed, "{id} was started by jobs {jobs:?}");
        }
        Ok(())
    }
}

/// Callers repeatedly send the same submissions to all hosts while appends are rejected, lose their
/// answers or arrive late and out of order, records are read twice or expire unread, hosts are
/// frozen for any time or fail, and clocks step within the skew.
///
/// After every step at most one job of a submission has started a task, not counting failed
/// holders that were replaced because the class may run twice.
#[rstest]
#[case::three_hosts(Shape { hosts: 3, ids: 2 })]
#[case::two_hosts(Shape { hosts: 2, ids: 1 })]
fn no_submission_starts_twice(#[case] shape: Shape) {
    let total = Cell::new(Tally::default());
    let cases = std::env::var("PROPTEST_CASES")
        .ok()
        .and_then(|n| n.parse().ok());
    let seed = std::env::var("PROPTEST_RNG_SEED")
        .ok()
        .and_then(|n| n.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(CASES),
        rng_seed: RngSeed::Fixed(seed.unwrap_or(SEED)),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    };
    let run = |ops: Vec<Op>| {
        let mut simulation = Simulation::new(shape);
        for op in &ops {
            simulation.step(op);
            simulation.check()?;
        }
        let counts = simulation.hosts.iter().map(|host| host.book.counts());
        let (stale, gaps) = counts.fold((0, 0), |sum, c| (sum.0 + c.stale_batches, sum.1 + c.gaps));
        let sum = total.get();
        total.set(Tally {
            starts: sum.starts + simulation.tally.starts,
            take_overs: sum.take_overs + simulation.tally.take_overs,
            reclaims: sum.reclaims + simulation.tally.reclaims,
            stale: sum.stale + stale,
            gaps: sum.gaps + gaps,
        });
        Ok(())
    };
    let result = TestRunner::new(config).run(&ops(shape), run);
    let Tally {
        starts,
        take_overs,
        reclaims,
        stale,
        gaps,
    } = total.get();
    println!("{:?}", total.get());
    if let Err(failure) = result {
        panic!("{failure}");
    }
    let is_thorough = [starts, take_overs, reclaims, stale, gaps]
        .iter()
        .all(|count| *count > 20);
    assert!(is_thorough, "the search is too shallow: {:?}", total.get());
}
