//! The plan of a soak. Its only random source is the seed, so that the seed, the number of gateways and the
//! duration are enough to replay it.

use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use umbertray_fakes::proxy::LinkFault;

/// Number of shards.
pub const SHARDS: u32 = 4;
/// Number of stores of each shard.
pub const STORES_PER_SHARD: u32 = 2;
/// Time without faults at the beginning and at the end of a soak.
const QUIET_PERIOD: Duration = Duration::from_millis(700);
/// One seed in this many has crowds of clients.
const CROWD_SEED_INTERVAL: u64 = 3;
/// Faults per gateway in ten seconds.
const FAULTS_PER_GATEWAY: f64 = 10.0;

/// A link of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// To its clients.
    Clients,
    /// To discovery.
    Discovery,
    /// To this store.
    Store(u32),
}

/// How a process is terminated: what else happens around its SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Termination {
    /// SIGTERM alone.
    Plain,
    /// A valid configuration and SIGHUP just before SIGTERM.
    ReloadBefore,
    /// A valid configuration and SIGHUP just after SIGTERM.
    ReloadAfter,
    /// A second SIGTERM shortly after the first.
    Twice,
    /// SIGSTOP before and SIGCONT after SIGTERM, for the longest stall that a gateway must tolerate.
    Stalled,
    /// The restarted process also gets a SIGTERM, before it is ready.
    BeforeReady,
}

/// Terminations to draw from; [`Termination::Plain`] is drawn more often.
const TERMINATIONS: [Termination; 8] = [
    Termination::Plain,
    Termination::Plain,
    Termination::Plain,
    Termination::ReloadBefore,
    Termination::ReloadAfter,
    Termination::Twice,
    Termination::Stalled,
    Termination::BeforeReady,
];

/// A fault of a gateway, a link or a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A link is disturbed.
    Link {
        /// Number of the gateway.
        gateway: u32,
        /// Which of its links.
        link: Link,
        /// How the link is disturbed.
        fault: LinkFault,
    },
    /// A gateway is stalled: SIGSTOP, then SIGCONT.
    Stall {
        /// Number of the gateway.
        gateway: u32,
    },
    /// A gateway gets SIGTERM with other signals, then SIGKILL at the earliest time that the protocol page
    /// allows, and is started again.
    Restart {
        /// Number of the gateway.
        gateway: u32,
        /// What else happens around SIGTERM.
        termination: Termination,
    },
    /// A gateway gets SIGKILL, and is started again on the same port.
    Kill {
        /// Number of the gateway.
        gateway: u32,
    },
    /// A gateway gets up to three configurations from this number on, valid or not, each with SIGHUP.
    Configure {
        /// Number of the gateway.
        gateway: u32,
        /// Number of the first configuration.
        number: u32,
    },
    /// Idle clients, and clients with part of a request, open more connections than a gateway has file
    /// descriptors for.
    Crowd {
        /// Number of the gateway.
        gateway: u32,
    },
    /// A store sends no response during the fault.
    StoreStalls {
        /// Number of the store.
        store: u32,
    },
    /// A store responds with errors, or rejects requests without running them.
    StoreFails {
        /// Number of the store.
        store: u32,
        /// Whether it rejects requests without running them; otherwise it responds with errors.
        rejects: bool,
    },
    /// A store closes connections instead of responding, before or after the request has run.
    StoreCloses {
        /// Number of the store.
        store: u32,
    },
    /// A store drains, is then gone, and returns to service.
    StoreDrains {
        /// Number of the store.
        store: u32,
    },
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// When it begins, from the start of fault injection.
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// The fault.
    pub fault: Fault,
}

/// The plan of a soak.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// Number of gateways.
    pub gateways: u32,
    /// How long faults are injected.
    pub duration: Duration,
    /// Whether system calls of the gateways occasionally fail, are interrupted, or transfer less than
    /// requested.
    pub failing_calls: bool,
    /// Faults ordered by start time; they overlap.
    pub faults: Vec<PlannedFault>,
}

/// The command that replays the plan.
impl fmt::Display for Plan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Plan { seed, gateways, duration, failing_calls, .. } = self;
        write!(
            formatter,
            "umbertray soak --seed {seed} --gateways {gateways} --seconds {}",
            duration.as_secs()
        )?;
        if *failing_calls { formatter.write_str(" --failing-calls") } else { Ok(()) }
    }
}

impl Plan {
    /// Draws the faults of a seed.
    pub fn draw(seed: u64, gateways: u32, duration: Duration) -> Plan {
        let mut rng = StdRng::seed_from_u64(seed);
        let has_crowds = seed.is_multiple_of(CROWD_SEED_INTERVAL);
        let count =
            (f64::from(gateways) * FAULTS_PER_GATEWAY * duration.as_secs_f64() / 10.0).ceil() as usize;
        let latest = duration.saturating_sub(3 * QUIET_PERIOD);
        let mut faults: Vec<PlannedFault> = (0..count)
            .map(|number| {
                let at = rng.random_range(QUIET_PERIOD..latest.max(QUIET_PERIOD + Duration::from_millis(1)));
                let longest = duration.saturating_sub(at + QUIET_PERIOD);
                let fault = draw_fault(&mut rng, gateways, number as u32, has_crowds);
                PlannedFault { at, duration: draw_duration(&mut rng, fault).min(longest), fault }
            })
            .collect();
        faults.sort_by_key(|planned| planned.at);
        Plan { seed, gateways, duration, failing_calls: false, faults }
    }
}

fn draw_fault(rng: &mut StdRng, gateways: u32, number: u32, has_crowds: bool) -> Fault {
    let (gateway, store) = (rng.random_range(0..gateways), rng.random_range(0..SHARDS * STORES_PER_SHARD));
    match rng.random_range(0..20) {
        0..9 => Fault::Link { gateway, link: draw_link(rng, store), fault: draw_link_fault(rng) },
        9..11 => Fault::Stall { gateway },
        11..13 => {
            Fault::Restart { gateway, termination: *TERMINATIONS.choose(rng).unwrap_or(&Termination::Plain) }
        }
        13 => Fault::Kill { gateway },
        14 => Fault::Configure { gateway, number },
        15 if has_crowds => Fault::Crowd { gateway },
        15 => Fault::Configure { gateway, number },
        16 => Fault::StoreStalls { store },
        17 => Fault::StoreFails { store, rejects: rng.random() },
        18 => Fault::StoreCloses { store },
        _ => Fault::StoreDrains { store },
    }
}

fn draw_link(rng: &mut StdRng, store: u32) -> Link {
    match rng.random_range(0..6) {
        0 => Link::Clients,
        1 => Link::Discovery,
        _ => Link::Store(store),
    }
}

fn draw_link_fault(rng: &mut StdRng) -> LinkFault {
    let delay = Duration::from_millis(rng.random_range(5..120));
    let faults = [
        LinkFault::Stall,
        LinkFault::Delay(delay),
        LinkFault::Trickle,
        LinkFault::Split,
        LinkFault::Reset,
        LinkFault::HalfClose,
    ];
    *faults.choose(rng).unwrap_or(&LinkFault::None)
}

fn draw_duration(rng: &mut StdRng, fault: Fault) -> Duration {
    let ms = match fault {
        // Up to the longest stall that a gateway must tolerate (150 ms), and far beyond it.
        Fault::Stall { .. } => *[60, 120, 150, 700].choose(rng).unwrap_or(&60),
        Fault::StoreDrains { .. } => rng.random_range(1500..3000),
        Fault::Link { fault: LinkFault::Reset, .. } => rng.random_range(1..150),
        _ => rng.random_range(100..2000),
    };
    Duration::from_millis(ms)
}
