//! Faults in an input text, collected with their place and reported together.
//!
//! Invariant: a verifier never stops at the first fault; it returns a value only if it found none.

use std::fmt;

/// One fault: where it stands and what is wrong.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// The file that the text came from.
    pub file: String,
    /// The line, counted from one.
    pub line: u32,
    /// The section and key, such as `pool assistants/model`.
    pub key: String,
    /// What is wrong, and what would be right.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}: {}", self.file, self.line, self.key, self.message)
    }
}

/// All faults of an input, in the order of their places.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds a fault.
    pub(crate) fn add(&mut self, file: &str, line: u32, key: impl Into<String>, message: impl Into<String>) {
        self.0.push(Finding { file: file.to_owned(), line, key: key.into(), message: message.into() });
    }

    /// Returns `value` if there is no fault, else the faults, sorted by place.
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
        for (row, finding) in self.0.iter().enumerate() {
            if row > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{finding}")?;
        }
        Ok(())
    }
}
