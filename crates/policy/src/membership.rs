//! Who is alive: heartbeats within the data centre, the VM list for the rest.
//!
//! Invariant: a VM holds roles only while its last heartbeat counts; a VM that says it leaves
//! loses its roles at once. A heartbeat a second to each VM of the data centre stays within the
//! control budget at 25 VMs; a full mesh of 420 would not. Towards the other data centres only
//! the holder of the `gateway` role sends heartbeats, to the holder there.

use spanfold_entity::Moment;
use spanfold_kernel::{
    Beat, Context, EndpointRow, Event, ListedVm, Message, VmRole, VmState, World, register_plugin,
};

/// Period of heartbeats, in milliseconds.
const BEAT_MILLIS: u64 = 1_000;
/// A heartbeat counts for this long, in milliseconds: two may be lost.
const LIFE_MILLIS: u64 = 3_200;
/// The role of speaking with other data centres.
const GATEWAY_ROLE: &str = "gateway";

/// State of the membership plug-in.
#[derive(Debug)]
pub struct MembershipClock {
    next_beat: Moment,
    live: Vec<String>,
}

impl MembershipClock {
    fn start(_world: &World) -> Self {
        Self { next_beat: Moment(0), live: Vec::new() }
    }

    fn handle(&mut self, context: &mut Context<'_>, event: &Event) {
        match event {
            Event::Listed { vms } => {
                take_list(context, vms);
                self.record_change(context);
                // A VM that was just listed should not wait a second to be known.
                self.next_beat = self.next_beat.min(context.now);
            }
            Event::Receive { from, message: Message::Beat(beat) } => {
                take_beat(context, from, beat);
                self.record_change(context);
            }
            Event::Stop => {
                context.world.stopping = true;
                self.send_beats(context);
                self.record_change(context);
            }
            Event::Tick => {
                self.record_change(context);
                if context.now >= self.next_beat {
                    self.send_beats(context);
                }
            }
            _ => {}
        }
    }

    fn record_change(&mut self, context: &mut Context<'_>) {
        let world = &*context.world;
        let live: Vec<String> = world
            .vms
            .iter()
            .filter(|(index, _)| world.is_live(*index, context.now))
            .map(|(index, _)| world.vm_names.name(index).to_owned())
            .collect();
        if live != self.live {
            context.log("membership.changed", live.join(" "));
            self.live = live;
            context.world.membership += 1;
        }
    }

    fn send_beats(&mut self, context: &mut Context<'_>) {
        self.next_beat = context.now.after_millis(BEAT_MILLIS);
        let beat = Beat {
            incarnation: context.world.incarnation,
            leaving: context.world.stopping,
            generation: context.world.generation,
            unwell: unwell_endpoints(context.world, context.now),
            orders_holder: if is_gateway(context) {
                context.world.orders_holder.clone()
            } else {
                String::new()
            },
        };
        for name in beat_targets(context.world, context.now) {
            context.send(&name, Message::Beat(beat.clone()));
        }
    }
}

/// Whether this VM speaks for its data centre: to other ones, and for the lease on orders.
pub(crate) fn is_gateway(context: &Context<'_>) -> bool {
    let world = &*context.world;
    !world.stopping && world.holder(GATEWAY_ROLE, &world.data_centre, context.now) == Some(&world.me)
}

/// What this VM has found by its own probes and failures; the rest all VMs know by themselves.
fn unwell_endpoints(world: &World, now: Moment) -> Vec<String> {
    let unwell = |row: &EndpointRow| row.declared && (row.self_leaving || now < row.ejected_until);
    let rows = world.endpoints.iter().filter(|(_, row)| unwell(row));
    rows.map(|(index, _)| world.endpoint_names.name(index).to_owned()).collect()
}

fn beat_targets(world: &World, now: Moment) -> Vec<String> {
    let home = &world.data_centre;
    let near = world.vms.iter().filter(|(index, row)| {
        row.data_centre == *home
            && world.vm_names.name(*index) != world.me
            && (row.listed || now < row.alive_until)
    });
    let mut targets: Vec<String> = near.map(|(index, _)| world.vm_names.name(index).to_owned()).collect();
    if !world.stopping && world.holder(GATEWAY_ROLE, home, now) == Some(&world.me) {
        let mut others: Vec<&str> =
            world.vms.iter().map(|(_, row)| row.data_centre.as_str()).filter(|dc| dc != home).collect();
        others.sort_unstable();
        others.dedup();
        targets.extend(others.iter().filter_map(|dc| world.holder(GATEWAY_ROLE, dc, now)).map(str::to_owned));
    }
    targets
}

fn take_list(context: &mut Context<'_>, vms: &[ListedVm]) {
    let world = &mut *context.world;
    for (_, row) in world.vms.iter_mut() {
        row.listed = false;
    }
    for vm in vms.iter().filter(|vm| vm.role == VmRole::Entry) {
        let index = world.vm_names.intern(&vm.name);
        let row = world.vms.at_or_default(index);
        let known = row.incarnation != 0 || !row.data_centre.is_empty();
        vm.data_centre.clone_into(&mut row.data_centre);
        vm.address.clone_into(&mut row.address);
        row.listed = true;
        // The list lags: it may add a sign of leaving, and take back only its own.
        if vm.state == VmState::Leaving {
            row.leaving = true;
        } else if !known {
            // A VM is taken as alive when first listed, so that roles do not wait for a heartbeat.
            row.alive_until = context.now.after_millis(LIFE_MILLIS);
        }
    }
}

fn take_beat(context: &mut Context<'_>, from: &str, beat: &Beat) {
    let own = context.world.data_centre.clone();
    let index = context.world.vm_names.intern(from);
    let row = context.world.vms.at_or_default(index);
    if row.data_centre.is_empty() {
        // A peer that the VM list does not have yet speaks only within its data centre.
        row.data_centre = own;
    }
    row.alive_until = context.now.after_millis(LIFE_MILLIS);
    row.generation = beat.generation;
    row.unwell.clone_from(&beat.unwell);
    if !beat.orders_holder.is_empty() {
        context.world.orders_holder.clone_from(&beat.orders_holder);
    }
    let row = &mut context.world.vms[index];
    if row.incarnation != beat.incarnation || beat.leaving {
        row.leaving = beat.leaving;
    }
    row.incarnation = beat.incarnation;
}

register_plugin!("membership", 10, MembershipClock);
