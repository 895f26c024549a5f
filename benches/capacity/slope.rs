//! Fits least-squares lines over repeated runs.

/// A fitted line, `base + slope * size`, and the spread of its slope over the runs.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// Value at size zero.
    pub base: f64,
    /// Increase per unit of size.
    pub slope: f64,
    /// Difference between the largest and the smallest slope of the runs, in percent of the median
    /// slope.
    pub spread_pct: f64,
}

impl Line {
    /// Returns the value at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.slope.mul_add(size, self.base)
    }
}

/// Calls `measure` for all `sizes`, `runs` times over, fits a line to each run and returns the line
/// with the median slope.
pub fn measure(sizes: &[u32], runs: u32, mut measure: impl FnMut(u32) -> f64) -> Line {
    let mut fits: Vec<(f64, f64)> = (0..runs)
        .map(|_| {
            let points: Vec<_> = sizes
                .iter()
                .map(|size| (f64::from(*size), measure(*size)))
                .collect();
            fit(&points)
        })
        .collect();
    fits.sort_by(|a, b| a.1.total_cmp(&b.1));
    let (base, slope) = fits[fits.len() / 2];
    let slope_range = fits[fits.len() - 1].1 - fits[0].1;
    let spread_pct = if slope.abs() > f64::EPSILON {
        100.0 * slope_range / slope.abs()
    } else {
        0.0
    };
    Line {
        base,
        slope,
        spread_pct,
    }
}

/// Returns the base and the slope of the least-squares line.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = f64::from(u32::try_from(points.len()).expect("the number of points exceeds u32"));
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let variance: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (slope.mul_add(-mean_x, mean_y), slope)
}
