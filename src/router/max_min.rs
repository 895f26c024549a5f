/// Divides `total` by max-min fairness: the smallest shares are as large as their demands allow.
///
/// Capacity beyond all demands goes to the smallest shares, so that an idle holder can start work
/// without waiting for a new share. `first` is the index that wins ties; callers vary it by
/// endpoint to spread remainders evenly.
pub(super) fn max_min_shares(total: u32, demands: &[u32], first: usize) -> Vec<u32> {
    let mut shares = vec![0; demands.len()];
    let mut left = total;
    while left > 0 && grow_smallest(&mut shares, first, |index, share| share < demands[index]) {
        left -= 1;
    }
    while left > 0 && grow_smallest(&mut shares, first, |_index, _share| true) {
        left -= 1;
    }
    shares
}

/// Adds one to the smallest share that may grow; returns false if none may.
pub(super) fn grow_smallest(
    shares: &mut [u32],
    first: usize,
    may_grow: impl Fn(usize, u32) -> bool,
) -> bool {
    let count = shares.len();
    let smallest = (0..count)
        .map(|offset| (first + offset) % count)
        .filter(|&index| may_grow(index, shares[index]))
        .min_by_key(|&index| shares[index]);
    let Some(index) = smallest else {
        return false;
    };
    shares[index] += 1;
    true
}
