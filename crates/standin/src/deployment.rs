//! A whole deployment on this machine: platform, endpoints, and one daemon for each entry VM.
//!
//! Daemons run in this process, or as processes of their own if the plan names their binary.

use crate::authority::{Authority, write_identity};
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

/// Ports below the range that outgoing connections use.
const FIRST_PORT: u16 = 20_000;
const PORT_COUNT: u16 = 12_000;
/// Ports that are tried for one VM: one port in some three hundred was in use by the time it was
/// listened on, with other processes being started beside.
pub const START_TRIES: u32 = 5;
/// Longest wait for a deployment to be ready.
const READY_WAIT: Duration = Duration::from_secs(20);

/// One engine of a plan.
#[derive(Clone, Debug)]
pub struct EnginePlan {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// How fast it is.
    pub rates: EngineRates,
    /// Whether it refuses orders with an old fencing number.
    pub fenced: bool,
}

/// One store of a plan.
#[derive(Clone, Debug)]
pub struct StorePlan {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Blocks that fit into it.
    pub room: usize,
    /// Microseconds that its link takes for a block.
    pub transfer_micros: u64,
}

/// What a deployment is made of.
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
    /// More declarations, as INI text.
    pub declarations: String,
    /// Lines added to each daemon's settings, by section.
    pub settings: BTreeMap<String, String>,
    /// The daemon's binary; none to run daemons in this process.
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
                room: 1_024,
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
    Inside(Option<Daemon>),
    Beside(Child),
}

/// Where one VM listens.
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
    /// Ports that nobody listens on now.
    ///
    /// # Errors
    /// If there are none.
    pub fn find() -> io::Result<Self> {
        Ok(Self { callers: free_port()?, operators: free_port()?, peers: free_port()? })
    }
}

/// One entry VM of a deployment.
#[derive(Debug)]
struct VmStandin {
    name: String,
    data_centre: String,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
    process: VmProcess,
}

/// A running deployment; everything ends when it is dropped.
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
    authority: Authority,
    vms: BTreeMap<String, VmStandin>,
}

impl Deployment {
    /// The secret of each deployment, for [`spanfoldd::cache_salt`].
    pub const SECRET: &'static str = "a secret for tests only";

    /// Starts all of `plan` and waits until every VM is ready.
    ///
    /// # Errors
    /// If a part cannot be started or the VMs do not get ready.
    pub async fn start(plan: DeploymentPlan) -> io::Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformStandin::start(any, any).await?;
        let mut deployment = Self {
            platform,
            engines: BTreeMap::new(),
            stores: BTreeMap::new(),
            services: BTreeMap::new(),
            folder: tempfile::tempdir()?,
            authority: Authority::new()?,
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
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        for plan in &self.plan.engines {
            let engine = EngineStandin::start(any, "1", plan.rates, plan.fenced).await?;
            self.engines.insert(plan.name.clone(), engine);
        }
        for plan in &self.plan.stores {
            let store = StoreStandin::start(any, plan.room, plan.transfer_micros).await?;
            self.stores.insert(plan.name.clone(), store);
        }
        for (name, _) in &self.plan.services {
            self.services.insert(name.clone(), ServiceStandin::start(any).await?);
        }
        Ok(())
    }

    /// The declarations of the plan, as operators would write them.
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

    /// Has `text` accepted as the next configuration.
    ///
    /// # Errors
    /// If the platform does not take it.
    ///
    /// # Panics
    /// If the text does not parse: that is a fault of the test.
    pub async fn apply(&self, text: &str) -> Result<u64, AcceptError> {
        let document = Document::parse("test", text).expect("a test's declarations parse");
        let bundle = Bundle::cut(&document);
        let client = KeyValueClient::new(self.platform.key_value());
        let (head, _) = ConfigurationHead::read(&client).await?;
        let nonce = rand::random::<u64>().to_string();
        accept_bundle(&client, head.generation, &bundle.digests, &bundle.chunks, "test", &nonce)
            .await
            .map(|head| head.generation)
    }

    /// Starts one more VM, or one again that has ended, and lists it.
    ///
    /// # Errors
    /// If it cannot be started.
    pub async fn start_vm(&mut self, name: &str, data_centre: &str) -> io::Result<()> {
        self.start_vm_at(name, data_centre, VmPorts::find).await
    }

    /// Starts a VM at the ports that `next_ports` gives, or at the next ones if those turn out to be in use.
    ///
    /// A port found free may be in use a moment later: a process that another thread starts holds a copy of
    /// the socket that probed it until that process runs its own program.
    ///
    /// # Errors
    /// If it cannot be started, or [`START_TRIES`] times in a row its ports were in use.
    pub async fn start_vm_at(
        &mut self,
        name: &str,
        data_centre: &str,
        mut next_ports: impl FnMut() -> io::Result<VmPorts>,
    ) -> io::Result<()> {
        let mut tries = 0;
        let (ports, process) = loop {
            tries += 1;
            let ports = next_ports()?;
            let file = self.write_settings(name, data_centre, ports)?;
            match self.launch(&file, ports).await {
                Ok(process) => break (ports, process),
                Err(error) if error.kind() == io::ErrorKind::AddrInUse && tries < START_TRIES => {}
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
        let vm = VmStandin { name: name.to_owned(), data_centre, callers, operators, peers, process };
        self.vms.insert(name.to_owned(), vm);
        Ok(())
    }

    /// Writes a VM's settings; gives their file.
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

    /// Starts a daemon, in this process or as one of its own; `AddrInUse` if it cannot listen.
    async fn launch(&self, file: &Path, ports: VmPorts) -> io::Result<VmProcess> {
        let Some(binary) = &self.plan.binary else {
            let text = std::fs::read_to_string(file)?;
            let settings = Settings::parse("test", &text).map_err(io::Error::other)?;
            return match Daemon::start(settings).await {
                Ok(daemon) => Ok(VmProcess::Inside(Some(daemon))),
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
        // A daemon that cannot listen ends at once; one that answers its operators has all its ports.
        let caller = crate::Caller::new("");
        let end = tokio::time::Instant::now() + READY_WAIT;
        while caller.send(ports.operators, "GET", "/healthz", &[], "").await.is_err() {
            if child.try_wait()?.is_some() {
                return Err(io::ErrorKind::AddrInUse.into());
            }
            if tokio::time::Instant::now() >= end {
                child.kill()?;
                return Err(io::ErrorKind::TimedOut.into());
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Ok(VmProcess::Beside(child))
    }

    /// Waits until every VM serves and knows the others of its data centre.
    ///
    /// # Errors
    /// If that takes too long.
    pub async fn wait_ready(&self) -> io::Result<()> {
        let caller = crate::Caller::new("");
        let end = tokio::time::Instant::now() + READY_WAIT;
        loop {
            let mut ready = true;
            for vm in self.vms.values() {
                let near = self.vms.values().filter(|other| other.data_centre == vm.data_centre).count();
                let answer = caller.send(vm.operators, "GET", "/readyz", &[], "").await;
                let status = self.status(&vm.name).await;
                let live = |row: &&serde_json::Value| {
                    row["live"] == true && row["data_centre"] == vm.data_centre.as_str()
                };
                let known = status["vms"].as_array().map_or(0, |rows| rows.iter().filter(live).count());
                ready &= answer.is_ok_and(|answer| answer.status == 200) && known == near;
            }
            if ready {
                return Ok(());
            }
            if tokio::time::Instant::now() >= end {
                return Err(io::Error::other("the deployment does not get ready"));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// What a VM's `/status` says; null if it does not answer.
    pub async fn status(&self, name: &str) -> serde_json::Value {
        let caller = crate::Caller::new("");
        let Some(vm) = self.vms.get(name) else { return serde_json::Value::Null };
        let answer = caller.send(vm.operators, "GET", "/status", &[], "").await;
        answer.ok().and_then(|answer| serde_json::from_str(&answer.text).ok()).unwrap_or_default()
    }

    /// A VM's `/metrics`.
    pub async fn metrics(&self, name: &str) -> String {
        let caller = crate::Caller::new("");
        let answer = caller.send(self.vms[name].operators, "GET", "/metrics", &[], "").await;
        answer.map(|answer| answer.text).unwrap_or_default()
    }

    /// A VM's address for callers.
    ///
    /// # Panics
    /// If there is no such VM.
    pub fn callers(&self, name: &str) -> SocketAddr {
        self.vms[name].callers
    }

    /// A VM's address for operators.
    ///
    /// # Panics
    /// If there is no such VM.
    pub fn operators(&self, name: &str) -> SocketAddr {
        self.vms[name].operators
    }

    /// A VM's address for peers.
    ///
    /// # Panics
    /// If there is no such VM.
    pub fn peers(&self, name: &str) -> SocketAddr {
        self.vms[name].peers
    }

    /// The id of a VM's process, if it is one of its own.
    pub fn process_id(&self, name: &str) -> Option<u32> {
        match &self.vms.get(name)?.process {
            VmProcess::Beside(child) => Some(child.id()),
            VmProcess::Inside(_) => None,
        }
    }

    /// Ends a VM at once, without a word; the VM list still has it.
    pub fn kill_vm(&mut self, name: &str) {
        if let Some(vm) = self.vms.get_mut(name) {
            match &mut vm.process {
                VmProcess::Beside(child) => {
                    let _ = child.kill();
                    let _ = child.wait();
                }
                VmProcess::Inside(daemon) => {
                    if let Some(daemon) = daemon.take() {
                        daemon.kill();
                    }
                }
            }
        }
    }

    /// Takes a VM off the list and forgets it.
    pub fn remove_vm(&mut self, name: &str) {
        self.kill_vm(name);
        self.vms.remove(name);
        self.platform.change_vms(|vms| vms.retain(|vm| vm.name != name));
    }

    /// Stops a VM's process, or lets it go on.
    pub fn pause_vm(&self, name: &str, paused: bool) {
        let signal = if paused { Signal::SIGSTOP } else { Signal::SIGCONT };
        if let Some(id) = self.process_id(name) {
            let _ = kill(Pid::from_raw(id.cast_signed()), signal);
        }
    }

    /// Begins a planned stop of a VM and returns when it has ended.
    pub async fn stop_vm(&mut self, name: &str) {
        let Some(mut vm) = self.vms.remove(name) else { return };
        match &mut vm.process {
            VmProcess::Inside(daemon) => {
                if let Some(daemon) = daemon.take() {
                    daemon.stop().await;
                }
            }
            VmProcess::Beside(child) => {
                let _ = kill(Pid::from_raw(child.id().cast_signed()), Signal::SIGTERM);
                while matches!(child.try_wait(), Ok(None)) {
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
        self.platform.change_vms(|vms| vms.retain(|vm| vm.name != name));
    }

    /// A VM's log lines, if it is a process of its own.
    pub fn log_of(&self, name: &str) -> String {
        std::fs::read_to_string(self.folder.path().join(format!("{name}.log"))).unwrap_or_default()
    }

    /// The folder with settings, certificates and logs.
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

/// A port that nobody listens on, for TCP and UDP alike.
fn free_port() -> io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = (std::process::id() % 1_000) as u16 * 12;
    for _ in 0..PORT_COUNT {
        let place = start.wrapping_add(NEXT.fetch_add(1, Ordering::SeqCst)) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + place));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::other("no free port"))
}
