//! Sums of amounts of work up to a limit.

use std::collections::BTreeMap;

/// Number of buckets for each doubling of the amount.
const BUCKETS_PER_DOUBLING: u32 = 64;

/// Number of low-order bits of a bucket's number that divide a doubling.
const FRACTION_BITS: u32 = BUCKETS_PER_DOUBLING.ilog2();

/// Number of buckets; together they cover every `u64`.
const BUCKETS: usize = ((u64::BITS + 1) * BUCKETS_PER_DOUBLING) as usize;

/// A multiset of amounts, such as the waiting work of jobs, that returns the sum of all amounts up to a
/// limit.
///
/// Amounts are grouped into buckets of geometrically growing width. A Fenwick tree has the sums of
/// the whole buckets, and the amounts in the bucket of the limit are added one by one.
#[derive(Debug, Clone)]
pub(crate) struct WorkSum {
    /// Fenwick tree over the sums of the buckets; the first element is unused.
    tree: Vec<u64>,
    /// Number of times that each amount is contained.
    counts: BTreeMap<u64, u32>,
    total: u64,
}

impl Default for WorkSum {
    fn default() -> Self {
        WorkSum {
            tree: vec![0; BUCKETS + 1],
            counts: BTreeMap::new(),
            total: 0,
        }
    }
}

impl WorkSum {
    /// Returns the sum of all amounts.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Adds an amount.
    pub fn add(&mut self, amount: u64) {
        self.total += amount;
        *self.counts.entry(amount).or_default() += 1;
        self.update_tree(amount, |sum| sum.wrapping_add(amount));
    }

    /// Removes an amount that was added before.
    pub fn remove(&mut self, amount: u64) {
        let Some(count) = self.counts.get_mut(&amount) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(&amount);
        }
        self.total -= amount;
        self.update_tree(amount, |sum| sum.wrapping_sub(amount));
    }

    /// Returns the sum of the amounts that are at most `limit`.
    pub fn up_to(&self, limit: u64) -> u64 {
        let bucket = bucket_of(limit);
        let mut sum = 0;
        let mut position = bucket;
        while position > 0 {
            sum += self.tree[position];
            position &= position - 1;
        }
        let in_bucket = self.counts.range(first_of(bucket)..=limit);
        sum + in_bucket
            .map(|(amount, count)| amount * u64::from(*count))
            .sum::<u64>()
    }

    fn update_tree(&mut self, amount: u64, update: impl Fn(u64) -> u64) {
        let mut position = bucket_of(amount) + 1;
        while position < self.tree.len() {
            self.tree[position] = update(self.tree[position]);
            position += position & position.wrapping_neg();
        }
    }
}

/// Returns the number of an amount's bucket, from 0; larger amounts have no smaller numbers.
fn bucket_of(amount: u64) -> usize {
    let shift = shift_of(amount);
    let number = u64::from(shift << FRACTION_BITS) + (amount >> shift);
    usize::try_from(number).unwrap_or(BUCKETS - 1)
}

/// Returns the number of low-order bits in which the amounts of a bucket differ.
fn shift_of(amount: u64) -> u32 {
    (u64::BITS - amount.leading_zeros()).saturating_sub(FRACTION_BITS + 1)
}

/// Returns the smallest amount of a bucket.
fn first_of(bucket: usize) -> u64 {
    let number = bucket as u64;
    let shift = (number >> FRACTION_BITS).saturating_sub(1);
    match shift {
        0 => number,
        _ => (number - (shift << FRACTION_BITS)) << shift,
    }
}
