//! A worker ends by its id, whatever becomes of whoever holds it, and by itself when its orders end.

use std::path::Path;

use umbertray_scale::worker::{Order, Reply};
use umbertray_scale::worker_process::WorkerProcess;

fn folder(name: &str) -> std::path::PathBuf {
    let folder = std::env::temp_dir().join(format!("umbertray-scale-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// It is there, and not only as a remnant that nobody has waited for.
fn runs(id: u32) -> bool {
    let state = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let state = state.rsplit_once(')').map(|(_, rest)| rest.trim_start().to_string());
    state.is_some_and(|state| !state.starts_with('Z') && !state.is_empty())
}

async fn gone(id: u32) -> bool {
    for _ in 0..1000 {
        if !runs(id) {
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
    assert!(runs(first) && runs(second));
    drop(dropped);
    assert!(gone(first).await, "it was dropped and runs on");
    assert!(runs(second), "the other one was ended with it");
    drop(kept);
    assert!(gone(second).await);
    std::fs::remove_dir_all(folder).expect("it can be removed");
}

#[tokio::test(flavor = "multi_thread")]
async fn worker_process_holder_panics_is_killed() {
    let folder = folder("panic");
    let (tell, told) = tokio::sync::oneshot::channel();
    let log_folder = folder.clone();
    let panics = tokio::spawn(async move {
        let worker = WorkerProcess::start(Path::new("/bin/sleep"), &["600"], &log_folder, "sleeper")
            .expect("it starts");
        _ = tell.send(worker.id().expect("an id"));
        panic!("as a bug would");
    });
    let id = told.await.expect("an id");
    assert!(panics.await.is_err());
    assert!(gone(id).await, "its holder panicked and it runs on");
    std::fs::remove_dir_all(folder).expect("it can be removed");
}

#[tokio::test(flavor = "multi_thread")]
async fn worker_process_reply_is_no_reply_names_role_and_ends_with_input() {
    let folder = folder("echo");
    // It says back what it is told: no reply.
    let mut worker = WorkerProcess::start(Path::new("/bin/cat"), &[], &folder, "echo").expect("it starts");
    let id = worker.id().expect("an id");
    let error = worker.request(&Order::Restart { gateway: 7 }).await.expect_err("an order is no reply");
    assert!(error.to_string().contains("echo"), "{error}");
    worker.shut_down().await;
    assert!(gone(id).await);
    std::fs::remove_dir_all(folder).expect("it can be removed");
}

#[tokio::test(flavor = "multi_thread")]
async fn worker_process_exits_early_error_names_role_and_log() {
    let folder = folder("early");
    let mut worker = WorkerProcess::start(Path::new("/bin/true"), &[], &folder, "early").expect("it starts");
    let error = match worker.request(&Order::Look).await {
        Ok(Reply::Looked(_)) => panic!("nothing looked"),
        Ok(other) => panic!("{other:?}"),
        Err(error) => error.to_string(),
    };
    assert!(error.contains("early") && error.contains("early.log"), "{error}");
    std::fs::remove_dir_all(folder).expect("it can be removed");
}
