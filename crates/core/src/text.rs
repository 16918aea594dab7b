//! Parsing of JSON with comments into typed values, with diagnostics.
//!
//! A [`Section`] reads the fields of one object and collects a [`Diagnostic`] for each
//! that is missing, unknown or out of range, so that all errors of a text are reported at
//! once. On an error the accessor returns a default value to continue with;
//! [`Text::read`] discards the result if there are any diagnostics.

use crate::diagnostic::{Diagnostic, Diagnostics};
use crate::ids::is_valid_name;
use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use std::cell::RefCell;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

/// A text being parsed, with the diagnostics found so far.
#[derive(Debug)]
pub struct Text<'a> {
    file: &'a str,
    source: &'a str,
    diagnostics: RefCell<Vec<Diagnostic>>,
}

impl<'a> Text<'a> {
    /// Parses `source` and converts its top-level object with `read`. `file` identifies
    /// the text in diagnostics.
    ///
    /// # Errors
    ///
    /// All diagnostics of the text, sorted by line.
    pub fn read<T>(
        file: &'a str,
        source: &'a str,
        read: impl FnOnce(&mut Section<'_, 'a>) -> T,
    ) -> Result<T, Diagnostics> {
        let text = Self {
            file,
            source,
            diagnostics: RefCell::default(),
        };
        let parsed = parse_to_ast(source, &CollectOptions::default(), &parse_options());
        let value = match parsed {
            Ok(result) => result.value,
            Err(error) => {
                let problem = error.kind().to_string();
                let offset = error.range().start;
                text.report(offset, "(text)", &problem, "write valid JSON with comments");
                return text.finish(None);
            }
        };
        let Some(Value::Object(object)) = value else {
            text.report(
                0,
                "(text)",
                "is not an object",
                "write one object in braces",
            );
            return text.finish(None);
        };
        let mut section = Section::new(&text, String::new(), &object);
        let out = read(&mut section);
        section.close();
        text.finish(Some(out))
    }

    fn finish<T>(self, value: Option<T>) -> Result<T, Diagnostics> {
        let mut diagnostics = self.diagnostics.into_inner();
        diagnostics.sort_by_key(|diagnostic| diagnostic.line);
        match value {
            Some(value) if diagnostics.is_empty() => Ok(value),
            _ => Err(Diagnostics(diagnostics)),
        }
    }

    fn report(&self, offset: usize, key: &str, problem: &str, remedy: &str) {
        let before = &self.source.as_bytes()[..offset.min(self.source.len())];
        let line = 1 + before.iter().filter(|b| **b == b'\n').count();
        self.diagnostics.borrow_mut().push(Diagnostic {
            file: self.file.to_string(),
            line,
            key: key.to_string(),
            problem: problem.to_string(),
            remedy: remedy.to_string(),
        });
    }
}

/// Accepts strict JSON extended by comments and trailing commas only.
fn parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

/// Reader for the fields of one object.
#[derive(Debug)]
pub struct Section<'t, 'a> {
    text: &'t Text<'a>,
    path: String,
    object: &'t Object<'a>,
    requested: Vec<String>,
}

impl<'t, 'a> Section<'t, 'a> {
    fn new(text: &'t Text<'a>, path: String, object: &'t Object<'a>) -> Self {
        Self {
            text,
            path,
            object,
            requested: Vec::new(),
        }
    }

    /// Returns the full path of `key`, starting at the top-level object.
    pub fn key(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Adds a diagnostic for `key`, or for the object if `key` is absent.
    pub fn report(&self, key: &str, problem: &str, remedy: &str) {
        let position = self
            .object
            .properties
            .iter()
            .find(|prop| prop.name.as_str() == key)
            .map_or(self.object.range.start, |prop| prop.range.start);
        self.text.report(position, &self.key(key), problem, remedy);
    }

    fn value(&mut self, key: &str) -> Option<&'t Value<'a>> {
        self.requested.push(key.to_string());
        let found = self
            .object
            .properties
            .iter()
            .find(|prop| prop.name.as_str() == key);
        found
            .map(|prop| &prop.value)
            .filter(|value| !matches!(value, Value::NullKeyword(_)))
    }

    /// Returns whether `key` is present with a value other than `null`.
    pub fn has(&mut self, key: &str) -> bool {
        self.value(key).is_some()
    }

    fn report_missing(&self, key: &str, expected: &str) {
        self.report(key, "is missing", &format!("add {key} as {expected}"));
    }

    /// Reads an optional string.
    pub fn text_or(&mut self, key: &str, default: &str) -> String {
        match self.value(key) {
            None => default.to_string(),
            Some(Value::StringLit(lit)) => lit.value.to_string(),
            Some(_) => {
                self.report(key, "is not text", "write it in double quotes");
                default.to_string()
            }
        }
    }

    /// Reads a required string.
    pub fn text(&mut self, key: &str) -> String {
        if !self.has(key) {
            self.report_missing(key, "text");
            return String::new();
        }
        self.text_or(key, "")
    }

    /// Reads a required name; see [`is_valid_name`].
    pub fn name(&mut self, key: &str) -> String {
        if !self.has(key) {
            self.report_missing(key, "a name");
            return String::new();
        }
        self.name_or(key, "")
    }

    /// Reads an optional name; see [`is_valid_name`]. `default` is not checked.
    pub fn name_or(&mut self, key: &str, default: &str) -> String {
        let name = self.text_or(key, default);
        if self.has(key) && !is_valid_name(&name) {
            let remedy = "use 1 to 64 letters, digits, dots, dashes or underscores, not starting with a dot or dash";
            self.report(key, "is not a valid name", remedy);
        }
        name
    }

    /// Reads one of `words` and returns its index; required if `default` is `None`.
    pub fn word(&mut self, key: &str, words: &[&str], default: Option<usize>) -> usize {
        if !self.has(key) {
            if default.is_none() {
                self.report_missing(key, &format!("one of {}", words.join(", ")));
            }
            return default.unwrap_or(0);
        }
        let text = self.text_or(key, "");
        match words.iter().position(|word| *word == text) {
            Some(index) => index,
            None => {
                let remedy = format!("write one of {}", words.join(", "));
                self.report(key, &format!("is {text:?}"), &remedy);
                default.unwrap_or(0)
            }
        }
    }

    /// Reads an integer within `range`; required if `default` is `None`.
    pub fn count(
        &mut self,
        key: &str,
        range: RangeInclusive<u64>,
        default: Option<u64>,
    ) -> u64 {
        self.parse_number(key, "a whole number", range, default)
    }

    /// Reads a number within `range`; required if `default` is `None`.
    pub fn number(
        &mut self,
        key: &str,
        range: RangeInclusive<f64>,
        default: Option<f64>,
    ) -> f64 {
        self.parse_number(key, "a number", range, default)
    }

    fn parse_number<N>(
        &mut self,
        key: &str,
        kind: &str,
        range: RangeInclusive<N>,
        default: Option<N>,
    ) -> N
    where
        N: FromStr + PartialOrd + Copy + Display,
    {
        let expected = format!("{kind} from {} to {}", range.start(), range.end());
        let fallback = default.unwrap_or(*range.start());
        match self.value(key) {
            None => {
                if default.is_none() {
                    self.report_missing(key, &expected);
                }
                fallback
            }
            Some(Value::NumberLit(lit)) => match lit.value.parse::<N>() {
                Ok(number) if range.contains(&number) => number,
                _ => {
                    let problem = format!("is {}", lit.value);
                    self.report(key, &problem, &format!("write {expected}"));
                    fallback
                }
            },
            Some(_) => {
                self.report(key, "is not a number", &format!("write {expected}"));
                fallback
            }
        }
    }

    /// Reads an optional boolean.
    pub fn flag(&mut self, key: &str, default: bool) -> bool {
        match self.value(key) {
            None => default,
            Some(Value::BooleanLit(lit)) => lit.value,
            Some(_) => {
                self.report(key, "is not true or false", "write true or false");
                default
            }
        }
    }

    /// Reads a duration such as `"250ms"` or `"24h"` within `range`; required if
    /// `default` is `None`.
    pub fn duration(
        &mut self,
        key: &str,
        range: RangeInclusive<Duration>,
        default: Option<Duration>,
    ) -> Duration {
        let low = humantime::format_duration(*range.start());
        let high = humantime::format_duration(*range.end());
        let expected = format!("a duration from \"{low}\" to \"{high}\"");
        let fallback = default.unwrap_or(*range.start());
        if !self.has(key) {
            if default.is_none() {
                self.report_missing(key, &expected);
            }
            return fallback;
        }
        let text = self.text_or(key, "");
        match humantime::parse_duration(&text) {
            Ok(duration) if range.contains(&duration) => duration,
            _ => {
                self.report(key, &format!("is {text:?}"), &format!("write {expected}"));
                fallback
            }
        }
    }

    /// Reads an optional duration within `range`.
    pub fn duration_opt(
        &mut self,
        key: &str,
        range: RangeInclusive<Duration>,
    ) -> Option<Duration> {
        if !self.has(key) {
            return None;
        }
        Some(self.duration(key, range, None))
    }

    /// Reads a required socket address, an IP address with port.
    pub fn address(&mut self, key: &str) -> SocketAddr {
        let placeholder = SocketAddr::from(([127, 0, 0, 1], 0));
        if !self.has(key) {
            self.report_missing(key, "an address such as \"127.0.0.1:8080\"");
            return placeholder;
        }
        let text = self.text_or(key, "");
        self.parse_address(key, &text).unwrap_or(placeholder)
    }

    fn parse_address(&self, key: &str, text: &str) -> Option<SocketAddr> {
        let parsed = text.parse().ok();
        if parsed.is_none() {
            let remedy = "write an IP number and a port, such as \"127.0.0.1:8080\"";
            self.report(key, &format!("is {text:?}"), remedy);
        }
        parsed
    }

    /// Reads a list of strings; empty if the key is absent.
    pub fn texts(&mut self, key: &str) -> Vec<String> {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let Value::Array(array) = value else {
            self.report(key, "is not a list", "write a list in square brackets");
            return Vec::new();
        };
        let mut out = Vec::new();
        for element in &array.elements {
            match element {
                Value::StringLit(lit) => out.push(lit.value.to_string()),
                _ => {
                    self.report(key, "holds something else than text", "quote each item");
                }
            }
        }
        out
    }

    /// Reads a list of socket addresses; empty if the key is absent.
    pub fn addresses(&mut self, key: &str) -> Vec<SocketAddr> {
        let texts = self.texts(key);
        texts
            .iter()
            .filter_map(|text| self.parse_address(key, text))
            .collect()
    }

    /// Reads an optional nested object with `read`.
    pub fn section<T>(
        &mut self,
        key: &str,
        read: impl FnOnce(&mut Self) -> T,
    ) -> Option<T> {
        let value = self.value(key)?;
        let Value::Object(object) = value else {
            self.report(key, "is not an object", "write an object in braces");
            return None;
        };
        let mut inner = Section::new(self.text, self.key(key), object);
        let out = read(&mut inner);
        inner.close();
        Some(out)
    }

    /// Reads a list of objects with `read`; empty if the key is absent.
    pub fn sections<T>(
        &mut self,
        key: &str,
        mut read: impl FnMut(&mut Self) -> T,
    ) -> Vec<T> {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let Value::Array(array) = value else {
            self.report(key, "is not a list", "write a list in square brackets");
            return Vec::new();
        };
        let mut out = Vec::new();
        for (i, element) in array.elements.iter().enumerate() {
            let path = format!("{}[{i}]", self.key(key));
            let Value::Object(object) = element else {
                let at = element.range().start;
                self.text.report(
                    at,
                    &path,
                    "is not an object",
                    "write an object in braces",
                );
                continue;
            };
            let mut inner = Section::new(self.text, path, object);
            out.push(read(&mut inner));
            inner.close();
        }
        out
    }

    /// Reports each key that no accessor has requested and each duplicate key.
    fn close(&self) {
        let mut names: Vec<&str> = Vec::new();
        for prop in &self.object.properties {
            let name = prop.name.as_str();
            let at = prop.range.start;
            if !self.requested.iter().any(|requested| requested == name) {
                let known_keys = self.known_keys();
                let remedy = format!("remove it or use one of {known_keys}");
                self.text
                    .report(at, &self.key(name), "is an unknown key", &remedy);
            }
            if names.contains(&name) {
                self.text.report(
                    at,
                    &self.key(name),
                    "is written twice",
                    "keep one of them",
                );
            }
            names.push(name);
        }
    }

    fn known_keys(&self) -> String {
        let mut names = self.requested.clone();
        names.sort();
        names.dedup();
        names.join(", ")
    }
}
