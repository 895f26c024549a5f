use std::net::SocketAddr;

use super::fields::Fields;

/// Systems outside the group that the leader calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OutsideSettings {
    /// The policy service, which names the workers that may run a step; none where no queue needs it.
    pub policy: Option<SocketAddr>,
    /// The platform's service for its VMs; none where operators ask for no maintenance.
    pub vms: Option<SocketAddr>,
}

impl OutsideSettings {
    pub(super) fn take(fields: &mut Fields) -> Self {
        let mut address = |key| {
            let text: String = fields.optional(key, String::new(), "an address as IP:port");
            if text.is_empty() {
                return None;
            }
            let parsed = text.parse().ok();
            if parsed.is_none() {
                fields.fault(key, "is not an address; give IP:port");
            }
            parsed
        };
        let settings = Self {
            policy: address("policy"),
            vms: address("vms"),
        };
        fields.close();
        settings
    }
}
