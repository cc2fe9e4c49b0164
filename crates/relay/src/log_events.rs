//! Logging of the node's events.

use umbertray_control_plane::relay::RelayEvent;

/// Logs an event of the node for operators.
pub(crate) fn log(event: RelayEvent) {
    match event {
        RelayEvent::Following { upstream, after } => {
            tracing::info!(upstream, after = after.version, "started following upstream");
        }
        RelayEvent::UpstreamDisconnected { upstream, reason, backoff } => {
            let backoff_seconds = backoff.as_secs_f64();
            tracing::warn!(upstream, %reason, backoff_seconds, "upstream disconnected");
        }
        RelayEvent::LoopDetected { upstream, path } => {
            tracing::error!(upstream, ?path, "relay loop detected; peer rejected");
        }
        RelayEvent::Disagreement { upstream, version } => {
            tracing::error!(upstream, version, "upstreams reported different histories");
        }
        RelayEvent::DivergentHistory { version } => {
            tracing::error!(version, "committed history contradicted by quorum");
        }
        RelayEvent::FolderRejected { version } => tracing::error!(version, "folder log rejected"),
        RelayEvent::CheckpointQuorumMissing { version } => {
            tracing::warn!(version, "checkpoint quorum missing");
        }
        RelayEvent::CheckpointLoaded { position, upstream } => {
            tracing::info!(version = position.version, upstream, "checkpoint loaded");
        }
        RelayEvent::FollowerBehind { follower, after } => {
            tracing::info!(follower, after, "follower needs a checkpoint");
        }
        RelayEvent::FollowerDisconnected { follower, reason } => {
            tracing::warn!(follower, %reason, "follower disconnected");
        }
        RelayEvent::InvalidProgress { follower, reason } => {
            tracing::warn!(follower, reason, "progress summary rejected");
        }
        RelayEvent::SuffixOutgrown { version } => {
            tracing::warn!(version, "log suffix outgrew checkpoint");
        }
    }
}
