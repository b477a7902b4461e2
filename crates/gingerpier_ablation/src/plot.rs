//! The plot of results: for each mechanism and day, the mean of what it is worth, and its spread.

use {
    crate::{error::Error, journal::Outcome, statistics::Effect, table::Table},
    plotters::prelude::{
        ChartBuilder, Circle, Color, IntoDrawingArea, Palette, Palette99, PathElement, SVGBackend,
        WHITE,
    },
    std::path::Path,
};

/// Width of the plot, in pixels.
const WIDTH: u32 = 900;

/// Height of the line of one mechanism, in pixels.
const LINE_HEIGHT: u32 = 44;

/// Height of what is above and below the lines, in pixels.
const FRAME_HEIGHT: u32 = 110;

/// Room for names on the left, in pixels.
const NAMES_WIDTH: u32 = 130;

/// Draws what `outcomes` say of `table` into an SVG file; mechanisms that were not played are left out.
///
/// # Errors
///
/// Where it can't be drawn or written.
pub fn draw(table: &Table, outcomes: &[Outcome], path: &Path) -> Result<(), Error> {
    let mut table = table.clone();
    table.mechanism.retain(|mechanism| {
        let mut days = table.day.iter();
        days.any(|day| Effect::of(outcomes, &mechanism.name, day).is_some())
    });
    let drawn = draw_all(&table, outcomes, path);
    drawn.map_err(|cause| Error::Plot(cause.to_string()))
}

fn draw_all(
    table: &Table,
    outcomes: &[Outcome],
    path: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let series: Vec<Vec<(f64, Effect)>> = (0..table.day.len())
        .map(|day| effects(table, outcomes, day))
        .collect();
    let reach = |effect: &Effect| effect.gain.mean.abs() + effect.gain.spread.unwrap_or_default();
    let reaches = series.iter().flatten().map(|(_, effect)| reach(effect));
    let farthest = reaches.fold(0.02, f64::max) * 1.1;
    let count = table.mechanism.len();
    let height = FRAME_HEIGHT + LINE_HEIGHT * count as u32;
    let area = SVGBackend::new(path, (WIDTH, height)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(NAMES_WIDTH)
        .build_cartesian_2d(-farthest..farthest, count as f64 - 0.5..-0.5)?;
    let name = |line: &f64| {
        let is_whole = line.fract().abs() < 1e-6 && *line >= 0.0;
        let mechanism = table.mechanism.get(*line as usize).filter(|_| is_whole);
        mechanism.map_or_else(String::new, |one| one.name.clone())
    };
    chart
        .configure_mesh()
        .y_labels(count * 2)
        .y_label_formatter(&name)
        .x_desc("worth with it less worth without it: mean and standard deviation over seeds")
        .draw()?;
    for (place, (day, effects)) in table.day.iter().zip(&series).enumerate() {
        let colour = Palette99::pick(place).to_rgba();
        chart.draw_series(effects.iter().map(|(line, effect)| {
            let (mean, spread) = (effect.gain.mean, effect.gain.spread.unwrap_or_default());
            let ends = [mean - spread, mean + spread].map(|end| (end, *line));
            PathElement::new(ends, colour.stroke_width(2))
        }))?;
        let means = effects
            .iter()
            .map(|(line, effect)| (effect.gain.mean, *line));
        chart
            .draw_series(means.map(|mean| Circle::new(mean, 4, colour.filled())))?
            .label(format!("{}, {}", day.site, day.name()))
            .legend(move |place| Circle::new(place, 4, colour.filled()));
    }
    let mut labels = chart.configure_series_labels();
    labels.background_style(WHITE.mix(0.8)).draw()?;
    area.present()?;
    Ok(())
}

/// Effects on one day, and the heights at which they are drawn: days lie beside each other in the line of
/// a mechanism.
fn effects(table: &Table, outcomes: &[Outcome], day: usize) -> Vec<(f64, Effect)> {
    let offset = 0.6 * ((day as f64 + 0.5) / table.day.len() as f64 - 0.5);
    let lines = table.mechanism.iter().enumerate();
    let effects = lines.filter_map(|(line, mechanism)| {
        let effect = Effect::of(outcomes, &mechanism.name, &table.day[day])?;
        Some((line as f64 + offset, effect))
    });
    effects.collect()
}
