//! The text form of sessions: timed input events and output effects.
//!
//! A line is `@MICROS EVENT` or `-> EFFECT`, with the event or effect as JSON; lines that start
//! with `#` are comments. Invariant: a recorded session replays to the same effects.

use crate::{Effect, Event, Kernel, World};
use serde::{Deserialize, Serialize};
use spanfold_entity::Moment;
use std::fmt;

/// One line of a session.
#[derive(Clone, Debug)]
pub enum SessionLine {
    /// The parameters with which the kernel was created.
    Start(StartLine),
    /// An input event and its time.
    Input(Moment, Event),
    /// An effect of the preceding event.
    Output(Effect),
    /// A comment or an empty line.
    Comment(String),
}

/// The first line of a recorded session: the kernel's parameters.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StartLine {
    me: String,
    data_centre: String,
    incarnation: u64,
    variant: String,
    shards: u32,
    flush_millis: u64,
}

/// Why a session text cannot be parsed.
#[derive(Debug, thiserror::Error)]
pub enum SessionError {
    /// A line is malformed.
    #[error("line {line}: {cause}")]
    Malformed {
        /// The line, counted from one.
        line: usize,
        /// The parser's error.
        cause: String,
    },
}

impl SessionLine {
    /// Returns the start line of a session whose kernel is created with `world`.
    pub fn start(world: &World) -> Self {
        Self::Start(StartLine {
            me: world.own_name.clone(),
            data_centre: world.data_centre.clone(),
            incarnation: world.incarnation,
            variant: world.variant.clone(),
            shards: world.shards,
            flush_millis: world.flush_millis,
        })
    }

    /// Parses one line.
    ///
    /// # Errors
    /// A message that describes the malformed part.
    ///
    /// # Examples
    /// ```
    /// use spanfold_kernel::SessionLine;
    /// let line = SessionLine::parse("@50 \"Tick\"").unwrap();
    /// assert_eq!(line.to_string(), "@50 \"Tick\"");
    /// ```
    pub fn parse(text: &str) -> Result<Self, String> {
        let json_error = |error: serde_json::Error| error.to_string();
        if let Some(effect) = text.strip_prefix("-> ") {
            return Ok(Self::Output(serde_json::from_str(effect).map_err(json_error)?));
        }
        if let Some(start) = text.strip_prefix("start ") {
            return Ok(Self::Start(serde_json::from_str(start).map_err(json_error)?));
        }
        if let Some(input) = text.strip_prefix('@') {
            let (time, event) = input.split_once(' ').ok_or("expected `@MICROS EVENT`")?;
            let time = time.parse().map_err(|_error| format!("`{time}` is not a time in microseconds"))?;
            return Ok(Self::Input(Moment(time), serde_json::from_str(event).map_err(json_error)?));
        }
        if text.starts_with('#') || text.trim().is_empty() {
            return Ok(Self::Comment(text.to_owned()));
        }
        Err("expected `start`, `@`, `->` or `#`".to_owned())
    }
}

impl fmt::Display for SessionLine {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fn json(value: &impl Serialize) -> Result<String, fmt::Error> {
            serde_json::to_string(value).map_err(|_error| fmt::Error)
        }
        match self {
            Self::Start(start) => write!(formatter, "start {}", json(start)?),
            Self::Input(time, event) => write!(formatter, "@{time} {}", json(event)?),
            Self::Output(effect) => write!(formatter, "-> {}", json(effect)?),
            Self::Comment(text) => formatter.write_str(text),
        }
    }
}

/// Replays the inputs of a session text and returns it with the new outputs.
///
/// # Errors
/// If a line is malformed; reports the first one.
///
/// # Examples
/// ```
/// use spanfold_kernel::replay;
/// let text = "start {\"me\":\"vm-1\",\"data_centre\":\"d\",\"incarnation\":1,\
///     \"variant\":\"spanfold\",\"shards\":1,\"flush_millis\":40}\n@50 \"Tick\"\n";
/// assert_eq!(replay(text).unwrap(), text);
/// ```
pub fn replay(text: &str) -> Result<String, SessionError> {
    let mut kernel = Kernel::new(World::default());
    let mut output = String::new();
    // Recorded outputs are skipped, so that a session replays even if their format has changed.
    let lines = text.lines().enumerate().filter(|(_, line)| !line.starts_with("-> "));
    for (line_index, line) in lines {
        let parsed = SessionLine::parse(line)
            .map_err(|cause| SessionError::Malformed { line: line_index + 1, cause })?;
        match parsed {
            SessionLine::Output(_) => {}
            SessionLine::Comment(comment) => push_line(&mut output, &comment),
            SessionLine::Start(ref start) => {
                kernel = Kernel::new(World {
                    own_name: start.me.clone(),
                    data_centre: start.data_centre.clone(),
                    incarnation: start.incarnation,
                    variant: start.variant.clone(),
                    shards: start.shards,
                    flush_millis: start.flush_millis,
                    ..World::default()
                });
                push_line(&mut output, &parsed.to_string());
            }
            SessionLine::Input(time, event) => {
                push_line(&mut output, line);
                for effect in kernel.step(time, event) {
                    push_line(&mut output, &SessionLine::Output(effect).to_string());
                }
            }
        }
    }
    Ok(output)
}

fn push_line(output: &mut String, line: &str) {
    output.push_str(line);
    output.push('\n');
}
