use std::time::Duration;

use nix::sys::signal::Signal;
use umbertray_standin::platform::{Act, Discovery, ok};

use crate::common::{Node, config, op, within};

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_answers_what_was_taken_and_what_still_comes_and_ends() {
    let (mut node, store, _discovery) =
        Node::with_store(|_| Act::WriteAfter(Duration::from_millis(600), ok("in the end"))).await;
    let (mut taken, mut idle) = (node.connect().await, node.connect().await);
    taken.write(&op("look", 0, 1, 2000)).await;
    within(5, "the op at the store", store.until(|seen| !seen.is_empty())).await;
    node.signal(Signal::SIGTERM);
    // A connection that stands, and one that is new, are served while clients may still come.
    idle.write(&op("look", 0, 2, 2000)).await;
    let mut late = node.connect().await;
    late.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").await;
    let said = late.answer().await.expect("an answer");
    assert_eq!((said.head.status, said.head.persists), (503, false));
    for caller in [&mut taken, &mut idle] {
        let answer = caller.answer().await.expect("what was taken is answered");
        assert_eq!(
            (answer.head.status, &answer.body[..], answer.head.persists),
            (200, &b"in the end"[..], false)
        );
        assert_eq!(caller.answer().await, None);
    }
    assert!(node.ended().await.success());
}

#[tokio::test(flavor = "multi_thread")]
async fn sighup_moves_the_watch_and_keeps_the_list() {
    let (node, store, first) = Node::with_store(|_| Act::Write(ok("served"))).await;
    let second = Discovery::start().await.expect("loopback");
    second.list("s0", store.address, 0, "ready");
    within(5, "the first watch", first.until_asked(|asked| asked.len() >= 2)).await;
    std::fs::write(&node.config, "{\"name\":").expect("our own file");
    node.signal(Signal::SIGHUP);
    assert_eq!(node.connect().await.ask(&op("look", 0, 1, 2000)).await.0, 200, "a wrong file is not taken");
    std::fs::write(&node.config, config(second.address, 256)).expect("our own file");
    node.signal(Signal::SIGHUP);
    within(5, "the second watch", second.until_asked(|asked| asked.iter().any(|t| t.contains("watch=1"))))
        .await;
    let let_go = async {
        while first.watches() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    within(5, "the end of the first watch", let_go).await;
    assert_eq!(node.connect().await.ask(&op("look", 0, 2, 2000)).await.0, 200);
}
