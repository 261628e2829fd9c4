//! Helpers shared by the process tests.
use spanfold_standin::{BLOCK_BYTES, Deployment, DeploymentPlan, EnginePlan, EngineRates};
use std::path::PathBuf;
use std::time::Duration;

/// Returns the path of the daemon's binary.
pub(crate) fn binary() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_spanfoldd"))
}

/// Returns the cache salt of an account of a test deployment.
pub(crate) fn cache_salt_of(account: &str) -> String {
    spanfoldd::cache_salt(Deployment::SECRET, account)
}

/// Returns a prompt of `blocks` whole blocks and a few bytes more, different for each subject.
pub(crate) fn long_prompt(blocks: usize, subject: &str) -> String {
    let mut text = String::new();
    for line in 0.. {
        if text.len() >= blocks * BLOCK_BYTES + 40 {
            break;
        }
        text.push_str(&format!("{subject}, rule {line}: an applicant brings form {}.\n", line * 7 % 97));
    }
    text
}

/// Returns a plan of two data centres with two VMs and two engines each.
pub(crate) fn two_data_centres(binary: PathBuf) -> DeploymentPlan {
    let vms = [("vm-a1", "dc-a"), ("vm-a2", "dc-a"), ("vm-b1", "dc-b"), ("vm-b2", "dc-b")];
    let engines =
        [("engine-a1", "dc-a"), ("engine-a2", "dc-a"), ("engine-b1", "dc-b"), ("engine-b2", "dc-b")];
    DeploymentPlan {
        vms: vms.map(|(name, centre)| (name.to_owned(), centre.to_owned())).to_vec(),
        engines: engines
            .map(|(name, centre)| EnginePlan {
                name: name.to_owned(),
                data_centre: centre.to_owned(),
                rates: EngineRates::default(),
                fenced: true,
            })
            .to_vec(),
        services: vec![("desk-a1".to_owned(), "dc-a".to_owned()), ("desk-b1".to_owned(), "dc-b".to_owned())],
        binary: Some(binary),
        ..DeploymentPlan::default()
    }
}

/// Waits until `condition` is true, for up to 30 s, since the machine may be slow.
pub(crate) async fn eventually<F: Future<Output = bool>>(description: &str, condition: impl Fn() -> F) {
    for _ in 0..600 {
        if condition().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("not within 30 s: {description}");
}
