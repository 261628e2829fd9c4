//! Reader of VMs' log files.

use serde_json::{Map, Value};
use std::path::{Path, PathBuf};

/// One log line.
pub(crate) struct LogLine {
    pub vm: String,
    pub time_millis: u64,
    pub event: String,
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Returns a field's text; empty if it is missing or no text.
    pub(crate) fn text(&self, key: &str) -> &str {
        self.fields.get(key).and_then(Value::as_str).unwrap_or_default()
    }

    /// Returns a field's number, which may be logged as text; `None` if it is missing or negative.
    pub(crate) fn number(&self, key: &str) -> Option<u64> {
        match self.fields.get(key)? {
            Value::String(text) => text.parse().ok(),
            value => value.as_u64(),
        }
    }
}

/// The lines of several log files.
pub(crate) struct LogLines {
    pub lines: Vec<LogLine>,
    /// Number of lines that are not JSON, or lack a time or an event.
    pub skipped_lines: usize,
}

/// Reads all lines of `files`; the error names the file that cannot be read.
pub(crate) fn read_files(files: &[PathBuf]) -> Result<LogLines, String> {
    let mut log_lines = LogLines { lines: Vec::new(), skipped_lines: 0 };
    for file in files {
        let text = std::fs::read_to_string(file).map_err(|error| format!("{}: {error}\n", file.display()))?;
        let vm = vm_name_of(file);
        for line in text.lines() {
            match parse_line(&vm, line) {
                Some(line) => log_lines.lines.push(line),
                None => log_lines.skipped_lines += 1,
            }
        }
    }
    Ok(log_lines)
}

/// Returns the name of the VM whose log `file` is: the file's name without extension.
fn vm_name_of(file: &Path) -> String {
    file.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default()
}

/// Parses a line, which may have a time and a VM's name before its JSON.
fn parse_line(vm: &str, line: &str) -> Option<LogLine> {
    let (prefix, json) = line.split_at(line.find('{')?);
    let Value::Object(fields) = serde_json::from_str(json).ok()? else { return None };
    let vm_name = prefix.split_whitespace().last().map(str::to_owned);
    Some(LogLine {
        vm: vm_name.unwrap_or_else(|| vm.to_owned()),
        time_millis: fields.get("time_ms")?.as_u64()?,
        event: fields.get("event")?.as_str()?.to_owned(),
        fields,
    })
}
