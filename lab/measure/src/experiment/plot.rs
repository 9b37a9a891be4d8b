//! Plots as SVG.

use std::path::Path;

use plotters::prelude::*;
use thiserror::Error;

use crate::fit::Line;

const SIZE: (u32, u32) = (800, 450);
const MARGIN: u32 = 12;
const LABEL_AREA: u32 = 60;
const POINT_SIZE: u32 = 4;
/// Room above the highest point, as a share of it.
const HEADROOM: f64 = 1.1;

/// Why a plot was not drawn.
#[derive(Debug, Error)]
#[error("a plot was not drawn: {0}")]
pub struct PlotError(String);

/// One series of a plot.
#[derive(Clone, Debug)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Its points.
    pub points: Vec<(f64, f64)>,
    /// Whether the points are joined.
    pub joined: bool,
    /// A line through them.
    pub line: Option<Line>,
}

/// Title and names of the axes.
#[derive(Clone, Debug)]
pub struct Caption<'a> {
    /// Title.
    pub title: &'a str,
    /// Horizontal axis.
    pub x: &'a str,
    /// Vertical axis.
    pub y: &'a str,
}

/// Draws `series` into the file at `path`.
///
/// # Errors
/// When the file cannot be written.
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
    for (index, one) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = one.points.iter();
        if one.joined {
            let joined = LineSeries::new(points.copied(), color);
            chart
                .draw_series(joined)
                .map_err(|error| failed(&error))?
                .label(&one.name)
                .legend(move |(x, y)| Circle::new((x, y), POINT_SIZE, color.filled()));
            continue;
        }
        let circles = points.map(|point| Circle::new(*point, POINT_SIZE, color.filled()));
        chart
            .draw_series(circles)
            .map_err(|error| failed(&error))?
            .label(&one.name)
            .legend(move |(x, y)| Circle::new((x, y), POINT_SIZE, color.filled()));
        if let Some(line) = one.line {
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

/// The upper ends of both axes.
fn bounds(series: &[Series]) -> (f64, f64) {
    let points = series.iter().flat_map(|one| &one.points);
    let (right, top) = points.fold((0.0_f64, 0.0_f64), |(right, top), (x, y)| {
        (right.max(*x), top.max(*y))
    });
    let with_room = |end: f64| if end > 0.0 { end * HEADROOM } else { 1.0 };
    (with_room(right), with_room(top))
}
