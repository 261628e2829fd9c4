//! A VM starts although a port that was found free is in use again when the VM listens on it.

use spanfold_standin::{Deployment, DeploymentPlan, MAX_START_ATTEMPTS, VmPorts};
use std::io::ErrorKind;
use std::net::{TcpListener, UdpSocket};

async fn empty_deployment() -> Deployment {
    Deployment::start(DeploymentPlan { vms: Vec::new(), ..DeploymentPlan::default() }).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_vm_whose_ports_are_in_use_starts_at_other_ports() {
    let mut deployment = empty_deployment().await;
    let callers = TcpListener::bind("127.0.0.1:0").unwrap();
    let peers = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut attempts = 0;
    let ports = || {
        attempts += 1;
        let found = VmPorts::find()?;
        Ok(match attempts {
            1 => VmPorts { callers: callers.local_addr()?, ..found },
            2 => VmPorts { peers: peers.local_addr()?, ..found },
            _ => found,
        })
    };
    deployment.start_vm_at("vm-a1", "dc-a", ports).await.unwrap();
    assert_eq!(attempts, 3);
    deployment.wait_ready().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_vm_that_never_gets_its_ports_is_an_error() {
    let mut deployment = empty_deployment().await;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut attempts = 0;
    let ports = || {
        attempts += 1;
        Ok(VmPorts { operators: listener.local_addr()?, ..VmPorts::find()? })
    };
    let error = deployment.start_vm_at("vm-a1", "dc-a", ports).await.unwrap_err();
    assert_eq!((error.kind(), attempts), (ErrorKind::AddrInUse, MAX_START_ATTEMPTS));
}
