//! One connection of the list service: requests and their responses, and the changes that a watch receives.

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

use super::directory::{Directory, lock, published_entry};
use crate::traffic::Traffic;

/// A response and the time at which to send it. Each response is delayed on its own, so that the delays of
/// several do not add up.
struct ScheduledResponse {
    due: Instant,
    response: FromList,
}

pub(super) async fn serve(
    stream: TcpStream,
    directory: Arc<Mutex<Directory>>,
    mut changes: broadcast::Receiver<u64>,
    traffic: Arc<Traffic>,
) {
    _ = stream.set_nodelay(true);
    let (mut reader, writer) = stream.into_split();
    let (to_writer, responses) = mpsc::unbounded_channel();
    tokio::select! {
        () = write_responses(writer, responses, &traffic) => {}
        () = read_requests(&mut reader, &directory, &mut changes, &to_writer, &traffic) => {}
    }
}

async fn write_responses(
    mut writer: OwnedWriteHalf,
    mut responses: mpsc::UnboundedReceiver<ScheduledResponse>,
    traffic: &Traffic,
) {
    while let Some(ScheduledResponse { due, response }) = responses.recv().await {
        tokio::time::sleep_until(due.into()).await;
        let frame = response.frame();
        if writer.write_all(&frame).await.is_err() {
            return;
        }
        traffic.count_written(frame.len(), 1);
    }
}

async fn read_requests(
    reader: &mut OwnedReadHalf,
    directory: &Mutex<Directory>,
    changes: &mut broadcast::Receiver<u64>,
    to_writer: &mpsc::UnboundedSender<ScheduledResponse>,
    traffic: &Traffic,
) {
    let mut input = BytesMut::new();
    let mut watching = false;
    loop {
        tokio::select! {
            read = reader.read_buf(&mut input) => {
                let Some(count) = read.ok().filter(|count| *count > 0) else { return };
                traffic.count_read(count);
                while let Ok(Some(request)) = next_frame::<ToList>(&mut input) {
                    watching |= request == ToList::Watch;
                    respond(&request, directory, to_writer);
                }
            }
            changed = changes.recv(), if watching => {
                if changed == Err(RecvError::Closed) {
                    return;
                }
                notify_watcher(changed.ok(), directory, to_writer);
            }
        }
    }
}

fn respond(
    request: &ToList,
    directory: &Mutex<Directory>,
    to_writer: &mpsc::UnboundedSender<ScheduledResponse>,
) {
    let mut directory = lock(directory);
    let due = Instant::now() + directory.delay;
    if let Some(response) = directory.response_to(request) {
        _ = to_writer.send(ScheduledResponse { due, response });
    }
}

/// Sends a watcher the entry of a changed store. `None` means that the watcher lagged too far behind: it
/// receives the complete list.
fn notify_watcher(
    changed: Option<u64>,
    directory: &Mutex<Directory>,
    to_writer: &mpsc::UnboundedSender<ScheduledResponse>,
) {
    let directory = lock(directory);
    let response = match changed {
        Some(store) => {
            directory.stores.get(&store).map(|listed| FromList::Changes(vec![published_entry(store, listed)]))
        }
        None => Some(directory.complete_list()),
    };
    let due = Instant::now() + directory.delay;
    if let Some(response) = response {
        _ = to_writer.send(ScheduledResponse { due, response });
    }
}
