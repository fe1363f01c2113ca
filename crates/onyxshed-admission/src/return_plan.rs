//! Times at which refused callers should return.
//!
//! A calendar of steps of 100 ms over the next 10 s. Each step takes as much returning work as the room
//! leaves beside the load that arrives anyway, so that refused callers neither return as a second burst
//! nor wait longer than needed. A refused job gets the first step with room.
//!
//! While the room is short, nothing is planned for the time that the shortage is expected to last:
//! as long again as it has lasted so far, up to 5 s. After it, the load counts as it was outside shortages.
//!
//! A part of each step is kept for callers that were refused repeatedly. What came of earlier promises
//! corrects the width of the steps: they take more if part of the work does not return, and less if
//! returning work found no room.

use std::collections::{BTreeMap, VecDeque};

use onyxshed_core::{CallerId, Micros, Millis, Mono};

use crate::caller_shares::Refusals;
use crate::recent_work::RecentWork;

/// Duration of a step of the calendar.
const STEP: Millis = Millis(100);

/// Steps of a second.
const STEPS_PER_S: u64 = 10;

/// Longest wait that is ever planned. The use that callers have of an answer ends within it.
pub const WAIT_MAX: Millis = Millis(10_000);

/// Number of steps after its own in which returning work still counts as promised. Answers take a
/// round trip, and callers round the time up.
const LATE_STEPS: u64 = 3;

/// Number of steps in the calendar: those to come and those in which returns still count.
const STEPS_MAX: usize = 105;

/// Maximum number of callers whose returns to a step are observed.
const OBSERVED_MAX: usize = 32;

/// Part of a step that is open to callers that were refused once, in thousandths. The rest opens with
/// their rank.
const FIRST_REFUSAL_MILLIS: u64 = 700;

/// Part of a step that opens with each rank, in thousandths.
const RANK_MILLIS: u64 = 150;

/// Highest rank: the whole step is open to it.
const RANK_MAX: u64 = 2;

/// Duration since the first refusal that counts as much as a further refusal.
const RANK_AGE: Millis = Millis(1_000);

/// Part of the room that a step takes at least after the expected end of a shortage, in thousandths.
const SPARE_MIN_MILLIS: u64 = 100;

/// Longest time that a shortage is expected to last further. Returns are planned for the rest of
/// [`WAIT_MAX`].
const SHORTAGE_MAX: Millis = Millis(5_000);

/// Weight of a step among those that correct the width, as a divisor.
const STEP_WEIGHT: u64 = 8;

/// Weight of a step in the load outside shortages, as a divisor: a time constant of about 3 s.
const ORDINARY_WEIGHT: u64 = 32;

/// Lower bound of the width of steps, in thousandths.
const WIDTH_MIN_MILLIS: u64 = 250;

/// Upper bound of the width of steps, in thousandths.
const WIDTH_MAX_MILLIS: u64 = 2_000;

/// Part of the returning work that must find room for steps to keep their width, in thousandths.
const FOUND_TARGET_MILLIS: u64 = 900;

/// The whole, in thousandths.
const WHOLE_MILLIS: u64 = 1_000;

/// Room and load at the time of a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadNow {
    /// Work that can be done per second.
    pub room_per_s: u64,
    /// Work that was offered within the last second, including what returned.
    pub offered_per_s: u64,
    /// Time in which the admitted work that waits will have been started.
    pub drained_in: Micros,
}

/// A step of the calendar.
#[derive(Debug, Default)]
struct Step {
    /// Work that was told to return in the step.
    planned: u64,
    /// Part of it whose return is observed, by caller.
    observed: BTreeMap<CallerId, u64>,
    promised: u64,
    returned: u64,
    found_room: u64,
}

/// The calendar of planned returns.
#[derive(Debug)]
pub struct ReturnPlan {
    unit: Micros,
    /// Steps in ascending order; the first has the number `first_step`.
    steps: VecDeque<Step>,
    first_step: u64,
    /// Number of the step up to which the load has been recorded.
    recorded_step: u64,
    short_since: Option<Mono>,
    /// Mean of the fresh load outside shortages; `None` before the first.
    ordinary_per_s: Option<u64>,
    returned: RecentWork,
    /// Part of the promised work that returns, in thousandths.
    kept_millis: u64,
    /// Part of the returning work that finds room, in thousandths.
    found_millis: u64,
}

impl ReturnPlan {
    /// Creates an empty plan whose waits are multiples of `unit`, the precision with which callers are
    /// told the time. A unit of 0 counts as 1 ms.
    pub fn new(unit: Millis) -> Self {
        ReturnPlan {
            unit: Micros::from(Millis(unit.0.max(1))),
            steps: VecDeque::new(),
            first_step: 0,
            recorded_step: 0,
            short_since: None,
            ordinary_per_s: None,
            returned: RecentWork::default(),
            kept_millis: WHOLE_MILLIS,
            found_millis: WHOLE_MILLIS,
        }
    }

    /// Records the load, from which the plan learns when the room is short. Call it several times a
    /// second, also while nothing is refused.
    pub fn record_load(&mut self, now: Mono, load: LoadNow) {
        self.advance(now);
        let fresh = self.fresh_load(now, load);
        if fresh > load.room_per_s {
            self.short_since.get_or_insert(now);
            return;
        }
        self.short_since = None;
        let step = step_of(now);
        if step > self.recorded_step || self.ordinary_per_s.is_none() {
            self.recorded_step = step;
            let mean = self.ordinary_per_s.unwrap_or(fresh);
            self.ordinary_per_s = Some(moved_toward(mean, fresh, ORDINARY_WEIGHT));
        }
    }

    /// Records an arriving job. If its caller was told to return at about this time, the job counts as
    /// returned.
    pub fn record_arrival(&mut self, now: Mono, caller: CallerId, work: u64, found_room: bool) {
        self.advance(now);
        let newest = step_of(now) + 1;
        let mut left = work;
        for number in newest.saturating_sub(LATE_STEPS + 1)..=newest {
            let Some(step) = self.step_mut(number) else {
                continue;
            };
            let Some(open) = step.observed.get_mut(&caller) else {
                continue;
            };
            let part = left.min(*open);
            *open -= part;
            if *open == 0 {
                step.observed.remove(&caller);
            }
            step.returned += part;
            if found_room {
                step.found_room += part;
            }
            left -= part;
        }
        self.returned.record(now, work - left);
    }

    /// Returns the time after which a refused caller should return, and plans its return: at least until
    /// the waiting work has been started, and at most [`WAIT_MAX`].
    pub fn plan(
        &mut self,
        now: Mono,
        caller: CallerId,
        work: u64,
        refusals: Refusals,
        load: LoadNow,
    ) -> Millis {
        self.record_load(now, load);
        let units = Micros::from(WAIT_MAX).0 / self.unit.0;
        let first = load.drained_in.0.div_ceil(self.unit.0).max(1);
        let first = first.min(units.max(1));
        let rank = rank(now, refusals);
        let mut least_overfull: Option<((bool, u64), Micros)> = None;
        for count in first..=units.max(1) {
            let wait = Micros((self.unit.0 * count).min(Micros::from(WAIT_MAX).0));
            let number = step_of(now + wait);
            let capacity = self.capacity(now, number, load);
            let planned = self.step(number).map_or(0, |step| step.planned);
            let open = scaled(capacity, FIRST_REFUSAL_MILLIS + RANK_MILLIS * rank);
            let fits = planned.saturating_add(work) <= open || (planned == 0 && capacity > 0);
            if fits {
                return self.promise(number, caller, work, wait);
            }
            let excess = planned.saturating_add(work).saturating_sub(capacity);
            let overfull = (capacity == 0, excess);
            if least_overfull.is_none_or(|(least, _)| overfull < least) {
                least_overfull = Some((overfull, wait));
            }
        }
        let wait = least_overfull.map_or(WAIT_MAX.into(), |(_, wait)| wait);
        self.promise(step_of(now + wait), caller, work, wait)
    }

    /// Returns the factor on the room of steps that earlier promises have led to, in thousandths.
    pub fn width_millis(&self) -> u64 {
        let found = (self.found_millis * WHOLE_MILLIS / FOUND_TARGET_MILLIS).min(WHOLE_MILLIS);
        let width = found * WHOLE_MILLIS / self.kept_millis.max(1);
        width.clamp(WIDTH_MIN_MILLIS, WIDTH_MAX_MILLIS)
    }

    /// Returns the number of steps in the calendar and of the callers whose returns are observed.
    pub fn size(&self) -> (usize, usize) {
        let observed = self.steps.iter().map(|step| step.observed.len()).sum();
        (self.steps.len(), observed)
    }

    /// Returns the returning work that a step takes.
    fn capacity(&self, now: Mono, number: u64, load: LoadNow) -> u64 {
        let room = load.room_per_s;
        let spare = match self.short_since {
            Some(since) if starts_at(number) < now + expected_shortage(now, since) => 0,
            Some(_) => {
                let ordinary = self.ordinary_per_s.unwrap_or(room / 2);
                let least = scaled(room, SPARE_MIN_MILLIS);
                room.saturating_sub(ordinary).max(least)
            }
            None => room.saturating_sub(self.fresh_load(now, load)),
        };
        scaled(spare, self.width_millis()).min(room) / STEPS_PER_S
    }

    /// Returns the offered load without the work that returned as planned.
    fn fresh_load(&self, now: Mono, load: LoadNow) -> u64 {
        load.offered_per_s.saturating_sub(self.returned.total(now))
    }

    fn promise(&mut self, number: u64, caller: CallerId, work: u64, wait: Micros) -> Millis {
        if let Some(step) = self.step_mut(number) {
            step.planned = step.planned.saturating_add(work);
            if step.observed.contains_key(&caller) || step.observed.len() < OBSERVED_MAX {
                let open = step.observed.entry(caller).or_default();
                *open = open.saturating_add(work);
                step.promised = step.promised.saturating_add(work);
            }
        }
        Millis(wait.0.div_ceil(1_000))
    }

    /// Removes the steps in which no more returns count, and adds those up to the longest wait.
    fn advance(&mut self, now: Mono) {
        let current = step_of(now);
        let oldest = current.saturating_sub(LATE_STEPS + 1);
        while self.first_step < oldest
            && let Some(step) = self.steps.pop_front()
        {
            self.first_step += 1;
            self.learn(&step);
        }
        self.first_step = self.first_step.max(oldest);
        while self.steps.len() < STEPS_MAX {
            self.steps.push_back(Step::default());
        }
    }

    /// Corrects the width of steps by what came of a step's promises.
    fn learn(&mut self, step: &Step) {
        if let Some(kept) = thousandths(step.returned, step.promised) {
            self.kept_millis = moved_toward(self.kept_millis, kept, STEP_WEIGHT);
        }
        if let Some(found) = thousandths(step.found_room, step.returned) {
            self.found_millis = moved_toward(self.found_millis, found, STEP_WEIGHT);
        }
    }

    fn step(&self, number: u64) -> Option<&Step> {
        let index = usize::try_from(number.checked_sub(self.first_step)?).ok()?;
        self.steps.get(index)
    }

    fn step_mut(&mut self, number: u64) -> Option<&mut Step> {
        let index = usize::try_from(number.checked_sub(self.first_step)?).ok()?;
        self.steps.get_mut(index)
    }
}

/// Returns how long a shortage is expected to last further.
fn expected_shortage(now: Mono, since: Mono) -> Micros {
    now.since(since).min(SHORTAGE_MAX.into())
}

/// Returns how much of a step is open to a caller: 0 after its first refusal, up to [`RANK_MAX`].
fn rank(now: Mono, refusals: Refusals) -> u64 {
    if refusals.count == 0 {
        return 0;
    }
    let age = now.since(refusals.since).0 / Micros::from(RANK_AGE).0;
    (u64::from(refusals.count - 1) + age).min(RANK_MAX)
}

fn step_of(at: Mono) -> u64 {
    at.0 / Micros::from(STEP).0
}

fn starts_at(step: u64) -> Mono {
    Mono(step * Micros::from(STEP).0)
}

/// Returns `value` times `millis` / 1,000.
fn scaled(value: u64, millis: u64) -> u64 {
    let product = u128::from(value) * u128::from(millis);
    u64::try_from(product / u128::from(WHOLE_MILLIS)).unwrap_or(u64::MAX)
}

/// Returns `part` of `whole` in thousandths, or `None` if `whole` is 0.
fn thousandths(part: u64, whole: u64) -> Option<u64> {
    let product = u128::from(part) * u128::from(WHOLE_MILLIS);
    let share = product.checked_div(u128::from(whole))?;
    u64::try_from(share).ok()
}

/// Returns the mean after a sample of which it takes the part 1 / `weight`.
fn moved_toward(mean: u64, sample: u64, weight: u64) -> u64 {
    match sample >= mean {
        true => mean + (sample - mean).div_ceil(weight),
        false => mean - (mean - sample).div_ceil(weight),
    }
}
