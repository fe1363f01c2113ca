//! Round robin: each executor in turn.

use super::Candidate;
use crate::fleet::Seat;

/// Chooses the next seat after the last one.
pub fn choose(candidates: &[Candidate], turn: &mut Option<Seat>) -> Option<Candidate> {
    let after = candidates
        .iter()
        .find(|candidate| turn.is_none_or(|last| candidate.seat > last));
    let chosen = after.or_else(|| candidates.first()).copied();
    *turn = chosen.map(|candidate| candidate.seat).or(*turn);
    chosen
}
