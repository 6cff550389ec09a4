//! SVG plots.

use plotters::coord::Shift;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;
use std::ops::Range;

/// Size of a line plot, in pixels.
const PLOT_SIZE: (u32, u32) = (720, 320);
/// Size of a phase plot, which has many rows, in pixels.
const PHASE_PLOT_SIZE: (u32, u32) = (720, 900);
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(90, 90, 90),
];

/// One data series of a plot.
#[derive(Clone, Debug)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points, ordered by x.
    pub points: Vec<(f64, f64)>,
}

/// Title and axis labels of a plot.
#[derive(Clone, Copy, Debug)]
pub struct PlotLabels<'a> {
    /// Title.
    pub title: &'a str,
    /// Label of the horizontal axis.
    pub x: &'a str,
    /// Label of the vertical axis.
    pub y: &'a str,
}

fn bounds(series: &[Series]) -> ((f64, f64), (f64, f64)) {
    let points = series.iter().flat_map(|line| line.points.iter());
    let mut x = (f64::MAX, f64::MIN);
    let mut highest: f64 = 0.0;
    for (at, value) in points {
        x = (x.0.min(*at), x.1.max(*at));
        highest = highest.max(*value);
    }
    if x.0 >= x.1 {
        x = (0.0, x.1.max(1.0));
    }
    (x, (0.0, if highest > 0.0 { highest * 1.05 } else { 1.0 }))
}

/// Draws a line plot; returns the error message as HTML if drawing fails.
pub fn line_plot(labels: PlotLabels<'_>, series: &[Series]) -> String {
    let mut svg = String::new();
    match draw(labels, series, &mut svg) {
        Ok(()) => svg,
        Err(error) => format!("<p>{}: {error}</p>", labels.title),
    }
}

/// An SVG chart with two numeric axes.
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// Draws the title and axes of a plot.
fn chart_with_axes<'a, 'b>(
    root: &'a DrawingArea<SVGBackend<'b>, Shift>,
    labels: PlotLabels<'_>,
    x: Range<f64>,
    y: Range<f64>,
) -> Result<Chart<'a, 'b>, Box<dyn std::error::Error>>
where
    'b: 'a,
{
    let mut chart = ChartBuilder::on(root)
        .caption(labels.title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(x, y)?;
    chart.configure_mesh().x_desc(labels.x).y_desc(labels.y).light_line_style(WHITE).draw()?;
    Ok(chart)
}

/// The line that shows a colour in the legend.
fn legend_line((x, y): (i32, i32), colour: RGBColor) -> PathElement<(i32, i32)> {
    PathElement::new([(x, y), (x + 16, y)], colour)
}

fn draw(
    labels: PlotLabels<'_>,
    series: &[Series],
    svg: &mut String,
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let (x, y) = bounds(series);
    let mut chart = chart_with_axes(&root, labels, x.0..x.1, y.0..y.1)?;
    for (index, line) in series.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let drawn =
            chart.draw_series(LineSeries::new(line.points.iter().copied(), colour.stroke_width(2)))?;
        drawn.label(&line.name).legend(move |at| legend_line(at, colour));
        chart
            .draw_series(line.points.iter().take(64).map(|point| Circle::new(*point, 2, colour.filled())))?;
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

/// The time span of one phase of a lifecycle.
#[derive(Clone, Copy, Debug)]
pub struct PhaseSpan {
    /// Name in the legend.
    pub name: &'static str,
    /// Start.
    pub from: f64,
    /// End.
    pub to: f64,
}

/// The phases of one item, drawn as a row at the height of its number.
#[derive(Clone, Debug)]
pub struct PhaseRow {
    /// Number of the item, its position on the vertical axis.
    pub number: u64,
    /// The phases. Every row has the same ones in the same order; a phase may be empty.
    pub phases: Vec<PhaseSpan>,
}

/// Draws a phase plot; returns the error message as HTML if drawing fails.
pub fn phase_plot(labels: PlotLabels<'_>, rows: &[PhaseRow]) -> String {
    let mut svg = String::new();
    match draw_phases(labels, rows, &mut svg) {
        Ok(()) => svg,
        Err(error) => format!("<p>{}: {error}</p>", labels.title),
    }
}

fn draw_phases(
    labels: PlotLabels<'_>,
    rows: &[PhaseRow],
    svg: &mut String,
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(svg, PHASE_PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let phases = || rows.iter().flat_map(|row| &row.phases);
    let from = phases().map(|phase| phase.from).fold(f64::MAX, f64::min).min(0.0);
    let to = phases().map(|phase| phase.to).fold(f64::MIN, f64::max).max(from + 1.0);
    let lowest = rows.first().map_or(0.0, |row| row.number as f64 - 1.0);
    let highest = rows.last().map_or(1.0, |row| row.number as f64 + 1.0);
    let mut chart = chart_with_axes(&root, labels, from..to, lowest..highest)?;
    let names = rows.first().map(|row| row.phases.len()).unwrap_or_default();
    for index in 0..names {
        let colour = COLOURS[index % COLOURS.len()];
        let segment = |row: &PhaseRow| {
            let phase = row.phases.get(index)?;
            let height = row.number as f64;
            let ends = vec![(phase.from, height), (phase.to, height)];
            (phase.to > phase.from).then(|| PathElement::new(ends, colour.stroke_width(2)))
        };
        let name = rows[0].phases[index].name;
        let drawn = chart.draw_series(rows.iter().filter_map(segment))?;
        drawn.label(name).legend(move |at| legend_line(at, colour));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

/// The distribution of samples as a series of values by percentile.
pub fn distribution(name: &str, mut samples: Vec<f64>) -> Series {
    const STEPS: usize = 100;
    samples.sort_by(f64::total_cmp);
    let points = if samples.is_empty() {
        Vec::new()
    } else {
        (0..=STEPS)
            .map(|step| {
                let index = step * (samples.len() - 1) / STEPS;
                (step as f64, samples[index])
            })
            .collect()
    };
    Series { name: name.to_string(), points }
}
