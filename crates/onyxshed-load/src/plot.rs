//! Plots as SVG files: grouped bars, and points with a fitted line.

use std::path::Path;

use plotters::coord::Shift;
use plotters::coord::combinators::LogCoord;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;
use smol_str::{SmolStr, format_smolstr};

use crate::error::{Error, Result};
use crate::report::{Percentiles, Report};
use crate::tally::float;

/// A series of values with one bar per group.
#[derive(Debug, Clone)]
pub struct Series {
    /// Name of the series in the legend.
    pub name: SmolStr,
    /// One value per group.
    pub values: Vec<f64>,
}

/// A plot of grouped bars on a logarithmic scale that starts at `floor`.
#[derive(Debug, Clone)]
pub struct Bars {
    /// Title, drawn above the plot.
    pub title: SmolStr,
    /// Label of the vertical axis: the quantity with its unit.
    pub unit: &'static str,
    /// Start of the scale; smaller values have no bar.
    pub floor: f64,
    /// Names of the groups, drawn below their bars.
    pub groups: Vec<SmolStr>,
    /// The series, each with one value per group.
    pub series: Vec<Series>,
}

/// A plot of points with the line fitted to them.
#[derive(Debug, Clone)]
pub struct FitPlot {
    /// Title, drawn above the plot.
    pub title: SmolStr,
    /// Label of the horizontal axis: the quantity with its unit.
    pub x_unit: SmolStr,
    /// Label of the vertical axis: the quantity with its unit.
    pub y_unit: SmolStr,
    /// The measured points as pairs of x and y, in the units of the axes.
    pub points: Vec<(f64, f64)>,
    /// Value of the line at 0.
    pub intercept: f64,
    /// Rise of the line per unit of x.
    pub slope: f64,
}

const MARGIN: u32 = 12;
const GROUP_WIDTH: u32 = 64;
const BARS_HEIGHT: u32 = 360;
const FIT_SIZE: (u32, u32) = (480, 300);
const TITLE_FONT: (&str, u32) = ("sans-serif", 16);
const COLOURS: [RGBColor; 4] = [
    RGBColor(31, 119, 180),
    RGBColor(255, 127, 14),
    RGBColor(44, 160, 44),
    RGBColor(214, 39, 40),
];

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type BarChart<'a, 'b> =
    ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, LogCoord<f64>>>;
type DrawResult = std::result::Result<(), DrawingAreaErrorKind<std::io::Error>>;

impl Bars {
    /// Draws the plot into a file.
    pub fn draw(&self, path: &Path) -> Result<()> {
        let groups = u32::try_from(self.groups.len()).unwrap_or(u32::MAX);
        let width = 120 + groups.saturating_mul(GROUP_WIDTH).max(360);
        let area = SVGBackend::new(path, (width, BARS_HEIGHT)).into_drawing_area();
        self.paint(&area).map_err(|error| Error::draw(path, error))
    }

    fn paint(&self, area: &Area<'_>) -> DrawResult {
        area.fill(&WHITE)?;
        let right = self.groups.len() as f64;
        let mut chart = ChartBuilder::on(area)
            .caption(&self.title, TITLE_FONT)
            .margin(MARGIN)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..right, (self.floor..self.top()).log_scale())?;
        let label = |x: &f64| group_label(&self.groups, *x);
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(2 * self.groups.len() + 1)
            .x_label_formatter(&label)
            .y_desc(self.unit)
            .draw()?;
        for index in 0..self.series.len() {
            self.paint_series(&mut chart, index)?;
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .position(SeriesLabelPosition::UpperRight)
            .draw()?;
        area.present()
    }

    /// Draws the bars of one series next to those of the other series.
    fn paint_series(&self, chart: &mut BarChart<'_, '_>, index: usize) -> DrawResult {
        let series = &self.series[index];
        let width = 0.8 / self.series.len() as f64;
        let colour = COLOURS[index % COLOURS.len()];
        let offset = 0.1 + width * index as f64;
        let bars = series.values.iter().enumerate().map(|(group, value)| {
            let left = group as f64 + offset;
            let corner = (left + width, value.max(self.floor));
            Rectangle::new([(left, self.floor), corner], colour.filled())
        });
        let swatch = move |(x, y)| Rectangle::new([(x, y - 4), (x + 10, y + 4)], colour.filled());
        chart
            .draw_series(bars)?
            .label(series.name.as_str())
            .legend(swatch);
        Ok(())
    }

    fn top(&self) -> f64 {
        let values = self.series.iter().flat_map(|series| &series.values);
        2.0 * values.copied().fold(self.floor, f64::max)
    }
}

/// Returns the name of the group whose middle lies at `x`, or an empty text if there is none.
fn group_label(groups: &[SmolStr], x: f64) -> String {
    let group = groups
        .iter()
        .enumerate()
        .find(|(index, _)| (*index as f64 + 0.5 - x).abs() < 0.01);
    group.map_or_else(String::new, |(_, name)| name.to_string())
}

impl FitPlot {
    /// Draws the plot into a file.
    pub fn draw(&self, path: &Path) -> Result<()> {
        let area = SVGBackend::new(path, FIT_SIZE).into_drawing_area();
        self.paint(&area).map_err(|error| Error::draw(path, error))
    }

    fn paint(&self, area: &Area<'_>) -> DrawResult {
        area.fill(&WHITE)?;
        let right = self.points.iter().map(|(x, _)| *x).fold(1.0, f64::max) * 1.05;
        let top = self.points.iter().map(|(_, y)| *y).fold(1e-9, f64::max) * 1.1;
        let mut chart = ChartBuilder::on(area)
            .caption(&self.title, TITLE_FONT)
            .margin(MARGIN)
            .x_label_area_size(40)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        chart
            .configure_mesh()
            .max_light_lines(0)
            .x_labels(6)
            .y_labels(6)
            .x_desc(self.x_unit.as_str())
            .y_desc(self.y_unit.as_str())
            .draw()?;
        let line = [0.0, right].map(|x| (x, self.intercept + self.slope * x));
        chart.draw_series(LineSeries::new(line, COLOURS[1]))?;
        let points = self.points.iter();
        chart.draw_series(points.map(|point| Circle::new(*point, 3, COLOURS[0].filled())))?;
        area.present()
    }
}

/// Returns the plot of a run's response times divided by the ideal, by class.
pub fn ratio_bars(report: &Report) -> Bars {
    let percentile = |name, value: fn(&Percentiles) -> f64| Series {
        name: SmolStr::new_static(name),
        values: report.classes.iter().map(|c| value(&c.ratio)).collect(),
    };
    Bars {
        title: format_smolstr!("Response time over ideal, {}", report.mix),
        unit: "response time / ideal",
        floor: 1.0,
        groups: report.classes.iter().map(|c| c.class.into()).collect(),
        series: vec![
            percentile("p50", |ratio| ratio.p50),
            percentile("p90", |ratio| ratio.p90),
            percentile("p99", |ratio| ratio.p99),
        ],
    }
}

/// Returns the plot of a run's wasted messages by kind.
pub fn wasted_bars(report: &Report) -> Bars {
    let kinds = report.wasted.kinds();
    Bars {
        title: format_smolstr!("Wasted messages, {}", report.mix),
        unit: "messages",
        floor: 0.5,
        groups: kinds.iter().map(|(kind, _)| (*kind).into()).collect(),
        series: vec![Series {
            name: SmolStr::new_static("messages"),
            values: kinds.iter().map(|(_, count)| float(*count)).collect(),
        }],
    }
}
