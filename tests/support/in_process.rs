//! A control group and an entry in one process, started by the same kernel as the programs.

use std::net::SocketAddr;

use marjoramknot::kernel::Kernel;
use marjoramknot::programs::{ListenAddress, start_control, start_entry};
use marjoramknot::settings::{ControlSettings, EntrySettings};
use marjoramknot::telemetry::Metrics;
use tempfile::TempDir;
use tokio_util::sync::CancellationToken;

use super::ports::{ReplicaPorts, replica_ports};

/// A small deployment.
pub struct InProcessDeployment {
    pub callers: SocketAddr,
    pub fleet: SocketAddr,
    pub operators: SocketAddr,
    /// Cancelling it begins the planned stop of the entry.
    pub leaving: CancellationToken,
    entry: Kernel,
    control: Vec<Kernel>,
    _data: TempDir,
}

impl InProcessDeployment {
    /// Starts the given number of control replicas, and one entry in the zone.
    pub async fn start(replicas: usize, zone: &str, metrics: &Metrics) -> Self {
        let data = tempfile::tempdir().expect("a folder can be made");
        let ports = replica_ports(replicas);
        let mut control = Vec::with_capacity(replicas);
        for index in 1..=replicas {
            let settings = control_settings(&data, index, zone, &ports);
            let started = start_control(settings, metrics.clone()).await;
            control.push(started.expect("a control replica starts"));
        }
        let leaving = CancellationToken::new();
        let settings = entry_settings(zone, &ports);
        let entry = start_entry(settings, metrics.clone(), leaving.clone()).await;
        let entry = entry.expect("the entry starts");
        let address = |listener: &str| {
            let found = entry.registry().find::<ListenAddress>(listener);
            found.expect("each listener publishes its address").0
        };
        Self {
            callers: address("callers"),
            fleet: address("fleet"),
            operators: address("operators"),
            leaving,
            entry,
            control,
            _data: data,
        }
    }

    /// Stops the entry without cutting off requests, then the control group.
    pub async fn stop(self) {
        self.leaving.cancel();
        self.entry.stop().await;
        for control in self.control {
            control.stop().await;
        }
    }
}

fn control_settings(
    data: &TempDir,
    index: usize,
    zone: &str,
    ports: &[ReplicaPorts],
) -> ControlSettings {
    let folder = data.path().join(format!("control-{index}"));
    let folder = folder.display();
    let mut text = format!(
        "name = \"control-{index}\"\nzone = \"{zone}\"\ndata_folder = \"{folder}\"\n\
         operators.listen = \"127.0.0.1:0\"\n"
    );
    text.extend(ports.iter().enumerate().map(|(number, ports)| {
        let (number, peers, entries) = (number + 1, ports.peers, ports.entries);
        format!("[[replicas]]\nname = \"control-{number}\"\npeers = \"{peers}\"\nentries = \"{entries}\"\n")
    }));
    text.parse().expect("the settings are valid")
}

fn entry_settings(zone: &str, ports: &[ReplicaPorts]) -> EntrySettings {
    let control = ports.iter().map(|ports| format!("\"{}\"", ports.entries));
    let control = control.collect::<Vec<_>>().join(", ");
    let text = format!(
        "name = \"entry-1\"\nzone = \"{zone}\"\ncontrol = [{control}]\n\
         callers.listen = \"127.0.0.1:0\"\nfleet.listen = \"127.0.0.1:0\"\n\
         operators.listen = \"127.0.0.1:0\"\n"
    );
    text.parse().expect("the settings are valid")
}
