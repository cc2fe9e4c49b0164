//! One connection of the list service: calls and their answers, and a watch's changes.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::{broadcast, mpsc};
use umbertray_store_protocol::list::{FromList, ToList};
use umbertray_store_protocol::{Message, next_frame};

use super::directory::{Directory, lock, published};
use crate::traffic::Traffic;

/// An answer, and when it is due: a late list is late with each, not with one after another.
struct ScheduledAnswer {
    due: Instant,
    answer: FromList,
}

pub(super) async fn serve(
    stream: TcpStream,
    directory: Arc<Mutex<Directory>>,
    mut changes: broadcast::Receiver<u64>,
    traffic: Arc<Traffic>,
) {
    _ = stream.set_nodelay(true);
    let (mut reader, writer) = stream.into_split();
    let (to_writer, answers) = mpsc::unbounded_channel();
    tokio::select! {
        () = write_answers(writer, answers, &traffic) => {}
        () = read_calls(&mut reader, &directory, &mut changes, &to_writer, &traffic) => {}
    }
}

async fn write_answers(
    mut writer: OwnedWriteHalf,
    mut answers: mpsc::UnboundedReceiver<ScheduledAnswer>,
    traffic: &Traffic,
) {
    while let Some(ScheduledAnswer { due, answer }) = answers.recv().await {
        tokio::time::sleep_until(due.into()).await;
        let frame = answer.frame();
        if writer.write_all(&frame).await.is_err() {
            return;
        }
        traffic.count_written(frame.len(), 1);
    }
}

async fn read_calls(
    reader: &mut OwnedReadHalf,
    directory: &Mutex<Directory>,
    changes: &mut broadcast::Receiver<u64>,
    to_writer: &mpsc::UnboundedSender<ScheduledAnswer>,
    traffic: &Traffic,
) {
    let mut input = BytesMut::new();
    let mut watching = false;
    loop {
        tokio::select! {
            read = reader.read_buf(&mut input) => {
                let Some(count) = read.ok().filter(|count| *count > 0) else { return };
                traffic.count_read(count);
                while let Ok(Some(call)) = next_frame::<ToList>(&mut input) {
                    watching |= call == ToList::Watch;
                    answer_call(&call, directory, to_writer);
                }
            }
            changed = changes.recv(), if watching => {
                if changed == Err(RecvError::Closed) {
                    return;
                }
                report_change(changed.ok(), directory, to_writer);
            }
        }
    }
}

fn answer_call(
    call: &ToList,
    directory: &Mutex<Directory>,
    to_writer: &mpsc::UnboundedSender<ScheduledAnswer>,
) {
    let mut directory = lock(directory);
    let due = Instant::now() + directory.delay;
    if let Some(answer) = directory.answer(call) {
        _ = to_writer.send(ScheduledAnswer { due, answer });
    }
}

/// Tells a watcher of a changed store; without one, it lags too far behind and gets the whole list.
fn report_change(
    changed: Option<u64>,
    directory: &Mutex<Directory>,
    to_writer: &mpsc::UnboundedSender<ScheduledAnswer>,
) {
    let directory = lock(directory);
    let answer = match changed {
        Some(store) => {
            directory.stores.get(&store).map(|listed| FromList::Changes(vec![published(store, listed)]))
        }
        None => Some(directory.full()),
    };
    let due = Instant::now() + directory.delay;
    if let Some(answer) = answer {
        _ = to_writer.send(ScheduledAnswer { due, answer });
    }
}
