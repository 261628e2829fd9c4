//! Tasks of the one VM that holds the right to order engines.

pub(crate) mod order_task;
pub(crate) mod publication_task;
pub(crate) mod release_task;
