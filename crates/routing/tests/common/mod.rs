//! Settings of a small deployment.

use std::time::Duration;

use umbertray_routing::Settings;
use umbertray_routing::settings::*;
use umbertray_store_protocol::store::OperationKind;

const EXTENT: u32 = 8192;
pub(crate) const TIMEOUT: Duration = Duration::from_millis(1000);

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(crate) fn settings() -> Settings {
    let op_type = |name: &str, idempotency, ordered_by_key| OpType {
        name: name.into(),
        target_latency: ms(200),
        op_timeout: TIMEOUT,
        priority_weight: 1.0,
        idempotency,
        ordered_by_key,
    };
    let rule = |kinds: &[OperationKind], op_type| TypeRule { kinds: kinds.into(), max_length: None, op_type };
    Settings {
        op_types: vec![
            op_type("get", Idempotency::Idempotent, false),
            op_type("put", Idempotency::Idempotent, true),
            op_type("once", Idempotency::NotIdempotent, false),
        ],
        type_rules: vec![
            rule(&[OperationKind::Read, OperationKind::Status], 0),
            rule(&[OperationKind::Write, OperationKind::Flush], 1),
            rule(&[OperationKind::Zero], 2),
        ],
        plans: [Plan {
            name: "p".into(),
            weight: 1.0,
            rate: 1000.0,
            reserve: 0.0,
            limit: None,
            is_removed: false,
        }]
        .into(),
        volumes: [Volume { name: "v".into(), size: 1 << 20, plan: 0, gateways: 2, is_removed: false }].into(),
        volume_indices: [("v".to_string(), 0)].into_iter().collect(),
        gateways: 2,
        extent_bytes: EXTENT,
        unit_bytes: 4096,
        max_units: 4,
        mean_units: 1.5,
        max_attempts: 3,
        max_retry_after: ms(500),
        connect_timeout: ms(100),
        tick: ms(2),
        rules: rules(),
        bounds: Bounds {
            sessions: 10,
            requests_per_session: 100,
            bytes: 1 << 20,
            bytes_per_session: 1 << 20,
            request_bytes: 1 << 16,
            locations: 3,
        },
    }
}

fn rules() -> Rules {
    Rules {
        capacity: None,
        drain_grace: ms(500),
        slow_start_fraction: 0.5,
        slow_start_duration: ms(2000),
        slow_start_multiple: 2.0,
        slow_start_window: ms(500),
        slow_start_units: 50.0,
        key_pause: ms(100),
        retry_budget: None,
        poll_retry_interval: ms(1000),
    }
}
