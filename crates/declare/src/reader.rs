//! Typed access to the keys of one section, which collects every fault.
//!
//! Invariant: each key is either read or reported as unknown by [`SectionReader::finish`].

use crate::{Findings, Section};
use std::collections::BTreeSet;
use std::str::FromStr;

/// Reads the keys of one section and records faults.
#[derive(Debug)]
pub(crate) struct SectionReader<'a> {
    section: &'a Section,
    findings: &'a mut Findings,
    known_keys: BTreeSet<&'static str>,
}

impl<'a> SectionReader<'a> {
    pub(crate) fn new(section: &'a Section, findings: &'a mut Findings) -> Self {
        Self { section, findings, known_keys: BTreeSet::new() }
    }

    /// Reports `message` at the line of `key`, or at the section if the key is not set.
    pub(crate) fn report(&mut self, key: &str, message: impl Into<String>) {
        let line = self
            .section
            .properties
            .iter()
            .find(|property| property.key == key)
            .map_or(self.section.line, |property| property.line);
        let key_path = format!("{}/{key}", self.section.header());
        self.findings.add(&self.section.file, line, key_path, message);
    }

    pub(crate) fn optional(&mut self, key: &'static str) -> Option<&'a str> {
        self.known_keys.insert(key);
        self.section.value(key)
    }

    pub(crate) fn required(&mut self, key: &'static str) -> &'a str {
        let value = self.optional(key).unwrap_or_default();
        if value.is_empty() {
            self.report(key, "is required");
        }
        value
    }

    /// Reads `key` with `parse`; reports a fault and returns the default then.
    pub(crate) fn parsed<T: Default>(
        &mut self,
        key: &'static str,
        parse: impl FnOnce(&str) -> Result<T, String>,
    ) -> T {
        let Some(text) = self.optional(key) else { return T::default() };
        parse(text).unwrap_or_else(|message| {
            self.report(key, message);
            T::default()
        })
    }

    /// Reads a number, or returns `default` if it is not set.
    pub(crate) fn number<T: FromStr>(&mut self, key: &'static str, default: T) -> T {
        let Some(text) = self.optional(key) else { return default };
        text.parse().unwrap_or_else(|_| {
            self.report(key, format!("`{text}` is not a number in range"));
            default
        })
    }

    /// Reads `yes` or `no`.
    pub(crate) fn flag(&mut self, key: &'static str, default: bool) -> bool {
        match self.optional(key) {
            None => default,
            Some("yes") => true,
            Some("no") => false,
            Some(other) => {
                self.report(key, format!("`{other}` is neither `yes` nor `no`"));
                default
            }
        }
    }

    /// Reports the keys that were set but not read.
    pub(crate) fn finish(self) {
        for property in &self.section.properties {
            if !self.known_keys.contains(property.key.as_str()) {
                let known_keys: Vec<_> = self.known_keys.iter().copied().collect();
                let key_path = format!("{}/{}", self.section.header(), property.key);
                let message = format!("unknown key; known here: {}", known_keys.join(", "));
                self.findings.add(&self.section.file, property.line, key_path, message);
            }
        }
    }
}
