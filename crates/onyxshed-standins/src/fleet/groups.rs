//! Consumer groups of the store, whose members share the partitions of a topic.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

/// The number of partitions of a topic.
pub const PARTITIONS: usize = 8;

#[derive(Debug)]
struct Member {
    joined_at: Instant,
    ttl: Duration,
}

/// The members of one group and the partitions that they hold. A new generation begins, with the
/// next number, whenever a member joins, leaves or expires, or all members are removed.
#[derive(Debug, Default)]
pub struct Group {
    generation: u64,
    members: BTreeMap<SmolStr, Member>,
    holders: [Option<SmolStr>; PARTITIONS],
    /// Whether each partition was assigned to a member other than its holder at any time since the holder's
    /// last join.
    is_moving: [bool; PARTITIONS],
}

impl Group {
    /// Adds a member or renews its membership; returns the generation and the partitions that the
    /// member holds.
    ///
    /// A member releases a moving partition with its next join, even if the partition is assigned
    /// to it again by then. It gets an assigned partition without a holder with its first join, or
    /// with a later join that names the newest generation.
    pub fn join(
        &mut self,
        now: Instant,
        name: &SmolStr,
        ttl: Duration,
        known_generation: u64,
    ) -> (u64, Vec<usize>) {
        self.expire(now);
        let is_new = !self.members.contains_key(name);
        let member = Member {
            joined_at: now,
            ttl,
        };
        self.members.insert(name.clone(), member);
        if is_new {
            self.begin_generation();
        }
        let knows_generation = is_new || known_generation == self.generation;
        for partition in 0..PARTITIONS {
            let is_held = self.holders[partition].as_ref() == Some(name);
            if is_held && self.is_moving[partition] {
                self.holders[partition] = None;
                self.is_moving[partition] = false;
            } else if knows_generation
                && self.holders[partition].is_none()
                && self.assigned_member(partition) == Some(name)
            {
                self.holders[partition] = Some(name.clone());
            }
        }
        let held =
            (0..PARTITIONS).filter(|partition| self.holders[*partition].as_ref() == Some(name));
        (self.generation, held.collect())
    }

    /// Removes a member and begins a new generation; no effect if it is not in the group.
    pub fn leave(&mut self, now: Instant, name: &SmolStr) {
        self.expire(now);
        if self.members.remove(name).is_some() {
            self.begin_generation();
        }
    }

    /// Removes all members, who are not notified, and so takes every partition away from its holder.
    pub fn revoke(&mut self) {
        self.members.clear();
        self.begin_generation();
    }

    /// Returns each partition that is held, with its holder.
    pub fn partition_holders(&mut self, now: Instant) -> Vec<(usize, SmolStr)> {
        self.expire(now);
        let holders = self.holders.iter().enumerate();
        holders
            .filter_map(|(partition, holder)| Some((partition, holder.clone()?)))
            .collect()
    }

    fn expire(&mut self, now: Instant) {
        let before = self.members.len();
        self.members
            .retain(|_, member| now.duration_since(member.joined_at) < member.ttl);
        if self.members.len() < before {
            self.begin_generation();
        }
    }

    fn assigned_member(&self, partition: usize) -> Option<&SmolStr> {
        let count = self.members.len();
        self.members.keys().nth(partition % count.max(1))
    }

    /// Begins a generation: releases the partitions whose holders are no longer members, and marks
    /// as moving those that are assigned to another member than their holder.
    fn begin_generation(&mut self) {
        self.generation += 1;
        for partition in 0..PARTITIONS {
            let holder = self.holders[partition].as_ref();
            let is_member = holder.is_some_and(|holder| self.members.contains_key(holder));
            let is_assigned = holder == self.assigned_member(partition);
            if !is_member {
                self.holders[partition] = None;
                self.is_moving[partition] = false;
            } else if !is_assigned {
                self.is_moving[partition] = true;
            }
        }
    }
}
