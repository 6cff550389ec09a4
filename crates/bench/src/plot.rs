//! Plots as SVG.

use plotters::prelude::*;

const SIZE: (u32, u32) = (720, 320);
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

fn draw(texts: PlotTexts<'_>, series: &[Series], svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let (x, y) = bounds(series);
    let mut chart = ChartBuilder::on(&root)
        .caption(texts.title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(x.0..x.1, y.0..y.1)?;
    chart.configure_mesh().x_desc(texts.x).y_desc(texts.y).light_line_style(WHITE).draw()?;
    for (index, line) in series.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let drawn =
            chart.draw_series(LineSeries::new(line.points.iter().copied(), colour.stroke_width(2)))?;
        drawn.label(&line.name).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        chart
            .draw_series(line.points.iter().take(64).map(|point| Circle::new(*point, 2, colour.filled())))?;
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
