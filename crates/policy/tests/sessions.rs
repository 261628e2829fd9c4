//! Golden sessions: events in, effects out, one scenario per file.
//!
//! `SPANFOLD_BLESS=1 cargo test -p spanfold-policy --test sessions` rewrites the effects; the
//! difference is then reviewed.

use spanfold_policy as _;
use std::path::Path;

fn check_golden(name: &str) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/sessions").join(format!("{name}.session"));
    let text = std::fs::read_to_string(&file).unwrap();
    let replayed = spanfold_kernel::replay(&text).unwrap();
    if std::env::var_os("SPANFOLD_BLESS").is_some() {
        std::fs::write(&file, replayed).unwrap();
        return;
    }
    for (row, (old, new)) in text.lines().zip(replayed.lines()).enumerate() {
        assert_eq!(old, new, "{name}, line {}", row + 1);
    }
    assert_eq!(text.lines().count(), replayed.lines().count(), "{name}");
}

#[yare::parameterized(
    claim_conflict = { "claim-conflict" },
    claim_reply_lost = { "claim-reply-lost" },
    claim_late = { "claim-late" },
    claim_finished_and_mismatch = { "claim-finished-and-mismatch" },
    configuration_never_reverts = { "configuration-never-reverts" },
    request_behind_configuration = { "request-behind-configuration" },
    unknown_room_frees_nothing = { "unknown-room-frees-nothing" },
    full_store_frees_the_least = { "full-store-frees-the-least" },
    import_or_recompute = { "import-or-recompute" },
    endpoint_leaves_and_returns = { "endpoint-leaves-and-returns" },
    fair_share_under_flood = { "fair-share-under-flood" },
    home_dies = { "home-dies" },
    lost_events_mean_unknown = { "lost-events-mean-unknown" },
    a_cell_taken_over_is_listed_whole = { "a-cell-taken-over-is-listed-whole" },
    busy_home_is_no_refusal = { "busy-home-is-no-refusal" },
    orders_three_at_once = { "orders-three-at-once" },
    orders_paused_holder = { "orders-paused-holder" },
    orders_taken_over_late = { "orders-taken-over-late" },
    deadline_refused_at_once = { "deadline-refused-at-once" },
)]
fn session(name: &str) {
    check_golden(name);
}

#[test]
fn every_session_file_is_listed() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/sessions");
    let listed = include_str!("sessions.rs");
    for entry in std::fs::read_dir(folder).unwrap() {
        let name = entry.unwrap().file_name().into_string().unwrap();
        let name = name.trim_end_matches(".session").to_owned();
        assert!(listed.contains(&format!("\"{name}\"")), "{name} is not listed");
    }
}
