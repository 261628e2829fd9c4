//! What the one VM that may order engines does.

pub(crate) mod free_task;
pub(crate) mod naming_task;
pub(crate) mod order_task;
