use bon::Builder;

use crate::units::Millis;

/// Which mechanisms decide and with which bounds.
///
/// The switches let a measurement turn off one mechanism at a time; see docs/DESIGN.md.
#[derive(Builder, Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each switch turns off one independent mechanism for a measurement"
)]
pub struct SchedulerOptions {
    /// How long a gang may take to write its checkpoint before it is stopped without.
    #[builder(default = Millis(30_000))]
    pub checkpoint_timeout_ms: Millis,
    /// The same where urgent work waits for the places.
    #[builder(default = Millis(3_000))]
    pub urgent_checkpoint_timeout_ms: Millis,
    /// How long work inside a guarantee waits for a cell to fall free before others must leave; the
    /// time waited is taken off their checkpoint bound. Urgent work does not wait.
    #[builder(default = Millis(10_000))]
    pub reclaim_delay_ms: Millis,
    /// How many gangs may be on their way out for reclaims at one time.
    #[builder(default = 64)]
    pub concurrent_reclaims_max: usize,
    /// How long a blocked gang waits before others are moved out of its way.
    #[builder(default = Millis(600_000))]
    pub defragment_after_ms: Millis,
    /// The longest that later short work may overtake a job.
    #[builder(default = Millis(7_200_000))]
    pub max_overtake_ms: Millis,
    /// Starts work inside guarantees first and reclaims for it.
    #[builder(default = true)]
    pub guarantees: bool,
    /// Binds guarantees where the smallest gangs stand before it makes anyone leave.
    #[builder(default = true)]
    pub rebind: bool,
    /// Orders the queue by expected run time and urgency instead of by arrival only.
    #[builder(default = true)]
    pub shortest_first: bool,
    /// Lets teams that use less of their share borrow first.
    #[builder(default = true)]
    pub fair_shares: bool,
    /// Corrects declared run times by what jobs of the same team and class took.
    #[builder(default = true)]
    pub learn_run_times: bool,
    /// Places gangs in the smallest cell that holds them instead of the first.
    #[builder(default = true)]
    pub best_fit: bool,
    /// Lets later jobs start while an earlier one is blocked.
    #[builder(default = true)]
    pub backfill: bool,
    /// Keeps cells free for a blocked large gang.
    #[builder(default = true)]
    pub reservations: bool,
    /// Moves borrowed gangs out of the way of a gang that has been blocked for long.
    #[builder(default = true)]
    pub defragment: bool,
    /// Takes workers out on which different jobs fail.
    #[builder(default = true)]
    pub quarantine: bool,
}

impl Default for SchedulerOptions {
    fn default() -> Self {
        Self::builder().build()
    }
}
