//! The operators' catalogue: kinds of request, their owners, classes and limits.
//!
//! Validation is a pure function of the document, so that either all hosts accept a document or all
//! refuse it.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use toml::Spanned;

use crate::ids::EntryName;
use crate::ids::IndexName;
use crate::ids::Owner;

/// Largest catalogue document, in bytes: the most that the configuration service stores in one
/// value.
pub const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// Longest deadline that an entry may set, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 60_000;

/// Largest number of calls to one shard in one query, for entries that do not set `attempts`.
pub const DEFAULT_ATTEMPTS: u64 = 4;

/// Largest value of `attempts` that an entry may set.
pub const MAX_ATTEMPTS: u64 = 16;

/// Largest share of extra leaf calls (hedges and retries) that an entry may set.
pub const MAX_EXTRA_LOAD: f64 = 0.5;

/// One fault of a catalogue document, with its position.
#[derive(Clone, Debug, Eq, Error, PartialEq, Serialize)]
#[error("Line {line}: entry \"{entry}\", field \"{field}\": {message}")]
pub struct Fault {
    /// Line of the document, counted from 1.
    pub line: usize,
    /// Name of the entry, or empty if the fault is outside of entries.
    pub entry: String,
    /// Name of the field, or empty if the fault is not in a single field.
    pub field: String,
    /// Description of the fault. For a value that is not allowed, it is a predicate whose subject
    /// is the field, such as "is empty"; otherwise it is a sentence of its own.
    pub message: String,
    /// Advice on how to correct the fault.
    pub hint: String,
}

/// Reasons for which a catalogue document is refused as a whole.
#[derive(Clone, Debug, Error)]
pub enum CatalogueError {
    /// The document has these faults, at least one.
    #[error("Catalogue has {} fault(s); the first: {}", .0.len(), .0[0])]
    Faults(Vec<Fault>),
    /// The document has this many bytes, more than the configuration service can hold.
    #[error("Catalogue has {0} bytes, more than the {MAX_DOCUMENT_BYTES} allowed")]
    TooLarge(usize),
}

impl CatalogueError {
    /// Returns the faults one by one; there is at least one.
    pub fn faults(&self) -> Vec<Fault> {
        match self {
            Self::Faults(faults) => faults.clone(),
            Self::TooLarge(_) => vec![Fault {
                line: 1,
                entry: String::new(),
                field: String::new(),
                message: self.to_string(),
                hint: "remove entries that are no longer used".to_owned(),
            }],
        }
    }
}

/// Result of validating a catalogue.
pub type Result<T> = std::result::Result<T, CatalogueError>;

/// Priority class of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Never queued behind ordinary requests.
    Urgent,
    /// Gets the capacity that urgent requests leave.
    Ordinary,
}

/// What a query does when its pinned index version can no longer be searched completely.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum OnVersionLoss {
    /// Answers with the shards merged so far.
    Partial,
    /// Restarts on another version if the deadline allows it.
    Restart,
}

/// Validated limits of an entry, which apply to all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Limits {
    /// Queries started per second.
    pub queries_per_second: f64,
    /// Queries in progress at the same time.
    pub concurrent: u32,
    /// Leaf processor time per second, in milliseconds.
    pub effort_ms_per_second: f64,
    /// Hedges and retries as a share of first leaf calls, 0 to [`MAX_EXTRA_LOAD`].
    pub extra_load: f64,
}

/// A validated catalogue entry.
///
/// Invariants: a non-idempotent entry has no extra load; the deadline is above zero.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Entry {
    /// Name by which callers refer to the entry.
    pub name: EntryName,
    /// Kind of request, passed to the leafs unchanged.
    pub kind: String,
    /// Organisation that owns the entry and is charged for its calls.
    pub owner: Owner,
    /// Index that the requests search.
    pub index: IndexName,
    /// Priority class of the requests.
    pub class: Class,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time from the arrival of a request to its answer.
    pub deadline: Duration,
    /// Latency target: the time from arrival after which a partial answer with enough coverage is
    /// returned rather than waiting for a complete one. `None` if the entry sets none.
    pub goal: Option<Duration>,
    /// Largest number of calls to one shard in one query, hedges and retries included.
    pub attempts: usize,
    /// Smallest share of shards, 0 to 1, with which an answer is useful.
    pub minimum_coverage: f64,
    /// Reaction to the loss of the pinned index version.
    pub on_version_loss: OnVersionLoss,
    /// Limits agreed with the owner, over all hosts.
    pub limits: Limits,
}

impl Entry {
    /// Returns how many of `shards` shards the minimum coverage requires, at least 1.
    pub fn needed_shards(&self, shards: usize) -> usize {
        let share = self.minimum_coverage * shards as f64;
        // A share such as 0.9 has no exact binary form. The tolerance keeps its product with a
        // count from rounding up to one shard too many.
        ((share - 1e-9).ceil() as usize).max(1)
    }
}

/// A validated catalogue. Immutable; a later document replaces it as a whole.
///
/// Invariant: entries are ordered by name, and names are unique.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    entries: Vec<Arc<Entry>>,
}

impl Catalogue {
    /// Returns the entry of this name, if there is one.
    pub fn entry(&self, name: &str) -> Option<&Arc<Entry>> {
        let position = self.entries.binary_search_by(|entry| entry.name.as_str().cmp(name));
        position.ok().map(|position| &self.entries[position])
    }

    /// Returns all entries, ordered by name.
    pub fn entries(&self) -> &[Arc<Entry>] {
        &self.entries
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawDocument {
    #[serde(default)]
    entry: Vec<Spanned<RawEntry>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawEntry {
    name: Spanned<String>,
    kind: Spanned<String>,
    owner: Spanned<String>,
    index: Spanned<String>,
    class: Class,
    idempotent: bool,
    deadline_ms: Spanned<u64>,
    goal_ms: Option<Spanned<u64>>,
    #[serde(default = "default_attempts")]
    attempts: Spanned<u64>,
    minimum_coverage: Spanned<f64>,
    #[serde(default = "default_on_version_loss")]
    on_version_loss: Spanned<OnVersionLoss>,
    limits: RawLimits,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawLimits {
    queries_per_second: Spanned<f64>,
    concurrent: Spanned<u32>,
    effort_ms_per_second: Spanned<f64>,
    extra_load: Spanned<f64>,
}

fn default_attempts() -> Spanned<u64> {
    Spanned::new(0..0, DEFAULT_ATTEMPTS)
}

fn default_on_version_loss() -> Spanned<OnVersionLoss> {
    Spanned::new(0..0, OnVersionLoss::Partial)
}

impl TryFrom<&str> for Catalogue {
    type Error = CatalogueError;

    fn try_from(text: &str) -> Result<Self> {
        if text.len() > MAX_DOCUMENT_BYTES {
            return Err(CatalogueError::TooLarge(text.len()));
        }
        let document: RawDocument = toml::from_str(text)
            .map_err(|e| CatalogueError::Faults(vec![syntax_fault(text, &e)]))?;
        let mut validator = Validator { text, faults: Vec::new(), entry: String::new() };
        let mut entries = HashMap::new();
        for raw in document.entry {
            let Some(entry) = validator.check_entry(&raw) else { continue };
            if entries.contains_key(&entry.name) {
                validator.add_fault(
                    &raw.get_ref().name,
                    "name",
                    "is already used by an earlier entry",
                    "give each entry a unique name",
                );
                continue;
            }
            entries.insert(entry.name.clone(), Arc::new(entry));
        }
        if validator.faults.is_empty() {
            let mut entries: Vec<_> = entries.into_values().collect();
            entries.sort_by(|a: &Arc<Entry>, b| a.name.cmp(&b.name));
            Ok(Self { entries })
        } else {
            Err(CatalogueError::Faults(validator.faults))
        }
    }
}

/// Allowed values of each field, for the hint of a syntax fault, after which no entry is validated.
const ALLOWED: [FieldRule; 17] = [
    FieldRule { field: "name", allowed: "1 to 64 of a-z, 0-9, '-', '_' and '.', in quotes" },
    FieldRule { field: "kind", allowed: "a text in quotes that is not empty" },
    FieldRule { field: "owner", allowed: "1 to 64 of a-z, 0-9, '-', '_' and '.', in quotes" },
    FieldRule { field: "index", allowed: "1 to 64 of a-z, 0-9, '-', '_' and '.', in quotes" },
    FieldRule { field: "class", allowed: "\"urgent\" or \"ordinary\"" },
    FieldRule { field: "idempotent", allowed: "true or false" },
    FieldRule { field: "deadline_ms", allowed: "a whole number from 1 to 60000" },
    FieldRule { field: "goal_ms", allowed: "a whole number from 1 to the deadline" },
    FieldRule { field: "attempts", allowed: "a whole number from 1 to 16" },
    FieldRule { field: "minimum_coverage", allowed: "a number from 0.0 to 1.0" },
    FieldRule { field: "on_version_loss", allowed: "\"partial\" or \"restart\"" },
    FieldRule { field: "limits", allowed: "a table with the four limits" },
    FieldRule { field: "queries_per_second", allowed: "a number above 0.0" },
    FieldRule { field: "concurrent", allowed: "a whole number of at least 1" },
    FieldRule { field: "effort_ms_per_second", allowed: "a number above 0.0" },
    FieldRule { field: "extra_load", allowed: "a number from 0.0 to 0.5" },
    FieldRule { field: "entry", allowed: "tables that begin with [[entry]]" },
];

struct FieldRule {
    field: &'static str,
    allowed: &'static str,
}

fn syntax_fault(text: &str, error: &toml::de::Error) -> Fault {
    let start = error.span().map_or(0, |span| span.start);
    let message = error.message().to_owned();
    let quoted = |n: usize| message.split('`').nth(n).unwrap_or_default().to_owned();
    let names_field = message.starts_with("unknown field") || message.starts_with("missing field");
    let field = if names_field { quoted(1) } else { field_before(text, start) };
    let rule = ALLOWED.iter().find(|rule| rule.field == field);
    let hint = match rule {
        Some(rule) => format!("allowed is {}", rule.allowed),
        None => "see docs/CATALOGUE.md for the fields and their types".to_owned(),
    };
    Fault { line: line_of(text, start), entry: entry_before(text, start), field, message, hint }
}

/// Returns the field whose value starts at byte `offset`, or an empty string if no value starts
/// there.
fn field_before(text: &str, offset: usize) -> String {
    let before = text.get(..offset).unwrap_or_default();
    let Some(before) = before.trim_end().strip_suffix('=') else { return String::new() };
    let is_key = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-';
    let before = before.trim_end();
    let start = before.rfind(|c| !is_key(c)).map_or(0, |position| position + 1);
    before[start..].to_owned()
}

fn line_of(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|&b| b == b'\n').count() + 1
}

/// Returns the name of the entry that contains byte `offset`. Used for syntax errors, for which
/// there is no parsed entry.
fn entry_before(text: &str, offset: usize) -> String {
    let mut entry_name = String::new();
    let mut line_start = 0;
    for line in text.split_inclusive('\n') {
        let starts_entry = line.trim() == "[[entry]]";
        if line_start > offset && starts_entry {
            break;
        }
        if starts_entry {
            entry_name.clear();
        }
        if let Some(name) = line.trim().strip_prefix("name") {
            entry_name =
                name.trim_matches(|c: char| c == '=' || c == '"' || c.is_whitespace()).to_owned();
        }
        line_start += line.len();
    }
    entry_name
}

struct Validator<'a> {
    text: &'a str,
    faults: Vec<Fault>,
    entry: String,
}

impl Validator<'_> {
    fn add_fault<T>(&mut self, at: &Spanned<T>, field: &str, message: &str, hint: &str) {
        self.faults.push(Fault {
            line: line_of(self.text, at.span().start),
            entry: self.entry.clone(),
            field: field.to_owned(),
            message: message.to_owned(),
            hint: hint.to_owned(),
        });
    }

    fn check_name<T>(&mut self, raw: &Spanned<String>, field: &str) -> Option<T>
    where
        T: for<'a> TryFrom<&'a str>,
        for<'a> <T as TryFrom<&'a str>>::Error: fmt::Display,
    {
        match T::try_from(raw.get_ref()) {
            Ok(name) => Some(name),
            Err(e) => {
                let message = e.to_string();
                self.add_fault(raw, field, &message, "use lower-case letters, digits and '-'");
                None
            }
        }
    }

    fn check_positive(&mut self, raw: &Spanned<f64>, field: &str) -> f64 {
        let value = *raw.get_ref();
        if !(value.is_finite() && value > 0.0) {
            self.add_fault(raw, field, &format!("is {value}"), "use a number above 0");
        }
        value
    }

    fn check_share(&mut self, raw: &Spanned<f64>, field: &str, max: f64) -> f64 {
        let value = *raw.get_ref();
        if !(0.0..=max).contains(&value) {
            self.add_fault(
                raw,
                field,
                &format!("is {value}"),
                &format!("use a share from 0 to {max}"),
            );
        }
        value
    }

    fn check_entry(&mut self, raw: &Spanned<RawEntry>) -> Option<Entry> {
        let raw = raw.get_ref();
        self.entry = raw.name.get_ref().clone();
        let name = self.check_name(&raw.name, "name");
        let owner = self.check_name(&raw.owner, "owner");
        let index = self.check_name(&raw.index, "index");
        if raw.kind.get_ref().is_empty() {
            self.add_fault(
                &raw.kind,
                "kind",
                "is empty",
                "set the kind of request that the leafs run",
            );
        }
        let deadline_ms = *raw.deadline_ms.get_ref();
        if !(1..=MAX_DEADLINE_MS).contains(&deadline_ms) {
            let hint = format!("use 1 to {MAX_DEADLINE_MS} milliseconds");
            self.add_fault(&raw.deadline_ms, "deadline_ms", &format!("is {deadline_ms}"), &hint);
        }
        let goal_ms = self.check_goal(raw, deadline_ms);
        let attempts = *raw.attempts.get_ref();
        if !(1..=MAX_ATTEMPTS).contains(&attempts) {
            let hint = format!("use 1 to {MAX_ATTEMPTS} calls");
            self.add_fault(&raw.attempts, "attempts", &format!("is {attempts}"), &hint);
        }
        let minimum_coverage = self.check_share(&raw.minimum_coverage, "minimum_coverage", 1.0);
        let limits = self.check_limits(&raw.limits);
        self.check_idempotent(raw, &limits);
        Some(Entry {
            name: name?,
            kind: raw.kind.get_ref().clone(),
            owner: owner?,
            index: index?,
            class: raw.class,
            idempotent: raw.idempotent,
            deadline: Duration::from_millis(deadline_ms),
            goal: goal_ms.map(Duration::from_millis),
            attempts: attempts as usize,
            minimum_coverage,
            on_version_loss: *raw.on_version_loss.get_ref(),
            limits,
        })
    }

    fn check_goal(&mut self, raw: &RawEntry, deadline_ms: u64) -> Option<u64> {
        let goal = raw.goal_ms.as_ref()?;
        let goal_ms = *goal.get_ref();
        if !(1..=deadline_ms).contains(&goal_ms) {
            let hint = format!("use 1 to {deadline_ms} milliseconds, the entry's deadline");
            self.add_fault(goal, "goal_ms", &format!("is {goal_ms}"), &hint);
        }
        Some(goal_ms)
    }

    fn check_limits(&mut self, raw: &RawLimits) -> Limits {
        if *raw.concurrent.get_ref() == 0 {
            self.add_fault(&raw.concurrent, "limits.concurrent", "is 0", "use at least 1");
        }
        Limits {
            queries_per_second: self
                .check_positive(&raw.queries_per_second, "limits.queries_per_second"),
            concurrent: *raw.concurrent.get_ref(),
            effort_ms_per_second: self
                .check_positive(&raw.effort_ms_per_second, "limits.effort_ms_per_second"),
            extra_load: self.check_share(&raw.extra_load, "limits.extra_load", MAX_EXTRA_LOAD),
        }
    }

    fn check_idempotent(&mut self, raw: &RawEntry, limits: &Limits) {
        if raw.idempotent {
            return;
        }
        if limits.extra_load > 0.0 {
            self.add_fault(
                &raw.limits.extra_load,
                "limits.extra_load",
                "is above 0 for an entry that is not idempotent",
                "set extra_load = 0.0, since such a request is never hedged",
            );
        }
        if *raw.on_version_loss.get_ref() == OnVersionLoss::Restart {
            self.add_fault(
                &raw.on_version_loss,
                "on_version_loss",
                "is \"restart\" for an entry that is not idempotent",
                "use \"partial\", since such a request runs at most once",
            );
        }
    }
}
