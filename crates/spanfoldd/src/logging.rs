//! Logging as JSON lines: time, level, event name, and the fields of the event.

use log::kv::{Key, Value, VisitSource};
use serde_json::{Map, json};
use std::io::Write;
use std::path::Path;
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Collects the fields of one log record.
struct FieldReader(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldReader {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let mut text = value.to_string();
        if let Some((end, _)) = text.char_indices().nth(MAX_FIELD_CHARS) {
            text.truncate(end);
            text.push_str(CUT_MARK);
        }
        self.0.insert(key.to_string(), json!(text));
        Ok(())
    }
}

/// Characters of a field; callers choose some of them, such as a request's id.
const MAX_FIELD_CHARS: usize = 512;
/// Ends a field that was longer.
const CUT_MARK: &str = "...";
/// Bytes of lines in a second; further lines are dropped and counted.
const MAX_BYTES_PER_S: u64 = 256 << 10;
/// Bytes of lines at once after a quiet time.
const MAX_BURST_BYTES: u64 = 512 << 10;

/// Bytes of lines that may be written now.
#[derive(Debug)]
struct LineBudget {
    bytes: u64,
    counted_at: Instant,
}

impl LineBudget {
    fn take(&mut self, line_bytes: u64) -> bool {
        let elapsed_millis = self.counted_at.elapsed().as_millis() as u64;
        if elapsed_millis > 0 {
            self.bytes = (self.bytes + elapsed_millis * MAX_BYTES_PER_S / 1_000).min(MAX_BURST_BYTES);
            self.counted_at = Instant::now();
        }
        let is_within = self.bytes >= line_bytes;
        if is_within {
            self.bytes -= line_bytes;
        }
        is_within
    }
}

/// Bound on lines queued for a slow reader of standard output; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// Number of log lines dropped because the reader of standard output was too slow.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of log lines dropped so far.
///
/// # Examples
/// ```
/// assert_eq!(spanfoldd::dropped_log_lines(), 0);
/// ```
pub fn dropped_log_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Writes logs of `level` and above to `file`, or to standard error.
///
/// # Errors
/// If the file cannot be opened or logging was set up before.
///
/// # Examples
/// ```
/// spanfoldd::start_logging("info", None).unwrap();
/// log::info!(answer = 42; "example.started");
/// ```
pub fn start_logging(level: &str, file: Option<&Path>) -> Result<(), Box<dyn std::error::Error>> {
    let dispatch = dispatch(level)?;
    match file {
        Some(file) => dispatch.chain(fern::log_file(file)?).apply()?,
        None => dispatch.chain(std::io::stderr()).apply()?,
    }
    Ok(())
}

/// Writes logs of `level` and above to standard output, never blocking on its reader.
///
/// # Errors
/// If the level is unknown or logging was set up before.
///
/// # Examples
/// ```
/// spanfoldd::start_output_logging("warn").unwrap();
/// ```
pub fn start_output_logging(level: &str) -> Result<(), Box<dyn std::error::Error>> {
    let dispatch = dispatch(level)?;
    let (lines, queued) = sync_channel::<String>(MAX_QUEUED_LINES);
    std::thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&queued))?;
    let budget = Mutex::new(LineBudget { bytes: MAX_BURST_BYTES, counted_at: Instant::now() });
    let output = fern::Output::call(move |record| {
        let line = record.args().to_string();
        let is_within = budget.lock().unwrap_or_else(PoisonError::into_inner).take(line.len() as u64);
        if !is_within || lines.try_send(line).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
    });
    dispatch.chain(output).apply()?;
    Ok(())
}

/// Writes queued lines, and after dropped lines a line with their number.
fn write_lines(queued: &Receiver<String>) {
    let mut reported = 0;
    while let Ok(line) = queued.recv() {
        let mut output = std::io::stdout().lock();
        // A failed write is ignored: without a reader there is nowhere to report it.
        let _ = writeln!(output, "{line}");
        let dropped = dropped_log_lines();
        if dropped > reported {
            let _ = writeln!(output, "{}", dropped_line(dropped - reported, dropped));
            reported = dropped;
        }
    }
}

fn dropped_line(lines: u64, total: u64) -> serde_json::Value {
    json!({
        "time_ms": time_millis(),
        "level": "WARN",
        "event": "log.dropped",
        "lines": lines.to_string(),
        "total": total.to_string(),
    })
}

fn time_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

fn dispatch(level: &str) -> Result<fern::Dispatch, log::ParseLevelError> {
    let level = log::LevelFilter::from_str(level)?;
    let dispatch =
        fern::Dispatch::new().level(level.min(log::LevelFilter::Warn)).level_for("spanfoldd", level);
    let dispatch = ["spanfold_peer", "spanfold_keyvalue", "spanfold_gateway"]
        .into_iter()
        .fold(dispatch, |dispatch, target| dispatch.level_for(target, level));
    Ok(dispatch.format(|out, message, record| {
        let mut fields = FieldReader(Map::new());
        let _ = record.key_values().visit(&mut fields);
        fields.0.insert("time_ms".to_owned(), json!(time_millis()));
        fields.0.insert("level".to_owned(), json!(record.level().as_str()));
        fields.0.insert("event".to_owned(), json!(message.to_string()));
        out.finish(format_args!("{}", serde_json::Value::Object(fields.0)));
    }))
}
