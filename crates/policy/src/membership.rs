//! Tracks which VMs are live: by heartbeats within the data centre, by the VM list elsewhere.
//!
//! Invariant: a VM holds roles only while its last heartbeat is valid; a VM that reports its departure
//! loses its roles at once. One heartbeat a second to each VM of the data centre stays within the
//! control budget at 25 VMs; a full mesh of 420 VMs would not. Only the holder of the `gateway` role
//! sends heartbeats to other data centres, and only to the holder of the role there.

use spanfold_entity::Moment;
use spanfold_kernel::{
    Context, EndpointRow, Event, ListedVm, Message, VmHeartbeat, VmRole, VmState, World, register_plugin,
};

/// Interval between heartbeats.
const HEARTBEAT_INTERVAL_MILLIS: u64 = 1_000;
/// Silence after which a VM counts as unreachable; two heartbeats may be lost.
const SILENCE_TIMEOUT_MILLIS: u64 = 3_200;
/// Role of the VM that exchanges messages with other data centres.
const GATEWAY_ROLE: &str = "gateway";

/// State of the membership plug-in.
#[derive(Debug)]
pub struct MembershipTracker {
    next_heartbeat_at: Moment,
    live_vms: Vec<String>,
}

impl MembershipTracker {
    fn start(_world: &World) -> Self {
        Self { next_heartbeat_at: Moment(0), live_vms: Vec::new() }
    }

    fn handle(&mut self, context: &mut Context<'_>, event: &Event) {
        match event {
            Event::Listed { vms } => {
                apply_vm_list(context, vms);
                self.record_change(context);
                // A VM that was just listed gets a heartbeat at once instead of at the next interval.
                self.next_heartbeat_at = self.next_heartbeat_at.min(context.now);
            }
            Event::Receive { from, message: Message::Beat(heartbeat) } => {
                apply_heartbeat(context, from, heartbeat);
                self.record_change(context);
            }
            Event::Stop => {
                context.world.stopping = true;
                self.send_heartbeats(context);
                self.record_change(context);
            }
            Event::Tick => {
                self.record_change(context);
                if context.now >= self.next_heartbeat_at {
                    self.send_heartbeats(context);
                }
            }
            _ => {}
        }
    }

    fn record_change(&mut self, context: &mut Context<'_>) {
        let world = &*context.world;
        let live_vms: Vec<String> = world
            .vms
            .iter()
            .filter(|(index, _)| world.is_live(*index, context.now))
            .map(|(index, _)| world.vm_names.name(index).to_owned())
            .collect();
        if live_vms != self.live_vms {
            context.log("membership.changed", live_vms.join(" "));
            self.live_vms = live_vms;
            context.world.membership_version += 1;
        }
    }

    fn send_heartbeats(&mut self, context: &mut Context<'_>) {
        self.next_heartbeat_at = context.now.after_millis(HEARTBEAT_INTERVAL_MILLIS);
        let heartbeat = VmHeartbeat {
            incarnation: context.world.incarnation,
            leaving: context.world.stopping,
            generation: context.world.generation,
            unwell: unhealthy_endpoints(context.world, context.now),
            orders_holder: if is_gateway(context) {
                context.world.orders_holder.clone()
            } else {
                String::new()
            },
        };
        for name in heartbeat_targets(context.world, context.now) {
            context.send(&name, Message::Beat(heartbeat.clone()));
        }
    }
}

/// Whether this VM acts for its data centre: towards other data centres, and for the lease on orders.
pub(crate) fn is_gateway(context: &Context<'_>) -> bool {
    let world = &*context.world;
    !world.stopping
        && world.role_holder(GATEWAY_ROLE, &world.data_centre, context.now) == Some(&world.own_name)
}

/// Returns the endpoints that this VM's own probes and failures found unhealthy.
///
/// All other signs reach each VM without a heartbeat.
fn unhealthy_endpoints(world: &World, now: Moment) -> Vec<String> {
    let is_unhealthy =
        |row: &EndpointRow| row.declared && (row.reported_departing || now < row.ejected_until);
    let rows = world.endpoints.iter().filter(|(_, row)| is_unhealthy(row));
    rows.map(|(index, _)| world.endpoint_names.name(index).to_owned()).collect()
}

fn heartbeat_targets(world: &World, now: Moment) -> Vec<String> {
    let own_centre = &world.data_centre;
    let local_vms = world.vms.iter().filter(|(index, row)| {
        row.data_centre == *own_centre
            && world.vm_names.name(*index) != world.own_name
            && (row.listed || now < row.heartbeat_deadline)
    });
    let mut targets: Vec<String> =
        local_vms.map(|(index, _)| world.vm_names.name(index).to_owned()).collect();
    if !world.stopping && world.role_holder(GATEWAY_ROLE, own_centre, now) == Some(&world.own_name) {
        let mut other_centres: Vec<&str> = world
            .vms
            .iter()
            .map(|(_, row)| row.data_centre.as_str())
            .filter(|centre| centre != own_centre)
            .collect();
        other_centres.sort_unstable();
        other_centres.dedup();
        targets.extend(
            other_centres
                .iter()
                .filter_map(|centre| world.role_holder(GATEWAY_ROLE, centre, now))
                .map(str::to_owned),
        );
    }
    targets
}

fn apply_vm_list(context: &mut Context<'_>, vms: &[ListedVm]) {
    let world = &mut *context.world;
    for (_, row) in world.vms.iter_mut() {
        row.listed = false;
    }
    for vm in vms.iter().filter(|vm| vm.role == VmRole::Entry) {
        let index = world.vm_names.intern(&vm.name);
        let row = world.vms.get_or_insert_default(index);
        let was_recorded = row.incarnation != 0 || !row.data_centre.is_empty();
        vm.data_centre.clone_into(&mut row.data_centre);
        vm.address.clone_into(&mut row.address);
        row.listed = true;
        // The list lags: it may add a sign of departure, and withdraws only its own.
        if vm.state == VmState::Leaving {
            row.departing = true;
        } else if !was_recorded {
            // A VM counts as live when first listed, so that roles do not wait for a heartbeat.
            row.heartbeat_deadline = context.now.after_millis(SILENCE_TIMEOUT_MILLIS);
        }
    }
}

fn apply_heartbeat(context: &mut Context<'_>, from: &str, heartbeat: &VmHeartbeat) {
    let own_centre = context.world.data_centre.clone();
    let index = context.world.vm_names.intern(from);
    let row = context.world.vms.get_or_insert_default(index);
    if row.data_centre.is_empty() {
        // A peer that the VM list does not contain yet sends heartbeats only within its data centre.
        row.data_centre = own_centre;
    }
    row.heartbeat_deadline = context.now.after_millis(SILENCE_TIMEOUT_MILLIS);
    row.generation = heartbeat.generation;
    row.unavailable_endpoints.clone_from(&heartbeat.unwell);
    if !heartbeat.orders_holder.is_empty() {
        context.world.orders_holder.clone_from(&heartbeat.orders_holder);
    }
    let row = &mut context.world.vms[index];
    if row.incarnation != heartbeat.incarnation || heartbeat.leaving {
        row.departing = heartbeat.leaving;
    }
    row.incarnation = heartbeat.incarnation;
}

register_plugin!("membership", 10, MembershipTracker);
