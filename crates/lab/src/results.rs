//! Results as Markdown tables and SVG charts.

use plotters::prelude::*;
use std::fs;
use std::ops::Range;
use std::path::Path;

/// A chart's width and height, in pixels.
const CHART_SIZE: (u32, u32) = (760, 440);
/// The least x of a chart: its axis is logarithmic.
const MIN_X: f64 = 1e-3;

/// A table of texts.
pub struct Table {
    /// The heads of its columns.
    pub headers: Vec<&'static str>,
    /// Its rows, with a cell for each head.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// The table as Markdown.
    pub fn to_markdown(&self) -> String {
        let line = |cells: Vec<&str>| format!("| {} |\n", cells.join(" | "));
        let mut out = line(self.headers.clone());
        out += &line(vec!["---"; self.headers.len()]);
        for row in &self.rows {
            out += &line(row.iter().map(String::as_str).collect());
        }
        out
    }
}

/// Writes a table to `NAME.md` in a folder, below a description.
pub fn write_table(folder: &Path, name: &str, description: &str, table: &Table) -> anyhow::Result<()> {
    fs::create_dir_all(folder)?;
    let text = format!("{description}\n\n{}", table.to_markdown());
    Ok(fs::write(folder.join(format!("{name}.md")), text)?)
}

/// Prints a table and, if a folder was named, writes it to `NAME.md` there, below a description.
pub fn print_and_write_table(
    folder: Option<&Path>,
    name: &str,
    description: &str,
    table: &Table,
) -> anyhow::Result<()> {
    println!("{}", table.to_markdown());
    folder.map_or(Ok(()), |folder| write_table(folder, name, description, table))
}

/// A line of a chart.
pub struct Line {
    /// What it shows.
    pub name: String,
    /// Its points, x and y.
    pub points: Vec<(f64, f64)>,
}

/// What a chart's axes show.
pub struct Axes {
    /// Above the chart.
    pub title: &'static str,
    /// Below it.
    pub x: &'static str,
    /// Beside it.
    pub y: &'static str,
    /// The span of y.
    pub y_range: Range<f64>,
}

/// A chart of lines.
pub struct Chart<'a> {
    /// What its axes show.
    pub axes: Axes,
    /// Its lines.
    pub lines: &'a [Line],
}

/// Writes a table and a chart to `NAME.md` and `NAME.svg` in a folder, if one was named.
pub fn write_table_and_chart(
    folder: Option<&Path>,
    name: &str,
    description: &str,
    table: &Table,
    chart: &Chart<'_>,
) -> anyhow::Result<()> {
    let Some(folder) = folder else { return Ok(()) };
    write_table(folder, name, description, table)?;
    write_chart(folder, name, chart)
}

/// Draws lines over a logarithmic x, to `NAME.svg` in a folder.
fn write_chart(folder: &Path, name: &str, chart: &Chart<'_>) -> anyhow::Result<()> {
    let Chart { axes, lines } = chart;
    fs::create_dir_all(folder)?;
    let path = folder.join(format!("{name}.svg"));
    let root = SVGBackend::new(&path, CHART_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let x_values = || lines.iter().flat_map(|l| l.points.iter().map(|p| p.0));
    let from = x_values().fold(f64::MAX, f64::min).max(MIN_X);
    let max_x = x_values().fold(f64::MIN, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .caption(axes.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(52)
        .build_cartesian_2d((from..max_x * 1.05).log_scale(), axes.y_range.clone())?;
    chart.configure_mesh().x_desc(axes.x).y_desc(axes.y).light_line_style(WHITE.mix(0.0)).draw()?;
    for (n, line) in lines.iter().enumerate() {
        let color = Palette99::pick(n).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), color.stroke_width(2)))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()?;
    Ok(root.present()?)
}
