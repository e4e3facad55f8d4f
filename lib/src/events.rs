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
    DocumentInForce = 200,
    /// A published document is invalid and refused whole; the last one stays.
    DocumentInvalid = 201,
    /// A document older than the one in force was offered and refused.
    DocumentStale = 202,
    /// The platform cannot be read.
    PlatformSilent = 203,
    /// The platform can be read again.
    PlatformHeard = 204,
    /// A leaf failed several times in a row and is left out for a while.
    LeafEjected = 300,
    /// A request broke a leaf's connection and is suspected.
    RequestSuspected = 301,
    /// A suspected request broke another connection on trial and is refused for a while.
    RequestCondemned = 302,
    /// A peer was heard for the first time in this run of it.
    PeerJoined = 400,
    /// A peer says that it is leaving.
    PeerLeaving = 402,
    /// A peer message failed its authentication.
    PeerForged = 403,
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
