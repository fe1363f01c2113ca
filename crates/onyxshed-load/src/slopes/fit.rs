//! Measured points and the straight line fitted to them.

use std::fmt;

use serde::Serialize;
use smol_str::format_smolstr;

use crate::plot::FitPlot;

/// Measured points of one quantity against a size.
#[derive(Debug, Clone)]
pub struct Slope {
    /// Name of the quantity, which is also the name of its JSON and SVG files without the
    /// extension.
    pub name: &'static str,
    /// The size that is varied, with its unit.
    pub x_unit: &'static str,
    /// The quantity that is measured, with its unit.
    pub y_unit: &'static str,
    /// The points, as size and quantity.
    pub points: Vec<(f64, f64)>,
}

/// A line fitted by least squares.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Fit {
    /// Value of the line at 0.
    pub intercept: f64,
    /// Rise of the line per unit of x.
    pub slope: f64,
    /// Largest vertical distance of a point from the line.
    pub residual_max: f64,
}

impl Slope {
    /// Returns a [`Slope`] without points.
    pub fn new(name: &'static str, x_unit: &'static str, y_unit: &'static str) -> Self {
        Slope {
            name,
            x_unit,
            y_unit,
            points: Vec::new(),
        }
    }

    /// Adds a point: the quantity `y`, measured at the size `x`.
    pub fn add_point(&mut self, x: f64, y: f64) {
        self.points.push((x, y));
    }

    /// Returns the line fitted by least squares. It is horizontal if there are fewer than two
    /// different values of x.
    pub fn fit(&self) -> Fit {
        let count = self.points.len().max(1) as f64;
        let mean = |pick: fn(&(f64, f64)) -> f64| self.points.iter().map(pick).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let points = self.points.iter();
        let sum_xy: f64 = points.map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let sum_xx: f64 = self.points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        let intercept = mean_y - slope * mean_x;
        let residuals = self.points.iter();
        let residuals = residuals.map(|(x, y)| (y - intercept - slope * x).abs());
        Fit {
            intercept,
            slope,
            residual_max: residuals.fold(0.0, f64::max),
        }
    }

    /// Returns the plot of the points and the fitted line.
    pub fn plot(&self) -> FitPlot {
        let fit = self.fit();
        FitPlot {
            title: format_smolstr!("{} against {}", self.y_unit, self.x_unit),
            x_unit: self.x_unit.into(),
            y_unit: self.y_unit.into(),
            points: self.points.clone(),
            intercept: fit.intercept,
            slope: fit.slope,
        }
    }
}

impl fmt::Display for Slope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fit = self.fit();
        write!(
            f,
            "{}: {} = {:.4} + {:.6} x {}, residual at most {:.4};",
            self.name, self.y_unit, fit.intercept, fit.slope, self.x_unit, fit.residual_max
        )?;
        let mut points = self.points.iter();
        points.try_for_each(|(x, y)| write!(f, " ({x:.0}, {y:.2})"))
    }
}
