//! Faults in an input text, collected with their locations and reported together.
//!
//! Invariant: a verifier never stops at the first fault; it returns a value only if there is none.

use std::fmt;

/// A fault in an input text, with its location.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The file that contains the text.
    pub file: String,
    /// The line, counted from one.
    pub line: u32,
    /// The section and key, such as `pool assistants/model`.
    pub key: String,
    /// Description of the fault and of what is expected.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}: {}", self.file, self.line, self.key, self.message)
    }
}

/// All faults of an input, ordered by location.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds a fault.
    pub(crate) fn add(&mut self, file: &str, line: u32, key: impl Into<String>, message: impl Into<String>) {
        self.0.push(Finding { file: file.to_owned(), line, key: key.into(), message: message.into() });
    }

    /// Returns `value` if there is no fault; otherwise the faults, sorted by location.
    pub(crate) fn into_result<T>(mut self, value: T) -> Result<T, Self> {
        if self.0.is_empty() {
            return Ok(value);
        }
        self.0.sort();
        Err(self)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{finding}")?;
        }
        Ok(())
    }
}
