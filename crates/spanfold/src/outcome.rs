//! How a command ended: what it prints and its exit code.

/// Findings, or differences.
pub(crate) const FINDINGS: u8 = 1;
/// The command was used wrongly.
pub(crate) const WRONG_USE: u8 = 2;
/// Another change came first.
pub(crate) const LOST_RACE: u8 = 3;
/// The platform or a VM was not reached.
pub(crate) const NOT_REACHED: u8 = 4;
/// The change was accepted but is not in force everywhere in time.
pub(crate) const NOT_IN_FORCE: u8 = 5;

/// How a command ended.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub text: String,
    pub code: u8,
}

impl Outcome {
    pub(crate) fn done(text: impl Into<String>) -> Self {
        Self { text: text.into(), code: 0 }
    }

    pub(crate) fn fault(code: u8, text: impl Into<String>) -> Self {
        Self { text: text.into(), code }
    }

    /// Faults go to standard error, except differences, which are the command's very output.
    pub(crate) fn print(&self) {
        let text = self.text.trim_end();
        if text.is_empty() {
            return;
        }
        if self.code <= FINDINGS { println!("{text}") } else { eprintln!("{text}") }
    }
}
