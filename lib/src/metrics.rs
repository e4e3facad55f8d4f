//! Latency histograms by entry, and their output with the counters in the text exposition format of
//! Prometheus.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Mutex;
use std::time::Duration;

use crate::answer::OutcomeKind;
use crate::counters::Counters;

/// Upper bounds of the buckets of a latency histogram, in milliseconds.
const BUCKET_BOUNDS_MS: [u64; 12] = [5, 10, 20, 40, 60, 80, 120, 160, 300, 600, 1_200, 3_000];
/// Largest number of entries with a histogram of their own, which bounds the output; further ones
/// share one.
const MAX_ENTRIES: usize = 64;
/// Label of the histogram that further entries share.
const OTHER_ENTRIES: &str = "other";

#[derive(Clone, Debug, Default)]
struct Histogram {
    buckets: [u64; BUCKET_BOUNDS_MS.len()],
    count: u64,
    sum_ms: u64,
    outcomes: BTreeMap<&'static str, u64>,
}

/// Latency histograms and numbers of outcomes by entry.
#[derive(Debug, Default)]
pub struct Metrics {
    entries: Mutex<BTreeMap<String, Histogram>>,
}

fn outcome_name(kind: OutcomeKind) -> &'static str {
    match kind {
        OutcomeKind::Complete => "complete",
        OutcomeKind::Partial => "partial",
        OutcomeKind::NotRun => "not_run",
        OutcomeKind::Unknown => "unknown",
    }
}

impl Metrics {
    /// Records an answer to a caller: its outcome and the time since the request arrived.
    pub fn record_answer(&self, entry: &str, kind: OutcomeKind, elapsed: Duration) {
        let mut entries = self.entries.lock().unwrap();
        let has_histogram = entries.contains_key(entry) || entries.len() < MAX_ENTRIES;
        let name = if has_histogram { entry } else { OTHER_ENTRIES };
        if !entries.contains_key(name) {
            entries.insert(name.to_owned(), Histogram::default());
        }
        let Some(histogram) = entries.get_mut(name) else { return };
        let elapsed_ms = elapsed.as_millis() as u64;
        histogram.count += 1;
        histogram.sum_ms += elapsed_ms;
        *histogram.outcomes.entry(outcome_name(kind)).or_default() += 1;
        for (bucket, bound) in histogram.buckets.iter_mut().zip(BUCKET_BOUNDS_MS) {
            *bucket += u64::from(elapsed_ms <= bound);
        }
    }

    /// Returns the counters and histograms in the text exposition format.
    pub fn render(&self, counters: &Counters) -> String {
        let mut text = String::new();
        for (name, value) in counters.values().named_values() {
            write_line(&mut text, format_args!("jasmineusher_{name}_total {value}"));
        }
        for (entry, histogram) in &*self.entries.lock().unwrap() {
            render_histogram(&mut text, entry, histogram);
        }
        text
    }
}

fn render_histogram(text: &mut String, entry: &str, histogram: &Histogram) {
    let name = "jasmineusher_answer_ms";
    for (bound, count) in BUCKET_BOUNDS_MS.iter().zip(histogram.buckets) {
        write_line(text, format_args!("{name}_bucket{{entry=\"{entry}\",le=\"{bound}\"}} {count}"));
    }
    let Histogram { count, sum_ms, .. } = histogram;
    write_line(text, format_args!("{name}_bucket{{entry=\"{entry}\",le=\"+Inf\"}} {count}"));
    write_line(text, format_args!("{name}_sum{{entry=\"{entry}\"}} {sum_ms}"));
    write_line(text, format_args!("{name}_count{{entry=\"{entry}\"}} {count}"));
    for (outcome, count) in &histogram.outcomes {
        let labels = format!("entry=\"{entry}\",outcome=\"{outcome}\"");
        write_line(text, format_args!("jasmineusher_answers_total{{{labels}}} {count}"));
    }
}

fn write_line(text: &mut String, args: std::fmt::Arguments<'_>) {
    writeln!(text, "{args}").expect("writing to a string cannot fail");
}
