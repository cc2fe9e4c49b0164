//! Binary frames: little-endian records of fixed size, followed by a tail of variable size.
//!
//! Records, actions and fields keep the names given in the page that describes the simulator's wire protocol,
//! rather than the scheduler's; `host` translates between them. Numbers in the code are offsets and codes
//! from that page.

mod read;
mod reply;

pub use read::read_batch;
pub use reply::Reply;

/// Size of an event record in bytes.
pub const EVENT_BYTES: usize = 56;
/// Size of an action record in bytes.
pub const ACTION_BYTES: usize = 32;

/// A store's address on the wire: four bytes of address and a port.
pub type Address = [u8; 6];

/// An entry of a sheet: one store of the endpoint list.
#[derive(Debug, PartialEq)]
pub struct Entry {
    /// The store's zone.
    pub zone: u16,
    /// Clock time in seconds at which the store last started; 0: long ago.
    pub started: f64,
    /// The shard that the store holds.
    pub shard: u16,
    /// The store's address.
    pub address: Address,
    /// 1: ready, 2: draining, 0: gone.
    pub state: u8,
}

/// A store's load report: values in the order of the setting `telemetry.fields`.
#[derive(Debug, PartialEq)]
pub struct Load(pub Vec<f32>);

/// An event for one instance.
#[derive(Debug, PartialEq)]
pub enum Record {
    /// The instance starts.
    OpenInstance {
        /// Seed of the instance's random numbers.
        seed: u64,
        /// Settings, one `path=value` pair per line.
        boot_info: String,
    },
    /// An update of the endpoint list.
    Registry {
        /// 0: changes, 1: a failure, 2: the complete list, 3: the complete list as last held.
        scope: u8,
        /// Number of the sheet that holds the entries.
        page: u32,
    },
    /// A client's request has arrived.
    Demand(Demand),
    /// The response to a request of a streamed class has started.
    Accepted {
        /// The request's id.
        tid: u64,
    },
    /// An attempt has ended.
    ReportBack(ReportBack),
    /// The client has disconnected.
    ClientLeft {
        /// The id of the client's request.
        tid: u64,
    },
    /// A timer has fired.
    Bell {
        /// The label given when the timer was set.
        label: u64,
    },
    /// The result of a health check.
    Pong {
        /// The store's address.
        address: Address,
        /// Code of the outcome.
        how: u16,
        /// The store's load report.
        load: Load,
    },
    /// A message from another instance; ignored.
    Datagram,
    /// The instance stops.
    Stop,
}

/// A client's request.
#[derive(Debug, PartialEq)]
pub struct Demand {
    /// The request's id.
    pub tid: u64,
    /// Size of the request in units.
    pub price_units: f32,
    /// The volume.
    pub owner: u64,
    /// The piece of data that the request accesses; 0: none.
    pub chunk: u64,
    /// The shard that holds the data; -1: a new object.
    pub home_cell: f32,
    /// Seconds until the client abandons the request.
    pub budget: f64,
    /// The volume's plan.
    pub policy: u32,
    /// The request's class.
    pub qos: u16,
    /// Number of instances through which the volume's requests may arrive.
    pub writers: f32,
}

/// The result of an attempt.
#[derive(Debug, PartialEq)]
pub struct ReportBack {
    /// The request's id.
    pub tid: u64,
    /// Index of the attempt, from 0.
    pub n: u8,
    /// The store's address.
    pub address: Address,
    /// Code of the outcome.
    pub how: u16,
    /// Seconds from the attempt's start.
    pub time_taken: f64,
    /// Whether the request has ended, by this outcome or earlier.
    pub complete: bool,
    /// 1 + the volume's use of its plan's rate over all instances in percent; 0: not reported.
    pub volume_use: u16,
    /// Units served for the volume through other instances since the shard's previous response to this one.
    pub delta: u16,
    /// The store's load report.
    pub load: Load,
}

/// One record of a batch.
#[derive(Debug, PartialEq)]
pub enum Item {
    /// Entries of the endpoint list, shared by all instances, to which registry records refer.
    Sheet {
        /// The sheet's number.
        page: u32,
        /// The stores that the sheet lists.
        entries: Vec<Entry>,
    },
    /// An event for one instance.
    Event {
        /// Number of the instance.
        instance: u16,
        /// The event.
        record: Record,
    },
}

/// The content of a frame.
#[derive(Debug, PartialEq)]
pub struct Batch {
    /// Clock time in seconds at which all events of the frame occur.
    pub now: f64,
    /// Records in order of arrival.
    pub items: Vec<Item>,
}
