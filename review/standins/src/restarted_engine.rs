//! Case: an engine crashes and starts again while a process of the system is frozen.

use crate::deployment::{Answer, Record, Vm, call, configuration, entry, request, signal, until};
use crate::leaving_engine::{BEAT, Engine, PIECES};
use crate::store::Store;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Engines of the service: one that crashes is less than 0.15 of them.
const ENGINES: usize = 7;
const CALLS: usize = 8;
const SERVICE: &str = "manual-llm";
/// Time for which a process of the system stands still.
const FREEZE: Duration = Duration::from_secs(2);
/// Time from the beginning of the freeze to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(100);
/// Time for which the engine is down.
const DOWN: Duration = Duration::from_secs(1);
/// Silence after which a caller abandons its stream: eight times the pause.
const PATIENCE: Duration = Duration::from_millis(2_400);
/// Status reports of silence after which an entry is removed.
const SILENT_BEATS: u32 = 3;

/// Runs the case; returns whether the rule held, or none if the case couldn't run.
pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Option<bool> {
    let store = Store::start();
    store.put("op/config", &configuration());
    let mut engines: Vec<Engine> =
        (0..ENGINES).map(|number| Engine::start(&format!("i-{number}"), SERVICE, record)).collect();
    let rows: Vec<_> = engines.iter().map(|engine| (engine.id.clone(), engine.address)).collect();
    let listed = Arc::new(Mutex::new(rows));
    let (beats, listed_now) = (store.clone(), Arc::clone(&listed));
    thread::spawn(move || {
        for sequence in 1.. {
            for (id, address) in listed_now.lock().expect("the list").iter() {
                beats.put(&format!("servers/{id}"), &entry(SERVICE, *address, "ready", 1, sequence));
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
    thread::sleep(Duration::from_secs(3));
    let mut calls = Vec::new();
    for number in 0..CALLS {
        let id = format!("draft-{number}");
        let prompt = format!("X-Model: m0\r\nX-Token-Usage: 300,20\r\nX-Prefix-Hash: a{number}:300\r\n");
        let text = request("POST", "/reply-draft/1", &id, 12_000, &prompt);
        let (address, record) = (vms[number % 2].callers, record.clone());
        record.line(&format!("caller sends {id} to {}: POST /reply-draft/1", vms[number % 2].name));
        calls.push((
            id.clone(),
            thread::spawn(move || {
                let answer = call(address, &text, PATIENCE);
                let seen = answer.as_ref().map_or("no answer".to_owned(), Answer::describe);
                record.line(&format!("caller of {id}: {seen}"));
                answer
            }),
        ));
    }
    let all_run = until(Duration::from_secs(1), || {
        calls.iter().all(|(id, _)| engines.iter().any(|engine| engine.runs(id)))
    });
    // The engine that crashes runs a stream of the process that is frozen.
    let Some(victim) = engines.iter().position(|engine| engine.runs("draft-0")).filter(|_| all_run) else {
        record.line("not every request runs at an engine");
        return None;
    };
    if has_trouble {
        thread::sleep(Duration::from_millis(500));
        record.line(&format!("{} stands still for {FREEZE:?}", vms[0].name));
        vms[0].freeze();
        thread::sleep(CRASH_DELAY);
        let (id, address) = (engines[victim].id.clone(), engines[victim].address);
        listed.lock().expect("the list").retain(|(listed, _)| *listed != id);
        signal("KILL", engines[victim].process.id());
        let _ = engines[victim].process.wait();
        record.line(&format!("engine {id} has crashed"));
        thread::sleep(DOWN);
        let started = Engine::start_at(&address.to_string(), "i-again", SERVICE, record);
        record.line(&format!("engine {id} has started again, as {}, at its address", started.id));
        listed.lock().expect("the list").push((started.id.clone(), address));
        store.put(&format!("servers/{}", started.id), &entry(SERVICE, address, "ready", 1, 1));
        engines.push(started);
        let removing = store.clone();
        thread::spawn(move || {
            thread::sleep((BEAT * SILENT_BEATS).saturating_sub(DOWN));
            removing.remove(&format!("servers/{id}"));
        });
        thread::sleep(FREEZE.saturating_sub(CRASH_DELAY + DOWN));
        vms[0].thaw();
        record.line(&format!("{} goes on", vms[0].name));
    }
    let mut has_held = true;
    for (id, call) in calls {
        let answer = call.join().ok().flatten();
        let Some(answer) = answer else { continue };
        let is_success = answer.head.status() == 200;
        if is_success && answer.is_complete && answer.events() < PIECES {
            has_held = false;
            record.line(&format!(
                "BROKEN: {id} is a success that looks complete with {} of {PIECES} pieces",
                answer.events()
            ));
        }
        if !has_trouble && !(is_success && answer.is_complete) {
            record.line(&format!("{id} was not served without the disruption"));
            return None;
        }
    }
    Some(has_held)
}
