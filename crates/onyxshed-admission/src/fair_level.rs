//! Max-min fair division of room among demands.

/// Returns the level up to which every demand is served if `room` is divided max-min fairly, or `None`
/// if all demands fit. Sorts `demands`.
///
/// Demands below the level are served in full, the others get the level each.
pub fn fair_level(demands: &mut [u64], room: u64) -> Option<u64> {
    demands.sort_unstable();
    let mut left = room;
    let mut count = demands.len() as u64;
    for demand in demands.iter() {
        let level = left / count;
        if *demand > level {
            return Some(level);
        }
        left -= demand;
        count -= 1;
    }
    None
}
