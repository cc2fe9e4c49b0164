//! A worker process is killed by its id when its handle is dropped, also by a panic, and exits by itself when
//! its standard input ends.

use std::path::Path;

use umbertray_scale::worker::{Reply, WorkerCommand};
use umbertray_scale::worker_process::WorkerProcess;

fn folder(name: &str) -> std::path::PathBuf {
    let folder = std::env::temp_dir().join(format!("umbertray-scale-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// Whether the process exists and is not a zombie.
fn is_running(id: u32) -> bool {
    let state = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let state = state.rsplit_once(')').map(|(_, fields)| fields.trim_start().to_string());
    state.is_some_and(|state| !state.starts_with('Z') && !state.is_empty())
}

/// Waits for the process to end, for about 10 s; returns whether it has ended.
async fn has_ended(id: u32) -> bool {
    for _ in 0..1000 {
        if !is_running(id) {
            return true;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
    false
}

#[tokio::test(flavor = "multi_thread")]
async fn worker_process_dropped_is_killed_and_no_other() {
    let folder = folder("dropped");
    let start =
        || WorkerProcess::start(Path::new("/bin/sleep"), &["600"], &folder, "sleeper").expect("it starts");
    let (dropped, kept) = (start(), start());
    let (first, second) = (dropped.id().expect("an id"), kept.id().expect("an id"));
    assert!(is_running(first) && is_running(second));
    drop(dropped);
    assert!(has_ended(first).await, "the process of the dropped handle is still running");
    assert!(is_running(second), "the process of the other handle has ended too");
    drop(kept);
    assert!(has_ended(second).await);
    std::fs::remove_dir_all(folder).expect("it can be removed");
}

#[tokio::test(flavor = "multi_thread")]
async fn worker_process_holder_panics_is_killed() {
    let folder = folder("panic");
    let (id_sender, id_receiver) = tokio::sync::oneshot::channel();
    let log_folder = folder.clone();
    let holder = tokio::spawn(async move {
        let worker = WorkerProcess::start(Path::new("/bin/sleep"), &["600"], &log_folder, "sleeper")
            .expect("it starts");
        _ = id_sender.send(worker.id().expect("an id"));
        panic!("the test's panic");
    });
    let id = id_receiver.await.expect("an id");
    assert!(holder.await.is_err());
    assert!(has_ended(id).await, "the process is still running after its holder panicked");
    std::fs::remove_dir_all(folder).expect("it can be removed");
}

#[tokio::test(flavor = "multi_thread")]
async fn worker_process_with_invalid_reply_is_named_in_error_and_exits_at_end_of_input() {
    let folder = folder("echo");
    // `cat` sends each command back, which is not a valid reply.
    let mut worker = WorkerProcess::start(Path::new("/bin/cat"), &[], &folder, "echo").expect("it starts");
    let id = worker.id().expect("an id");
    let error = worker
        .request(&WorkerCommand::Restart { gateway: 7 })
        .await
        .expect_err("a command is not a valid reply");
    assert!(error.to_string().contains("echo"), "{error}");
    worker.shut_down().await;
    assert!(has_ended(id).await);
    std::fs::remove_dir_all(folder).expect("it can be removed");
}

#[tokio::test(flavor = "multi_thread")]
async fn worker_process_exits_early_error_names_role_and_log() {
    let folder = folder("early");
    let mut worker = WorkerProcess::start(Path::new("/bin/true"), &[], &folder, "early").expect("it starts");
    let error = match worker.request(&WorkerCommand::Observe).await {
        Ok(Reply::Observed(_)) => panic!("/bin/true replied with observations"),
        Ok(other) => panic!("{other:?}"),
        Err(error) => error.to_string(),
    };
    assert!(error.contains("early") && error.contains("early.log"), "{error}");
    std::fs::remove_dir_all(folder).expect("it can be removed");
}
