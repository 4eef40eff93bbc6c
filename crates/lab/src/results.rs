//! Output of results as Markdown tables and SVG charts.

use plotters::prelude::*;
use std::fs;
use std::ops::Range;
use std::path::Path;

/// Width and height of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (760, 440);
/// The lower bound of the x axis, which is logarithmic and cannot show 0.
const MIN_X: f64 = 1e-3;

/// A table of text cells.
pub struct Table {
    /// The column headers.
    pub headers: Vec<&'static str>,
    /// The rows, with one cell for each column.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// Formats the table as Markdown.
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

/// Writes a description, followed by a table, to `NAME.md` in a folder. Creates the folder if necessary.
pub fn write_table(folder: &Path, name: &str, description: &str, table: &Table) -> anyhow::Result<()> {
    fs::create_dir_all(folder)?;
    let text = format!("{description}\n\n{}", table.to_markdown());
    Ok(fs::write(folder.join(format!("{name}.md")), text)?)
}

/// Prints a table and, if a folder is given, writes a description and the table to `NAME.md` there.
pub fn print_and_write_table(
    folder: Option<&Path>,
    name: &str,
    description: &str,
    table: &Table,
) -> anyhow::Result<()> {
    println!("{}", table.to_markdown());
    folder.map_or(Ok(()), |folder| write_table(folder, name, description, table))
}

/// One series of a chart.
pub struct Line {
    /// The name in the legend.
    pub name: String,
    /// The points, as pairs of x and y.
    pub points: Vec<(f64, f64)>,
}

/// The title and the axes of a chart.
pub struct Axes {
    /// The title, shown above the chart.
    pub title: &'static str,
    /// The label of the x axis.
    pub x: &'static str,
    /// The label of the y axis.
    pub y: &'static str,
    /// The range of the y axis.
    pub y_range: Range<f64>,
}

/// A line chart.
pub struct Chart<'a> {
    /// The title and the axes.
    pub axes: Axes,
    /// The series.
    pub lines: &'a [Line],
}

/// Writes a description with a table to `NAME.md`, and a chart to `NAME.svg`, if a folder is given.
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

/// Draws a line chart with a logarithmic x axis to `NAME.svg` in a folder.
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
