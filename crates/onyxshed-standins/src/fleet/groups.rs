//! Groups of the store: members share the partitions of a topic.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

/// Partitions of a topic.
pub const PARTS: usize = 8;

#[derive(Debug)]
struct Member {
    joined_at: Instant,
    ttl: Duration,
}

/// One group.
#[derive(Debug, Default)]
pub struct Group {
    generation: u64,
    members: BTreeMap<SmolStr, Member>,
    holders: [Option<SmolStr>; PARTS],
    /// Partitions that belong to another member than their holder, or did since its last join.
    is_moving: [bool; PARTS],
}

impl Group {
    /// Joins, or stays; gets the generation and the partitions that the member holds.
    ///
    /// A member lets go of a partition that is moving with its next join, even if the partition belongs
    /// to it again by then, and gets one that nobody holds with a join that names the newest generation.
    pub fn join(
        &mut self,
        now: Instant,
        name: &SmolStr,
        ttl: Duration,
        named: u64,
    ) -> (u64, Vec<usize>) {
        self.expire(now);
        let is_new = !self.members.contains_key(name);
        let member = Member {
            joined_at: now,
            ttl,
        };
        self.members.insert(name.clone(), member);
        if is_new {
            self.advance();
        }
        let is_up_to_date = is_new || named == self.generation;
        for part in 0..PARTS {
            let is_held = self.holders[part].as_ref() == Some(name);
            if is_held && self.is_moving[part] {
                self.holders[part] = None;
                self.is_moving[part] = false;
            } else if is_up_to_date
                && self.holders[part].is_none()
                && self.target(part) == Some(name)
            {
                self.holders[part] = Some(name.clone());
            }
        }
        let mine = (0..PARTS).filter(|part| self.holders[*part].as_ref() == Some(name));
        (self.generation, mine.collect())
    }

    /// Leaves the group.
    pub fn leave(&mut self, now: Instant, name: &SmolStr) {
        self.expire(now);
        if self.members.remove(name).is_some() {
            self.advance();
        }
    }

    /// Takes every partition away from its holder, and drops all members without a word.
    pub fn revoke(&mut self) {
        self.members.clear();
        self.advance();
    }

    /// Gets who holds each partition.
    pub fn owners(&mut self, now: Instant) -> Vec<(usize, SmolStr)> {
        self.expire(now);
        let holders = self.holders.iter().enumerate();
        holders
            .filter_map(|(part, holder)| Some((part, holder.clone()?)))
            .collect()
    }

    fn expire(&mut self, now: Instant) {
        let before = self.members.len();
        self.members
            .retain(|_, member| now.duration_since(member.joined_at) < member.ttl);
        if self.members.len() < before {
            self.advance();
        }
    }

    fn target(&self, part: usize) -> Option<&SmolStr> {
        let count = self.members.len();
        self.members.keys().nth(part % count.max(1))
    }

    /// Begins a generation: frees what members that are gone held, and notes what has to move.
    fn advance(&mut self) {
        self.generation += 1;
        for part in 0..PARTS {
            let holder = self.holders[part].as_ref();
            let is_there = holder.is_some_and(|holder| self.members.contains_key(holder));
            let belongs = holder == self.target(part);
            if !is_there {
                self.holders[part] = None;
                self.is_moving[part] = false;
            } else if !belongs {
                self.is_moving[part] = true;
            }
        }
    }
}
