//! The binary frames: records of fixed size and a tail, little-endian.
//!
//! Records, actions and their fields have the names that the wire's page gives them, not the scheduler's: `host`
//! translates. Numbers in code are offsets and codes of that page.

mod read;
mod reply;

pub use read::read_batch;
pub use reply::Reply;

/// Bytes of an event record.
pub const EVENT_BYTES: usize = 56;
/// Bytes of an action record.
pub const ACTION_BYTES: usize = 32;

/// A store as the wire names it: four bytes of address and a port.
pub type Address = [u8; 6];

/// An entry of a sheet: one store of the list.
#[derive(Debug, PartialEq)]
pub struct Entry {
    /// The zone that the store is in.
    pub zone: u16,
    /// The clock time in seconds at which the store last started; 0: long ago.
    pub started: f64,
    /// The shard that the store holds.
    pub shard: u16,
    /// Which store.
    pub address: Address,
    /// 1: ready, 2: draining, 0: gone.
    pub state: u8,
}

/// A store's load report: values in the order of the setting `telemetry.fields`.
#[derive(Debug, PartialEq)]
pub struct Load(pub Vec<f32>);

/// An event of one instance.
#[derive(Debug, PartialEq)]
pub enum Record {
    /// The instance starts.
    OpenInstance {
        /// Of its random numbers.
        seed: u64,
        /// Settings, a `path=value` pair a line.
        boot_info: String,
    },
    /// News of the list.
    Registry {
        /// 0: changes, 1: a failure, 2: the whole list, 3: the whole list as last held.
        scope: u8,
        /// The sheet that holds the entries.
        page: u32,
    },
    /// A client's request has arrived.
    Demand(Demand),
    /// The answer of a streamed class has started.
    Accepted {
        /// The request.
        tid: u64,
    },
    /// An attempt has ended.
    ReportBack(ReportBack),
    /// The client has left.
    ClientLeft {
        /// Its request.
        tid: u64,
    },
    /// A timer has come due.
    Bell {
        /// As picked when it was set.
        label: u64,
    },
    /// The result of a health check.
    Pong {
        /// The store.
        address: Address,
        /// The outcome's code.
        how: u16,
        /// The store's load report.
        load: Load,
    },
    /// A message of another instance, which is not used.
    Datagram,
    /// The instance stops.
    Stop,
}

/// A client's request.
#[derive(Debug, PartialEq)]
pub struct Demand {
    /// The request's id.
    pub tid: u64,
    /// Its size in units.
    pub price_units: f32,
    /// The volume.
    pub owner: u64,
    /// The piece of data; 0: none.
    pub chunk: u64,
    /// The shard that holds the data; -1: a new object.
    pub home_cell: f32,
    /// Seconds until the client abandons the request.
    pub budget: f64,
    /// The volume's plan.
    pub policy: u32,
    /// The request's class.
    pub qos: u16,
    /// Instances through which the volume's requests may arrive.
    pub writers: f32,
}

/// The end of an attempt.
#[derive(Debug, PartialEq)]
pub struct ReportBack {
    /// The request's id.
    pub tid: u64,
    /// The attempt's number, from 0.
    pub n: u8,
    /// The store.
    pub address: Address,
    /// The outcome's code.
    pub how: u16,
    /// Seconds from the attempt's start.
    pub time_taken: f64,
    /// The request has ended, by this outcome or earlier.
    pub complete: bool,
    /// 1 + the volume's use of its plan's rate over all instances, in percent; 0: not reported.
    pub volume_use: u16,
    /// Units served for the volume through other instances since the shard's last answer here.
    pub delta: u16,
    /// The store's load report.
    pub load: Load,
}

/// One record of a batch.
#[derive(Debug, PartialEq)]
pub enum Item {
    /// Entries that registries refer to, for all instances.
    Sheet {
        /// The sheet's number.
        page: u32,
        /// The stores that it lists.
        entries: Vec<Entry>,
    },
    /// An event.
    For {
        /// The instance that it concerns.
        instance: u16,
        /// What happened.
        record: Record,
    },
}

/// All that a frame holds.
#[derive(Debug, PartialEq)]
pub struct Batch {
    /// The clock in seconds, at which all of it happens.
    pub now: f64,
    /// In the order of arrival.
    pub items: Vec<Item>,
}
