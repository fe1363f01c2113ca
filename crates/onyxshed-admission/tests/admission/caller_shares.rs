//! Loads of many callers on a class with a fixed room.

use onyxshed_admission::{CallerDecision, CallerShares, Room};
use onyxshed_core::{CallerId, Mono, Share};

/// Work per second that the class may use.
const ROOM_PER_S: u64 = 400_000;

/// Work of a job.
const JOB: u64 = 1_000;

fn at_ms(ms: u64) -> Mono {
    Mono(ms * 1_000)
}

/// A class whose jobs wait for up to 100 ms. No job is refused while there is a place for it.
struct Load {
    shares: CallerShares,
    has_shares: bool,
    /// Work that has been admitted and not been done.
    backlog: u64,
    /// Jobs asked and admitted, by caller.
    jobs: Vec<(u64, u64)>,
}

impl Load {
    fn new(callers: usize, has_shares: bool) -> Self {
        Load {
            shares: CallerShares::default(),
            has_shares,
            backlog: 0,
            jobs: vec![(0, 0); callers],
        }
    }

    /// Plays a millisecond in which the given callers send a job each.
    fn step(&mut self, ms: u64, callers: &[u64]) {
        self.backlog = self.backlog.saturating_sub(ROOM_PER_S / 1_000);
        for caller in callers {
            let offered = self.shares.offered(at_ms(ms)) + JOB;
            let room = match offered > ROOM_PER_S {
                true => Room::Short(ROOM_PER_S),
                false => Room::Enough,
            };
            let (now, id) = (at_ms(ms), CallerId(caller + 1));
            let decision = self.shares.decide(now, id, JOB, room);
            let has_place = self.backlog < ROOM_PER_S / 1_000;
            let is_within = decision == CallerDecision::Admit || has_place || !self.has_shares;
            let is_admitted = is_within && self.backlog <= ROOM_PER_S / 10;
            let jobs = &mut self.jobs[usize::try_from(*caller).expect("a small number")];
            jobs.0 += 1;
            if is_admitted {
                jobs.1 += 1;
                self.backlog += JOB;
                self.shares.record_admitted(now, id, JOB);
            }
        }
    }

    /// Returns the callers' served shares in ascending order, without that of caller 0.
    fn served(&self) -> Vec<Share> {
        let others = self.jobs[1..].iter();
        let mut served: Vec<Share> = others
            .map(|(asked, done)| Share::of(*done, *asked))
            .collect();
        served.sort_unstable();
        served
    }
}

/// 49 callers with 10 jobs per second each and one with 100, on room for 400 per second; 60 s.
fn one_at_ten_times_its_rate(has_shares: bool) -> String {
    let mut load = Load::new(50, has_shares);
    let mut state = 1_u64;
    for ms in 0..60_000 {
        let sends = |caller: &u64| {
            // A linear congruential generator: the arrivals are irregular and always the same.
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            let per_s = if *caller == 0 { 100 } else { 10 };
            (state >> 33) % 1_000 < per_s
        };
        let callers: Vec<u64> = (0..50).filter(sends).collect();
        load.step(ms, &callers);
    }
    let served = load.served();
    let (asked, done) = load.jobs[0];
    let others: u64 = load.jobs[1..].iter().map(|(_, done)| done).sum();
    format!(
        "worst tenth {} to {}, median {}, caller at ten times its rate {}, all {} jobs/s",
        served[0],
        served[4],
        served[24],
        Share::of(done, asked),
        (others + done) / 60
    )
}

#[test]
fn caller_at_ten_times_its_rate_takes_nothing_from_others() {
    insta::assert_snapshot!(one_at_ten_times_its_rate(false), @"worst tenth 56.2% to 57.9%, median 65.8%, caller at ten times its rate 79.4%, all 400 jobs/s");
    insta::assert_snapshot!(one_at_ten_times_its_rate(true), @"worst tenth 70.0% to 72.1%, median 78.2%, caller at ten times its rate 20.2%, all 400 jobs/s");
}

#[test]
fn unused_share_is_lent_and_returns_within_a_second() {
    let mut load = Load::new(2, true);
    let mut rates = Vec::new();
    for second in 0..9 {
        let before = load.jobs.clone();
        for ms in second * 1_000..(second + 1) * 1_000 {
            // Caller 0 always asks for 500 jobs per second, caller 1 in the middle of the time.
            match ms % 2 {
                0 => load.step(ms, &[0]),
                _ if (3..6).contains(&second) => load.step(ms, &[1]),
                _ => load.step(ms, &[]),
            }
        }
        let done = |caller: usize| load.jobs[caller].1 - before[caller].1;
        rates.push((done(0), done(1)));
    }
    let rates = format!("{rates:?}");
    insta::assert_snapshot!(rates, @"[(440, 0), (400, 0), (400, 0), (173, 227), (200, 200), (200, 200), (390, 0), (410, 0), (400, 0)]");
}

#[test]
fn table_is_bounded_and_still_finds_the_caller_above_its_share() {
    let mut load = Load::new(5_001, true);
    for ms in 0..20_000 {
        // Each of 5,000 callers asks for a job in 20 s, caller 0 for 250 per second.
        match ms % 4 {
            0 => load.step(ms, &[1 + ms / 4]),
            1 => load.step(ms, &[0]),
            _ => load.step(ms, &[]),
        }
        assert!(load.shares.caller_count() <= 512);
    }
    let limited: Vec<String> = load
        .shares
        .limits(at_ms(19_999), 32)
        .iter()
        .map(|(caller, admitted)| format!("{caller} {admitted}"))
        .collect();
    let (asked, done) = load.jobs[0];
    let others: u64 = load.jobs[1..].iter().map(|jobs| jobs.1).sum();
    let summary = format!(
        "limited {limited:?}, served of it {}, of the others {}",
        Share::of(done, asked),
        Share::of(others, 5_000)
    );
    insta::assert_snapshot!(summary, @r#"limited ["0000000000000001 62.4%"], served of it 60.7%, of the others 100.0%"#);
}

/// Returns the number of refusals of a caller that sends 10 times the room, beside another one or alone.
fn refusals_of(caller: CallerId, other: Option<CallerId>) -> usize {
    let mut shares = CallerShares::default();
    let mut decide = |ms, caller| {
        let decision = shares.decide(at_ms(ms), caller, JOB, Room::Short(100 * JOB));
        shares.record_admitted(at_ms(ms), caller, JOB);
        decision == CallerDecision::Refuse
    };
    (0..2_000)
        .filter(|ms| {
            if let Some(other) = other.filter(|_| ms % 10 == 0) {
                decide(*ms, other);
            }
            decide(*ms, caller)
        })
        .count()
}

#[test]
fn unknown_and_sole_callers_are_never_limited() {
    let (one, other) = (CallerId(1), CallerId(2));
    assert_eq!(refusals_of(CallerId::UNKNOWN, Some(one)), 0);
    assert_eq!(refusals_of(one, None), 0);
    assert!(refusals_of(one, Some(other)) > 1_000);
}

#[test]
fn new_table_has_everyone_within_the_share() {
    let mut shares = CallerShares::default();
    for caller in 1..=100 {
        let decision = shares.decide(at_ms(0), CallerId(caller), 50 * JOB, Room::Short(JOB));
        assert_eq!(decision, CallerDecision::Admit);
    }
}

#[test]
fn clock_that_stands_still_leaves_each_caller_its_part() {
    let mut load = Load::new(4, true);
    for _ in 0..200 {
        load.backlog = ROOM_PER_S / 100;
        load.step(5_000, &[0, 1, 2, 3, 0, 0, 0, 0]);
    }
    let admitted: Vec<u64> = load.jobs.iter().map(|jobs| jobs.1).collect();
    assert_eq!(admitted[1..], [200; 3]);
    // The eager caller gets twice what the others offer.
    assert!((395..=405).contains(&admitted[0]), "{admitted:?}");
    // An earlier time counts as the latest one.
    load.step(1_000, &[0, 1, 2, 3]);
}
