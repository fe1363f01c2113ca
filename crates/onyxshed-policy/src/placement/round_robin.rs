//! Round robin: each executor in turn.

use super::Candidate;
use crate::fleet::ExecutorKey;

/// Selects the candidate with the next key after `last_key`, or the first candidate if there is no
/// higher key, and stores its key in `last_key`.
pub fn choose(candidates: &[Candidate], last_key: &mut Option<ExecutorKey>) -> Option<Candidate> {
    let after = candidates
        .iter()
        .find(|candidate| last_key.is_none_or(|last| candidate.key > last));
    let chosen = after.or_else(|| candidates.first()).copied();
    *last_key = chosen.map(|candidate| candidate.key).or(*last_key);
    chosen
}
