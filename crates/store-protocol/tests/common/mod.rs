//! Sample messages that several tests use.

use umbertray_store_protocol::orders::{ExecutedOp, ExtentContent, ExtentRange, Order};

const RANGE: ExtentRange = ExtentRange { volume: 1, start: 2, end: 9 };
pub(crate) const EXECUTED_OP: ExecutedOp =
    ExecutedOp { gateway_run: 1, op: 2, extent: 3, remaining_micros: 4 };

/// One order of each kind; `content` is that of the put.
pub(crate) fn orders(content: ExtentContent) -> [Order; 12] {
    let (range, epoch) = (RANGE, 6);
    [
        Order::Prepare { range, epoch },
        Order::TrackChanges { range },
        Order::FetchNext { range, copied: Some((3, 4)) },
        Order::Put { range, epoch, content },
        Order::Fence { range, epoch },
        Order::FetchExecuted { range },
        Order::RecordExecuted { range, epoch, executed_ops: vec![EXECUTED_OP] },
        Order::Sync { range, epoch },
        Order::Activate { range, epoch },
        Order::Reactivate { range, epoch },
        Order::Clear { range, epoch },
        Order::StopTracking { range },
    ]
}
