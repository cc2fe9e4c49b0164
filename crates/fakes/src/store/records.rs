//! Names and events in a store's record of attempts. Checks of the fault tests compare these names.

use umbertray_store_protocol::store::{Attempt, OperationKind, ResultCode};

use crate::event_log::StoreEvent;

/// The code's name in records, which the checks of the fault tests compare; it stays when the type's own
/// names change.
pub(super) fn recorded_code(code: ResultCode) -> &'static str {
    match code {
        ResultCode::Succeeded => "Acked",
        ResultCode::Failed => "Error",
        ResultCode::Rejected => "Full",
        ResultCode::Fenced => "Fenced",
        ResultCode::Cancelled => "Cancelled",
        ResultCode::ExtentNotHeld => "Elsewhere",
        ResultCode::StaleEpoch => "Stale",
    }
}

/// The operation's name in records; it stays when the type's own names change.
fn recorded_kind(kind: OperationKind) -> &'static str {
    match kind {
        OperationKind::Read => "Read",
        OperationKind::Write => "Write",
        OperationKind::Zero => "Zero",
        OperationKind::Trim => "Trim",
        OperationKind::Flush => "Flush",
        OperationKind::Status => "Status",
    }
}

/// The record of an attempt that arrived.
pub(super) fn received_event(run: u64, attempt: &Attempt) -> StoreEvent {
    let mark = attempt.data.first_chunk::<8>().map_or(0, |bytes| u64::from_be_bytes(*bytes));
    debug_assert!(attempt.kind != OperationKind::Write || attempt.data.len() == attempt.length as usize);
    StoreEvent::Received {
        run,
        number: attempt.number,
        op: attempt.op,
        volume: attempt.volume,
        extent: attempt.extent,
        work: recorded_kind(attempt.kind).into(),
        offset: attempt.offset,
        length: attempt.length,
        units: attempt.units,
        mark,
    }
}
