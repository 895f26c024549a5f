//! Binary logarithms in integer arithmetic, so that every processor computes the same placement.

use derive_more::{Add, AddAssign, Sub};

/// The value of one doubling.
const DOUBLING: i64 = 256;
/// The curvature of the logarithm between two powers of two, in parts per thousand of the product of
/// the distances to both. The result differs by less than 1% from the exact one.
const CURVATURE_PER_MILLE: i64 = 344;

/// The logarithm of a positive number or ratio, in 1/256 of a doubling.
#[derive(Add, AddAssign, Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Sub)]
pub(super) struct Log2(pub(super) i64);

impl Log2 {
    /// The logarithm of a number; of 1 for 0.
    pub(super) fn of(number: u64) -> Self {
        let number = number.clamp(1, u64::MAX >> 16);
        let doublings = i64::from(number.ilog2());
        // At most 2^9, as the number is below twice its highest power of two.
        let scaled = (number << 8) >> number.ilog2();
        let part = i64::try_from(scaled).unwrap_or(DOUBLING) - DOUBLING;
        Self(doublings * DOUBLING + part + curvature(part))
    }

    /// Multiplies a number by the ratio of which this is the logarithm.
    pub(super) fn scale(self, number: u64) -> u64 {
        let doublings = self.0.div_euclid(DOUBLING).clamp(-62, 62);
        let part = self.0.rem_euclid(DOUBLING);
        let mantissa = u64::try_from(DOUBLING + part - curvature(part)).unwrap_or_default();
        let scaled = u128::from(number) * u128::from(mantissa);
        let scaled = if doublings < 0 {
            scaled >> doublings.unsigned_abs()
        } else {
            scaled << doublings
        };
        u64::try_from(scaled >> 8).unwrap_or(u64::MAX)
    }

    /// Limits the value to at most this distance from zero.
    pub(super) fn clamp_to(self, most: Self) -> Self {
        Self(self.0.clamp(-most.0, most.0))
    }
}

/// How far the logarithm lies above the line between two powers of two.
const fn curvature(part: i64) -> i64 {
    part * (DOUBLING - part) * CURVATURE_PER_MILLE / 1_000 / DOUBLING
}
