//! Settings and declarations: parses INI text into verified tables or a list of findings.
//!
//! - [`Document`] is the text form: sections and properties, each with its line.
//! - [`Declarations`] are the operators' declarations, which they keep in version control.
//! - [`Settings`] are read by a daemon at start-up, [`GatewaySettings`] by a gateway.
//! - [`Finding`] is one fault with file, line and key; a verifier collects all of them first.
//! - [`Labels`] and [`Selector`] use the usual syntax `key=value, key in (a,b), !key`.
//! - [`Bundle`] splits declarations into content-addressed chunks for the platform.

mod bundle;
mod declaration;
mod document;
mod finding;
mod gateway_settings;
mod label;
mod reader;
mod settings;
mod verify;

pub use bundle::{BUCKET_COUNT, Bundle, BundleError, chunk_digest};
pub use declaration::{
    Catalogue, ClientAccount, DataCentre, Declarations, Endpoint, EndpointKind, Objective, ObjectiveKind,
    Pool, Share, key_digest,
};
pub use document::{Document, Property, Section, changed_sections};
pub use finding::{Finding, Findings};
pub use gateway_settings::{GatewaySettings, ReportedViews, gateway_settings_table};
pub use label::{Labels, Selector};
pub use settings::{Settings, SettingsRow, settings_table};
