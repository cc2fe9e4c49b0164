//! What a soak plays: drawn from its seed alone, so that the seed and the size replay it.

use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use umbertray_fakes::proxy::LinkFault;

/// Shards, each with so many stores.
pub const SHARDS: u32 = 4;
/// Stores of each shard.
pub const STORES_A_SHARD: u32 = 2;
/// Faults begin after so long of quiet, and the last ones are over so long before the end.
const QUIET: Duration = Duration::from_millis(700);
/// One seed in so many has crowds of clients.
const CROWD_SEEDS: u64 = 3;
/// Faults for each gateway and ten seconds.
const FAULTS_A_GATEWAY: f64 = 10.0;

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

/// What comes with a SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Nothing.
    Plain,
    /// A right configuration and SIGHUP just before.
    ReloadBefore,
    /// The same just after.
    ReloadAfter,
    /// A second SIGTERM.
    Twice,
    /// SIGSTOP around it, for as long as a gateway may be held up.
    Stopped,
    /// The next start is told to end as well, before it is ready.
    BeforeReady,
}

const ENDINGS: [Ending; 8] = [
    Ending::Plain,
    Ending::Plain,
    Ending::Plain,
    Ending::ReloadBefore,
    Ending::ReloadAfter,
    Ending::Twice,
    Ending::Stopped,
    Ending::BeforeReady,
];

/// What happens to a gateway, a link or a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A link is disturbed.
    Link {
        /// Number of the gateway.
        gateway: u32,
        /// Which of its links.
        link: Link,
        /// How.
        fault: LinkFault,
    },
    /// SIGSTOP, then SIGCONT.
    Stop {
        /// Number of the gateway.
        gateway: u32,
    },
    /// SIGTERM among other signals, SIGKILL at the page's earliest, and a new start.
    Restart {
        /// Number of the gateway.
        gateway: u32,
        /// What comes with SIGTERM.
        ending: Ending,
    },
    /// SIGKILL, and a new start on the same port.
    Kill {
        /// Number of the gateway.
        gateway: u32,
    },
    /// Up to three configurations from this number on, right or wrong, each with SIGHUP.
    Configure {
        /// Number of the gateway.
        gateway: u32,
        /// Number of the first configuration.
        number: u32,
    },
    /// Idle clients and such with half a request, more than the descriptors suffice for.
    Crowd {
        /// Number of the gateway.
        gateway: u32,
    },
    /// A store answers nothing while it lasts.
    StoreHangs {
        /// Number of the store.
        store: u32,
    },
    /// A store answers errors, or turns requests away unrun.
    StoreFails {
        /// Number of the store.
        store: u32,
        /// Whether it rejects without running, or answers errors.
        unrun: bool,
    },
    /// A store ends connections in place of answers, before or after the request has run.
    StoreCloses {
        /// Number of the store.
        store: u32,
    },
    /// A store drains, is gone after that, and comes back.
    StoreDrains {
        /// Number of the store.
        store: u32,
    },
}

/// One fault in its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Planned {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What happens.
    pub fault: Fault,
}

/// A soak as it will be played.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// Number of gateways.
    pub gateways: u32,
    /// For how long faults are injected.
    pub lasts: Duration,
    /// System calls of the gateways fail, are interrupted and short now and then.
    pub failing_calls: bool,
    /// In the order of their beginnings; they overlap.
    pub faults: Vec<Planned>,
}

/// The command that plays the same again.
impl fmt::Display for Plan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Plan { seed, gateways, lasts, failing_calls, .. } = self;
        write!(
            formatter,
            "umbertray soak --seed {seed} --gateways {gateways} --seconds {}",
            lasts.as_secs()
        )?;
        if *failing_calls { formatter.write_str(" --failing-calls") } else { Ok(()) }
    }
}

impl Plan {
    /// Draws the faults of a seed.
    pub fn draw(seed: u64, gateways: u32, lasts: Duration) -> Plan {
        let mut draw = StdRng::seed_from_u64(seed);
        let crowds = seed.is_multiple_of(CROWD_SEEDS);
        let count = (f64::from(gateways) * FAULTS_A_GATEWAY * lasts.as_secs_f64() / 10.0).ceil() as usize;
        let latest = lasts.saturating_sub(3 * QUIET);
        let mut faults: Vec<Planned> = (0..count)
            .map(|number| {
                let at = draw.random_range(QUIET..latest.max(QUIET + Duration::from_millis(1)));
                let longest = lasts.saturating_sub(at + QUIET);
                let fault = fault(&mut draw, gateways, number as u32, crowds);
                Planned { at, lasts: span(&mut draw, fault).min(longest), fault }
            })
            .collect();
        faults.sort_by_key(|planned| planned.at);
        Plan { seed, gateways, lasts, failing_calls: false, faults }
    }
}

fn fault(draw: &mut StdRng, gateways: u32, number: u32, crowds: bool) -> Fault {
    let (gateway, store) = (draw.random_range(0..gateways), draw.random_range(0..SHARDS * STORES_A_SHARD));
    match draw.random_range(0..20) {
        0..9 => Fault::Link { gateway, link: link(draw, store), fault: link_fault(draw) },
        9..11 => Fault::Stop { gateway },
        11..13 => Fault::Restart { gateway, ending: *ENDINGS.choose(draw).unwrap_or(&Ending::Plain) },
        13 => Fault::Kill { gateway },
        14 => Fault::Configure { gateway, number },
        15 if crowds => Fault::Crowd { gateway },
        15 => Fault::Configure { gateway, number },
        16 => Fault::StoreHangs { store },
        17 => Fault::StoreFails { store, unrun: draw.random() },
        18 => Fault::StoreCloses { store },
        _ => Fault::StoreDrains { store },
    }
}

fn link(draw: &mut StdRng, store: u32) -> Link {
    match draw.random_range(0..6) {
        0 => Link::Clients,
        1 => Link::Discovery,
        _ => Link::Store(store),
    }
}

fn link_fault(draw: &mut StdRng) -> LinkFault {
    let delay = Duration::from_millis(draw.random_range(5..120));
    let faults = [
        LinkFault::Hold,
        LinkFault::Delay(delay),
        LinkFault::Trickle,
        LinkFault::Split,
        LinkFault::Reset,
        LinkFault::HalfClose,
    ];
    *faults.choose(draw).unwrap_or(&LinkFault::None)
}

fn span(draw: &mut StdRng, fault: Fault) -> Duration {
    let ms = match fault {
        // Within what the rules allow for, and far beyond it.
        Fault::Stop { .. } => *[60, 120, 150, 700].choose(draw).unwrap_or(&60),
        Fault::StoreDrains { .. } => draw.random_range(1500..3000),
        Fault::Link { fault: LinkFault::Reset, .. } => draw.random_range(1..150),
        _ => draw.random_range(100..2000),
    };
    Duration::from_millis(ms)
}
