//! Records of experiments, and the page and plots that are made of them.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::prelude::*;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Why a report could not be written or read.
#[derive(Debug, Error)]
pub enum ReportError {
    /// A file cannot be read or written.
    #[error("File {path} cannot be read or written")]
    File {
        /// The file.
        path: String,
        /// The cause.
        #[source]
        source: std::io::Error,
    },
    /// A record does not parse.
    #[error("Record {path} does not parse")]
    Record {
        /// The file.
        path: String,
        /// The cause.
        #[source]
        source: serde_json::Error,
    },
    /// A plot cannot be drawn.
    #[error("Plot {path} cannot be drawn: {reason}")]
    Plot {
        /// The file.
        path: String,
        /// The cause in words.
        reason: String,
    },
}

/// Result of writing or reading a report.
pub type Result<T> = std::result::Result<T, ReportError>;

/// One measured value.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Metric {
    /// What was measured, with its unit.
    pub name: String,
    /// The value.
    pub value: f64,
}

/// The values of one variant of an experiment.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Row {
    /// The variant.
    pub label: String,
    /// Its values.
    pub metrics: Vec<Metric>,
}

impl Row {
    /// Makes an empty row.
    pub fn new(label: impl Into<String>) -> Self {
        Self { label: label.into(), metrics: Vec::new() }
    }

    /// Adds a value.
    pub fn with(mut self, name: &str, value: f64) -> Self {
        self.metrics.push(Metric { name: name.to_owned(), value });
        self
    }

    /// Returns a value by its name.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.metrics.iter().find(|metric| metric.name == name).map(|metric| metric.value)
    }
}

/// Whether a stated target was met.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Verdict {
    /// The target.
    pub target: String,
    /// Whether it was met.
    pub met: bool,
    /// The figure that decides it.
    pub figure: String,
}

/// What one run of an experiment gave.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Record {
    /// Short name, such as `b2`.
    pub id: String,
    /// What is measured.
    pub title: String,
    /// How it is set up.
    pub setup: String,
    /// The values.
    pub rows: Vec<Row>,
    /// The targets.
    pub verdicts: Vec<Verdict>,
}

impl Record {
    /// Writes the record as JSON into a folder.
    pub fn save(&self, folder: &Path) -> Result<()> {
        let path = folder.join(format!("{}.json", self.id));
        let text = serde_json::to_string_pretty(self).expect("records serialise");
        write(&path, &format!("{text}\n"))
    }

    /// Reads all records of a folder, ordered by id.
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

    /// Writes the record as a section of a Markdown page.
    pub fn to_markdown(&self) -> String {
        let mut text =
            format!("## {}: {}\n\n{}\n\n", self.id.to_uppercase(), self.title, self.setup);
        text.push_str(&self.table());
        for verdict in &self.verdicts {
            let word = if verdict.met { "met" } else { "**not met**" };
            text.push_str(&format!("\n- {}: {word} ({})", verdict.target, verdict.figure));
        }
        if !self.verdicts.is_empty() {
            text.push('\n');
        }
        text
    }

    /// Writes the values as a Markdown table.
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

/// Writes a value with about three figures.
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

/// Writes the page of all records.
pub fn page(records: &[Record], head: &str) -> String {
    let sections: Vec<_> = records.iter().map(Record::to_markdown).collect();
    format!("{head}\n{}", sections.join("\n"))
}

/// Start of the page of results.
pub const PAGE_HEAD: &str = include_str!("page_head.md");
/// Start of the mark before a table in a page; the record's id follows.
const TABLE_MARK: &str = "<!-- record ";
/// Mark after a table in a page.
const TABLE_END: &str = "<!-- end of record -->";

/// Writes the tables of records into a page, between marks such as `<!-- record b9 -->` and
/// `<!-- end of record -->`. A mark without a record keeps what stands there.
pub fn with_tables(page: &str, records: &[Record]) -> String {
    let mut parts = page.split(TABLE_MARK);
    let mut text = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        text.push_str(TABLE_MARK);
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

/// A line of a plot.
#[derive(Clone, Debug)]
pub struct Line {
    /// Its name.
    pub label: String,
    /// Its points.
    pub points: Vec<Point>,
}

/// A point of a plot.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Across.
    pub x: f64,
    /// Up.
    pub y: f64,
}

/// Names of a plot and of its axes.
#[derive(Clone, Copy, Debug)]
pub struct Titles<'a> {
    /// Of the plot.
    pub plot: &'a str,
    /// Of the axis across.
    pub x: &'a str,
    /// Of the axis up.
    pub y: &'a str,
}

/// Draws lines into an SVG file.
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

/// Writes a file, making its folder.
pub fn write(path: &Path, text: &str) -> Result<()> {
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder).map_err(|e| file_error(folder, e))?;
    }
    std::fs::write(path, text).map_err(|e| file_error(path, e))
}

fn file_error(path: &Path, source: std::io::Error) -> ReportError {
    ReportError::File { path: path.display().to_string(), source }
}
