//! Checks that the operators' page lists exactly the gateway's events, metrics and settings.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the gateway's sources, and the daemon's main and logging files, as one text.
fn sources() -> String {
    let folder = root().join("crates/gateway/src");
    let daemon = ["main.rs", "logging.rs"].map(|file| root().join("crates/spanfoldd/src").join(file));
    let mut text: String = daemon.iter().map(|path| std::fs::read_to_string(path).unwrap()).collect();
    visit(&folder, &mut |_, content| text.push_str(content));
    text
}

/// Whether a literal has the form of an event name: two lower-case identifiers separated by a dot.
fn is_event(text: &str) -> bool {
    let is_identifier = |text: &str| {
        !text.is_empty() && text.chars().all(|character| character.is_ascii_lowercase() || character == '_')
    };
    text.split_once('.').is_some_and(|(subject, event)| is_identifier(subject) && is_identifier(event))
}

fn page_rows(from: &str, to: &str) -> BTreeSet<String> {
    let page = std::fs::read_to_string(root().join("docs/OPERATIONS.md")).unwrap();
    let section = page.split(from).nth(1).unwrap().split(to).next().unwrap().to_owned();
    let rows =
        section.lines().filter_map(|line| line.strip_prefix("| `")?.split('`').next().map(str::to_owned));
    rows.collect()
}

#[test]
fn the_page_names_every_log_event() {
    let text = sources();
    let events: BTreeSet<String> = text
        .lines()
        .filter(|line| !line.trim_start().starts_with("//"))
        .flat_map(|line| line.split('"').skip(1).step_by(2))
        .filter(|literal| is_event(literal))
        .map(str::to_owned)
        .collect();
    assert_eq!(page_rows("## Log events", "## Metrics"), events);
}

#[test]
fn the_page_names_every_metric() {
    let text = sources();
    let metrics: BTreeSet<String> = text
        .split("registry.register(")
        .skip(1)
        .filter_map(|call| call.split('"').nth(1))
        .map(str::to_owned)
        .collect();
    assert_eq!(page_rows("## Metrics", "## What to do when"), metrics);
}

#[test]
fn the_page_names_every_setting() {
    let rows = page_rows("| section | key |", "## From a failed request");
    let sections: BTreeSet<String> =
        spanfold_declare::gateway_settings_table().iter().map(|row| row.section.to_owned()).collect();
    assert_eq!(rows, sections);
    let page = std::fs::read_to_string(root().join("docs/OPERATIONS.md")).unwrap();
    for row in spanfold_declare::gateway_settings_table() {
        let default = if row.default.is_empty() { String::new() } else { format!("`{}` ", row.default) };
        let line = format!("| `{}` | `{}` | {default}| {} |", row.section, row.key, row.purpose);
        assert!(page.contains(&line), "{line}");
    }
}

#[test]
fn the_platforms_names_occur_only_in_its_folder() {
    // Names of the platform are translated in platform/ only; other sources do not use them.
    let names = [
        "tlsKey",
        "expectedRev",
        "pathPrefix",
        "currentRev",
        "coldLeftMs",
        "bootEpoch",
        "kvStoreAddr",
        "x-expect-",
        "x-kv-",
        "x-not-executed",
        "x-tenant",
        "x-cache-salt",
        "x-response-seal",
        "x-prefix-hash",
    ];
    let mut found = Vec::new();
    for member in
        ["entity", "declare", "kernel", "policy", "peer", "keyvalue", "gateway", "spanfoldd", "spanfold"]
    {
        let folder = root().join("crates").join(member).join("src");
        visit(&folder, &mut |path, text| {
            let lower = text.to_ascii_lowercase();
            for name in names.iter().filter(|name| lower.contains(&name.to_ascii_lowercase())) {
                found.push(format!("{}: {name}", path.display()));
            }
        });
    }
    assert!(found.is_empty(), "{found:#?}");
}

fn visit(folder: &Path, inspect: &mut impl FnMut(&Path, &str)) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            visit(&path, inspect);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            inspect(&path, &std::fs::read_to_string(&path).unwrap());
        }
    }
}
