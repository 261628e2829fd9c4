//! Whether a VM has a path to the endpoints.

/// Whether this VM reaches endpoints.
///
/// # Examples
/// ```
/// use spanfold_decide::PathState;
/// assert!(PathState::default().opens_connections());
/// assert!(!PathState::PooledOnly.opens_connections());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PathState {
    /// It reaches endpoints.
    #[default]
    Open,
    /// Its open connections to endpoints work, and new ones fail.
    PooledOnly,
    /// It reaches no endpoint.
    Cut,
}

impl PathState {
    /// Whether new connections to endpoints can be expected to open.
    pub const fn opens_connections(self) -> bool {
        matches!(self, Self::Open)
    }

    /// Name of the state, for operators.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::PooledOnly => "pooled_only",
            Self::Cut => "cut",
        }
    }
}
