//! The daemon's settings: one table with defaults, read once at start-up.
//!
//! Invariant: exactly the rows of [`settings_table`] are read here, so the printed table is both
//! the reference and a file that can be parsed.

use crate::reader::SectionReader;
use crate::{Document, Findings};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A row of the settings reference.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingsRow {
    /// The section.
    pub section: &'static str,
    /// The key.
    pub key: &'static str,
    /// The default value; empty if the key is required or off by default.
    pub default: &'static str,
    /// Description of the setting, with its unit.
    pub purpose: &'static str,
}

macro_rules! rows {
    ($($section:literal $key:literal $default:literal $purpose:literal;)*) => {
        &[$(SettingsRow { section: $section, key: $key, default: $default, purpose: $purpose },)*]
    };
}

pub(crate) use rows;

/// Returns the reference table of the daemon's settings.
///
/// # Examples
/// ```
/// use spanfold_declare::settings_table;
/// assert!(settings_table().iter().any(|row| row.key == "data_centre"));
/// ```
pub const fn settings_table() -> &'static [SettingsRow] {
    rows! {
        "vm" "name" "" "this VM's name, unique in the deployment; required";
        "vm" "data_centre" "" "the data centre that this VM stands in; required";
        "listen" "callers" "127.0.0.1:8080" "address for callers";
        "listen" "operators" "127.0.0.1:8081" "address for /healthz, /readyz, /metrics and /status";
        "listen" "peers" "127.0.0.1:8082" "UDP address for the other VMs";
        "peer" "certificate" "" "PEM file with this VM's certificate; required";
        "peer" "key" "" "PEM file with the certificate's private key; required";
        "peer" "authority" "" "PEM file with the authority that all VMs' certificates are signed by; required";
        "platform" "key_value" "" "address of the key-value service; required";
        "platform" "vm_list" "" "address of the VM list; required";
        "secret" "file" "" "file with the deployment's secret, from which token and cache keys are derived; required";
        "limits" "body_bytes" "4194304" "longest request body of a completion";
        "limits" "upload_bytes" "1073741824" "longest streamed upload to a plain service";
        "limits" "header_ms" "5000" "time a caller has to send its header";
        "limits" "body_ms" "30000" "time a caller has to send the body of a completion";
        "limits" "deadline_ms" "30000" "deadline of a request that names none";
        "limits" "stall_ms" "3000" "silence after which an engine's stream counts as broken";
        "limits" "grace_ms" "60000" "time that a planned stop leaves to requests in flight";
        "policy" "variant" "spanfold" "routing: spanfold, round-robin, least-loaded or affinity";
        "policy" "tick_ms" "50" "period of the kernel's tick";
        "policy" "session_file" "" "file to which a session is recorded, for replay";
        "claims" "shards" "17" "number of claim logs; the same on every VM for the life of the deployment";
        "claims" "flush_ms" "40" "time over which claims are gathered into one write";
        "claims" "answer_bytes" "16384" "longest answer that is recorded to be given again";
        "log" "level" "info" "error, warn, info, debug or trace";
        "log" "file" "" "file for the JSON lines; standard error if empty";
    }
}

/// Settings that a daemon reads at start-up.
#[derive(Clone, Debug, PartialEq, Eq)]
#[expect(missing_docs, reason = "each field is a row of settings_table, which documents it")]
pub struct Settings {
    pub name: String,
    pub data_centre: String,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    pub certificate: PathBuf,
    pub key: PathBuf,
    pub authority: PathBuf,
    pub key_value: SocketAddr,
    pub vm_list: SocketAddr,
    pub secret_file: PathBuf,
    pub body_bytes: usize,
    pub upload_bytes: u64,
    pub header_millis: u64,
    pub body_millis: u64,
    pub deadline_millis: u64,
    pub stall_millis: u64,
    pub grace_millis: u64,
    pub variant: String,
    pub tick_millis: u64,
    pub session_file: Option<PathBuf>,
    pub shards: u32,
    pub flush_millis: u64,
    pub answer_bytes: usize,
    pub log_level: String,
    pub log_file: Option<PathBuf>,
}

const ROUTING_VARIANTS: [&str; 4] = ["spanfold", "round-robin", "least-loaded", "affinity"];
pub(crate) const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

impl Settings {
    /// Parses and verifies a settings file.
    ///
    /// # Errors
    /// All findings, each with file, line and key.
    ///
    /// # Examples
    /// ```
    /// use spanfold_declare::Settings;
    /// let findings = Settings::parse("spanfoldd.ini", "[vm]\nname = a\nage = 3\n").unwrap_err();
    /// assert!(findings.to_string().contains("spanfoldd.ini:3: vm/age: unknown key"));
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let mut document = Document::parse(file, text)?;
        let mut findings = Findings::default();
        add_missing_sections(&mut document, file, settings_table());
        let mut settings = Self::unset();
        read_sections(&document, file, &mut findings, |section, reader| {
            settings.read_section(section, reader)
        });
        findings.into_result(settings)
    }

    /// Returns the settings, including defaults, as a file that can be parsed.
    pub fn print(&self) -> String {
        let mut document = Document::default();
        for row in settings_table() {
            let value = self.value(row.section, row.key);
            if document.section_mut(row.section, "").is_none() {
                document.sections.push(crate::Section {
                    kind: row.section.to_owned(),
                    name: String::new(),
                    line: 0,
                    file: String::new(),
                    properties: Vec::new(),
                });
            }
            if let Some(section) = document.section_mut(row.section, "") {
                section.set(row.key, &value);
            }
        }
        document.to_string()
    }

    fn unset() -> Self {
        let unset_address = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name: String::new(),
            data_centre: String::new(),
            callers: unset_address,
            operators: unset_address,
            peers: unset_address,
            certificate: PathBuf::new(),
            key: PathBuf::new(),
            authority: PathBuf::new(),
            key_value: unset_address,
            vm_list: unset_address,
            secret_file: PathBuf::new(),
            body_bytes: 0,
            upload_bytes: 0,
            header_millis: 0,
            body_millis: 0,
            deadline_millis: 0,
            stall_millis: 0,
            grace_millis: 0,
            variant: String::new(),
            tick_millis: 0,
            session_file: None,
            shards: 0,
            flush_millis: 0,
            answer_bytes: 0,
            log_level: String::new(),
            log_file: None,
        }
    }

    fn read_section(&mut self, section: &str, reader: &mut SectionReader<'_>) -> bool {
        match section {
            "vm" => {
                reader.required("name").clone_into(&mut self.name);
                reader.required("data_centre").clone_into(&mut self.data_centre);
            }
            "listen" => {
                self.callers = address(reader, "callers", "127.0.0.1:8080");
                self.operators = address(reader, "operators", "127.0.0.1:8081");
                self.peers = address(reader, "peers", "127.0.0.1:8082");
            }
            "peer" => {
                self.certificate = reader.required("certificate").into();
                self.key = reader.required("key").into();
                self.authority = reader.required("authority").into();
            }
            "platform" => {
                self.key_value = required_address(reader, "key_value");
                self.vm_list = required_address(reader, "vm_list");
            }
            "secret" => self.secret_file = reader.required("file").into(),
            "limits" => {
                self.body_bytes = positive(reader, "body_bytes", 4_194_304);
                self.upload_bytes = positive(reader, "upload_bytes", 1_073_741_824);
                self.header_millis = positive(reader, "header_ms", 5_000);
                self.body_millis = positive(reader, "body_ms", 30_000);
                self.deadline_millis = positive(reader, "deadline_ms", 30_000);
                self.stall_millis = positive(reader, "stall_ms", 3_000);
                self.grace_millis = positive(reader, "grace_ms", 60_000);
            }
            "policy" => {
                self.variant = one_of(reader, "variant", &ROUTING_VARIANTS, "spanfold");
                self.tick_millis = positive(reader, "tick_ms", 50);
                self.session_file = reader.optional("session_file").filter(|v| !v.is_empty()).map(Into::into);
            }
            "claims" => {
                self.shards = positive(reader, "shards", 17);
                self.flush_millis = positive(reader, "flush_ms", 40);
                self.answer_bytes = positive(reader, "answer_bytes", 16_384);
            }
            "log" => {
                self.log_level = one_of(reader, "level", &LOG_LEVELS, "info");
                self.log_file = reader.optional("file").filter(|v| !v.is_empty()).map(Into::into);
            }
            _ => return false,
        }
        true
    }

    fn value(&self, section: &str, key: &str) -> String {
        let path_text = |path: &PathBuf| path.display().to_string();
        let optional_path = |path: &Option<PathBuf>| path.as_ref().map(path_text).unwrap_or_default();
        match (section, key) {
            ("vm", "name") => self.name.clone(),
            ("vm", "data_centre") => self.data_centre.clone(),
            ("listen", "callers") => self.callers.to_string(),
            ("listen", "operators") => self.operators.to_string(),
            ("listen", "peers") => self.peers.to_string(),
            ("peer", "certificate") => path_text(&self.certificate),
            ("peer", "key") => path_text(&self.key),
            ("peer", "authority") => path_text(&self.authority),
            ("platform", "key_value") => self.key_value.to_string(),
            ("platform", "vm_list") => self.vm_list.to_string(),
            ("secret", "file") => path_text(&self.secret_file),
            ("limits", "body_bytes") => self.body_bytes.to_string(),
            ("limits", "upload_bytes") => self.upload_bytes.to_string(),
            ("limits", "header_ms") => self.header_millis.to_string(),
            ("limits", "body_ms") => self.body_millis.to_string(),
            ("limits", "deadline_ms") => self.deadline_millis.to_string(),
            ("limits", "stall_ms") => self.stall_millis.to_string(),
            ("limits", "grace_ms") => self.grace_millis.to_string(),
            ("policy", "variant") => self.variant.clone(),
            ("policy", "tick_ms") => self.tick_millis.to_string(),
            ("policy", "session_file") => optional_path(&self.session_file),
            ("claims", "shards") => self.shards.to_string(),
            ("claims", "flush_ms") => self.flush_millis.to_string(),
            ("claims", "answer_bytes") => self.answer_bytes.to_string(),
            ("log", "level") => self.log_level.clone(),
            ("log", "file") => optional_path(&self.log_file),
            _ => String::new(),
        }
    }
}

/// Adds the sections of `table` that the file lacks, so that missing required keys are reported.
pub(crate) fn add_missing_sections(document: &mut Document, file: &str, table: &[SettingsRow]) {
    for row in table {
        let last_line = document.sections.last().map_or(1, |section| section.line);
        if !document.sections.iter().any(|section| section.header() == row.section) {
            document.sections.push(crate::Section {
                kind: row.section.to_owned(),
                name: String::new(),
                line: last_line,
                file: file.to_owned(),
                properties: Vec::new(),
            });
        }
    }
}

/// Reads each section with `read`, which returns whether it recognizes the section.
///
/// Reports unrecognized sections and the keys that were not read.
pub(crate) fn read_sections(
    document: &Document,
    file: &str,
    findings: &mut Findings,
    mut read_section: impl FnMut(&str, &mut SectionReader<'_>) -> bool,
) {
    for section in &document.sections {
        let mut reader = SectionReader::new(section, findings);
        if read_section(&section.header(), &mut reader) {
            reader.finish();
        } else {
            findings.add(file, section.line, section.header(), "unknown section");
        }
    }
}

pub(crate) fn address(reader: &mut SectionReader<'_>, key: &'static str, default: &str) -> SocketAddr {
    let text = reader.optional(key).unwrap_or(default);
    text.parse().unwrap_or_else(|_| {
        reader.report(key, format!("`{text}` is not IP:PORT"));
        SocketAddr::from(([127, 0, 0, 1], 0))
    })
}

fn required_address(reader: &mut SectionReader<'_>, key: &'static str) -> SocketAddr {
    if reader.required(key).is_empty() {
        return SocketAddr::from(([127, 0, 0, 1], 0));
    }
    address(reader, key, "")
}

fn positive<T: std::str::FromStr + Default + PartialEq>(
    reader: &mut SectionReader<'_>,
    key: &'static str,
    default: T,
) -> T {
    let value = reader.number(key, default);
    if value == T::default() {
        reader.report(key, "must be above zero");
    }
    value
}

pub(crate) fn one_of(
    reader: &mut SectionReader<'_>,
    key: &'static str,
    choices: &[&str],
    default: &str,
) -> String {
    let text = reader.optional(key).unwrap_or(default);
    if !choices.contains(&text) {
        reader.report(key, format!("`{text}` is none of {}", choices.join(", ")));
    }
    text.to_owned()
}
