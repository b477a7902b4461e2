//! Results of many plays, as a table and a plot.

use {
    crate::{error::Error, pattern::Pattern},
    gingerpier_admission::shedding::ReturnPolicy,
    plotters::prelude::{
        BLUE, ChartBuilder, IntoDrawingArea, LineSeries, RED, RGBColor, SVGBackend, WHITE,
    },
    std::{fmt::Write as _, fs, path::Path},
};

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (800, 500);

/// Colours of the ways, by their order.
const COLOURS: [RGBColor; 4] = [RED, BLUE, RGBColor(0, 130, 60), RGBColor(150, 90, 0)];

/// Shares of callers that fared in one way, and the worth of all.
#[derive(Debug, Clone, Copy, Default)]
pub struct Shares {
    /// Worth, as a part of what it could have been.
    pub worth: f64,
    /// In time.
    pub in_time: f64,
    /// Late.
    pub late: f64,
    /// Refused for good.
    pub refused: f64,
    /// Without an answer.
    pub lost: f64,
}

/// Plays of one way under one load pattern, over seeds.
#[derive(Debug, Clone)]
pub struct Row {
    /// Way.
    pub way: ReturnPolicy,
    /// Pattern.
    pub pattern: Pattern,
    /// Load, as a part of the capacity.
    pub load: f64,
    /// Results, by seed.
    pub plays: Vec<Shares>,
}

impl Row {
    fn mean(&self, part: impl Fn(&Shares) -> f64) -> f64 {
        self.plays.iter().map(part).sum::<f64>() / self.plays.len().max(1) as f64
    }

    /// Standard deviation of the worth over seeds.
    fn spread(&self) -> f64 {
        let mean = self.mean(|play| play.worth);
        self.mean(|play| (play.worth - mean).powi(2)).sqrt()
    }
}

/// The table, in Markdown.
pub fn table(rows: &[Row]) -> String {
    let mut text = String::from(
        "| pattern | load | way | worth | in time | late | refused | lost |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for row in rows {
        // Writing into a text can't fail.
        let _ = writeln!(
            text,
            "| {} | {} | {} | {:.3} ± {:.3} | {:.3} | {:.3} | {:.3} | {:.3} |",
            row.pattern,
            row.load,
            row.way,
            row.mean(|play| play.worth),
            row.spread(),
            row.mean(|play| play.in_time),
            row.mean(|play| play.late),
            row.mean(|play| play.refused),
            row.mean(|play| play.lost),
        );
    }
    text
}

/// Writes the table to `file`.
///
/// # Errors
///
/// Where the file can't be written.
pub fn write(rows: &[Row], file: &Path) -> Result<(), Error> {
    fs::write(file, table(rows)).map_err(|what| Error::Write(file.to_owned(), what))
}

/// Draws the worth of each way over the load, under `pattern`.
///
/// # Errors
///
/// Where it can't be drawn.
pub fn plot(rows: &[Row], pattern: Pattern, file: &Path) -> Result<(), Error> {
    draw(rows, pattern, file).map_err(|what| Error::Plot(what.to_string()))
}

fn draw(rows: &[Row], pattern: Pattern, file: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let shown: Vec<&Row> = rows.iter().filter(|row| row.pattern == pattern).collect();
    let most = shown.iter().map(|row| row.load).fold(1.0, f64::max);
    let area = SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(20)
        .build_cartesian_2d(0.0..most, 0.0..1.0)?;
    for (way, colour) in ReturnPolicy::ALL.into_iter().zip(COLOURS) {
        let own = shown.iter().filter(|row| row.way == way);
        let points = own.map(|row| (row.load, row.mean(|play| play.worth)));
        chart.draw_series(LineSeries::new(points, &colour))?;
    }
    area.present()?;
    Ok(())
}
