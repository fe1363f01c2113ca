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
    /// The newest generation that the member has named.
    named: u64,
}

/// One group.
#[derive(Debug, Default)]
pub struct Group {
    generation: u64,
    members: BTreeMap<SmolStr, Member>,
    holders: [Option<SmolStr>; PARTS],
}

impl Group {
    /// Joins, or stays; gets the generation and the partitions that belong to the member.
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
            named: if is_new { 0 } else { named },
        };
        self.members.insert(name.clone(), member);
        if is_new {
            self.generation += 1;
        }
        self.deal();
        let mine = (0..PARTS).filter(|part| {
            self.holders[*part].as_ref() == Some(name) && self.target(*part) == Some(name)
        });
        (self.generation, mine.collect())
    }

    /// Leaves the group.
    pub fn leave(&mut self, now: Instant, name: &SmolStr) {
        self.expire(now);
        if self.members.remove(name).is_some() {
            self.generation += 1;
        }
        self.deal();
    }

    /// Takes every partition away from its holder, and drops all members without a word.
    pub fn revoke(&mut self) {
        self.members.clear();
        self.generation += 1;
        self.deal();
    }

    /// Gets who holds each partition.
    pub fn owners(&mut self, now: Instant) -> Vec<(usize, SmolStr)> {
        self.expire(now);
        self.deal();
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
            self.generation += 1;
        }
    }

    fn target(&self, part: usize) -> Option<&SmolStr> {
        let count = self.members.len();
        self.members.keys().nth(part % count.max(1))
    }

    /// Moves partitions to whom they belong: at once from those who are gone, from members once
    /// they have named the present generation.
    fn deal(&mut self) {
        for part in 0..PARTS {
            let target = self.target(part).cloned();
            let keeps = self.holders[part].as_ref().is_some_and(|holder| {
                let member = self.members.get(holder);
                member.is_some_and(|member| member.named < self.generation)
            });
            if !keeps {
                self.holders[part] = target;
            }
        }
    }
}
