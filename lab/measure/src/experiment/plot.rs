//! Draws plots as SVG files.

use std::path::Path;

use plotters::prelude::*;
use thiserror::Error;

use crate::fit::Line;

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (800, 450);
const MARGIN: u32 = 12;
const LABEL_AREA: u32 = 60;
const POINT_SIZE: u32 = 4;
/// Ratio of the upper end of an axis to the highest value on it.
const AXIS_SCALE: f64 = 1.1;

/// A plot could not be drawn.
#[derive(Debug, Error)]
#[error("a plot could not be drawn: {0}")]
pub struct PlotError(String);

/// One series of a plot.
#[derive(Clone, Debug)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points as (x, y).
    pub points: Vec<(f64, f64)>,
    /// Whether the points are connected by a curve instead of drawn as circles.
    pub joined: bool,
    /// Fitted line, drawn through points that are not connected.
    pub line: Option<Line>,
}

/// Title and axis labels of a plot.
#[derive(Clone, Debug)]
pub struct Caption<'a> {
    /// Title of the plot.
    pub title: &'a str,
    /// Label of the horizontal axis.
    pub x: &'a str,
    /// Label of the vertical axis.
    pub y: &'a str,
}

/// Draws `series` and writes the plot to the file at `path`.
///
/// # Errors
/// When the plot cannot be drawn or the file cannot be written.
pub fn draw(path: &Path, caption: &Caption<'_>, series: &[Series]) -> Result<(), PlotError> {
    let failed = |error: &dyn std::fmt::Display| PlotError(error.to_string());
    let (right, top) = bounds(series);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| failed(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(caption.title, ("sans-serif", 18))
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..right, 0.0..top)
        .map_err(|error| failed(&error))?;
    chart
        .configure_mesh()
        .x_desc(caption.x)
        .y_desc(caption.y)
        .draw()
        .map_err(|error| failed(&error))?;
    for (index, entry) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = entry.points.iter();
        if entry.joined {
            let joined = LineSeries::new(points.copied(), color);
            chart
                .draw_series(joined)
                .map_err(|error| failed(&error))?
                .label(&entry.name)
                .legend(move |(x, y)| Circle::new((x, y), POINT_SIZE, color.filled()));
            continue;
        }
        let circles = points.map(|point| Circle::new(*point, POINT_SIZE, color.filled()));
        chart
            .draw_series(circles)
            .map_err(|error| failed(&error))?
            .label(&entry.name)
            .legend(move |(x, y)| Circle::new((x, y), POINT_SIZE, color.filled()));
        if let Some(line) = entry.line {
            let ends = [(0.0, line.at(0.0).max(0.0)), (right, line.at(right))];
            chart
                .draw_series(LineSeries::new(ends, color))
                .map_err(|error| failed(&error))?;
        }
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()
        .map_err(|error| failed(&error))?;
    area.present().map_err(|error| failed(&error))
}

/// Returns the upper ends of the horizontal and the vertical axis.
fn bounds(series: &[Series]) -> (f64, f64) {
    let points = series.iter().flat_map(|entry| &entry.points);
    let (right, top) = points.fold((0.0_f64, 0.0_f64), |(right, top), (x, y)| {
        (right.max(*x), top.max(*y))
    });
    let axis_end = |end: f64| if end > 0.0 { end * AXIS_SCALE } else { 1.0 };
    (axis_end(right), axis_end(top))
}
