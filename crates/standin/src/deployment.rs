//! A whole deployment on this machine: platform, endpoints, and one daemon for each entry VM.
//!
//! Daemons run in this process, or as child processes if the plan names their binary.

use crate::authority::{CertificateAuthority, write_identity};
use crate::{EngineRates, EngineStandin, PlatformStandin, ServiceStandin, StoreStandin};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use spanfold_declare::{Bundle, Document, Settings, key_digest};
use spanfold_keyvalue::{AcceptError, ConfigurationHead, KeyValueClient, PlatformVm, accept_bundle};
use spanfold_peer::IdentityError;
use spanfoldd::{Daemon, DaemonError};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

/// First port of VMs; all [`PORT_COUNT`] ports lie below the range for outgoing connections.
const FIRST_PORT: u16 = 20_000;
const PORT_COUNT: u16 = 12_000;
/// Attempts to start one VM, each at other ports.
///
/// While other processes are being started, about one free port in three hundred is in use again by the
/// time the VM listens on it.
pub const MAX_START_ATTEMPTS: u32 = 5;
/// Time within which a daemon must answer, and a deployment must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// One engine of a deployment plan.
#[derive(Clone, Debug)]
pub struct EnginePlan {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its speed and capacity.
    pub rates: EngineRates,
    /// Whether it refuses orders with an outdated fencing number.
    pub fenced: bool,
}

/// One store of a deployment plan.
#[derive(Clone, Debug)]
pub struct StorePlan {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Number of blocks that fit into it.
    pub capacity_blocks: usize,
    /// Microseconds to transfer one block over its link.
    pub transfer_micros: u64,
}

/// Composition of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    /// Entry VMs: name and data centre.
    pub vms: Vec<(String, String)>,
    /// Engines.
    pub engines: Vec<EnginePlan>,
    /// Stores.
    pub stores: Vec<StorePlan>,
    /// Plain services: name and data centre.
    pub services: Vec<(String, String)>,
    /// Client accounts: name and share in percent; the key of `a` is `key-a`.
    pub accounts: Vec<(String, f64)>,
    /// Additional declarations, as INI text.
    pub declarations: String,
    /// Lines added to each daemon's settings, by section; `{vm}` is replaced by the VM's name.
    pub settings: BTreeMap<String, String>,
    /// The daemon's binary; `None` runs daemons in this process.
    pub binary: Option<PathBuf>,
}

impl Default for DeploymentPlan {
    /// One VM, two engines, one store, one service, two accounts.
    fn default() -> Self {
        let engine = |name: &str| EnginePlan {
            name: name.to_owned(),
            data_centre: "dc-a".to_owned(),
            rates: EngineRates::default(),
            fenced: true,
        };
        Self {
            vms: vec![("vm-a1".to_owned(), "dc-a".to_owned())],
            engines: vec![engine("engine-a1"), engine("engine-a2")],
            stores: vec![StorePlan {
                name: "store-a".to_owned(),
                data_centre: "dc-a".to_owned(),
                capacity_blocks: 1_024,
                transfer_micros: 500,
            }],
            services: vec![("desk-a1".to_owned(), "dc-a".to_owned())],
            accounts: vec![("large".to_owned(), 50.0), ("small".to_owned(), 50.0)],
            declarations: String::new(),
            settings: BTreeMap::new(),
            binary: None,
        }
    }
}

#[derive(Debug)]
enum VmProcess {
    InProcess(Option<Daemon>),
    ChildProcess(Child),
}

/// Addresses at which one VM listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmPorts {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other VMs.
    pub peers: SocketAddr,
}

impl VmPorts {
    /// Finds three ports on which no socket listens.
    ///
    /// # Errors
    /// If there are no free ports.
    pub fn find() -> io::Result<Self> {
        Ok(Self { callers: free_port()?, operators: free_port()?, peers: free_port()? })
    }
}

/// One entry VM of a deployment.
#[derive(Debug)]
struct RunningVm {
    name: String,
    data_centre: String,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
    process: VmProcess,
}

/// A running deployment; all of it stops when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    /// The platform.
    pub platform: PlatformStandin,
    /// Engines by name.
    pub engines: BTreeMap<String, EngineStandin>,
    /// Stores by name.
    pub stores: BTreeMap<String, StoreStandin>,
    /// Services by name.
    pub services: BTreeMap<String, ServiceStandin>,
    plan: DeploymentPlan,
    folder: tempfile::TempDir,
    authority: CertificateAuthority,
    vms: BTreeMap<String, RunningVm>,
}

impl Deployment {
    /// The secret of every test deployment, from which [`spanfoldd::cache_salt`] derives cache salts.
    pub const SECRET: &'static str = "a secret for tests only";

    /// Starts the deployment of `plan` and waits until every VM is ready.
    ///
    /// # Errors
    /// If a component cannot be started or the VMs do not get ready.
    pub async fn start(plan: DeploymentPlan) -> io::Result<Self> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformStandin::start(any_port, any_port).await?;
        let mut deployment = Self {
            platform,
            engines: BTreeMap::new(),
            stores: BTreeMap::new(),
            services: BTreeMap::new(),
            folder: tempfile::tempdir()?,
            authority: CertificateAuthority::new()?,
            vms: BTreeMap::new(),
            plan,
        };
        deployment.start_endpoints().await?;
        std::fs::write(deployment.folder.path().join("secret"), Self::SECRET)?;
        let text = deployment.declarations();
        deployment.apply(&text).await.map_err(io::Error::other)?;
        for (name, data_centre) in deployment.plan.vms.clone() {
            deployment.start_vm(&name, &data_centre).await?;
        }
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    async fn start_endpoints(&mut self) -> io::Result<()> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        for plan in &self.plan.engines {
            let engine = EngineStandin::start(any_port, "1", plan.rates, plan.fenced).await?;
            self.engines.insert(plan.name.clone(), engine);
        }
        for plan in &self.plan.stores {
            let store = StoreStandin::start(any_port, plan.capacity_blocks, plan.transfer_micros).await?;
            self.stores.insert(plan.name.clone(), store);
        }
        for (name, _) in &self.plan.services {
            self.services.insert(name.clone(), ServiceStandin::start(any_port).await?);
        }
        Ok(())
    }

    /// Returns the declarations of the plan, as operators would write them.
    pub fn declarations(&self) -> String {
        let mut text = String::new();
        for (name, percent) in &self.plan.accounts {
            let digest = key_digest(&format!("key-{name}"));
            let _ = write!(
                text,
                "[client-account {name}]\nkey_digests = {digest}\nlabels = name={name}\n\
                 [share {name}]\naccounts = name={name}\nresources =\npercent = {percent}\n"
            );
        }
        text += "[pool assistants]\nkind = engine\nselector = role=assistant\nmodel = visa-7b\nversion = 1\n";
        text += "[pool desk]\nkind = service\nselector = role=desk\nnot_repeatable = POST\n";
        text += "[pool stores]\nkind = store\nselector =\n";
        let mut endpoint =
            |name: &str, kind: &str, role: &str, address: SocketAddr, centre: &str, slots: u32| {
                let _ = write!(
                    text,
                    "[endpoint {name}]\nkind = {kind}\naddress = {address}\ndata_centre = {centre}\n\
                 labels = role={role}\nslots = {slots}\n"
                );
            };
        for plan in &self.plan.engines {
            let address = self.engines[&plan.name].address();
            endpoint(&plan.name, "engine", "assistant", address, &plan.data_centre, plan.rates.slots);
        }
        for plan in &self.plan.stores {
            endpoint(&plan.name, "store", "store", self.stores[&plan.name].address(), &plan.data_centre, 4);
        }
        for (name, centre) in &self.plan.services {
            endpoint(name, "service", "desk", self.services[name].address(), centre, 64);
        }
        text + &self.plan.declarations
    }

    /// Submits `text` as the next configuration; returns its generation.
    ///
    /// # Errors
    /// If the platform does not accept it.
    ///
    /// # Panics
    /// If the text does not parse, which is an error in the test.
    pub async fn apply(&self, text: &str) -> Result<u64, AcceptError> {
        let document = Document::parse("test", text).expect("a test's declarations parse");
        let bundle = Bundle::split(&document);
        let client = KeyValueClient::new(self.platform.key_value());
        let (head, _) = ConfigurationHead::read(&client).await?;
        let nonce = rand::random::<u64>().to_string();
        accept_bundle(&client, head.generation, &bundle.digests, &bundle.chunks, "test", &nonce)
            .await
            .map(|head| head.generation)
    }

    /// Starts a new or a stopped VM and adds it to the VM list.
    ///
    /// # Errors
    /// If it cannot be started.
    pub async fn start_vm(&mut self, name: &str, data_centre: &str) -> io::Result<()> {
        self.start_vm_at(name, data_centre, VmPorts::find).await
    }

    /// Starts a VM at ports that `next_ports` returns; tries further ports while they are in use.
    ///
    /// A port found free may be in use again: a process that another thread starts holds a copy of the
    /// socket that probed the port until that process executes its own program.
    ///
    /// # Errors
    /// If it cannot be started, or its ports were in use [`MAX_START_ATTEMPTS`] times in a row.
    pub async fn start_vm_at(
        &mut self,
        name: &str,
        data_centre: &str,
        mut next_ports: impl FnMut() -> io::Result<VmPorts>,
    ) -> io::Result<()> {
        let mut attempts = 0;
        let (ports, process) = loop {
            attempts += 1;
            let ports = next_ports()?;
            let file = self.write_settings(name, data_centre, ports)?;
            match self.launch(&file, ports).await {
                Ok(process) => break (ports, process),
                Err(error) if error.kind() == io::ErrorKind::AddrInUse && attempts < MAX_START_ATTEMPTS => {}
                Err(error) => return Err(error),
            }
        };
        let VmPorts { callers, operators, peers } = ports;
        self.platform.change_vms(|vms| {
            vms.retain(|vm| vm.name != name);
            vms.push(PlatformVm {
                name: name.to_owned(),
                role: "entry".to_owned(),
                address: peers.to_string(),
                data_centre: data_centre.to_owned(),
                state: "live".to_owned(),
            });
        });
        let data_centre = data_centre.to_owned();
        let vm = RunningVm { name: name.to_owned(), data_centre, callers, operators, peers, process };
        self.vms.insert(name.to_owned(), vm);
        Ok(())
    }

    /// Writes a VM's settings to a file; returns its path.
    fn write_settings(&self, name: &str, data_centre: &str, ports: VmPorts) -> io::Result<PathBuf> {
        let VmPorts { callers, operators, peers } = ports;
        let [certificate, key, authority] = write_identity(&self.authority, self.folder.path(), name)?;
        let mut sections: BTreeMap<String, String> = BTreeMap::new();
        sections.insert("vm".into(), format!("name = {name}\ndata_centre = {data_centre}\n"));
        sections.insert(
            "listen".into(),
            format!("callers = {callers}\noperators = {operators}\npeers = {peers}\n"),
        );
        sections.insert(
            "peer".into(),
            format!(
                "certificate = {}\nkey = {}\nauthority = {}\n",
                certificate.display(),
                key.display(),
                authority.display()
            ),
        );
        let (key_value, vm_list) = (self.platform.key_value(), self.platform.vm_list());
        sections.insert("platform".into(), format!("key_value = {key_value}\nvm_list = {vm_list}\n"));
        sections.insert("secret".into(), format!("file = {}\n", self.folder.path().join("secret").display()));
        if self.plan.binary.is_some() {
            let log = self.folder.path().join(format!("{name}.log"));
            sections.insert("log".into(), format!("file = {}\n", log.display()));
        }
        for (section, lines) in &self.plan.settings {
            sections.entry(section.clone()).or_default().push_str(&lines.replace("{vm}", name));
        }
        let text: String = sections.iter().map(|(section, lines)| format!("[{section}]\n{lines}")).collect();
        let file = self.folder.path().join(format!("{name}.ini"));
        std::fs::write(&file, &text)?;
        Ok(file)
    }

    /// Starts a daemon in this process or as a child process; fails with `AddrInUse` if it cannot listen.
    async fn launch(&self, file: &Path, ports: VmPorts) -> io::Result<VmProcess> {
        let Some(binary) = &self.plan.binary else {
            let text = std::fs::read_to_string(file)?;
            let settings = Settings::parse("test", &text).map_err(io::Error::other)?;
            return match Daemon::start(settings).await {
                Ok(daemon) => Ok(VmProcess::InProcess(Some(daemon))),
                Err(
                    DaemonError::Listen { cause, .. } | DaemonError::Identity(IdentityError::Listen(cause)),
                ) => Err(cause),
                Err(error) => Err(io::Error::other(error)),
            };
        };
        let mut child = Command::new(binary)
            .arg("--settings")
            .arg(file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()?;
        // A daemon that cannot listen exits at once; one that answers its operators listens on all its ports.
        let caller = crate::Caller::new("");
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        while caller.send(ports.operators, "GET", "/healthz", &[], "").await.is_err() {
            if child.try_wait()?.is_some() {
                return Err(io::ErrorKind::AddrInUse.into());
            }
            if tokio::time::Instant::now() >= deadline {
                child.kill()?;
                return Err(io::ErrorKind::TimedOut.into());
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Ok(VmProcess::ChildProcess(child))
    }

    /// Waits until every VM is ready and sees all VMs of its data centre as live.
    ///
    /// # Errors
    /// If that takes longer than `READY_TIMEOUT`.
    pub async fn wait_ready(&self) -> io::Result<()> {
        let caller = crate::Caller::new("");
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        loop {
            let mut all_ready = true;
            for vm in self.vms.values() {
                let local_count = self.vms.values().filter(|peer| peer.data_centre == vm.data_centre).count();
                let answer = caller.send(vm.operators, "GET", "/readyz", &[], "").await;
                let status = self.status(&vm.name).await;
                let is_live_local = |row: &&serde_json::Value| {
                    row["live"] == true && row["data_centre"] == vm.data_centre.as_str()
                };
                let live_count =
                    status["vms"].as_array().map_or(0, |rows| rows.iter().filter(is_live_local).count());
                all_ready &= answer.is_ok_and(|answer| answer.status == 200) && live_count == local_count;
            }
            if all_ready {
                return Ok(());
            }
            if tokio::time::Instant::now() >= deadline {
                return Err(io::Error::other("the deployment does not get ready"));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns a VM's `/status`; null if it does not answer.
    pub async fn status(&self, name: &str) -> serde_json::Value {
        let caller = crate::Caller::new("");
        let Some(vm) = self.vms.get(name) else { return serde_json::Value::Null };
        let answer = caller.send(vm.operators, "GET", "/status", &[], "").await;
        answer.ok().and_then(|answer| serde_json::from_str(&answer.text).ok()).unwrap_or_default()
    }

    /// Returns a VM's `/metrics`; empty if it does not answer.
    pub async fn metrics(&self, name: &str) -> String {
        let caller = crate::Caller::new("");
        let answer = caller.send(self.vms[name].operators, "GET", "/metrics", &[], "").await;
        answer.map(|answer| answer.text).unwrap_or_default()
    }

    /// Returns a VM's address for callers.
    ///
    /// # Panics
    /// If there is no such VM.
    pub fn caller_address(&self, name: &str) -> SocketAddr {
        self.vms[name].callers
    }

    /// Returns a VM's address for operators.
    ///
    /// # Panics
    /// If there is no such VM.
    pub fn operator_address(&self, name: &str) -> SocketAddr {
        self.vms[name].operators
    }

    /// Returns a VM's address for peers.
    ///
    /// # Panics
    /// If there is no such VM.
    pub fn peer_address(&self, name: &str) -> SocketAddr {
        self.vms[name].peers
    }

    /// Returns the id of a VM's child process, if it runs in one.
    pub fn process_id(&self, name: &str) -> Option<u32> {
        match &self.vms.get(name)?.process {
            VmProcess::ChildProcess(child) => Some(child.id()),
            VmProcess::InProcess(_) => None,
        }
    }

    /// Kills a VM without notice; the VM list still contains it.
    pub fn kill_vm(&mut self, name: &str) {
        if let Some(vm) = self.vms.get_mut(name) {
            match &mut vm.process {
                VmProcess::ChildProcess(child) => {
                    let _ = child.kill();
                    let _ = child.wait();
                }
                VmProcess::InProcess(daemon) => {
                    if let Some(daemon) = daemon.take() {
                        daemon.kill();
                    }
                }
            }
        }
    }

    /// Kills a VM and removes it from the VM list.
    pub fn remove_vm(&mut self, name: &str) {
        self.kill_vm(name);
        self.vms.remove(name);
        self.platform.change_vms(|vms| vms.retain(|vm| vm.name != name));
    }

    /// Suspends or resumes a VM's child process.
    pub fn pause_vm(&self, name: &str, paused: bool) {
        let signal = if paused { Signal::SIGSTOP } else { Signal::SIGCONT };
        if let Some(id) = self.process_id(name) {
            let _ = kill(Pid::from_raw(id.cast_signed()), signal);
        }
    }

    /// Stops a VM as planned, waits until it has exited and removes it from the VM list.
    pub async fn stop_vm(&mut self, name: &str) {
        let Some(mut vm) = self.vms.remove(name) else { return };
        match &mut vm.process {
            VmProcess::InProcess(daemon) => {
                if let Some(daemon) = daemon.take() {
                    daemon.stop().await;
                }
            }
            VmProcess::ChildProcess(child) => {
                let _ = kill(Pid::from_raw(child.id().cast_signed()), Signal::SIGTERM);
                while matches!(child.try_wait(), Ok(None)) {
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
        self.platform.change_vms(|vms| vms.retain(|vm| vm.name != name));
    }

    /// Returns the log of a VM that runs in a child process.
    pub fn log_of(&self, name: &str) -> String {
        std::fs::read_to_string(self.folder.path().join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Returns the folder with settings, certificates and logs.
    pub fn folder(&self) -> &std::path::Path {
        self.folder.path()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let names: Vec<String> = self.vms.keys().cloned().collect();
        for name in names {
            self.kill_vm(&name);
        }
    }
}

/// Returns an address whose port is free for both TCP and UDP.
fn free_port() -> io::Result<SocketAddr> {
    static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);
    let start_offset = (std::process::id() % 1_000) as u16 * 12;
    for _ in 0..PORT_COUNT {
        let port_offset = start_offset.wrapping_add(NEXT_OFFSET.fetch_add(1, Ordering::SeqCst)) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + port_offset));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::other("no free port"))
}
