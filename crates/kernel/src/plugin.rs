//! Plug-ins: plain structs with their functions in a table, which register themselves.
//!
//! Invariant: a plug-in sees events in the order of its rank and changes others only by raising
//! events. The registry is collected by the linker, so that no list names the plug-ins.

use crate::{Effect, Event, Message, World};
use spanfold_entity::Moment;
use std::any::Any;
use std::collections::VecDeque;
use std::fmt;

/// A plug-in's own state.
pub type PluginState = Box<dyn Any + Send>;

/// One registered plug-in.
#[derive(Clone, Copy)]
pub struct PluginEntry {
    /// Its name.
    pub name: &'static str,
    /// Its place in the order; lower sees events first.
    pub rank: u32,
    /// Makes its state.
    pub start: fn(&World) -> PluginState,
    /// Handles one event.
    pub handle: fn(&mut dyn Any, &mut Context<'_>, &Event),
}

impl fmt::Debug for PluginEntry {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("PluginEntry")
            .field("name", &self.name)
            .field("rank", &self.rank)
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
    ($name:literal, $rank:literal, $state:ty) => {
        $crate::inventory::submit! {
            $crate::PluginEntry {
                name: $name,
                rank: $rank,
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

/// What a plug-in has at hand while it handles an event.
#[derive(Debug)]
pub struct Context<'a> {
    /// The time of the event.
    pub now: Moment,
    /// Shared state.
    pub world: &'a mut World,
    pub(crate) effects: &'a mut Vec<Effect>,
    pub(crate) raised: &'a mut VecDeque<Event>,
}

impl Context<'_> {
    /// Adds an effect.
    pub fn emit(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// Has all plug-ins handle `event` after the present one, in the same step.
    pub fn raise(&mut self, event: Event) {
        self.raised.push_back(event);
    }

    /// Sends `message` to `to`; a message to this VM is raised as received in the same step.
    pub fn send(&mut self, to: &str, message: Message) {
        if to == self.world.me {
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
