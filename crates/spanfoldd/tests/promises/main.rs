//! Process tests of real daemons against the stand-ins, with one module for each guarantee.

mod at_most_once;
mod bad_input;
mod cache_safety;
mod configuration;
mod leaving;
mod not_run;
mod orders;
mod support;
mod whole_answer;
mod whole_path;
