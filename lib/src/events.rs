//! Numbered events of the log. `docs/EVENTS.md` lists them; a test holds both equal.

macro_rules! events {
    ($($(#[doc = $doc:literal])* $name:ident = $number:literal,)*) => {
        /// An event with a number that never changes its meaning.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Event {
            $($(#[doc = $doc])* $name = $number,)*
        }

        impl Event {
            /// All events, ordered by number.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the event's name.
            pub fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)* }
            }

            /// Returns what the event means.
            pub fn meaning(self) -> &'static str {
                match self { $(Self::$name => concat!($($doc),*).trim_ascii(),)* }
            }
        }
    };
}

events! {
    /// The daemon listens.
    Listening = 100,
    /// The daemon has all documents and takes queries.
    Ready = 101,
    /// The daemon was told to stop and takes nothing new.
    Leaving = 102,
    /// The daemon has finished its work and ends.
    Stopped = 103,
    /// The process was paused and forgets what it believed.
    Paused = 104,
    /// A published document is in force.
    DocumentApplied = 200,
    /// A published document is invalid and refused whole; the last one stays.
    DocumentInvalid = 201,
    /// A document older than the one in force was offered and refused.
    DocumentStale = 202,
    /// The platform cannot be read.
    PlatformUnreachable = 203,
    /// The platform can be read again.
    PlatformReachable = 204,
    /// A configuration is in force.
    ConfigurationApplied = 205,
    /// A configuration cannot be read and is refused whole; the last one stays.
    ConfigurationUnusable = 206,
    /// A configuration older than the one in force was offered and refused.
    ConfigurationStale = 207,
    /// An entry of a configuration cannot be used; the others are in force.
    EntryUnusable = 208,
    /// The settings were read again.
    SettingsRead = 209,
    /// Settings cannot be used; the last ones stay.
    SettingsUnusable = 210,
    /// The platform's history was lost and everything is listed anew.
    HistoryLost = 211,
    /// A leaf failed several times in a row and is left out for a while.
    LeafEjected = 300,
    /// A request broke a leaf's connection and is suspected.
    RequestSuspected = 301,
    /// A suspected request broke another connection on trial and is refused for a while.
    RequestBlocked = 302,
    /// Another leaf answers at a leaf's address; it is left out until it is listed anew.
    LeafMisdirected = 303,
    /// A response belongs to another call or cannot be read, and is dropped.
    ReplyUnmatched = 304,
    /// A leaf's entry came or changed.
    LeafUpdated = 305,
    /// A leaf's entry was removed.
    LeafRemoved = 306,
    /// A leaf that lapsed while the platform was away did not come back.
    LeafExpired = 307,
    /// A leaf's entry cannot be used; the others hold.
    LeafEntryUnusable = 308,
    /// A peer was heard for the first time in this run of it.
    PeerJoined = 400,
    /// A peer says that it is leaving.
    PeerLeaving = 402,
    /// A peer message failed its authentication.
    PeerAuthenticationFailed = 403,
    /// A peer was not heard for a while and is left out.
    PeerTimedOut = 404,
    /// A host that reads the platform for its zone failed this one, which reads for itself.
    ReaderLost = 405,
    /// The host that gathers what its zone sees of the leafs failed this one, which asks the next.
    GathererLost = 406,
    /// A request was answered.
    RequestAnswered = 500,
    /// A request was refused before any leaf was called; it has not run.
    RequestRefused = 501,
    /// A call was made beside or after another one for the same shard.
    CallRepeated = 502,
    /// A caller went away before its answer, or sent what cannot be read.
    CallerLost = 503,
    /// A call to a leaf brought no usable answer.
    CallLost = 504,
    /// A call beside or after another one was wanted, and the budget of extra calls did not allow it.
    CallDenied = 505,
    /// Log lines were dropped because the output did not take them in time.
    LogDropped = 600,
}

impl Event {
    /// Returns the event's number.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Logs the event as information.
    pub fn info(self, detail: &str) {
        tracing::info!(event = self.number(), name = self.name(), "{detail}");
    }

    /// Logs the event as a warning.
    pub fn warn(self, detail: &str) {
        tracing::warn!(event = self.number(), name = self.name(), "{detail}");
    }
}

/// Logs a numbered event with fields.
#[macro_export]
macro_rules! log_event {
    ($level:ident, $event:expr, $($fields:tt)*) => {{
        let event: $crate::events::Event = $event;
        tracing::$level!(event = event.number(), name = event.name(), $($fields)*)
    }};
}
