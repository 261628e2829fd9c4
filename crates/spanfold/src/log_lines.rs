//! Lines of VMs' logs.

use serde_json::{Map, Value};
use std::path::{Path, PathBuf};

/// One line of a log.
pub(crate) struct LogLine {
    pub vm: String,
    pub time_millis: u64,
    pub event: String,
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// A field's text; empty if there is none.
    pub(crate) fn text(&self, key: &str) -> &str {
        self.fields.get(key).and_then(Value::as_str).unwrap_or_default()
    }

    /// A field's number, which lines hold as text; none if it has none, or is below zero.
    pub(crate) fn number(&self, key: &str) -> Option<u64> {
        match self.fields.get(key)? {
            Value::String(text) => text.parse().ok(),
            value => value.as_u64(),
        }
    }
}

/// The lines of some files.
pub(crate) struct LogLines {
    pub lines: Vec<LogLine>,
    /// Lines that are not JSON.
    pub passed_over: usize,
}

/// Reads all lines of `files`; the error names the file that cannot be read.
pub(crate) fn read_files(files: &[PathBuf]) -> Result<LogLines, String> {
    let mut read = LogLines { lines: Vec::new(), passed_over: 0 };
    for file in files {
        let text = std::fs::read_to_string(file).map_err(|error| format!("{}: {error}\n", file.display()))?;
        let vm = vm_of(file);
        for line in text.lines() {
            match read_line(&vm, line) {
                Some(line) => read.lines.push(line),
                None => read.passed_over += 1,
            }
        }
    }
    Ok(read)
}

/// The VM whose log a file is, by the file's name.
fn vm_of(file: &Path) -> String {
    file.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default()
}

/// Reads a line, which may have a time and a VM's name before its JSON.
fn read_line(vm: &str, line: &str) -> Option<LogLine> {
    let (before, json) = line.split_at(line.find('{')?);
    let Value::Object(fields) = serde_json::from_str(json).ok()? else { return None };
    let named = before.split_whitespace().last().map(str::to_owned);
    Some(LogLine {
        vm: named.unwrap_or_else(|| vm.to_owned()),
        time_millis: fields.get("time_ms")?.as_u64()?,
        event: fields.get("event")?.as_str()?.to_owned(),
        fields,
    })
}
