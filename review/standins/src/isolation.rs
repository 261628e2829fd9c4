//! Case: a desired state sets `isolated` for a tenant whose prompts have been served before.

use crate::deployment::{Record, Vm, call, configuration, entry};
use crate::http::{Message, read_request, write_answer};
use crate::store::Store;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time after which a desired state counts as in force at every process: `configDeadlineMs` is 2,000.
const IN_FORCE: Duration = Duration::from_millis(3_000);
const BEAT: Duration = Duration::from_millis(1_200);
const ENGINES: usize = 3;
/// Parts that the prompts of both tenants begin with.
const SHARED_PARTS: &str = "5c1e07a2:800,91bd3f06:410";

/// A run that read kept memory.
#[derive(Clone, Debug)]
struct Reuse {
    at: Instant,
    engine: usize,
    id: String,
    tenant: String,
    part: String,
    salt: String,
    /// Tenant and id of the request that made the memory.
    made_by: (String, String),
}

/// Memory of one engine: by salt and part, the tenant and the id of the request that made it.
type Kept = BTreeMap<(String, String), (String, String)>;

#[derive(Debug)]
struct Fleet {
    kept: Vec<Mutex<Kept>>,
    reuses: Mutex<Vec<Reuse>>,
    record: Record,
}

impl Fleet {
    fn serve(&self, engine: usize, stream: TcpStream) {
        let id = format!("i-{engine}");
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(message)) = read_request(&mut reader) {
            let own = [("X-Instance-Id", id.as_str())];
            let answered = match message.path() {
                "/health" => write_answer(&mut writer, 200, &own, b""),
                _ if message.header("x-expect-instance").is_some_and(|expected| expected != id) => {
                    write_answer(&mut writer, 421, &own, b"")
                }
                _ if message.header("x-request-id").is_none() => write_answer(&mut writer, 404, &own, b""),
                _ => {
                    self.run(engine, &message);
                    let headers = [
                        ("X-Request-Id", message.header("x-request-id").unwrap_or("")),
                        ("X-Response-Seal", "seal"),
                        ("X-Weight-Versions", "1"),
                        ("Content-Type", "text/event-stream"),
                    ];
                    write_answer(&mut writer, 200, &headers, b"id: 1\ndata: a\n\n")
                }
            };
            if answered.is_err() {
                return;
            }
        }
    }

    /// Reads a prompt: leading parts that are kept under its salt are reused, the others are made and kept.
    fn run(&self, engine: usize, message: &Message) {
        let text = |name: &str| message.header(name).unwrap_or("").to_owned();
        let (id, tenant, salt) = (text("x-request-id"), text("x-tenant"), text("x-cache-salt"));
        let mut kept = self.kept[engine].lock().expect("the engine's memory");
        let mut is_unbroken = true;
        let (mut reused, mut made) = (Vec::new(), Vec::new());
        for part in text("x-prefix-hash").split(',').map(str::to_owned) {
            let found = kept.get(&(salt.clone(), part.clone())).cloned();
            match found.filter(|_| is_unbroken) {
                Some(made_by) => {
                    reused.push(format!("{part} made by {} of tenant {}", made_by.1, made_by.0));
                    let reuse = Reuse {
                        at: Instant::now(),
                        engine,
                        id: id.clone(),
                        tenant: tenant.clone(),
                        part,
                        salt: salt.clone(),
                        made_by,
                    };
                    self.reuses.lock().expect("the reuses").push(reuse);
                }
                None => {
                    is_unbroken = false;
                    kept.insert((salt.clone(), part.clone()), (tenant.clone(), id.clone()));
                    made.push(part);
                }
            }
        }
        drop(kept);
        self.record.line(&format!(
            "engine i-{engine}: runs {id} of tenant {tenant}, salt {salt}; reads [{}]; makes [{}]",
            reused.join("; "),
            made.join("; ")
        ));
    }
}

/// Sends prompts of a tenant to both processes.
fn send(vms: &[Vm], record: &Record, tenant: &str, key: &str, numbers: std::ops::Range<u64>) -> bool {
    let mut are_served = true;
    for number in numbers {
        let vm = &vms[number as usize % vms.len()];
        let id = format!("{tenant}-{number}");
        let text = format!(
            "POST /reply-draft/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 12000\r\n\
             Authorization: Bearer {key}\r\nContent-Length: 0\r\nX-Model: m0\r\nX-Token-Usage: 1460,80\r\n\
             X-Prefix-Hash: {SHARED_PARTS},{:08x}:250\r\n\r\n",
            u64::from_be_bytes(*b"lastpart") / 7 + number + tenant.len() as u64 * 1_000
        );
        record.line(&format!("caller of tenant {tenant} sends {id} to {}", vm.name));
        let answer = call(vm.callers, &text, Duration::from_secs(13));
        are_served &= answer.is_some_and(|answer| answer.head.status() == 200 && answer.is_complete);
        thread::sleep(Duration::from_millis(50));
    }
    are_served
}

/// Runs the case; returns whether the rule held, or none if the case couldn't run.
pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Option<bool> {
    let store = Store::start();
    let mut config = configuration();
    config["tenants"] = json!([
        {"name": "one", "apiKeys": ["key-one"], "priority": 1, "isolated": false},
        {"name": "two", "apiKeys": ["key-two"], "priority": 1, "isolated": false}]);
    store.put("op/config", &config);
    let fleet = Arc::new(Fleet {
        kept: (0..ENGINES).map(|_| Mutex::default()).collect(),
        reuses: Mutex::default(),
        record: record.clone(),
    });
    let addresses: Vec<SocketAddr> = (0..ENGINES)
        .map(|engine| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("an address for the engine");
            let address = listener.local_addr().expect("its address");
            let fleet = Arc::clone(&fleet);
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let fleet = Arc::clone(&fleet);
                    thread::spawn(move || fleet.serve(engine, stream));
                }
            });
            address
        })
        .collect();
    let beats = store.clone();
    thread::spawn(move || {
        for sequence in 1.. {
            for (engine, address) in addresses.iter().enumerate() {
                beats.put(
                    &format!("servers/i-{engine}"),
                    &entry("manual-llm", *address, "ready", 1, sequence),
                );
            }
            thread::sleep(BEAT);
        }
    });
    let vms: Vec<Vm> =
        ["vm-1", "vm-2"].iter().map(|name| Vm::start(folder, name, "depot-a", store.address)).collect();
    if !vms.iter().all(Vm::until_ready) {
        record.line("the processes of the system did not become ready");
        return None;
    }
    thread::sleep(Duration::from_secs(2));
    if !send(&vms, record, "one", "key-one", 0..20) {
        record.line("a request of tenant one was not served");
        return None;
    }
    if has_trouble {
        config["version"] = 9.into();
        config["tenants"][0]["isolated"] = true.into();
        store.put("op/config", &config);
        record.line("operator: desired state 9 is acknowledged; tenant one is isolated from now on");
    }
    thread::sleep(IN_FORCE);
    let in_force_at = Instant::now();
    if !send(&vms, record, "two", "key-two", 0..20) || !send(&vms, record, "one", "key-one", 20..26) {
        record.line("a request after the change was not served");
        return None;
    }
    let reuses = fleet.reuses.lock().expect("the reuses").clone();
    let foreign: Vec<_> = reuses
        .iter()
        .filter(|reuse| reuse.at > in_force_at && reuse.made_by.0 != reuse.tenant && has_trouble)
        .filter(|reuse| reuse.made_by.0 == "one" || reuse.tenant == "one")
        .collect();
    let Some(first) = foreign.first() else { return Some(true) };
    record.line(&format!(
        "BROKEN: {} times a run read memory that a request of another tenant had made, although tenant one has been \
         isolated for {IN_FORCE:?} or more; the first: {} of tenant {} read {} under salt {} at engine i-{}, made by {} of \
         tenant {}",
        foreign.len(), first.id, first.tenant, first.part, first.salt, first.engine, first.made_by.1, first.made_by.0
    ));
    Some(false)
}
