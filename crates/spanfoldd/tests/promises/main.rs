//! Process tests: real daemons against the stand-ins, one module a promise.

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
