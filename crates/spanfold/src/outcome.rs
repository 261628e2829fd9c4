//! The outcome of a command: its output and its exit code.

/// There are findings or differences.
pub(crate) const EXIT_FINDINGS: u8 = 1;
/// The command was used wrongly.
pub(crate) const EXIT_WRONG_USE: u8 = 2;
/// Another change was accepted first.
pub(crate) const EXIT_CONFLICT: u8 = 3;
/// The platform or a VM is unreachable.
pub(crate) const EXIT_UNREACHABLE: u8 = 4;
/// The change was accepted but did not get in force at all named VMs in time.
pub(crate) const EXIT_NOT_IN_FORCE: u8 = 5;

/// Output and exit code of a command.
#[derive(Debug)]
pub(crate) struct CommandOutcome {
    pub text: String,
    pub code: u8,
}

impl CommandOutcome {
    pub(crate) fn success(text: impl Into<String>) -> Self {
        Self { text: text.into(), code: 0 }
    }

    pub(crate) fn failure(code: u8, text: impl Into<String>) -> Self {
        Self { text: text.into(), code }
    }

    /// Prints the text: results, findings and differences to standard output, failures to standard error.
    ///
    /// Findings and differences are the output that the command is run for.
    pub(crate) fn print(&self) {
        let text = self.text.trim_end();
        if text.is_empty() {
            return;
        }
        if self.code <= EXIT_FINDINGS { println!("{text}") } else { eprintln!("{text}") }
    }
}
