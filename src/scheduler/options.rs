use bon::Builder;

use crate::units::Millis;

/// Limits of the scheduler, and switches for its mechanisms.
///
/// The switches turn off one mechanism at a time for measurements; see docs/DESIGN.md.
#[derive(Builder, Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch turns off one independent mechanism for a measurement"
)]
pub struct SchedulerOptions {
    /// How long a gang may take to write a checkpoint before it is stopped without one.
    #[builder(default = Millis(30_000))]
    pub checkpoint_timeout_ms: Millis,
    /// The same limit when urgent work waits for the workers.
    #[builder(default = Millis(3_000))]
    pub urgent_checkpoint_timeout_ms: Millis,
    /// How long work inside a guarantee waits for a cell to become free before borrowers are
    /// evicted. The time waited is deducted from their checkpoint timeout. Urgent work does not
    /// wait.
    #[builder(default = Millis(10_000))]
    pub reclaim_delay_ms: Millis,
    /// No further reclaim starts while this many gangs write checkpoints for earlier ones.
    #[builder(default = 64)]
    pub concurrent_reclaims_max: usize,
    /// How long a gang is blocked before others are moved out of its way.
    #[builder(default = Millis(600_000))]
    pub defragment_after_ms: Millis,
    /// The longest time by which later, shorter jobs may overtake a job.
    #[builder(default = Millis(7_200_000))]
    pub max_overtake_ms: Millis,
    /// Starts work inside guarantees first, and reclaims cells for it.
    #[builder(default = true)]
    pub guarantees: bool,
    /// Before reclaiming, rebinds guarantees to the workers where the smallest gangs would be
    /// evicted.
    #[builder(default = true)]
    pub rebind: bool,
    /// Orders the queue by expected run time and deadline instead of by arrival only.
    #[builder(default = true)]
    pub shortest_first: bool,
    /// Lets teams that use a smaller share of their guarantee borrow first.
    #[builder(default = true)]
    pub fair_shares: bool,
    /// Corrects declared run times by the measured run times of the same team and class.
    #[builder(default = true)]
    pub learn_run_times: bool,
    /// Places gangs in the smallest cell that fits instead of the first one.
    #[builder(default = true)]
    pub best_fit: bool,
    /// Lets later jobs start while an earlier one is blocked.
    #[builder(default = true)]
    pub backfill: bool,
    /// Reserves cells for blocked gangs.
    #[builder(default = true)]
    pub reservations: bool,
    /// Moves borrowed gangs to make room for a blocked gang.
    #[builder(default = true)]
    pub defragment: bool,
    /// Takes workers out of service on which different jobs fail.
    #[builder(default = true)]
    pub quarantine: bool,
}

impl Default for SchedulerOptions {
    fn default() -> Self {
        Self::builder().build()
    }
}
