/// Results of one run. `bytes_s` and `leader_cpu_us_s` are totals over all entries; the `entry_`
/// figures are means per entry.
#[derive(Debug, Default)]
pub(super) struct Figures {
    pub(super) bytes_s: u64,
    pub(super) entry_bytes_s: u64,
    pub(super) leader_cpu_us_s: u64,
    pub(super) entry_cpu_us_s: u64,
    pub(super) staleness_mean_us: u64,
    pub(super) staleness_p99_us: u64,
    pub(super) staleness_max_us: u64,
    /// Changes that had not reached an entry by the end, summed over the entries.
    pub(super) unseen_changes: u64,
}
