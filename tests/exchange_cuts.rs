//! Grants and notes in force under network partitions, leader changes, restarts and dead
//! connections.

#[path = "support/control_net.rs"]
mod control_net;
#[path = "support/notes.rs"]
mod notes;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use assert_matches::assert_matches;
use control_net::{FakeReplica, Network, SharedLog, slow_service};
use marjoramknot::control::{CallExpiry, Client, ControlError, Status};
use marjoramknot::entry::exchange::Exchange;
use marjoramknot::release_note::NoteAnswer;
use marjoramknot::units::{Millis, Revision};
use notes::{INITIAL_NOTE, deadline_note, note, zone_note};
use rstest::rstest;
use tarpc::context;
use tokio::time::{Duration, Instant, sleep};

/// The expiry of a call that no client gives up.
const NEVER: CallExpiry = CallExpiry(Millis::MAX);
const STEP: Duration = Duration::from_millis(10);

/// A single leader with the initial note in force, and an operator's client that is never
/// partitioned.
struct Cluster {
    log: SharedLog,
    leader: Arc<FakeReplica>,
    operator: Client,
}

impl Cluster {
    async fn start() -> Self {
        let log = SharedLog::default();
        let leader = Arc::new(FakeReplica::start(&log).await);
        leader.become_leader(&log, 1);
        let operator = Network::new(&[Arc::clone(&leader)]).client();
        let cluster = Self {
            log,
            leader,
            operator,
        };
        let first = cluster.operator.apply_note(note(INITIAL_NOTE)).await;
        assert_matches!(first, Ok(NoteAnswer::Accepted { .. }));
        cluster
    }

    fn network(&self) -> Network {
        Network::new(&[Arc::clone(&self.leader)])
    }
}

async fn status(client: &Client) -> Status {
    client.status().await.expect("the leader answers")
}

fn revision(entry: &Exchange) -> Revision {
    entry.state().borrow().in_force.revision
}

async fn wait_until(what: &str, limit_ms: u64, mut holds: impl FnMut() -> bool) -> Duration {
    let start = Instant::now();
    while !holds() {
        let waited = start.elapsed();
        assert!(
            waited <= Duration::from_millis(limit_ms),
            "{what} within {limit_ms} ms"
        );
        sleep(STEP).await;
    }
    start.elapsed()
}

/// Waits until the leader reports the revision as in force everywhere. Checks that from then on
/// every entry that may start work has applied it. Returns how long it took.
async fn wait_until_in_force_everywhere(
    client: &Client,
    wanted: Revision,
    entries: &[&Exchange],
) -> Duration {
    let start = Instant::now();
    loop {
        let reported = client
            .status()
            .await
            .map(|status| status.in_force_everywhere);
        if reported.is_ok_and(|reported| reported >= wanted) {
            for entry in entries {
                assert!(!entry.may_start() || revision(entry) >= wanted);
            }
            return start.elapsed();
        }
        assert!(start.elapsed() < Duration::from_secs(20));
        sleep(STEP).await;
    }
}

#[tokio::test(start_paused = true)]
async fn note_everywhere() {
    let cluster = Cluster::start().await;
    let entries: Vec<_> = (0..9)
        .map(|index| cluster.network().entry(&format!("e{index}"), 1))
        .collect();
    sleep(Duration::from_secs(5)).await;
    let answer = cluster.operator.apply_note(deadline_note(2, 7)).await;
    let revision = assert_matches!(answer, Ok(NoteAnswer::Accepted { revision }) => revision);
    let entries: Vec<_> = entries.iter().collect();
    let took = wait_until_in_force_everywhere(&cluster.operator, revision, &entries).await;
    assert!(took <= Duration::from_secs(3), "{took:?}");
    for entry in entries {
        assert_eq!(entry.state().borrow().in_force.revision, revision);
        assert!(entry.may_start());
    }
}

#[rstest]
#[case::reports_lost(true, false)]
#[case::answers_lost(false, true)]
#[case::both_lost(true, true)]
#[tokio::test(start_paused = true)]
async fn zone_out_under_partition(#[case] drop_to_control: bool, #[case] drop_to_entry: bool) {
    let cluster = Cluster::start().await;
    let network = cluster.network();
    let (near, far) = (cluster.network().entry("e1", 1), network.entry("e2", 1));
    for offset_ms in [0, 330, 770, 1_010] {
        sleep(Duration::from_millis(6_000 + offset_ms)).await;
        assert!(near.may_start() && far.may_start());
        network
            .link_faults(cluster.leader.address)
            .set(drop_to_control, drop_to_entry);
        let before = status(&cluster.operator).await.revision;
        let version = before.get() * 10;
        let out = zone_note(version, if offset_ms % 20 == 10 { "in" } else { "out" });
        let answer = cluster.operator.apply_note(out).await;
        let wanted = assert_matches!(answer, Ok(NoteAnswer::Accepted { revision }) => revision);
        let took = wait_until_in_force_everywhere(&cluster.operator, wanted, &[&near, &far]).await;
        assert!(took <= Duration::from_secs(5), "{took:?}");
        network
            .link_faults(cluster.leader.address)
            .set(false, false);
        wait_until("the entry returns", 3_000, || {
            far.may_start() && revision(&far) >= wanted
        })
        .await;
    }
}

#[rstest]
#[case::reports_lost(true, false)]
#[case::answers_lost(false, true)]
#[case::both_lost(true, true)]
#[tokio::test(start_paused = true)]
async fn grant_ends(#[case] drop_to_control: bool, #[case] drop_to_entry: bool) {
    let cluster = Cluster::start().await;
    let network = cluster.network();
    let entry = network.entry("e1", 1);
    wait_until("the first grant", 2_000, || entry.may_start()).await;
    for offset_ms in [0, 450, 990] {
        sleep(Duration::from_millis(2_000 + offset_ms)).await;
        network
            .link_faults(cluster.leader.address)
            .set(drop_to_control, drop_to_entry);
        wait_until("the grant ends", 3_000, || !entry.may_start()).await;
        sleep(Duration::from_hours(1)).await;
        assert!(!entry.may_start());
        network
            .link_faults(cluster.leader.address)
            .set(false, false);
        wait_until("the grant returns", 2_000, || entry.may_start()).await;
    }
}

#[tokio::test(start_paused = true)]
async fn no_quorum() {
    let cluster = Cluster::start().await;
    let entry = cluster.network().entry("e1", 1);
    wait_until("the first grant", 2_000, || entry.may_start()).await;
    sleep(Duration::from_secs(4)).await;
    cluster.leader.lose_quorum();
    let refused = cluster.operator.with_deadline(Millis(500)).status().await;
    assert_matches!(refused, Err(ControlError::Unreachable));
    let refused = cluster
        .operator
        .with_deadline(Millis(500))
        .apply_note(deadline_note(2, 7))
        .await;
    assert_matches!(refused, Err(ControlError::Unreachable));
    wait_until("the grant ends", 3_000, || !entry.may_start()).await;
    cluster.leader.become_leader(&cluster.log, 1);
    wait_until("the grant returns", 2_000, || entry.may_start()).await;
    assert_eq!(status(&cluster.operator).await.revision, Revision(1));
}

/// A new leader does not know the grants of the previous one. It must not report a note as in force
/// everywhere before these have expired.
#[tokio::test(start_paused = true)]
async fn new_leader() {
    let cluster = Cluster::start().await;
    let second = Arc::new(FakeReplica::start(&cluster.log).await);
    let both = [Arc::clone(&cluster.leader), Arc::clone(&second)];
    let network = Network::new(&both);
    let (near, far) = (Network::new(&both).entry("e1", 1), network.entry("e2", 1));
    wait_until("both grants", 3_000, || near.may_start() && far.may_start()).await;
    sleep(Duration::from_secs(4)).await;
    // The far entry may hold a fresh grant of the old leader and is partitioned from now on.
    for address in network.addresses() {
        network.link_faults(address).set(true, true);
    }
    cluster.leader.become_follower(2, Some(second.address));
    second.become_leader(&cluster.log, 2);
    let operator = Network::new(&both).client();
    let answer = operator.apply_note(zone_note(2, "out")).await;
    let wanted = assert_matches!(answer, Ok(NoteAnswer::Accepted { revision }) => revision);
    let took = wait_until_in_force_everywhere(&operator, wanted, &[&near, &far]).await;
    assert!(took >= Duration::from_secs(3), "{took:?}");
    assert!(
        near.may_start(),
        "the reachable entry gets its grant from the new leader"
    );
    for address in network.addresses() {
        network.link_faults(address).set(false, false);
    }
    wait_until("the far entry follows", 3_000, || revision(&far) >= wanted).await;
    // The old leader is reachable again, without a quorum; it must not move any entry back.
    cluster.leader.lose_quorum();
    sleep(Duration::from_secs(10)).await;
    assert_eq!(revision(&near), wanted);
    assert_eq!(revision(&far), wanted);
}

#[tokio::test(start_paused = true)]
async fn entry_restarts() {
    let cluster = Cluster::start().await;
    let network = cluster.network();
    let old = network.entry("e1", 1);
    wait_until("the first grant", 2_000, || old.may_start()).await;
    sleep(Duration::from_secs(4)).await;
    // The old process still runs and holds a grant while its successor has already started.
    network.link_faults(cluster.leader.address).set(true, true);
    let new = cluster.network().entry("e1", 2);
    assert!(
        !new.may_start(),
        "a new process has no state and no grant yet"
    );
    assert_eq!(revision(&new), Revision::ZERO);
    wait_until("the new grant", 2_000, || new.may_start()).await;
    let answer = cluster.operator.apply_note(zone_note(2, "out")).await;
    let wanted = assert_matches!(answer, Ok(NoteAnswer::Accepted { revision }) => revision);
    wait_until_in_force_everywhere(&cluster.operator, wanted, &[&old, &new]).await;
    network
        .link_faults(cluster.leader.address)
        .set(false, false);
    sleep(Duration::from_secs(10)).await;
    assert!(!old.may_start(), "a replaced process gets no further grant");
    assert_eq!(revision(&new), wanted);
}

/// Open connections die silently while new ones work: the grant survives the recovery, and a change
/// is answered within 2 s.
#[tokio::test(start_paused = true)]
async fn silent_connection() {
    let cluster = Cluster::start().await;
    let network = cluster.network();
    let entry = network.entry("e1", 1);
    wait_until("the first grant", 2_000, || entry.may_start()).await;
    for offset_ms in [0, 130, 510, 890] {
        sleep(Duration::from_millis(5_000 + offset_ms)).await;
        network
            .link_faults(cluster.leader.address)
            .blackhole_open_connections();
        let start = Instant::now();
        let client = entry.client().clone();
        let version = status(&cluster.operator).await.revision.get() + 100;
        let note = deadline_note(version + offset_ms, version);
        let change = tokio::spawn(async move { client.apply_note(note).await });
        let mut answered = None;
        while start.elapsed() < Duration::from_secs(5) {
            assert!(
                entry.may_start(),
                "the grant must not expire during the recovery"
            );
            if answered.is_none() && change.is_finished() {
                answered = Some(start.elapsed());
            }
            sleep(STEP).await;
        }
        assert_matches!(change.await, Ok(Ok(NoteAnswer::Accepted { .. })));
        let answered = answered.expect("the change was answered");
        assert!(answered <= Duration::from_secs(2), "{answered:?}");
    }
}

/// Open connections die silently at different points of a held exchange. Within 2 s, a status call
/// is answered, and a note accepted since is in force at the entry.
#[tokio::test(start_paused = true)]
async fn silent_recovery() {
    let cluster = Cluster::start().await;
    let network = cluster.network();
    let entry = network.entry("e1", 1);
    wait_until("the first grant", 2_000, || entry.may_start()).await;
    for (offset_ms, version) in (0..1_450).step_by(50).zip(2_u64..) {
        sleep(Duration::from_millis(5_000 + offset_ms)).await;
        network
            .link_faults(cluster.leader.address)
            .blackhole_open_connections();
        let start = Instant::now();
        let note = deadline_note(version, version);
        let answer = cluster.operator.apply_note(note).await;
        let wanted = assert_matches!(answer, Ok(NoteAnswer::Accepted { revision }) => revision);
        assert_eq!(status(entry.client()).await.revision, wanted);
        let answered = start.elapsed();
        wait_until("the note in force", 2_000, || revision(&entry) == wanted).await;
        let took = start.elapsed();
        println!(
            "offset_ms={offset_ms} answered_ms={} took_ms={}",
            answered.as_millis(),
            took.as_millis()
        );
        assert!(took <= Duration::from_secs(2), "{took:?} at {offset_ms} ms");
    }
}

#[tokio::test(start_paused = true)]
async fn racing_entries() {
    let cluster = Cluster::start().await;
    let (a, b) = (cluster.network().client(), cluster.network().client());
    let (mine, theirs) = (deadline_note(2, 5), deadline_note(2, 6));
    let (first, second) = tokio::join!(a.apply_note(mine.clone()), b.apply_note(theirs.clone()));
    let (winner, loser) = match first {
        Ok(NoteAnswer::Accepted { .. }) => (mine, second),
        _ => (theirs, first),
    };
    let expected = NoteAnswer::VersionTaken {
        digest: winner.digest(),
        revision: Revision(2),
    };
    assert_eq!(loser, Ok(expected));
}

/// The answer to a note is lost and the note is sent again, to the same leader or to a new one. It
/// must be applied only once.
#[rstest]
#[case::same_leader(false)]
#[case::new_leader(true)]
#[tokio::test(start_paused = true)]
async fn resent_note(#[case] elected: bool) {
    let cluster = Cluster::start().await;
    let second = Arc::new(FakeReplica::start(&cluster.log).await);
    let both = [Arc::clone(&cluster.leader), Arc::clone(&second)];
    let network = Network::new(&both);
    let client = network.client();
    // A call that may change something, after which the next one is sent at once.
    let cancelled = client.cancel_jobs(Vec::new()).await;
    assert_matches!(cancelled, Ok(_no_jobs));
    network
        .link_faults(cluster.leader.address)
        .drop_to_entry
        .store(true, Ordering::SeqCst);
    let sending = tokio::spawn(async move { client.apply_note(deadline_note(2, 5)).await });
    sleep(Duration::from_millis(500)).await;
    if elected {
        cluster.leader.become_follower(2, Some(second.address));
        second.become_leader(&cluster.log, 2);
    }
    sleep(Duration::from_secs(1)).await;
    let others = Network::new(&both).client();
    let later = others.apply_note(deadline_note(3, 9)).await;
    assert_matches!(later, Ok(NoteAnswer::Accepted { .. }));
    network
        .link_faults(cluster.leader.address)
        .drop_to_entry
        .store(false, Ordering::SeqCst);
    let answer = sending.await.expect("the task ends").expect("an answer");
    assert_matches!(
        answer,
        NoteAnswer::Accepted { revision } | NoteAnswer::AlreadyAccepted { revision } if revision <= Revision(3)
    );
    let again = others.apply_note(deadline_note(2, 5)).await;
    assert_matches!(again, Ok(NoteAnswer::AlreadyAccepted { .. }));
}

/// A change that is not committed in time may still take effect, so it must be reported as
/// uncertain.
#[tokio::test(start_paused = true)]
async fn uncertain_change() {
    let cluster = Cluster::start().await;
    cluster.leader.stalled.store(true, Ordering::SeqCst);
    let client = cluster.network().client().with_deadline(Millis(2_500));
    let sending = tokio::spawn(async move { client.apply_note(deadline_note(2, 5)).await });
    sleep(Duration::from_millis(1_500)).await;
    cluster.leader.become_follower(2, None);
    let answer = sending.await.expect("the task ends");
    assert_eq!(answer, Err(ControlError::Uncertain));
}

#[tokio::test(start_paused = true)]
async fn planned_stop() {
    let cluster = Cluster::start().await;
    let (entry, other) = (
        cluster.network().entry("e1", 1),
        cluster.network().entry("e2", 1),
    );
    wait_until("both grants", 3_000, || {
        entry.may_start() && other.may_start()
    })
    .await;
    let start = Instant::now();
    entry.leave().await;
    assert!(
        start.elapsed() < Duration::from_secs(1),
        "the leader must learn at once that the entry leaves"
    );
    assert!(!entry.may_start());
    let left = status(&cluster.operator).await;
    let left = left
        .entries
        .iter()
        .find(|known| known.entry.as_str() == "e1");
    assert_matches!(left, Some(known) if known.grant_ms.is_none());
    sleep(Duration::from_secs(10)).await;
    assert!(!entry.may_start() && other.may_start());
}

/// A stopping service finishes the changes that it has proposed and refuses the others. An answered
/// call must never leave open whether its change took effect.
#[tokio::test(start_paused = true)]
async fn stopped_service() {
    let (mut done, mut refused) = (0, 0);
    for turns in 1..16 {
        let (service, client) = slow_service(Duration::from_millis(5)).await;
        let first = tokio::spawn({
            let client = client.clone();
            async move {
                client
                    .apply_note(context::current(), NEVER, note(INITIAL_NOTE))
                    .await
            }
        });
        sleep(Duration::from_millis(2)).await;
        let calls: Vec<_> = (2..60)
            .map(|version| {
                let client = client.clone();
                tokio::spawn(async move {
                    let note = deadline_note(version, version);
                    client.apply_note(context::current(), NEVER, note).await
                })
            })
            .collect();
        for _turn in 0..turns {
            tokio::task::yield_now().await;
        }
        service.stop().await;
        let first = first.await.expect("the task ends").expect("an answer");
        assert_matches!(first, Ok(NoteAnswer::Accepted { .. }));
        for call in calls {
            match call.await.expect("the task ends") {
                Ok(Ok(NoteAnswer::Accepted { .. } | NoteAnswer::Stale { .. })) => done += 1,
                Ok(Err(ControlError::NotLeader { .. })) => refused += 1,
                Ok(other) => panic!("expected the change to be applied or refused: {other:?}"),
                Err(_closed) => {}
            }
        }
    }
    assert!(
        done > 0 && refused > 0,
        "{done} changes applied, {refused} refused"
    );
}
