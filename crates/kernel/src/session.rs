//! The text form of sessions: events with times in, effects out.
//!
//! A line is `@MICROS EVENT` or `-> EFFECT`, with the event or effect as JSON; lines that start
//! with `#` are remarks. Invariant: a recorded session replays to the same effects.

use crate::{Effect, Event, Kernel, World};
use serde::{Deserialize, Serialize};
use spanfold_entity::Moment;
use std::fmt;

/// One line of a session.
#[derive(Clone, Debug)]
pub enum SessionLine {
    /// What the kernel was made with.
    Start(StartLine),
    /// An event and its time.
    Input(Moment, Event),
    /// An effect of the event above it.
    Output(Effect),
    /// A remark.
    Remark(String),
}

/// The first line of a recorded session: what the kernel was made with.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StartLine {
    me: String,
    data_centre: String,
    incarnation: u64,
    variant: String,
    shards: u32,
    flush_millis: u64,
}

/// Why a session text was not understood.
#[derive(Debug, thiserror::Error)]
pub enum SessionError {
    /// A line is malformed.
    #[error("line {line}: {cause}")]
    Malformed {
        /// The line, counted from one.
        line: usize,
        /// What is wrong with it.
        cause: String,
    },
}

impl SessionLine {
    /// The line that tells what a kernel with this `world` was made with.
    pub fn start(world: &World) -> Self {
        Self::Start(StartLine {
            me: world.me.clone(),
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
    /// A sentence that says what is wrong.
    ///
    /// # Examples
    /// ```
    /// use spanfold_kernel::SessionLine;
    /// let line = SessionLine::parse("@50 \"Tick\"").unwrap();
    /// assert_eq!(line.to_string(), "@50 \"Tick\"");
    /// ```
    pub fn parse(text: &str) -> Result<Self, String> {
        let read = |error: serde_json::Error| error.to_string();
        if let Some(rest) = text.strip_prefix("-> ") {
            return Ok(Self::Output(serde_json::from_str(rest).map_err(read)?));
        }
        if let Some(rest) = text.strip_prefix("start ") {
            return Ok(Self::Start(serde_json::from_str(rest).map_err(read)?));
        }
        if let Some(rest) = text.strip_prefix('@') {
            let (time, event) = rest.split_once(' ').ok_or("expected `@MICROS EVENT`")?;
            let time = time.parse().map_err(|_error| format!("`{time}` is not a time"))?;
            return Ok(Self::Input(Moment(time), serde_json::from_str(event).map_err(read)?));
        }
        if text.starts_with('#') || text.trim().is_empty() {
            return Ok(Self::Remark(text.to_owned()));
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
            Self::Remark(text) => formatter.write_str(text),
        }
    }
}

/// Runs the inputs of a session text and returns the text with the outputs that come now.
///
/// # Errors
/// The first malformed line.
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
    // Old outputs are not read: a change of their form must not keep a session from replaying.
    let lines = text.lines().enumerate().filter(|(_, line)| !line.starts_with("-> "));
    for (row, line) in lines {
        let parsed =
            SessionLine::parse(line).map_err(|cause| SessionError::Malformed { line: row + 1, cause })?;
        match parsed {
            SessionLine::Output(_) => {}
            SessionLine::Remark(remark) => push_line(&mut output, &remark),
            SessionLine::Start(ref start) => {
                kernel = Kernel::new(World {
                    me: start.me.clone(),
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
