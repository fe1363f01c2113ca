//! What other entry hosts are believed to have running on an executor.
//!
//! Each answer tells how much runs on the executor; what is not ours is theirs. The belief is as
//! old as the last answer and fades towards the long-run mean.

use onyxshed_core::{Micros, Mono};
use onyxshed_wire::upstream::LoadReport;

use crate::span::as_us;

/// Weight of the newest report in the long run.
const ALPHA: f64 = 0.1;

/// The belief about one executor.
#[derive(Debug, Clone, Default)]
pub struct Sharing {
    others: f64,
    others_mean: f64,
    is_full: bool,
    has_no_queue: bool,
    at: Option<Mono>,
}

/// What may be started on an executor by the belief.
#[derive(Debug, Clone, Copy)]
pub struct Room {
    /// Tasks of ours it may hold at once.
    pub limit: f64,
    /// Tasks of ours in flight there.
    pub in_flight: u32,
    /// What holds for the task and its upstream.
    pub terms: Terms,
}

/// What a task's start depends on besides the executor.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// Entry hosts that share the executors.
    pub sharers: u32,
    /// Time after which a report says nothing more: the mean service time.
    pub fade: Micros,
    /// Whether the task's deadline leaves time to wait for a surer place.
    pub has_time: bool,
}

impl Sharing {
    /// Takes in a report made when `in_flight` tasks of ours were there, the answered one left out.
    pub fn observe(&mut self, now: Mono, load: &LoadReport, in_flight: u32, slots: u32) {
        let there = load.running + load.queued;
        let others = f64::from(there.saturating_sub(in_flight));
        let alpha = if self.at.is_none() { 1.0 } else { ALPHA };
        self.others = others;
        self.others_mean += alpha * (others - self.others_mean);
        self.is_full = there >= slots;
        self.at = Some(now);
    }

    /// Takes in that a start was refused by an executor with that load.
    pub fn refused(&mut self, load: &LoadReport) {
        self.has_no_queue |= load.queued == 0;
    }

    /// Gets how many tasks of others are believed to be there.
    pub fn others(&self, now: Mono, fade: Micros) -> f64 {
        let weight = self.weight(now, fade);
        weight * self.others + (1.0 - weight) * self.others_mean
    }

    /// Gets how many tasks of others are there in the long run.
    pub fn others_mean(&self) -> f64 {
        self.others_mean
    }

    /// Tells whether one more task may be started.
    ///
    /// Within its share of the slots a host goes by its own count, unless a fresh report says that
    /// all are taken: then the start would only be refused or wait there. Beyond its share it
    /// borrows, only on a fresh report and only while a further slot stays idle, so that a host
    /// that wants its own share back finds room.
    pub fn may_start(&self, now: Mono, room: Room) -> bool {
        let in_flight = f64::from(room.in_flight);
        if in_flight + 1.0 > room.limit {
            return false;
        }
        let sharers = self.sharers(room);
        if sharers <= 1.0 {
            return true;
        }
        let share = room.limit / sharers;
        let weight = self.weight(now, room.terms.fade);
        let free = room.limit - self.others(now, room.terms.fade) - in_flight;
        if in_flight + 1.0 <= self.rounded(share) {
            return free >= 1.0 || !(self.is_full && weight > FRESH_FROM);
        }
        let doubt = 1.0 - weight;
        self.at.is_some() && free - doubt >= self.spare(in_flight, share, room.terms.has_time)
    }

    /// Gets how many hosts share the executor.
    ///
    /// A host that is cut off from its peers holds itself to be alone, and would fill every slot
    /// while the others do the same: their tasks show in the reports all the same. As many even
    /// shares as leave others what they hold are taken then.
    fn sharers(&self, room: Room) -> f64 {
        let told = f64::from(room.terms.sharers);
        if told > 1.0 {
            return told;
        }
        let left = (room.limit - self.others_mean).max(1.0);
        (room.limit / left).round().max(1.0)
    }

    /// Gets how many slots must be believed idle for a start beyond the share.
    ///
    /// Where a start that finds no slot is refused, a task with time to wait leaves one more idle:
    /// it had better be late by a little than cost a message. An urgent one takes the risk.
    fn spare(&self, in_flight: f64, share: f64, has_time: bool) -> f64 {
        let is_last_part = in_flight + 1.0 <= share.ceil();
        match (is_last_part, self.has_no_queue && has_time) {
            (true, _) => 1.0,
            (false, false) => 2.0,
            (false, true) => 3.0,
        }
    }

    /// Rounds this host's share of the slots.
    ///
    /// Rounded up, the shares of all hosts may come to a little more than the slots; the excess
    /// waits at the executor, where the next free slot takes it whoever sent it. An executor that
    /// refuses instead of letting it wait gets the share rounded down, as each refusal is a message
    /// for nothing.
    fn rounded(&self, share: f64) -> f64 {
        if self.has_no_queue {
            share.floor().max(1.0)
        } else {
            share.ceil()
        }
    }

    fn weight(&self, now: Mono, fade: Micros) -> f64 {
        self.at.map_or(0.0, |at| {
            (-as_us(now.since(at)) / as_us(fade).max(1.0)).exp()
        })
    }
}

/// Weight from which on a report counts as fresh: about one mean service time old.
const FRESH_FROM: f64 = 0.35;
