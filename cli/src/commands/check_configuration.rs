//! Checks configurations of the users' platform: what is wrong with them, and what differs from the
//! one in force.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use jasmineusher_lib::configuration_diff::Difference;
use jasmineusher_lib::configuration_diff::differences;
use jasmineusher_lib::configuration_findings::Deployment;
use jasmineusher_lib::configuration_findings::Finding;
use jasmineusher_lib::configuration_findings::Severity;
use jasmineusher_lib::configuration_findings::findings;
use jasmineusher_lib::platform_store::Decoder;
use jasmineusher_lib::platform_store::RawConfiguration;
use jasmineusher_platform::configuration::PlatformDecoder;
use jasmineusher_platform::settings;
use serde::Serialize;

use super::CommandError;
use super::Result;
use super::block_on;
use super::check::Style;
use super::published::Published;
use super::published::read_published;

/// Time allowed for reading what the platform has published.
const STORE_TIMEOUT: Duration = Duration::from_secs(10);

/// What to compare configurations with.
#[derive(Debug, Default)]
pub struct Background {
    /// File with the configuration in force.
    pub against: Option<String>,
    /// Address of the platform's store, from which the configuration in force and the leafs are
    /// read.
    pub store: Option<SocketAddr>,
    /// Settings file of a daemon, which names the regions.
    pub settings: Option<String>,
}

/// Background that has been read.
pub struct Known {
    in_force: Option<RawConfiguration>,
    deployment: Deployment,
}

/// Result of checking one configuration.
#[derive(Serialize)]
pub struct ConfigurationReport {
    file: String,
    version: u64,
    entries: usize,
    findings: Vec<Finding>,
    /// Differences from the configuration in force; absent if that is not known.
    differences: Option<Vec<Difference>>,
}

impl Background {
    /// Reads the files and the store that are named.
    pub fn read(&self) -> Result<Known> {
        let mut known = Known { in_force: None, deployment: Deployment::default() };
        if let Some(file) = &self.settings {
            let text = read_text(file)?;
            let parsed = settings::parse(&text).map_err(|e| CommandError::Other(Box::new(e)))?;
            known.deployment.regions = parsed.edge.regions.into_values().collect();
        }
        if let Some(addr) = self.store {
            let published = block_on(async {
                tokio::time::timeout(STORE_TIMEOUT, read_published(addr)).await
            })?;
            let Published { configuration, leafs } =
                published.map_err(|e| CommandError::Other(Box::new(e)))??;
            known.in_force = configuration.map(|value| decode("the store", &value)).transpose()?;
            known.deployment.leafs = Some(leafs);
        }
        if let Some(file) = &self.against {
            known.in_force = Some(decode(file, read_text(file)?.as_bytes())?);
        }
        Ok(known)
    }
}

impl ConfigurationReport {
    /// Checks the configuration in `text`, the content of `file`. Fails if no part of it can be
    /// decoded.
    pub fn of(file: &str, text: &str, known: &Known) -> Result<Self> {
        let raw = decode(file, text.as_bytes())?;
        Ok(Self {
            file: file.to_owned(),
            version: raw.version,
            entries: raw.entries.len(),
            findings: findings(&raw, &known.deployment),
            differences: known.in_force.as_ref().map(|in_force| differences(in_force, &raw)),
        })
    }

    /// Returns whether the daemons would refuse the configuration or a part of it.
    pub fn has_errors(&self) -> bool {
        self.findings.iter().any(|finding| finding.severity == Severity::Error)
    }

    /// Prints the report for people.
    pub fn print(&self, style: Style) {
        println!("{}: version {}, {} entries", self.file, self.version, self.entries);
        for finding in &self.findings {
            print_finding(&self.file, finding, style);
        }
        let Some(differences) = &self.differences else { return };
        if differences.is_empty() {
            println!("No difference from the configuration in force");
        }
        for (entry, changes) in by_entry(differences) {
            println!("{}", if entry.is_empty() { "Configuration" } else { entry });
            changes.into_iter().for_each(print_difference);
        }
    }
}

fn print_finding(file: &str, finding: &Finding, style: Style) {
    let Finding { severity, line, entry, field, message, hint } = finding;
    let line = line.map(|line| format!(":{line}")).unwrap_or_default();
    let entry = if entry.is_empty() { String::new() } else { format!("entry \"{entry}\", ") };
    let field = if field.is_empty() { String::new() } else { format!("field \"{field}\": ") };
    println!("{file}{line}: {}: {entry}{field}{message}", style.severity(*severity));
    println!("  Hint: {hint}");
}

fn by_entry(differences: &[Difference]) -> BTreeMap<&str, Vec<&Difference>> {
    let mut grouped: BTreeMap<&str, Vec<&Difference>> = BTreeMap::new();
    for difference in differences {
        grouped.entry(&difference.entry).or_default().push(difference);
    }
    grouped
}

fn print_difference(difference: &Difference) {
    let Difference { field, before, after, effect, .. } = difference;
    let change = match (before, after) {
        (Some(before), Some(after)) => format!("{before} -> {after}"),
        (Some(before), None) => format!("removed, was {before}"),
        (None, Some(after)) => format!("added, {after}"),
        (None, None) => String::new(),
    };
    println!("  {field}: {change}");
    println!("    {effect}");
}

fn decode(source: &str, value: &[u8]) -> Result<RawConfiguration> {
    let decoded = PlatformDecoder.configuration(value);
    decoded.map_err(|e| CommandError::Configuration { name: source.to_owned(), source: e })
}

/// Reads a text file.
pub fn read_text(file: &str) -> Result<String> {
    std::fs::read_to_string(file)
        .map_err(|source| CommandError::Read { path: file.to_owned(), source })
}
