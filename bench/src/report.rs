//! Records of experiments, and the Markdown page and SVG plots that are generated from them.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Error of reading or writing a record, page or plot.
#[derive(Debug, Error)]
pub enum ReportError {
    /// A file or folder cannot be read or written.
    #[error("\"{path}\" cannot be read or written")]
    File {
        /// Path of the file or folder.
        path: String,
        /// Cause of the failure.
        #[source]
        source: std::io::Error,
    },
    /// A file in the folder of records is not a record in JSON.
    #[error("Record \"{path}\" cannot be parsed")]
    Record {
        /// Path of the record's file.
        path: String,
        /// Cause of the failure, with its position in the file.
        #[source]
        source: serde_json::Error,
    },
    /// A plot cannot be drawn.
    #[error("Plot \"{path}\" cannot be drawn: {reason}")]
    Plot {
        /// Path of the plot's file.
        path: String,
        /// Error message of the plotting library.
        reason: String,
    },
}

/// Result of reading or writing a record, page or plot.
pub type Result<T> = std::result::Result<T, ReportError>;

/// Measured value.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Metric {
    /// Name of the quantity, with its unit, which heads its column in the table.
    pub name: String,
    /// Value in the unit that `name` states.
    pub value: f64,
}

/// Measured values of one variant of an experiment, which form a row of its table.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Row {
    /// Name of the variant.
    pub label: String,
    /// Measured values in the order of the columns.
    pub metrics: Vec<Metric>,
}

impl Row {
    /// Creates a row without values.
    pub fn new(label: impl Into<String>) -> Self {
        Self { label: label.into(), metrics: Vec::new() }
    }

    /// Returns the row with a value added.
    pub fn with(mut self, name: &str, value: f64) -> Self {
        self.metrics.push(Metric { name: name.to_owned(), value });
        self
    }

    /// Returns the value named `name`, or `None` if the row has none.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.metrics.iter().find(|metric| metric.name == name).map(|metric| metric.value)
    }
}

/// Result of the comparison of a measured figure with its target.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TargetResult {
    /// Statement of the target, with its bound.
    pub target: String,
    /// Whether the target was met.
    pub met: bool,
    /// Measured figure that was compared with the bound, with its unit.
    pub figure: String,
}

/// Results of one run of an experiment.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Record {
    /// Short name of the experiment, such as `b2`, which is also that of the record's file.
    pub id: String,
    /// What the experiment measures.
    pub title: String,
    /// Size, load and duration of the experiment in one sentence.
    pub setup: String,
    /// Measured values, one row per variant.
    pub rows: Vec<Row>,
    /// Results for the experiment's targets; may be empty.
    pub verdicts: Vec<TargetResult>,
}

impl Record {
    /// Writes the record as JSON to `<id>.json` in a folder, which is created if it is missing.
    pub fn save(&self, folder: &Path) -> Result<()> {
        let path = folder.join(format!("{}.json", self.id));
        let text = serde_json::to_string_pretty(self).expect("records serialise");
        write(&path, &format!("{text}\n"))
    }

    /// Reads all records of a folder, ordered by id. Returns an error if any file is not a record.
    pub fn load_all(folder: &Path) -> Result<Vec<Self>> {
        let mut records = BTreeMap::new();
        for entry in std::fs::read_dir(folder).map_err(|e| file_error(folder, e))? {
            let path = entry.map_err(|e| file_error(folder, e))?.path();
            let text = std::fs::read_to_string(&path).map_err(|e| file_error(&path, e))?;
            let record: Self = serde_json::from_str(&text).map_err(|source| {
                ReportError::Record { path: path.display().to_string(), source }
            })?;
            records.insert(record.id.clone(), record);
        }
        Ok(records.into_values().collect())
    }

    /// Formats the record as a section of a Markdown page.
    pub fn to_markdown(&self) -> String {
        let mut text =
            format!("## {}: {}\n\n{}\n\n", self.id.to_uppercase(), self.title, self.setup);
        text.push_str(&self.table());
        for target_result in &self.verdicts {
            let status = if target_result.met { "met" } else { "**not met**" };
            text.push_str(&format!(
                "\n- {}: {status} ({})",
                target_result.target, target_result.figure
            ));
        }
        if !self.verdicts.is_empty() {
            text.push('\n');
        }
        text
    }

    /// Formats the values as a Markdown table with the columns of the first row, or returns an
    /// empty text if there is no row. A value that a row lacks is shown as `-`.
    pub fn table(&self) -> String {
        let Some(first) = self.rows.first() else { return String::new() };
        let names: Vec<_> = first.metrics.iter().map(|metric| metric.name.as_str()).collect();
        let mut text =
            format!("| | {} |\n|---|{}\n", names.join(" | "), "---:|".repeat(names.len()));
        for row in &self.rows {
            let value = |name: &&str| row.get(name).map_or("-".to_owned(), format_value);
            let values: Vec<_> = names.iter().map(value).collect();
            text.push_str(&format!("| {} | {} |\n", row.label, values.join(" | ")));
        }
        text
    }
}

/// Formats a value with about three significant digits.
pub fn format_value(value: f64) -> String {
    let magnitude = value.abs();
    if magnitude >= 1_000.0 || value.fract() == 0.0 {
        format!("{value:.0}")
    } else if magnitude >= 10.0 {
        format!("{value:.1}")
    } else if magnitude >= 0.01 {
        format!("{value:.3}")
    } else {
        format!("{value:.5}")
    }
}

/// Formats the page of all records, which starts with `head`.
pub fn page(records: &[Record], head: &str) -> String {
    let sections: Vec<_> = records.iter().map(Record::to_markdown).collect();
    format!("{head}\n{}", sections.join("\n"))
}

/// Head of the page of results.
pub const PAGE_HEAD: &str = include_str!("page_head.md");
/// Start of the marker before a table in a page; the record's id follows it.
const TABLE_START: &str = "<!-- record ";
/// Marker after a table in a page.
const TABLE_END: &str = "<!-- end of record -->";

/// Returns `page` with the text between each pair of markers, such as `<!-- record b9 -->` and
/// `<!-- end of record -->`, replaced by the table of the record with that id. The text after a
/// marker stays as it is if there is no such record or no end marker.
pub fn with_tables(page: &str, records: &[Record]) -> String {
    let mut parts = page.split(TABLE_START);
    let mut text = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        text.push_str(TABLE_START);
        let id = part.split(' ').next().unwrap_or_default();
        let record = records.iter().find(|record| record.id == id);
        match (record, part.find(TABLE_END)) {
            (Some(record), Some(end)) => {
                let table = record.table();
                text.push_str(&format!("{id} -->\n\n{table}\n{}", &part[end..]));
            }
            _ => text.push_str(part),
        }
    }
    text
}

/// Line of a plot.
#[derive(Clone, Debug)]
pub struct Line {
    /// Name of the line in the legend.
    pub label: String,
    /// Points that the line connects, in this order.
    pub points: Vec<Point>,
}

/// Point of a plot.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Position on the horizontal axis.
    pub x: f64,
    /// Position on the vertical axis.
    pub y: f64,
}

/// Titles of a plot and of its axes.
#[derive(Clone, Copy, Debug)]
pub struct Titles<'a> {
    /// Title of the plot.
    pub plot: &'a str,
    /// Title of the horizontal axis, with its unit.
    pub x: &'a str,
    /// Title of the vertical axis, with its unit; may be empty.
    pub y: &'a str,
}

/// Draws lines into an SVG file, on axes that start at 0.
pub fn plot(path: &Path, titles: Titles<'_>, lines: &[Line]) -> Result<()> {
    let draw = || -> std::result::Result<(), Box<dyn std::error::Error>> {
        let points = || lines.iter().flat_map(|line| &line.points);
        let max = |value: fn(&Point) -> f64| points().map(value).fold(1e-9, f64::max) * 1.1;
        let (max_x, max_y) = (max(|p| p.x), max(|p| p.y));
        let area = SVGBackend::new(path, (760, 440)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(titles.plot, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..max_x, 0.0..max_y)?;
        chart.configure_mesh().x_desc(titles.x).y_desc(titles.y).draw()?;
        for (n, line) in lines.iter().enumerate() {
            let color = Palette99::pick(n).stroke_width(2);
            let series = line.points.iter().map(|p| (p.x, p.y));
            chart
                .draw_series(LineSeries::new(series, color).point_size(3))?
                .label(&line.label)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color));
        }
        chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
        area.present()?;
        Ok(())
    };
    draw()
        .map_err(|e| ReportError::Plot { path: path.display().to_string(), reason: e.to_string() })
}

/// Writes a file and creates its folder if it is missing.
pub fn write(path: &Path, text: &str) -> Result<()> {
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder).map_err(|e| file_error(folder, e))?;
    }
    std::fs::write(path, text).map_err(|e| file_error(path, e))
}

fn file_error(path: &Path, source: std::io::Error) -> ReportError {
    ReportError::File { path: path.display().to_string(), source }
}
