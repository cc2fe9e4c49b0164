//! The volumes as NBD exports.

use std::sync::Arc;

use umbertray_nbd::proto::{CAN_MULTI_CONN, SEND_DF, SEND_FLUSH, SEND_FUA, SEND_TRIM, SEND_WRITE_ZEROES};
use umbertray_nbd::{BlockSizes, Export, Exports};
use umbertray_routing::Settings;
use umbertray_routing::settings::Volume;

/// Minimum length of a request's range, bytes.
const MINIMUM_BLOCK_BYTES: u32 = 512;
/// Preferred length of a request's range, bytes.
const PREFERRED_BLOCK_BYTES: u32 = 4096;

/// The exports for the volumes of the given settings.
pub(super) struct VolumeExports(pub(super) Arc<Settings>);

impl VolumeExports {
    fn export(&self, volume: &Volume) -> Export {
        // CAN_MULTI_CONN is allowed because a flush reaches all shards that hold extents of the volume,
        // whichever gateway wrote them. Several connections are therefore equivalent to one.
        let flags = SEND_FLUSH | SEND_FUA | SEND_TRIM | SEND_WRITE_ZEROES | SEND_DF | CAN_MULTI_CONN;
        let maximum = self.0.bounds.request_bytes;
        let preferred = PREFERRED_BLOCK_BYTES.min(maximum);
        Export {
            name: volume.name.clone(),
            description: format!("plan {}", self.0.plans[volume.plan].name),
            size: volume.size,
            flags,
            block_sizes: BlockSizes { minimum: MINIMUM_BLOCK_BYTES, preferred, maximum },
        }
    }
}

impl Exports for VolumeExports {
    fn find(&self, name: &str) -> Option<Export> {
        let index = self.0.volume_indices.get(name)?;
        Some(self.export(&self.0.volumes[*index]))
    }

    fn names(&self) -> Vec<String> {
        self.0.volumes.iter().filter(|volume| !volume.is_removed).map(|volume| volume.name.clone()).collect()
    }
}
