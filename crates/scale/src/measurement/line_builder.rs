//! Computes the lines of a measurement from the samples at its start and end.

use std::time::Duration;

use umbertray_fakes::traffic::TrafficCounts;

use super::applied_versions::{apply_delays, unapplied_messages};
use super::sample::Sample;
use super::usage::{MIB, ProcessUsage, load_average};
use super::{Line, Role, Testbed};

/// Traffic rates of a line, in bytes per second for both directions.
#[derive(Clone, Copy, Default)]
struct TrafficRates {
    control: f64,
    list: f64,
    links: f64,
}

/// Resources that the processes of a role used between the two samples.
struct RoleUsage {
    processes: usize,
    /// CPU time of all processes, in seconds.
    cpu: f64,
    /// Resident memory of all processes at the later sample, in bytes.
    rss: u64,
}

impl RoleUsage {
    fn between(before: &[ProcessUsage], after: &[ProcessUsage]) -> RoleUsage {
        let cpu: Duration =
            before.iter().zip(after).map(|(before, after)| after.cpu.saturating_sub(before.cpu)).sum();
        let rss = after.iter().map(|used| used.rss).sum();
        RoleUsage { processes: after.len(), cpu: cpu.as_secs_f64(), rss }
    }
}

/// Computes the lines of a measurement from the samples at its start and end.
pub(super) struct LineBuilder<'a> {
    testbed: &'a Testbed,
    point: &'a str,
    repeat: u32,
    before: &'a Sample,
    after: &'a Sample,
    seconds: f64,
    /// Bytes per second on the connections of the list.
    list_rate: f64,
    /// Bytes per second on the connections of the stores.
    link_rate: f64,
}

impl<'a> LineBuilder<'a> {
    pub(super) fn new(
        testbed: &'a Testbed,
        point: &'a str,
        repeat: u32,
        before: &'a Sample,
        after: &'a Sample,
    ) -> LineBuilder<'a> {
        let seconds = (after.at - before.at).as_secs_f64();
        let rate = |after: TrafficCounts, before: TrafficCounts| after.since(before).bytes() as f64 / seconds;
        let list_rate = rate(after.list_traffic, before.list_traffic);
        let link_rate = rate(after.link_traffic, before.link_traffic);
        LineBuilder { testbed, point, repeat, before, after, seconds, list_rate, link_rate }
    }

    /// The lines of all roles that the fleet has. `broken` is added to the hollow gateways' line.
    pub(super) fn lines(&self, broken: Vec<String>) -> Vec<Line> {
        let mut lines = Vec::new();
        if self.testbed.plan.hollow_gateways() > 0 {
            lines.push(self.hollow_gateways(broken));
        }
        if self.testbed.plan.real_gateways > 0 {
            lines.push(self.real_gateways());
        }
        if self.testbed.relays.is_some() {
            let usage = RoleUsage::between(&self.before.relays, &self.after.relays);
            lines.push(self.line(Some(Role::Relay), &usage, 1.0, TrafficRates::default()));
        }
        lines.extend([self.coordinator(), self.endpoint_list(), self.stores()]);
        lines
    }

    fn hollow_gateways(&self, broken: Vec<String>) -> Line {
        let hollow = f64::from(self.testbed.plan.hollow_gateways());
        let turns = self.after.turns.saturating_sub(self.before.turns);
        let usage = RoleUsage::between(&self.before.workers, &self.after.workers);
        Line {
            core_calls_per_second: turns as f64 / self.seconds / hollow,
            apply_delay_seconds: apply_delays(&self.testbed.committed_at, &self.testbed.applied),
            broken,
            ..self.line(None, &usage, hollow, self.rates_of_each_gateway())
        }
    }

    fn real_gateways(&self) -> Line {
        let real = f64::from(self.testbed.plan.real_gateways);
        let logged = self.testbed.applied_versions_from_logs();
        let usage = RoleUsage::between(&self.before.real, &self.after.real);
        Line {
            apply_delay_seconds: apply_delays(&self.testbed.committed_at, &logged),
            broken: unapplied_messages(self.testbed.plan.real_gateways, &self.testbed.committed_at, &logged),
            ..self.line(Some(Role::Gateway), &usage, real, self.rates_of_each_gateway())
        }
    }

    fn coordinator(&self) -> Line {
        let usage = RoleUsage::between(&[self.before.coordinator], &[self.after.coordinator]);
        self.line(Some(Role::Coordinator), &usage, 1.0, TrafficRates::default())
    }

    fn endpoint_list(&self) -> Line {
        let usage = RoleUsage::between(&[self.before.list], &[self.after.list]);
        let rates = TrafficRates { control: self.list_rate, list: self.list_rate, links: 0.0 };
        self.line(Some(Role::List), &usage, 1.0, rates)
    }

    fn stores(&self) -> Line {
        let usage = RoleUsage::between(&self.before.stores, &self.after.stores);
        let rates = TrafficRates { control: self.link_rate, list: 0.0, links: self.link_rate };
        self.line(Some(Role::Store), &usage, 1.0, rates)
    }

    fn rates_of_each_gateway(&self) -> TrafficRates {
        let gateways = f64::from(self.testbed.plan.gateways);
        TrafficRates {
            control: (self.list_rate + self.link_rate) / gateways,
            list: self.list_rate / gateways,
            links: self.link_rate / gateways,
        }
    }

    /// A role's line, with its usage divided by `members`.
    fn line(&self, role: Option<Role>, usage: &RoleUsage, members: f64, rates: TrafficRates) -> Line {
        let plan = &self.testbed.plan;
        Line {
            point: self.point.into(),
            repeat: self.repeat,
            role,
            gateways: plan.gateways,
            stores: plan.stores,
            answering: self.testbed.demand.answering,
            volumes: plan.volumes,
            hollow: plan.hollow_gateways(),
            processes: usage.processes as u32,
            seconds: self.seconds,
            changes_per_second: plan.changes_per_second,
            restarts_per_hour: plan.restarts_per_hour,
            start_seconds: self.testbed.start_duration.as_secs_f64(),
            start_bytes: self.testbed.start_bytes as f64 / f64::from(plan.gateways),
            idle_core_percent: usage.cpu / self.seconds * 100.0 / members,
            rss_mb: usage.rss as f64 / MIB / members,
            rss_total_mb: usage.rss as f64 / MIB,
            control_bytes_per_second: rates.control,
            list_bytes_per_second: rates.list,
            store_bytes_per_second: rates.links,
            core_calls_per_second: 0.0,
            changes: self.testbed.committed_at.len() as u32,
            restarts: self.testbed.restarts,
            apply_delay_seconds: None,
            load: load_average(),
            broken: Vec::new(),
        }
    }
}
