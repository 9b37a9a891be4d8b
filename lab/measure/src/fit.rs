//! Least-squares lines through measured points, and summaries of repeated measurements.

use serde::Serialize;

/// A straight line `y = intercept + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Value at `x = 0`.
    pub intercept: f64,
    /// Growth per unit of `x`.
    pub slope: f64,
    /// Coefficient of determination: the share of the variance of `y` that the line explains,
    /// from 0 to 1.
    pub r_squared: f64,
}

impl Line {
    /// Fits a least-squares line through `points`; `None` for fewer than two distinct values
    /// of `x`.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let sum = |of: &dyn Fn(f64, f64) -> f64| {
            let parts = points.iter().map(|(x, y)| of(x - mean_x, y - mean_y));
            parts.sum::<f64>()
        };
        let square_x = sum(&|x, _| x * x);
        if points.len() < 2 || square_x <= 0.0 {
            return None;
        }
        let slope = sum(&|x, y| x * y) / square_x;
        let intercept = mean_y - slope * mean_x;
        let total = sum(&|_, y| y * y);
        let residual = sum(&|x, y| (y - slope * x).powi(2));
        let r_squared = if total > 0.0 {
            1.0 - residual / total
        } else {
            1.0
        };
        Some(Self {
            intercept,
            slope,
            r_squared,
        })
    }

    /// Returns the value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// Median, 99th percentile and extremes of repeated measurements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// Number of measurements.
    pub count: usize,
    /// Smallest value.
    pub low: f64,
    /// Median.
    pub median: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest value.
    pub high: f64,
}

impl Spread {
    /// Summarizes `values`; `None` when there are none.
    pub fn of(values: impl IntoIterator<Item = f64>) -> Option<Self> {
        let mut values: Vec<f64> = values.into_iter().collect();
        values.sort_by(f64::total_cmp);
        let at = |quantile: f64| {
            let rank = (values.len() as f64 * quantile).ceil() as usize;
            values.get(rank.saturating_sub(1)).copied()
        };
        Some(Self {
            count: values.len(),
            low: *values.first()?,
            median: at(0.5)?,
            p99: at(0.99)?,
            high: *values.last()?,
        })
    }
}
