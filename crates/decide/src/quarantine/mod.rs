//! Which requests are held back because endpoints end under them.

mod request_key;

pub use request_key::{IdentityKey, KeyTextError, RequestIdentity, RequestKey};
