//! Parts of an overloaded pool's room by class.
//!
//! Load answered: classes compete for less room than they offer work.
//!
//! Each class that offers work is guaranteed an equal part. What a class leaves of its part is lent
//! to classes that offer more than theirs, the most urgent first, and among equally urgent ones in
//! equal parts.

use std::collections::BTreeMap;

use onyxshed_core::{Millis, Mono, Share};

use crate::id::ClassId;
use crate::offered_load::OfferedLoad;
use crate::size_limit::SizeLimit;

/// Time without a job after which a class is forgotten.
const FORGET_AFTER: Millis = Millis(10_000);

#[derive(Debug, Default)]
struct ClassLoad {
    priority: u32,
    offered: OfferedLoad,
    begun: OfferedLoad,
    sizes: SizeLimit,
    last_offered_at: Mono,
    /// Part of the room, in thousandths of a core, as of the last division.
    part: u64,
}

/// Work offered and begun by class over the last second, and the parts that follow from it.
#[derive(Debug, Default)]
pub struct ClassShares {
    classes: BTreeMap<ClassId, ClassLoad>,
}

impl ClassShares {
    /// Records an arriving job of a class, with its work in thousandths of a core times
    /// milliseconds, and returns whether its size is admitted. `priority` is the urgency of the
    /// class; 0 is the most urgent.
    pub fn record_offered(&mut self, now: Mono, class: &ClassId, priority: u32, work: u64) -> bool {
        let load = self.class_mut(class);
        load.priority = priority;
        load.offered.record(now, work);
        load.last_offered_at = now;
        load.sizes.admit(work)
    }

    /// Records work of a class that begins, in thousandths of a core times milliseconds.
    pub fn record_begun(&mut self, now: Mono, class: &ClassId, work: u64) {
        self.class_mut(class).begun.record(now, work);
    }

    fn class_mut(&mut self, class: &ClassId) -> &mut ClassLoad {
        if !self.classes.contains_key(class) {
            self.classes.insert(class.clone(), ClassLoad::default());
        }
        self.classes.entry(class.clone()).or_default()
    }

    /// Records that a job of a class whose size was admitted could not be served.
    pub fn record_excess(&mut self, class: &ClassId) {
        if let Some(load) = self.classes.get_mut(class) {
            load.sizes.record_excess();
        }
    }

    /// Divides a room, in thousandths of a core, among the classes, and forgets those without jobs.
    pub fn divide(&mut self, now: Mono, room: u64) {
        self.classes
            .retain(|_, load| now.since(load.last_offered_at) < FORGET_AFTER.into());
        let mut wanting: Vec<(u32, u64, &mut ClassLoad)> = self
            .classes
            .values_mut()
            .map(|load| (load.priority, load.offered.cpu_millis(now), load))
            .collect();
        let offering = wanting
            .iter()
            .filter(|(_, offered, _)| *offered > 0)
            .count();
        let equal = room / u64::try_from(offering.max(1)).unwrap_or(1);
        let mut left = room;
        for (_, offered, load) in &mut wanting {
            load.part = equal.min(*offered);
            left -= load.part.min(left);
        }
        // Within a priority, the class that lacks least comes first, so what it leaves goes to the others.
        wanting.sort_by_key(|(priority, offered, _)| (*priority, *offered));
        for group in wanting.chunk_by_mut(|one, other| one.0 == other.0) {
            let mut sharing = u64::try_from(group.len()).unwrap_or(1);
            for (_, offered, load) in group {
                let lent = (left / sharing.max(1)).min(offered.saturating_sub(load.part));
                load.part += lent;
                left -= lent;
                sharing -= 1;
            }
        }
        for load in self.classes.values_mut() {
            load.sizes.update(now, load.part);
        }
    }

    /// Returns the part of a class, in thousandths of a core, as of the last division.
    pub fn part(&self, class: &ClassId) -> u64 {
        self.classes.get(class).map_or(0, |load| load.part)
    }

    /// Returns the share of a class's arriving work for which it has room; `None` if nothing arrived within
    /// the last second.
    pub fn room_share(&self, now: Mono, class: &ClassId) -> Option<Share> {
        let load = self.classes.get(class)?;
        let offered = load.offered.cpu_millis(now);
        (offered > 0).then(|| Share::of(load.part, offered))
    }

    /// Returns how long `work` of a class, in thousandths of a core times milliseconds, takes in its
    /// part.
    pub fn expected_wait(&self, now: Mono, class: &ClassId, work: u64) -> Millis {
        let load = self.classes.get(class);
        let rate = load.map_or(0, |load| {
            load.begun.cpu_millis(now).clamp(load.part / 2, load.part)
        });
        Millis(work / rate.max(1))
    }

    /// Sorts classes by which begins next: those below their parts before those above, the former by
    /// urgency, then by the share of the part that has been used.
    pub fn sort(&self, now: Mono, classes: &mut [ClassId]) {
        classes.sort_by_cached_key(|class| match self.classes.get(class) {
            Some(load) => {
                let begun = load.begun.cpu_millis(now);
                let used_millis = begun * 1_000 / load.part.max(1);
                match begun < load.part {
                    true => (false, load.priority, used_millis),
                    false => (true, 0, used_millis),
                }
            }
            None => (false, 0, 0),
        });
    }
}
