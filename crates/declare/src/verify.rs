//! The verifier of declarations, which checks the whole document and collects every fault.
//!
//! Invariant: each section is read on its own first; relations between sections are checked
//! afterwards, so that one malformed section does not hide faults in the others.

use crate::reader::SectionReader;
use crate::{
    ClientAccount, DataCentre, Declarations, Document, Endpoint, EndpointKind, Findings, Labels, Objective,
    ObjectiveKind, Pool, Section, Selector, Share,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Number of concurrent requests of endpoints that declare no slots.
const DEFAULT_SLOTS: u32 = 8;
/// Maximum total of the shares of one pool, with a tolerance for rounding.
const MAX_TOTAL_PERCENT: f64 = 100.000_1;
/// Length of a key digest in hexadecimal digits.
const DIGEST_HEX_DIGITS: usize = 64;

pub(crate) fn check(document: &Document) -> Result<Declarations, Findings> {
    let mut findings = Findings::default();
    let mut declarations = Declarations::default();
    for section in &document.sections {
        if section.name.is_empty() {
            findings.add(&section.file, section.line, section.header(), "lacks a name: `[kind name]`");
        }
        read_section(section, &mut declarations, &mut findings);
    }
    check_digests(document, &declarations, &mut findings);
    check_pools(document, &declarations, &mut findings);
    findings.into_result(declarations)
}

fn read_section(section: &Section, declarations: &mut Declarations, findings: &mut Findings) {
    let name = section.name.clone();
    let mut reader = SectionReader::new(section, findings);
    match section.kind.as_str() {
        "client-account" => {
            declarations.accounts.insert(name, read_account(section, &mut reader));
        }
        "pool" => {
            declarations.pools.insert(name, read_pool(section, &mut reader));
        }
        "endpoint" => {
            declarations.endpoints.insert(name, read_endpoint(section, &mut reader));
        }
        "data-centre" => {
            let region = reader.required("region").to_owned();
            declarations.data_centres.insert(name.clone(), DataCentre { name, region });
        }
        "share" => {
            declarations.shares.insert(name, read_share(section, &mut reader));
        }
        "objective" => {
            declarations.objectives.insert(name, read_objective(section, &mut reader));
        }
        kind => {
            let message = format!(
                "unknown kind `{kind}`; known: client-account, pool, endpoint, data-centre, share, objective"
            );
            findings.add(&section.file, section.line, section.header(), message);
            return;
        }
    }
    reader.finish();
}

fn read_account(section: &Section, reader: &mut SectionReader<'_>) -> ClientAccount {
    let key_digests: Vec<String> =
        reader.optional("key_digests").unwrap_or_default().split_whitespace().map(str::to_owned).collect();
    if key_digests
        .iter()
        .any(|digest| digest.len() != DIGEST_HEX_DIGITS || !digest.chars().all(|c| c.is_ascii_hexdigit()))
    {
        reader.report("key_digests", "a digest has 64 hexadecimal digits; see `spanfold digest`");
    }
    let rate = reader.number("rate", 0.0);
    if !(0.0..=1e9).contains(&rate) {
        reader.report("rate", "must be from 0 to 1e9 requests a second");
    }
    ClientAccount {
        name: section.name.clone(),
        key_digests,
        labels: reader.parsed("labels", Labels::parse),
        rate,
        concurrency: reader.number("concurrency", 0),
    }
}

fn parse_kind(text: &str) -> Result<EndpointKind, String> {
    match text {
        "engine" => Ok(EndpointKind::Engine),
        "service" => Ok(EndpointKind::Service),
        "store" => Ok(EndpointKind::Store),
        other => Err(format!("`{other}` is none of engine, service, store")),
    }
}

fn read_pool(section: &Section, reader: &mut SectionReader<'_>) -> Pool {
    reader.required("kind");
    let kind = reader.parsed("kind", parse_kind);
    if kind == EndpointKind::Engine {
        reader.required("model");
        reader.required("version");
    }
    Pool {
        name: section.name.clone(),
        kind,
        labels: reader.parsed("labels", Labels::parse),
        selector: reader.parsed("selector", Selector::parse),
        model: reader.optional("model").unwrap_or_default().to_owned(),
        version: reader.optional("version").unwrap_or_default().to_owned(),
        not_repeatable: reader
            .optional("not_repeatable")
            .unwrap_or_default()
            .split_whitespace()
            .map(str::to_ascii_uppercase)
            .collect(),
    }
}

fn read_endpoint(section: &Section, reader: &mut SectionReader<'_>) -> Endpoint {
    reader.required("kind");
    let address = reader.required("address");
    if !address.is_empty() && address.parse::<SocketAddr>().is_err() {
        reader.report("address", format!("`{address}` is not IP:PORT"));
    }
    let slots = reader.number("slots", DEFAULT_SLOTS);
    if slots == 0 {
        reader.report("slots", "must be at least 1; use `draining = yes` to take an endpoint out");
    }
    Endpoint {
        name: section.name.clone(),
        kind: reader.parsed("kind", parse_kind),
        address: address.to_owned(),
        data_centre: reader.required("data_centre").to_owned(),
        labels: reader.parsed("labels", Labels::parse),
        slots,
        fenced: reader.flag("fenced", false),
        draining: reader.flag("draining", false),
    }
}

fn read_share(section: &Section, reader: &mut SectionReader<'_>) -> Share {
    let percent = reader.number("percent", 0.0);
    if !(percent > 0.0 && percent <= 100.0) {
        reader.report("percent", "must be above 0 and at most 100");
    }
    Share {
        name: section.name.clone(),
        accounts: reader.parsed("accounts", Selector::parse),
        resources: reader.parsed("resources", Selector::parse),
        percent,
    }
}

fn read_objective(section: &Section, reader: &mut SectionReader<'_>) -> Objective {
    reader.required("kind");
    let kind = reader.parsed("kind", |text| match text {
        "first-token" => Ok(ObjectiveKind::FirstToken),
        "answer" => Ok(ObjectiveKind::Answer),
        "availability" => Ok(ObjectiveKind::Availability),
        other => Err(format!("`{other}` is none of first-token, answer, availability")),
    });
    let target = reader.number("target", 0.95);
    if !(target > 0.0 && target < 1.0) {
        reader.report("target", "must be between 0 and 1, such as 0.95");
    }
    let threshold_millis = reader.number("threshold_ms", 0);
    if threshold_millis == 0 && kind != ObjectiveKind::Availability {
        reader.report("threshold_ms", "is required unless kind is availability");
    }
    Objective {
        name: section.name.clone(),
        accounts: reader.parsed("accounts", Selector::parse),
        kind,
        threshold_millis,
        target,
    }
}

fn find_location<'a>(document: &'a Document, kind: &str, name: &str) -> (&'a str, u32) {
    document
        .sections
        .iter()
        .find(|section| section.kind == kind && section.name == name)
        .map_or(("", 0), |section| (section.file.as_str(), section.line))
}

fn check_digests(document: &Document, declarations: &Declarations, findings: &mut Findings) {
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for account in declarations.accounts.values() {
        for digest in &account.key_digests {
            if let Some(owner) = owners.insert(digest, &account.name) {
                let (file, line) = find_location(document, "client-account", &account.name);
                let key = format!("client-account {}/key_digests", account.name);
                findings.add(
                    file,
                    line,
                    key,
                    format!("a digest belongs to client account `{owner}` already"),
                );
            }
        }
    }
}

fn check_pools(document: &Document, declarations: &Declarations, findings: &mut Findings) {
    let mut models: BTreeMap<&str, &str> = BTreeMap::new();
    for pool in declarations.pools.values() {
        let (file, line) = find_location(document, "pool", &pool.name);
        if !pool.model.is_empty()
            && let Some(owner) = models.insert(&pool.model, &pool.name)
        {
            let key = format!("pool {}/model", pool.name);
            findings.add(
                file,
                line,
                key,
                format!("model `{}` belongs to pool `{owner}` already", pool.model),
            );
        }
        let total: f64 = declarations
            .shares
            .values()
            .filter(|share| share.resources.matches(&pool.labels))
            .map(|share| share.percent)
            .sum();
        if total > MAX_TOTAL_PERCENT {
            let key = format!("pool {}", pool.name);
            findings.add(file, line, key, format!("its shares add up to {total} percent"));
        }
    }
}
