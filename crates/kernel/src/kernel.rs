//! The kernel, which passes one event at a time to the registered plug-ins.
//!
//! Invariant: the same sequence of events and times gives the same sequence of effects. Time never
//! goes back; an event with an earlier time is handled at the latest time so far.

use crate::{Context, Effect, Event, PluginEntry, PluginState, World};
use spanfold_entity::Moment;
use std::collections::VecDeque;
use std::fmt;

/// The deterministic state machine of one VM.
pub struct Kernel {
    now: Moment,
    world: World,
    plugins: Vec<(PluginEntry, PluginState)>,
}

impl fmt::Debug for Kernel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Kernel")
            .field("now", &self.now)
            .field("world", &self.world)
            .finish_non_exhaustive()
    }
}

impl Kernel {
    /// Creates a kernel with all plug-ins that are linked in.
    ///
    /// # Examples
    /// ```
    /// use spanfold_entity::Moment;
    /// use spanfold_kernel::{Event, Kernel, World};
    /// let mut kernel = Kernel::new(World { own_name: "vm-1".into(), ..World::default() });
    /// assert!(kernel.step(Moment(0), Event::Tick).is_empty());
    /// ```
    ///
    /// The world contains this VM's own row from the start, so that a recorded session replays
    /// from the same state as the daemon's kernel.
    pub fn new(mut world: World) -> Self {
        world.insert_own_vm();
        let mut entries: Vec<_> = inventory::iter::<PluginEntry>.into_iter().copied().collect();
        entries.sort_by_key(|entry| (entry.dispatch_order, entry.name));
        let plugins = entries.into_iter().map(|entry| (entry, (entry.start)(&world))).collect();
        Self { now: Moment(0), world, plugins }
    }

    /// Handles `event` at `now` and returns the effects, in order.
    pub fn step(&mut self, now: Moment, event: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        let mut effects = Vec::new();
        let mut raised_events = VecDeque::from([event]);
        while let Some(event) = raised_events.pop_front() {
            for (entry, state) in &mut self.plugins {
                let mut context = Context {
                    now: self.now,
                    world: &mut self.world,
                    effects: &mut effects,
                    raised_events: &mut raised_events,
                };
                (entry.handle)(state.as_mut(), &mut context, &event);
            }
        }
        effects
    }

    /// Returns the shared state, for reports.
    pub const fn world(&self) -> &World {
        &self.world
    }

    /// Returns the plug-ins' names, in the order in which they handle events.
    pub fn plugin_names(&self) -> Vec<&'static str> {
        self.plugins.iter().map(|(entry, _)| entry.name).collect()
    }

    /// Returns the state of the plug-in called `name` for reports, if it is a `T`.
    pub fn plugin<T: 'static>(&self, name: &str) -> Option<&T> {
        self.plugins.iter().find(|(entry, _)| entry.name == name)?.1.downcast_ref()
    }
}
