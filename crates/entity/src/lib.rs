//! Typed indices, dense maps, and points in time.
//!
//! - [`DenseMap`] stores rows of one entity kind by a small typed index.
//! - [`NameTable`] interns names as such indices and never reuses an index.
//! - [`Moment`] is a point of monotonic time in microseconds; deadlines are moments.

mod dense;
mod moment;
mod name;

pub use dense::{DenseMap, EntityIndex};
pub use moment::{MICROS_PER_MILLI, MICROS_PER_SECOND, Moment};
pub use name::NameTable;
