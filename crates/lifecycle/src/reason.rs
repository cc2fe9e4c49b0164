//! Reasons why a connection was closed, a request rejected, an attempt repeated or denied. Each has one name,
//! which logs and counters use.

/// What a [`Reason`] is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Category {
    /// A client's connection was closed.
    Close,
    /// A client's request was answered with an error without any attempt.
    Refusal,
    /// A further attempt of a request was made.
    Retry,
    /// An attempt was decided on, but denied before its first byte was written.
    Denial,
    /// A connection to a store was closed.
    StoreClose,
    /// A rule was violated.
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
    (
        $(#[$enum_doc:meta])*
        $name:ident in $category:ident { $($(#[$variant_doc:meta])* $variant:ident = $text:literal,)* }
    ) => {
        $(#[$enum_doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name { $($(#[$variant_doc])* $variant,)* }

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
    /// Why a client's connection was closed.
    CloseReason in Close {
        /// The client closed or reset it with no request open.
        PeerClosed = "peer_closed",
        /// The client closed or reset it with a request open.
        RequestCancelled = "request_cancelled",
        /// The request asked for the connection to be closed after its response.
        LastResponse = "last_response",
        /// The client sent bytes that are not an HTTP request, or a request that cannot be served.
        RequestInvalid = "request_refused",
        /// A request was not received completely in time.
        RequestReadTimeout = "request_read_timeout",
        /// No byte of a first request was received in time.
        FirstRequestTimeout = "first_request_timeout",
        /// It was idle for too long after a response.
        IdleTimeout = "idle_timeout",
        /// The client did not read a response in time.
        PeerNotReading = "peer_not_reading",
        /// Its file descriptor was needed for another connection, or none was available for it.
        NoCapacity = "no_capacity",
        /// The process is shutting down.
        Draining = "draining",
    }
}

reasons! {
    /// Why an attempt that was decided on must not begin.
    DenialReason in Denial {
        /// The request already has its final response.
        RequestEnded = "request_ended",
        /// The request's client has closed its connection.
        ClientGone = "client_gone",
        /// The attempt's deadline has passed.
        DeadlineExpired = "deadline_over",
        /// The endpoint list marks the store as gone, or no longer contains it.
        StoreGone = "store_gone",
        /// The store is draining, and the drain grace since this gateway was notified has expired.
        DrainGraceExpired = "drain_grace_over",
        /// An earlier attempt may have run, and the request is not idempotent or its deduplication window has
        /// passed.
        MayHaveRun = "may_have_run",
    }
}

reasons! {
    /// How the previous attempt ended, when a further one is made.
    RetryReason in Retry {
        /// No connection was established, or the request was not written completely.
        NotSent = "not_sent",
        /// The store rejected it without running it.
        Rejected = "rejected",
        /// The store answered with an error: it may have run.
        StoreError = "store_error",
        /// The connection ended after the last byte was written: it may have run.
        ConnectionLost = "connection_lost",
        /// No response was received in time: it may have run, or may still run.
        TimedOut = "timed_out",
        /// It was cancelled after its last byte was written: it may have run.
        Cancelled = "cancelled",
        /// It was denied before its first byte was written.
        Denied = "denied",
        /// It is still outstanding: the further attempt is a hedged attempt.
        Hedged = "hedged",
    }
}

reasons! {
    /// Why a request was answered with an error without any attempt.
    RejectionReason in Refusal {
        /// It is not an HTTP request, or one that cannot be served.
        Malformed = "malformed",
        /// It names no operation, or one that is not allowed.
        NotAnOperation = "not_an_operation",
        /// Another open request has the same id.
        DuplicateId = "duplicate_id",
        /// It was not received completely in time.
        RequestReadTimeout = "request_read_timeout",
        /// There is no capacity for its connection.
        NoCapacity = "no_capacity",
        /// There is no memory for it.
        NoMemory = "no_memory",
        /// Its client has sent more requests behind an open one than are kept.
        ReadAheadExceeded = "read_ahead_exceeded",
        /// The process is shutting down.
        Draining = "draining",
    }
}

reasons! {
    /// Why a connection to a store was closed.
    StoreCloseReason in StoreClose {
        /// It was idle for too long.
        IdleTimeout = "idle_timeout",
        /// The store closed it, or sent bytes on it, while no request was outstanding.
        UnexpectedData = "unexpected_data",
        /// Its file descriptor was needed for a connection to another store.
        Evicted = "evicted",
        /// The store is gone, or has another address.
        StoreGoneOrMoved = "store_left",
        /// The response announced that it is the last one, or was delimited by the end of the connection.
        LastResponse = "last_answer",
        /// The response could not be parsed, or ended before it was complete.
        ResponseMalformed = "answer_broken",
        /// The response needs more memory than is available for it.
        ResponseTooLarge = "answer_too_large",
        /// The attempt ended before its response was received: it timed out, was cancelled, or was not
        /// written completely.
        AttemptEnded = "attempt_ended",
    }
}

reasons! {
    /// A rule that was violated, detected at the point where the rule takes effect. Violations of time limits
    /// may be caused by a paused process; every other violation is a bug of this program.
    Violation in Violation {
        /// This side closed a connection with a response pending.
        ClosedWithPendingResponse = "closed_owing_response",
        /// The process exited with a response pending.
        ExitWithPendingResponse = "exit_owing_response",
        /// A client that stopped within a request got neither an error nor a close in time.
        MisbehavingClientKeptWaiting = "bad_client_kept_waiting",
        /// A request got its final response after its deadline and the slack.
        AnsweredLate = "answered_late",
        /// The time left that was sent to a store exceeded what the client had left when the last byte was
        /// written.
        TimeLeftOverstated = "time_left_overstated",
    }
}
