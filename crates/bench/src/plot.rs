//! Plots as SVG.

use plotters::coord::Shift;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;
use std::ops::Range;

const SIZE: (u32, u32) = (720, 320);
/// Size of plots with many lines above each other.
const TALL: (u32, u32) = (720, 900);
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(90, 90, 90),
];

/// One line of a plot.
#[derive(Clone, Debug)]
pub struct Series {
    /// Its name in the legend.
    pub name: String,
    /// Its points, in order of x.
    pub points: Vec<(f64, f64)>,
}

/// A plot's texts.
#[derive(Clone, Copy, Debug)]
pub struct PlotTexts<'a> {
    /// Title.
    pub title: &'a str,
    /// Name of the horizontal axis.
    pub x: &'a str,
    /// Name of the vertical axis.
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

/// Draws lines; a plot that can't be drawn is replaced by the reason.
pub fn line_plot(texts: PlotTexts<'_>, series: &[Series]) -> String {
    let mut svg = String::new();
    match draw(texts, series, &mut svg) {
        Ok(()) => svg,
        Err(error) => format!("<p>{}: {error}</p>", texts.title),
    }
}

/// A plot with two axes of numbers, as SVG.
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// An empty plot with its title and axes.
fn chart_on<'a, 'b>(
    root: &'a DrawingArea<SVGBackend<'b>, Shift>,
    texts: PlotTexts<'_>,
    x: Range<f64>,
    y: Range<f64>,
) -> Result<Chart<'a, 'b>, Box<dyn std::error::Error>>
where
    'b: 'a,
{
    let mut chart = ChartBuilder::on(root)
        .caption(texts.title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(x, y)?;
    chart.configure_mesh().x_desc(texts.x).y_desc(texts.y).light_line_style(WHITE).draw()?;
    Ok(chart)
}

/// The colour's line in the legend.
fn legend_line((x, y): (i32, i32), colour: RGBColor) -> PathElement<(i32, i32)> {
    PathElement::new([(x, y), (x + 16, y)], colour)
}

fn draw(texts: PlotTexts<'_>, series: &[Series], svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let (x, y) = bounds(series);
    let mut chart = chart_on(&root, texts, x.0..x.1, y.0..y.1)?;
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

/// A stretch of time in something's life.
#[derive(Clone, Copy, Debug)]
pub struct LifePhase {
    /// Its name in the legend.
    pub name: &'static str,
    /// When it begins.
    pub from: f64,
    /// When it ends.
    pub to: f64,
}

/// The phases of one thing, drawn beside each other at the height of its number.
#[derive(Clone, Debug)]
pub struct LifeLine {
    /// Its number.
    pub number: u64,
    /// Its phases; the same ones in each line, empty ones among them.
    pub phases: Vec<LifePhase>,
}

/// Draws life lines; a plot that can't be drawn is replaced by the reason.
pub fn life_lines(texts: PlotTexts<'_>, lives: &[LifeLine]) -> String {
    let mut svg = String::new();
    match draw_lives(texts, lives, &mut svg) {
        Ok(()) => svg,
        Err(error) => format!("<p>{}: {error}</p>", texts.title),
    }
}

fn draw_lives(
    texts: PlotTexts<'_>,
    lives: &[LifeLine],
    svg: &mut String,
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(svg, TALL).into_drawing_area();
    root.fill(&WHITE)?;
    let phases = || lives.iter().flat_map(|life| &life.phases);
    let from = phases().map(|phase| phase.from).fold(f64::MAX, f64::min).min(0.0);
    let to = phases().map(|phase| phase.to).fold(f64::MIN, f64::max).max(from + 1.0);
    let lowest = lives.first().map_or(0.0, |life| life.number as f64 - 1.0);
    let highest = lives.last().map_or(1.0, |life| life.number as f64 + 1.0);
    let mut chart = chart_on(&root, texts, from..to, lowest..highest)?;
    let names = lives.first().map(|life| life.phases.len()).unwrap_or_default();
    for index in 0..names {
        let colour = COLOURS[index % COLOURS.len()];
        let stretch = |life: &LifeLine| {
            let phase = life.phases.get(index)?;
            let height = life.number as f64;
            let ends = vec![(phase.from, height), (phase.to, height)];
            (phase.to > phase.from).then(|| PathElement::new(ends, colour.stroke_width(2)))
        };
        let name = lives[0].phases[index].name;
        let drawn = chart.draw_series(lives.iter().filter_map(stretch))?;
        drawn.label(name).legend(move |at| legend_line(at, colour));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

/// The distribution of samples as a line from share to value.
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
