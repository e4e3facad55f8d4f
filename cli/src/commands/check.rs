//! `jasmineusher check`: checks catalogues and configurations by the rules that the daemons apply,
//! before they are published.

use std::io::IsTerminal;
use std::net::SocketAddr;
use std::process::ExitCode;

use gumdrop::Options;
use jasmineusher_lib::catalogue::Catalogue;
use jasmineusher_lib::catalogue::Fault;
use jasmineusher_lib::configuration_findings::Severity;
use serde::Serialize;

use super::Result;
use super::check_configuration::Background;
use super::check_configuration::ConfigurationReport;
use super::check_configuration::Known;
use super::check_configuration::read_text;
use super::usage_error;

/// Flags of `check`.
#[derive(Debug, Options)]
pub struct CheckFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        free,
        help = "catalogues of the own interface (TOML) or configurations of the platform (JSON)"
    )]
    files: Vec<String>,
    #[options(
        no_short,
        meta = "FILE",
        help = "configuration in force, with which configurations are compared"
    )]
    against: Option<String>,
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "store of the platform, from which the configuration in force and the leafs are read"
    )]
    store: Option<SocketAddr>,
    #[options(no_short, meta = "FILE", help = "settings of a daemon, which name the regions")]
    settings: Option<String>,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

/// Whether reports are printed in colour.
#[derive(Clone, Copy, Debug)]
pub enum Style {
    Plain,
    Coloured,
}

impl Style {
    /// Returns the style for the standard output: in colour on a terminal only.
    fn of_output() -> Self {
        if std::io::stdout().is_terminal() { Self::Coloured } else { Self::Plain }
    }

    /// Returns the text of a severity.
    pub fn severity(self, severity: Severity) -> &'static str {
        match (self, severity) {
            (Self::Plain, Severity::Error) => "error",
            (Self::Plain, Severity::Warning) => "warning",
            (Self::Coloured, Severity::Error) => "\x1b[31merror\x1b[0m",
            (Self::Coloured, Severity::Warning) => "\x1b[33mwarning\x1b[0m",
        }
    }
}

#[derive(Serialize)]
struct CatalogueReport {
    file: String,
    entries: usize,
    faults: Vec<Fault>,
}

#[derive(Serialize)]
#[serde(untagged)]
enum Report {
    Catalogue(CatalogueReport),
    Configuration(ConfigurationReport),
}

/// Runs the command. The exit code is 1 if the daemons would refuse a file or a part of it.
pub fn run(flags: CheckFlags) -> Result<ExitCode> {
    if flags.files.is_empty() {
        return Err(usage_error("No file is given", "jasmineusher check catalogue.toml"));
    }
    let CheckFlags { files, against, store, settings, json, .. } = flags;
    let known = Background { against, store, settings }.read()?;
    let reports = files.iter().map(|file| check_file(file, &known)).collect::<Result<Vec<_>>>()?;
    if json {
        println!("{}", serde_json::to_string_pretty(&reports).expect("reports serialise"));
    } else {
        let style = Style::of_output();
        reports.iter().for_each(|report| report.print(style));
    }
    let is_refused = reports.iter().any(Report::has_errors);
    Ok(if is_refused { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

/// Checks a file. One that begins with a brace is a configuration of the platform.
fn check_file(file: &str, known: &Known) -> Result<Report> {
    let text = read_text(file)?;
    if text.trim_start().starts_with('{') {
        return ConfigurationReport::of(file, &text, known).map(Report::Configuration);
    }
    let (entries, faults) = match Catalogue::try_from(text.as_str()) {
        Ok(catalogue) => (catalogue.entries().len(), Vec::new()),
        Err(e) => (0, e.faults()),
    };
    Ok(Report::Catalogue(CatalogueReport { file: file.to_owned(), entries, faults }))
}

impl Report {
    fn has_errors(&self) -> bool {
        match self {
            Self::Catalogue(report) => !report.faults.is_empty(),
            Self::Configuration(report) => report.has_errors(),
        }
    }

    fn print(&self, style: Style) {
        match self {
            Self::Catalogue(report) => report.print(),
            Self::Configuration(report) => report.print(style),
        }
    }
}

impl CatalogueReport {
    fn print(&self) {
        if self.faults.is_empty() {
            println!("{}: accepted, {} entries", self.file, self.entries);
        }
        for fault in &self.faults {
            println!(
                "{}:{}: entry \"{}\", field \"{}\": {}",
                self.file, fault.line, fault.entry, fault.field, fault.message
            );
            println!("  Hint: {}", fault.hint);
        }
    }
}
