//! Numbered events of the log. `docs/EVENTS.md` lists them; a test checks that both agree.

macro_rules! events {
    ($($(#[doc = $doc:literal])* $name:ident = $number:literal,)*) => {
        /// Event of the log, identified by a number whose meaning never changes.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Event {
            $($(#[doc = $doc])* $name = $number,)*
        }

        impl Event {
            /// All events, in the order of their numbers.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the event's name, as in the field `name` of a log line.
            pub fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)* }
            }

            /// Returns the event's description for operators, as in `docs/EVENTS.md`.
            pub fn meaning(self) -> &'static str {
                match self { $(Self::$name => concat!($($doc),*).trim_ascii(),)* }
            }
        }
    };
}

events! {
    /// The process listens and accepts connections.
    Listening = 100,
    /// The daemon has all documents and accepts queries.
    Ready = 101,
    /// The process is shutting down: it is no longer ready and finishes the requests in progress.
    Leaving = 102,
    /// The process has finished its requests and exits.
    Stopped = 103,
    /// The process was paused or its host was suspended; the state received from the platform and
    /// from peers is read again.
    Paused = 104,
    /// A published document was applied.
    DocumentApplied = 200,
    /// A published document is invalid and was refused as a whole; the previous one stays in force.
    DocumentInvalid = 201,
    /// A document was refused because it is not newer than the one in force.
    DocumentStale = 202,
    /// The platform cannot be read.
    PlatformUnreachable = 203,
    /// The platform can be read again.
    PlatformReachable = 204,
    /// A configuration was applied.
    ConfigurationApplied = 205,
    /// A configuration cannot be decoded and was refused as a whole; the previous one stays in
    /// force.
    ConfigurationUnusable = 206,
    /// A configuration was refused because it is not newer than the one in force.
    ConfigurationStale = 207,
    /// An entry of a configuration is invalid and was left out; the other entries are in force.
    EntryUnusable = 208,
    /// The settings were read again; new seeds are applied.
    SettingsRead = 209,
    /// A setting or the settings file cannot be used; a default or the previous settings apply.
    SettingsUnusable = 210,
    /// The platform no longer has the changes after the last revision read; everything is read
    /// again.
    HistoryLost = 211,
    /// The platform has come back from an older copy of its data; what serves is kept, and everything
    /// is read again.
    StoreEraChanged = 212,
    /// Changes of another era than the known one were not applied: they are older, or do not start a
    /// later era.
    StoreEraIgnored = 213,
    /// A configuration of a lower version was published after the platform came back from an older
    /// copy; it comes into force unless another one is published shortly after it.
    ConfigurationHeld = 214,
    /// An entry names a home region that is not a region of any zone. Its requests are served in its
    /// other homes only, and refused if it has no other.
    HomeUnknown = 215,
    /// The operator has evacuated a zone: its leafs get no requests.
    ZoneEvacuated = 216,
    /// The operator has withdrawn the evacuation of a zone.
    EvacuationEnded = 217,
    /// The operator has evacuated a zone that the settings do not name.
    EvacuatedZoneUnknown = 218,
    /// A host of an earlier build, which does not know evacuations, sent changes. Evacuations may be
    /// missing until they are read from the platform or another host.
    EvacuationsMissing = 219,
    /// A leaf failed several times in a row and gets no calls for a while.
    LeafEjected = 300,
    /// A leaf was lost while a request ran on it; the request is suspected of crashing leafs and
    /// runs as a probe, a single call, until it is answered.
    RequestSuspected = 301,
    /// A suspected request has crashed enough leafs, a probe's among them, and is refused for a
    /// while.
    RequestBlocked = 302,
    /// Another leaf answers at a leaf's address; the leaf gets no calls for a while or until its
    /// address changes.
    LeafMisdirected = 303,
    /// A leaf's reply belongs to another call or cannot be decoded and was dropped.
    ReplyUnmatched = 304,
    /// A published entry of a leaf was read; the field `taken` says whether it is newer than the
    /// known one.
    LeafUpdated = 305,
    /// The entry of a leaf was removed.
    LeafRemoved = 306,
    /// The entry of a leaf expired while the platform was unreachable and was not renewed; the leaf
    /// is dropped.
    LeafExpired = 307,
    /// The entry of a leaf is invalid and was ignored; the entries of other leafs are in force.
    LeafEntryUnusable = 308,
    /// A leaf was found lost after a call to it that was not answered; the field `crashes` counts
    /// the leafs lost under this request.
    LeafCrashed = 309,
    /// A suspected or blocked request was answered by a leaf and runs like any other again.
    RequestCleared = 310,
    /// A leaf names how many requests a second it takes from all hosts together, or changes it by
    /// more than a tenth; the fields `sent` and `repeated` count this host's calls to it so far.
    LeafLimitNamed = 311,
    /// A leaf no longer names a limit of requests.
    LeafLimitEnded = 312,
    /// A leaf names a limit of requests that cannot be read; the one known before stays in force.
    LeafLimitUnreadable = 313,
    /// No leaf answers or accepts a connection any more: this host is cut off from the leafs, or all
    /// of them are lost.
    LeafsUnreachable = 314,
    /// A leaf answers or accepts a connection again.
    LeafsReachable = 315,
    /// A leaf says itself that it is leaving, whatever its entry says; it gets no calls until it
    /// starts again.
    LeafLeaving = 316,
    /// A leaf names a time for which it wants no calls of this host, and gets none until then.
    LeafPaused = 317,
    /// A leaf names a time for which it wants no calls that cannot be read; it is ignored.
    LeafPauseUnreadable = 318,
    /// A leaf states a load that cannot be read; it is ignored. Logged once a leaf.
    LeafLoadUnreadable = 325,
    /// A leaf has started or recovered, and gets a part of its calls, which grows while its answers
    /// keep up; the field `cause` says why.
    LeafReturning = 320,
    /// A returning leaf does not keep up, and gets a smaller part of its calls; logged at most once a
    /// second.
    LeafPaceFallen = 321,
    /// A returning leaf gets its full share of calls again.
    LeafReturned = 322,
    /// A leaf is cold, and all hosts together keep their calls within a bound; the field `part` is
    /// the number of calls that this host may send it in any second.
    ColdLeafBounded = 323,
    /// A peer was discovered for the first time or after a restart.
    PeerJoined = 400,
    /// A peer is shutting down.
    PeerLeaving = 402,
    /// A message from a peer failed authentication and was refused.
    PeerAuthenticationFailed = 403,
    /// Nothing new was reported of a peer for a while; it no longer counts as running.
    PeerTimedOut = 404,
    /// The host that reads the platform for this zone failed; this host reads the platform itself.
    ReaderLost = 405,
    /// The host that aggregates the zone's call reports failed; this host uses the next one.
    AggregatorLost = 406,
    /// The host that divides the limits of leafs failed; this host uses the next one.
    LimitDividerLost = 407,
    /// A host that was asked for loans of extra calls did not answer or does not lend; this host
    /// asks others.
    LenderLost = 408,
    /// A request was answered.
    RequestAnswered = 500,
    /// A request was refused before any leaf was called; it has not run.
    RequestRefused = 501,
    /// A hedge or retry was sent to a leaf.
    CallRepeated = 502,
    /// A caller disconnected before its answer, or a caller's connection could not be accepted.
    CallerLost = 503,
    /// A call to a leaf ended without a usable reply.
    CallLost = 504,
    /// A hedge or retry was not sent because the budget for extra calls was used up.
    CallDenied = 505,
    /// A request was answered through another host, as this one does not reach the leafs.
    RequestForwarded = 506,
    /// Passing a request on to another host failed; it is passed on to the next one if it may run
    /// again.
    ForwardingFailed = 507,
    /// A request was refused, or ended before its deadline, because it was not expected to be
    /// answered in time; the log line names the cause and how late the answer would have been.
    RequestInfeasible = 512,
    /// A caller uses more than its fair part of this host; its request waits behind those of others
    /// wherever requests wait.
    CallerAbovePart = 513,
    /// A caller's connection was closed, as it had not read its answer for long and the memory was
    /// needed.
    SlowReaderClosed = 514,
    /// A request was refused before it was read, as too many answers wait for callers that do not
    /// read them; it has not run.
    MemoryShort = 515,
    /// Hedges or retries were denied in the last window, also if they were allowed later; the fields
    /// sum the groups of leafs that were short, and name the one with the most denials.
    ExtraCallsShort = 508,
    /// A request was answered through a faster host of the zone.
    RequestPassedOn = 518,
    /// A faster host of the zone was found; requests may be passed on to it.
    FasterHostFound = 519,
    /// A faster host of the zone did not answer or lost a request; it is not used for a while.
    FasterHostLost = 520,
    /// Log lines were dropped because the output did not accept them fast enough.
    LogDropped = 600,
}

impl Event {
    /// Returns the event's number, as in the field `event` of a log line.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Logs the event at level info, with `detail` as its message.
    pub fn info(self, detail: &str) {
        tracing::info!(event = self.number(), name = self.name(), "{detail}");
    }

    /// Logs the event at level warn, with `detail` as its message.
    pub fn warn(self, detail: &str) {
        tracing::warn!(event = self.number(), name = self.name(), "{detail}");
    }
}

/// Logs an event with fields at the given level, which is named as in the macros of `tracing`.
#[macro_export]
macro_rules! log_event {
    ($level:ident, $event:expr, $($fields:tt)*) => {{
        let event: $crate::events::Event = $event;
        tracing::$level!(event = event.number(), name = event.name(), $($fields)*)
    }};
}
