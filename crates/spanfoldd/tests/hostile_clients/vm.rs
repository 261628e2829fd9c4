//! A process of the daemon whose memory and descriptors are limited as those of its VM.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Interval between samples of a process's resident memory.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Samples of resident memory for each sample of unread bytes, which reads all of the system's connections.
const UNREAD_PERIOD: u64 = 10;
/// First port of a VM's addresses, below those that the system gives to connections.
const FIRST_PORT: u16 = 10_000;
/// Checks whether a VM is calm again, and the time between them.
const CALM_POLLS: usize = 600;
const CALM_POLL_INTERVAL: Duration = Duration::from_millis(100);
const KILOBYTE: u64 = 1_024;
const MEGABYTE: u64 = 1_000_000;

/// Number of the next VM of this process.
static NEXT_VM: AtomicU32 = AtomicU32::new(0);

/// Limits of a VM.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VmLimits {
    pub(crate) memory_mb: u64,
    pub(crate) descriptors: u64,
    /// Seconds between a planned stop's signal and the kill.
    pub(crate) grace_s: u64,
}

/// Largest values of a process's resources.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeakUse {
    /// Resident memory with the bytes that arrived and are unread.
    pub(crate) memory_bytes: u64,
    pub(crate) unread_bytes: u64,
    pub(crate) descriptors: u64,
}

#[derive(Debug, Default)]
struct Watch {
    peak: Mutex<PeakUse>,
    /// Memory at the last sample, in bytes.
    memory_bytes: AtomicU64,
    /// Memory at which the process was stopped, in bytes; zero if it was not.
    stopped_at_bytes: AtomicU64,
    is_over: AtomicBool,
}

/// A running process of the daemon.
#[derive(Debug)]
pub(crate) struct Vm {
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: SocketAddr,
    pub(crate) metrics: SocketAddr,
    pub(crate) limits: VmLimits,
    name: String,
    settings: PathBuf,
    log: PathBuf,
    process: Child,
    /// Ports of the servers that this VM calls.
    servers: Vec<u16>,
    watch: Arc<Watch>,
}

impl Vm {
    /// Starts VM `number` at a store; `servers` are the ports of all servers that it calls.
    pub(crate) fn start(
        folder: &Path,
        number: u8,
        store: SocketAddr,
        servers: &[u16],
        limits: VmLimits,
    ) -> Self {
        let address = vm_address();
        let [callers, readiness, metrics, peers] =
            std::array::from_fn(|port| SocketAddr::from((address, FIRST_PORT + port as u16)));
        let text = format!(
            "[vm]\nname = vm-{number}\ndata_centre = dc-a\nregions = dc-a:r\nlink_mbps = 1000\n\
             memory_mb = {}\n[listen]\ncallers = {callers}\nreadiness = {readiness}\n\
             metrics = {metrics}\npeers = {peers}\n[store]\naddress = {store}\n[bounds]\ngrace_s = {}\n\
             lease_ms = 3000\nretry_slack = 168\n",
            limits.memory_mb, limits.grace_s,
        );
        let name = format!("vm-{number}");
        let (settings, log) = (folder.join(format!("{name}.ini")), folder.join(format!("{name}.log")));
        fs::write(&settings, text).unwrap();
        let process = spawn(&settings, &log, limits);
        let servers = servers.to_vec();
        let vm = Self {
            callers,
            readiness,
            metrics,
            limits,
            name,
            settings,
            log,
            process,
            servers,
            watch: Arc::default(),
        };
        vm.watch();
        vm
    }

    /// Kills the process and starts it again at its addresses.
    pub(crate) fn restart(&mut self) {
        self.end();
        self.process = spawn(&self.settings, &self.log, self.limits);
        let peak = *self.watch.peak.lock().unwrap();
        self.watch = Arc::new(Watch { peak: Mutex::new(peak), ..Watch::default() });
        self.watch();
    }

    /// Samples the process's memory as long as it lives, and stops it if it passes its limit.
    fn watch(&self) {
        let (watch, id) = (Arc::clone(&self.watch), self.process.id());
        let (limit_bytes, servers) = (self.limits.memory_mb * MEGABYTE, self.servers.clone());
        let SocketAddr::V4(callers) = self.callers else { unreachable!("VMs have IPv4 addresses") };
        let address = *callers.ip();
        std::thread::spawn(move || {
            let mut unread_bytes = 0;
            for sample in 0.. {
                let Some(resident_bytes) =
                    resident_bytes(id).filter(|_| !watch.is_over.load(Ordering::SeqCst))
                else {
                    return;
                };
                if sample % UNREAD_PERIOD == 0 {
                    unread_bytes = unread(address, &servers);
                    let descriptors =
                        fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count) as u64;
                    let mut peak = watch.peak.lock().unwrap();
                    peak.unread_bytes = peak.unread_bytes.max(unread_bytes);
                    peak.descriptors = peak.descriptors.max(descriptors);
                }
                let memory_bytes = resident_bytes + unread_bytes;
                watch.memory_bytes.store(memory_bytes, Ordering::SeqCst);
                let mut peak = watch.peak.lock().unwrap();
                peak.memory_bytes = peak.memory_bytes.max(memory_bytes);
                drop(peak);
                if memory_bytes > limit_bytes {
                    watch.stopped_at_bytes.store(memory_bytes, Ordering::SeqCst);
                    // It may have ended.
                    let _ = kill(Pid::from_raw(id as i32), Signal::SIGKILL);
                    return;
                }
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
    }

    pub(crate) fn peak(&self) -> PeakUse {
        *self.watch.peak.lock().unwrap()
    }

    /// Returns the memory at the last sample, in bytes.
    pub(crate) fn memory_bytes(&self) -> u64 {
        self.watch.memory_bytes.load(Ordering::SeqCst)
    }

    /// Waits until the VM uses no more memory and descriptors than given.
    pub(crate) async fn until_calm(&self, memory_bytes: u64, descriptors: u64) {
        let open =
            || fs::read_dir(format!("/proc/{}/fd", self.process.id())).map_or(0, Iterator::count) as u64;
        for _ in 0..CALM_POLLS {
            if self.memory_bytes() <= memory_bytes && open() <= descriptors {
                return;
            }
            tokio::time::sleep(CALM_POLL_INTERVAL).await;
        }
        panic!(
            "{} still has {} bytes (bound {memory_bytes}) and {} descriptors (bound {descriptors}) 60 s after the crowd",
            self.name,
            self.memory_bytes(),
            open()
        );
    }

    /// Returns the bytes of the process's log.
    pub(crate) fn log_bytes(&self) -> u64 {
        fs::metadata(&self.log).map_or(0, |metadata| metadata.len())
    }

    /// Describes how the process ended; none while it runs.
    pub(crate) fn end_cause(&mut self) -> Option<String> {
        let stopped_at_bytes = self.watch.stopped_at_bytes.load(Ordering::SeqCst);
        if stopped_at_bytes > 0 {
            let (name, limit) = (&self.name, self.limits.memory_mb);
            return Some(format!("{name} had {} MB of {limit} and was stopped", stopped_at_bytes / MEGABYTE));
        }
        let status = self.process.try_wait().unwrap()?;
        Some(format!("{} ended by itself: {status}; log: {}", self.name, self.log.display()))
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: Signal) {
        // It may have ended.
        let _ = kill(Pid::from_raw(self.process.id() as i32), signal);
    }

    /// Waits until the process ends by itself, for `limit` at most; none if it runs on.
    pub(crate) async fn until_ended(&mut self, limit: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if let Some(status) = self.process.try_wait().unwrap() {
                return Some(status);
            }
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
        None
    }

    fn end(&mut self) {
        self.watch.is_over.store(true, Ordering::SeqCst);
        // It may have ended.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.end();
    }
}

fn spawn(settings: &Path, log: &Path, limits: VmLimits) -> Child {
    let output = File::options().create(true).append(true).open(log).unwrap();
    let errors = output.try_clone().unwrap();
    // The shell sets the limit and becomes the daemon.
    Command::new("/bin/sh")
        .args(["-c", "ulimit -n \"$1\" && exec \"$0\" gateway", env!("CARGO_BIN_EXE_spanfoldd")])
        .arg(limits.descriptors.to_string())
        .env("SPANFOLD_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(errors)
        .spawn()
        .unwrap()
}

/// Returns a loopback address of its own for each VM, so that no other test takes its ports.
fn vm_address() -> Ipv4Addr {
    // A last byte of zero would become that of the next VM.
    let vm = 1 + NEXT_VM.fetch_add(1, Ordering::SeqCst) + std::process::id() * 64;
    let [_, high, middle, low] = vm.to_be_bytes();
    Ipv4Addr::new(127, 2 + high % 250, middle, low.clamp(1, 254))
}

/// Returns a process's resident memory; none if it has ended.
fn resident_bytes(id: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse::<u64>().ok().map(|kilobytes| kilobytes * KILOBYTE)
}

/// Returns the bytes that arrived at a VM and are unread: on connections to its addresses, accepted or not, and
/// on its own connections to servers.
fn unread(address: Ipv4Addr, servers: &[u16]) -> u64 {
    let Ok(table) = fs::read_to_string("/proc/net/tcp") else { return 0 };
    let local_address = format!("{:08X}", u32::from_ne_bytes(address.octets()));
    let mut total_bytes = 0;
    for line in table.lines().skip(1) {
        let mut columns = line.split_whitespace().skip(1);
        let (Some(local), Some(remote), Some(state), Some(queues)) =
            (columns.next(), columns.next(), columns.next(), columns.next())
        else {
            continue;
        };
        let remote_port = remote.split_once(':').and_then(|(_, port)| u16::from_str_radix(port, 16).ok());
        let is_to_server = remote_port.is_some_and(|port| servers.contains(&port));
        // The queue of a listener counts connections.
        if state != "0A" && (local.starts_with(&local_address) || is_to_server) {
            let received = queues.split_once(':').and_then(|(_, bytes)| u64::from_str_radix(bytes, 16).ok());
            total_bytes += received.unwrap_or(0);
        }
    }
    total_bytes
}
