//! Groups of replicas that communicate over loopback, mostly with files on disk.

use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use marjoramknot::replica::ProposeError;
use marjoramknot::replica::files::Folder;
use marjoramknot::units::FolderId;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::disk::FakeDisk;
use crate::group::{Group, eventually};
use crate::proxy::Proxy;

#[rstest]
#[case(1)]
#[case(3)]
#[case(5)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn group_commits(#[case] voters: usize) {
    let group = Group::start(voters).await;
    for number in 0..20_u8 {
        let applied = group.propose(&[number]).await;
        assert_eq!(applied.reply, vec![number]);
    }
    for position in 0..voters {
        group.wait_applied(position, &[19]).await;
        let expected: Vec<_> = (0..20_u8).map(|number| vec![number]).collect();
        assert_eq!(group.commands(position), expected);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn follower_refuses_proposals() {
    let group = Group::start(3).await;
    group.propose(b"first").await;
    let leader = group.leader().await;
    let follower = group.handle((leader + 1) % 3);
    assert_matches!(
        follower.propose(b"second".to_vec()).await,
        Err(ProposeError::NotLeader)
    );
    let known = eventually("the follower knows the leader", async || {
        follower.leadership().borrow().leader_address
    });
    assert_eq!(known.await, group.members[leader].peer.control_address);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_leader() {
    let mut group = Group::start(3).await;
    group.propose(b"before").await;
    let old = group.leader().await;
    group.kill(old).await;
    group.propose(b"after").await;
    assert_ne!(group.leader().await, old);
    group.run(old).await;
    group.wait_applied(old, b"after").await;
    assert_eq!(group.commands(old), [b"before".to_vec(), b"after".to_vec()]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn planned_stop() {
    let mut group = Group::start(3).await;
    group.propose(b"first").await;
    let old = group.leader().await;
    let handle = group.handle(old).clone();
    let writers: Vec<_> = (0..8_u8)
        .map(|writer| {
            let handle = handle.clone();
            tokio::spawn(async move {
                let mut accepted = Vec::new();
                for number in 0..u8::MAX {
                    match handle.propose(vec![writer, number]).await {
                        Ok(applied) => accepted.push(applied.reply),
                        Err(error) => return (accepted, error),
                    }
                }
                panic!("the leader stops before all commands are proposed")
            })
        })
        .collect();
    group.wait_applied(old, &[0, 3]).await;
    group.stop(old).await;
    let new = group.leader().await;
    group.propose(b"last").await;
    let commands = group.commands(new);
    for writer in writers {
        let (accepted, error) = writer.await.expect("the writer does not panic");
        assert!(!accepted.is_empty());
        assert!(accepted.iter().all(|command| commands.contains(command)));
        // Neither error leaves the outcome open: the refused command was not applied.
        assert_matches!(error, ProposeError::NotLeader | ProposeError::Stopped);
    }
}

#[rstest]
#[case(4_096)]
#[case(16)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_keeps_state(#[case] snapshot_entries: u64) {
    let (mut group, listeners) = Group::bind(3).await;
    group.snapshot_entries = snapshot_entries;
    for (position, listener) in listeners.into_iter().enumerate() {
        group.run_on(position, listener).await;
    }
    for number in 0..100_u8 {
        group.propose(&[number]).await;
    }
    for position in 0..3 {
        group.kill(position).await;
    }
    for position in 0..3 {
        group.run(position).await;
    }
    group.propose(b"last").await;
    let leader = group.leader().await;
    let commands = group.commands(leader);
    let mut expected: Vec<_> = (0..100_u8).map(|number| vec![number]).collect();
    expected.push(b"last".to_vec());
    assert_eq!(commands, expected);
}

/// Maximum time for which a connection may be unresponsive. The group must recover within it.
const RECOVERY_MAX: Duration = Duration::from_secs(2);

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn unresponsive_connections() {
    let (mut group, listeners) = Group::bind(3).await;
    let mut proxies = Vec::new();
    for (position, listener) in listeners.into_iter().enumerate() {
        let mut options = group.options(position, listener);
        for peer in &mut options.peers {
            let proxy = Proxy::start(peer.peer_address).await;
            peer.peer_address = proxy.address;
            proxies.push(proxy);
        }
        group.run_with(position, options, None).await;
    }
    group.propose(b"before").await;
    for round in 0..3_u8 {
        let leader = group.leader().await;
        proxies.iter().for_each(Proxy::silence);
        let silenced_at = Instant::now();
        group.propose(&[round]).await;
        let took = silenced_at.elapsed();
        assert!(took < RECOVERY_MAX, "recovered after {took:?}");
        for position in 0..3 {
            group.wait_applied(position, &[round]).await;
        }
        let took = silenced_at.elapsed();
        assert!(took < RECOVERY_MAX, "followers recovered after {took:?}");
        assert_eq!(group.leader().await, leader, "the leader stays the same");
    }
}

/// A leader whose disk stays full hands its leadership over, so it need not be the replica that
/// takes proposals once there is space again.
#[rstest]
#[case::briefly(Duration::ZERO)]
#[case::beyond_a_transfer(Duration::from_secs(1))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn full_disk_refuses_proposals(#[case] full_for: Duration) {
    let (mut group, listeners) = Group::bind(3).await;
    let disks: Vec<_> = (0..3).map(|_| FakeDisk::default()).collect();
    for (position, listener) in listeners.into_iter().enumerate() {
        let options = group.options(position, listener);
        let folder = disks[position].folder();
        group.run_with(position, options, Some(folder)).await;
    }
    group.propose(b"before").await;
    let leader = group.leader().await;
    let handle = group.handle(leader).clone();
    disks[leader].limit_space(Some(100));
    let mut accepted = vec![b"before".to_vec()];
    let refused = loop {
        let command = vec![accepted.len().to_le_bytes()[0]; 50];
        match handle.propose(command.clone()).await {
            Ok(_) => accepted.push(command),
            Err(error) => break error,
        }
        assert!(accepted.len() < 100, "the full disk leads to a refusal");
    };
    assert_matches!(refused, ProposeError::Refused { reason } if reason.contains("disk is full"));
    if full_for > Duration::ZERO {
        sleep(full_for).await;
        assert_ne!(
            group.leader().await,
            leader,
            "another replica leads while the disk is full"
        );
        group.propose(b"meanwhile").await;
        accepted.push(b"meanwhile".to_vec());
    }
    disks[leader].limit_space(None);
    let after = eventually("the group takes proposals again", async || {
        let leader = group.leader().await;
        group.handle(leader).propose(b"after".to_vec()).await.ok()
    });
    after.await;
    accepted.push(b"after".to_vec());
    for position in 0..3 {
        group.wait_applied(position, b"after").await;
        // A proposal whose outcome was unknown was made again.
        let mut commands = group.commands(position);
        commands.dedup();
        assert_eq!(commands, accepted, "replica {position}");
    }
}

/// Returns the folder id of a replica if it is a voter and has all committed entries.
async fn caught_up_voter_folder(group: &Group, position: usize) -> Option<FolderId> {
    let leader = group.leader().await;
    let status = group.handle(leader).status();
    let name = &group.members[position].peer.name;
    let mut replicas = status.replicas.into_iter();
    let found = replicas.find(|r| r.replica == *name && r.voter);
    found.filter(|r| r.matched >= status.committed)?.folder
}

#[rstest]
#[case(false)]
#[case(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn consecutive_disk_losses(#[case] damaged: bool) {
    let (mut group, listeners) = Group::bind(3).await;
    group.snapshot_entries = 20;
    for (position, listener) in listeners.into_iter().enumerate() {
        group.run_on(position, listener).await;
    }
    let mut expected = Vec::new();
    for number in 0..50_u8 {
        group.propose(&[number]).await;
        expected.push(vec![number]);
    }
    // Each replica loses its disk as soon as the previous one has caught up.
    for position in 0..3 {
        let old = caught_up_voter_folder(&group, position).await;
        group.kill(position).await;
        group.lose_disk(position, damaged);
        group.run(position).await;
        let repaired = eventually("the repaired replica is a voter again", async || {
            let folder = caught_up_voter_folder(&group, position).await;
            (folder.is_some() && folder != old).then_some(())
        });
        repaired.await;
    }
    group.propose(b"last").await;
    expected.push(b"last".to_vec());
    for position in 0..3 {
        group.wait_applied(position, b"last").await;
        assert_eq!(group.commands(position), expected);
    }
}

#[tokio::test]
async fn folder_is_locked() {
    let (mut group, mut listeners) = Group::bind(1).await;
    let options = group.options(0, listeners.remove(0));
    let folder = options.data_folder.clone();
    group.run_with(0, options, None).await;
    let error = Folder::open(&folder).expect_err("the folder is locked");
    assert_eq!(error.kind(), std::io::ErrorKind::ResourceBusy);
}

#[rstest]
#[case::large_length(&[0xff; 64])]
#[case::no_message(&[0, 0, 0, 4, 9, 9, 9, 9])]
#[case::half_frame(&[0, 0, 1, 0, 1])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_data_is_rejected(#[case] bytes: &[u8]) {
    let group = Group::start(3).await;
    group.propose(b"before").await;
    let mut connections = Vec::new();
    for member in group.members.iter().cycle().take(210) {
        let stream = TcpStream::connect(member.peer.peer_address).await;
        let mut stream = stream.expect("the replica accepts");
        stream
            .write_all(bytes)
            .await
            .expect("the bytes can be sent");
        connections.push(stream);
    }
    group.propose(b"after").await;
    let leader = group.leader().await;
    assert_eq!(
        group.commands(leader),
        [b"before".to_vec(), b"after".to_vec()]
    );
}

/// A group must form although each replica first receives many connections that never send data.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn idle_connections() {
    let (mut group, listeners) = Group::bind(3).await;
    let mut connections = Vec::new();
    for member in group.members.iter().cycle().take(300) {
        connections.push(TcpStream::connect(member.peer.peer_address).await);
    }
    for (position, listener) in listeners.into_iter().enumerate() {
        group.run_on(position, listener).await;
    }
    group.propose(b"first").await;
    assert!(connections.iter().all(Result::is_ok));
}
