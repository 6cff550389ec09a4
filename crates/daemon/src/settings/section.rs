//! Reads one mapping of a settings file: typed values with their lines, and the problems found in them.

use dockwood_api::ResultCode;
use dockwood_api::resource::is_valid_name;
use marked_yaml::{Marker, Node, Span};
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

const MILLISECONDS_PER_SECOND: f64 = 1_000.0;
/// Largest number accepted in floating-point notation; `f64` represents whole numbers up to this value exactly.
const MAX_FRACTIONAL_NUMBER: f64 = 1e15;

/// One error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Result code.
    pub code: ResultCode,
    /// The settings file.
    pub file: PathBuf,
    /// Line number, starting at 1; 0 if the error has no line.
    pub line: usize,
    /// Path of the field, such as `listen.http`.
    pub field: String,
    /// Human-readable message.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}: {}: {}", self.file.display(), self.line, self.field, self.code, self.message)
    }
}

/// The problems found in one file.
#[derive(Debug)]
pub struct Problems {
    file: PathBuf,
    found: Vec<Problem>,
}

impl Problems {
    /// Creates an empty list for a file.
    pub fn new(file: &Path) -> Self {
        Problems { file: file.to_path_buf(), found: Vec::new() }
    }

    /// Adds a problem.
    pub fn add(&mut self, code: ResultCode, line: usize, field: &str, message: impl Into<String>) {
        let field = field.to_string();
        self.found.push(Problem { code, file: self.file.clone(), line, field, message: message.into() });
    }

    /// Returns whether no problem was found.
    pub fn is_empty(&self) -> bool {
        self.found.is_empty()
    }

    /// Returns all problems in order of their lines.
    pub fn into_sorted(mut self) -> Vec<Problem> {
        self.found.sort_by_key(|problem| problem.line);
        self.found
    }
}

/// A value with its line and field path.
pub(super) struct Located<T> {
    pub(super) value: T,
    pub(super) line: usize,
    pub(super) path: String,
}

pub(super) fn line_of(span: &Span) -> usize {
    span.start().map_or(0, Marker::line)
}

/// A mapping that is being read.
pub(super) struct Section<'a> {
    pub(super) path: String,
    pub(super) line: usize,
    fields: Vec<(&'a str, &'a Node)>,
}

impl<'a> Section<'a> {
    /// Opens a mapping and reports every key that is not in `known`.
    pub(super) fn new(
        node: &'a Node,
        path: &str,
        known: &[&str],
        problems: &mut Problems,
    ) -> Option<Section<'a>> {
        let line = line_of(node.span());
        let Some(mapping) = node.as_mapping() else {
            problems.add(ResultCode::SettingsBadValue, line, path, "must be a mapping");
            return None;
        };
        let mut section = Section { path: path.to_string(), line, fields: Vec::new() };
        for (key, value) in mapping.iter() {
            let path = section.path_of(key.as_str());
            if known.contains(&key.as_str()) {
                section.fields.push((key.as_str(), value));
            } else {
                let message = format!("unknown key; known are {}", known.join(", "));
                problems.add(ResultCode::SettingsUnknownKey, line_of(key.span()), &path, message);
            }
        }
        Some(section)
    }

    pub(super) fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_string() } else { format!("{}.{key}", self.path) }
    }

    pub(super) fn optional(&self, key: &str) -> Option<&'a Node> {
        self.fields.iter().find(|(name, _)| *name == key).map(|(_, node)| *node)
    }

    pub(super) fn required(&self, key: &str, problems: &mut Problems) -> Option<&'a Node> {
        let node = self.optional(key);
        if node.is_none() {
            problems.add(ResultCode::SettingsMissing, self.line, &self.path_of(key), "is required");
        }
        node
    }

    pub(super) fn parse<T>(
        &self,
        key: &str,
        node: &Node,
        problems: &mut Problems,
        code: ResultCode,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<Located<T>> {
        let (line, path) = (line_of(node.span()), self.path_of(key));
        let parsed = node.as_scalar().and_then(|scalar| parse(scalar.as_str()));
        let Some(value) = parsed else {
            problems.add(code, line, &path, format!("must be {expected}"));
            return None;
        };
        Some(Located { value, line, path })
    }

    pub(super) fn text(&self, key: &str, problems: &mut Problems) -> Option<Located<String>> {
        let node = self.required(key, problems)?;
        let parse = |text: &str| (!text.is_empty()).then(|| text.to_string());
        self.parse(key, node, problems, ResultCode::SettingsBadValue, "a text that is not empty", parse)
    }

    pub(super) fn name(&self, key: &str, problems: &mut Problems) -> Option<Located<String>> {
        let node = self.required(key, problems)?;
        let parse = |text: &str| is_valid_name(text).then(|| text.to_string());
        let expected = "lower-case letters, digits, '-' and '.', at most 63";
        self.parse(key, node, problems, ResultCode::SettingsBadValue, expected, parse)
    }

    pub(super) fn address(&self, key: &str, problems: &mut Problems) -> Option<Located<SocketAddr>> {
        let node = self.required(key, problems)?;
        let parse = |text: &str| text.parse::<SocketAddr>().ok().filter(|address| address.port() != 0);
        self.parse(
            key,
            node,
            problems,
            ResultCode::SettingsBadAddress,
            "an address of the form IP:PORT",
            parse,
        )
    }

    /// Reads a ratio from 0 to 1 as a percentage, rounded down.
    pub(super) fn percentage(&self, key: &str, default: u64, problems: &mut Problems) -> Option<u64> {
        let Some(node) = self.optional(key) else { return Some(default) };
        let parse = |text: &str| {
            let share = text.parse::<f64>().ok().filter(|share| (0.0..=1.0).contains(share));
            share.map(|share| (share * 100.0).floor() as u64)
        };
        let expected = "a share from 0 to 1";
        self.parse(key, node, problems, ResultCode::SettingsBadValue, expected, parse)
            .map(|parsed| parsed.value)
    }

    /// Reads a factor above 0 and up to `max` as a percentage. It is rounded down, so that a limit is never exceeded.
    pub(super) fn multiple(
        &self,
        key: &str,
        default_percent: u64,
        max: f64,
        problems: &mut Problems,
    ) -> Option<u64> {
        let Some(node) = self.optional(key) else { return Some(default_percent) };
        let parse = |text: &str| {
            let factor = text.parse::<f64>().ok().filter(|factor| *factor <= max)?;
            Some((factor * 100.0).floor() as u64).filter(|percent| *percent > 0)
        };
        let expected = format!("a factor above 0 and up to {max}");
        self.parse(key, node, problems, ResultCode::SettingsBadValue, &expected, parse)
            .map(|parsed| parsed.value)
    }

    pub(super) fn flag(&self, key: &str, problems: &mut Problems) -> Option<bool> {
        let Some(node) = self.optional(key) else { return Some(false) };
        let parse = |text: &str| text.parse::<bool>().ok();
        self.parse(key, node, problems, ResultCode::SettingsBadValue, "true or false", parse)
            .map(|parsed| parsed.value)
    }

    /// Reads a whole number. A fraction is rounded down, so that a limit is never exceeded.
    pub(super) fn number(
        &self,
        key: &str,
        default: u64,
        allowed: (u64, u64),
        problems: &mut Problems,
    ) -> Option<u64> {
        let Some(node) = self.optional(key) else { return Some(default) };
        let (min, max) = allowed;
        let parse = |text: &str| rounded_down(text).filter(|number| (min..=max).contains(number));
        let expected = format!("a number from {min} to {max}");
        self.parse(key, node, problems, ResultCode::SettingsBadValue, &expected, parse)
            .map(|parsed| parsed.value)
    }

    /// Reads a duration in seconds, which may have a fraction; it is rounded down to milliseconds.
    pub(super) fn seconds(
        &self,
        key: &str,
        default: Duration,
        allowed: (u64, u64),
        problems: &mut Problems,
    ) -> Option<Duration> {
        let Some(node) = self.optional(key) else { return Some(default) };
        let (min, max) = allowed;
        let parse = |text: &str| {
            let seconds = text.parse::<f64>().ok()?;
            let is_allowed = (min as f64..=max as f64).contains(&seconds);
            is_allowed.then(|| Duration::from_millis((seconds * MILLISECONDS_PER_SECOND) as u64))
        };
        let expected = format!("seconds from {min} to {max}");
        self.parse(key, node, problems, ResultCode::SettingsBadValue, &expected, parse)
            .map(|parsed| parsed.value)
    }

    /// Returns the items of a list with their field paths.
    pub(super) fn items(
        &self,
        key: &str,
        node: &'a Node,
        problems: &mut Problems,
    ) -> Vec<(String, &'a Node)> {
        let path = self.path_of(key);
        let Some(sequence) = node.as_sequence() else {
            problems.add(ResultCode::SettingsBadValue, line_of(node.span()), &path, "must be a list");
            return Vec::new();
        };
        sequence.iter().enumerate().map(|(position, item)| (format!("{path}[{position}]"), item)).collect()
    }
}

/// Parses a non-negative number and rounds it down.
fn rounded_down(text: &str) -> Option<u64> {
    let fraction =
        || text.parse::<f64>().ok().filter(|number| (0.0..=MAX_FRACTIONAL_NUMBER).contains(number));
    text.parse::<u64>().ok().or_else(|| fraction().map(|number| number as u64))
}
