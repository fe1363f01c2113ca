//! Selects the log lines that concern one request.

use std::collections::BTreeSet;

use onyxshed_core::{EventKind, Millis, UnixMs};
use onyxshed_pool::JobSummary;
use smol_str::SmolStr;

use crate::logs::LogLine;

/// How long before the request's first line other events count as context. Replacing a host, or
/// removing an executor from a pool, takes up to two seconds.
const CONTEXT_BEFORE: Millis = Millis(3_000);

/// How long after the request's last line other events count as context, since another host may log
/// the reason later.
const CONTEXT_AFTER: Millis = Millis(500);

/// Maximum number of context lines; the oldest are omitted.
const CONTEXT_LINES_MAX: usize = 40;

/// The log lines that concern one request.
#[derive(Debug, Default)]
pub struct RequestTrace<'a> {
    /// The request's own lines and the context lines, ordered by their hybrid logical clocks.
    pub lines: Vec<&'a LogLine>,
    /// Number of context lines that were omitted.
    pub omitted: usize,
    /// The answers to callers, the latest last. The summary is `None` for a line whose detail is not a
    /// [`JobSummary`], such as that of a caller that disconnected.
    pub answers: Vec<(&'a LogLine, Option<JobSummary>)>,
}

/// Selects the lines about a request or a job, given its id.
pub fn select<'a>(id: &str, lines: &'a [LogLine]) -> RequestTrace<'a> {
    let jobs = jobs_of(id, lines);
    let own: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.event.request == id || jobs.contains(&line.event.job))
        .collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return RequestTrace::default();
    };
    let answers: Vec<_> = own
        .iter()
        .filter(|line| is_answer(line.event.kind))
        .map(|line| (*line, line.event.detail.parse().ok()))
        .collect();
    let filter = ContextFilter {
        from: arrived_at(first, &answers) - CONTEXT_BEFORE,
        to: last.event.hlc.wall + CONTEXT_AFTER,
        hosts: own.iter().map(|line| &line.host).collect(),
        parties: own.iter().map(|line| &line.event.party).collect(),
        pools: pools_of(&answers),
    };
    let mut context: Vec<&LogLine> = lines
        .iter()
        .filter(|line| filter.is_context(line))
        .collect();
    let omitted = context.len().saturating_sub(CONTEXT_LINES_MAX);
    context.drain(..omitted);
    let mut lines = own;
    lines.extend(context);
    lines.sort_by_key(|line| line.event.hlc);
    RequestTrace {
        lines,
        omitted,
        answers,
    }
}

/// Returns when the request arrived: the time of its answer less the duration that the answer
/// states, or the time of the first line if that is earlier or there is no such duration.
fn arrived_at(first: &LogLine, answers: &[(&LogLine, Option<JobSummary>)]) -> UnixMs {
    let computed = answers.first().and_then(|(line, summary)| {
        let took = summary.as_ref()?.took;
        Some(line.event.hlc.wall - took)
    });
    computed.map_or(first.event.hlc.wall, |at| at.min(first.event.hlc.wall))
}

fn jobs_of<'a>(id: &'a str, lines: &'a [LogLine]) -> BTreeSet<&'a SmolStr> {
    lines
        .iter()
        .filter(|line| line.event.request == id || line.event.job == id)
        .map(|line| &line.event.job)
        .filter(|job| !job.is_empty())
        .collect()
}

fn pools_of(answers: &[(&LogLine, Option<JobSummary>)]) -> BTreeSet<SmolStr> {
    let summaries = answers.iter().filter_map(|(_, summary)| summary.as_ref());
    summaries.map(|summary| summary.pool.clone()).collect()
}

/// Returns whether an event is the answer to a caller.
fn is_answer(kind: EventKind) -> bool {
    matches!(
        kind,
        EventKind::PoolJobAnswered | EventKind::PoolJobRefused | EventKind::PoolJobLost
    )
}

/// Time, hosts, parties and pools that make an event context of a request.
struct ContextFilter<'a> {
    from: UnixMs,
    to: UnixMs,
    hosts: BTreeSet<&'a SmolStr>,
    parties: BTreeSet<&'a SmolStr>,
    pools: BTreeSet<SmolStr>,
}

impl ContextFilter<'_> {
    fn is_context(&self, line: &LogLine) -> bool {
        let event = &line.event;
        if event.hlc.wall < self.from || event.hlc.wall > self.to {
            return false;
        }
        match event.kind {
            // Changes of a pool's owner or state are context on whichever host they were logged.
            EventKind::PoolOverloadChanged
            | EventKind::PoolOwned
            | EventKind::PoolGivenUp
            | EventKind::PoolHandoverBegun
            | EventKind::PoolHandoverEnded
            | EventKind::PoolTransferred => true,
            EventKind::PoolExecutorSilent
            | EventKind::PoolExecutorBack
            | EventKind::PoolExecutorAvoided
            | EventKind::PoolExecutorDraining
            | EventKind::PoolExecutorRestarted
            | EventKind::PoolExecutorGone => self.parties.contains(&event.party),
            EventKind::PoolLinkUp | EventKind::PoolLinkDown | EventKind::PoolOwnerChanged => {
                self.hosts.contains(&line.host) && self.names_pool(&event.detail)
            }
            EventKind::ProcessStarted
            | EventKind::ProcessReady
            | EventKind::ProcessDraining
            | EventKind::ProcessStopped
            | EventKind::PauseDetected
            | EventKind::PoolPeerSilent
            | EventKind::StoreLost
            | EventKind::StoreBack
            | EventKind::ManifestInForce => self.hosts.contains(&line.host),
            _ => false,
        }
    }

    /// Returns whether a detail names a pool to which the request was handed over. If it was handed over to
    /// none, every pool counts.
    fn names_pool(&self, detail: &str) -> bool {
        let is_named = |pool: &SmolStr| detail.contains(pool.as_str());
        let known: Vec<&SmolStr> = self
            .pools
            .iter()
            .filter(|pool| pool.contains('/'))
            .collect();
        known.is_empty() || known.into_iter().any(is_named)
    }
}
