//! Replicas over real loopback connections and real files.

#[path = "support/replica_group.rs"]
mod replica_group;

use assert_matches::assert_matches;
use marjoramknot::replica::ProposeError;
use replica_group::{Group, eventually};
use rstest::rstest;

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
async fn follower_refuses() {
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
                let mut taken = Vec::new();
                for number in 0..u8::MAX {
                    match handle.propose(vec![writer, number]).await {
                        Ok(applied) => taken.push(applied.reply),
                        Err(error) => return (taken, error),
                    }
                }
                panic!("the leader stops before all is proposed")
            })
        })
        .collect();
    group.wait_applied(old, &[0, 3]).await;
    group.stop(old).await;
    let new = group.leader().await;
    group.propose(b"last").await;
    let commands = group.commands(new);
    for writer in writers {
        let (taken, error) = writer.await.expect("the writer does not panic");
        assert!(!taken.is_empty());
        assert!(taken.iter().all(|command| commands.contains(command)));
        // The refusal is definite: nothing that was taken failed.
        assert_matches!(error, ProposeError::NotLeader | ProposeError::Stopped);
    }
}

#[rstest]
#[case(4_096)]
#[case(16)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restart_keeps_state(#[case] snapshot_records: u64) {
    let (mut group, listeners) = Group::bind(3).await;
    group.snapshot_records = snapshot_records;
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
