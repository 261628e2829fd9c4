//! The gateway's settings: one verified table with defaults, read once at start-up.
//!
//! Invariant: exactly the rows of [`gateway_settings_table`] are read here.

use crate::reader::SectionReader;
use crate::settings::{SettingsRow, add_missing_sections, address, one_of, read_sections, rows};
use crate::{Document, Findings};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Returns the reference table of the gateway's settings.
///
/// # Examples
/// ```
/// use spanfold_declare::gateway_settings_table;
/// assert!(gateway_settings_table().iter().any(|row| row.key == "data_centre"));
/// ```
pub const fn gateway_settings_table() -> &'static [SettingsRow] {
    rows! {
        "vm" "name" "" "this VM's name, unique in the deployment; required";
        "vm" "data_centre" "" "the data centre that this VM stands in; required";
        "vm" "regions" "" "region of each data centre, as NAME:REGION, separated by commas; needed where homes are named";
        "vm" "link_mbps" "1000" "this VM's link in megabits a second; VMs with wide links pass on what others ask";
        "vm" "memory_mb" "256" "this VM's memory in megabytes; without 32 for the process, 0.3 of it is for callers' requests and 0.3 for their connections";
        "vm" "descriptors" "0" "descriptors that the platform gives this VM, 200 of them for files; 0: the process's own limit alone";
        "listen" "callers" "" "address for callers; required";
        "listen" "readiness" "" "address where the balancer asks for readiness; required";
        "listen" "metrics" "" "address for /metrics; required";
        "listen" "peers" "" "UDP address for the other VMs; required";
        "store" "address" "" "address of the platform's store; required";
        "bounds" "grace_s" "8" "seconds between a planned stop's signal and the kill";
        "bounds" "lease_ms" "3000" "milliseconds in which orders of two holders may not mix";
        "bounds" "version_ms" "10000" "milliseconds after which requests may not start on older weights";
        "bounds" "retry_ratio" "0.2" "second sends for each request, over all VMs";
        "bounds" "retry_window_s" "10" "seconds over which second sends are counted";
        "bounds" "retry_slack" "20" "second sends of all VMs in a window beyond the ratio";
        "bounds" "cold_overrun" "1" "multiple of what a cold endpoint bears that all VMs may send it in a second";
        "bounds" "cold_slack" "0" "requests in a second that all VMs may send it beyond that";
        "bounds" "exposure_share" "0.1" "share of a service's requests that a bad new version may get";
        "bounds" "exposure_slack" "50" "requests that a bad new version may get beyond that";
        "placement" "views" "aged" "aged: placement adds the load that other VMs have sent since their reports; current: it takes the reports as they are";
        "log" "level" "info" "error, warn, info, debug or trace";
    }
}

/// Values of the setting `placement/views`.
const VIEW_CHOICES: [&str; 2] = ["aged", "current"];

/// How placement interprets other VMs' reports of their loads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportedViews {
    /// They lack the load that was sent since.
    #[default]
    Aged,
    /// They are complete.
    Current,
}

/// Settings that a gateway reads at start-up.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "each field is a row of gateway_settings_table, which documents it")]
pub struct GatewaySettings {
    pub name: String,
    pub data_centre: String,
    pub regions: BTreeMap<String, String>,
    pub link_mbps: f64,
    pub memory_mb: f64,
    pub descriptors: u64,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
    pub peers: SocketAddr,
    pub store: SocketAddr,
    pub grace_s: u64,
    pub lease_ms: u64,
    pub version_ms: u64,
    pub retry_ratio: f64,
    pub retry_window_s: u64,
    pub retry_slack: f64,
    pub cold_overrun: f64,
    pub cold_slack: f64,
    pub exposure_share: f64,
    pub exposure_slack: f64,
    pub views: ReportedViews,
    pub log_level: String,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        let unset_address = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name: String::new(),
            data_centre: String::new(),
            regions: BTreeMap::new(),
            link_mbps: 1_000.0,
            memory_mb: 256.0,
            descriptors: 0,
            callers: unset_address,
            readiness: unset_address,
            metrics: unset_address,
            peers: unset_address,
            store: unset_address,
            grace_s: 8,
            lease_ms: 3_000,
            version_ms: 10_000,
            retry_ratio: 0.2,
            retry_window_s: 10,
            retry_slack: 20.0,
            cold_overrun: 1.0,
            cold_slack: 0.0,
            exposure_share: 0.1,
            exposure_slack: 50.0,
            views: ReportedViews::Aged,
            log_level: "info".to_owned(),
        }
    }
}

impl GatewaySettings {
    /// Parses and verifies a settings file; a key without a value counts as not set.
    ///
    /// # Errors
    /// All findings, each with file, line and key.
    ///
    /// # Examples
    /// ```
    /// use spanfold_declare::GatewaySettings;
    /// let findings = GatewaySettings::parse("gateway.ini", "[vm]\nname = a\nage = 3\n").unwrap_err();
    /// assert!(findings.to_string().contains("gateway.ini:3: vm/age: unknown key"));
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let mut document = Document::parse(file, text)?;
        add_missing_sections(&mut document, file, gateway_settings_table());
        for section in &mut document.sections {
            section.properties.retain(|property| {
                !property.value.is_empty()
                    || !gateway_settings_table().iter().any(|row| row.key == property.key)
            });
        }
        let mut findings = Findings::default();
        let mut settings = Self::default();
        read_sections(&document, file, &mut findings, |section, reader| {
            settings.read_section(section, reader)
        });
        findings.into_result(settings)
    }

    fn read_section(&mut self, section: &str, reader: &mut SectionReader<'_>) -> bool {
        match section {
            "vm" => {
                reader.required("name").clone_into(&mut self.name);
                reader.required("data_centre").clone_into(&mut self.data_centre);
                self.regions = reader.parsed("regions", parse_regions);
                self.link_mbps = reader.number("link_mbps", self.link_mbps);
                self.memory_mb = reader.number("memory_mb", self.memory_mb);
                self.descriptors = reader.number("descriptors", self.descriptors);
            }
            "listen" => {
                self.callers = required_address(reader, "callers");
                self.readiness = required_address(reader, "readiness");
                self.metrics = required_address(reader, "metrics");
                self.peers = required_address(reader, "peers");
            }
            "store" => self.store = required_address(reader, "address"),
            "bounds" => {
                self.grace_s = reader.number("grace_s", self.grace_s);
                self.lease_ms = reader.number("lease_ms", self.lease_ms);
                self.version_ms = reader.number("version_ms", self.version_ms);
                self.retry_ratio = reader.number("retry_ratio", self.retry_ratio);
                self.retry_window_s = reader.number("retry_window_s", self.retry_window_s);
                self.retry_slack = reader.number("retry_slack", self.retry_slack);
                self.cold_overrun = reader.number("cold_overrun", self.cold_overrun);
                self.cold_slack = reader.number("cold_slack", self.cold_slack);
                self.exposure_share = reader.number("exposure_share", self.exposure_share);
                self.exposure_slack = reader.number("exposure_slack", self.exposure_slack);
            }
            "placement" => {
                let is_current = one_of(reader, "views", &VIEW_CHOICES, VIEW_CHOICES[0]) == VIEW_CHOICES[1];
                self.views = if is_current { ReportedViews::Current } else { ReportedViews::Aged };
            }
            "log" => {
                self.log_level = one_of(reader, "level", &crate::settings::LOG_LEVELS, "info");
            }
            _ => return false,
        }
        true
    }
}

/// Parses the region of each data centre.
fn parse_regions(text: &str) -> Result<BTreeMap<String, String>, String> {
    let rows = text.split(',').map(str::trim).filter(|row| !row.is_empty());
    rows.map(|row| {
        let pair = row.split_once(':').filter(|(name, region)| !name.is_empty() && !region.is_empty());
        let (name, region) = pair.ok_or_else(|| format!("`{row}` is not NAME:REGION"))?;
        Ok((name.trim().to_owned(), region.trim().to_owned()))
    })
    .collect()
}

fn required_address(reader: &mut SectionReader<'_>, key: &'static str) -> SocketAddr {
    if reader.required(key).is_empty() {
        return SocketAddr::from(([127, 0, 0, 1], 0));
    }
    address(reader, key, "")
}
