//! What is read from the platform's store, and what VMs hand to one another of it.

mod copy_client;
mod copy_port;

pub(crate) use copy_client::fetch_copy;
pub(crate) use copy_port::{CopyDesk, answer_copy, sweep_copies};
