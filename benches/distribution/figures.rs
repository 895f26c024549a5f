/// What one run gave; bytes and leader's time for all entries, entry's figures for one.
#[derive(Debug, Default)]
pub(super) struct Figures {
    pub(super) bytes_s: u64,
    pub(super) entry_bytes_s: u64,
    pub(super) leader_cpu_us_s: u64,
    pub(super) entry_cpu_us_s: u64,
    pub(super) staleness_mean_us: u64,
    pub(super) staleness_p99_us: u64,
    pub(super) staleness_max_us: u64,
    /// Changes that some entry had not seen at the end.
    pub(super) missing: u64,
}
