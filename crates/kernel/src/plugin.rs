//! Plug-ins: plain structs that register themselves with a table of their functions.
//!
//! Invariant: plug-ins handle each event in their dispatch order and affect each other only by
//! raising events. The linker collects the registry, so that no list of plug-ins is maintained.

use crate::{Effect, Event, Message, World};
use spanfold_entity::Moment;
use std::any::Any;
use std::collections::VecDeque;
use std::fmt;

/// A plug-in's private state.
pub type PluginState = Box<dyn Any + Send>;

/// One registered plug-in.
#[derive(Clone, Copy)]
pub struct PluginEntry {
    /// The plug-in's name.
    pub name: &'static str,
    /// Position in the dispatch order; lower values handle events first.
    pub dispatch_order: u32,
    /// Creates the initial state.
    pub start: fn(&World) -> PluginState,
    /// Handles one event.
    pub handle: fn(&mut dyn Any, &mut Context<'_>, &Event),
}

impl fmt::Debug for PluginEntry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("PluginEntry")
            .field("name", &self.name)
            .field("dispatch_order", &self.dispatch_order)
            .finish_non_exhaustive()
    }
}

inventory::collect!(PluginEntry);

/// Registers a plug-in whose state is a `State` with `State::start(&World)` and
/// `State::handle(&mut self, &mut Context, &Event)`.
///
/// # Examples
/// ```
/// use spanfold_kernel::{Context, Event, World, register_plugin};
/// #[derive(Debug)]
/// struct TickCounter(u64);
/// impl TickCounter {
///     fn start(_world: &World) -> Self { Self(0) }
///     fn handle(&mut self, _context: &mut Context<'_>, event: &Event) {
///         if matches!(event, Event::Tick) { self.0 += 1; }
///     }
/// }
/// register_plugin!("tick-counter", 900, TickCounter);
/// ```
#[macro_export]
macro_rules! register_plugin {
    ($name:literal, $dispatch_order:literal, $state:ty) => {
        $crate::inventory::submit! {
            $crate::PluginEntry {
                name: $name,
                dispatch_order: $dispatch_order,
                start: |world| Box::new(<$state>::start(world)),
                handle: |state, context, event| {
                    if let Some(state) = state.downcast_mut::<$state>() {
                        <$state>::handle(state, context, event);
                    }
                },
            }
        }
    };
}

/// Access to the kernel for a plug-in that handles an event.
#[derive(Debug)]
pub struct Context<'a> {
    /// The time of the event.
    pub now: Moment,
    /// Shared state.
    pub world: &'a mut World,
    pub(crate) effects: &'a mut Vec<Effect>,
    pub(crate) raised_events: &'a mut VecDeque<Event>,
}

impl Context<'_> {
    /// Adds an effect.
    pub fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Has all plug-ins handle `event` after the current one, in the same step.
    pub fn raise(&mut self, event: Event) {
        self.raised_events.push_back(event);
    }

    /// Sends `message` to `to`; one to this VM is raised as received in the same step.
    pub fn send(&mut self, to: &str, message: Message) {
        if to == self.world.own_name {
            self.raise(Event::Receive { from: to.to_owned(), message });
        } else {
            self.emit(Effect::Send { to: to.to_owned(), message });
        }
    }

    /// Writes a log line.
    pub fn log(&mut self, name: &str, text: impl Into<String>) {
        self.emit(Effect::Log { name: name.to_owned(), text: text.into() });
    }
}
