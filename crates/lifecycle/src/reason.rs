//! Why a connection was closed, a request refused, an attempt repeated or denied. One name each, in logs and counters.

/// What a [`Reason`] is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Category {
    /// A client's connection was closed.
    Close,
    /// A client's request got an error without an attempt.
    Refusal,
    /// A further attempt of a request was made.
    Retry,
    /// An attempt was decided on, and denied at its first byte.
    Denial,
    /// A connection to a store was closed.
    StoreClose,
    /// A rule was not kept.
    Violation,
}

impl Category {
    /// The name in logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Category::Close => "close",
            Category::Refusal => "refusal",
            Category::Retry => "retry",
            Category::Denial => "denial",
            Category::StoreClose => "store_close",
            Category::Violation => "violation",
        }
    }
}

/// A typed reason, counted under its category and name.
pub trait Reason: Copy {
    /// What the reason is about.
    const CATEGORY: Category;
    /// The name in logs and counters, in snake case.
    fn name(self) -> &'static str;
}

macro_rules! reasons {
    ($(#[$about:meta])* $name:ident in $category:ident { $($(#[$doc:meta])* $variant:ident = $text:literal,)* }) => {
        $(#[$about])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name { $($(#[$doc])* $variant,)* }

        impl Reason for $name {
            const CATEGORY: Category = Category::$category;
            fn name(self) -> &'static str {
                match self { $($name::$variant => $text,)* }
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str(self.name())
            }
        }
    };
}

reasons! {
    /// Why a client's connection came to its end.
    CloseReason in Close {
        /// The client closed or reset it with no request open.
        PeerClosed = "peer_closed",
        /// The client closed or reset it with a request open.
        RequestCancelled = "request_cancelled",
        /// The request asked for a close after its response.
        LastResponse = "last_response",
        /// What was sent is no request, or one that cannot be served.
        RequestRefused = "request_refused",
        /// A request did not come whole in its time.
        RequestReadTimeout = "request_read_timeout",
        /// No byte of a first request came in its time.
        FirstRequestTimeout = "first_request_timeout",
        /// It was idle for too long after a response.
        IdleTimeout = "idle_timeout",
        /// The client did not read a response in its time.
        PeerNotReading = "peer_not_reading",
        /// Its descriptor was needed for another connection, or there was none for it.
        NoCapacity = "no_capacity",
        /// The process ends.
        Draining = "draining",
    }
}

reasons! {
    /// Why an attempt that was decided on must not begin.
    DenialReason in Denial {
        /// The request has its final answer.
        RequestEnded = "request_ended",
        /// The request's client has closed its connection.
        ClientGone = "client_gone",
        /// The attempt's time is over.
        DeadlineOver = "deadline_over",
        /// The store is gone from the list.
        StoreGone = "store_gone",
        /// The store drains, and the grace since this gateway was notified is over.
        DrainGraceOver = "drain_grace_over",
        /// An earlier attempt may have run, and the request must not run twice, or may not by now.
        MayHaveRun = "may_have_run",
    }
}

reasons! {
    /// How the attempt before a further one ended.
    RetryReason in Retry {
        /// No connection came up, or not all of the request was written.
        NotSent = "not_sent",
        /// The store rejected it without running it.
        Rejected = "rejected",
        /// The store answered with an error: it may have run.
        StoreError = "store_error",
        /// The connection ended after the last byte: it may have run.
        ConnectionLost = "connection_lost",
        /// No answer came in its time: it may have run, or may yet.
        TimedOut = "timed_out",
        /// It was cancelled after its last byte: it may have run.
        Cancelled = "cancelled",
        /// It was denied at its first byte.
        Denied = "denied",
        /// It is still out: this is a hedged request.
        Hedged = "hedged",
    }
}

reasons! {
    /// Why a request got an error with no attempt made.
    RefusalReason in Refusal {
        /// It is no HTTP request, or none that can be served.
        Malformed = "malformed",
        /// It names no operation, or one that is not allowed.
        NotAnOperation = "not_an_operation",
        /// An open request has its id.
        DuplicateId = "duplicate_id",
        /// It did not come whole in its time.
        RequestReadTimeout = "request_read_timeout",
        /// There is no capacity for its connection.
        NoCapacity = "no_capacity",
        /// The process ends.
        Draining = "draining",
    }
}

reasons! {
    /// Why a connection to a store was closed.
    StoreCloseReason in StoreClose {
        /// It was idle for too long.
        IdleTimeout = "idle_timeout",
        /// It ended, or bytes came on it, with nothing asked.
        UnexpectedData = "unexpected_data",
        /// Its descriptor was needed for another store.
        Evicted = "evicted",
        /// The store is gone, or at another address.
        StoreLeft = "store_left",
        /// The answer said that it is the last, or its end was the end of the connection.
        LastAnswer = "last_answer",
        /// What came cannot be read, or ended before it was whole.
        AnswerBroken = "answer_broken",
        /// The answer needs more memory than there is for it.
        AnswerTooLarge = "answer_too_large",
        /// The attempt ended before its answer came: timed out, cancelled, or never written whole.
        AttemptEnded = "attempt_ended",
    }
}

reasons! {
    /// A rule that was not kept where its effect happens. Those of time may come of a process that was held up; each other
    /// is a fault of this program.
    Violation in Violation {
        /// A connection was closed by this side with a response owed.
        ClosedOwingResponse = "closed_owing_response",
        /// The process ended with a response owed.
        ExitOwingResponse = "exit_owing_response",
        /// A client that stopped within a request had no error and no close in time.
        BadClientKeptWaiting = "bad_client_kept_waiting",
        /// A request had its final answer later than its time and the slack.
        AnsweredLate = "answered_late",
        /// The time told to a store was more than what the client had left when the last byte was written.
        TimeLeftOverstated = "time_left_overstated",
    }
}
