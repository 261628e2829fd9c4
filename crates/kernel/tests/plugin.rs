//! Checks that a plug-in can be added without a change to the kernel's files: this file adds one.

use spanfold_entity::Moment;
use spanfold_kernel::{Context, Effect, Event, Kernel, World, register_plugin};

#[derive(Debug)]
struct EchoTracker {
    received_count: u64,
}

impl EchoTracker {
    fn start(_world: &World) -> Self {
        Self { received_count: 0 }
    }

    fn handle(&mut self, context: &mut Context<'_>, event: &Event) {
        if let Event::Custom { plugin, text } = event
            && plugin == "echo"
        {
            self.received_count += 1;
            let text = format!("{} {text} {}", context.world.own_name, self.received_count);
            context.emit(Effect::Custom { plugin: plugin.clone(), text });
        }
    }
}

register_plugin!("echo", 500, EchoTracker);

#[test]
fn a_plugin_registers_itself_and_handles_events() {
    let mut kernel = Kernel::new(World { own_name: "vm-1".into(), ..World::default() });
    assert_eq!(kernel.plugin_names(), ["echo"]);
    let event = Event::Custom { plugin: "echo".into(), text: "hi".into() };
    let effects = kernel.step(Moment(1), event.clone());
    assert_eq!(effects, [Effect::Custom { plugin: "echo".into(), text: "vm-1 hi 1".into() }]);
    kernel.step(Moment(2), event);
    assert_eq!(kernel.plugin::<EchoTracker>("echo").map(|tracker| tracker.received_count), Some(2));
}

#[test]
fn time_never_goes_back() {
    let mut kernel = Kernel::new(World::default());
    kernel.step(Moment(10), Event::Tick);
    assert!(kernel.step(Moment(5), Event::Tick).is_empty());
}
