//! Measures the cost of a claim, a configuration record and a member in memory, time and bytes.
//!
//! `cargo run --release -p onyxshed-state --example slopes` prints the tables of docs/CAPACITY.md.
//! Memory is the growth of the resident set while many copies are made, so that rounding to whole
//! pages does not matter.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

use onyxshed_core::{
    ChangeId, ClassTarget, Incarnation, Micros, Millis, Mono, Now, Offset, Revision, SubmissionId,
    UnixMs,
};
use onyxshed_state::{
    ClaimBook, ClaimOptions, ConfigFold, Heartbeat, LoadDigest, MemberOptions, MemberTable,
    RepublishStep,
};
use onyxshed_wire::ContentHash;
use onyxshed_wire::record::{
    ChangeBody, Claim, ClaimBatch, ClaimRecord, ConfigChange, ConfigRecord,
};
use ulid::Ulid;

/// Number of records in all copies together when the memory of one record is measured.
const RECORDS: usize = 400_000;

/// Claims in a batch, about as many as a busy host sends.
const BATCH: usize = 100;

/// Number of rounds over which members are measured.
const ROUNDS: u64 = 200;

const START_MS: u64 = 1_000_000;

fn main() {
    println!("| claims | bytes each | read ns | consult ns | expire ns | on the log, bytes |");
    println!("|---|---|---|---|---|---|");
    for count in [100, 500, 1_000, 5_000, 10_000, 50_000] {
        measure_claims(count);
    }
    println!("\n| classes | bytes each | change ns | change, bytes | snapshot, bytes | records |");
    println!("|---|---|---|---|---|---|");
    for count in [10, 100, 1_000, 10_000] {
        measure_configs(count);
    }
    println!("\n| members | bytes each | round us | sent, bytes/s | us of processor a second |");
    println!("|---|---|---|---|---|");
    for count in [2, 4, 8, 16, 32, 64] {
        measure_members(count);
    }
}

fn now(ms: u64) -> Now {
    Now {
        mono: Mono::default() + Micros(ms * 1_000),
        wall: UnixMs(ms),
    }
}

/// Returns the resident set size in bytes.
fn resident() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("Linux");
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0_usize) * 4_096
}

/// Returns the resident bytes per record, measured over copies with `count` records each.
fn bytes_each<T>(count: usize, make: impl Fn() -> T) -> usize {
    drop(make());
    let before = resident();
    let copies: Vec<T> = (0..RECORDS.div_ceil(count)).map(|_| make()).collect();
    let grown = resident().saturating_sub(before);
    grown / (black_box(copies).len() * count)
}

fn nanos_each(spent: Duration, count: usize) -> u128 {
    spent.as_nanos() / count as u128
}

fn id(number: usize) -> SubmissionId {
    let number = number as u64;
    SubmissionId::unbound(Ulid::from_parts(START_MS + number / 16, number.into()))
}

fn batches(count: usize) -> Vec<String> {
    let claim = |number| Claim {
        submission: id(number),
        content: ContentHash(number as u64 + 0x0123_4567_89ab_0000),
        replaces: None,
    };
    let batch = |first: usize| {
        ClaimRecord::ClaimsV1(ClaimBatch {
            by: Incarnation(first as u64 % 8),
            batch: first as u64 + 1,
            claims: (first..(first + BATCH).min(count)).map(claim).collect(),
            releases: Vec::new(),
        })
        .encode()
    };
    (0..count).step_by(BATCH).map(batch).collect()
}

fn read_claims(records: &[String]) -> ClaimBook {
    let mut book = ClaimBook::new(Incarnation(99), ClaimOptions::default());
    for (offset, data) in (0..).zip(records) {
        black_box(book.apply_record(now(START_MS), Offset(offset), data));
    }
    book
}

fn measure_claims(count: usize) {
    let records = batches(count);
    let on_log = records.iter().map(String::len).sum::<usize>() / count;
    let started = Instant::now();
    let mut book = read_claims(&records);
    let read = nanos_each(started.elapsed(), count);
    let started = Instant::now();
    for number in 0..count {
        black_box(book.request_start(now(START_MS), id(number), ContentHash(0)));
    }
    let consult = nanos_each(started.elapsed(), count);
    let started = Instant::now();
    book.expire(now(START_MS + 10_000_000));
    let expire = nanos_each(started.elapsed(), count);
    assert_eq!(book.counts().held, 0);
    let bytes = bytes_each(count, || read_claims(&records));
    println!("| {count} | {bytes} | {read} | {consult} | {expire} | {on_log} |");
}

fn changes(count: usize) -> Vec<String> {
    let change = |number: usize| {
        ConfigRecord::ChangeV1(ConfigChange {
            change_id: ChangeId(Ulid(number as u128 + 1)),
            based_on: Revision(number as u64),
            body: ChangeBody::Put(ClassTarget {
                class: format!("team-{}.class-{number}", number % 500)
                    .parse()
                    .expect("the name is valid"),
                upstream: "tablet-fleet-command".parse().expect("the name is valid"),
                finish_within_ms: Millis(2_000),
                may_run_twice: false,
            }),
        })
        .encode()
    };
    (0..count).map(change).collect()
}

fn read_changes(records: &[String]) -> ConfigFold {
    let mut fold = ConfigFold::default();
    for (offset, data) in (0..).zip(records) {
        black_box(fold.apply(Offset(offset), data));
    }
    fold
}

fn measure_configs(count: usize) {
    let records = changes(count);
    let on_log = records.iter().map(String::len).sum::<usize>() / count;
    let started = Instant::now();
    let mut fold = read_changes(&records);
    let change = nanos_each(started.elapsed(), count);
    let RepublishStep::Publish(parts) = fold.republish(UnixMs(u64::MAX / 2), 1) else {
        panic!("a snapshot is due");
    };
    let snapshot: usize = parts.iter().map(|part| part.encode().len()).sum();
    let bytes = bytes_each(count, || read_changes(&records));
    let parts = parts.len();
    println!("| {count} | {bytes} | {change} | {on_log} | {snapshot} | {parts} |");
}

fn heartbeat(number: u16) -> Heartbeat {
    let address = |port: u16| SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, port + number));
    Heartbeat {
        host: format!("entry-{number}.north")
            .parse()
            .expect("the name is valid"),
        zone: format!("zone-{}", number % 3)
            .parse()
            .expect("the name is valid"),
        incarnation: Incarnation(u64::from(number) + 0x0123_4567_89ab_0000),
        started_at_ms: UnixMs(1_700_000_000_000),
        control_address: address(10_000),
        peer_address: address(20_000),
        counter: 100_000,
        load: LoadDigest {
            running_tasks: 400,
            queued_tasks: 40,
        },
        config_revision: Revision(17_000),
        is_draining: false,
    }
}

fn table(number: u16) -> MemberTable {
    let seeds = vec![heartbeat(0).control_address];
    MemberTable::new(
        heartbeat(number),
        MemberOptions::default(),
        seeds,
        number.into(),
    )
}

/// Runs all members for [`ROUNDS`] rounds, and returns the time spent in their tables and the
/// number of bytes sent.
fn run_rounds(tables: &mut [MemberTable], from: u64) -> (Duration, usize) {
    let (mut spent, mut bytes) = (Duration::ZERO, 0);
    for round in from..from + ROUNDS {
        for sender in 0..tables.len() {
            let at = now(START_MS + round * 1_000 + sender as u64);
            let started = Instant::now();
            tables[sender].tick(at);
            let outgoing = tables[sender].start_round(at);
            spent += started.elapsed();
            for message in outgoing {
                let to = usize::from(message.to.port() - 10_000);
                let started = Instant::now();
                let answer = tables[to].apply_gossip(at, &message.gossip).answer;
                tables[sender].apply_gossip(at, &answer);
                spent += started.elapsed();
                let sizes = [&message.gossip, &answer].map(serde_json::to_string);
                bytes += sizes.iter().flatten().map(String::len).sum::<usize>();
            }
        }
    }
    (spent, bytes)
}

fn measure_members(count: u16) {
    let mut tables: Vec<MemberTable> = (0..count).map(table).collect();
    run_rounds(&mut tables, 0);
    let (spent, bytes) = run_rounds(&mut tables, ROUNDS);
    let member_rounds = usize::from(count) * usize::try_from(ROUNDS).expect("small");
    let round_us = nanos_each(spent, member_rounds) / 1_000;
    let bytes_per_s = bytes / member_rounds;
    let known = usize::from(count - 1);
    let memory = bytes_each(known, || tables[0].clone());
    println!("| {count} | {memory} | {round_us} | {bytes_per_s} | {round_us} |");
}
