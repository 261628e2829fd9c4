//! What is read from the platform's store and written to it, and what VMs hand to one another of it.

pub(crate) mod call_link;
mod copy_client;
mod copy_port;
pub(crate) mod era_watch;
pub(crate) mod follow;
pub(crate) mod lease_keeper;
pub(crate) mod news_teller;
pub(crate) mod store_era;
pub(crate) mod store_link;
pub(crate) mod store_news;
pub(crate) mod store_view;

pub(crate) use copy_client::fetch_copy;
pub(crate) use copy_port::{CopyDesk, answer_copy, sweep_copies};
