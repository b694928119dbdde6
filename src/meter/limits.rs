//! Limits on the size of a table.

/// The default number of workspaces with separate histograms.
pub const DEFAULT_ROWS: usize = 256;

/// The default number of workspaces that are counted to find the busiest.
pub const DEFAULT_COUNTED: usize = 2_048;

/// The limits of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The number of workspaces with separate histograms. All others share
    /// one row.
    pub rows: usize,
    /// The number of workspaces that are counted to find the busiest. It should be several
    /// times [`Self::rows`].
    pub counted: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            rows: DEFAULT_ROWS,
            counted: DEFAULT_COUNTED,
        }
    }
}
