//! Tests the settings of a seeded control group and of its gateway entries.

use marjoramknot::settings::{ControlSettings, GatewaySettings};
use marjoramknot::units::Millis;
use rstest::rstest;

const CONTROL: &str = r#"
name = "core-1"
zone = "senec"
data_folder = "/var/lib/marjoramknot"
[seeded]
host = "10.0.0.5"
peers_port = 7000
entries_port = 7015
seeds = ["10.0.0.5:9", "10.0.0.6:9", "10.0.0.7:9"]
bootstrap = true
losses_borne = 2
repair_s = 6
[operators]
listen = "10.0.0.5:8526"
[planner]
lease_ms = 6000
stop_ms = 400
gang_wait_ms = 3000
far_factor = 3
"#;

const GATEWAY: &str = r#"
name = "edge-1"
zone = "senec"
seeds = ["10.0.0.5:9", "10.0.0.6:9"]
entries_port = 7015
[callers]
listen = "10.0.0.9:8521"
[health]
listen = "10.0.0.9:8523"
"#;

#[test]
fn seeded_replica() {
    let settings: ControlSettings = CONTROL.parse().expect("the settings are valid");
    let seeded = settings.seeded.as_ref().expect("the group is seeded");
    assert_eq!(settings.own_addresses().peers.to_string(), "10.0.0.5:7000");
    assert_eq!(
        settings.own_addresses().entries.to_string(),
        "10.0.0.5:7015"
    );
    assert_eq!(seeded.listen_addresses().0.to_string(), "10.0.0.5:7000");
    assert_eq!((seeded.target_voters(), seeded.may_bootstrap()), (5, true));
    assert_eq!(seeded.replace_after_ms(), Millis(3_000));
    assert_eq!(settings.replicas.len(), 3);
    assert_eq!(settings.planner.lease_ms, Millis(6_000));
}

/// Only seeds may form a group, and only at the first start of the system.
#[rstest]
#[case::later("bootstrap = true", "bootstrap = false")]
#[case::no_seed("host = \"10.0.0.5\"", "host = \"10.0.0.8\"")]
fn joining_replica(#[case] from: &str, #[case] to: &str) {
    let settings: ControlSettings = CONTROL
        .replace(from, to)
        .parse()
        .expect("the settings are valid");
    let seeded = settings.seeded.expect("the group is seeded");
    assert!(!seeded.may_bootstrap());
}

#[test]
fn listen_host_differs_from_host() {
    let text = CONTROL.replace("peers_port", "listen_host = \"127.0.0.1\"\npeers_port");
    let settings: ControlSettings = text.parse().expect("the settings are valid");
    let seeded = settings.seeded.as_ref().expect("the group is seeded");
    assert_eq!(seeded.listen_addresses().0.to_string(), "127.0.0.1:7000");
    assert_eq!(settings.own_addresses().peers.to_string(), "10.0.0.5:7000");
}

#[rstest]
#[case::host("host = \"10.0.0.5\"", "host = \"here\"", "seeded.host")]
#[case::port("peers_port = 7000", "", "seeded.peers_port")]
#[case::seeds(
    "seeds = [\"10.0.0.5:9\", \"10.0.0.6:9\", \"10.0.0.7:9\"]",
    "seeds = []",
    "seeded.seeds"
)]
#[case::flag("bootstrap = true", "bootstrap = \"yes\"", "seeded.bootstrap")]
#[case::losses("losses_borne = 2", "losses_borne = 9", "seeded.losses_borne")]
#[case::lease("lease_ms = 6000", "lease_ms = 1", "planner.lease_ms")]
#[case::unknown("stop_ms = 400", "stopp_ms = 400", "planner.stopp_ms")]
fn control_faults(#[case] from: &str, #[case] to: &str, #[case] field: &str) {
    let faults = CONTROL.replace(from, to).parse::<ControlSettings>();
    let text = faults.expect_err("the settings have a fault").to_string();
    assert!(text.contains(field), "{text}");
}

#[test]
fn gateway() {
    let settings: GatewaySettings = GATEWAY.parse().expect("the settings are valid");
    let control: Vec<String> = settings
        .control_addresses()
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(control, ["10.0.0.5:7015", "10.0.0.6:7015"]);
}

#[rstest]
#[case::seeds("seeds = [\"10.0.0.5:9\", \"10.0.0.6:9\"]", "", "seeds")]
#[case::port("entries_port = 7015", "entries_port = 0", "entries_port")]
#[case::listener("listen = \"10.0.0.9:8523\"", "", "health.listen")]
fn gateway_faults(#[case] from: &str, #[case] to: &str, #[case] field: &str) {
    let faults = GATEWAY.replace(from, to).parse::<GatewaySettings>();
    let text = faults.expect_err("the settings have a fault").to_string();
    assert!(text.contains(field), "{text}");
}
